#include "coordination/cancellation_log.hpp"

namespace dunebridge::coordination {

namespace {
// Limits the size of a heartbeat. A peer that misses entries dropped because of this limit detects
// a gap in the sequence numbers and must read the key-value store.
constexpr std::size_t kMaxRetained = 400;
constexpr Millis kPruneInterval{5000};
}  // namespace

CancellationLog::CancellationLog(sansio::Context& context, const config::Config& config)
    : context_(context), config_(config) {
    segment_.incarnation = context.random() | 1u;  // never 0, because 0 means that there is no log
}

bool CancellationLog::append(const JobId& id) {
    if (!first_seen_at_.try_emplace(id, context_.now()).second) return false;
    segment_.jobs.push_back(id);
    appended_at_.push_back(context_.now());
    return true;
}

const CancellationLogSegment& CancellationLog::retained() {
    // After the cancellation deadline the tasks of the job must have stopped, and no leader needs
    // the entry any more. The factor of 1.5 is a safety margin.
    const auto retention = config_.cancellation_deadline * 3 / 2;
    const auto size = segment_.jobs.size();
    std::size_t dropped = size > kMaxRetained ? size - kMaxRetained : 0;
    while (dropped < size && context_.now() - appended_at_[dropped] > retention) ++dropped;
    drop_oldest(dropped);
    if (context_.now() >= next_prune_at_) {
        next_prune_at_ = context_.now() + kPruneInterval;
        prune_seen_ids(2 * retention);
    }
    return segment_;
}

void CancellationLog::drop_oldest(std::size_t count) {
    const auto end = static_cast<std::ptrdiff_t>(count);
    segment_.jobs.erase(segment_.jobs.begin(), segment_.jobs.begin() + end);
    appended_at_.erase(appended_at_.begin(), appended_at_.begin() + end);
    segment_.first_sequence += count;
}

void CancellationLog::prune_seen_ids(Millis age) {
    std::erase_if(first_seen_at_, [&](const auto& id_and_time) {
        return context_.now() - id_and_time.second > age;
    });
}

}  // namespace dunebridge::coordination
