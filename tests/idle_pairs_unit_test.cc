// Pairs of entry and sidecar without runs, which exchange few frames: what
// starts there all the same, and what is believed of it.
//
// Contents
//   [1] Fixtures
//   [2] Frames
//   [3] First starts
//   [4] Streams that are dead in one direction
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

// A keeper with room for four tasks, and an owner that waits for some.
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
    poll_answered look;
    look.number = k.open_poll;
    look.session = {"life"};
    look.answer = worker_answer::ok;
    look.clock_ms = ToMillis(now);
    HandleLeaseManagerEvent(k, now, look);
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

  // A report is due now; it is sent.
  bool TakeDue() {
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

// What a user sees: a small entry serves a third of what others do, with most
// of its processor spent before the first job comes. Cause: each pair exchanges
// a heartbeat 7.5 times a second in each direction, whether anything runs there
// or not: 915 frames a second with 61 sidecars.
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

// What a user sees: as above, under load. Cause: each of a job's tasks that
// ends costs the entry a frame, though it can answer only after the last one.
TEST_CASE_METHOD(lease_manager_with_waiting_owner,
                 "tasks_of_a_step_end_one_report_with_the_last") {
  Order({Start(0), Start(1), Start(2)});
  for (uint32_t i = 0; i < 3; ++i)
    HandleLeaseManagerEvent(
        k, now, run_start_answered{Start(i).ref, {"life"}, worker_answer::ok});
  TakeDue();
  int reports = 0;
  for (uint32_t i = 0; i < 3; ++i) {
    now = now + Millis(10);
    poll_answered look;
    look.number = k.open_poll;
    look.session = {"life"};
    look.answer = worker_answer::ok;
    look.clock_ms = ToMillis(now);
    for (uint32_t left = i + 1; left < 3; ++left)
      look.running.push_back({Start(left).ref, 50});
    look.ended.push_back({i + 1, Start(i).ref, run_end_kind::done});
    HandleLeaseManagerEvent(k, now, look);
    const size_t told = k.owners[kOwner].ends_reported;
    reports += k.owners[kOwner].report_pending ? 1 : 0;
    if (TakeDue())
      CHECK(k.owners[kOwner].ends_reported == told + 3);
  }
  CHECK(reports == 1);
}

// ---- [3] First starts -------------------------------------------------------

// What a user sees: the first request after a quiet second waits for a round
// trip more than others. Order: the newest stamp that the entry has seen of the
// sidecar is a second old, and a start that echoes it is refused as held up.
TEST_CASE_METHOD(idle_system, "pair_idle_first_start_is_taken") {
  for (int i = 0; i < 20; ++i) {
    Submit("job-" + std::to_string(i), 20);
    w.Pass(Millis(1370));
    CHECK(TookMs("job-" + std::to_string(i)) < 60);
  }
  CHECK(Ended(run_end_kind::never_started) == 0);
  CHECK(w.violations.empty());
}

// What a user sees: a task that runs twice at a time. Order: a start goes to a
// sidecar last heard of a second ago, and vouches for the run from now on; the
// sidecar's frames are held up, then it is frozen, and its worker runs on by
// the lease. Cause: the entry counts the run as over by the sidecar's last word
// alone, and starts the task elsewhere.
TEST_CASE("pair_idle_then_cut_off_run_counts_as_over_by_its_start") {
  for (int64_t quiet_ms = 500; quiet_ms < 1500; quiet_ms += 50) {
    idle_system q(1, 2);
    q.w.Pass(Millis(quiet_ms));
    q.w.Cut(0, 0, Millis(4000), cut_ways::to_entry);
    q.w.Cut(0, 1, Millis(4000), cut_ways::to_entry);
    q.Submit("job", 3000);
    q.w.Pass(Millis(30));
    const int worker = q.WorkerOf("job");
    if (worker >= 0)
      q.w.FreezeSidecar(worker, Millis(3000));
    q.w.Pass(Millis(9000));
    INFO("quiet for ms " << quiet_ms);
    for (const violation& v : q.w.violations)
      UNSCOPED_INFO("at " << ToMillis(v.at) << " ms: " << v.what);
    REQUIRE(q.w.violations.empty());
  }
}

// ---- [4] Streams that are dead in one direction -----------------------------

// What a user sees: a request without an answer for seconds, beside idle
// workers. Order: what the entry sends to one sidecar is held up, while that
// one's reports keep coming, as another entry's jobs change its room; a start
// goes there. Guard: a start that is not confirmed for as long as a silent
// sidecar is believed closes the stream, and the task goes elsewhere when the
// run would be over.
TEST_CASE("orders_held_up_task_starts_elsewhere") {
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

// What a user sees: under load an entry short of processor time serves nothing.
// Order: it waits for room; each of 61 workers offers it some every few
// milliseconds, 1,000 frames a second; it answers none in time. Guard: after
// each offer that comes to nothing the next one waits twice as long.
TEST_CASE_METHOD(lease_manager_with_waiting_owner,
                 "offers_missed_come_less_often") {
  const auto offers_in = [&](micros time) {
    int offers = 0;
    const micros until = now + time;
    for (uint32_t i = 0; now < until; ++i, now = now + Millis(1)) {
      // The room differs each time: the same is not offered twice.
      k.used.memory_mb = i % 2;
      Answer();
      offers += TakeDue() ? 1 : 0;
    }
    return offers;
  };
  CHECK(offers_in(Millis(1000)) <= 8);
  // One that it takes shows that it is there again.
  k.owners[kOwner].next_offer_at = now;
  k.used.memory_mb = 5;
  Answer();
  REQUIRE(TakeDue());
  Order({Start(0)});
  HandleLeaseManagerEvent(
      k, now, run_start_answered{Start(0).ref, {"life"}, worker_answer::ok});
  CHECK(offers_in(Millis(100)) >= 2);
}

}  // namespace
}  // namespace cassiaferry::emulator
