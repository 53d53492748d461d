// Prints, for each seed, a digest of everything that the controllers emit over a drawn day:
//     build/tests/tests/digest FROM COUNT
// A change that is meant to leave the behaviour as it is prints the same lines before and after.
// Every fourth day is one of an upgrade. The lines are compared by hand and kept nowhere.
#include <cstdlib>
#include <iostream>

#include "sim/random_scenarios.hpp"

int main(int argc, char** argv) {
    using namespace dunebridge;
    using namespace dunebridge::sim;
    if (argc != 3) {
        std::cerr << "digest FROM COUNT\n";
        return 2;
    }
    const auto from = std::strtoull(argv[1], nullptr, 10);
    const auto count = std::strtoull(argv[2], nullptr, 10);
    for (auto seed = from; seed < from + count; ++seed) {
        auto options = random_scenario_options(seed);
        if (seed % 4 == 2) options.old_format = config::kChunkFormat;
        if (seed % 8 == 3) options.old_format = config::kRangeFormat;
        SimulatedCluster cluster(options);
        run_random_scenario(cluster, seed);
        std::cout << seed << " " << std::hex << cluster.statistics().digest << std::dec << " "
                  << cluster.violated_invariants().size() << " "
                  << cluster.users().unfinished_jobs() << std::endl;
    }
    return 0;
}
