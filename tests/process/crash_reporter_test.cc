// Guards against abnormal ends of the process that leave no line in the log.
#include "process/crash_reporter.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <csignal>
#include <functional>
#include <new>
#include <stdexcept>
#include <thread>

namespace martenyard::process {
namespace {

using event_log::EventLog;
using event_log::Line;

/// Throws where no handler catches it, as in the event loop.
template <typename Error>
void Uncaught(const Error& error) noexcept {
  std::function<void()> throwing = [&] { throw error; };
  throwing();
}

// The death tests match standard error only.
class CrashReporterDeathTest : public ::testing::Test {
 protected:
  CrashReporterDeathTest() { GTEST_FLAG_SET(death_test_style, "threadsafe"); }

  template <typename End>
  static void EndWith(End end) {
    EventLog log(STDERR_FILENO, "edge-1");
    crash_reporter reporter(STDERR_FILENO);
    reporter.set_log(log);
    log.Write(Line("started"));
    end();
  }
};

TEST_F(CrashReporterDeathTest, UncaughtExceptionIsNamedAfterTheBufferedLines) {
  EXPECT_EXIT(EndWith([] { Uncaught(std::length_error("too many \"entries\"")); }),
              ::testing::KilledBySignal(SIGABRT),
              "\"event\":\"started\".*\n.*\"sequence\":2,\"node\":\"edge-1\",\"event\":\"process_"
              "crashed\",\"reason\":\"uncaught exception\",\"detail\":\"std::length_error: too "
              "many .entries.\",\"main_thread\":true,\"stack\":\"[^\"]*unit_tests.0x");
}

TEST_F(CrashReporterDeathTest, ExhaustedMemoryIsNamed) {
  EXPECT_EXIT(EndWith([] { Uncaught(std::bad_alloc()); }), ::testing::KilledBySignal(SIGABRT),
              "\"detail\":\"std::bad_alloc: std::bad_alloc\"");
}

TEST_F(CrashReporterDeathTest, ThreadDestroyedWhileItRunsIsReported) {
  EXPECT_EXIT(EndWith([] { std::thread running([] { pause(); }); }),
              ::testing::KilledBySignal(SIGABRT),
              "\"reason\":\"terminate\",\"detail\":\"std::terminate was called without an "
              "exception\"");
}

TEST_F(CrashReporterDeathTest, OtherThreadIsTold) {
  EXPECT_EXIT(EndWith([] {
                std::thread failing([] { throw std::runtime_error("background"); });
                failing.join();
              }),
              ::testing::KilledBySignal(SIGABRT),
              "\"detail\":\"std::runtime_error: background\",\"main_thread\":false");
}

TEST_F(CrashReporterDeathTest, FatalSignalIsReportedAndEndsTheProcess) {
  EXPECT_EXIT(EndWith([] { raise(SIGSEGV); }), ::testing::KilledBySignal(SIGSEGV),
              "\"reason\":\"signal\",\"detail\":\"signal 11 at 0x");
}

TEST_F(CrashReporterDeathTest, AbortIsReportedOnce) {
  EXPECT_EXIT(EndWith([] { std::abort(); }), ::testing::KilledBySignal(SIGABRT),
              "\"reason\":\"signal\",\"detail\":\"signal 6 at 0x");
}

}  // namespace
}  // namespace martenyard::process
