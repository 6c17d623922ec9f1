#include "platform/support/soak_setup.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <cstdlib>
#include <filesystem>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace martenyard::testing {
namespace {

constexpr int kRanges = 250;
constexpr std::uint16_t kLockPort = 17379;

}  // namespace

int SoakNumber(const std::string& name, int fallback) {
  const char* text = std::getenv(absl::StrCat("MARTENYARD_SOAK_", name).c_str());
  int value = 0;
  return text != nullptr && absl::SimpleAtoi(text, &value) ? value : fallback;
}

void KeepSoak(const std::string& report, const std::string& folder, const std::string& name) {
  const char* keep = std::getenv("MARTENYARD_SOAK_KEEP");
  if (!report.empty() && keep != nullptr) {
    std::filesystem::copy(folder, absl::StrCat(keep, "/", name),
                          std::filesystem::copy_options::recursive |
                              std::filesystem::copy_options::overwrite_existing);
  }
}

AddressRange::AddressRange() {
  for (int tried = 0; tried < kRanges && socket_ < 0; ++tried) {
    number_ = 1 + (getpid() + tried) % kRanges;
    Hold();
  }
}

AddressRange::~AddressRange() { close(socket_); }

void AddressRange::Hold() {
  int file = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(kLockPort);
  address.sin_addr.s_addr =
      htonl((127U << 24U) | (73U << 16U) | (static_cast<std::uint32_t>(number_) << 8U) | 254U);
  if (bind(file, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0) {
    socket_ = file;
  } else {
    close(file);
  }
}

}  // namespace martenyard::testing
