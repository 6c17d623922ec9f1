#include "base/logging.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

namespace martenyard {
namespace {

constexpr char kTextPattern[] = "%D{%Y-%m-%dT%H:%M:%S.%qZ} %-5p %c: %m%n";

/// Formats each event as one line with a JSON object: time, level, part, message.
class JsonLayout : public log4cplus::Layout {
 public:
  void formatAndAppend(log4cplus::tostream& output,
                       const log4cplus::spi::InternalLoggingEvent& event) override {
    nlohmann::json line;
    line["time"] =
        log4cplus::helpers::getFormattedTime("%Y-%m-%dT%H:%M:%S.%qZ", event.getTimestamp(), true);
    line["level"] = log4cplus::getLogLevelManager().toString(event.getLogLevel());
    line["part"] = event.getLoggerName();
    line["message"] = event.getMessage();
    output << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << '\n';
  }
};

bool ParseLevel(std::string_view level, log4cplus::LogLevel* parsed) {
  static constexpr std::pair<std::string_view, log4cplus::LogLevel> kLevels[] = {
      {"trace", log4cplus::TRACE_LOG_LEVEL}, {"debug", log4cplus::DEBUG_LOG_LEVEL},
      {"info", log4cplus::INFO_LOG_LEVEL},   {"warn", log4cplus::WARN_LOG_LEVEL},
      {"error", log4cplus::ERROR_LOG_LEVEL}, {"off", log4cplus::OFF_LOG_LEVEL},
  };
  for (const auto& [name, value] : kLevels) {
    if (name == level) {
      *parsed = value;
      return true;
    }
  }
  return false;
}

}  // namespace

bool InitLogging(std::string_view level, LogFormat format) {
  log4cplus::LogLevel parsed = log4cplus::INFO_LOG_LEVEL;
  if (!ParseLevel(level, &parsed)) {
    return false;
  }
  static log4cplus::Initializer initializer;
  std::unique_ptr<log4cplus::Layout> layout;
  if (format == LogFormat::kJson) {
    layout = std::make_unique<JsonLayout>();
  } else {
    layout = std::make_unique<log4cplus::PatternLayout>(kTextPattern);
  }
  log4cplus::SharedAppenderPtr appender(
      new log4cplus::ConsoleAppender(/*logToStdErr=*/true, /*immediateFlush=*/true));
  appender->setLayout(std::move(layout));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  root.setLogLevel(parsed);
  return true;
}

log4cplus::Logger PartLogger(std::string_view prefix) {
  static log4cplus::Initializer initializer;
  return log4cplus::Logger::getInstance(std::string(prefix));
}

}  // namespace martenyard
