#include "api/job_lookup.hpp"

#include <algorithm>
#include <utility>

#include "api/dependency_lookup.hpp"
#include "api/timeouts.hpp"
#include "kv/keys.hpp"
#include "kv/records.hpp"

namespace dunebridge::api {

using sansio::LogLevel;
using Kind = JobLookupResult::Kind;

void JobLookup::start(PendingRequest pending, Stage stage) {
    const auto job = pending.job;
    const bool cancels = pending.intent == Intent::cancel;
    const auto [it, added] = lookups_.try_emplace(job);
    it->second.waiting.push_back(std::move(pending));
    if (!added) return;
    it->second.stage = stage;
    // Cancellations go before what is only asked.
    cancels ? queue_.push_front(job) : queue_.push_back(job);
}

bool JobLookup::has_unsent() {
    while (!queue_.empty() && lookups_.at(queue_.front()).waiting.empty()) {
        lookups_.erase(queue_.front());  // all who waited were given up
        queue_.pop_front();
    }
    return !queue_.empty();
}

void JobLookup::send_next() {
    const auto job = queue_.front();
    queue_.pop_front();
    send(job);
}

void JobLookup::drop_if(const std::function<bool(const PendingRequest&)>& condition) {
    for (auto& [job, lookup] : lookups_) std::erase_if(lookup.waiting, condition);
}

void JobLookup::send(const JobId& job) {
    const bool end = lookups_.at(job).stage == Stage::end;
    const auto key = end ? kv::terminal_key(job) : kv::job_key(job);
    kv_client_.get(key, kReadTimeout, [this, job, end](const kv::GetResult& result) {
        if (!result.answered) {
            finish(job, Kind::unavailable);
        } else if (end) {
            end_read(job, result);
        } else {
            record_read(job, result);
        }
    });
}

void JobLookup::end_read(const JobId& job, const kv::GetResult& result) {
    if (!result.row) {
        lookups_.at(job).stage = Stage::record;
        queue_.push_front(job);
        return;
    }
    const auto end = kv::decode_terminal_record(result.row->value);
    finish(job, Kind::ended, {job, end.phase, end.done() ? end.tasks.value_or(0) : 0, 0});
}

void JobLookup::record_read(const JobId& job, const kv::GetResult& result) {
    if (!result.row) {
        cache_.set_record(job, KeyRevision());
        cache_.set_ancestors(job, {});
        finish(job, Kind::absent);
        return;
    }
    try {
        const auto record = kv::decode_job_record(result.row->value);
        cache_.set_record(job, result.row->rev);
        if (record.dependency_parts > 0) {
            read_parts(job, record.dependency_parts);
            return;
        }
        cache_.set_ancestors(job, record.ancestors);
    } catch (const wire::DecodeError& e) {
        bad_record(job, result.row->key, e.what());
        return;
    }
    finish(job, Kind::known);
}

// They were created with the job's record; some are missing only once the job is over.
void JobLookup::read_parts(const JobId& job, std::uint64_t expected) {
    kv_client_.list(kv::dependency_prefix(job), [this, job, expected](const kv::ListResult& parts) {
        if (!parts.answered || parts.rows.size() != expected) {
            cache_.set_record(job, KeyRevision());  // it is read again next time
            finish(job, Kind::unavailable);
            return;
        }
        try {
            cache_.set_ancestors(job, jobs_in_parts(parts.rows));
        } catch (const wire::DecodeError& e) {
            cache_.set_record(job, KeyRevision());
            bad_record(job, parts.rows.front().key, e.what());
            return;
        }
        finish(job, Kind::known);
    });
}

void JobLookup::bad_record(const JobId& job, const std::string& key, const char* error) {
    context_.log(LogLevel::error, "event=invalid_record key={} error=\"{}\"", key, error);
    finish(job, Kind::unavailable);
}

void JobLookup::finish(const JobId& job, JobLookupResult::Kind kind, wire::JobStatus end) {
    const auto it = lookups_.find(job);
    auto waiting = std::move(it->second.waiting);
    lookups_.erase(it);
    done_(std::move(waiting), {kind, std::move(end)});
}

}  // namespace dunebridge::api
