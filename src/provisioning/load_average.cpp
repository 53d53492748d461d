#include "provisioning/load_average.hpp"

#include <cmath>

namespace dunebridge::provisioning {

namespace {
constexpr double kTimeConstant_s = 45;
}  // namespace

void LoadAverage::observe() {
    double cores = 0;
    for (const auto& [host, machine] : state_.machines()) cores += machine.allocated.cores;
    const auto now = context_.now();
    const bool first = last_observation_ == Instant{};
    const double elapsed_s = first ? 0 : to_seconds(now - last_observation_);
    last_observation_ = now;
    const double decay = elapsed_s > 0 ? std::exp(-elapsed_s / kTimeConstant_s) : 0.0;
    cores_ = cores_ * decay + cores * (1 - decay);
}

}  // namespace dunebridge::provisioning
