// The other storage machines known to a ledger machine, persisted across restarts.
#pragma once

#include <map>
#include <set>
#include <string>

#include "event_log/event_log.h"
#include "turn_ledger/messages.h"

namespace martenyard::roles {

class PeerRegistry {
 public:
  /// Loads the registry. A missing file yields an empty registry, and so does an unreadable one,
  /// which is logged. A failed write is logged: after a restart, the peers are read from the store
  /// again.
  PeerRegistry(std::string path, event_log::EventLog& log);

  /// Adds or updates a machine. @return whether anything changed.
  bool Update(const turn_ledger::Machine& machine);
  /// Notes that this process received a message from the machine itself, whose data take precedence
  /// over the directory's.
  void MarkHeardFrom(const std::string& name) { heard_from_.insert(name); }
  bool HasHeardFrom(const std::string& name) const { return heard_from_.contains(name); }
  bool Contains(const std::string& name) const { return machines_.contains(name); }
  /// @return the machine with this identity, or null.
  const turn_ledger::Machine* Find(NodeId identity) const;
  const std::map<std::string, turn_ledger::Machine>& machines() const { return machines_; }

 private:
  void Load();
  void Save() const;

  std::string path_;
  event_log::EventLog& log_;
  std::map<std::string, turn_ledger::Machine> machines_;  // By name.
  std::map<NodeId, std::string> names_by_identity_;
  std::set<std::string> heard_from_;
};

}  // namespace martenyard::roles
