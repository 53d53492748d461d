// Runs drawn days of the simulation, seed after seed, and names those that break a rule:
//     build/tests/tests/soak FROM COUNT
#include <cstdlib>
#include <iostream>

#include "sim/random_scenarios.hpp"

int main(int argc, char** argv) {
    using namespace dunebridge::sim;
    if (argc != 3) {
        std::cerr << "soak FROM COUNT\n";
        return 2;
    }
    const auto from = std::strtoull(argv[1], nullptr, 10);
    const auto count = std::strtoull(argv[2], nullptr, 10);
    std::uint64_t bad = 0;
    for (auto seed = from; seed < from + count; ++seed) {
        const bool compound = seed % 2 == 1;
        SimulatedCluster cluster(compound ? random_compound_options(seed)
                                          : random_scenario_options(seed));
        compound ? run_random_compound_scenario(cluster) : run_random_scenario(cluster, seed);
        if (cluster.violated_invariants().empty() && cluster.users().unfinished_jobs() == 0)
            continue;
        ++bad;
        std::cout << "seed " << seed << "\n";
        std::cout << cluster.describe_violations() << cluster.users().describe_unfinished()
                  << std::flush;
    }
    std::cout << count << " seeds, " << bad << " bad\n";
    return bad == 0 ? 0 : 1;
}
