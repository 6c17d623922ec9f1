// Which layout a message's bytes have, so that builds that run side by side understand each other.
//
// A message whose members change gets a new layout here. Its `serialize` then leaves out, in
// earlier layouts, what they don't have; so every build writes and reads all layouts up to its own.
// A layout is never changed once a build that writes it may run somewhere: tests/layouts holds the
// bytes.
#pragma once

#include <cstdint>

namespace martenyard::wire {

/// In the order in which builds learned them. Frames of the first two don't say which they have.
enum class Layout : std::uint16_t {
  kUnmarked1 = 1,
  kUnmarked2 = 2,  ///< Adds limits of tenants, and reservations for known programs only.
  kMarked3 = 3,    ///< The same messages, in frames that say which layout they have.
};

inline constexpr Layout kOldestLayout = Layout::kUnmarked1;
inline constexpr Layout kNewestLayout = Layout::kMarked3;
/// Of all bytes that don't say which they have: in the store, in logs and snapshots, on disks, in
/// datagrams, and in frames of the product's daemons. A build must not write another one there
/// before whoever reads it, or finds it later, is known to understand that.
inline constexpr Layout kUnmarkedLayout = Layout::kUnmarked2;

/// @return whether bytes of the archive's layout have what came with `since`. Archives without a
/// layout write and read the newest.
template <typename Archive>
constexpr bool HasLayout(const Archive& archive, Layout since) {
  if constexpr (requires { archive.layout(); }) {
    return archive.layout() >= since;
  } else {
    return true;
  }
}

}  // namespace martenyard::wire
