// Logging through log4cplus, with one named logger per component.
#pragma once

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <string>
#include <string_view>

namespace martenyard {

/// Plain text lines, or one JSON object per line.
enum class LogFormat { kText, kJson };

/// Sets up logging to standard error. Call once, before the first log line.
/// @param level one of trace, debug, info, warn, error, off.
/// @return false if the level is unknown.
bool InitLogging(std::string_view level, LogFormat format);

/// @return the logger of one component; its name prefixes its lines.
log4cplus::Logger PartLogger(std::string_view prefix);

}  // namespace martenyard

#define MARTENYARD_LOG_INFO(prefix, text) LOG4CPLUS_INFO(::martenyard::PartLogger(prefix), text)
#define MARTENYARD_LOG_WARN(prefix, text) LOG4CPLUS_WARN(::martenyard::PartLogger(prefix), text)
#define MARTENYARD_LOG_ERROR(prefix, text) LOG4CPLUS_ERROR(::martenyard::PartLogger(prefix), text)
#define MARTENYARD_LOG_DEBUG(prefix, text) LOG4CPLUS_DEBUG(::martenyard::PartLogger(prefix), text)
