/// \file
/// The program: parses the command line, sets up logging and runs the event loop. See README.md.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <random>

#include "app/runtime.hpp"
#include "app/settings.hpp"

namespace {

using dunebridge::sansio::LogLevel;

LogLevel log_level() {
    const char* value = std::getenv("LOG_LEVEL");
    const std::string level = value ? value : "info";
    if (level == "error") return LogLevel::error;
    if (level == "info" || level.empty()) return LogLevel::info;
    if (level == "debug") return LogLevel::debug;
    throw dunebridge::app::SettingsError("LOG_LEVEL", "must be error, info or debug");
}

void set_up_logging(LogLevel level) {
    auto logger = std::make_shared<spdlog::logger>(
        "dunebridge", std::make_shared<spdlog::sinks::stderr_sink_st>());
    logger->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ level=%l %v", spdlog::pattern_time_type::utc);
    logger->set_level(dunebridge::app::to_spdlog(level));
    spdlog::set_default_logger(std::move(logger));
}

int run(int argc, char** argv) {
    CLI::App app{"dunebridge: a cluster scheduler", "dunebridge"};
    std::string config_path;
    std::string operators_path;
    bool check_only = false;
    app.add_option("--config", config_path, "The platform's settings file (TOML)")->required();
    app.add_option("--operators", operators_path, "The operators' settings file (XML)");
    app.add_flag("--check-config", check_only, "Check the settings files and exit");
    app.set_version_flag("--version", std::string("dunebridge ") + DUNEBRIDGE_VERSION);
    CLI11_PARSE(app, argc, argv);

    const auto level = log_level();
    set_up_logging(level);
    const auto config = dunebridge::app::load_settings(config_path, operators_path);
    if (check_only) {
        std::cout << config_path << ": ok\n";
        return 0;
    }
    std::random_device device;
    const auto seed = static_cast<std::uint64_t>(device()) << 32 | device();
    dunebridge::app::Runtime(config, level, seed).run();
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    try {
        return run(argc, argv);
    } catch (const std::exception& e) {
        std::fprintf(stderr, "dunebridge: %s\n", e.what());
    } catch (...) {
        std::fputs("dunebridge: unknown error\n", stderr);
    }
    return 1;
}
