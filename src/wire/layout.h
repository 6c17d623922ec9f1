// Versions of the message encoding, so that different builds can run side by side.
//
// Changing the members of a message requires a new layout here. Its `serialize` omits the new
// members in earlier layouts, so every build reads and writes all layouts up to its newest one.
// A layout must not change once a build that writes it is deployed; tests/layouts checks the
// encoded bytes.
#pragma once

#include <cstdint>

namespace martenyard::wire {

/// In the order of their introduction. Frames of the first two don't carry the layout number.
enum class Layout : std::uint16_t {
  kUnmarked1 = 1,
  kUnmarked2 = 2,  ///< Adds limits of tenants, and reservations for known programs only.
  kMarked3 = 3,    ///< The same messages, in frames that carry the layout number.
  kMarked4 = 4,    ///< Adds reservations for waiting programs, and overload to quota requests.
  kMarked5 = 5,    ///< Adds the origins of streams to ledger requests and replies.
  kMarked6 = 6,    ///< Adds the records of runners that ended under a request.
  kMarked7 = 7,    ///< Adds the unsettled tries of a request to ledger replies.
};

inline constexpr Layout kOldestLayout = Layout::kUnmarked1;
inline constexpr Layout kNewestLayout = Layout::kMarked7;
/// Layout of all bytes without a layout number: in the store, in logs and snapshots, on disks, in
/// datagrams, and in frames of the product's daemons. A build must not write another layout there
/// before all present and later readers are known to support it.
inline constexpr Layout kUnmarkedLayout = Layout::kUnmarked2;

/// @return whether the archive's layout includes the members added by `since`. Archives without a
/// layout use the newest.
template <typename Archive>
constexpr bool HasLayout(const Archive& archive, Layout since) {
  if constexpr (requires { archive.layout(); }) {
    return archive.layout() >= since;
  } else {
    return true;
  }
}

}  // namespace martenyard::wire
