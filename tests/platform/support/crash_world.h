// Two gateways and many runners, some requests of which end the process of the runner that runs
// them.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "platform/support/platform_world.h"
#include "platform/support/recording_runner.h"

namespace martenyard::testing {

inline constexpr char kFatalMark[] = "fatal-mark";

class CrashWorld : public PlatformWorld {
 public:
  /// @param downtime of a runner after its end; it returns with another id.
  explicit CrashWorld(int runners, absl::Duration downtime = absl::Seconds(2));

  /// Starts the roles and two gateways with the recording runners in place of the standard ones.
  void StartAll();
  /// Requires that both gateways know exactly the listening runners.
  void AwaitRunners();

  RunBook& book() { return book_; }
  std::vector<std::unique_ptr<RecordingRunner>>& runners() { return runners_; }
  /// @return how many runners ended under requests with this body.
  int EndsUnder(const std::string& body) const;
  /// @return how many runs of requests with this body began.
  int RunsOf(const std::string& body) const;
  /// Starts a request at a gateway: 0 or 1.
  std::shared_ptr<Dialogue> Begin(int gateway, const ClientRequest& request);
  /// @return the answer of a gateway: 0 or 1.
  ClientAnswer AskAt(int gateway, const ClientRequest& request);

 private:
  void List(const RecordingRunner& runner);
  void RestartLater(RecordingRunner& runner);

  RunBook book_;
  absl::Duration downtime_;
  int restarts_ = 0;
  std::vector<std::unique_ptr<RecordingRunner>> runners_;
};

}  // namespace martenyard::testing
