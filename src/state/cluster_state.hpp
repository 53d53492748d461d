/// \file
/// The cluster state: which tasks are on which machines, what is done, and which scale-out requests
/// are under way.
///
/// Only the leader has one. This is the model in memory, with its invariants: every change marks
/// the records that it concerns as dirty. ClusterStateLoader reads it from the key-value store when
/// a term begins, ClusterStateWriter writes what is dirty. A placement may be acted on only once it
/// is `committed`.
///
/// Placements are recorded per job and range of its tasks, machines per scale-out request, so that
/// the number of changes grows little with tasks and not with machines touched.
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

/// The leader's cluster state in memory, with its invariants. Owned by the controller; used by one
/// thread.
class ClusterState {
  public:
    ClusterState(sansio::Context& port, kv::KvClient& store,
                 const coordination::Election& election);

    // ---- the term that it is for ----

    /// Empties it for the term that has begun.
    void begin_term();
    void clear();
    /// Everything has been read; until then it may not be acted on.
    bool loaded() const { return loaded_; }
    void set_loaded() { loaded_ = true; }
    std::uint64_t generation() const { return generation_; }
    /// Whether this node still leads in the term for which the cluster state was begun.
    bool is_current(std::uint64_t generation) const;
    /// Whether it may be acted on in that term.
    bool usable_in(std::uint64_t generation) const { return loaded_ && is_current(generation); }

    // ---- jobs ----

    /// From its record at that revision; null if the job is known already.
    Job* add_job(kv::JobRecord record, KeyRevision revision);
    /// A job of which only progress is left on record: it is over.
    Job& add_terminal_job(const JobId& id);
    void mark_terminal(const JobId& id, std::int64_t at_ms);
    /// The end is committed, and is this one: the jobs that wait for it go on, or end with it.
    void handle_job_end(const JobId& id, wire::JobPhase how) {
        dependencies_.handle_job_end(id, how);
    }
    Job* find_job(const JobId& id);
    std::map<JobId, Job>& jobs() { return jobs_; }
    DependencyGraph& dependencies() { return dependencies_; }
    void mark_done(Job& job, std::uint32_t index);
    void mark_preemption_protected(Job& job, std::uint32_t index);
    /// Ends the job if all of its tasks are done.
    void finish_if_done(Job& job);
    /// Forgets ended jobs that have left no trace on any machine.
    void forget_terminal_jobs();

    // ---- machines ----

    /// A machine that no scale-out request's answer has named.
    Machine& add_machine(const MachineName& host, const std::string& machine_type,
                         const std::string& zone, bool spot);
    /// A machine that a record names.
    Machine& create_machine(const MachineName& host);
    Machine* find_machine(const MachineName& host);
    std::map<MachineName, Machine>& machines() { return machines_; }
    /// What a machine is, where its record does not say.
    void set_machine_properties(Machine& machine, const std::string& machine_type,
                                const std::string& zone, bool spot);
    /// The machine is proved gone, and so is everything on it.
    void remove_machine(Machine& machine);
    void request_commands(Machine& machine);
    /// Those for which commands have been requested since the last call.
    std::vector<Machine*> take_machines_needing_commands();

    // ---- placements ----

    void place(Job& job, Machine& machine);
    /// A placement that is on record.
    void restore_placement(Job& job, std::uint32_t index, Machine& machine, Attempt attempt);
    /// The placement is proved gone (or was never sent). The task waits again unless it is done.
    void remove_placement(Machine& machine, PlacementKey key);
    void set_running(Placement& placement, bool running);
    /// Has the task stopped by a command to its worker, unless it is being stopped already; its
    /// resources count as about to be released. The task may save a checkpoint for `grace_s`
    /// seconds first.
    void stop_task(Placement& placement, double grace_s);
    const TeamUsage& team_usage(const std::string& team) { return use_[team]; }

    // ---- scale-out requests ----

    void add_scale_out(const wire::ScaleOutRequest& request);
    void restore_scale_out(ScaleOutRecord rental);
    /// The cloud's answer: the machines that the request has brought. Without any it is over.
    void apply_scale_out_response(const std::string& idempotency_key,
                                  const std::vector<MachineName>& hosts);
    const std::map<std::string, ScaleOutRecord>& scale_outs() const { return scale_outs_; }
    /// Idempotency keys of the requests that the cloud has not answered yet.
    const std::set<std::string>& unanswered_scale_outs() const { return unanswered_scale_outs_; }
    bool is_scale_out_committed(const std::string& idempotency_key) const;

    // ---- records ----

    /// The format of the records that are written.
    std::uint64_t format() const { return format_; }
    /// The format that a record says is in force.
    void restore_format(std::uint64_t format) { format_ = format; }
    /// Every controller knows the format: it may be written from now on, for good.
    void adopt_format(std::uint64_t format);
    Version version() const { return dirty_.version(); }
    /// The record's changes up to this version are in the key-value store.
    bool is_committed(const std::string& key, Version version) const {
        return dirty_.is_committed(key, version);
    }
    DirtyRecords& dirty() { return dirty_; }
    StoredRecords& stored() { return stored_; }
    /// Whether a transaction with changes of the cluster state is under way.
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
    std::vector<Machine*> needing_commands_;
    std::unordered_map<std::string, TeamUsage> use_;

    DirtyRecords dirty_;
    StoredRecords stored_;
    std::uint64_t format_ = config::kChunkFormat;
    bool committing_ = false;
};

}  // namespace dunebridge::state
