#include "sansio/log.hpp"

namespace dunebridge::sansio {

namespace {
constexpr int kMaxLinesPerWindow = 5;
constexpr Millis kWindow{1000};
}  // namespace

bool LogRateLimit::allow(std::string_view kind, Instant now) {
    auto& window = windows_[std::string(kind)];
    if (now - window.since >= kWindow) window = {now, 0};
    return ++window.lines <= kMaxLinesPerWindow;
}

}  // namespace dunebridge::sansio
