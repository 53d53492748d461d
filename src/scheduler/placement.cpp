#include "scheduler/placement.hpp"

#include <tuple>

namespace dunebridge::scheduler {

namespace {

double used_share(const Room& r) {
    return r.total.cores > 0 ? 1.0 - r.free.cores / r.total.cores : 0.0;
}

}  // namespace

std::optional<std::size_t> best_fit(const std::vector<Room>& rooms, const Resources& need,
                                    const Allowed& allowed) {
    std::optional<std::size_t> best;
    std::tuple<double, bool, double> best_rank;
    for (std::size_t i = 0; i < rooms.size(); ++i) {
        const auto& r = rooms[i];
        if (!r.free.holds(need) || !r.later.holds(need) || !allowed(i)) continue;
        const std::tuple rank{used_share(r), r.has_image, -r.total.cores};
        if (best && rank <= best_rank) continue;
        best = i;
        best_rank = rank;
    }
    return best;
}

std::optional<std::size_t> promised_fit(const std::vector<Room>& rooms, const Resources& need,
                                        const Allowed& allowed) {
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < rooms.size(); ++i) {
        if (!rooms[i].later.holds(need) || !allowed(i)) continue;
        if (!best || rooms[i].earliest_s < rooms[*best].earliest_s) best = i;
    }
    return best;
}

}  // namespace dunebridge::scheduler
