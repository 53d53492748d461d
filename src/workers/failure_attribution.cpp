#include "workers/failure_attribution.hpp"

#include <algorithm>

namespace dunebridge::workers {

using sansio::LogLevel;
using state::Job;
using state::Machine;

namespace {
// Limits of the time between a job's failure and its next start, without the jitter.
constexpr Millis kMinBackoff{1000};
constexpr Millis kMaxBackoff{30000};
// The jitter is at most the backoff divided by this, so that faulty jobs do not all restart
// together.
constexpr int kJitterDivisor = 4;
// Contribution of a job that failed on a machine to the machine's failure score. A job of which
// some task has succeeded counts more: each of its failures adds kWeightWithSuccess, up to
// kMaxCountedFailuresPerJob failures. A job without any success counts once.
constexpr std::uint32_t kWeightWithoutSuccess = 1;
constexpr std::uint32_t kWeightWithSuccess = 2;
constexpr std::uint32_t kMaxCountedFailuresPerJob = 2;
// Lowest failure score at which a machine is cordoned.
constexpr std::uint32_t kCordonThreshold = 3;
// A job is faulty if it has failed on kUnsuspectedMachinesForFaultyJob machines that are not
// cordoned and on which no other job has failed. A job of which no task has ever succeeded is also
// faulty if it has failed on kMachinesForFaultyJob machines of any kind.
constexpr std::size_t kUnsuspectedMachinesForFaultyJob = 3;
constexpr std::size_t kMachinesForFaultyJob = 9;
}  // namespace

void FailureAttribution::record_success(Job& job, Machine& machine) {
    machine.worker.failures.clear();
    reset_job_failures(job);
}

void FailureAttribution::reset_job_failures(Job& job) {
    if (job.failures.faulty) {
        context_.log(LogLevel::info, "event=job_recovered id={}", job.spec.id.get());
        job.backoff.until = context_.now();
    }
    job.failures = {};
    job.backoff.length = Millis(0);
}

void FailureAttribution::record_failure(Job& job, Machine& machine) {
    start_backoff(job);
    if (job.failures.faulty) return;
    job.failures.machines.insert(machine.host);
    ++machine.worker.failures[job.spec.id];
    if (is_job_at_fault(job)) {
        mark_job_faulty(job);
    } else if (!machine.worker.cordoned && failure_score(machine) >= kCordonThreshold) {
        cordon(machine);
    }
}

// Failures during a backoff come from tasks that were started before it. They do not extend it.
void FailureAttribution::start_backoff(Job& job) {
    if (context_.now() < job.backoff.until) return;
    job.backoff.length = std::clamp(job.backoff.length * 2, kMinBackoff, kMaxBackoff);
    job.backoff.until =
        context_.now() + job.backoff.length + context_.jitter(job.backoff.length / kJitterDivisor);
}

// Sums up the failures on the machine since a task of any job last succeeded there.
std::uint32_t FailureAttribution::failure_score(const Machine& machine) const {
    std::uint32_t score = 0;
    for (const auto& [id, failures] : machine.worker.failures) {
        const auto* job = state_.find_job(id);
        const bool has_success = job && job->done_count > 0;
        score += has_success ? kWeightWithSuccess * std::min(failures, kMaxCountedFailuresPerJob)
                             : kWeightWithoutSuccess;
    }
    return score;
}

bool FailureAttribution::is_job_at_fault(const Job& job) const {
    const auto& machines = job.failures.machines;
    const auto unsuspected = std::count_if(machines.begin(), machines.end(), [&](const auto& host) {
        const auto* machine = state_.find_machine(host);
        if (!machine || machine->worker.cordoned) return false;
        const auto& failures = machine->worker.failures;
        return failures.empty() || (failures.size() == 1 && failures.contains(job.spec.id));
    });
    return static_cast<std::size_t>(unsuspected) >= kUnsuspectedMachinesForFaultyJob ||
           (job.done_count == 0 && machines.size() >= kMachinesForFaultyJob);
}

void FailureAttribution::mark_job_faulty(Job& job) {
    context_.log(LogLevel::info, "event=job_faulty id={} machines={}", job.spec.id.get(),
                 job.failures.machines.size());
    job.failures.faulty = true;
    job.failures.machines.clear();
    for (auto& [host, machine] : state_.machines()) {
        if (machine.worker.failures.erase(job.spec.id) > 0) uncordon_if_below_threshold(machine);
    }
}

void FailureAttribution::cordon(Machine& machine) {
    machine.worker.cordoned = true;
    context_.log(LogLevel::info, "event=machine_faulty host={}", machine.host.get());
    for (const auto& [id, failures] : machine.worker.failures) {
        if (auto* job = state_.find_job(id)) job->failures.machines.erase(machine.host);
    }
}

void FailureAttribution::uncordon_if_below_threshold(Machine& machine) {
    if (!machine.worker.cordoned || failure_score(machine) >= kCordonThreshold) return;
    machine.worker.cordoned = false;
    context_.log(LogLevel::info, "event=machine_cleared host={}", machine.host.get());
}

}  // namespace dunebridge::workers
