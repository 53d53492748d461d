// Users ask about their running jobs while other users submit pipelines, and the state service
// answers slowly. See claim.txt.
#include "../standins/standins.hpp"

using namespace standins;

namespace {
constexpr int kLongJobs = 150;     // running jobs; the user of each asks every 5 s
constexpr int kChain = 189;        // a pipeline, each job waits on the one before
constexpr int kBeforeTrouble = 425;  // jobs that wait on the end of the pipeline
constexpr int kAfterTrouble = 14;    // the same, while the state service is slow
// The spell in which the state service answers slowly, with the numbers of the site file
// fleet/shabdsetu-ahmedabad-fleet.toml: state_slow factor = 20 on a latency of 4 ms, and 5% of the
// answers (state_slow = 0.05) take longer, here 15 times.
constexpr double kNormal_s = 0.0002;
constexpr double kSlow_s = 0.08;
constexpr double kSlowest_s = 1.2;
}  // namespace

int main(int argc, char** argv) {
    if (argc != 4) return 2;
    const std::string folder = argv[1], program = argv[2];
    Record::get().open(argv[3]);
    const char* trouble_text = std::getenv("TROUBLE");
    const bool trouble = !trouble_text || std::string(trouble_text) != "0";
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    note("trouble: %s", trouble ? "yes" : "no");

    Uploads uploads;
    StateService state;
    std::atomic<bool> slow{false};
    std::atomic<int> answers{0};
    state.late = [&](const Message&) {
        if (!slow) return kNormal_s;
        return ++answers % 20 == 0 ? kSlowest_s : kSlow_s;
    };
    Cloud cloud(uploads);
    cloud.zones = {"zone-a", "zone-b", "zone-c"};
    const ClusterSettings settings;
    cloud.worker.report_s = settings.report_s;
    cloud.worker.lease_s = settings.lease_s;
    state.rps = settings.rps;
    state.write_rps = settings.write_rps;
    Controllers controllers(folder, program, 3, state.address(), cloud.address(), settings);
    cloud.nodes = controllers.public_ports();
    for (std::size_t i = 0; i < controllers.size(); ++i) controllers.start(i);
    for (std::size_t i = 0; i < controllers.size(); ++i) {
        if (!controllers.wait_ready(i, 10)) return 2;
    }
    sleep_s(3);  // until the newest record format is in force, a submission with waits_on gets 503

    // All users of this case came to the same controller.
    HttpClient submitter(controllers.port(0));
    const auto submitted = [&](const JobRequest& job) { return submit(submitter, uploads, job, 30); };
    for (int i = 1; i <= kLongJobs; ++i) {
        if (!submitted({.id = job_id(i), .cores = 0.25, .run_s = 300})) return 2;
    }
    note("users: %d long jobs are accepted", kLongJobs);

    std::atomic<int> lost{0}, polls{0}, answered{0};
    for (int i = 1; i <= kLongJobs; ++i) {
        std::thread([&, i] {
            HttpClient user(controllers.port(0));
            std::mt19937 random(std::random_device{}());
            sleep_s(5.0 * double(random() % 1000) / 1000);
            for (;;) {
                const double sent = now_s();
                const auto answer = user.call("GET", "/v1/jobs/" + job_id(i), "", 2);
                ++polls;
                if (answer.status == 200) ++answered;
                if (answer.status == 404) {
                    ++lost;
                    note("user: %s was accepted, and its poll of %.3f gets 404", job_id(i).c_str(), sent);
                } else if (answer.status != 200) {
                    note("user: poll of %s: status %d", job_id(i).c_str(), answer.status);
                }
                sleep_s(sent + 4.5 + double(random() % 1000) / 1000 - now_s());
            }
        }).detach();
    }

    int next = 1000;
    std::string before = job_id(1);
    for (int i = 0; i < kChain; ++i) {
        const auto id = job_id(next++);
        if (!submitted({.id = id, .waits_on = {before}})) return 2;
        before = id;
    }
    note("users: a pipeline of %d jobs is accepted", kChain);
    for (int i = 0; i < kBeforeTrouble; ++i) {
        if (!submitted({.id = job_id(next++), .waits_on = {before}})) return 2;
    }
    note("users: %d jobs that wait on its end are accepted; polls %d, answered %d", kBeforeTrouble,
         polls.load(), answered.load());
    slow = trouble;
    sleep_s(1);
    for (int i = 0; i < kAfterTrouble; ++i) {
        const auto id = job_id(next++);
        if (!submitted({.id = id, .waits_on = {before}})) return 2;
        note("user: %s is accepted", id.c_str());
    }
    sleep_s(2);
    slow = false;
    sleep_s(6);
    int result = lost > 0 ? 1 : 0;
    note("polls %d, answered with 200: %d, with 404: %d", polls.load(), answered.load(), lost.load());
    for (std::size_t i = 0; i < controllers.size(); ++i) {
        if (controllers.ended(i)) {
            note("controller %s has ended by itself", controllers.label(i).c_str());
            result = 2;
        }
        controllers.kill(i);
    }
    if (answered * 10 < polls * 9) result = 2;
    note("result: %d", result);
    std::_Exit(result);
}
