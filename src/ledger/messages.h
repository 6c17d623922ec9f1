// Requests of gateways to a group's leader, and its replies.
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

/// Renews the sender's grants; the reply lists those that are no longer held.
struct RenewGrants {
  std::vector<Grant> grants;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(grants);
  }
};

/// Queries which of these programs have ended or are unknown, for the context sweep.
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
  kAnswered,    ///< `result`, `program` or `grants_lost` hold the reply.
  kNotLeader,   ///< Nothing was done; retry at `leader` if set.
  kUncertain,   ///< Leadership was lost before the command was committed: retry.
  kOverloaded,  ///< Nothing was done; the leader has too many pending requests.
  kDraining,    ///< Nothing was done; the group admits no new work, since too few voters stay.
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
