// Writes a line of the event log when the process ends abnormally.
#pragma once

#include <memory>

#include "event_log/event_log.h"

namespace martenyard::process
{

/// @brief reports uncaught exceptions, calls of std::terminate and fatal signals
///
/// The line has the event `process_crashed`. If the main thread fails, what the log has buffered is written
/// before it. The process then ends as it would have without the report. At most one object exists at a time.
class crash_reporter
{
  public:
    /// @param[in] file  open descriptor that the line is written to, without blocking
    explicit crash_reporter(int file);
    ~crash_reporter();
    crash_reporter(const crash_reporter&) = delete;
    crash_reporter& operator=(const crash_reporter&) = delete;

    /// @brief names the process in the line, and writes the log's buffered lines before it
    /// @param[in] log  writes to the same descriptor and outlives this object
    void set_log(const event_log::EventLog& log);

    struct state;

  private:
    std::unique_ptr<state> m_state;
};

}  // namespace martenyard::process
