// Messages between gateways and ledger replicas, and among the replicas.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "consensus/types.h"
#include "store/relay/mirror_delta.h"
#include "turn_ledger/chain/chain_messages.h"
#include "turn_ledger/streams/origin_query.h"
#include "turn_ledger/types.h"
#include "wire/endpoint.h"
#include "wire/layout.h"

namespace martenyard::turn_ledger {

/// A storage machine. `identity` changes when its disk is lost.
struct Machine {
  std::string name;
  NodeId identity;
  wire::Endpoint endpoint;
  ZoneName zone;
  friend bool operator==(const Machine&, const Machine&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, identity, endpoint, zone);
  }
};

/// Sent by a running storage machine, and in reply to a message addressed to a former identity.
struct Hello {
  std::vector<Machine> known;  ///< Other machines that the sender knows.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(known);
  }
};

/// A Raft message between replicas of a group.
struct LogMessage {
  NodeId to;  ///< The intended recipient: the machine at the address may have a new identity.
  GroupId group;
  consensus::RaftMessage message;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(to, group, message);
  }
};

/// A gateway's request to a group.
struct LedgerRequest {
  std::uint64_t request = 0;  ///< Unique per gateway process.
  Operation operation;
  GroupId group{1};
  /// Refuse a reservation whose program has no account, instead of creating the account.
  bool known_programs_only = false;
  /// With `known_programs_only`: create the account of a program that was refused before.
  bool admit_waiting = false;
  /// Answered together with the operation, once that is committed: see `LedgerQueries`.
  std::optional<origin_query> origin;
  std::optional<ProgramId> crash_account;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(request, operation, group);
    if (wire::HasLayout(archive, wire::Layout::kUnmarked2)) {
      archive(known_programs_only);
    }
    if (wire::HasLayout(archive, wire::Layout::kMarked4)) {
      archive(admit_waiting);
    }
    if (wire::HasLayout(archive, wire::Layout::kMarked5)) {
      archive(origin);
    }
    if (wire::HasLayout(archive, wire::Layout::kMarked6)) {
      archive(crash_account);
    }
  }
};

enum class ReplyStatus : std::uint8_t {
  kDone,       ///< Committed: `result` is valid.
  kNotLeader,  ///< Retry at `leader`, if it is known.
  kUncertain,  ///< Leadership was lost meanwhile; the operation may or may not be committed. Retry.
  kOverloaded,
};

struct LedgerReply {
  std::uint64_t request = 0;
  ReplyStatus status = ReplyStatus::kDone;
  OperationResult result;
  wire::Endpoint leader;  ///< Port 0 if unknown.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(request, status, result, leader);
  }
};

using Body = std::variant<Hello, LogMessage, LedgerRequest, LedgerReply, chain_request, chain_reply,
                          store::news_reply>;

/// The content of one frame.
struct Envelope {
  Machine from;  ///< Gateways have no identity; replies go to `from.endpoint`.
  Body body;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(from, body);
  }
};

}  // namespace martenyard::turn_ledger
