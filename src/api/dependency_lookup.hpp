/// \file
/// Looks up the jobs that a submission names as dependencies: whether each was accepted, whether
/// any is cancelled, and their ancestors.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "api/job_cache.hpp"
#include "kv/client.hpp"
#include "sansio/context.hpp"

namespace dunebridge::api {

/// Result of a dependency lookup.
struct DependencyResult {
    enum class Outcome : std::uint8_t {
        found,
        never_accepted,  ///< One of the jobs has neither a job record nor a terminal record.
        unavailable      ///< The key-value store did not respond in time, or a record is invalid.
    };
    Outcome outcome = Outcome::unavailable;
    /// Whether any of the named jobs is cancelled.
    bool any_cancelled = false;
    /// The named jobs and all their ancestors except those known to be done, sorted.
    std::vector<JobId> ancestors;
};

/// Runs dependency lookups. Several may run concurrently.
class DependencyLookup {
  public:
    /// Called once at the end of a lookup, whether it succeeded or not.
    using OnFinished = std::function<void(const DependencyResult&)>;

    DependencyLookup(sansio::Context& context, kv::KvClient& kv_client, JobCache& cache);

    /// Starts a lookup. It fails with Outcome::unavailable at the first response after the
    /// deadline.
    void start(const std::vector<JobId>& dependencies, Instant deadline, OnFinished on_finished);

  private:
    /// State of a running lookup, owned by the callbacks of its requests.
    struct Lookup {
        DependencyResult result;
        std::vector<std::string> ids_to_read;         ///< Dependencies not known to be done.
        std::vector<std::string> ids_without_record;  ///< Dependencies without a job record.
        std::vector<JobId> jobs_with_parts;  ///< Jobs whose ancestors are in dependency parts.
        Instant deadline{};
        OnFinished on_finished;
    };
    using SharedLookup = std::shared_ptr<Lookup>;

    void read_job_records(const SharedLookup& lookup);
    void handle_job_records(const SharedLookup& lookup, const kv::MultiGetResult& rows);
    void read_terminal_records(const SharedLookup& lookup);
    /// Returns whether every job without a job record has a terminal record.
    bool handle_terminal_records(Lookup& lookup, const kv::MultiGetResult& rows);
    /// Reads the dependency parts of the next job that has any; finishes after the last one.
    void read_next_parts(const SharedLookup& lookup);
    void handle_parts(const SharedLookup& lookup, const kv::ListResult& parts);
    void fail_on_invalid_record(const SharedLookup& lookup, const std::string& key,
                                const wire::DecodeError& error);
    void finish(const SharedLookup& lookup, DependencyResult::Outcome outcome);
    bool is_past_deadline(const Lookup& lookup) const { return context_.now() > lookup.deadline; }

    sansio::Context& context_;
    kv::KvClient& kv_client_;
    JobCache& cache_;
};

/// Returns the jobs listed in a job's dependency parts, sorted and without duplicates. Throws
/// wire::DecodeError if a part cannot be decoded.
std::vector<JobId> jobs_in_dependency_parts(const std::vector<kv::Entry>& parts);

}  // namespace dunebridge::api
