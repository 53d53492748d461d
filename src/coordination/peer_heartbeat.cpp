#include "coordination/peer_heartbeat.hpp"

#include <algorithm>
#include <cstddef>

namespace dunebridge::coordination {

namespace {
constexpr std::uint64_t kVersion = 1;
constexpr std::size_t kMaxProgress = 400;
constexpr std::size_t kMaxCancellations = 2000;
constexpr std::size_t kMaxFaultyJobs = 200;
constexpr std::size_t kFields = 10;  // always there
}  // namespace

std::string encode(const PeerHeartbeat& heartbeat) {
    wire::Writer w;
    const auto faulty = std::min(heartbeat.faulty_jobs.size(), kMaxFaultyJobs);
    w.map(faulty > 0 ? kFields + 1 : kFields).text("v").count(kVersion);
    w.text("node").text(heartbeat.node.get());
    w.text("term").count(heartbeat.term.get());
    w.text("leads").boolean(heartbeat.leads);
    w.text("state").boolean(heartbeat.kv_reachable);
    const auto jobs = std::min(heartbeat.progress.size(), kMaxProgress);
    w.text("jobs").list(jobs);
    for (std::size_t i = 0; i < jobs; ++i) {
        const auto& progress = heartbeat.progress[i];
        w.list(3).text(progress.id.get()).count(progress.done).count(progress.running);
    }
    w.text("log")
        .count(heartbeat.cancellations.incarnation)
        .text("from")
        .count(heartbeat.cancellations.first);
    w.text("format").count(heartbeat.format);
    w.text("withdrawn").list(heartbeat.cancellations.jobs.size());
    for (const auto& id : heartbeat.cancellations.jobs) w.text(id.get());
    if (faulty == 0) return w.take();
    w.text("faulty").list(faulty);
    for (std::size_t i = 0; i < faulty; ++i) w.text(heartbeat.faulty_jobs[i].get());
    return w.take();
}

PeerHeartbeat decode_peer_heartbeat(wire::Value body) {
    if (body["v"].need_count("v") != kVersion)
        throw wire::DecodeError(wire::DecodeProblem::unknown_version);
    PeerHeartbeat heartbeat;
    heartbeat.node = ControllerName(body["node"].need_text("node"));
    heartbeat.term = Term(body["term"].need_count("term"));
    heartbeat.leads = body["leads"].need_bool("leads");
    heartbeat.kv_reachable = body["state"].need_bool("state");
    const auto jobs = body["jobs"];
    for (std::size_t i = 0; i < std::min(jobs.size(), kMaxProgress); ++i) {
        const auto job = jobs.at(i);
        if (job.size() != 3) throw wire::DecodeError("jobs");
        heartbeat.progress.push_back({JobId(job.at(0).need_text("job")),
                                      job.at(1).need_count("done"),
                                      job.at(2).need_count("running")});
    }
    if (!body["format"].is_null()) heartbeat.format = body["format"].need_count("format");
    const auto faulty = body["faulty"];
    for (std::size_t i = 0; i < std::min(faulty.size(), kMaxFaultyJobs); ++i) {
        heartbeat.faulty_jobs.emplace_back(faulty.at(i).need_text("faulty"));
    }
    // A version without the log acknowledges nothing.
    if (body["log"].is_null()) return heartbeat;
    heartbeat.cancellations.incarnation = body["log"].need_count("log");
    heartbeat.cancellations.first = body["from"].need_count("from");
    const auto cancelled = body["withdrawn"];
    if (cancelled.size() > kMaxCancellations) throw wire::DecodeError("withdrawn");
    for (std::size_t i = 0; i < cancelled.size(); ++i) {
        heartbeat.cancellations.jobs.emplace_back(cancelled.at(i).need_text("withdrawn"));
    }
    return heartbeat;
}

}  // namespace dunebridge::coordination
