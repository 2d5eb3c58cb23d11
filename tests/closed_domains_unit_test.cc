// Failure domains that operators close to new work.
//
// Contents
//   [1] Versions
//   [2] Reading from the store
//   [3] Sidecar
//   [4] Normal operation
//   [5] Failures
//   [6] Tasks without leases

#include <algorithm>
#include <catch2/catch.hpp>

#include "core_harness.h"
#include "emulated_fixtures.h"
#include "emulator/seeded_day.h"

namespace cassiaferry::emulator {
namespace {

// ---- [1] Versions -----------------------------------------------------------

closed_domains MakeClosedDomains(uint64_t version,
                                 std::set<std::string> domains) {
  return {closed_domains_version{version}, std::move(domains)};
}

// Guards against the message of a closing that arrives after that of the
// reopening.
TEST_CASE("closed_domains_received_out_of_order_newest_applies") {
  closed_domains_state s;
  CHECK(UpdateClosedDomainsFromPeer(s, MakeClosedDomains(20, {})) == false);
  CHECK(UpdateClosedDomainsFromPeer(s, MakeClosedDomains(10, {"a"})) == false);
  CHECK_FALSE(IsClosed(s, "a"));
  CHECK(UpdateClosedDomainsFromPeer(s, MakeClosedDomains(30, {"b"})));
  CHECK(IsClosed(s, "b"));
}

// Guards against a process that missed the reopening and sends the closing to
// one that missed both.
TEST_CASE("closed_domains_read_after_both_changes_older_message_ignored") {
  closed_domains_state s;
  UpdateClosedDomainsFromStore(s, MakeClosedDomains(5, {}));
  CHECK_FALSE(UpdateClosedDomainsFromStore(s, MakeClosedDomains(40, {})));
  CHECK_FALSE(UpdateClosedDomainsFromPeer(s, MakeClosedDomains(10, {"a"})));
  CHECK_FALSE(IsClosed(s, "a"));
  // What it sends to the other process is the newer state.
  CHECK(s.known == MakeClosedDomains(40, {}));
}

// Guards against a process cut off from the store that prefers its own older
// read to a newer message.
TEST_CASE("closed_domains_received_newer_than_read_apply") {
  closed_domains_state s;
  UpdateClosedDomainsFromStore(s, MakeClosedDomains(20, {}));
  CHECK(UpdateClosedDomainsFromPeer(s, MakeClosedDomains(30, {"a"})));
  CHECK(IsClosed(s, "a"));
  // Its next read is older than the message: a feed that lags.
  CHECK_FALSE(UpdateClosedDomainsFromStore(s, MakeClosedDomains(25, {})));
  CHECK(IsClosed(s, "a"));
  CHECK(UpdateClosedDomainsFromStore(s, MakeClosedDomains(31, {})));
  CHECK_FALSE(IsClosed(s, "a"));
}

// Guards against reads of an unchanged state under new versions that are sent
// to all processes.
TEST_CASE("closed_domains_read_unchanged_keep_their_version") {
  closed_domains_state s;
  UpdateClosedDomainsFromStore(s, MakeClosedDomains(10, {"a"}));
  UpdateClosedDomainsFromStore(s, MakeClosedDomains(50, {"a"}));
  CHECK(s.known.version.value == 10);
}

// ---- [2] Reading from the store ---------------------------------------------

TEST_CASE("closed_domains_complete_read_replaces_the_set") {
  const closed_domains before = MakeClosedDomains(1, {"a"});
  const closed_domains read =
      ClosedDomainsFromRows(before, {{"b", domain_status::closed}}, true, {9});
  CHECK(read == MakeClosedDomains(9, {"b"}));
}

TEST_CASE("closed_domains_partial_read_changes_named_domains_only") {
  const closed_domains before = MakeClosedDomains(1, {"a", "b"});
  const closed_domains read = ClosedDomainsFromRows(
      before, {{"b", domain_status::open}, {"c", domain_status::closed}}, false,
      {9});
  CHECK(read == MakeClosedDomains(9, {"a", "c"}));
}

// Guards against an unreadable row that closes a domain, or opens one.
TEST_CASE("closed_domains_unreadable_row_changes_nothing") {
  const closed_domains before = MakeClosedDomains(1, {"a"});
  for (bool complete : {false, true}) {
    const closed_domains read = ClosedDomainsFromRows(
        before,
        {{"a", domain_status::unreadable}, {"b", domain_status::unreadable}},
        complete, {9});
    CHECK(read.domains == before.domains);
  }
}

// ---- [3] Sidecar ------------------------------------------------------------

struct closed_lease_manager : manager_of_one_owner {
  static run_ref Ref(const std::string& job) { return {{job, 0, 0, 0}, 1}; }

  void Order(const std::string& job, int64_t cpu, uint32_t expected_ms) {
    lease_orders orders;
    orders.echo = now.value;
    orders.starts.push_back({Ref(job), {cpu, 10, 0}, expected_ms, ""});
    HandleLeaseOrders(k, now, kOwner, orders);
  }

  size_t StartsCalled() const { return Calls<call_run_start>().size(); }

  // The end of the job's run as reported to the owner; stopped: none yet.
  run_end_kind EndOf(const std::string& job) {
    for (const reported_end& reported : k.owners[kOwner].ends) {
      if (reported.end.ref == Ref(job))
        return reported.end.kind;
    }
    return run_end_kind::stopped;
  }
};

// Guards against a start that was on its way when the domain was closed.
TEST_CASE_METHOD(closed_lease_manager,
                 "start_arrives_after_closing_never_started") {
  SetClosed(k, true);
  Order("late", 1000, 100);
  CHECK(StartsCalled() == 0);
  CHECK(EndOf("late") == run_end_kind::never_started);
}

// Guards against a start that keeps waiting for resources after the closing.
TEST_CASE_METHOD(closed_lease_manager, "start_waits_at_closing_returned") {
  Order("runs", 16'000, 10);
  Order("waits", 1000, 10);
  REQUIRE(k.waiting_starts.size() == 1);
  SetClosed(k, true);
  TickLeaseManager(k, now);
  CHECK(EndOf("waits") == run_end_kind::never_started);
  CHECK(StartsCalled() == 1);
}

// Guards against a closing that ends running tasks.
TEST_CASE_METHOD(closed_lease_manager, "run_at_closing_continues") {
  Order("runs", 1000, 100);
  HandleLeaseManagerEvent(
      k, now, run_start_answered{Ref("runs"), {"life"}, worker_answer::ok});
  SetClosed(k, true);
  TickLeaseManager(k, now);
  CHECK(k.runs.size() == 1);
  CHECK(Calls<call_run_stop>().empty());
  CHECK_FALSE(AcceptsLeasedWork(k, now));
  SetClosed(k, false);
  CHECK(AcceptsLeasedWork(k, now));
}

// Guards against a worker that restarts in a closed domain and gets work.
TEST_CASE_METHOD(closed_lease_manager,
                 "worker_starts_again_while_closed_no_work") {
  SetClosed(k, true);
  HandleLeaseManagerEvent(k, now, Announcement("other"));
  poll_answered over;
  over.number = k.open_poll;
  over.session = {"life"};
  over.answer = worker_answer::other_session;
  HandleLeaseManagerEvent(k, now, over);
  TickLeaseManager(k, now);
  REQUIRE(k.worker.session.id == "other");
  poll_answered poll;
  poll.number = k.open_poll;
  poll.session = {"other"};
  poll.answer = worker_answer::ok;
  poll.clock_ms = 1;
  HandleLeaseManagerEvent(k, now, poll);
  TickLeaseManager(k, now);
  Order("new", 1000, 100);
  CHECK(StartsCalled() == 0);
}

// ---- [4] Normal operation ---------------------------------------------------

world_options TwoDomains() {
  world_options options;
  options.domains = 2;
  return options;
}

struct two_domains {
  two_domains() : w(TwoDomains()) { w.Pass(Millis(1500)); }

  // A job of 80 ms on 2 cores every 10 ms: a quarter of the capacity of four
  // workers.
  void Load(int64_t ms) {
    for (int64_t i = 0; i < ms / 10; ++i) {
      w.Submit(MakeJob("job-" + std::to_string(next++), 1, 2000, 80));
      w.Pass(Millis(10));
    }
  }

  uint64_t StartsIn(int domain) const {
    uint64_t starts = 0;
    for (size_t i = 0; i < w.workers.size(); ++i) {
      if (static_cast<int>(i) % w.options.domains == domain)
        starts += w.workers[i].starts;
    }
    return starts;
  }

  size_t CompletedOf(int from, int to) const {
    size_t completed = 0;
    for (int i = from; i < to; ++i)
      completed +=
          w.jobs.at("job-" + std::to_string(i)).fate == job_fate::completed ? 1
                                                                            : 0;
    return completed;
  }

  void RequireNothingBroken() const { RequireNoneBroken(w.violations); }

  world w;
  int next = 0;
};

// Guards against starts in a closed domain, and against refusals although other
// domains have capacity.
TEST_CASE_METHOD(two_domains, "domain_closed_under_load_served_by_the_other") {
  Load(500);
  w.CloseDomain(0);
  Load(100);
  const uint64_t before = StartsIn(0);
  const int from = next;
  Load(1500);
  const int to = next;
  CHECK(StartsIn(0) == before);
  w.OpenDomain(0);
  Load(500);
  CHECK(StartsIn(0) > before);
  w.Pass(Millis(1000));
  CHECK(CompletedOf(from, to) == static_cast<size_t>(to - from));
  RequireNothingBroken();
}

// Guards against the reopening of one domain that also reopens another.
TEST_CASE_METHOD(two_domains, "domains_closed_overlapping_each_by_itself") {
  w.CloseDomain(0);
  Load(300);
  w.CloseDomain(1);
  Load(100);
  const uint64_t both = StartsIn(0) + StartsIn(1);
  Load(300);
  CHECK(StartsIn(0) + StartsIn(1) == both);
  w.OpenDomain(0);
  Load(100);
  const uint64_t second = StartsIn(1);
  Load(500);
  CHECK(StartsIn(0) + StartsIn(1) > both);
  CHECK(StartsIn(1) == second);
  RequireNothingBroken();
}

// Guards against callers that wait while no worker may serve them, and against
// permanent refusals.
TEST_CASE_METHOD(two_domains, "domains_all_closed_refused_at_once") {
  w.CloseDomain(0);
  w.CloseDomain(1);
  w.Pass(Millis(100));
  w.Submit(MakeJob("shut-out", 2, 2000, 80));
  w.Pass(Millis(20));
  REQUIRE(w.jobs["shut-out"].fate == job_fate::refused);
  REQUIRE(w.retry_after_ms.back() >= 1000);
  w.OpenDomain(1);
  w.Pass(Millis(200));
  w.Submit(MakeJob("again", 2, 2000, 80));
  w.Pass(Millis(300));
  CHECK(w.jobs["again"].fate == job_fate::completed);
  RequireNothingBroken();
}

// Guards against jobs that already wait at the closing and keep their callers
// waiting.
TEST_CASE_METHOD(two_domains, "job_waits_all_domains_close_refused_at_once") {
  for (int i = 0; i < 4; ++i)
    w.Submit(MakeJob("runs-" + std::to_string(i), 4, 4000, 3000));
  // By now all entries know that the workers are full.
  w.Pass(Millis(1200));
  for (int i = 0; i < 8; ++i)
    w.Submit(MakeJob("waits-" + std::to_string(i), 1, 4000, 900));
  w.Pass(Millis(100));
  w.CloseDomain(0);
  w.CloseDomain(1);
  w.Pass(Millis(100));
  // All waiting jobs are refused; running ones continue.
  for (const auto& [id, job] : w.jobs) {
    INFO(id);
    CHECK(job.fate == (job.started ? job_fate::open : job_fate::refused));
  }
  CHECK(w.Count(job_fate::refused) == 8);
  RequireNothingBroken();
}

// Guards against a report, in transit at the closing, that a worker there takes
// work.
TEST_CASE_METHOD(two_domains, "report_from_before_the_closing_places_nothing") {
  entry_state& entry = *w.entries[0].core;
  const worker_id worker = entry.worker_names.at("sidecar-0");
  REQUIRE(entry.leased.workers[worker.value].takes_work);
  const worker_row& row = entry.workers[worker.value];
  sidecar_frame frame;
  frame.epoch = row.epoch;
  frame.reports.emplace();
  frame.reports->accepts_work = true;
  frame.reports->free = w.options.capacity;
  Tick(entry, w.now,
       {closed_domains_read{MakeClosedDomains(5, {"0"})},
        sidecar_frame_received{row.link, frame}});
  CHECK_FALSE(entry.leased.workers[worker.value].takes_work);
  Tick(entry, w.now,
       {closed_domains_read{MakeClosedDomains(6, {})},
        sidecar_frame_received{row.link, frame}});
  CHECK(entry.leased.workers[worker.value].takes_work);
}

// Guards against a job refused as never runnable because the only workers with
// its label are in a closed domain.
TEST_CASE_METHOD(two_domains,
                 "job_for_label_in_closed_domain_refused_then_runs") {
  w.workers[0].labels = {"kind-a"};
  w.workers[2].labels = {"kind-a"};
  w.Pass(Millis(1500));
  w.CloseDomain(0);
  w.Pass(Millis(100));
  emulated_job job = MakeJob("labelled", 1, 2000, 80);
  job.steps[0].label = "kind-a";
  w.Submit(job);
  w.Pass(Millis(20));
  REQUIRE(w.jobs["labelled"].fate == job_fate::refused);
  CHECK(w.retry_after_ms.back() >= 1000);
  w.OpenDomain(0);
  w.Pass(Millis(200));
  job.id = "labelled-again";
  w.Submit(job);
  w.Pass(Millis(300));
  CHECK(w.jobs["labelled-again"].fate == job_fate::completed);
  RequireNothingBroken();
}

// ---- [5] Failures -----------------------------------------------------------

// Guards against an entry that can't read the closing from the store, and then
// misses the reopening.
TEST_CASE_METHOD(two_domains, "entry_cut_from_store_updated_by_others") {
  w.CutFromStore(0, Millis(4000));
  w.CloseDomain(0);
  w.Pass(Millis(500));
  REQUIRE(IsClosed(w.entries[0].core->closed_domains, "0"));
  w.OpenDomain(0);
  w.Pass(Millis(500));
  REQUIRE_FALSE(IsClosed(w.entries[0].core->closed_domains, "0"));
  RequireNothingBroken();
}

// Guards against entries that send starts to a sidecar that was out of reach,
// before it has received the closing.
TEST_CASE_METHOD(two_domains,
                 "sidecar_cut_off_updated_before_it_starts_tasks") {
  for (int entry = 0; entry < 3; ++entry)
    w.Cut(entry, 0, Millis(1500));
  w.Pass(Millis(200));
  w.CloseDomain(0);
  Load(1000);
  const uint64_t before = StartsIn(0);
  Load(2000);
  CHECK(StartsIn(0) == before);
  RequireNothingBroken();
}

// Guards against a closing that is lost when all entries die while the store is
// unavailable. The sidecars keep it.
TEST_CASE_METHOD(two_domains, "entries_all_killed_store_away_still_closed") {
  w.CloseDomain(0);
  w.Pass(Millis(500));
  w.StoreFault(Millis(6000), "store silent",
               [](emulated_store& s) { s.silent = true; });
  for (int i = 0; i < 3; ++i)
    w.KillEntry(i);
  w.Pass(Millis(1500));
  const uint64_t before = StartsIn(0);
  Load(2000);
  CHECK(StartsIn(0) == before);
  for (const emulated_entry& e : w.entries)
    CHECK(IsClosed(e.core->closed_domains, "0"));
  RequireNothingBroken();
}

// Guards against sidecars that restart in a closed domain and start tasks.
TEST_CASE_METHOD(two_domains, "sidecars_killed_while_closed_still_closed") {
  w.CloseDomain(0);
  Load(300);
  const uint64_t before = StartsIn(0);
  w.KillSidecar(0);
  w.KillSidecar(2);
  Load(2500);
  CHECK(StartsIn(0) == before);
  RequireNothingBroken();
}

TEST_CASE("closed_domains_on_seeded_days_no_violation", "[seeded]") {
  for (uint64_t seed = 1; seed <= 12; ++seed) {
    day_options day;
    day.seed = seed;
    day.closes_domains = true;
    const day_report report = PlaySeededDay(day);
    for (const violation& v : report.violations)
      UNSCOPED_INFO("at " << ToMillis(v.at) << " ms: " << v.what);
    INFO("seed " << seed);
    REQUIRE(report.violations.empty());
    CHECK(report.completed > 0);
  }
}

}  // namespace
}  // namespace cassiaferry::emulator

// ---- [6] Tasks without leases -----------------------------------------------

namespace cassiaferry::testing {
namespace {

struct closed_domain_pair : core_simulation {
  closed_domain_pair() : core_simulation(2) {
    for (int i = 0; i < 2; ++i) {
      sidecars[static_cast<size_t>(i)].options.failure_domain =
          std::to_string(i);
      Announce(i, 4);
    }
    Advance(500);
  }

  void ReceiveClosedDomains(uint64_t version, std::set<std::string> domains) {
    inbox.emplace_back(closed_domains_read{{{version}, std::move(domains)}});
  }
};

// Guards against tasks of unleased jobs in a closed domain.
TEST_CASE_METHOD(closed_domain_pair, "tasks_domain_closed_start_elsewhere") {
  for (auto& s : sidecars)
    CHECK(s.options.failure_domain.size() == 1);
  CutStream(0);
  CutStream(1);
  Advance(1000);
  ReceiveClosedDomains(5, {"0"});
  Advance(200);
  Submit(1, MakeRequest(4));
  Submit(2, MakeRequest(4));
  Advance(200);
  CHECK(running[0].empty());
  CHECK(running[1].size() == 4);
  FinishAll(1);
  Advance(200);
  CHECK(running[0].empty());
  FinishAll(1);
  Advance(200);
  CHECK(Complete(1) != nullptr);
  CHECK(Complete(2) != nullptr);
}

// Guards against an entry whose state is older than the sidecar's: the start is
// returned, and the task runs elsewhere.
TEST_CASE_METHOD(closed_domain_pair,
                 "tasks_sent_with_older_state_start_elsewhere") {
  UpdateClosedDomainsFromPeer(sidecars[0].closed_domains, {{5}, {"0"}});
  Submit(1, MakeRequest(4));
  Advance(200);
  CHECK(running[0].empty());
  FinishAll(1);
  Advance(200);
  FinishAll(1);
  Advance(200);
  CHECK(Complete(1) != nullptr);
}

// Guards against tasks queued at a sidecar that stay there when its domain is
// closed, or start there.
TEST_CASE_METHOD(closed_domain_pair, "tasks_queued_at_closing_returned") {
  Submit(1, MakeRequest(8));
  Advance(100);
  REQUIRE(running[0].size() == 4);
  entry_frame frame;
  frame.epoch = sidecars[0].links[0].epoch;
  frame.starts.push_back({{job_seq{99}, 0}, "x", order_key{0}, 5000, true});
  Tick(sidecars[0], now, {link_frame_received{entry_id{0}, frame}});
  REQUIRE(sidecars[0].queue.size() == 1);
  UpdateClosedDomainsFromPeer(sidecars[0].closed_domains, {{5}, {"0"}});
  Advance(50);
  CHECK(sidecars[0].queue.empty());
  FinishAll(0);
  Advance(200);
  CHECK(running[0].empty());
}

// Guards against callers that wait until a domain is reopened.
TEST_CASE_METHOD(closed_domain_pair, "tasks_all_closed_refused_at_once") {
  CutStream(0);
  CutStream(1);
  Advance(1000);
  ReceiveClosedDomains(5, {"0", "1"});
  Advance(200);
  Submit(1, MakeRequest(1));
  Advance(50);
  REQUIRE(Failed(1) != nullptr);
  CHECK(Failed(1)->error.cause == reason::no_worker);
  CHECK(Failed(1)->error.run_verdict == verdict::not_run);
  CHECK(Failed(1)->error.retry_after_ms > 0);
}

}  // namespace
}  // namespace cassiaferry::testing
