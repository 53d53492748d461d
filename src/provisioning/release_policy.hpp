/// \file
/// Why a machine is released.
#pragma once

#include <cstdint>
#include <optional>

#include "config/config.hpp"
#include "provisioning/boot_monitor.hpp"
#include "sansio/context.hpp"
#include "state/cluster_state.hpp"
#include "state/worker_liveness.hpp"

namespace dunebridge::provisioning {

/// Why a machine is released, as operators see it in the log (docs/operations.md).
enum class ScaleInReason : std::uint8_t {
    idle,                      ///< it has had no tasks for long enough and is not needed
    drained,                   ///< it was cordoned and has no tasks left
    boot_timeout,              ///< it never came up
    failed,                    ///< the cloud reports it as failed
    preempted,                 ///< the time of its preemption notice has come, and it is silent
    missing_from_list,         ///< the cloud's machine list lacks it
    no_heartbeat_this_term,    ///< it has sent no heartbeat to this term's leader
    heartbeats_lost,           ///< its heartbeats have stopped
    replies_unacknowledged,    ///< its heartbeats arrive, but it acknowledges no reply
    cancellation_unconfirmed,  ///< tasks of a cancelled job are not confirmed gone in time
};

/// The word for the reason in the log.
const char* to_string(ScaleInReason reason);

/// Decides whether a machine is to be released because it is lost, stuck, drained or preempted. It
/// changes nothing. Idle machines are not its concern: the scaling plan chooses among them.
///
/// A machine whose heartbeats stop may still run its tasks: silence, and a row missing from the
/// cloud's list, prove nothing. Releasing it is what makes it certain, as a confirmed deletion
/// proves that the machine and its tasks are gone.
class ReleasePolicy {
  public:
    /// The references must outlive the policy.
    ReleasePolicy(const sansio::Context& context, state::ClusterState& cluster_state,
                  const state::WorkerLiveness& liveness, const BootMonitor& boot_monitor,
                  const config::Config& config)
        : context_(context),
          state_(cluster_state),
          liveness_(liveness),
          boot_monitor_(boot_monitor),
          config_(config) {}

    /// Looks at the fleet as a whole. To be called before the machines are judged one by one.
    void observe_fleet();
    /// Why the machine is to be released now; none: it is kept.
    std::optional<ScaleInReason> reason_to_release(const state::Machine& machine) const;
    /// Whether the machine has held tasks of an ended job for too long. Such tasks must be gone by
    /// the cancellation deadline, whether the machine can be reached or not.
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
    bool ended_jobs_hold_tasks_ = false;  // some machine has tasks of a job that has ended
};

}  // namespace dunebridge::provisioning
