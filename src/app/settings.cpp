#include "app/settings.hpp"

#include <toml++/toml.h>

#include <cmath>
#include <optional>
#include <pugixml.hpp>

namespace dunebridge::app {

namespace {

// Reads fields of one TOML table, naming file and field in every complaint.
class Table {
  public:
    Table(const toml::table& table, std::string file, std::string path)
        : table_(table), file_(std::move(file)), path_(std::move(path)) {}

    std::string text(const char* key) const {
        const auto v = table_[key].value<std::string>();
        if (!v || v->empty()) fail(key, "must be a text that is not empty");
        return *v;
    }
    double number(const char* key, double least, double most) const {
        const auto v = table_[key].value<double>();
        if (!v || !std::isfinite(*v) || *v < least || *v > most) {
            fail(key, "must be a number from " + show(least) + " to " + show(most));
        }
        return *v;
    }
    double number_or(const char* key, double fallback, double least, double most) const {
        return table_.contains(key) ? number(key, least, most) : fallback;
    }
    std::string address(const char* key) const {
        std::string v = text(key);
        const auto colon = v.rfind(':');
        int port = 0;
        if (colon != std::string::npos && colon > 0 && v.size() - colon <= 6) {
            for (std::size_t i = colon + 1; i < v.size(); ++i) {
                if (v[i] < '0' || v[i] > '9') fail(key, "must be IP:PORT");
                port = port * 10 + (v[i] - '0');
            }
        }
        if (port < 1 || port > 65535) fail(key, "must be IP:PORT");
        return v;
    }
    bool has(const char* key) const { return table_.contains(key); }
    Table sub(const char* key) const {
        const auto* t = table_[key].as_table();
        if (!t) fail(key, "must be a table");
        return Table(*t, file_, path_ + key + ".");
    }
    std::vector<Table> list(const char* key) const {
        std::vector<Table> out;
        if (!table_.contains(key)) return out;
        const auto* a = table_[key].as_array();
        if (!a) fail(key, "must be a list of tables");
        for (std::size_t i = 0; i < a->size(); ++i) {
            const auto* t = (*a)[i].as_table();
            if (!t) fail(key, "must be a list of tables");
            out.emplace_back(*t, file_, path_ + key + "[" + std::to_string(i) + "].");
        }
        return out;
    }
    std::vector<std::string> texts(const char* key) const {
        std::vector<std::string> out;
        const auto* a = table_[key].as_array();
        if (!a) fail(key, "must be a list of texts");
        for (const auto& item : *a) {
            const auto v = item.value<std::string>();
            if (!v) fail(key, "must be a list of texts");
            out.push_back(*v);
        }
        return out;
    }

  private:
    [[noreturn]] void fail(const char* key, const std::string& why) const {
        throw SettingsError(file_ + ": " + path_ + key + ": " + why);
    }
    static std::string show(double d) {
        std::string s = std::to_string(d);
        s.erase(s.find_last_not_of('0') + 1);
        if (s.back() == '.') s.pop_back();
        return s;
    }

    const toml::table& table_;
    std::string file_;
    std::string path_;
};

void read_cluster(const Table& cluster, config::Config& config) {
    constexpr double most = 1e6;
    config.zones = cluster.texts("zones");
    config.clock_skew = Millis(static_cast<std::int64_t>(cluster.number_or("skew_ms", 0, 0, most)));
    for (const auto& t : cluster.list("teams")) {
        config.teams.push_back({t.text("name"), t.number_or("cpus", 0, 0, 1e9),
                                t.number_or("gpus", 0, 0, 1e9), t.number_or("cpus_max", 0, 0, 1e9),
                                t.number_or("gpus_max", 0, 0, 1e9)});
    }
    for (const auto& o : cluster.list("objectives")) {
        config::ServiceLevelObjective objective;
        objective.kind = o.text("kind");
        objective.within_s = o.number_or("within_s", 0, 0, most);
        try {
            objective.job_class = o.text("class");
        } catch (const SettingsError&) {
            // Aims that are not about one class have no such field.
        }
        config.objectives.push_back(std::move(objective));
    }
    const auto workers = cluster.sub("workers");
    config.heartbeat_interval = from_seconds(workers.number("report_s", 0.05, most));
    config.worker_lease = from_seconds(workers.number("lease_s", 0.1, most));
    config.cancellation_deadline = from_seconds(workers.number("cancel_s", 0.1, most));
    const auto service = cluster.sub("state");
    const config::KvLimits::Set today{service.number("rps", 1, 1e7),
                                      service.number("write_rps", 1, 1e7),
                                      service.number("value_kb", 1, 1e6),
                                      static_cast<std::size_t>(service.number("txn_ops", 4, 1e6))};
    auto next = today;
    if (service.has("next")) {
        const auto n = service.sub("next");
        next = {n.number_or("rps", today.rps, 1, 1e7),
                n.number_or("write_rps", today.write_rps, 1, 1e7),
                n.number_or("value_kb", today.value_kb, 1, 1e6),
                static_cast<std::size_t>(
                    n.number_or("txn_ops", static_cast<double>(today.txn_ops), 4, 1e6))};
    }
    config.kv_limits = config::KvLimits(today, next);
    const auto cloud = cluster.sub("cloud");
    config.cloud_rps = cloud.number("rps", 0.01, 1e6);
    config.machine_list_lag = from_seconds(cloud.number("list_lag_s", 0, most));
    const auto quota = cluster.sub("quota");
    config.cpu = quota.number("cpu", 0.001, 1024);
    config.memory_mb = quota.number("memory_mb", 16, 1e9);
    config.fd_limit = static_cast<std::size_t>(quota.number("fd_limit", 32, 1e8));
}

config::Config read_platform(const std::string& path) {
    toml::table root;
    try {
        root = toml::parse_file(path);
    } catch (const toml::parse_error& e) {
        // A file that cannot be read has no line to name.
        const auto line = e.source().begin.line;
        const auto where = line > 0 ? ": line " + std::to_string(line) : std::string();
        throw SettingsError(path + where + ": " + std::string(e.description()));
    }
    const Table top(root, path, "");
    config::Config config;
    config.name = ControllerName(top.text("label"));
    config.zone = top.text("domain");
    config.public_addr = top.address("public_addr");
    config.peer_addr = top.address("back");
    for (const auto& k : top.list("known")) {
        config.peers.push_back(
            {ControllerName(k.text("label")), k.text("domain"), k.address("addr")});
    }
    const auto external = top.sub("external");
    config.cloud_addr = external.address("cloud");
    config.state_addr = external.address("state");
    read_cluster(top.sub("cluster"), config);
    return config;
}

// The operators' file:
//   <dunebridge><preemption from="urgent"/><ranking slack_s="2"/><leader lease_s="3"/>
//     <fleet idle_return_s="45" headroom="1.25"/></dunebridge>
class OperatorsFile {
  public:
    explicit OperatorsFile(const std::string& path) : file_(path) {
        const auto result = document_.load_file(path.c_str());
        if (!result) throw SettingsError(path + ": " + result.description());
        if (!document_.child("dunebridge")) {
            throw SettingsError(path + ": the root element must be <dunebridge>");
        }
    }
    std::optional<std::string> text(const char* element, const char* attribute) const {
        const auto a = document_.child("dunebridge").child(element).attribute(attribute);
        if (!a) return std::nullopt;
        return a.value();
    }
    void number(const char* element, const char* attribute, double least, double most,
                const std::function<void(double)>& set) const {
        const auto v = text(element, attribute);
        if (!v) return;
        std::size_t used = 0;
        double d = 0;
        try {
            d = std::stod(*v, &used);
        } catch (const std::exception&) {
            used = 0;
        }
        if (used != v->size() || v->empty() || d < least || d > most || std::isnan(d)) {
            fail(element, attribute,
                 "must be a number from " + std::to_string(least) + " to " + std::to_string(most));
        }
        set(d);
    }
    [[noreturn]] void fail(const char* element, const char* attribute,
                           const std::string& why) const {
        throw SettingsError(file_ + ": " + element + "@" + attribute + ": " + why);
    }

  private:
    std::string file_;
    pugi::xml_document document_;
};

void read_operators(const std::string& path, config::Tuning& tuning) {
    const OperatorsFile file(path);
    if (const auto line = file.text("preemption", "from")) {
        if (*line == "prod") {
            tuning.preempts_from = wire::Priority::prod;
        } else if (*line == "urgent") {
            tuning.preempts_from = wire::Priority::urgent;
        } else {
            file.fail("preemption", "from", "must be prod or urgent");
        }
    }
    file.number("ranking", "slack_s", 0, 600, [&](double d) { tuning.slack = from_seconds(d); });
    file.number("leader", "lease_s", 0.5, 60,
                [&](double d) { tuning.leader_lease = from_seconds(d); });
    file.number("fleet", "idle_return_s", 1, 86400,
                [&](double d) { tuning.idle_return = from_seconds(d); });
    file.number("fleet", "headroom", 1, 10, [&](double d) { tuning.headroom = d; });
}

}  // namespace

config::Config load_settings(const std::string& path, const std::string& operators_path) {
    auto config = read_platform(path);
    if (!operators_path.empty()) read_operators(operators_path, config.tuning);
    return config;
}

}  // namespace dunebridge::app
