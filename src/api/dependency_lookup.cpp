#include "api/dependency_lookup.hpp"

#include <algorithm>
#include <utility>

#include "api/request_limits.hpp"
#include "kv/keys.hpp"
#include "kv/records.hpp"

namespace dunebridge::api {

using wire::JobPhase;
using Outcome = DependencyResult::Outcome;

namespace {

void sort_unique(std::vector<JobId>& ids) {
    std::sort(ids.begin(), ids.end());
    ids.erase(std::unique(ids.begin(), ids.end()), ids.end());
}

}  // namespace

DependencyLookup::DependencyLookup(sansio::Context& context, kv::KvClient& kv_client,
                                   JobCache& cache)
    : context_(context), kv_client_(kv_client), cache_(cache) {}

void DependencyLookup::start(const std::vector<JobId>& dependencies, Instant deadline,
                             OnFinished on_finished) {
    const auto lookup = std::make_shared<Lookup>();
    lookup->deadline = deadline;
    lookup->on_finished = std::move(on_finished);
    for (const auto& id : dependencies) {
        if (!cache_.is_known_done(id)) lookup->ids_to_read.push_back(id.get());
    }
    read_job_records(lookup);
}

void DependencyLookup::read_job_records(const SharedLookup& lookup) {
    kv_client_.multi_get(kv::kJobPrefix, lookup->ids_to_read, kReadTimeout,
                         [this, lookup](const kv::MultiGetResult& rows) {
                             if (!rows.available || is_past_deadline(*lookup)) {
                                 finish(lookup, Outcome::unavailable);
                             } else {
                                 handle_job_records(lookup, rows);
                             }
                         });
}

void DependencyLookup::handle_job_records(const SharedLookup& lookup,
                                          const kv::MultiGetResult& rows) {
    auto& ancestors = lookup->result.ancestors;
    for (const auto& id : lookup->ids_to_read) {
        const auto row = rows.entries.find(kv::kJobPrefix + id);
        if (row == rows.entries.end()) {
            lookup->ids_without_record.push_back(id);
            continue;
        }
        ancestors.emplace_back(id);
        try {
            const auto job = kv::decode_job_record(row->second.value);
            ancestors.insert(ancestors.end(), job.ancestors.begin(), job.ancestors.end());
            if (job.dependency_parts > 0) lookup->jobs_with_parts.emplace_back(id);
        } catch (const wire::DecodeError& e) {
            fail_on_invalid_record(lookup, row->second.key, e);
            return;
        }
    }
    read_terminal_records(lookup);
}

// A job record is removed only after the terminal record has been created, so a job that has
// neither was never accepted.
void DependencyLookup::read_terminal_records(const SharedLookup& lookup) {
    kv_client_.multi_get(kv::kTerminalPrefix, lookup->ids_without_record, kReadTimeout,
                         [this, lookup](const kv::MultiGetResult& rows) {
                             if (!rows.available || is_past_deadline(*lookup)) {
                                 finish(lookup, Outcome::unavailable);
                             } else if (!handle_terminal_records(*lookup, rows)) {
                                 finish(lookup, Outcome::never_accepted);
                             } else {
                                 read_next_parts(lookup);
                             }
                         });
}

bool DependencyLookup::handle_terminal_records(Lookup& lookup, const kv::MultiGetResult& rows) {
    for (const auto& id : lookup.ids_without_record) {
        const auto row = rows.entries.find(kv::kTerminalPrefix + id);
        if (row == rows.entries.end()) return false;
        const auto terminal = kv::decode_terminal_record(row->second.value);
        if (terminal.done()) {
            const JobId job(id);
            cache_.set_terminal(job, {job, JobPhase::done, terminal.task_count.value_or(0), 0});
        } else {
            lookup.result.any_cancelled = true;
        }
    }
    return true;
}

void DependencyLookup::read_next_parts(const SharedLookup& lookup) {
    if (lookup->jobs_with_parts.empty()) {
        finish(lookup, Outcome::found);
        return;
    }
    const auto job = lookup->jobs_with_parts.back();
    lookup->jobs_with_parts.pop_back();
    kv_client_.list(kv::dependency_prefix(job), [this, lookup](const kv::ListResult& parts) {
        if (!parts.available || is_past_deadline(*lookup)) {
            finish(lookup, Outcome::unavailable);
        } else {
            handle_parts(lookup, parts);
        }
    });
}

void DependencyLookup::handle_parts(const SharedLookup& lookup, const kv::ListResult& parts) {
    try {
        const auto jobs = jobs_in_dependency_parts(parts.entries);
        auto& ancestors = lookup->result.ancestors;
        ancestors.insert(ancestors.end(), jobs.begin(), jobs.end());
    } catch (const wire::DecodeError& e) {
        fail_on_invalid_record(lookup, parts.entries.front().key, e);
        return;
    }
    read_next_parts(lookup);
}

void DependencyLookup::fail_on_invalid_record(const SharedLookup& lookup, const std::string& key,
                                              const wire::DecodeError& error) {
    context_.log(sansio::LogLevel::error, "event=invalid_record key={} error=\"{}\"", key,
                 error.what());
    finish(lookup, Outcome::unavailable);
}

void DependencyLookup::finish(const SharedLookup& lookup, Outcome outcome) {
    auto& ancestors = lookup->result.ancestors;
    sort_unique(ancestors);
    std::erase_if(ancestors, [this](const JobId& id) { return cache_.is_known_done(id); });
    lookup->result.outcome = outcome;
    lookup->on_finished(lookup->result);
}

std::vector<JobId> jobs_in_dependency_parts(const std::vector<kv::Entry>& parts) {
    std::vector<JobId> jobs;
    for (const auto& row : parts) {
        const auto part = kv::decode_dependency_part(row.value);
        jobs.insert(jobs.end(), part.jobs.begin(), part.jobs.end());
    }
    sort_unique(jobs);
    return jobs;
}

}  // namespace dunebridge::api
