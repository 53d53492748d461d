#include "workers/failure_attribution.hpp"

#include <algorithm>

namespace dunebridge::workers {

using sansio::LogLevel;
using state::Job;
using state::Machine;

namespace {
// Between a job's failures and its next start.
constexpr Millis kMinBackoff{1000};
constexpr Millis kMaxBackoff{30000};
constexpr int kJitterDivisor =
    4;  // of the pause, at most, so that faulty jobs do not return together
// What a job that failed on a machine weighs against the machine: a job that has succeeded
// elsewhere weighs more, and each of its first failures.
constexpr std::uint32_t kUnprovenJobWeight = 1;
constexpr std::uint32_t kProvenJobWeight = 2;
constexpr std::uint32_t kMaxCountedFailures = 2;
constexpr std::uint32_t kEvidenceToCordon = 3;
// A job is at fault after failing on so many machines that nothing else tells against, or, where
// nothing has ever succeeded, on so many of any kind.
constexpr std::size_t kUndoubtedMachinesToBlameJob = 3;
constexpr std::size_t kAnyMachinesToBlameJob = 9;
}  // namespace

void FailureAttribution::record_success(Job& job, Machine& machine) {
    machine.worker.failures.clear();
    clear_evidence_against_job(job);
}

void FailureAttribution::clear_evidence_against_job(Job& job) {
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
    if (failed_everywhere(job)) {
        mark_job_faulty(job);
    } else if (!machine.worker.cordoned && evidence_against(machine) >= kEvidenceToCordon) {
        cordon(machine);
    }
}

// Failures that come while the job pauses are of tasks started before: they do not count again.
void FailureAttribution::start_backoff(Job& job) {
    if (context_.now() < job.backoff.until) return;
    job.backoff.length = std::clamp(job.backoff.length * 2, kMinBackoff, kMaxBackoff);
    job.backoff.until =
        context_.now() + job.backoff.length + context_.jitter(job.backoff.length / kJitterDivisor);
}

std::uint32_t FailureAttribution::evidence_against(const Machine& machine) const {
    std::uint32_t evidence = 0;
    for (const auto& [id, failures] : machine.worker.failures) {
        const auto* job = state_.find_job(id);
        const bool proven = job && job->done_count > 0;
        evidence += proven ? kProvenJobWeight * std::min(failures, kMaxCountedFailures)
                           : kUnprovenJobWeight;
    }
    return evidence;
}

bool FailureAttribution::failed_everywhere(const Job& job) const {
    const auto& machines = job.failures.machines;
    const auto undoubted = std::count_if(machines.begin(), machines.end(), [&](const auto& host) {
        const auto* machine = state_.find_machine(host);
        if (!machine || machine->worker.cordoned) return false;
        const auto& failures = machine->worker.failures;
        return failures.empty() || (failures.size() == 1 && failures.contains(job.spec.id));
    });
    return static_cast<std::size_t>(undoubted) >= kUndoubtedMachinesToBlameJob ||
           (job.done_count == 0 && machines.size() >= kAnyMachinesToBlameJob);
}

void FailureAttribution::mark_job_faulty(Job& job) {
    context_.log(LogLevel::info, "event=job_faulty id={} machines={}", job.spec.id.get(),
                 job.failures.machines.size());
    job.failures.faulty = true;
    job.failures.machines.clear();
    for (auto& [host, machine] : state_.machines()) {
        if (machine.worker.failures.erase(job.spec.id) > 0) uncordon_if_cleared(machine);
    }
}

void FailureAttribution::cordon(Machine& machine) {
    machine.worker.cordoned = true;
    context_.log(LogLevel::info, "event=machine_faulty host={}", machine.host.get());
    for (const auto& [id, failures] : machine.worker.failures) {
        if (auto* job = state_.find_job(id)) job->failures.machines.erase(machine.host);
    }
}

void FailureAttribution::uncordon_if_cleared(Machine& machine) {
    if (!machine.worker.cordoned || evidence_against(machine) >= kEvidenceToCordon) return;
    machine.worker.cordoned = false;
    context_.log(LogLevel::info, "event=machine_cleared host={}", machine.host.get());
}

}  // namespace dunebridge::workers
