// Structured logs over log4cplus: short sentences, each part of the daemon with a fixed prefix.
#pragma once

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <string>
#include <string_view>

namespace martenyard {

/// How log lines are written.
enum class LogFormat { kText, kJson };

/// Sets up logging to standard error. Call once, before the first log line.
/// @param level one of trace, debug, info, warn, error, off.
/// @return false if the level is none of those.
bool InitLogging(std::string_view level, LogFormat format);

/// @return the logger for one part of the program; its name is the fixed prefix of its lines.
log4cplus::Logger PartLogger(std::string_view prefix);

}  // namespace martenyard

#define MARTENYARD_LOG_INFO(prefix, text) LOG4CPLUS_INFO(::martenyard::PartLogger(prefix), text)
#define MARTENYARD_LOG_WARN(prefix, text) LOG4CPLUS_WARN(::martenyard::PartLogger(prefix), text)
#define MARTENYARD_LOG_ERROR(prefix, text) LOG4CPLUS_ERROR(::martenyard::PartLogger(prefix), text)
#define MARTENYARD_LOG_DEBUG(prefix, text) LOG4CPLUS_DEBUG(::martenyard::PartLogger(prefix), text)
