/// \file
/// Log records, and the rate limit on errors.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/types.hpp"

namespace dunebridge::sansio {

/// Severity of a log record, most severe first.
enum class LogLevel : std::uint8_t { error, info, debug };

/// One log line without its timestamp and node name, which the I/O layer adds.
struct LogRecord {
    LogLevel level = LogLevel::info;
    std::string text;
};

/// Limits the rate of errors of one kind, so that a client that sends malformed messages cannot
/// fill the log.
class LogRateLimit {
  public:
    /// Counts an error of the given kind. Returns false if it must not be logged.
    bool allow(std::string_view kind, Instant now);

  private:
    struct Window {
        Instant since{};
        int lines = 0;
    };
    std::unordered_map<std::string, Window> windows_;
};

}  // namespace dunebridge::sansio
