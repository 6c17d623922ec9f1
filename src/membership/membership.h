// Failure detection and membership by SWIM (Das, Gupta, Motivala): random probes, indirect probes,
// suspicion with incarnation numbers, updates piggybacked on the probes. Decision code only.
// The cost per daemon is constant: one probe a period, whatever the number of members.
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

/// What a daemon tells about itself. Constant for one NodeId.
struct MemberInfo {
  NodeId id;
  wire::Endpoint peer;     ///< Frames and datagrams between daemons.
  wire::Endpoint callers;  ///< Its HTTP API.
  ZoneName zone;
  bool durable = false;  ///< It has a data folder.

  friend bool operator==(const MemberInfo&, const MemberInfo&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, peer, callers, zone, durable);
  }
};

/// Later states win over earlier ones at the same incarnation.
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
  std::uint64_t sequence = 0;  ///< Of the probe that this packet belongs to.
  NodeId from;
  wire::Endpoint from_endpoint;
  NodeId target;  ///< kPingRequest: whom to probe; kPing: who should answer.
  std::vector<MemberUpdate> updates;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(kind, sequence, from, from_endpoint, target, updates);
  }
};

/// The member list, sent over a stream: whole as an answer to a join; now and then its digest
/// alone, which is answered with the whole list where it differs.
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

/// Tunables.
struct MembershipOptions {
  absl::Duration probe_interval = absl::Milliseconds(500);
  absl::Duration probe_timeout = absl::Milliseconds(150);  ///< Then others are asked to probe.
  int indirect_probes = 3;
  absl::Duration suspicion = absl::Seconds(2);               ///< Before a suspect counts as dead.
  absl::Duration gossip_interval = absl::Milliseconds(200);  ///< Only while there is news.
  int gossip_fanout = 3;
  absl::Duration repair_interval = absl::Seconds(10);  ///< Digests with a random member.
  absl::Duration keep_dead = absl::Minutes(10);
  int updates_per_packet = 8;
  int retransmit_factor = 3;  ///< Each update is sent about factor * log2(members) times.
};

struct PacketTo {
  wire::Endpoint to;
  Packet packet;
};

struct MemberListTo {
  wire::Endpoint to;
  MemberList list;
};

/// What the owner must send; take it after every call.
struct MembershipEffects {
  std::vector<PacketTo> packets;
  std::vector<MemberListTo> lists;
};

class Membership {
 public:
  Membership(MemberInfo self, const MembershipOptions& options, std::vector<wire::Endpoint> seeds,
             std::uint64_t seed, absl::Time now);

  void Tick(absl::Time now);
  void OnPacket(absl::Time now, const Packet& packet);
  void OnMemberList(absl::Time now, const wire::Endpoint& from, const MemberList& list);
  /// The process at `endpoint` is known to be dead (nothing listens there any more).
  /// @return the member that it was, if it was believed up or leaving, or is dead only since now.
  std::optional<NodeId> OnEndpointDead(absl::Time now, const wire::Endpoint& endpoint);
  /// Tells everyone that this daemon takes no new work; it still answers.
  void Leave();
  MembershipEffects TakeEffects();

  const MemberInfo& self() const { return self_; }
  /// @return members believed up and staying (alive or suspect), this daemon included, by id.
  std::vector<MemberInfo> Live() const;
  /// @return the member if it is known and not dead.
  const MemberInfo* Find(NodeId node) const;
  /// @return the member as last heard of, dead or not, or null.
  const MemberInfo* FindEvenDead(NodeId node) const;
  MemberStatus StatusOf(NodeId node) const;  ///< kDead for unknown members.
  /// @return when the member was declared dead; the infinite past for unknown members.
  absl::Time DeadSince(NodeId node) const;
  /// Changes whenever `Live` does.
  std::uint64_t version() const { return version_; }
  std::size_t known_count() const { return members_.size(); }
  /// Deaths this daemon declared that the member itself refuted afterwards.
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
    bool asked_others = false;
  };
  struct Rumour {
    NodeId about;
    int sends_left = 0;
  };
  struct RelayedProbe {
    wire::Endpoint asker;
    std::uint64_t asker_sequence = 0;
    absl::Time forget_at;
  };

  void StartProbe();
  void OnProbeFailed(Member& member);
  void AskOthers();
  std::optional<NodeId> NextTarget();
  std::vector<NodeId> RandomOthers(std::size_t count, NodeId except);
  /// @param spread false for what came in a whole list: others learn that in their own time.
  void Merge(const MemberUpdate& update, bool spread);
  void MergeAboutSelf(const MemberUpdate& update);
  void RetireEndpoint(const MemberInfo& newcomer);
  void SetStatus(Member& member, MemberStatus status, std::uint32_t incarnation);
  void Spread(NodeId about);
  Packet MakePacket(PacketKind kind, std::uint64_t sequence, NodeId target);
  void Send(const wire::Endpoint& to, Packet packet);
  void JoinSeeds();
  void Gossip();
  void Repair();
  /// @return a hash of who is here in which state; the dead do not count, as they get forgotten.
  std::uint64_t Digest() const;
  std::vector<Rumour> TakeFreshest(std::size_t count);
  void ExpireSuspects();
  void ForgetDead();
  MemberList WholeList(bool reply_wanted) const;

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
  std::vector<Rumour> rumours_;
  std::uint64_t last_sequence_ = 0;
  absl::Time next_probe_;
  absl::Time next_gossip_;
  absl::Time next_repair_;
  absl::Time next_join_;
  absl::Time next_forget_;
  std::uint64_t version_ = 0;
  std::uint64_t refuted_ = 0;
  MembershipEffects effects_;
};

}  // namespace martenyard::membership
