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
    SimulatedCluster cluster(large_fleet_options(std::strtoull(argv[1], nullptr, 10)));
    const auto result = run_large_fleet_scenario(cluster);
    const auto& cost = cluster.statistics().controller_cost;
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    std::cout << fmt::format(
        "machines_up={} tasks={} killed_by_lease={} seconds={:.0f} processor_s={:.2f} "
        "longest_step_ms={:.1f} steps={} mib_sent={:.1f} changes={} most_changes_a_second={} "
        "rss_mib={}\n",
        result.most_up, cluster.statistics().tasks_started, result.killed_by_lease,
        cluster.elapsed_s(), cost.processor_s, cost.longest_step_s * 1000, cost.steps,
        static_cast<double>(cost.bytes) / (1024 * 1024), cluster.kv_store().changes(),
        cluster.kv_store().most_changes_in_a_second(), usage.ru_maxrss / 1024);
    std::cout << cluster.describe_violations() << cluster.users().describe_unfinished();
    return cluster.violated_invariants().empty() && cluster.users().unfinished_jobs() == 0 ? 0 : 1;
}
