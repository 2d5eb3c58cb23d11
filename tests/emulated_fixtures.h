// What tests on the emulated world, and of the lease keeper alone, share.
//
// Contents
//   [1] Broken promises
//   [2] A keeper

#ifndef CASSIAFERRY_TESTS_EMULATED_FIXTURES_H_
#define CASSIAFERRY_TESTS_EMULATED_FIXTURES_H_

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "cassiaferry/lease_manager.h"
#include "emulator/leased_world.h"

namespace cassiaferry::emulator {

// ---- [1] Broken promises ----------------------------------------------------

inline void RequireNoneBroken(const std::vector<violation>& violations) {
  for (const violation& v : violations)
    UNSCOPED_INFO("at " << ToMillis(v.at) << " ms: " << v.what);
  REQUIRE(violations.empty());
}

// ---- [2] A keeper -----------------------------------------------------------

// With a worker that answers, and one owner.
struct manager_of_one_owner {
  manager_of_one_owner() : k(MakeLeaseManager(lease_manager_options{})) {
    HandleLeaseManagerEvent(k, now, Announcement("life"));
    TickLeaseManager(k, now);
    AnswerPoll({});
  }

  static leased_worker_announced Announcement(const std::string& life) {
    leased_worker_announced e;
    e.info.session = {life};
    e.info.capacity = {16'000, 1000, 0};
    return e;
  }

  // The look under way is answered, and the next one sent.
  void AnswerPoll(const std::vector<run_ref>& running) {
    poll_answered e;
    e.number = k.open_poll;
    e.session = {"life"};
    e.answer = worker_answer::ok;
    e.clock_ms = ToMillis(now);
    for (const run_ref& ref : running)
      e.running.push_back({ref, 50});
    HandleLeaseManagerEvent(k, now, e);
    TickLeaseManager(k, now);
  }

  template <typename Call>
  std::vector<Call> Calls() const {
    std::vector<Call> calls;
    for (const lease_manager_action& a : k.actions) {
      if (const auto* call = std::get_if<Call>(&a))
        calls.push_back(*call);
    }
    return calls;
  }

  static constexpr incarnation kOwner{7};
  micros now = Millis(1000);
  lease_manager_state k;
};

}  // namespace cassiaferry::emulator

#endif  // CASSIAFERRY_TESTS_EMULATED_FIXTURES_H_
