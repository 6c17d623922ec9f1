// What gateways ask of a group's leader, and its answers.
#pragma once

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "ledger/types.h"

namespace martenyard::ledger {

/// Reads a program, linearizably.
struct ReadProgram {
  ProgramId program;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(program);
  }
};

/// Keeps the sender's grants alive; the answer lists those that are no longer held.
struct RenewGrants {
  std::vector<Grant> grants;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(grants);
  }
};

/// Asks which of these programs are over (ended or never known), for the context sweep.
struct CheckPrograms {
  std::vector<ProgramId> programs;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(programs);
  }
};

using RequestBody = std::variant<Operation, ReadProgram, RenewGrants, CheckPrograms>;

struct LedgerRequest {
  std::uint64_t request_id = 0;  ///< Unique for its sender; a repeated request keeps it.
  GroupId group;
  RequestBody body;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(request_id, group, body);
  }
};

enum class ReplyStatus : std::uint8_t {
  kAnswered,    ///< `result`, `program` or `grants_lost` hold the answer.
  kNotLeader,   ///< Nothing was done here; ask `leader` if it is set.
  kUncertain,   ///< Leadership was lost while the command was on its way: ask again.
  kOverloaded,  ///< Nothing was done; the leader has too much waiting.
};

struct LedgerReply {
  std::uint64_t request_id = 0;
  GroupId group;
  ReplyStatus status = ReplyStatus::kAnswered;
  NodeId leader;
  ApplyResult result;
  std::optional<ProgramRecord> program;
  std::vector<Grant> grants_lost;
  std::vector<ProgramId> programs_over;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(request_id, group, status, leader, result, program, grants_lost, programs_over);
  }
};

}  // namespace martenyard::ledger
