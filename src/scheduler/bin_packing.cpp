#include "scheduler/bin_packing.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace dunebridge::scheduler {

namespace {

double used_share(const FreeCapacity& r) {
    return r.total.cores > 0 ? 1.0 - r.free.cores / r.total.cores : 0.0;
}

// Indices by rank, the highest first; equal ranks keep their order.
template <class Rank>
std::vector<std::size_t> by_rank(std::vector<std::pair<Rank, std::size_t>>&& ranked) {
    std::stable_sort(ranked.begin(), ranked.end(),
                     [](const auto& a, const auto& b) { return a.first > b.first; });
    std::vector<std::size_t> out;
    out.reserve(ranked.size());
    for (const auto& [rank, i] : ranked) out.push_back(i);
    return out;
}

}  // namespace

std::vector<std::size_t> best_fit(const std::vector<FreeCapacity>& rooms, const Resources& need,
                                  const Allowed& allowed, const HasImage& has_image) {
    using Rank = std::tuple<double, bool, double>;
    std::vector<std::pair<Rank, std::size_t>> ranked;
    for (std::size_t i = 0; i < rooms.size(); ++i) {
        const auto& r = rooms[i];
        if (!r.free.holds(need) || !r.later.holds(need) || !allowed(i)) continue;
        ranked.emplace_back(Rank{used_share(r), has_image(i), -r.total.cores}, i);
    }
    return by_rank(std::move(ranked));
}

std::vector<std::size_t> future_fit(const std::vector<FreeCapacity>& rooms, const Resources& need,
                                    const Allowed& allowed, const Earliest& earliest_s) {
    std::vector<std::pair<double, std::size_t>> ranked;
    for (std::size_t i = 0; i < rooms.size(); ++i) {
        if (rooms[i].later.holds(need) && allowed(i)) ranked.emplace_back(-earliest_s(i), i);
    }
    return by_rank(std::move(ranked));
}

}  // namespace dunebridge::scheduler
