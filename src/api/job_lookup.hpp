/// \file
/// Reads the records of a job from the key-value store: the terminal record, unless the job is
/// known to have none, then the job record.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <vector>

#include "api/job_cache.hpp"
#include "api/job_request.hpp"
#include "kv/client.hpp"
#include "sansio/context.hpp"
#include "wire/messages.hpp"

namespace dunebridge::api {

/// Result of a job lookup.
struct JobLookupResult {
    enum class Outcome : std::uint8_t {
        terminal,    ///< The job has ended; `terminal` holds its state.
        has_record,  ///< The job has a job record, which is now in the cache.
        no_record,   ///< The job has no job record. Whether it is terminal must be confirmed.
        /// A record could not be read or decoded, or the number of the job's dependency parts is
        /// not the one in its job record.
        unavailable
    };
    Outcome outcome = Outcome::unavailable;
    wire::JobStatus terminal;  ///< Set only for Outcome::terminal.
};

/// Queues and runs lookups. Requests for the same job share one lookup.
///
/// Only a terminal state may be returned to the user directly. Any other result must be confirmed
/// by a later transaction, because a request may join a lookup that is already running and must not
/// get a state from before its own arrival.
class JobLookup {
  public:
    /// The records that a lookup reads. If a terminal record is not found, the job record is read
    /// next; a job that is known not to be terminal needs only its job record.
    enum class RecordKind : std::uint8_t { terminal_record, job_record };
    /// Called once at the end of each lookup with all requests that waited for it; possibly none.
    using OnFinished = std::function<void(std::vector<JobRequest>, const JobLookupResult&)>;

    JobLookup(sansio::Context& context, kv::KvClient& kv_client, JobCache& cache,
              OnFinished on_finished)
        : context_(context),
          kv_client_(kv_client),
          cache_(cache),
          on_finished_(std::move(on_finished)) {}

    /// Queues a lookup of the request's job, or joins one that is queued or running.
    void start(JobRequest request, RecordKind first_record);
    /// Returns whether there is a read to send. Lookups for which no request is waiting any
    /// longer are first removed from the front of the queue.
    bool has_unsent_read();
    /// Sends the next read. has_unsent_read() must have returned true. The caller is responsible
    /// for the read budget.
    void send_next();
    /// Removes the requests for which the predicate returns true. Their lookups may still run.
    void drop_if(const DropPredicate& drop);

  private:
    /// A lookup that is queued or running.
    struct Lookup {
        RecordKind next_record = RecordKind::terminal_record;
        std::vector<JobRequest> waiting;
    };

    /// A job record whose ancestors are in dependency parts.
    struct SplitRecord {
        KeyRevision revision;
        std::uint64_t parts = 0;  ///< Number of dependency parts.
    };

    void send(const JobId& job);
    void handle_terminal_record(const JobId& job, const kv::GetResult& result);
    void handle_job_record(const JobId& job, const kv::GetResult& result);
    void read_parts(const JobId& job, SplitRecord record);
    void handle_parts(const JobId& job, SplitRecord record, const kv::ListResult& parts);
    void fail_on_invalid_record(const JobId& job, const std::string& key,
                                const wire::DecodeError& error);
    void finish(const JobId& job, JobLookupResult::Outcome outcome, wire::JobStatus terminal = {});

    sansio::Context& context_;
    kv::KvClient& kv_client_;
    JobCache& cache_;
    OnFinished on_finished_;
    std::map<JobId, Lookup> lookups_;
    std::deque<JobId> unsent_reads_;  ///< Jobs whose next read has not yet been sent.
};

}  // namespace dunebridge::api
