#include "roles/peer_book.h"

#include <optional>
#include <utility>
#include <vector>

#include "storage/small_file.h"
#include "wire/codec.h"

namespace martenyard::roles {

using turn_ledger::Machine;

PeerBook::PeerBook(std::string path, event_log::EventLog& log) : path_(std::move(path)), log_(log) {
  Load();
}

bool PeerBook::Note(const Machine& machine) {
  auto known = machines_.find(machine.name);
  if (known != machines_.end() && known->second == machine) {
    return false;
  }
  if (known != machines_.end()) {
    names_.erase(known->second.identity);
  }
  machines_[machine.name] = machine;
  names_[machine.identity] = machine.name;
  Save();
  return true;
}

const Machine* PeerBook::Find(NodeId identity) const {
  auto name = names_.find(identity);
  return name == names_.end() ? nullptr : &machines_.at(name->second);
}

void PeerBook::Load() {
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
    names_[machine.identity] = name;
    machines_[name] = std::move(machine);
  }
}

void PeerBook::Save() const {
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
