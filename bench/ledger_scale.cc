// Slopes of the ledger: memory per program and per byte of history, time per command, snapshots.
#include <malloc.h>

#include <iostream>

#include "base/clock.h"
#include "bench/experiments.h"
#include "bench/report.h"
#include "ledger/ledger.h"
#include "wire/codec.h"

namespace martenyard::bench {
namespace {

constexpr std::size_t kTurnBytes = 400;
constexpr std::size_t kAnswerBytes = 800;

std::size_t HeapBytes() {
  struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

ProgramId IdOf(int number) { return ProgramId("program-" + std::to_string(number)); }

ledger::Command At(ledger::Operation operation) { return {1000, std::move(operation)}; }

void CreateProgram(ledger::Ledger& ledger, int number) {
  ledger::CreateProgram create;
  create.program = IdOf(number);
  create.partner = PartnerName("tournament");
  create.program_kind = "judge-ruling";
  create.limits = {1 << 30, 100, 3600000, 900000, 1 << 20};
  ledger.Apply(At(create));
}

void RunTurn(ledger::Ledger& ledger, int number, int turn) {
  ledger::BeginCall begin;
  begin.program = IdOf(number);
  begin.partner = PartnerName("tournament");
  begin.permitted_kinds = {"judge-ruling"};
  begin.key = CallKey("turn-" + std::to_string(turn));
  begin.turn = std::string(kTurnBytes, 't');
  begin.reserve = 400;
  // Through the codec, as a replica applies it.
  auto command = wire::Decode<ledger::Command>(wire::Encode(At(begin)));
  ledger.Apply(*command);
  ledger::FinishCall finish;
  finish.grant = {IdOf(number), begin.key, 1};
  finish.used = 300;
  finish.engine = BackendName("engine-1");
  finish.result = std::string(kAnswerBytes, 'a');
  command = wire::Decode<ledger::Command>(wire::Encode(At(finish)));
  ledger.Apply(*command);
}

}  // namespace

int RunLedger(const BenchOptions& options) {
  Table table("One ledger, turns of " + std::to_string(kTurnBytes + kAnswerBytes) + " bytes",
              {"programs", "turns each", "bytes a program", "us a turn", "snapshot MB",
               "snapshot ms", "restore ms"});
  std::vector<std::pair<double, double>> memory;
  for (auto [programs, turns] : {std::pair(1000, 1), std::pair(10000, 1), std::pair(100000, 1),
                                 std::pair(1000, 10), std::pair(10000, 10), std::pair(1000, 91)}) {
    std::size_t before = HeapBytes();
    ledger::Ledger ledger;
    for (int number = 0; number < programs; ++number) {
      CreateProgram(ledger, number);
    }
    absl::Time start = SteadyNow();
    for (int turn = 0; turn < turns; ++turn) {
      for (int number = 0; number < programs; ++number) {
        RunTurn(ledger, number, turn);
      }
    }
    double microseconds = absl::ToDoubleMicroseconds(SteadyNow() - start) / programs / turns;
    double bytes = static_cast<double>(HeapBytes() - before) / programs;
    start = SteadyNow();
    std::string snapshot = ledger.Serialize();
    double snapshot_ms = absl::ToDoubleMilliseconds(SteadyNow() - start);
    ledger::Ledger copy;
    start = SteadyNow();
    if (!copy.Restore(snapshot)) {
      std::cerr << "a snapshot could not be restored\n";
      return 1;
    }
    double restore_ms = absl::ToDoubleMilliseconds(SteadyNow() - start);
    table.AddRow({std::to_string(programs), std::to_string(turns), Number(bytes, 0),
                  Number(microseconds, 2), Number(static_cast<double>(snapshot.size()) / 1e6, 1),
                  Number(snapshot_ms, 1), Number(restore_ms, 1)});
    memory.emplace_back(turns, bytes);
  }
  table.Print();
  Line line = FitLine(memory);
  std::cout << "memory of a program: " << Number(line.intercept, 0) << " bytes and "
            << Number(line.slope, 0) << " bytes a turn (r2 " << Number(line.r_squared, 3) << ")\n";
  WriteJson(options.out, "ledger", table.ToJson());
  return 0;
}

}  // namespace martenyard::bench
