// Failure detection and membership by SWIM (Das, Gupta, Motivala): random probes, indirect probes,
// suspicion with incarnation numbers, updates piggybacked on the probes. Decision logic: no I/O.
// The probing cost per daemon is constant: one probe per period, independent of the group size.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "base/random.h"
#include "wire/endpoint.h"

namespace martenyard::membership {

/// Static description of a daemon; never changes for a given NodeId.
struct MemberInfo {
  NodeId id;
  wire::Endpoint peer;     ///< Endpoint for frames and datagrams between daemons.
  wire::Endpoint callers;  ///< Endpoint of its HTTP API.
  ZoneName zone;
  bool durable = false;  ///< Has a data directory.

  friend bool operator==(const MemberInfo&, const MemberInfo&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, peer, callers, zone, durable);
  }
};

/// Ordered by precedence: at the same incarnation the later state overrides the earlier one.
enum class MemberStatus : std::uint8_t { kAlive, kLeaving, kSuspect, kDead };

struct MemberUpdate {
  MemberInfo info;
  std::uint32_t incarnation = 0;
  MemberStatus status = MemberStatus::kAlive;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(info, incarnation, status);
  }
};

enum class PacketKind : std::uint8_t { kPing, kAck, kPingRequest, kJoin, kGossip };

/// One datagram.
struct Packet {
  PacketKind kind = PacketKind::kPing;
  std::uint64_t sequence = 0;  ///< Sequence number of the probe this packet belongs to.
  NodeId from;
  wire::Endpoint from_endpoint;
  NodeId target;  ///< kPingRequest: member to probe; kPing: member that must reply.
  std::vector<MemberUpdate> updates;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(kind, sequence, from, from_endpoint, target, updates);
  }
};

/// The member list, sent over a stream: in full as the reply to a join, and periodically as a
/// digest, to which a peer whose digest differs replies with its full list.
struct MemberList {
  bool reply_wanted = false;
  bool digest_only = false;
  std::uint64_t digest = 0;
  std::vector<MemberUpdate> members;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(reply_wanted, digest_only, digest, members);
  }
};

struct MembershipOptions {
  absl::Duration probe_interval = absl::Milliseconds(500);
  absl::Duration probe_timeout = absl::Milliseconds(150);  ///< Indirect probes start after it.
  int indirect_probes = 3;
  absl::Duration suspicion_timeout = absl::Seconds(2);       ///< Before a suspect is declared dead.
  absl::Duration gossip_interval = absl::Milliseconds(200);  ///< Only while updates are pending.
  int gossip_fanout = 3;
  absl::Duration repair_interval = absl::Seconds(10);  ///< Digest exchange with a random member.
  absl::Duration dead_retention = absl::Minutes(10);
  int updates_per_packet = 8;
  int retransmit_factor = 3;  ///< Each update is sent about factor * log2(members) times.
};

struct OutgoingPacket {
  wire::Endpoint to;
  Packet packet;
};

struct OutgoingMemberList {
  wire::Endpoint to;
  MemberList list;
};

/// Messages the owner must send; collect them with TakeEffects() after every call.
struct MembershipEffects {
  std::vector<OutgoingPacket> packets;
  std::vector<OutgoingMemberList> lists;
};

class Membership {
 public:
  Membership(MemberInfo self, const MembershipOptions& options, std::vector<wire::Endpoint> seeds,
             std::uint64_t seed, absl::Time now);

  void Tick(absl::Time now);
  void OnPacket(absl::Time now, const Packet& packet);
  void OnMemberList(absl::Time now, const wire::Endpoint& from, const MemberList& list);
  /// Reports that the process at `endpoint` is dead (nothing listens there any more).
  /// @return the member at that endpoint if it was not yet declared dead or was declared dead
  /// recently.
  std::optional<NodeId> OnEndpointDead(absl::Time now, const wire::Endpoint& endpoint);
  /// `node` said that it is stopping; its own announcement may arrive later.
  void OnLeaving(NodeId node);
  /// Announces that this daemon accepts no new work; it still replies to probes.
  void Leave();
  MembershipEffects TakeEffects();

  const MemberInfo& self() const { return self_; }
  /// @return the alive and suspect members, including this daemon, ordered by id.
  std::vector<MemberInfo> Live() const;
  /// @return the members that are stopping, including this daemon, ordered by id.
  std::vector<MemberInfo> Leaving() const;
  /// @return the member if it is known and not dead.
  const MemberInfo* Find(NodeId node) const;
  /// @return the last known description of the member, dead or not, or null.
  const MemberInfo* FindIncludingDead(NodeId node) const;
  MemberStatus StatusOf(NodeId node) const;  ///< kDead for unknown members.
  /// @return when the member was declared dead; the infinite past for unknown members.
  absl::Time DeadSince(NodeId node) const;
  /// Changes whenever `Live` or `Leaving` does.
  std::uint64_t version() const { return version_; }
  std::size_t known_count() const { return members_.size(); }
  /// Number of members recorded as dead that turned out to be up.
  std::uint64_t refuted_count() const { return refuted_; }

 private:
  struct Member {
    MemberUpdate update;
    absl::Time since;  // When the status last changed.
  };
  struct Probe {
    NodeId target;
    std::uint64_t sequence = 0;
    absl::Time indirect_at;
    absl::Time fails_at;
    bool ping_requests_sent = false;
  };
  struct PendingUpdate {
    NodeId subject;
    int sends_left = 0;
  };
  struct RelayedProbe {
    wire::Endpoint requester;
    std::uint64_t requester_sequence = 0;
    absl::Time expires_at;
  };

  void StartProbe();
  void OnProbeFailed(Member& member);
  void SendPingRequests();
  std::optional<NodeId> NextTarget();
  std::vector<NodeId> RandomOthers(std::size_t count, NodeId except);
  /// @param disseminate whether to gossip a newly learned member; false for members of a full list.
  void Merge(const MemberUpdate& update, bool disseminate);
  void MergeAboutSelf(const MemberUpdate& update);
  void DeclarePredecessorsDead(const MemberInfo& newcomer);
  void SetStatus(Member& member, MemberStatus status, std::uint32_t incarnation);
  void EnqueueUpdate(NodeId subject);
  Packet MakePacket(PacketKind kind, std::uint64_t sequence, NodeId target);
  void Send(const wire::Endpoint& to, Packet packet);
  void JoinSeeds();
  void Gossip();
  void Repair();
  /// @return a hash of the members and their states, without dead members, which expire.
  std::uint64_t Digest() const;
  std::vector<PendingUpdate> TakeLeastSent(std::size_t count);
  void ExpireSuspects();
  void RemoveExpiredDead();
  MemberList FullList(bool reply_wanted) const;

  MemberInfo self_;
  MembershipOptions options_;
  std::vector<wire::Endpoint> seeds_;
  Random random_;
  absl::Time now_;
  std::map<NodeId, Member> members_;  // Self included.
  std::set<NodeId> suspects_;         // Those in `members_` whose status is kSuspect.
  std::deque<NodeId> probe_order_;
  std::optional<Probe> probe_;
  std::map<std::uint64_t, RelayedProbe> relayed_;
  std::vector<PendingUpdate> pending_updates_;
  std::uint64_t last_sequence_ = 0;
  absl::Time next_probe_;
  absl::Time next_gossip_;
  absl::Time next_repair_;
  absl::Time next_join_;
  absl::Time next_dead_cleanup_;
  std::uint64_t version_ = 0;
  std::uint64_t refuted_ = 0;
  MembershipEffects effects_;
};

}  // namespace martenyard::membership
