#include "provisioning/scale_in.hpp"

namespace dunebridge::provisioning {

using sansio::LogLevel;
using state::Machine;

namespace {
constexpr Millis kCheckInterval{250};
// Allows for the delivery of the stop command and for a preemption earlier than announced.
constexpr Millis kCheckpointMargin{3000};
}  // namespace

ScaleIn::ScaleIn(sansio::Context& context, CloudClient& cloud, state::ClusterState& cluster_state,
                 const state::WorkerLiveness& liveness, state::ReleasedMachines& released_machines,
                 const state::MachineTypeCatalog& machine_types, const BootMonitor& boot_monitor,
                 const config::Config& config)
    : context_(context),
      state_(cluster_state),
      machine_types_(machine_types),
      policy_(context, cluster_state, liveness, boot_monitor, config),
      deleter_(context, cloud, cluster_state, released_machines) {}

void ScaleIn::release(Machine& machine, ScaleInReason reason) {
    if (machine.instance.deleting) return;
    machine.instance.deleting = true;
    deleter_.enqueue(machine.host);
    context_.log(LogLevel::info, "event=scale_in host={} type={} tasks={} why={}",
                 machine.host.get(), machine.machine_type, machine.placements.size(),
                 to_string(reason));
}

void ScaleIn::check_machines() {
    if (context_.now() < next_check_) return;
    next_check_ = context_.now() + kCheckInterval;
    policy_.observe_fleet();
    for (auto& [host, machine] : state_.machines()) check_machine(machine);
}

void ScaleIn::check_machine(Machine& machine) {
    if (machine.instance.deleting) return;
    update_capacity(machine);
    const auto reason = policy_.reason_to_release(machine);
    if (reason) release(machine, *reason);
    if (!machine.worker.heartbeat_received) return;
    stop_tasks_on_leaving_machine(machine);
    if (policy_.holds_tasks_of_ended_job_too_long(machine)) {
        release(machine, ScaleInReason::cancellation_unconfirmed);
    }
}

void ScaleIn::update_capacity(Machine& machine) const {
    const auto* type = machine_types_.find(machine.machine_type);
    if (type) machine.capacity = {type->cores, type->accelerators, type->ram_gb};
}

// On a cordoned machine, all tasks are stopped. On a machine with a preemption notice, tasks that
// can save a checkpoint are stopped just in time to save it; the others run until the preemption.
void ScaleIn::stop_tasks_on_leaving_machine(Machine& machine) {
    if (!machine.worker.preemption_at && !machine.worker.cordoned) return;
    for (auto& [key, placement] : machine.placements) {
        const auto& spec = placement.job->spec;
        const double checkpoint_s =
            spec.checkpoint_interval_s > 0 ? spec.checkpoint_duration_s : 0.0;
        const auto checkpoint_done_at =
            context_.now() + from_seconds(checkpoint_s) + kCheckpointMargin;
        const bool must_checkpoint_now = machine.worker.preemption_at && checkpoint_s > 0 &&
                                         checkpoint_done_at >= *machine.worker.preemption_at;
        if (machine.worker.cordoned || must_checkpoint_now)
            state_.stop_task(placement, checkpoint_s);
    }
}

}  // namespace dunebridge::provisioning
