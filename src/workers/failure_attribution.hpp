// Tells jobs that fail on every machine from machines on which every job fails.
//
// A task's error alone points at neither. A machine is at fault if several jobs fail on it, the
// more so if those jobs succeed elsewhere; a job is at fault if it fails on several machines that
// nothing else tells against. Neither verdict is final: a task that succeeds clears its job and its
// machine, and what is found of the one is no evidence against the other any more.
//
// A faulty job is tried again after pauses that grow to a limit, a few tasks at a time however
// large it is: it must neither drain healthy machines one after the other nor fill the fleet, and a
// job that recovers must be noticed.
#pragma once

#include "core/ledger.hpp"
#include "core/model.hpp"
#include "core/port.hpp"

namespace dunebridge::workers {

class FailureAttribution {
  public:
    FailureAttribution(core::Port& port, core::Ledger& ledger) : port_(port), ledger_(ledger) {}

    void succeeded(core::Job& job, core::Machine& machine);
    void failed(core::Job& job, core::Machine& machine);
    // Starts the job again after a pause only, which grows from one time to the next.
    void pause(core::Job& job);

  private:
    void clear_job(core::Job& job);
    std::uint32_t evidence_against(const core::Machine& machine) const;
    bool failed_everywhere(const core::Job& job) const;
    void blame_job(core::Job& job);
    void blame_machine(core::Machine& machine);
    void withdraw_blame(core::Machine& machine);

    core::Port& port_;
    core::Ledger& ledger_;
};

}  // namespace dunebridge::workers
