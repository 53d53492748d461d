// Runs one case of the review against the controllers as separate processes:
//     harness CASE PROGRAM RECORD TEMPORARY-FOLDER [SEED]
#include "cases.hpp"

int main(int argc, char** argv) {
    if (argc < 5) return 2;
    signal(SIGPIPE, SIG_IGN);
    const std::string name = argv[1];
    const unsigned seed = argc > 5 ? static_cast<unsigned>(std::atoi(argv[5])) : 1;
    record_file = std::fopen(argv[3], "w");
    const char* trouble = std::getenv("TROUBLE");
    const bool with_trouble = !trouble || std::string(trouble) != "0";
    const auto it = cases().find(name);
    if (it == cases().end() || !record_file) return 2;
    World world(it->second.settings(), seed, argv[2], argv[4]);
    if (std::getenv("LEVEL")) world.log_level = std::getenv("LEVEL");
    int result = 2;
    spawn([&]() -> task<void> {
        world.start_cloud();
        world.add_controllers(3);
        world.start_all();
        if (!co_await world.wait_ready(20)) {
            record("the controllers did not become ready");
            world.stop_all();
            io().stop();
            co_return;
        }
        record("ready, leader %zu", *world.leader());
        spawn([&]() -> task<void> { co_await world.check_loop(); });
        const bool ran = co_await it->second.run(world, with_trouble);
        for (auto& [id, u] : world.users)
            if (u.longest_wait > 10)
                record("longest wait of %s with room on a machine: %.1f s", id.c_str(), u.longest_wait);
        world.stop_all();
        result = !ran ? 2 : world.violations.empty() ? 0 : 1;
        record("starts=%llu machines deleted with tasks=%llu answers 429=%llu unfinished=%d",
               static_cast<unsigned long long>(world.starts),
               static_cast<unsigned long long>(world.deletions_with_tasks),
               static_cast<unsigned long long>(world.state.refused_429), world.unfinished());
        for (const auto& v : world.violations) record("violation %s", v.c_str());
        record("result %d", result);
        io().stop();
    });
    // No case takes longer than this.
    asio::steady_timer limit(io(), std::chrono::seconds(118));
    limit.async_wait([&](error_code) {
        record("out of time");
        world.stop_all();
        io().stop();
    });
    try {
        io().run();
    } catch (const std::exception& e) {
        record("failed: %s", e.what());
        world.stop_all();
        result = 2;
    }
    for (const auto& v : world.violations) std::printf("%s\n", v.c_str());
    std::printf("case %s: %d\n", name.c_str(), result);
    std::fflush(stdout);
    std::_Exit(result);
}
