#include "bench/cluster_model.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <unordered_map>

#include "base/random.h"
#include "dispatch/dispatcher.h"
#include "sim/event_queue.h"

namespace martenyard::bench {
namespace {

const PartnerName kOwner{"owner"};
const NodeId kGateway{1};

/// The kinds of programs: the tournament's rulings and reviews, the trust's letters and bequests.
struct Kind {
  double share;
  double mean_turns;
  double tail;  ///< Pareto shape of the number of turns; smaller is heavier.
  double mean_pause_seconds;
  double mean_new_tokens;
  double mean_answer_tokens;
};
constexpr Kind kKinds[] = {
    {0.45, 8, 1.6, 8, 250, 110},    // Judge rulings: lookups, heavy tail.
    {0.25, 14, 3.0, 4, 180, 80},    // Deck reviews, card by card.
    {0.20, 3, 3.0, 10, 600, 220},   // Pledge letters.
    {0.10, 18, 2.0, 45, 350, 140},  // Bequests: long pauses.
};
constexpr int kMostTurns = 91;
constexpr double kFirstPromptTokens = 2200;

struct Turn {
  double new_tokens = 0;
  double answer_tokens = 0;
  double pause_after = 0;
};

struct Program {
  int kind = 0;
  double arrived = 0;
  std::vector<Turn> turns;
  std::size_t next_turn = 0;
  double context_tokens = 0;  ///< Of the turns done.
  double attained = 0;
  double work_left = 0;  ///< Tokens to prefill and generate.
  double alone_seconds = 0;
  int last_engine = -1;
  double prompt_tokens = 0;  ///< Of the turn under way.
};

struct CacheEntry {
  double tokens = 0;
  int users = 0;
  std::list<int>::iterator position;
};

struct Engine {
  std::unique_ptr<dispatch::Dispatcher> dispatcher;
  std::unordered_map<int, CacheEntry> cache;
  std::list<int> recency;
  double held_tokens = 0;
  double busy_seconds = 0;
};

/// Learns how much work a program of a kind has left after so many turns.
class WorkEstimator {
 public:
  void Learn(const Program& program, const std::vector<double>& left_after_turn) {
    auto& sums = sums_[program.kind];
    sums.resize(std::max(sums.size(), left_after_turn.size()));
    for (std::size_t turn = 0; turn < left_after_turn.size(); ++turn) {
      sums[turn].first += left_after_turn[turn];
      sums[turn].second += 1.0;
    }
  }
  double Estimate(const Program& program) const {
    auto known = sums_.find(program.kind);
    if (known == sums_.end() || program.next_turn >= known->second.size()) {
      return program.attained;  // Longer than any before: heavy tails go on as long as they did.
    }
    const auto& [sum, count] = known->second[program.next_turn];
    return sum / count;
  }

 private:
  std::map<int, std::vector<std::pair<double, double>>> sums_;
};

class ClusterModel {
 public:
  ClusterModel(const ModelOptions& options, const PolicyUnderTest& policy)
      : options_(options),
        policy_(policy),
        random_(options.seed),
        policy_random_(options.seed + 1) {
    dispatch::DispatcherOptions dispatcher;
    dispatcher.order = policy.order;
    dispatcher.order_options.aging_tokens_per_second = policy.aging_tokens_per_second;
    dispatcher.order_options.seconds_per_priority = 1e12;
    dispatcher.request_ttl = absl::Hours(1000);
    dispatcher.max_queued = 1000000;
    for (int number = 0; number < options.engines; ++number) {
      Engine engine;
      engine.dispatcher = std::make_unique<dispatch::Dispatcher>(dispatcher, queue_.now());
      engine.dispatcher->SetEngines(queue_.now(),
                                    {{NameOf(number), kOwner, options.slots, false, false, 0.0}});
      engines_.push_back(std::move(engine));
      views_.push_back({NameOf(number), options.slots, 0, 0, true, true, 0});
    }
    costs_.prefill_tokens_per_second = options.prefill_tokens_per_second;
    start_ = queue_.now();
  }

  ModelResult Run() {
    ScheduleArrival();
    ReportLoads();
    double end = options_.warm_up_seconds + options_.measured_seconds;
    queue_.RunUntil(start_ + absl::Seconds(end));
    arriving_ = false;
    while (open_ > 0) {
      queue_.RunUntil(queue_.now() + absl::Seconds(100));
    }
    result_.wasted_share = prefilled_ > 0 ? wasted_ / prefilled_ : 0.0;
    double total = 0;
    double most = 0;
    for (const Engine& engine : engines_) {
      total += engine.busy_seconds;
      most = std::max(most, engine.busy_seconds);
    }
    result_.load_max_over_mean = most / (total / options_.engines);
    return std::move(result_);
  }

 private:
  static BackendName NameOf(int engine) { return BackendName("e" + std::to_string(engine)); }
  double Now() const { return absl::ToDoubleSeconds(queue_.now() - start_); }
  double Exponential(double mean) { return -mean * std::log(1.0 - random_.Uniform()); }

  Program MakeProgram() {
    Program program;
    double pick = random_.Uniform();
    while (pick >= kKinds[program.kind].share &&
           program.kind + 1 < static_cast<int>(std::size(kKinds))) {
      pick -= kKinds[program.kind].share;
      ++program.kind;
    }
    const Kind& kind = kKinds[program.kind];
    double scale = kind.mean_turns * (kind.tail - 1.0) / kind.tail;
    double drawn = scale / std::pow(1.0 - random_.Uniform(), 1.0 / kind.tail);
    int turns = std::clamp(static_cast<int>(std::lround(drawn)), 1, kMostTurns);
    for (int number = 0; number < turns; ++number) {
      Turn turn;
      turn.new_tokens =
          20 + Exponential(kind.mean_new_tokens) + (number == 0 ? kFirstPromptTokens : 0);
      turn.answer_tokens = 10 + Exponential(kind.mean_answer_tokens);
      turn.pause_after = number + 1 < turns ? Exponential(kind.mean_pause_seconds) : 0.0;
      program.work_left += turn.new_tokens + turn.answer_tokens;
      program.alone_seconds += turn.new_tokens / options_.prefill_tokens_per_second +
                               turn.answer_tokens / options_.decode_tokens_per_second +
                               turn.pause_after;
      program.turns.push_back(turn);
    }
    return program;
  }

  void ScheduleArrival() {
    queue_.After(absl::Seconds(Exponential(1.0 / options_.arrivals_per_second)), [this] {
      if (!arriving_) {
        return;
      }
      int id = ++last_program_;
      Program program = MakeProgram();
      program.arrived = Now();
      programs_[id] = std::move(program);
      ++open_;
      StartTurn(id);
      ScheduleArrival();
    });
  }

  /// Gateways see the loads only as often as dispatchers report them.
  void ReportLoads() {
    for (std::size_t number = 0; number < engines_.size(); ++number) {
      dispatch::EngineLoad load = engines_[number].dispatcher->Loads()[0];
      views_[number].in_flight = load.in_flight;
      views_[number].queued = load.queued;
    }
    if (open_ > 0 || arriving_) {
      queue_.After(absl::Seconds(options_.load_report_lag), [this] { ReportLoads(); });
    }
  }

  void StartTurn(int id) {
    Program& program = programs_[id];
    const Turn& turn = program.turns[program.next_turn];
    program.prompt_tokens = program.context_tokens + turn.new_tokens;
    std::vector<scheduling::EngineView> views = views_;
    if (program.last_engine >= 0) {
      views[static_cast<std::size_t>(program.last_engine)].cached_tokens =
          static_cast<std::int64_t>(program.context_tokens);
    }
    scheduling::CallView call;
    call.context_tokens = static_cast<std::int64_t>(program.prompt_tokens);
    call.last_engine = program.last_engine >= 0 ? NameOf(program.last_engine) : BackendName();
    auto chosen = scheduling::ChooseEngine(policy_.placement, views, call, costs_, round_robin_,
                                           policy_random_);
    ++result_.decisions;
    int engine = static_cast<int>(*chosen);
    ++views_[*chosen].queued;  // A gateway counts what it sent itself.
    dispatch::PermitAsk ask;
    ask.grant = {ProgramId(std::to_string(id)), CallKey("t"), 1};
    ask.engine = NameOf(engine);
    ask.partner = kOwner;
    ask.attained = static_cast<std::int64_t>(RankOf(program));
    engines_[*chosen].dispatcher->OnSync(queue_.now(), kGateway, {{ask}});
    StartGranted(engine);
  }

  double RankOf(const Program& program) const {
    switch (policy_.rank) {
      case RankSource::kClairvoyant:
        return program.work_left;
      case RankSource::kEstimated:
        return estimator_.Estimate(program);
      case RankSource::kAttained:
        break;
    }
    return program.attained;
  }

  void StartGranted(int number) {
    Engine& engine = engines_[static_cast<std::size_t>(number)];
    for (const dispatch::OutgoingPermitUpdate& news : engine.dispatcher->TakeUpdates()) {
      for (const dispatch::PermitReply& answer : news.update.replies) {
        if (answer.verdict == dispatch::PermitVerdict::kGranted) {
          RunTurn(number, std::stoi(answer.grant.program.value));
        }
      }
    }
  }

  void RunTurn(int number, int id) {
    Engine& engine = engines_[static_cast<std::size_t>(number)];
    Program& program = programs_[id];
    const Turn& turn = program.turns[program.next_turn];
    double cached = 0;
    auto held = engine.cache.find(id);
    if (held != engine.cache.end()) {
      cached = std::min(held->second.tokens, program.prompt_tokens);
    }
    double missing = program.prompt_tokens - cached;
    prefilled_ += missing;
    wasted_ += std::max(0.0, program.context_tokens - cached);
    double seconds = missing / options_.prefill_tokens_per_second +
                     turn.answer_tokens / options_.decode_tokens_per_second;
    engine.busy_seconds += seconds;
    constexpr double kLearn = 0.01;
    costs_.mean_service_seconds += kLearn * (seconds - costs_.mean_service_seconds);
    Touch(engine, id, program.prompt_tokens + turn.answer_tokens, +1);
    queue_.After(absl::Seconds(seconds), [this, number, id] { EndTurn(number, id); });
  }

  void EndTurn(int number, int id) {
    Engine& engine = engines_[static_cast<std::size_t>(number)];
    Program& program = programs_[id];
    const Turn turn = program.turns[program.next_turn];
    --engine.cache[id].users;
    program.context_tokens = program.prompt_tokens + turn.answer_tokens;
    program.attained += turn.new_tokens + turn.answer_tokens;
    program.work_left -= turn.new_tokens + turn.answer_tokens;
    program.last_engine = number;
    ++program.next_turn;
    dispatch::PermitRelease release{
        {ProgramId(std::to_string(id)), CallKey("t"), 1}, NameOf(number), false};
    engine.dispatcher->OnRelease(queue_.now(), kGateway, release);
    bool over = program.next_turn == program.turns.size();
    if (over) {
      EndProgram(id);
    } else {
      queue_.After(absl::Seconds(turn.pause_after), [this, id] { StartTurn(id); });
    }
    Evict(engine);
    StartGranted(number);
  }

  void EndProgram(int id) {
    Program& program = programs_[id];
    if (program.arrived >= options_.warm_up_seconds) {
      double latency = Now() - program.arrived;
      result_.latency.Add(latency);
      result_.excess.Add(std::max(0.0, latency - program.alone_seconds));
    }
    double left = 0;
    std::vector<double> left_after_turn(program.turns.size());
    for (std::size_t turn = program.turns.size(); turn-- > 0;) {
      left += program.turns[turn].new_tokens + program.turns[turn].answer_tokens;
      left_after_turn[turn] = left;
    }
    estimator_.Learn(program, left_after_turn);
    // The ledger's outbox releases its contexts.
    for (Engine& engine : engines_) {
      auto held = engine.cache.find(id);
      if (held != engine.cache.end() && held->second.users == 0) {
        Drop(engine, held);
      }
    }
    programs_.erase(id);
    --open_;
  }

  void Touch(Engine& engine, int id, double tokens, int users) {
    auto found = engine.cache.find(id);
    if (found == engine.cache.end()) {
      engine.recency.push_front(id);
      found = engine.cache.emplace(id, CacheEntry{0, 0, engine.recency.begin()}).first;
    }
    engine.recency.splice(engine.recency.begin(), engine.recency, found->second.position);
    engine.held_tokens += tokens - found->second.tokens;
    found->second.tokens = tokens;
    found->second.users += users;
    Evict(engine);
  }

  void Drop(Engine& engine, std::unordered_map<int, CacheEntry>::iterator entry) {
    engine.held_tokens -= entry->second.tokens;
    engine.recency.erase(entry->second.position);
    engine.cache.erase(entry);
  }

  void Evict(Engine& engine) {
    auto oldest = engine.recency.end();
    while (engine.held_tokens > options_.cache_tokens && oldest != engine.recency.begin()) {
      --oldest;
      auto entry = engine.cache.find(*oldest);
      if (entry->second.users > 0) {
        continue;
      }
      auto next = std::next(oldest);
      Drop(engine, entry);
      oldest = next;
    }
  }

  ModelOptions options_;
  PolicyUnderTest policy_;
  Random random_;  // The load's: the same programs under every policy.
  Random policy_random_;
  sim::EventQueue queue_;
  absl::Time start_;
  std::vector<Engine> engines_;
  std::vector<scheduling::EngineView> views_;
  scheduling::CostModel costs_;
  std::uint64_t round_robin_ = 0;
  std::map<int, Program> programs_;
  WorkEstimator estimator_;
  int last_program_ = 0;
  int open_ = 0;
  bool arriving_ = true;
  double prefilled_ = 0;
  double wasted_ = 0;
  ModelResult result_;
};

}  // namespace

ModelResult RunClusterModel(const ModelOptions& options, const PolicyUnderTest& policy) {
  return ClusterModel(options, policy).Run();
}

}  // namespace martenyard::bench
