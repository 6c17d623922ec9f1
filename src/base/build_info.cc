#include "base/build_info.h"

namespace martenyard {

std::string BuildName() { return MARTENYARD_BUILD; }

}  // namespace martenyard
