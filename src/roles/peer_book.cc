#include "roles/peer_book.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "wire/codec.h"

namespace martenyard::roles {

using turn_ledger::Machine;

namespace {

/// Replaces a small file so that it is whole after any loss of power: the old one or the new.
/// @return what failed, or nothing.
std::string ReplaceFile(const std::string& path, const std::string& bytes) {
  std::string fresh = path + ".new";
  int file = open(fresh.c_str(), O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, 0644);
  if (file < 0) {
    return absl::StrCat("cannot create ", fresh, ": ", std::strerror(errno));
  }
  ssize_t count = write(file, bytes.data(), bytes.size());
  bool written = count == static_cast<ssize_t>(bytes.size()) && fdatasync(file) == 0;
  int failure = errno;
  close(file);
  if (!written) {
    return absl::StrCat("cannot write ", fresh, ": ", std::strerror(failure));
  }
  std::error_code error;
  std::filesystem::rename(fresh, path, error);
  return error ? absl::StrCat("cannot replace ", path, ": ", error.message()) : "";
}

}  // namespace

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
  std::ifstream file(path_, std::ios::binary);
  if (!file) {
    return;  // The first start on this disk.
  }
  std::stringstream bytes;
  bytes << file.rdbuf();
  auto machines = wire::Decode<std::vector<Machine>>(bytes.str());
  if (!machines) {
    log_.Write(event_log::Line("peer_book_unreadable")
                   .Number("bytes", static_cast<std::int64_t>(bytes.str().size())));
    return;
  }
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
  std::string failure = ReplaceFile(path_, wire::Encode(machines));
  if (!failure.empty()) {
    log_.Write(event_log::Line("peer_book_unsaved").Text("detail", failure));
  }
}

}  // namespace martenyard::roles
