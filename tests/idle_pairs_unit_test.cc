// Idle pairs of entry and sidecar, which exchange few frames: their first start
// and when its run counts as over.
//
// Contents
//   [1] Fixtures
//   [2] Frames
//   [3] First starts
//   [4] Streams cut in one direction
//   [5] Offers

#include <catch2/catch.hpp>
#include <string>

#include "cassiaferry/lease_manager.h"
#include "emulator/leased_world.h"

namespace cassiaferry::emulator {
namespace {

// ---- [1] Fixtures -----------------------------------------------------------

struct idle_system {
  static world_options Options(int entries, int workers) {
    world_options options;
    options.entries = entries;
    options.workers = workers;
    return options;
  }
  explicit idle_system(int entries = 1, int workers = 2)
      : w(Options(entries, workers)) {
    w.Pass(Millis(5000));
  }

  void Submit(const std::string& id, int64_t run_ms) {
    emulated_job job = MakeJob(id, 1, 1000, run_ms);
    job.wait_ms = 10'000;
    w.SubmitTo(0, std::move(job));
  }

  int WorkerOf(const std::string& id) const {
    for (size_t i = 0; i < w.workers.size(); ++i) {
      for (const auto& [task, run] : w.workers[i].runs) {
        if (task.job == id)
          return static_cast<int>(i);
      }
    }
    return -1;
  }

  int64_t TookMs(const std::string& id) const {
    const emulated_job& job = w.jobs.at(id);
    return job.fate == job_fate::completed
               ? ToMillis(job.answered - job.first_sent)
               : INT64_MAX;
  }

  uint64_t Ended(run_end_kind how) const {
    return w.entries[0]
        .core->leased.counters.runs_ended[static_cast<size_t>(how)];
  }

  world w;
};

// A lease manager with capacity for four tasks, and an owner that waits for
// capacity.
struct lease_manager_with_waiting_owner {
  lease_manager_with_waiting_owner()
      : k(MakeLeaseManager(lease_manager_options{})) {
    leased_worker_announced e;
    e.info.session = {"life"};
    e.info.capacity = {16'000, 1000, 0};
    HandleLeaseManagerEvent(k, now, e);
    TickLeaseManager(k, now);
    Answer();
    Order({});
    ReportFor(k, now, kOwner);
  }

  void Answer() {
    poll_answered poll;
    poll.number = k.open_poll;
    poll.session = {"life"};
    poll.answer = worker_answer::ok;
    poll.clock_ms = ToMillis(now);
    HandleLeaseManagerEvent(k, now, poll);
    TickLeaseManager(k, now);
  }

  void Order(std::vector<run_start> starts) {
    lease_orders orders;
    orders.echo = now.value;
    orders.wanted_cpu = 1000;
    orders.starts = std::move(starts);
    HandleLeaseOrders(k, now, kOwner, orders);
  }

  static run_start Start(uint32_t index) {
    return {{{"job", 0, 0, index}, 1}, {4000, 10, 0}, 100, ""};
  }

  // Sends a pending report. Returns whether there was one.
  bool SendPendingReport() {
    if (!k.owners[kOwner].report_pending)
      return false;
    ReportFor(k, now, kOwner);
    return true;
  }

  static constexpr incarnation kOwner{7};
  micros now = Millis(1000);
  lease_manager_state k;
};

// ---- [2] Frames -------------------------------------------------------------

// Guards against idle pairs that use up a small entry's processor, so that it
// serves a third of what others do. With a heartbeat 7.5 times a second in each
// direction, whether anything runs there or not, a pair of entry and sidecar
// costs so much that 61 sidecars make 915 frames a second.
TEST_CASE("system_without_jobs_exchanges_few_frames") {
  idle_system q(1, 61);
  const auto frames = [&] {
    const counters& c = q.w.entries[0].core->metrics;
    return c.frames_sent + c.frames_received;
  };
  const uint64_t before = frames();
  q.w.Pass(Millis(10'000));
  CHECK(frames() - before < 1300);
  CHECK(q.w.violations.empty());
}

// Guards against the same under load: the end of each of a job's tasks costs
// the entry a frame, although it can answer only after the last one.
TEST_CASE_METHOD(lease_manager_with_waiting_owner,
                 "tasks_of_a_step_end_one_report_with_the_last") {
  Order({Start(0), Start(1), Start(2)});
  for (uint32_t i = 0; i < 3; ++i)
    HandleLeaseManagerEvent(
        k, now, run_start_answered{Start(i).ref, {"life"}, worker_answer::ok});
  SendPendingReport();
  int reports = 0;
  for (uint32_t i = 0; i < 3; ++i) {
    now = now + Millis(10);
    poll_answered poll;
    poll.number = k.open_poll;
    poll.session = {"life"};
    poll.answer = worker_answer::ok;
    poll.clock_ms = ToMillis(now);
    for (uint32_t left = i + 1; left < 3; ++left)
      poll.running.push_back({Start(left).ref, 50});
    poll.ended.push_back({i + 1, Start(i).ref, run_end_kind::done});
    HandleLeaseManagerEvent(k, now, poll);
    const size_t reported = k.owners[kOwner].ends_reported;
    reports += k.owners[kOwner].report_pending ? 1 : 0;
    if (SendPendingReport())
      CHECK(k.owners[kOwner].ends_reported == reported + 3);
  }
  CHECK(reports == 1);
}

// ---- [3] First starts -------------------------------------------------------

// Guards against a first request after an idle second that takes an additional
// round trip: the newest stamp that the entry has from the sidecar is a second
// old, and a start that echoes it is refused as delayed.
TEST_CASE_METHOD(idle_system, "pair_idle_first_start_is_accepted") {
  for (int i = 0; i < 20; ++i) {
    Submit("job-" + std::to_string(i), 20);
    w.Pass(Millis(1370));
    CHECK(TookMs("job-" + std::to_string(i)) < 60);
  }
  CHECK(Ended(run_end_kind::never_started) == 0);
  CHECK(w.violations.empty());
}

// Guards against two runs of a task at once. A start goes to a sidecar whose
// last report is a second old, and renews the owner lease as of now. The
// sidecar's frames are delayed, then it is frozen, and its worker continues
// under its lease. If the entry counted the run as over by the last report
// alone, it would start the task elsewhere too early.
TEST_CASE("pair_idle_then_cut_off_run_counts_as_over_by_its_start") {
  for (int64_t idle_ms = 500; idle_ms < 1500; idle_ms += 50) {
    idle_system q(1, 2);
    q.w.Pass(Millis(idle_ms));
    q.w.Cut(0, 0, Millis(4000), cut_ways::to_entry);
    q.w.Cut(0, 1, Millis(4000), cut_ways::to_entry);
    q.Submit("job", 3000);
    q.w.Pass(Millis(30));
    const int worker = q.WorkerOf("job");
    if (worker >= 0)
      q.w.FreezeSidecar(worker, Millis(3000));
    q.w.Pass(Millis(9000));
    INFO("quiet for ms " << idle_ms);
    for (const violation& v : q.w.violations)
      UNSCOPED_INFO("at " << ToMillis(v.at) << " ms: " << v.what);
    REQUIRE(q.w.violations.empty());
  }
}

// ---- [4] Streams cut in one direction ---------------------------------------

// Guards against a request that waits for seconds although workers are idle.
// The entry's frames to one sidecar are delayed, while reports keep coming from
// it, because another entry's jobs change its free resources; a start goes
// there. A start that is not confirmed within the time after which a silent
// sidecar counts as down closes the stream, and the task starts elsewhere once
// the run is over.
TEST_CASE("orders_delayed_task_starts_elsewhere") {
  idle_system q(2, 2);
  q.w.Cut(0, 0, Millis(6000), cut_ways::to_sidecar);
  for (int i = 0; i < 6; ++i)
    q.Submit("job-" + std::to_string(i), 50);
  for (int i = 0; i < 100; ++i) {
    emulated_job other = MakeJob("other-" + std::to_string(i), 8, 3000, 40);
    q.w.SubmitTo(1, std::move(other));
    q.w.Pass(Millis(50));
  }
  for (int i = 0; i < 6; ++i)
    CHECK(q.TookMs("job-" + std::to_string(i)) < 2000);
  q.w.Pass(Millis(5000));
  CHECK(q.w.violations.empty());
}

// ---- [5] Offers -------------------------------------------------------------

// Guards against an entry short of processor time that serves nothing under
// load. It waits for resources, each of 61 workers offers it some every few
// milliseconds, 1,000 frames a second, and it answers none in time. So after
// each unused offer the delay before the next one doubles.
TEST_CASE_METHOD(lease_manager_with_waiting_owner,
                 "offers_unused_become_rarer") {
  const auto offers_in = [&](micros time) {
    int offers = 0;
    const micros until = now + time;
    for (uint32_t i = 0; now < until; ++i, now = now + Millis(1)) {
      // The free resources differ each time: the same are not offered twice.
      k.used.memory_mb = i % 2;
      Answer();
      offers += SendPendingReport() ? 1 : 0;
    }
    return offers;
  };
  CHECK(offers_in(Millis(1000)) <= 8);
  // A start after an offer resets the delay.
  k.owners[kOwner].next_offer_at = now;
  k.used.memory_mb = 5;
  Answer();
  REQUIRE(SendPendingReport());
  Order({Start(0)});
  HandleLeaseManagerEvent(
      k, now, run_start_answered{Start(0).ref, {"life"}, worker_answer::ok});
  CHECK(offers_in(Millis(100)) >= 2);
}

}  // namespace
}  // namespace cassiaferry::emulator
