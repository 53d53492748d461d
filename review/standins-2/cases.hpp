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
                  auto j = job(1 + n, 6, 300);
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
              co_return true;
          }}},
    };
    return all;
}
