// Messages between gateways and ledger replicas, and among the replicas.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "consensus/types.h"
#include "store/relay/mirror_delta.h"
#include "turn_ledger/chain/chain_messages.h"
#include "turn_ledger/types.h"
#include "wire/endpoint.h"
#include "wire/layout.h"

namespace martenyard::turn_ledger {

/// A storage machine as its peers see it. `identity` changes when its disk was lost.
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

/// Sent by a storage machine that is up, and in answer to a message for a former identity.
struct Hello {
  std::vector<Machine> known;  ///< Other machines the sender has heard of.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(known);
  }
};

/// A replica's message of the replicated log.
struct LogMessage {
  NodeId to;  ///< The identity meant: the address may have another by now.
  GroupId group;
  consensus::RaftMessage message;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(to, group, message);
  }
};

/// A gateway's request.
struct LedgerRequest {
  std::uint64_t request = 0;  ///< Unique per gateway process.
  Operation operation;
  GroupId group{1};
  /// A reservation is refused if nothing is known of its program: it would begin a new one.
  bool known_programs_only = false;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(request, operation, group);
    if (wire::HasLayout(archive, wire::Layout::kUnmarked2)) {
      archive(known_programs_only);
    }
  }
};

enum class ReplyStatus : std::uint8_t {
  kDone,       ///< Committed: `result` holds.
  kNotLeader,  ///< Ask `leader`, if it is known.
  kUncertain,  ///< Leadership was lost meanwhile; it may or may not be committed. Ask again.
  kOverloaded,
};

struct LedgerReply {
  std::uint64_t request = 0;
  ReplyStatus status = ReplyStatus::kDone;
  OperationResult result;
  wire::Endpoint leader;  ///< Port 0 when unknown.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(request, status, result, leader);
  }
};

using Body = std::variant<Hello, LogMessage, LedgerRequest, LedgerReply, chain_request, chain_reply,
                          store::news_reply>;

/// What travels in one frame.
struct Envelope {
  Machine from;  ///< Gateways have no identity; replies go to `from.endpoint`.
  Body body;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(from, body);
  }
};

}  // namespace martenyard::turn_ledger
