/// \file
/// The users of a simulated cluster: what they submit, poll and cancel, and what they expect of the
/// responses.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "sim/controller_processes.hpp"
#include "sim/simulation.hpp"

namespace dunebridge::sim {

/// One user with one job, and what the user has seen of it.
struct SimulatedUser {
    wire::JobSpec spec;
    Instant submit_at{};
    Instant cancel_at = Instant::max();
    bool accepted = false;
    bool cancel_requested = false;
    std::optional<wire::JobPhase> terminal_phase;  ///< As first reported to the user.
    Instant cancellation_seen_at = Instant::max();
    Instant last_answer{};
    Instant terminal_seen_at{};
    Instant first_start = Instant::max();
    Instant last_start{};
    std::set<std::uint32_t> completed;  ///< Indices of the tasks that have run to their end.
    bool failing = false;               ///< The job fails on every machine.
    /// Since when a task waits although a machine could run it (StarvationChecker).
    Instant startable_since = Instant::max();
};

/// Submits, polls and cancels jobs at random controllers, and reports responses that contradict
/// what was said before or what really happened.
class SimulatedUsers {
  public:
    SimulatedUsers(Simulation& simulation, ControllerProcesses& controllers);

    /// Adds a scenario's jobs and schedules their submission (scenario_jobs.cpp).
    void add_random_jobs(int jobs);
    void add_urgent_flow();

    /// Cancels the job, at a random controller, until the user sees it in a terminal phase.
    void cancel(SimulatedUser& user);
    /// Requests the cancellation once, at that controller.
    void cancel_via(SimulatedUser& user, std::size_t node);
    /// A request about an accepted job, of which the job must be known. `when` goes into the
    /// violation.
    void repeat_request(SimulatedUser& user, std::size_t node, const std::string& method,
                        const std::string& target, const std::string& body, const char* when);
    /// Takes a response with a job's status and checks it against what the user knows.
    void record_status(SimulatedUser& user, const sansio::HttpResponse& response);

    /// The job's description, or null if it was never submitted.
    const wire::JobSpec* description(const JobId& id);
    /// A random run time about what the job expects; 0 if the task has run to its end before.
    Millis run_time(const TaskRef& task);
    void task_completed(const TaskRef& task);

    std::map<JobId, SimulatedUser>& all() { return users_; }
    SimulatedUser& at(const JobId& id) { return users_.at(id); }
    bool dependencies_done(const SimulatedUser& user) const;
    std::size_t unfinished_jobs() const;
    bool all_jobs_terminal() const;
    std::string describe_unfinished() const;
    std::size_t cancellations_seen() const;
    /// The least share of completed jobs in any job class or team, cancelled jobs aside.
    double least_served() const;
    /// From submission to the first start of a task of the job with the most cores per task; none:
    /// not started.
    std::optional<double> largest_job_wait_s() const;

    /// That share of the jobs is cancelled, polled and submitted again when their last task ends.
    FaultWindow cancel_on_completion;

  private:
    void add_pipelines();
    void add_guest_jobs();
    void mark_failing_jobs();
    void schedule(SimulatedUser& user);
    void submit(SimulatedUser& user);
    void poll(SimulatedUser& user);
    void poll_unknown_job();
    void repeat_later(SimulatedUser& user, const std::string& target, const std::string& body);
    void query_at_completion(SimulatedUser& user);
    bool dependencies_accepted(const SimulatedUser& user) const;
    /// The first moment at which a user saw a job that this one depends on cancelled.
    Instant ancestor_cancellation_seen_at(const JobId& id) const;
    bool ancestor_cancel_requested(const JobId& id) const;

    Simulation& sim_;
    ControllerProcesses& controllers_;
    std::map<JobId, SimulatedUser> users_;
};

}  // namespace dunebridge::sim
