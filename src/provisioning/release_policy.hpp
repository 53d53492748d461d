/// \file
/// Decides when a machine is released, and for what reason.
#pragma once

#include <cstdint>
#include <optional>

#include "config/config.hpp"
#include "provisioning/boot_monitor.hpp"
#include "sansio/context.hpp"
#include "state/cluster_state.hpp"
#include "state/worker_liveness.hpp"

namespace dunebridge::provisioning {

/// Reason for the release of a machine, as operators see it in the log (docs/operations.md).
enum class ScaleInReason : std::uint8_t {
    idle,                      ///< it has had no tasks for the idle timeout and is not needed
    drained,                   ///< it was cordoned and has no tasks left
    boot_timeout,              ///< it did not boot in time
    failed,                    ///< the cloud reports it as failed
    preempted,                 ///< its announced preemption time has passed and it is silent
    missing_from_list,         ///< several of the cloud's machine lists in a row lack it
    no_heartbeat_this_term,    ///< it has sent no heartbeat to this term's leader
    heartbeats_lost,           ///< its heartbeats have stopped
    replies_unacknowledged,    ///< its heartbeats arrive, but it acknowledges no reply
    cancellation_unconfirmed,  ///< tasks of an ended job were not confirmed stopped in time
};

/// Returns the value that the log shows for the reason.
const char* to_string(ScaleInReason reason);

/// Decides whether a machine is released because it is lost, unresponsive, drained or preempted.
/// Does not change the cluster state. Idle machines are selected by the scaling plan instead.
///
/// A machine whose heartbeats stop may still run its tasks: neither missing heartbeats nor a row
/// missing from the cloud's list proves that it no longer exists. Such a machine is released
/// because a confirmed deletion does prove that the machine and its tasks no longer exist.
class ReleasePolicy {
  public:
    /// The objects passed by reference must outlive the policy.
    ReleasePolicy(const sansio::Context& context, state::ClusterState& cluster_state,
                  const state::WorkerLiveness& liveness, const BootMonitor& boot_monitor,
                  const config::Config& config)
        : context_(context),
          state_(cluster_state),
          liveness_(liveness),
          boot_monitor_(boot_monitor),
          config_(config) {}

    /// Updates the conditions that concern the whole fleet. Must be called before the queries
    /// below.
    void observe_fleet();
    /// Returns the reason to release the machine now, or nullopt if it is kept.
    std::optional<ScaleInReason> reason_to_release(const state::Machine& machine) const;
    /// Returns true if the machine has held tasks of an ended job for too long. Such tasks must
    /// have stopped by the cancellation deadline, whether the machine is reachable or not.
    bool holds_tasks_of_ended_job_too_long(const state::Machine& machine) const;

  private:
    std::optional<ScaleInReason> reason_without_heartbeat(const state::Machine& machine) const;
    std::optional<ScaleInReason> reason_without_heartbeat_or_tasks(
        const state::Machine& machine) const;
    std::optional<ScaleInReason> reason_with_heartbeat(const state::Machine& machine) const;
    Millis silence_limit() const;

    const sansio::Context& context_;
    state::ClusterState& state_;
    const state::WorkerLiveness& liveness_;
    const BootMonitor& boot_monitor_;
    const config::Config& config_;
    bool most_machines_silent_ = false;
    bool ended_jobs_hold_tasks_ = false;  // some machine holds tasks of an ended job
};

}  // namespace dunebridge::provisioning
