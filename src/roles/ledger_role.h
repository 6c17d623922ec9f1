// The ledger role: connects a storage machine's replicas of the turn ledger to its disk, its peers
// and the platform's store.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "event_log/event_log.h"
#include "roles/directory_keys.h"
#include "roles/ledger/group_layout_record.h"
#include "roles/ledger/machine_retirement.h"
#include "roles/ledger/persisted_mirrors.h"
#include "roles/ledger/work_stats.h"
#include "roles/memory/memory_guard.h"
#include "roles/peer_registry.h"
#include "roles/peers/peer_link.h"
#include "roles/platform_formats.h"
#include "roles/role_settings.h"
#include "roles/ticker.h"
#include "storage/log_store.h"
#include "store/metadata_store.h"
#include "store/prefix_mirror.h"
#include "turn_ledger/groups/group_layout.h"
#include "turn_ledger/turn_replica.h"
#include "wire/event_loop.h"
#include "wire/transport.h"

namespace martenyard::roles {

/// The log store's folder within the data folder.
inline constexpr char kLogFolder[] = "log";

/// Opens the log store; injected so that tests can substitute the disk.
using OpenLogStore = std::function<Result<std::unique_ptr<storage::LogStore>>()>;

class LedgerRole {
 public:
  LedgerRole(wire::EventLoop& loop, const RoleSettings& settings, const PlatformFormats& formats,
             store::MetadataStore& store, event_log::EventLog& log, OpenLogStore open_log_store);

  /// Errors: wire::TransportError.
  /// May be called again after an error.
  Result<void> Start();
  /// Planned stop: transfers leadership, then stops the loop.
  void RequestStop();
  /// @return this machine's replica of the group with the lowest id, or null if it has none.
  const turn_ledger::TurnReplica* replica() const {
    return replicas_.empty() ? nullptr : replicas_.begin()->second.get();
  }
  void OnFrame(const std::string& payload);

 private:
  void OpenDisk();
  Result<void> LoadDisk();
  void QuarantineDamagedLog();
  turn_ledger::TurnReplica& StartReplica(GroupId group, consensus::RestoredState restored);
  std::optional<consensus::Entry> ReadStored(GroupId group, consensus::EntryId entry);
  turn_ledger::TurnReplica* Find(GroupId group);
  void Tick(absl::Time now);
  /// Stores, sends and applies until no replica has pending work.
  void ProcessReady();
  /// One pass over all replicas. @return false when the disk failed.
  bool ProcessReadyOnce();
  /// Writes with one sync. @return false when the disk failed.
  bool Store(const std::vector<storage::GroupWrite>& writes);
  /// Stores the next part of the replica's snapshot in progress, if any.
  void StoreSnapshotStep(GroupId group, turn_ledger::TurnReplica& replica);
  /// Makes the replicas refuse new reservations while this process is near its memory limit.
  void CheckMemory();
  /// Sends the next parts of snapshots to other group members.
  void SendTransfers(GroupId group, turn_ledger::TurnReplica& replica);
  void OnStagedEntries(GroupId group, const consensus::StagedEntries& staged);
  void OnDiskFailed(const std::string& detail);

  void OnLogMessage(const turn_ledger::Machine& from, const turn_ledger::LogMessage& message);
  void OnRequest(const wire::Endpoint& from, const turn_ledger::LedgerRequest& request,
                 wire::Layout layout);
  void OnChainRequest(const wire::Endpoint& from, const turn_ledger::chain_request& request);
  void OnHello(const turn_ledger::Hello& hello);
  void OnPeerDown(const wire::Endpoint& peer);
  void UpdateMachine(const turn_ledger::Machine& machine, bool heard_directly);
  /// @return the time between two hellos, which grows with the number of known machines.
  absl::Duration HelloInterval() const;
  void SendHello();
  void SendRaft(GroupId group, const consensus::Outbound& outbound);
  /// @return whether log messages already show all peers that this machine is alive.
  bool HelloIsRedundant();

  void OnDirectoryChange(const store::StoreChange& change);
  /// Receives the machines that the operator wants retired.
  void OnRetiringMachines(const std::vector<std::string>& machines);
  async_http::Task<void> Register();
  async_http::Task<void> BootstrapGroups();
  void StartRecordedGroups();

  void LogReplicaRole(GroupId group, const turn_ledger::TurnReplica& replica);
  /// Logs once that a replica can't read an entry written by a later build.
  void LogHaltedReplica(GroupId group, const turn_ledger::TurnReplica& replica);
  void LogProgress(GroupId group, const turn_ledger::TurnReplica& replica);
  void LogWork();
  turn_ledger::Machine Self() const;

  /// The state of a replica that was logged last.
  struct LoggedRole {
    consensus::Role role = consensus::Role::kFollower;
    consensus::Term term = 0;
    consensus::Configuration configuration;
    friend bool operator==(const LoggedRole&, const LoggedRole&) = default;
  };

  wire::EventLoop& loop_;
  RoleSettings settings_;
  const PlatformFormats& formats_;
  store::MetadataStore& store_;
  event_log::EventLog& log_;
  OpenLogStore open_log_store_;
  wire::Transport transport_;
  wire::Transport bulk_transport_;  ///< Sends copies of the runners, on connections of its own.
  peer_link link_;
  store::PrefixMirror directory_;
  group_layout_record layout_record_;
  machine_retirement retirement_;
  persisted_mirrors persisted_mirrors_;
  PeerRegistry peers_;
  Ticker ticker_;

  NodeId identity_;
  std::unique_ptr<storage::LogStore> disk_;
  std::map<GroupId, std::unique_ptr<turn_ledger::TurnReplica>> replicas_;
  bool stopping_ = false;
  absl::Time stop_deadline_;
  absl::Time next_hello_;
  absl::Time next_log_flush_;
  absl::Time next_progress_log_;
  std::map<GroupId, std::optional<LoggedRole>> logged_roles_;
  std::set<GroupId> halted_groups_;  ///< Groups whose replica was logged as unreadable.
  std::uint64_t synced_writes_ = 0;
  work_stats work_stats_;
  memory_guard memory_;
  absl::Time next_memory_check_;
  Random random_;
};

}  // namespace martenyard::roles
