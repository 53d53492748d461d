// What the settings ask of the classes of jobs.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "core/config.hpp"
#include "core/ledger.hpp"

namespace dunebridge::core {

class Aims {
  public:
    explicit Aims(const Config& config) {
        const auto least = [](std::optional<double>& least_s, double s) {
            least_s = std::min(least_s.value_or(s), s);
        };
        for (const auto& o : config.objectives) {
            if (o.within_s <= 0) continue;
            if (o.kind == "wait") least(classes_[o.jobclass].wait_s, o.within_s);
            if (o.kind == "finished") least(classes_[o.jobclass].finished_s, o.within_s);
            if (o.kind == "guarantee") least(guarantee_s_, o.within_s);
        }
    }

    // When the job should be over.
    Instant due(const Job& job) const {
        double within = job.spec.due_s.value_or(kNoDeadline_s);
        const auto it = classes_.find(job.spec.jobclass);
        if (it != classes_.end()) within = std::min(within, it->second.finished_s.value_or(within));
        return job.submitted + from_seconds(within);
    }
    // Within what time from submission its tasks should start; a very long one if nothing is asked.
    double start_within_s(const Job& job, bool guaranteed) const {
        double within = kNoDeadline_s;
        const auto it = classes_.find(job.spec.jobclass);
        if (it != classes_.end()) within = std::min(within, it->second.wait_s.value_or(within));
        if (guaranteed) within = std::min(within, guarantee_s_.value_or(within));
        return within;
    }

  private:
    static constexpr double kNoDeadline_s = 3600;
    struct Asked {
        std::optional<double> wait_s;
        std::optional<double> finished_s;
    };
    std::map<std::string, Asked> classes_;
    std::optional<double> guarantee_s_;
};

}  // namespace dunebridge::core
