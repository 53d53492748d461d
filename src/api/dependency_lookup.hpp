// Reads what a submission needs to know of the jobs that it names: that each was accepted, whether
// one is cancelled, and what must be done before them in turn.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "api/job_cache.hpp"
#include "kv/client.hpp"
#include "sansio/context.hpp"

namespace dunebridge::api {

struct DependencyResult {
    enum class Outcome : std::uint8_t {
        found,
        never_accepted,  // one of them has no record and no end
        unavailable      // the state service did not answer, or not in time
    };
    Outcome outcome = Outcome::unavailable;
    bool any_cancelled = false;
    // The jobs themselves and all that must be done before them, as far as not done; sorted.
    std::vector<JobId> ancestors;
};

class DependencyLookup {
  public:
    using Done = std::function<void(const DependencyResult&)>;

    DependencyLookup(sansio::Context& port, kv::KvClient& store, JobCache& cache);

    // Gives up at the deadline.
    void start(const std::vector<JobId>& dependencies, Instant deadline, Done done);

  private:
    // One lookup under way; owned by the continuations of its calls.
    struct Lookup {
        DependencyResult result;
        std::vector<std::string> unread;       // ids whose records are to be read
        std::vector<std::string> without_job;  // ids that have no record
        std::vector<JobId> with_parts;         // jobs whose ancestors have records of their own
        Instant deadline{};
        Done done;
    };
    using Shared = std::shared_ptr<Lookup>;

    void read_jobs(const Shared& lookup);
    void take_jobs(const Shared& lookup, const kv::RowsResult& rows);
    void read_ends(const Shared& lookup);
    bool take_ends(Lookup& lookup, const kv::RowsResult& rows);
    void read_parts(const Shared& lookup);
    void finish(const Shared& lookup, DependencyResult::Outcome outcome);
    bool too_late(const Lookup& lookup) const { return context_.now() > lookup.deadline; }

    sansio::Context& context_;
    kv::KvClient& kv_client_;
    JobCache& cache_;
};

// The jobs named by the parts of a job's dependency records. Throws wire::DecodeError.
std::vector<JobId> jobs_in_parts(const std::vector<kv::Row>& parts);

}  // namespace dunebridge::api
