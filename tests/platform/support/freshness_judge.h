// Judges whether gateways went by what the store had acknowledged, from what was seen outside: no
// I/O, no clock.
//
// A gateway is bound while it is in touch: for a while it has run undisturbed, and the store has
// had no trouble. Then a configuration is in force within a bound of its acknowledgement, and a
// leaving runner gets nothing any more.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"

namespace martenyard::testing {

struct FreshnessBounds {
  absl::Duration contact = absl::Seconds(3);  ///< Without trouble, until a gateway is in touch.
  absl::Duration configuration_apply = absl::Seconds(2);
  absl::Duration drain = absl::Seconds(2);
  /// For how late an observer notes what it sees, on a busy machine.
  absl::Duration slack = absl::Milliseconds(300);
};

class FreshnessJudge {
 public:
  explicit FreshnessJudge(const FreshnessBounds& bounds) : bounds_(bounds) {}

  /// The store, or one gateway, has trouble from now on; `EndTrouble` must follow. They may
  /// overlap.
  void BeginTrouble(const std::string& whom, absl::Time now);
  void EndTrouble(const std::string& whom, absl::Time now);
  /// Something that was over at once, such as a start or a reset of connections.
  void NoteTrouble(const std::string& whom, absl::Time now);

  void NoteAcknowledged(int version, absl::Time now);
  void NoteLeaving(const std::string& runner, absl::Time now);
  void NoteReturned(const std::string& runner) { leaving_.erase(runner); }

  /// @return the version that a gateway must go by for a request sent then; nothing: it isn't
  /// bound.
  std::optional<int> VersionOwed(const std::string& gateway, absl::Time sent) const;
  /// A request showed which version a gateway goes by, at least and at most.
  void NoteHandled(const std::string& gateway, absl::Time sent, bool as_owed,
                   const std::string& what);
  /// A request of a gateway reached a runner.
  void NoteArrival(const std::string& gateway, const std::string& runner, absl::Time now);

  /// @return a line a broken bound; empty when all held.
  const std::string& report() const { return report_; }
  /// Requests that were judged: a soak without any proves nothing.
  int judged() const { return judged_; }

  static constexpr char kStore[] = "the store";

 private:
  bool IsCalm(const std::string& whom, absl::Time at) const;
  std::string Moment(absl::Time at) const;

  struct Acknowledged {
    int version = 0;
    absl::Time at;
  };

  FreshnessBounds bounds_;
  std::map<std::string, int> troubles_;              // Under way.
  std::map<std::string, absl::Time> trouble_until_;  // The last one's end.
  std::vector<Acknowledged> versions_;
  std::map<std::string, absl::Time> leaving_;
  std::optional<absl::Time> began_;
  std::string report_;
  int judged_ = 0;
};

}  // namespace martenyard::testing
