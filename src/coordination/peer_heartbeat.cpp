#include "coordination/peer_heartbeat.hpp"

#include <algorithm>
#include <cstddef>

namespace dunebridge::coordination {

namespace {

constexpr std::uint64_t kMessageVersion = 1;
// Limits of the lists in a heartbeat, which bound its size whatever the state of the sender.
constexpr std::size_t kMaxProgressEntries = 400;
constexpr std::size_t kMaxCancellations = 2000;
constexpr std::size_t kMaxFaultyJobs = 200;
constexpr std::size_t kMandatoryFields = 10;

void encode_progress(wire::Writer& writer, const std::vector<JobProgress>& progress) {
    const auto count = std::min(progress.size(), kMaxProgressEntries);
    writer.text("jobs").list(count);
    for (std::size_t i = 0; i < count; ++i) {
        const auto& job = progress[i];
        writer.list(3).text(job.id.get()).count(job.done).count(job.running);
    }
}

std::vector<JobProgress> decode_progress(wire::Value jobs) {
    std::vector<JobProgress> progress;
    for (std::size_t i = 0; i < std::min(jobs.size(), kMaxProgressEntries); ++i) {
        const auto job = jobs.at(i);
        if (job.size() != 3) throw wire::DecodeError("jobs");
        progress.push_back({JobId(job.at(0).need_text("job")), job.at(1).need_count("done"),
                            job.at(2).need_count("running")});
    }
    return progress;
}

CancellationLogSegment decode_cancellations(wire::Value body) {
    CancellationLogSegment segment;
    // Versions without the cancellation log do not send its fields; they acknowledge nothing.
    if (body["log"].is_null()) return segment;
    segment.incarnation = body["log"].need_count("log");
    segment.first_sequence = body["from"].need_count("from");
    const auto jobs = body["withdrawn"];
    if (jobs.size() > kMaxCancellations) throw wire::DecodeError("withdrawn");
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        segment.jobs.emplace_back(jobs.at(i).need_text("withdrawn"));
    }
    return segment;
}

}  // namespace

std::string encode(const PeerHeartbeat& heartbeat) {
    wire::Writer writer;
    const auto faulty = std::min(heartbeat.faulty_jobs.size(), kMaxFaultyJobs);
    writer.map(kMandatoryFields + (faulty > 0 ? 1 : 0));
    writer.text("v").count(kMessageVersion);
    writer.text("node").text(heartbeat.node.get());
    writer.text("term").count(heartbeat.term.get());
    writer.text("leads").boolean(heartbeat.is_active_leader);
    writer.text("state").boolean(heartbeat.kv_reachable);
    encode_progress(writer, heartbeat.progress);
    writer.text("log").count(heartbeat.cancellations.incarnation);
    writer.text("from").count(heartbeat.cancellations.first_sequence);
    writer.text("format").count(heartbeat.format);
    writer.text("withdrawn").list(heartbeat.cancellations.jobs.size());
    for (const auto& id : heartbeat.cancellations.jobs) writer.text(id.get());
    if (faulty == 0) return writer.take();
    writer.text("faulty").list(faulty);
    for (std::size_t i = 0; i < faulty; ++i) writer.text(heartbeat.faulty_jobs[i].get());
    return writer.take();
}

PeerHeartbeat decode_peer_heartbeat(wire::Value body) {
    if (body["v"].need_count("v") != kMessageVersion) {
        throw wire::DecodeError(wire::DecodeProblem::unknown_version);
    }
    PeerHeartbeat heartbeat;
    heartbeat.node = ControllerName(body["node"].need_text("node"));
    heartbeat.term = Term(body["term"].need_count("term"));
    heartbeat.is_active_leader = body["leads"].need_bool("leads");
    heartbeat.kv_reachable = body["state"].need_bool("state");
    heartbeat.progress = decode_progress(body["jobs"]);
    if (!body["format"].is_null()) heartbeat.format = body["format"].need_count("format");
    const auto faulty = body["faulty"];
    for (std::size_t i = 0; i < std::min(faulty.size(), kMaxFaultyJobs); ++i) {
        heartbeat.faulty_jobs.emplace_back(faulty.at(i).need_text("faulty"));
    }
    heartbeat.cancellations = decode_cancellations(body);
    return heartbeat;
}

}  // namespace dunebridge::coordination
