#include "roles/peer_registry.h"

#include <optional>
#include <utility>
#include <vector>

#include "storage/small_file.h"
#include "wire/codec.h"

namespace martenyard::roles {

using turn_ledger::Machine;

PeerRegistry::PeerRegistry(std::string path, event_log::EventLog& log)
    : path_(std::move(path)), log_(log) {
  Load();
}

bool PeerRegistry::Update(const Machine& machine) {
  auto known = machines_.find(machine.name);
  if (known != machines_.end() && known->second == machine) {
    return false;
  }
  if (known != machines_.end()) {
    names_by_identity_.erase(known->second.identity);
  }
  machines_[machine.name] = machine;
  names_by_identity_[machine.identity] = machine.name;
  Save();
  return true;
}

const Machine* PeerRegistry::Find(NodeId identity) const {
  auto name = names_by_identity_.find(identity);
  return name == names_by_identity_.end() ? nullptr : &machines_.at(name->second);
}

void PeerRegistry::Load() {
  std::optional<std::string> bytes = storage::ReadSmallFile(path_);
  if (!bytes) {
    return;  // First start on this disk.
  }
  auto machines = wire::Decode<std::vector<Machine>>(*bytes);
  if (!machines) {
    log_.Write(event_log::Line("peer_book_unreadable")
                   .Number("bytes", static_cast<std::int64_t>(bytes->size())));
    return;
  }
  log_.Write(event_log::Line("peer_book_read")
                 .Number("machines", static_cast<std::int64_t>(machines->size())));
  for (Machine& machine : *machines) {
    std::string name = machine.name;
    names_by_identity_[machine.identity] = name;
    machines_[name] = std::move(machine);
  }
}

void PeerRegistry::Save() const {
  std::vector<Machine> machines;
  for (const auto& [name, machine] : machines_) {
    machines.push_back(machine);
  }
  std::string failure = storage::ReplaceFile(path_, wire::Encode(machines));
  if (!failure.empty()) {
    log_.Write(event_log::Line("peer_book_unsaved").Text("detail", failure));
  }
}

}  // namespace martenyard::roles
