/// \file
/// Reads the whole cluster state from the key-value store when a term begins.
#pragma once

#include <cstddef>
#include <functional>
#include <vector>

#include "config/config.hpp"
#include "coordination/election.hpp"
#include "kv/client.hpp"
#include "sansio/context.hpp"
#include "state/cluster_state.hpp"
#include "state/cluster_state_follower.hpp"

namespace dunebridge::state {

/// Loads the cluster state, one key prefix after the other, and then starts the follower. Used on
/// the controller's thread only. A load stops when the term for which it was started ends. It also
/// stops at a record that cannot be decoded, and this node then gives up leadership.
class ClusterStateLoader {
  public:
    /// All references must outlive the loader.
    ClusterStateLoader(sansio::Context& context, kv::KvClient& kv_client,
                       coordination::Election& election, ClusterState& cluster_state,
                       ClusterStateFollower& follower, const config::Config& config);

    /// Clears the cluster state and reads it for the term that has begun. ClusterState::loaded()
    /// returns true once everything has been read.
    void load();

  private:
    /// Reads all records whose keys have a prefix, and applies them one by one.
    struct Step {
        const char* prefix;
        void (ClusterStateLoader::*apply)(const kv::Entry&);
    };
    static const Step kSteps[];

    void run_step(std::size_t index);
    void handle_rows(std::size_t step_index, const kv::ListResult& result);
    void apply_job(const kv::Entry& row);
    void apply_dependencies(const kv::Entry& row);
    void apply_scale_out(const kv::Entry& row);
    void apply_progress(const kv::Entry& row);
    Job& find_or_add_job(const JobId& id, std::uint32_t task_count);
    void complete_jobs();

    void find_terminal_jobs(std::vector<JobId> unchecked);
    void handle_terminal_check(std::vector<JobId> unchecked, std::size_t checked,
                               const kv::TransactionResult& result);
    void finish();
    void build_dependency_graph();
    void retry(std::function<void()> read);

    sansio::Context& context_;
    kv::KvClient& kv_client_;
    coordination::Election& election_;
    ClusterState& state_;
    ClusterStateFollower& follower_;
    const config::Config& config_;
    Instant started_at_{};
    KeyRevision first_revision_;  ///< of the first read; watches from here miss no change
};

}  // namespace dunebridge::state
