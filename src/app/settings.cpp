#include "app/settings.hpp"

#include <toml++/toml.h>

#include <string>
#include <utility>

#include "app/operators_file.hpp"
#include "app/toml_table.hpp"

namespace dunebridge::app {

namespace {

// Generous upper bounds that reject only obvious mistakes.
constexpr double kMaxSeconds = 1e6;
constexpr double kMaxAmount = 1e9;
constexpr double kMaxRate = 1e7;

void read_teams(const TomlTable& cluster, config::Config& config) {
    const auto amount = [](const TomlTable& team, const char* key) {
        return team.number_or(key, 0, 0, kMaxAmount);
    };
    for (const auto& team : cluster.tables("teams")) {
        config.teams.push_back({team.string("name"), amount(team, "cpus"), amount(team, "gpus"),
                                amount(team, "cpus_max"), amount(team, "gpus_max")});
    }
}

void read_objectives(const TomlTable& cluster, config::Config& config) {
    for (const auto& table : cluster.tables("objectives")) {
        config::ServiceLevelObjective objective;
        objective.kind = table.string("kind");
        objective.within_s = table.number_or("within_s", 0, 0, kMaxSeconds);
        objective.job_class = table.string_or_empty("class");
        config.objectives.push_back(std::move(objective));
    }
}

void read_workers(const TomlTable& workers, config::Config& config) {
    config.heartbeat_interval = from_seconds(workers.number("report_s", 0.05, kMaxSeconds));
    config.worker_lease = from_seconds(workers.number("lease_s", 0.1, kMaxSeconds));
    config.cancellation_deadline = from_seconds(workers.number("cancel_s", 0.1, kMaxSeconds));
}

// The next limits default to the current ones.
config::KvLimits read_kv_limits(const TomlTable& kv_store) {
    constexpr double max_value_kb = 1e6;
    constexpr double max_txn_ops = 1e6;
    config::KvLimits::Set current;
    current.rps = kv_store.number("rps", 1, kMaxRate);
    current.write_rps = kv_store.number("write_rps", 1, kMaxRate);
    current.value_kb = kv_store.number("value_kb", 1, max_value_kb);
    current.txn_ops = static_cast<std::size_t>(kv_store.number("txn_ops", 4, max_txn_ops));
    if (!kv_store.has("next")) return config::KvLimits(current);
    const auto next_table = kv_store.table("next");
    auto next = current;
    next.rps = next_table.number_or("rps", current.rps, 1, kMaxRate);
    next.write_rps = next_table.number_or("write_rps", current.write_rps, 1, kMaxRate);
    next.value_kb = next_table.number_or("value_kb", current.value_kb, 1, max_value_kb);
    next.txn_ops = static_cast<std::size_t>(
        next_table.number_or("txn_ops", static_cast<double>(current.txn_ops), 4, max_txn_ops));
    return {current, next};
}

void read_cloud(const TomlTable& cloud, config::Config& config) {
    config.cloud_rps = cloud.number("rps", 0.01, 1e6);
    config.machine_list_lag = from_seconds(cloud.number("list_lag_s", 0, kMaxSeconds));
}

void read_quota(const TomlTable& quota, config::Config& config) {
    config.cpu = quota.number("cpu", 0.001, 1024);
    config.memory_mb = quota.number("memory_mb", 16, kMaxAmount);
    config.fd_limit = static_cast<std::size_t>(quota.number("fd_limit", 32, 1e8));
}

void read_cluster(const TomlTable& cluster, config::Config& config) {
    constexpr double max_skew_ms = 1e6;
    config.zones = cluster.strings("zones");
    const double skew_ms = cluster.number_or("skew_ms", 0, 0, max_skew_ms);
    config.clock_skew = Millis(static_cast<std::int64_t>(skew_ms));
    read_teams(cluster, config);
    read_objectives(cluster, config);
    read_workers(cluster.table("workers"), config);
    config.kv_limits = read_kv_limits(cluster.table("state"));
    read_cloud(cluster.table("cloud"), config);
    read_quota(cluster.table("quota"), config);
}

config::Config read_platform_settings(const std::string& path) {
    toml::table root;
    try {
        root = toml::parse_file(path);
    } catch (const toml::parse_error& e) {
        // If the file cannot be read, the error has no line number.
        const auto line = e.source().begin.line;
        const auto where = line > 0 ? ": line " + std::to_string(line) : std::string();
        throw SettingsError(path + where, std::string(e.description()));
    }
    const TomlTable top(root, path, "");
    config::Config config;
    config.name = ControllerName(top.string("label"));
    config.zone = top.string("domain");
    config.public_addr = top.address("public_addr");
    config.peer_addr = top.address("back");
    for (const auto& peer : top.tables("known")) {
        config.peers.push_back(
            {ControllerName(peer.string("label")), peer.string("domain"), peer.address("addr")});
    }
    const auto external = top.table("external");
    config.cloud_addr = external.address("cloud");
    config.kv_store_addr = external.address("state");
    read_cluster(top.table("cluster"), config);
    return config;
}

}  // namespace

config::Config load_settings(const std::string& path, const std::string& operators_path) {
    auto config = read_platform_settings(path);
    if (!operators_path.empty()) read_operators_file(operators_path, config.tuning);
    return config;
}

}  // namespace dunebridge::app
