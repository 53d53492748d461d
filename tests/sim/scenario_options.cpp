#include "sim/scenario_options.hpp"

namespace dunebridge::sim {

config::Config make_config(const ScenarioOptions& options) {
    const double size = static_cast<double>(options.machines) / ScenarioOptions().machines;
    config::Config c;
    c.name = ControllerName("node-0");
    c.zones = {"a", "b"};
    c.teams = {{"red", 8 * size, 0, 24 * size, 0},
               {"blue", 8 * size, 0, 20 * size, 0},
               {"free", 0, 0, 0, 0}};
    if (options.guest_team) c.teams.push_back({"guest", 0, 0, 0, 0});
    c.heartbeat_interval = Millis(3000);
    c.worker_lease = Millis(15000);
    c.cancellation_deadline = Millis(40000);
    c.machine_list_lag = Millis(4000);
    c.cloud_rps = 5;
    if (options.large_fleet) {
        c.heartbeat_interval = Millis(8000);
        c.worker_lease = Millis(36000);
        c.cancellation_deadline = Millis(56000);
        c.machine_list_lag = Millis(8000);
        c.cloud_rps = 3;
        c.fd_limit = 2928;
    }
    return c;
}

std::vector<wire::MachineType> machine_types() {
    return {{"small", 4, 0, 16, 50, 1, 0.2, 0.08, 12, {"a", "b"}},
            {"big", 16, 0, 64, 50, 1, 0.9, 0.3, 10, {"a", "b"}}};
}

}  // namespace dunebridge::sim
