#include "roles/peer_book.h"

#include <fcntl.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>
#include <vector>

#include "wire/codec.h"

namespace martenyard::roles {

using turn_ledger::Machine;

namespace {

/// Replaces a small file so that it is whole after any loss of power.
void ReplaceFile(const std::string& path, const std::string& bytes) {
  std::string fresh = path + ".new";
  int file = open(fresh.c_str(), O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, 0644);
  if (file < 0) {
    return;
  }
  bool written = write(file, bytes.data(), bytes.size()) == static_cast<ssize_t>(bytes.size());
  written = written && fdatasync(file) == 0;
  close(file);
  if (written) {
    std::error_code ignored;
    std::filesystem::rename(fresh, path, ignored);
  }
}

}  // namespace

PeerBook::PeerBook(std::string path) : path_(std::move(path)) { Load(); }

bool PeerBook::Note(const Machine& machine) {
  auto known = machines_.find(machine.name);
  if (known != machines_.end() && known->second == machine) {
    return false;
  }
  machines_[machine.name] = machine;
  Save();
  return true;
}

const Machine* PeerBook::Find(NodeId identity) const {
  for (const auto& [name, machine] : machines_) {
    if (machine.identity == identity) {
      return &machine;
    }
  }
  return nullptr;
}

void PeerBook::Load() {
  std::ifstream file(path_, std::ios::binary);
  std::stringstream bytes;
  bytes << file.rdbuf();
  auto machines = wire::Decode<std::vector<Machine>>(bytes.str());
  if (!machines) {
    return;
  }
  for (Machine& machine : *machines) {
    std::string name = machine.name;
    machines_[name] = std::move(machine);
  }
}

void PeerBook::Save() const {
  std::vector<Machine> machines;
  for (const auto& [name, machine] : machines_) {
    machines.push_back(machine);
  }
  ReplaceFile(path_, wire::Encode(machines));
}

}  // namespace martenyard::roles
