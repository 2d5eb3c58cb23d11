// Starts that find no room on their worker.
//
// Contents
//   [1] Fixture
//   [2] Waiting for room
//   [3] What must not start any more
//   [4] Many entries

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

#include "cassiaferry/lease_manager.h"
#include "emulator/load_play.h"

namespace cassiaferry {
namespace {

// ---- [1] Fixture ------------------------------------------------------------

// A worker of four tasks, all of whose room an owner's runs have: one of them
// is expected to end soon.
struct full_worker {
  full_worker() : k(MakeLeaseManager(lease_manager_options{})) {
    leased_worker_announced e;
    e.info.session = {"life"};
    e.info.capacity = {4000, 1000, 0};
    HandleLeaseManagerEvent(k, now, e);
    TickLeaseManager(k, now);
    Look({}, {});
    for (int i = 0; i < 4; ++i)
      Order(kOther, "runs-" + std::to_string(i), i == 0 ? 30 : 500);
    TickLeaseManager(k, now);
    k.actions.clear();
    PassVouched(Millis(20));
  }

  static run_ref Ref(const std::string& job) { return {{job, 0, 0, 0}, 1}; }

  void Vouch(incarnation owner) {
    lease_orders orders;
    orders.echo = now.value;
    HandleLeaseOrders(k, now, owner, orders);
  }

  void Order(incarnation owner, const std::string& job, uint32_t expected_ms) {
    lease_orders orders;
    orders.echo = now.value;
    orders.starts.push_back({Ref(job), {1000, 10, 0}, expected_ms, ""});
    HandleLeaseOrders(k, now, owner, orders);
    HandleLeaseManagerEvent(
        k, now, run_start_answered{Ref(job), {"life"}, worker_answer::ok});
  }

  void PassVouched(micros time) {
    now = now + time;
    Vouch(kOwner);
    Vouch(kOther);
    TickLeaseManager(k, now);
  }

  void Look(const std::vector<run_ref>& running,
            const std::vector<listed_end>& ended) {
    poll_answered e;
    e.number = k.open_poll;
    e.session = {"life"};
    e.answer = worker_answer::ok;
    e.clock_ms = ToMillis(now);
    for (const run_ref& ref : running)
      e.running.push_back({ref, 50});
    e.ended = ended;
    HandleLeaseManagerEvent(k, now, e);
    TickLeaseManager(k, now);
  }

  // The first run ends.
  void EndOne() {
    Look({Ref("runs-1"), Ref("runs-2"), Ref("runs-3")},
         {{1, Ref("runs-0"), run_end_kind::done}});
  }

  int Starts() const {
    return static_cast<int>(
        std::count_if(k.actions.begin(), k.actions.end(), [](const auto& a) {
          return std::holds_alternative<call_run_start>(a);
        }));
  }

  // As told to the owner; empty: nothing was.
  std::vector<run_end_kind> Told() {
    std::vector<run_end_kind> told;
    for (const run_end& end : ReportFor(k, now, kOwner).ends)
      told.push_back(end.kind);
    return told;
  }

  static constexpr incarnation kOwner{7};
  static constexpr incarnation kOther{8};
  micros now = Millis(1000);
  lease_manager_state k;
};

const std::vector<run_end_kind> kRefused = {run_end_kind::never_started};

// ---- [2] Waiting for room ---------------------------------------------------

TEST_CASE_METHOD(full_worker, "start_without_room_begins_when_a_run_ends") {
  Order(kOwner, "new", 50);
  CHECK(Starts() == 0);
  CHECK(Told().empty());
  CHECK(ReportFor(k, now, kOwner).free.cpu < 0);
  PassVouched(Millis(10));
  EndOne();
  CHECK(Starts() == 1);
  CHECK(Told().empty());
  CHECK(FreeResources(k).cpu == 0);
}

// What a user sees: with thin links a job takes twice as long. Order: starts
// wait, nothing is told of them, and their owner learns late that its link is
// full; its vouches stand in that queue, run out, and its runs are stopped.
TEST_CASE_METHOD(full_worker, "start_waits_owner_hears_at_once") {
  ReportFor(k, now, kOwner);
  REQUIRE_FALSE(k.owners[kOwner].report_pending);
  Order(kOwner, "new", 50);
  CHECK(k.owners[kOwner].report_pending);
}

// What a user sees: with thin links jobs are late though other workers are
// free. Order: a start waits where nothing ends soon, is refused after that,
// and its payload travels a second time.
TEST_CASE_METHOD(full_worker, "start_where_nothing_ends_soon_refused_at_once") {
  PassVouched(Millis(5));
  EndOne();
  Order(kOther, "long", 500);
  k.actions.clear();
  Order(kOwner, "new", 50);
  CHECK(Told() == kRefused);
  CHECK(Starts() == 0);
}

TEST_CASE_METHOD(full_worker, "start_that_waited_its_time_is_refused") {
  Order(kOwner, "new", 50);
  PassVouched(k.options.max_start_wait + micros{1});
  CHECK(Told() == kRefused);
  EndOne();
  CHECK(Starts() == 0);
  CHECK(FreeResources(k).cpu == 1000);
}

TEST_CASE_METHOD(full_worker, "starts_beyond_what_may_wait_refused_at_once") {
  Order(kOwner, "first", 50);
  Order(kOwner, "second", 50);
  CHECK(Told() == kRefused);
}

// The start that came first gets the room; what the worker holds never exceeds
// what it has.
TEST_CASE_METHOD(full_worker, "room_freed_goes_to_the_start_that_waits") {
  Order(kOwner, "new", 50);
  PassVouched(Millis(10));
  EndOne();
  Order(kOther, "later", 50);
  CHECK(Starts() == 1);
  CHECK((k.used - k.waiting_resources).cpu <= k.worker.capacity.cpu);
}

// What the worker's owner sees: more runs than its room holds. Order: a start
// waits, the worker's room shrinks to less than what runs there, a run ends.
// What runs still counts; the start begins once it fits what the room is now.
TEST_CASE_METHOD(full_worker, "start_waits_room_shrinks_never_begins_over_it") {
  k.options.max_start_wait = Millis(5000);
  Order(kOwner, "new", 50);
  leased_worker_announced e;
  e.info = k.worker;
  e.info.capacity.cpu = 3000;
  e.sequence = 5;
  HandleLeaseManagerEvent(k, now, e);
  EndOne();
  CHECK(Starts() == 0);
  e.info.capacity.cpu = 4000;
  e.sequence = 6;
  HandleLeaseManagerEvent(k, now, e);
  TickLeaseManager(k, now);
  CHECK(Starts() == 1);
}

// ---- [3] What must not start any more ---------------------------------------

// What a user sees: a task that runs twice at a time. Order: a start waits
// here, the path to its owner is cut, the owner counts it as over and starts
// the task elsewhere; then room gets free.
TEST_CASE_METHOD(full_worker, "start_waits_owner_falls_silent_never_begins") {
  k.options.max_start_wait = Millis(5000);
  Order(kOwner, "new", 50);
  const micros until = now + k.options.bounds.owner_lease + micros{1};
  while (now < until) {
    now = now + Millis(20);
    Vouch(kOther);
    TickLeaseManager(k, now);
  }
  EndOne();
  CHECK(Starts() == 0);
  CHECK(Told() == kRefused);
}

// What a user sees: work goes on for a caller that has gone.
TEST_CASE_METHOD(full_worker, "start_waits_owner_stops_it_never_begins") {
  Order(kOwner, "new", 50);
  lease_orders stop;
  stop.echo = now.value;
  stop.stops.push_back(Ref("new"));
  HandleLeaseOrders(k, now, kOwner, stop);
  EndOne();
  CHECK(Starts() == 0);
  CHECK(Told() == kRefused);
}

// What a user sees: a task that runs twice at a time. Order: the stream breaks
// with a start that waits here; the owner's next stream doesn't name it.
TEST_CASE_METHOD(full_worker,
                 "start_waits_new_stream_without_it_never_begins") {
  Order(kOwner, "new", 50);
  lease_orders first;
  first.echo = now.value;
  first.is_first = true;
  HandleLeaseOrders(k, now, kOwner, first);
  EndOne();
  CHECK(Starts() == 0);
}

TEST_CASE_METHOD(full_worker, "start_waits_worker_lost_told_as_not_started") {
  Order(kOwner, "new", 50);
  HandleLeaseManagerEvent(k, now, leased_worker_deregistered{{"life"}});
  CHECK(Told() == kRefused);
  CHECK(k.waiting_starts.empty());
  CHECK(k.waiting_resources == resources{});
}

TEST_CASE_METHOD(full_worker, "start_waits_worker_drains_never_begins") {
  Order(kOwner, "new", 50);
  leased_worker_announced e;
  e.info = k.worker;
  e.sequence = 5;
  e.draining = true;
  HandleLeaseManagerEvent(k, now, e);
  EndOne();
  CHECK(Starts() == 0);
  CHECK(Told() == kRefused);
}

// ---- [4] Many entries -------------------------------------------------------

// Thirteen entries in three failure domains, most of 0.12 cores, 74 workers.
struct many_small_entries {
  static emulator::load_options Load(uint64_t seed) {
    emulator::load_options o;
    o.world.seed = seed;
    o.world.entries = 13;
    o.world.domains = 3;
    o.world.workers = 74;
    o.world.entry_processors = {0.5,  0.5,  0.12, 0.5,  0.12, 0.12, 0.12,
                                0.12, 0.12, 0.12, 0.12, 0.12, 0.12};
    o.load = 1.1;
    o.seconds = 3;
    o.callers_stay_near = true;
    return o;
  }
};

// What a user sees: in a burst the short requests are late or refused, where
// entries are small, beside workers that are not full. Order: entries place by
// news that is some milliseconds old, on the same workers; as many starts are
// refused as begin; each costs the entry two frames, and it acts late. Wanted:
// at most one start refused for two that begin. Before and after: 0.97 and 0.39
// refused a start, 0.917 and 0.957 of the value served.
TEST_CASE_METHOD(many_small_entries,
                 "entries_many_full_load_few_starts_refused") {
  for (uint64_t seed = 1; seed <= 2; ++seed) {
    const emulator::play_result result = PlayLoad(Load(seed));
    INFO("seed " << seed << ", refused " << result.refusals << " of "
                 << result.starts << ", value " << result.value);
    CHECK(2 * result.refusals < result.starts);
    CHECK(result.broken == 0);
  }
}

}  // namespace
}  // namespace cassiaferry
