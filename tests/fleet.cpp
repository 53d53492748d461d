// Runs the day of a large fleet and prints what the controllers cost, for a curve over its size:
//     build/release/tests/fleet MACHINES
#include <sys/resource.h>

#include <cstdlib>
#include <iostream>

#include "sim/large_fleet_scenario.hpp"

int main(int argc, char** argv) {
    using namespace dunebridge::sim;
    if (argc != 2) {
        std::cerr << "fleet MACHINES\n";
        return 2;
    }
    SimulatedCluster world(fleet_options(std::strtoull(argv[1], nullptr, 10)));
    const auto day = run_fleet_day(world);
    const auto& load = world.load();
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    std::cout << fmt::format(
        "machines_up={} tasks={} killed_by_lease={} seconds={:.0f} processor_s={:.2f} "
        "longest_step_ms={:.1f} steps={} mib_sent={:.1f} changes={} most_changes_a_second={} "
        "rss_mib={}\n",
        day.most_up, world.tasks_started(), day.killed_by_lease, world.elapsed_s(),
        load.processor_s, load.longest_step_s * 1000, load.steps,
        static_cast<double>(load.bytes) / (1024 * 1024), world.state().changes(),
        world.state().most_changes_in_a_second(), usage.ru_maxrss / 1024);
    std::cout << world.describe_violations() << world.describe_unfinished();
    return world.violated_invariants().empty() && world.unfinished_jobs() == 0 ? 0 : 1;
}
