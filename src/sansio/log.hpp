/// \file
/// Log records, and the limit on how many errors of one kind are written.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/types.hpp"

namespace dunebridge::sansio {

/// Severity of a log record, the most severe first.
enum class LogLevel : std::uint8_t { error, info, debug };

/// One line of the log, without time and node.
struct LogRecord {
    LogLevel level = LogLevel::info;
    std::string text;
};

/// Limits the rate of errors of one kind, so that whoever sends malformed messages cannot fill the
/// log.
class LogRateLimit {
  public:
    /// Counts one more error of that kind; false if it is not to be written.
    bool allow(std::string_view kind, Instant now);

  private:
    struct Window {
        Instant since{};
        int lines = 0;
    };
    std::unordered_map<std::string, Window> windows_;
};

}  // namespace dunebridge::sansio
