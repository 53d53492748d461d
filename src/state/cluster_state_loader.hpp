// Reads the ledger for the term that has begun, and follows what others write from then on: new
// jobs, and ends.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "cluster/election.hpp"
#include "core/config.hpp"
#include "core/ledger.hpp"
#include "core/port.hpp"
#include "core/record_codec.hpp"
#include "state/store.hpp"

namespace dunebridge::core {

class LedgerLoader {
  public:
    LedgerLoader(Port& port, state::Store& store, cluster::Election& election, Ledger& ledger,
                 const Config& config);

    // Begins the ledger anew; it is loaded once everything has been read.
    void load();
    // Every end that was committed before is known.
    Instant ends_read_at() const { return ends_read_at_; }

  private:
    void load_next(std::size_t step, std::uint64_t generation);
    bool take_rows(const state::ListResult& result,
                   const std::function<void(const state::Row&)>& take);
    void load_jobs(const state::ListResult& result);
    void load_dependencies(const state::ListResult& result);
    void load_rentals(const state::ListResult& result);
    void load_progress(const state::ListResult& result);
    void load_progress_record(const state::Row& row);
    void check_ends(std::vector<JobId> ids, std::uint64_t generation);
    void finish(std::uint64_t generation);
    void link_dependencies();
    void try_again(std::function<void()> read);
    void bad_record(const std::string& key, const std::string& error);

    void watch(const char* prefix, KeyRev from, std::uint64_t generation);
    void apply_change(const state::Change& change);
    void add_new_job(const state::Change& change);
    void take_dependency_part(Job& job, const state::Row& row);
    void read_dependencies(const JobId& id, std::uint64_t generation);

    Port& port_;
    state::Store& store_;
    cluster::Election& election_;
    Ledger& ledger_;
    const Config& config_;
    KeyRev load_revision_;  // of the first list: watching from here misses nothing
    Instant ends_read_at_{};
};

}  // namespace dunebridge::core
