/// \file
/// Reads what the key-value store holds of a job: its terminal record, where it may have one, then
/// its job record.
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

/// What a lookup found.
struct JobLookupResult {
    enum class Outcome : std::uint8_t {
        terminal,    ///< The job has ended, as `terminal` says.
        has_record,  ///< It has a job record, whose content is in the cache now.
        no_record,   ///< It has no job record. Whether it is terminal must be confirmed.
        unavailable  ///< The key-value store did not answer, or a record cannot be decoded.
    };
    Outcome outcome = Outcome::unavailable;
    wire::JobStatus terminal;  ///< Of Outcome::terminal only.
};

/// Queues lookups and runs them; requests about the same job share one lookup.
///
/// Except for a terminal state, what is found is no response by itself: the caller confirms it with
/// a later transaction, so that a request which joins a lookup under way is told nothing older than
/// its own arrival.
class JobLookup {
  public:
    /// The record to be read first: a job that is known not to be terminal needs only its job
    /// record.
    enum class RecordKind : std::uint8_t { terminal_record, job_record };
    /// Called once at the end of each lookup with all requests that waited for it.
    using OnFinished = std::function<void(std::vector<JobRequest>, const JobLookupResult&)>;

    JobLookup(sansio::Context& context, kv::KvClient& kv_client, JobCache& cache,
              OnFinished on_finished)
        : context_(context),
          kv_client_(kv_client),
          cache_(cache),
          on_finished_(std::move(on_finished)) {}

    /// Queues a lookup of the request's job, or joins the one that there is.
    void start(JobRequest request, RecordKind first_record);
    /// Whether there is a read to be sent. Forgets queued lookups for which no request waits any
    /// more.
    bool has_unsent_read();
    /// Sends the next read; has_unsent_read() must be true. The caller keeps to the read budget.
    void send_next();
    void drop_if(const DropPredicate& drop);

  private:
    struct Lookup {
        RecordKind next_record = RecordKind::terminal_record;
        std::vector<JobRequest> waiting;
    };

    void send(const JobId& job);
    void handle_terminal_record(const JobId& job, const kv::GetResult& result);
    void handle_job_record(const JobId& job, const kv::GetResult& result);
    void read_parts(const JobId& job, std::uint64_t expected);
    void handle_parts(const JobId& job, std::uint64_t expected, const kv::ListResult& parts);
    void fail_on_invalid_record(const JobId& job, const std::string& key,
                                const wire::DecodeError& error);
    void finish(const JobId& job, JobLookupResult::Outcome outcome, wire::JobStatus terminal = {});

    sansio::Context& context_;
    kv::KvClient& kv_client_;
    JobCache& cache_;
    OnFinished on_finished_;
    std::map<JobId, Lookup> lookups_;
    std::deque<JobId> unsent_reads_;  ///< Jobs whose next read has not been sent.
};

}  // namespace dunebridge::api
