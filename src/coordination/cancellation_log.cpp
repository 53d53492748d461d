#include "coordination/cancellation_log.hpp"

namespace dunebridge::coordination {

namespace {
// Whoever misses what is dropped for room finds a gap in the numbers, and must read the state
// service.
constexpr std::size_t kMaxKept = 400;
constexpr Millis kForgetEvery{5000};
}  // namespace

CancellationLog::CancellationLog(sansio::Context& port, const config::Config& config)
    : context_(port), config_(config) {
    part_.incarnation = port.random() | 1u;
}

bool CancellationLog::append(const JobId& id) {
    if (!known_.try_emplace(id, context_.now()).second) return false;
    part_.jobs.push_back(id);
    since_.push_back(context_.now());
    return true;
}

const CancellationLogSegment& CancellationLog::retained() {
    std::size_t over = part_.jobs.size() > kMaxKept ? part_.jobs.size() - kMaxKept : 0;
    const auto keep = config_.cancellation_deadline * 3 / 2;
    while (over < since_.size() && context_.now() - since_[over] > keep) ++over;
    const auto end = static_cast<std::ptrdiff_t>(over);
    part_.jobs.erase(part_.jobs.begin(), part_.jobs.begin() + end);
    since_.erase(since_.begin(), since_.begin() + end);
    part_.first += over;
    if (context_.now() >= next_forget_) {
        next_forget_ = context_.now() + kForgetEvery;
        std::erase_if(known_, [&](const auto& k) { return context_.now() - k.second > 2 * keep; });
    }
    return part_;
}

}  // namespace dunebridge::coordination
