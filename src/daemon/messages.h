// The envelope of all messages between daemons.
#pragma once

#include <variant>
#include <vector>

#include "base/ids.h"
#include "consensus/types.h"
#include "dispatch/messages.h"
#include "ledger/messages.h"
#include "membership/membership.h"
#include "spread/spread.h"
#include "wire/endpoint.h"

namespace martenyard::daemon {

/// A message between replicas of one group.
struct GroupMessage {
  GroupId group;
  consensus::RaftMessage message;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(group, message);
  }
};

/// From a stopping daemon to the leader of these groups: may it exit? Repeated until it does.
struct ExitRequest {
  std::vector<GroupId> groups;
  std::vector<GroupId> in_use;  ///< Those of `groups` that its own calls still need.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(groups, in_use);
  }
};

/// The leader's reply. A grant may follow a reply that says to wait.
struct ExitReply {
  std::vector<GroupId> granted;
  std::vector<GroupId> waiting;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(granted, waiting);
  }
};

/// New alternatives are appended: builds that do not know one drop its frame.
using PeerMessage =
    std::variant<GroupMessage, ledger::LedgerRequest, ledger::LedgerReply, dispatch::PermitSync,
                 dispatch::PermitRelease, dispatch::PermitNews, spread::SpreadMessage,
                 membership::MemberList, ExitRequest, ExitReply>;

struct Envelope {
  NodeId from;
  wire::Endpoint from_endpoint;
  NodeId to;  ///< Other nodes at the endpoint ignore it; kNoNode: any node.
  PeerMessage body;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(from, from_endpoint, to, body);
  }
};

}  // namespace martenyard::daemon
