// Reads the ledger for the term that has begun, and follows what others write from then on: new
// jobs, and ends.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "config/config.hpp"
#include "coordination/election.hpp"
#include "kv/client.hpp"
#include "sansio/context.hpp"
#include "state/cluster_state.hpp"
#include "state/record_codec.hpp"

namespace dunebridge::state {

class ClusterStateLoader {
  public:
    ClusterStateLoader(sansio::Context& port, kv::KvClient& store, coordination::Election& election,
                       ClusterState& cluster_state, const config::Config& config);

    // Begins the ledger anew; it is loaded once everything has been read.
    void load();
    // Every end that was committed before is known.
    Instant terminal_records_read_at() const { return terminal_records_read_at_; }

  private:
    void load_next(std::size_t step, std::uint64_t generation);
    bool take_rows(const kv::ListResult& result, const std::function<void(const kv::Row&)>& take);
    void load_jobs(const kv::ListResult& result);
    void load_dependencies(const kv::ListResult& result);
    void load_rentals(const kv::ListResult& result);
    void load_progress(const kv::ListResult& result);
    void load_progress_record(const kv::Row& row);
    void check_ends(std::vector<JobId> ids, std::uint64_t generation);
    void finish(std::uint64_t generation);
    void link_dependencies();
    void try_again(std::function<void()> read);
    void bad_record(const std::string& key, const std::string& error);

    void watch(const char* prefix, KeyRevision from, std::uint64_t generation);
    void apply_change(const kv::Change& change);
    void add_new_job(const kv::Change& change);
    void take_dependency_part(Job& job, const kv::Row& row);
    void read_dependencies(const JobId& id, std::uint64_t generation);

    sansio::Context& context_;
    kv::KvClient& kv_client_;
    coordination::Election& election_;
    ClusterState& state_;
    const config::Config& config_;
    KeyRevision load_revision_;  // of the first list: watching from here misses nothing
    Instant terminal_records_read_at_{};
};

}  // namespace dunebridge::state
