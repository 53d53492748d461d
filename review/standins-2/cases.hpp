// The cases of the review.
#pragma once
#include "platform.hpp"

struct Case {
    std::function<Settings()> settings;
    // Returns false if the case could not run.
    std::function<task<bool>(World&, bool trouble)> run;
};

inline JobDef job(int n, int shards, double run_s) {
    JobDef j;
    char id[32];
    std::snprintf(id, sizeof id, "req-%06d", n);
    j.id = id;
    j.shards = shards;
    j.run_s = run_s;
    return j;
}

// "Once accepted, a job must run": broken if no task of the job has completed although it was
// accepted long enough ago for each task to run `times` over, and tasks of it were started and stopped
// again.
inline void check_runs(World& w, int n, double times = 2) {
    auto& u = w.users[job(n, 1, 1).id];
    const double since = now() - u.accepted_at;
    record("%s: accepted %.1f s ago, %.0f s a task, %d starts, %zu of %d tasks completed",
           u.job.id.c_str(), since, u.job.run_s, u.starts, u.completed.size(), u.job.shards);
    if (u.accepted && u.completed.empty() && since > times * u.job.run_s + 10 &&
        u.starts > u.job.shards)
        w.broke("never_runs", u.job.id + " was started again and again and no task completed");
}

inline const std::map<std::string, Case>& cases() {
    static const std::map<std::string, Case> all{
        // One-task jobs come, and some are cancelled at once. The state service answers slowly now
        // and then: every tenth transaction that changes something takes 250 to 400 ms.
        {"cancel_at_once",
         {[] { return Settings(); },
          [](World& w, bool trouble) -> task<bool> {
              w.check_lag = true;
              auto all = std::make_shared<int>(0), slow = std::make_shared<int>(0),
                   changing = std::make_shared<int>(0);
              w.state.delay_before = [&w, all, slow, changing](int, const Req& r) {
                  ++*all;
                  const bool changes =
                      r.target == "/multi" && !J::parse(r.body)["writes"].a.empty();
                  if (changes && ++*changing % 10 == 0) {
                      ++*slow;
                      return w.uniform(0.25, 0.4);
                  }
                  return w.uniform(0.002, 0.008);
              };
              for (int n = 0; n < 3; ++n) {  // a machine in each zone, with room
                  auto j = job(1 + n, 6, 40);
                  j.region = w.settings.zones[n];
                  w.submit(j);
              }
              co_await sleep_s(4);
              for (int n = 0; now() < 110; ++n) {
                  w.submit(job(100 + n, 1, 5));
                  auto j = job(500 + n, 1, 5);
                  w.submit(j);
                  auto& u = w.users[j.id];
                  if (trouble) {
                      const double after = w.uniform(0, 0.12);
                      spawn([&w, &u, after]() -> task<void> {
                          while (!u.accepted && !w.stopping) co_await sleep_s(0.002);
                          co_await sleep_s(after);
                          co_await w.cancel(u);
                      });
                  }
                  co_await sleep_s(w.uniform(0.9, 1.1));
              }
              record("slow answers of the state service: %d of %d", *slow, *all);
              for (int n = 0; n < 3; ++n) check_runs(w, 1 + n);
              co_return true;
          }}},
        // Three of 75 jobs were submitted with a mistake: they fail on every machine. A sound job with
        // longer tasks runs beside them.
        {"jobs_with_a_mistake",
         {[] { return Settings(); },
          [](World& w, bool trouble) -> task<bool> {
              auto sound = job(1, 8, 60);
              sound.cls = "glossary-refresh", sound.team = "publishing-desk", sound.urgency = "standard";
              w.submit(sound);
              for (int n = 0; n < 71; ++n) {  // so that 3 of 75 jobs have a mistake
                  co_await sleep_s(0.12);
                  w.submit(job(100 + n, 1, 2));
              }
              co_await sleep_s(6);
              if (trouble)
                  for (int n = 0; n < 3; ++n) {
                      auto j = job(50 + n, 4, 1.5);
                      w.submit(j);
                      w.users[j.id].failing = true;
                  }
              co_await sleep_s(112 - now());
              check_runs(w, 1, 1.5);
              co_return true;
          }}},
        // One array of very small tasks, and a job of two ordinary tasks beside it.
        {"small_tasks",
         {[] { return Settings(); },
          [](World& w, bool trouble) -> task<bool> {
              auto small = job(1, 2500, 25);
              small.cores = trouble ? 0.005 : 0.05;
              small.ram = 0.01;
              w.submit(small);
              co_await sleep_s(6);
              w.submit(job(2, 2, 25));
              co_await sleep_s(112 - now());
              for (int n = 0; n < 2; ++n) check_runs(w, 1 + n);
              co_return true;
          }}},
    };
    return all;
}
