// The envelope of all messages between daemons.
#pragma once

#include <variant>

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

using PeerMessage =
    std::variant<GroupMessage, ledger::LedgerRequest, ledger::LedgerReply, dispatch::PermitSync,
                 dispatch::PermitRelease, dispatch::PermitNews, spread::SpreadMessage,
                 membership::MemberList>;

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
