/// \file
/// Reads what a submission needs to know of the jobs that it names as dependencies: that each was
/// accepted, whether one is cancelled, and their ancestors.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "api/job_cache.hpp"
#include "kv/client.hpp"
#include "sansio/context.hpp"

namespace dunebridge::api {

/// What a lookup found.
struct DependencyResult {
    enum class Outcome : std::uint8_t {
        found,
        never_accepted,  ///< One of the jobs has neither a job record nor a terminal record.
        unavailable      ///< The key-value store did not answer, or not in time.
    };
    Outcome outcome = Outcome::unavailable;
    bool any_cancelled = false;
    /// The jobs themselves and all their ancestors, without those known to be done; sorted.
    std::vector<JobId> ancestors;
};

/// Runs lookups. Several may be under way at the same time.
class DependencyLookup {
  public:
    /// Called once when the lookup has ended, successfully or not.
    using OnFinished = std::function<void(const DependencyResult&)>;

    DependencyLookup(sansio::Context& context, kv::KvClient& kv_client, JobCache& cache);

    /// Gives up, with Outcome::unavailable, at the first response after the deadline.
    void start(const std::vector<JobId>& dependencies, Instant deadline, OnFinished on_finished);

  private:
    /// One lookup under way; owned by the continuations of its calls.
    struct Lookup {
        DependencyResult result;
        std::vector<std::string> ids_to_read;         ///< Ids whose job records are to be read.
        std::vector<std::string> ids_without_record;  ///< Ids that have no job record.
        std::vector<JobId> jobs_with_parts;  ///< Jobs whose ancestors are in records of their own.
        Instant deadline{};
        OnFinished on_finished;
    };
    using SharedLookup = std::shared_ptr<Lookup>;

    void read_job_records(const SharedLookup& lookup);
    void handle_job_records(const SharedLookup& lookup, const kv::MultiGetResult& rows);
    void read_terminal_records(const SharedLookup& lookup);
    /// Returns whether each job without a job record has a terminal record.
    bool handle_terminal_records(Lookup& lookup, const kv::MultiGetResult& rows);
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

/// The jobs named in a job's dependency records, sorted, each once. Throws wire::DecodeError.
std::vector<JobId> jobs_in_dependency_parts(const std::vector<kv::Entry>& parts);

}  // namespace dunebridge::api
