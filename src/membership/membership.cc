#include "membership/membership.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/hash.h"

namespace martenyard::membership {
namespace {

constexpr absl::Duration kJoinRetry = absl::Seconds(1);
constexpr absl::Duration kDeadCleanupInterval = absl::Seconds(10);
/// A refused connection is attributed to a death recorded within this time.
constexpr absl::Duration kRecentDeathWindow = absl::Seconds(5);
constexpr int kRelayProbeTimeouts = 4;

bool IsUp(MemberStatus status) {
  return status == MemberStatus::kAlive || status == MemberStatus::kSuspect;
}

/// SWIM's precedence: a newer incarnation wins; at the same one the later status does. Death is
/// final at its incarnation, but the member itself can refute it with a newer one.
bool Overrides(const MemberUpdate& update, const MemberUpdate& present) {
  if (update.incarnation != present.incarnation) {
    return update.incarnation > present.incarnation;
  }
  return update.status > present.status;
}

}  // namespace

Membership::Membership(MemberInfo self, const MembershipOptions& options,
                       std::vector<wire::Endpoint> seeds, std::uint64_t seed, absl::Time now)
    : self_(std::move(self)),
      options_(options),
      seeds_(std::move(seeds)),
      random_(seed),
      now_(now),
      next_probe_(now + options.probe_interval * random_.Uniform()),
      next_gossip_(now + options.gossip_interval * random_.Uniform()),
      next_repair_(now + options.repair_interval * random_.Uniform()),
      next_join_(now),
      next_dead_cleanup_(now) {
  std::erase(seeds_, self_.peer);
  members_[self_.id] = {{self_, 0, MemberStatus::kAlive}, now};
  EnqueueUpdate(self_.id);
}

void Membership::Tick(absl::Time now) {
  now_ = std::max(now_, now);
  JoinSeeds();
  ExpireSuspects();
  if (now_ >= next_dead_cleanup_) {
    next_dead_cleanup_ = now_ + kDeadCleanupInterval;
    RemoveExpiredDead();
  }
  if (probe_ && !probe_->ping_requests_sent && now_ >= probe_->indirect_at) {
    SendPingRequests();
  }
  if (now_ >= next_probe_) {
    next_probe_ = now_ + options_.probe_interval;
    StartProbe();
  }
  if (now_ >= next_gossip_) {
    next_gossip_ = now_ + options_.gossip_interval;
    Gossip();
  }
  if (now_ >= next_repair_) {
    next_repair_ = now_ + options_.repair_interval;
    Repair();
  }
  std::erase_if(relayed_, [&](const auto& entry) { return entry.second.expires_at <= now_; });
}

// ---- Probing ----

void Membership::StartProbe() {
  if (probe_) {
    auto found = members_.find(probe_->target);
    if (found != members_.end()) {
      OnProbeFailed(found->second);
    }
    probe_.reset();
  }
  std::optional<NodeId> target = NextTarget();
  if (!target) {
    return;
  }
  ++last_sequence_;
  probe_ = Probe{*target, last_sequence_, now_ + options_.probe_timeout, next_probe_, false};
  Send(members_[*target].update.info.peer, MakePacket(PacketKind::kPing, last_sequence_, *target));
}

void Membership::OnProbeFailed(Member& member) {
  MemberStatus status = member.update.status;
  if (status == MemberStatus::kAlive) {
    SetStatus(member, MemberStatus::kSuspect, member.update.incarnation);
  } else if (status == MemberStatus::kLeaving) {
    // A suspect counts as up, which a leaving member must not become again.
    SetStatus(member, MemberStatus::kDead, member.update.incarnation);
  }
}

std::optional<NodeId> Membership::NextTarget() {
  // Round robin over a shuffled order bounds the time until every member has been probed.
  for (int refills = 0; refills < 2;) {
    if (probe_order_.empty()) {
      ++refills;
      for (const auto& [id, member] : members_) {
        if (id != self_.id && member.update.status != MemberStatus::kDead) {
          probe_order_.push_back(id);
        }
      }
      std::shuffle(probe_order_.begin(), probe_order_.end(), random_.engine());
      continue;
    }
    NodeId next = probe_order_.front();
    probe_order_.pop_front();
    auto found = members_.find(next);
    if (found != members_.end() && found->second.update.status != MemberStatus::kDead) {
      return next;
    }
  }
  return std::nullopt;
}

std::vector<NodeId> Membership::RandomOthers(std::size_t count, NodeId except) {
  std::vector<NodeId> others;
  for (const auto& [id, member] : members_) {
    bool usable = id != self_.id && id != except && IsUp(member.update.status);
    if (usable) {
      others.push_back(id);
    }
  }
  std::shuffle(others.begin(), others.end(), random_.engine());
  others.resize(std::min(count, others.size()));
  return others;
}

void Membership::SendPingRequests() {
  probe_->ping_requests_sent = true;
  auto count = static_cast<std::size_t>(options_.indirect_probes);
  for (NodeId other : RandomOthers(count, probe_->target)) {
    Send(members_[other].update.info.peer,
         MakePacket(PacketKind::kPingRequest, probe_->sequence, probe_->target));
  }
}

void Membership::OnPacket(absl::Time now, const Packet& packet) {
  now_ = std::max(now_, now);
  for (const MemberUpdate& update : packet.updates) {
    Merge(update, /*disseminate=*/true);
  }
  switch (packet.kind) {
    case PacketKind::kPing:
      if (packet.target == self_.id) {
        Send(packet.from_endpoint, MakePacket(PacketKind::kAck, packet.sequence, packet.from));
      }
      break;
    case PacketKind::kAck: {
      auto relayed = relayed_.find(packet.sequence);
      if (relayed != relayed_.end()) {
        Send(relayed->second.requester,
             MakePacket(PacketKind::kAck, relayed->second.requester_sequence, packet.from));
        relayed_.erase(relayed);
      }
      if (probe_ && probe_->sequence == packet.sequence) {
        probe_.reset();
      }
      break;
    }
    case PacketKind::kPingRequest: {
      auto target = members_.find(packet.target);
      if (target == members_.end()) {
        break;
      }
      ++last_sequence_;
      relayed_[last_sequence_] = {packet.from_endpoint, packet.sequence,
                                  now_ + options_.probe_timeout * kRelayProbeTimeouts};
      Send(target->second.update.info.peer,
           MakePacket(PacketKind::kPing, last_sequence_, packet.target));
      break;
    }
    case PacketKind::kGossip:
      break;
    case PacketKind::kJoin:
      effects_.lists.push_back({packet.from_endpoint, FullList(/*reply_wanted=*/false)});
      break;
  }
}

// ---- Joining and repair ----

void Membership::JoinSeeds() {
  if (now_ < next_join_) {
    return;
  }
  next_join_ = now_ + kJoinRetry;
  for (const wire::Endpoint& seed : seeds_) {
    // Seeds that are up need no join; an unreachable seed is retried indefinitely.
    bool known = std::any_of(members_.begin(), members_.end(), [&](const auto& entry) {
      return entry.second.update.info.peer == seed && IsUp(entry.second.update.status);
    });
    if (!known) {
      Packet join = MakePacket(PacketKind::kJoin, 0, kNoNode);
      join.updates.push_back(members_[self_.id].update);
      Send(seed, std::move(join));
    }
  }
}

void Membership::Repair() {
  // Includes a dead member, so that both sides of a healed network partition merge again.
  std::vector<wire::Endpoint> targets;
  for (NodeId other : RandomOthers(1, kNoNode)) {
    targets.push_back(members_[other].update.info.peer);
  }
  std::vector<wire::Endpoint> dead;
  for (const auto& [id, member] : members_) {
    if (member.update.status == MemberStatus::kDead) {
      dead.push_back(member.update.info.peer);
    }
  }
  if (!dead.empty()) {
    targets.push_back(dead[random_.Below(dead.size())]);
  }
  for (const wire::Endpoint& target : targets) {
    MemberList list;
    list.digest_only = true;
    list.digest = Digest();
    effects_.lists.push_back({target, std::move(list)});
  }
}

void Membership::Gossip() {
  if (pending_updates_.empty()) {
    return;
  }
  auto fanout = static_cast<std::size_t>(options_.gossip_fanout);
  for (NodeId other : RandomOthers(fanout, kNoNode)) {
    Send(members_[other].update.info.peer, MakePacket(PacketKind::kGossip, 0, kNoNode));
  }
}

std::uint64_t Membership::Digest() const {
  std::uint64_t digest = 0;
  for (const auto& [id, member] : members_) {
    if (member.update.status == MemberStatus::kDead) {
      continue;
    }
    std::uint64_t parts[] = {id.value, member.update.incarnation,
                             static_cast<std::uint64_t>(member.update.status)};
    digest ^= StableHash({reinterpret_cast<const char*>(parts), sizeof(parts)});
  }
  return digest;
}

MemberList Membership::FullList(bool reply_wanted) const {
  MemberList list;
  list.reply_wanted = reply_wanted;
  for (const auto& [id, member] : members_) {
    list.members.push_back(member.update);
  }
  return list;
}

void Membership::OnMemberList(absl::Time now, const wire::Endpoint& from, const MemberList& list) {
  now_ = std::max(now_, now);
  if (list.digest_only) {
    if (list.digest != Digest()) {
      effects_.lists.push_back({from, FullList(/*reply_wanted=*/true)});
    }
    return;
  }
  for (const MemberUpdate& update : list.members) {
    Merge(update, /*disseminate=*/false);
  }
  if (list.reply_wanted) {
    effects_.lists.push_back({from, FullList(/*reply_wanted=*/false)});
  }
}

// ---- Merging ----

void Membership::Merge(const MemberUpdate& update, bool disseminate) {
  if (update.info.id == self_.id) {
    MergeAboutSelf(update);
    return;
  }
  auto found = members_.find(update.info.id);
  if (found == members_.end()) {
    if (update.info.peer == self_.peer && update.status != MemberStatus::kDead) {
      // A previous process of this daemon, which no longer runs.
      MemberUpdate gone = update;
      gone.status = MemberStatus::kDead;
      members_[update.info.id] = {gone, now_};
      EnqueueUpdate(update.info.id);
      return;
    }
    members_[update.info.id] = {update, now_};
    if (update.status == MemberStatus::kSuspect) {
      suspects_.insert(update.info.id);
    }
    ++version_;
    if (update.status != MemberStatus::kDead) {
      DeclarePredecessorsDead(update.info);
      if (disseminate) {
        EnqueueUpdate(update.info.id);
      }
    }
    return;
  }
  if (Overrides(update, found->second.update)) {
    if (found->second.update.status == MemberStatus::kDead && IsUp(update.status)) {
      ++refuted_;
    }
    SetStatus(found->second, update.status, update.incarnation);
  }
}

void Membership::MergeAboutSelf(const MemberUpdate& update) {
  MemberUpdate& own = members_[self_.id].update;
  // Also refutes updates from a previous process with this id, such as its leaving.
  bool wrong = update.incarnation > own.incarnation ||
               (update.incarnation == own.incarnation && update.status != own.status);
  if (wrong) {
    own.incarnation = update.incarnation + 1;
    EnqueueUpdate(self_.id);
  }
}

void Membership::DeclarePredecessorsDead(const MemberInfo& newcomer) {
  for (auto& [id, member] : members_) {
    bool predecessor = id != newcomer.id && member.update.info.peer == newcomer.peer &&
                       member.update.status != MemberStatus::kDead;
    // Of two processes at one endpoint the one reported last is taken as current; if that is
    // wrong, the current one refutes its death.
    if (predecessor && id != self_.id) {
      SetStatus(member, MemberStatus::kDead, member.update.incarnation);
    }
  }
}

void Membership::SetStatus(Member& member, MemberStatus status, std::uint32_t incarnation) {
  MemberStatus previous = member.update.status;
  member.update.status = status;
  member.update.incarnation = incarnation;
  member.since = now_;
  if (status == MemberStatus::kSuspect) {
    suspects_.insert(member.update.info.id);
  } else {
    suspects_.erase(member.update.info.id);
  }
  bool up_changed = IsUp(previous) != IsUp(status);
  bool leaving_changed = (previous == MemberStatus::kLeaving) != (status == MemberStatus::kLeaving);
  if (up_changed || leaving_changed) {
    ++version_;
  }
  EnqueueUpdate(member.update.info.id);
}

void Membership::ExpireSuspects() {
  std::set<NodeId> watched = suspects_;
  for (NodeId id : watched) {
    Member& member = members_[id];
    if (member.since + options_.suspicion_timeout <= now_) {
      SetStatus(member, MemberStatus::kDead, member.update.incarnation);
    }
  }
}

void Membership::RemoveExpiredDead() {
  std::erase_if(members_, [&](const auto& entry) {
    const Member& member = entry.second;
    return member.update.status == MemberStatus::kDead &&
           member.since + options_.dead_retention <= now_;
  });
}

std::optional<NodeId> Membership::OnEndpointDead(absl::Time now, const wire::Endpoint& endpoint) {
  now_ = std::max(now_, now);
  std::optional<NodeId> recently_dead;
  absl::Time latest = now_ - kRecentDeathWindow;
  for (auto& [id, member] : members_) {
    if (id == self_.id || member.update.info.peer != endpoint) {
      continue;
    }
    if (member.update.status != MemberStatus::kDead) {
      SetStatus(member, MemberStatus::kDead, member.update.incarnation);
      return id;
    }
    if (member.since > latest) {
      recently_dead = id;  // Already reported dead by another member.
      latest = member.since;
    }
  }
  return recently_dead;
}

void Membership::OnLeaving(NodeId node) {
  auto found = members_.find(node);
  if (node != self_.id && found != members_.end() && IsUp(found->second.update.status)) {
    SetStatus(found->second, MemberStatus::kLeaving, found->second.update.incarnation);
  }
}

void Membership::Leave() {
  MemberUpdate& own = members_[self_.id].update;
  if (own.status == MemberStatus::kLeaving) {
    return;
  }
  ++own.incarnation;
  own.status = MemberStatus::kLeaving;
  ++version_;
  EnqueueUpdate(self_.id);
}

// ---- Dissemination ----

void Membership::EnqueueUpdate(NodeId subject) {
  double members = static_cast<double>(members_.size()) + 1.0;
  int sends = options_.retransmit_factor * static_cast<int>(std::ceil(std::log2(members + 1.0)));
  std::erase_if(pending_updates_,
                [&](const PendingUpdate& pending) { return pending.subject == subject; });
  pending_updates_.push_back({subject, sends});
}

std::vector<Membership::PendingUpdate> Membership::TakeLeastSent(std::size_t count) {
  // Least-sent updates go first, so that a backlog does not delay new updates.
  count = std::min(count, pending_updates_.size());
  std::partial_sort(
      pending_updates_.begin(), pending_updates_.begin() + static_cast<std::ptrdiff_t>(count),
      pending_updates_.end(), [](const PendingUpdate& left, const PendingUpdate& right) {
        return left.sends_left > right.sends_left;
      });
  std::vector<PendingUpdate> least_sent(
      pending_updates_.begin(), pending_updates_.begin() + static_cast<std::ptrdiff_t>(count));
  pending_updates_.erase(pending_updates_.begin(),
                         pending_updates_.begin() + static_cast<std::ptrdiff_t>(count));
  return least_sent;
}

Packet Membership::MakePacket(PacketKind kind, std::uint64_t sequence, NodeId target) {
  Packet packet;
  packet.kind = kind;
  packet.sequence = sequence;
  packet.from = self_.id;
  packet.from_endpoint = self_.peer;
  packet.target = target;
  return packet;
}

void Membership::Send(const wire::Endpoint& to, Packet packet) {
  auto max_updates = static_cast<std::size_t>(options_.updates_per_packet);
  for (PendingUpdate& pending : TakeLeastSent(max_updates)) {
    auto found = members_.find(pending.subject);
    if (found == members_.end()) {
      continue;
    }
    packet.updates.push_back(found->second.update);
    --pending.sends_left;
    if (pending.sends_left > 0) {
      pending_updates_.push_back(pending);
    }
  }
  // Tell a target that is not considered alive its status, so that its reply can refute it.
  auto target = members_.find(packet.target);
  if (target != members_.end() && target->second.update.status != MemberStatus::kAlive) {
    packet.updates.push_back(target->second.update);
  }
  effects_.packets.push_back({to, std::move(packet)});
}

MembershipEffects Membership::TakeEffects() {
  MembershipEffects taken = std::move(effects_);
  effects_ = MembershipEffects{};
  return taken;
}

// ---- Views ----

std::vector<MemberInfo> Membership::Live() const {
  std::vector<MemberInfo> live;
  for (const auto& [id, member] : members_) {
    if (IsUp(member.update.status)) {
      live.push_back(member.update.info);
    }
  }
  return live;
}

std::vector<MemberInfo> Membership::Leaving() const {
  std::vector<MemberInfo> leaving;
  for (const auto& [id, member] : members_) {
    if (member.update.status == MemberStatus::kLeaving) {
      leaving.push_back(member.update.info);
    }
  }
  return leaving;
}

const MemberInfo* Membership::Find(NodeId node) const {
  auto found = members_.find(node);
  bool usable = found != members_.end() && found->second.update.status != MemberStatus::kDead;
  return usable ? &found->second.update.info : nullptr;
}

const MemberInfo* Membership::FindIncludingDead(NodeId node) const {
  auto found = members_.find(node);
  return found == members_.end() ? nullptr : &found->second.update.info;
}

MemberStatus Membership::StatusOf(NodeId node) const {
  auto found = members_.find(node);
  return found == members_.end() ? MemberStatus::kDead : found->second.update.status;
}

absl::Time Membership::DeadSince(NodeId node) const {
  auto found = members_.find(node);
  bool dead = found != members_.end() && found->second.update.status == MemberStatus::kDead;
  return dead ? found->second.since : absl::InfinitePast();
}

}  // namespace martenyard::membership
