// The other storage machines that a ledger machine has heard of; they outlive its process.
#pragma once

#include <map>
#include <set>
#include <string>

#include "event_log/event_log.h"
#include "turn_ledger/messages.h"

namespace martenyard::roles {

class PeerBook {
 public:
  /// @param path where the book is kept; a missing file is an empty book, and so is a torn one,
  /// which is logged. What can't be written is logged: the machine then asks the store again after
  /// its next start.
  PeerBook(std::string path, event_log::EventLog& log);

  /// Notes what is known of a machine. @return true when that is news.
  bool Note(const turn_ledger::Machine& machine);
  /// The machine spoke for itself in this process's life: its word goes before any directory's.
  void NoteHeard(const std::string& name) { heard_.insert(name); }
  bool HasHeard(const std::string& name) const { return heard_.contains(name); }
  bool Knows(const std::string& name) const { return machines_.contains(name); }
  /// @return the machine that has this identity now, or null.
  const turn_ledger::Machine* Find(NodeId identity) const;
  const std::map<std::string, turn_ledger::Machine>& machines() const { return machines_; }

 private:
  void Load();
  void Save() const;

  std::string path_;
  event_log::EventLog& log_;
  std::map<std::string, turn_ledger::Machine> machines_;  // By name.
  std::map<NodeId, std::string> names_;                   // By identity.
  std::set<std::string> heard_;
};

}  // namespace martenyard::roles
