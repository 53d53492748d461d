#include "api/dependency_lookup.hpp"

#include <algorithm>
#include <utility>

#include "api/timeouts.hpp"
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

DependencyLookup::DependencyLookup(sansio::Context& port, kv::KvClient& store, JobCache& cache)
    : context_(port), kv_client_(store), cache_(cache) {}

void DependencyLookup::start(const std::vector<JobId>& dependencies, Instant deadline, Done done) {
    const auto lookup = std::make_shared<Lookup>();
    lookup->deadline = deadline;
    lookup->done = std::move(done);
    for (const auto& id : dependencies) {
        if (!cache_.known_done(id)) lookup->unread.push_back(id.get());
    }
    read_jobs(lookup);
}

void DependencyLookup::read_jobs(const Shared& lookup) {
    kv_client_.get_each(kv::kJobPrefix, lookup->unread, kReadTimeout,
                        [this, lookup](const kv::RowsResult& rows) {
                            if (!rows.answered || too_late(*lookup)) {
                                finish(lookup, Outcome::unavailable);
                            } else {
                                take_jobs(lookup, rows);
                            }
                        });
}

void DependencyLookup::take_jobs(const Shared& lookup, const kv::RowsResult& rows) {
    auto& ancestors = lookup->result.ancestors;
    for (const auto& id : lookup->unread) {
        const auto row = rows.rows.find(kv::kJobPrefix + id);
        if (row == rows.rows.end()) {
            lookup->without_job.push_back(id);
            continue;
        }
        ancestors.emplace_back(id);
        try {
            const auto job = kv::decode_job_record(row->second.value);
            ancestors.insert(ancestors.end(), job.ancestors.begin(), job.ancestors.end());
            if (job.dependency_parts > 0) lookup->with_parts.emplace_back(id);
        } catch (const wire::DecodeError& e) {
            context_.log(sansio::LogLevel::error, "event=invalid_record key={} error=\"{}\"",
                         row->second.key, e.what());
            finish(lookup, Outcome::unavailable);
            return;
        }
    }
    read_ends(lookup);
}

// A job's record goes only after its end is there: one that has neither was never accepted.
void DependencyLookup::read_ends(const Shared& lookup) {
    kv_client_.get_each(kv::kTerminalPrefix, lookup->without_job, kReadTimeout,
                        [this, lookup](const kv::RowsResult& rows) {
                            if (!rows.answered || too_late(*lookup)) {
                                finish(lookup, Outcome::unavailable);
                            } else if (!take_ends(*lookup, rows)) {
                                finish(lookup, Outcome::never_accepted);
                            } else {
                                read_parts(lookup);
                            }
                        });
}

// False if some job has no end.
bool DependencyLookup::take_ends(Lookup& lookup, const kv::RowsResult& rows) {
    for (const auto& id : lookup.without_job) {
        const auto row = rows.rows.find(kv::kTerminalPrefix + id);
        if (row == rows.rows.end()) return false;
        const auto end = kv::decode_terminal_record(row->second.value);
        if (end.done()) {
            const JobId job(id);
            cache_.set_end(job, {job, JobPhase::done, end.tasks.value_or(0), 0});
        } else {
            lookup.result.any_cancelled = true;
        }
    }
    return true;
}

void DependencyLookup::read_parts(const Shared& lookup) {
    if (lookup->with_parts.empty()) {
        finish(lookup, Outcome::found);
        return;
    }
    const auto job = lookup->with_parts.back();
    lookup->with_parts.pop_back();
    kv_client_.list(kv::dependency_prefix(job), [this, lookup](const kv::ListResult& parts) {
        if (!parts.answered || too_late(*lookup)) {
            finish(lookup, Outcome::unavailable);
            return;
        }
        try {
            const auto jobs = jobs_in_parts(parts.rows);
            auto& ancestors = lookup->result.ancestors;
            ancestors.insert(ancestors.end(), jobs.begin(), jobs.end());
            read_parts(lookup);
        } catch (const wire::DecodeError& e) {
            context_.log(sansio::LogLevel::error, "event=invalid_record key={} error=\"{}\"",
                         parts.rows.front().key, e.what());
            finish(lookup, Outcome::unavailable);
        }
    });
}

void DependencyLookup::finish(const Shared& lookup, Outcome outcome) {
    auto& ancestors = lookup->result.ancestors;
    sort_unique(ancestors);
    std::erase_if(ancestors, [this](const JobId& id) { return cache_.known_done(id); });
    lookup->result.outcome = outcome;
    lookup->done(lookup->result);
}

std::vector<JobId> jobs_in_parts(const std::vector<kv::Row>& parts) {
    std::vector<JobId> jobs;
    for (const auto& row : parts) {
        const auto part = kv::decode_dependency_part(row.value);
        jobs.insert(jobs.end(), part.jobs.begin(), part.jobs.end());
    }
    sort_unique(jobs);
    return jobs;
}

}  // namespace dunebridge::api
