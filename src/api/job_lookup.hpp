// Reads what the state service holds of a job: first how it ended, where that may be, then its
// record.
//
// Requests about the same job share one read. What is found is no answer by itself, unless the job
// has ended: the caller confirms it with a later transaction, so that a request that joins a read
// under way is told nothing older than when it came.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <vector>

#include "api/job_cache.hpp"
#include "api/pending_request.hpp"
#include "kv/client.hpp"
#include "sansio/context.hpp"
#include "wire/messages.hpp"

namespace dunebridge::api {

struct JobLookupResult {
    enum class Kind : std::uint8_t {
        ended,   // as `end` says
        known,   // its record is in the cache
        absent,  // no record; what may be known of its end is to be confirmed
        unavailable
    };
    Kind kind = Kind::unavailable;
    wire::JobStatus end;
};

class JobLookup {
  public:
    // Where a lookup begins: a job that is known not to have ended needs only its record.
    enum class Stage : std::uint8_t { end, record };
    // All requests that waited for the job, and what was found.
    using Done = std::function<void(std::vector<PendingRequest>, const JobLookupResult&)>;

    JobLookup(sansio::Context& port, kv::KvClient& store, JobCache& cache, Done done)
        : context_(port), kv_client_(store), cache_(cache), done_(std::move(done)) {}

    void start(PendingRequest pending, Stage stage);
    // Whether there is a read to be sent, and sends it: the caller keeps to the budget.
    bool has_unsent();
    void send_next();
    // Removes the waiting requests for which the condition holds.
    void drop_if(const std::function<bool(const PendingRequest&)>& condition);

  private:
    struct Lookup {
        Stage stage = Stage::end;
        std::vector<PendingRequest> waiting;
    };

    void send(const JobId& job);
    void end_read(const JobId& job, const kv::GetResult& result);
    void record_read(const JobId& job, const kv::GetResult& result);
    void read_parts(const JobId& job, std::uint64_t expected);
    void bad_record(const JobId& job, const std::string& key, const char* error);
    void finish(const JobId& job, JobLookupResult::Kind kind, wire::JobStatus end = {});

    sansio::Context& context_;
    kv::KvClient& kv_client_;
    JobCache& cache_;
    Done done_;
    std::map<JobId, Lookup> lookups_;
    std::deque<JobId> queue_;  // whose next read has not been sent
};

}  // namespace dunebridge::api
