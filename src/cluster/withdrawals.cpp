#include "cluster/withdrawals.hpp"

namespace dunebridge::cluster {

namespace {
// Whoever misses what is dropped for room finds a gap in the numbers, and must read the state
// service.
constexpr std::size_t kMostKept = 400;
}  // namespace

Withdrawals::Withdrawals(core::Port& port, const core::Config& config)
    : port_(port), config_(config) {
    part_.incarnation = port.random() | 1u;
}

bool Withdrawals::add(const JobId& id) {
    if (!known_.insert(id).second) return false;
    part_.jobs.push_back(id);
    since_.push_back(port_.now());
    return true;
}

const WithdrawalsPart& Withdrawals::kept() {
    std::size_t over = part_.jobs.size() > kMostKept ? part_.jobs.size() - kMostKept : 0;
    while (over < since_.size() && port_.now() - since_[over] > config_.cancel * 3 / 2) ++over;
    const auto end = static_cast<std::ptrdiff_t>(over);
    for (std::size_t i = 0; i < over; ++i) known_.erase(part_.jobs[i]);
    part_.jobs.erase(part_.jobs.begin(), part_.jobs.begin() + end);
    since_.erase(since_.begin(), since_.begin() + end);
    part_.first += over;
    return part_;
}

}  // namespace dunebridge::cluster
