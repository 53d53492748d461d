/// \file
/// The leader's cluster state: which tasks are placed on which machines, which tasks are done, and
/// which scale-out requests are in progress.
///
/// Only the leader holds a cluster state. ClusterState is the in-memory model and maintains its
/// invariants: every change marks the affected records as dirty. ClusterStateLoader reads the state
/// from the key-value store when a term begins, and ClusterStateWriter writes the dirty records. A
/// placement may be acted on only once it is committed.
///
/// Placements are recorded per range of a job's tasks, and machines per scale-out request, so that
/// the number of writes grows slowly with the number of tasks and does not depend on the number of
/// machines involved.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/types.hpp"
#include "config/record_format.hpp"
#include "coordination/election.hpp"
#include "kv/client.hpp"
#include "kv/records.hpp"
#include "sansio/context.hpp"
#include "state/dependency_graph.hpp"
#include "state/dirty_records.hpp"
#include "state/job.hpp"
#include "state/machine.hpp"
#include "state/placement.hpp"
#include "state/scale_out_record.hpp"
#include "state/stored_records.hpp"
#include "state/team_usage.hpp"
#include "state/version.hpp"
#include "wire/messages.hpp"

namespace dunebridge::state {

/// The leader's in-memory cluster state. Owned by the controller and used by one thread only.
class ClusterState {
  public:
    /// All references must outlive the cluster state.
    ClusterState(sansio::Context& context, kv::KvClient& kv_client,
                 const coordination::Election& election);

    // ---- term ----

    /// Clears the state and binds it to the term in which this node leads now.
    void begin_term();
    void clear();
    /// Returns true once all records have been read. Until then the state must not be acted on.
    bool loaded() const { return loaded_; }
    void set_loaded() { loaded_ = true; }
    /// The generation of the election for which begin_term() was last called.
    std::uint64_t generation() const { return generation_; }
    /// Returns true if the state is of this generation and this node still leads in its term.
    bool is_current(std::uint64_t generation) const;
    /// Returns true if the state is current for the generation and loaded.
    bool usable_in(std::uint64_t generation) const { return loaded_ && is_current(generation); }

    // ---- jobs ----

    /// Adds a job from its record, which was read at `revision`. Returns null if the job is known
    /// already.
    Job* add_job(kv::JobRecord record, KeyRevision revision);
    /// Adds a terminal job whose own record is gone and of which only progress records remain.
    Job& add_terminal_job(const JobId& id);
    /// Makes the job terminal because a terminal record of it exists; has no effect if it is
    /// unknown or terminal already, or if this leader is committing its terminal record. `at_ms` is
    /// when it ended, in wall clock milliseconds; 0 means now. Placements that are not committed
    /// are removed; workers are instructed to stop the others.
    void mark_terminal(const JobId& id, std::int64_t at_ms);
    /// To be called once the job's terminal record is committed: jobs that depend on it become
    /// runnable, or are cancelled if it was cancelled.
    void handle_job_end(const JobId& id, wire::JobPhase final_phase) {
        dependencies_.handle_job_end(id, final_phase);
    }
    /// Returns null if the job is unknown.
    Job* find_job(const JobId& id);
    std::map<JobId, Job>& jobs() { return jobs_; }
    DependencyGraph& dependencies() { return dependencies_; }
    void mark_done(Job& job, std::uint32_t index);
    void mark_preemption_protected(Job& job, std::uint32_t index);
    /// Starts to commit the job's terminal record if all of its tasks are done.
    void finish_if_done(Job& job);
    /// Forgets terminal jobs that have no placement left, and marks their records for deletion.
    void forget_terminal_jobs();

    // ---- machines ----

    /// Adds a machine that no response to a scale-out request has named, and creates a scale-out
    /// record for it. If the machine is known, only its properties are updated.
    Machine& add_machine(const MachineName& host, const std::string& machine_type,
                         const std::string& zone, bool spot);
    /// Adds a machine that a record names. Its type and zone are unknown until
    /// set_machine_properties() is called.
    Machine& create_machine(const MachineName& host);
    /// Returns null if the machine is unknown.
    Machine* find_machine(const MachineName& host);
    std::map<MachineName, Machine>& machines() { return machines_; }
    /// Sets the properties of a machine. Clears its capacity if the type changes.
    void set_machine_properties(Machine& machine, const std::string& machine_type,
                                const std::string& zone, bool spot);
    /// Removes the machine and all of its placements. The caller must have proof that the machine
    /// no longer exists.
    void remove_machine(Machine& machine);
    /// Requests that direct commands are sent to the machine's worker.
    void request_commands(Machine& machine);
    /// Returns the machines for which commands have been requested since the last call.
    std::vector<Machine*> take_machines_needing_commands();

    // ---- placements ----

    /// Places the job's next pending task on the machine. The job must have a pending task.
    void place(Job& job, Machine& machine);
    /// Adds a placement that is already stored.
    void restore_placement(Job& job, std::uint32_t index, Machine& machine, Attempt attempt);
    /// Removes a placement. The caller must have proof that the task is not on the machine any
    /// more, or was never sent there. The task becomes pending again unless it is done.
    void remove_placement(Machine& machine, PlacementKey key);
    void set_running(Placement& placement, bool running);
    /// Requests that the worker stops the task; has no effect if that is requested already. The
    /// resources of the task count as being released. The task may save a checkpoint for `grace_s`
    /// seconds first.
    void stop_task(Placement& placement, double grace_s);
    const TeamUsage& team_usage(const std::string& team) { return team_usage_[team]; }

    // ---- scale-out requests ----

    void add_scale_out(const wire::ScaleOutRequest& request);
    /// Adds a scale-out request that is already stored, with its machines.
    void restore_scale_out(ScaleOutRecord record);
    /// Applies the cloud's response to a scale-out request: `hosts` are the machines that it
    /// provisioned. If there are none, the request is finished and its record is deleted.
    void apply_scale_out_response(const std::string& idempotency_key,
                                  const std::vector<MachineName>& hosts);
    const std::map<std::string, ScaleOutRecord>& scale_outs() const { return scale_outs_; }
    /// Idempotency keys of the requests that the cloud has not answered yet.
    const std::set<std::string>& unanswered_scale_outs() const { return unanswered_scale_outs_; }
    bool is_scale_out_committed(const std::string& idempotency_key) const;

    // ---- records ----

    /// The format in which records are written.
    std::uint64_t format() const { return format_; }
    /// Sets the format that the format mark in the key-value store names.
    void restore_format(std::uint64_t format) { format_ = format; }
    /// Switches to a newer record format, which every controller must be able to read. The switch
    /// is permanent.
    void adopt_format(std::uint64_t format);
    Version version() const { return dirty_.version(); }
    /// Returns true if the record's changes up to this version are in the key-value store.
    bool is_committed(const std::string& key, Version version) const {
        return dirty_.is_committed(key, version);
    }
    DirtyRecords& dirty() { return dirty_; }
    StoredRecords& stored() { return stored_; }
    /// Returns true while a transaction with changes of the cluster state is in progress.
    bool committing() const { return committing_; }
    void set_committing(bool committing) { committing_ = committing; }

  private:
    void mark_progress_dirty(const Job& job, std::uint32_t index, CommitUrgency urgency);
    void attach(Machine& machine, Job& job, std::uint32_t index, Placement placement);
    void detach_from_scale_out(const Machine& machine);
    void cancel_with_dependency(Job& job);

    sansio::Context& context_;
    const coordination::Election& election_;

    bool loaded_ = false;
    std::uint64_t generation_ = 0;
    std::uint64_t next_sequence_ = 0;
    std::uint64_t next_attempt_ = 0;
    std::map<JobId, Job> jobs_;
    std::map<MachineName, Machine> machines_;
    DependencyGraph dependencies_;
    std::map<std::string, ScaleOutRecord> scale_outs_;
    std::set<std::string> unanswered_scale_outs_;
    std::vector<Machine*> machines_needing_commands_;
    std::unordered_map<std::string, TeamUsage> team_usage_;  // by team

    DirtyRecords dirty_;
    StoredRecords stored_;
    std::uint64_t format_ = config::kChunkFormat;
    bool committing_ = false;
};

}  // namespace dunebridge::state
