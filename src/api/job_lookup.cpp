#include "api/job_lookup.hpp"

#include <algorithm>
#include <utility>

#include "api/dependency_lookup.hpp"
#include "api/request_limits.hpp"
#include "kv/keys.hpp"
#include "kv/records.hpp"

namespace dunebridge::api {

using sansio::LogLevel;
using Outcome = JobLookupResult::Outcome;

void JobLookup::start(JobRequest request, RecordKind first_record) {
    const auto job = request.job;
    const bool cancels = request.kind == RequestKind::cancellation;
    const auto [it, added] = lookups_.try_emplace(job);
    it->second.waiting.push_back(std::move(request));
    if (!added) return;
    it->second.next_record = first_record;
    // Cancellations take precedence over requests that only read.
    if (cancels) {
        unsent_reads_.push_front(job);
    } else {
        unsent_reads_.push_back(job);
    }
}

bool JobLookup::has_unsent_read() {
    while (!unsent_reads_.empty() && lookups_.at(unsent_reads_.front()).waiting.empty()) {
        lookups_.erase(unsent_reads_.front());
        unsent_reads_.pop_front();
    }
    return !unsent_reads_.empty();
}

void JobLookup::send_next() {
    const auto job = unsent_reads_.front();
    unsent_reads_.pop_front();
    send(job);
}

void JobLookup::drop_if(const DropPredicate& drop) {
    for (auto& [job, lookup] : lookups_) std::erase_if(lookup.waiting, drop);
}

void JobLookup::send(const JobId& job) {
    const bool terminal = lookups_.at(job).next_record == RecordKind::terminal_record;
    const auto key = terminal ? kv::terminal_key(job) : kv::job_key(job);
    kv_client_.get(key, kReadTimeout, [this, job, terminal](const kv::GetResult& result) {
        if (!result.available) {
            finish(job, Outcome::unavailable);
        } else if (terminal) {
            handle_terminal_record(job, result);
        } else {
            handle_job_record(job, result);
        }
    });
}

void JobLookup::handle_terminal_record(const JobId& job, const kv::GetResult& result) {
    if (!result.entry) {
        lookups_.at(job).next_record = RecordKind::job_record;
        unsent_reads_.push_front(job);
        return;
    }
    const auto record = kv::decode_terminal_record(result.entry->value);
    const auto tasks_done = record.done() ? record.task_count.value_or(0) : 0;
    finish(job, Outcome::terminal, {job, record.phase, tasks_done, 0});
}

void JobLookup::handle_job_record(const JobId& job, const kv::GetResult& result) {
    if (!result.entry) {
        cache_.set_no_record(job);
        finish(job, Outcome::no_record);
        return;
    }
    try {
        const auto record = kv::decode_job_record(result.entry->value);
        if (record.dependency_parts > 0) {
            read_parts(job, {result.entry->rev, record.dependency_parts});
            return;
        }
        cache_.set_open(job, result.entry->rev, record.ancestors);
    } catch (const wire::DecodeError& e) {
        fail_on_invalid_record(job, result.entry->key, e);
        return;
    }
    finish(job, Outcome::has_record);
}

void JobLookup::read_parts(const JobId& job, SplitRecord record) {
    kv_client_.list(kv::dependency_prefix(job), [this, job, record](const kv::ListResult& parts) {
        handle_parts(job, record, parts);
    });
}

// The parts are created together with the job record, so some are missing only if the job has
// become terminal. The cache gets the record only together with the ancestors: between the two, a
// poll would be confirmed without them, and a job with a cancelled ancestor be called open.
void JobLookup::handle_parts(const JobId& job, SplitRecord record, const kv::ListResult& parts) {
    if (!parts.available || parts.entries.size() != record.parts) {
        finish(job, Outcome::unavailable);
        return;
    }
    try {
        cache_.set_open(job, record.revision, jobs_in_dependency_parts(parts.entries));
    } catch (const wire::DecodeError& e) {
        fail_on_invalid_record(job, parts.entries.front().key, e);
        return;
    }
    finish(job, Outcome::has_record);
}

void JobLookup::fail_on_invalid_record(const JobId& job, const std::string& key,
                                       const wire::DecodeError& error) {
    context_.log(LogLevel::error, "event=invalid_record key={} error=\"{}\"", key, error.what());
    finish(job, Outcome::unavailable);
}

void JobLookup::finish(const JobId& job, Outcome outcome, wire::JobStatus terminal) {
    const auto it = lookups_.find(job);
    auto waiting = std::move(it->second.waiting);
    lookups_.erase(it);
    on_finished_(std::move(waiting), {outcome, std::move(terminal)});
}

}  // namespace dunebridge::api
