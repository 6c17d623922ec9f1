// What soaks of real processes share: sizes from the environment, and addresses of their own.
#pragma once

#include <string>

namespace martenyard::testing {

/// @return the number in MARTENYARD_SOAK_`name`, or the fallback where there is none.
int SoakNumber(const std::string& name, int fallback);

/// Copies what the soak's machines left in `folder` below the one that MARTENYARD_SOAK_KEEP names,
/// if there is one and the report tells of anything.
void KeepSoak(const std::string& report, const std::string& folder, const std::string& name);

/// The third byte of this process's addresses 127.A.N.x, held as long as the object lives, so that
/// soaks may run beside each other.
class AddressRange {
 public:
  AddressRange();
  ~AddressRange();
  AddressRange(const AddressRange&) = delete;
  AddressRange& operator=(const AddressRange&) = delete;
  int number() const { return number_; }

 private:
  void Hold();

  int socket_ = -1;
  int number_ = 0;
};

}  // namespace martenyard::testing
