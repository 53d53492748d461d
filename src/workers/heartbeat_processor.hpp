// Applies workers' reports to the ledger: which tasks run, which have exited, and which are proved
// gone.
//
// A report proves that a recorded placement is not on its machine if it is newer than any before
// it and
//  - it was made after the worker has seen this machine's current token, and it lacks the task or
//    shows it exited; or
//  - it is of a later session than the one that the task was sent to, and only this term can have
//    sent it there: the worker forgets its tasks when its lease ends.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "cluster/election.hpp"
#include "core/ledger.hpp"
#include "core/model.hpp"
#include "core/port.hpp"
#include "wire/messages.hpp"
#include "workers/failure_attribution.hpp"
#include "workers/worker_state.hpp"

namespace dunebridge::workers {

// A task that is done, for what is learnt from run times.
struct Finished {
    const core::Job* job = nullptr;
    const core::Machine* machine = nullptr;
    double ran_s = 0;
};

class ReportProcessor {
  public:
    ReportProcessor(core::Port& port, cluster::Election& election, core::Ledger& ledger,
                    std::function<void(const Finished&)> finished);

    // Returns false if the report shows that this leader has been superseded. An older report than
    // the last changes nothing.
    bool apply(core::Machine& machine, const wire::Report& report, Channel channel);

  private:
    // What follows from a report for a placement.
    enum class Verdict : std::uint8_t { unknown, gone, start_lost };

    void update_lease(core::Machine& machine, const wire::Report& report);
    void update_worker(core::Machine& machine, const wire::Report& report);
    void take_notice(core::Machine& machine, double eviction_s);
    void apply_listed(core::Machine& machine, const wire::Report& report);
    void apply_unexited(core::Machine& machine, const wire::Report& report,
                        const wire::TaskReport& task, core::Placement* placement);
    void apply_exited(core::Machine& machine, const wire::TaskReport& task,
                      core::Placement* placement, const std::vector<core::Exited>& known);
    void reconcile(core::Machine& machine, const wire::Report& report, Channel channel);
    Verdict judge(const core::Machine& machine, core::Placement& placement,
                  const wire::Report& report, Channel channel) const;
    bool forgotten_with_session(const core::Placement& placement, const wire::Report& report) const;
    void exited(core::Machine& machine, core::Placement& placement, const wire::TaskReport& task);
    bool of_this_term(const core::Placement& placement) const;

    core::Port& port_;
    cluster::Election& election_;
    core::Ledger& ledger_;
    FailureAttribution failures_;
    std::function<void(const Finished&)> finished_;
};

}  // namespace dunebridge::workers
