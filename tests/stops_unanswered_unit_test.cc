// Stops that the worker doesn't carry out.

#include <catch2/catch.hpp>
#include <vector>

#include "emulated_fixtures.h"

namespace cassiaferry::emulator {
namespace {

// A run whose owner sends nothing any more, on a worker that answers polls.
struct manager_of_a_silent_owner : manager_of_one_owner {
  manager_of_a_silent_owner() {
    lease_orders orders;
    orders.echo = now.value;
    orders.starts.push_back({the_run, {1000, 10, 0}, 100, ""});
    HandleLeaseOrders(k, now, kOwner, orders);
    HandleLeaseManagerEvent(
        k, now, run_start_answered{the_run, {"life"}, worker_answer::ok});
  }

  // Each stop gets this answer; the run is listed until a stop is carried out.
  void Pass(micros time, worker_answer stop_answer) {
    constexpr micros kStep = Millis(20);
    for (const micros until = now + time; now < until;) {
      k.actions.clear();
      now = now + kStep;
      AnswerPoll(stopped ? std::vector<run_ref>{}
                         : std::vector<run_ref>{the_run});
      for (size_t i = Calls<call_run_stop>().size(); i > 0; --i)
        HandleLeaseManagerEvent(
            k, now, run_stop_answered{the_run, {"life"}, stop_answer});
      stopped = stopped || (stop_answer == worker_answer::ok &&
                            !Calls<call_run_stop>().empty());
    }
  }

  const run_ref the_run{{"job", 0, 0, 0}, 1};
  const int64_t over_ms = ToMillis(now + RunsOverAfter(k.options.bounds));
  bool stopped = false;
};

// Guards against polls that keep extending the worker's lease while a run has
// no owner lease any more and its stop isn't carried out.
TEST_CASE_METHOD(manager_of_a_silent_owner,
                 "stop_not_carried_out_lease_ends_in_time") {
  const auto answer = GENERATE(worker_answer::none, worker_answer::unavailable);
  Pass(Millis(3000), answer);
  CHECK(ToMillis(k.leases_end_at) <= over_ms);
}

TEST_CASE_METHOD(manager_of_a_silent_owner,
                 "stop_carried_out_lease_ends_in_time") {
  Pass(Millis(3000), worker_answer::ok);
  CHECK(stopped);
  CHECK(ToMillis(k.leases_end_at) <= over_ms);
}

}  // namespace
}  // namespace cassiaferry::emulator
