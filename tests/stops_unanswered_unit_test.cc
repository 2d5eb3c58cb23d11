// Stops that the worker doesn't carry out.

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <vector>

#include "emulated_fixtures.h"
#include "emulator/seeded_day.h"

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

// The same beside another owner, whose short runs keep starting.
struct manager_of_a_silent_and_a_busy_owner : manager_of_a_silent_owner {
  // A start each 20 ms, which the worker accepts at once. No stop is answered.
  void PassWithStarts(micros time) {
    constexpr micros kStep = Millis(20);
    for (const micros until = now + time; now < until;) {
      k.actions.clear();
      now = now + kStep;
      lease_orders orders;
      orders.echo = now.value;
      orders.starts.push_back(
          {{{"quick", 0, 0, next_index++}, 1}, {100, 10, 0}, 60, ""});
      HandleLeaseOrders(k, now, kBusyOwner, orders);
      TickLeaseManager(k, now);
      for (const call_run_start& call : Calls<call_run_start>())
        Begin(call);
      AnswerPoll(Listed());
    }
  }

  void Begin(const call_run_start& call) {
    ++begun;
    latest_lease_ms = std::max(latest_lease_ms, call.lease_until_ms);
    ends_of_quick_runs[call.start.ref] = now + Millis(60);
    HandleLeaseManagerEvent(
        k, now,
        run_start_answered{call.start.ref, {"life"}, worker_answer::ok});
  }

  // What the worker runs. Its lease expires as granted.
  std::vector<run_ref> Listed() {
    latest_lease_ms = std::max(latest_lease_ms, LeaseOfPolls());
    std::vector<run_ref> running;
    if (ToMillis(now) < latest_lease_ms)
      running.push_back(the_run);
    for (const auto& [ref, ends] : ends_of_quick_runs) {
      if (now < ends)
        running.push_back(ref);
    }
    return running;
  }

  int64_t LeaseOfPolls() const {
    int64_t latest = 0;
    for (const call_poll& call : Calls<call_poll>())
      latest = std::max(latest, call.lease_until_ms);
    return latest;
  }

  static constexpr incarnation kBusyOwner{8};
  uint32_t next_index = 0;
  int begun = 0;
  int64_t latest_lease_ms = 0;
  std::map<run_ref, micros> ends_of_quick_runs;
};

// Guards against starts of other runs that keep extending the worker's lease.
TEST_CASE_METHOD(manager_of_a_silent_and_a_busy_owner,
                 "stop_not_carried_out_starts_of_others_do_not_extend_lease") {
  PassWithStarts(Millis(ToMillis(RunsOverAfter(k.options.bounds))));
  CHECK(ToMillis(k.leases_end_at) <= over_ms);
  CHECK(latest_lease_ms <= over_ms);
}

// Guards against a worker that gets no runs any more after an unanswered stop.
TEST_CASE_METHOD(manager_of_a_silent_and_a_busy_owner,
                 "stop_not_carried_out_worker_is_used_again_once_lease_ended") {
  PassWithStarts(Millis(3000));
  const int before = begun;
  PassWithStarts(Millis(1000));
  CHECK(begun >= before + 40);
  CHECK(ToMillis(k.leases_end_at) > ToMillis(now));
}

// Guards against two runs of a task at once after its caller's time has ended.
TEST_CASE("callers_time_ends_stops_unanswered_seeded_days_no_violation") {
  size_t jobs = 0;
  size_t completed = 0;
  for (uint64_t seed = 1; seed <= 30; ++seed) {
    day_options options;
    options.seed = seed;
    options.ends_callers_time = true;
    const day_report day = PlaySeededDay(options);
    INFO("cassiaferry-emulate --ends_callers_time --replay " << seed);
    RequireNoneBroken(day.violations);
    // On days with long outages many jobs are refused.
    REQUIRE(day.completed > day.jobs / 4);
    jobs += day.jobs;
    completed += day.completed;
  }
  REQUIRE(completed > jobs / 2);
}

}  // namespace
}  // namespace cassiaferry::emulator
