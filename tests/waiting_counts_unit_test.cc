// How many jobs wait, as each entry gives it while the owner of most of them is
// lost, paused, cut off from the store or stopped.
//
// Contents
//   [1] Fixture
//   [2] Lost owners
//   [3] Owners that come back
//   [4] Stops
//   [5] Tables of several pages

#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "cassiaferry/leased_jobs.h"
#include "emulated_fixtures.h"

namespace cassiaferry::emulator {
namespace {

// ---- [1] Fixture ------------------------------------------------------------

constexpr int kEntries = 8;
constexpr uint64_t kSeeds = 6;
constexpr micros kVisibleAfter = Millis(5000);  // of the acceptance
constexpr micros kInterval = Millis(10);

world_options ManyEntries(uint64_t seed) {
  world_options o;
  o.seed = seed;
  o.has_store = true;
  o.entries = kEntries;
  o.workers = 2;
  o.restart_after = Millis(1'000'000);  // what is lost stays so
  return o;
}

struct entries_of_waiting_jobs {
  // Most jobs are entry 0's.
  explicit entries_of_waiting_jobs(uint64_t seed) : w(ManyEntries(seed)) {
    constexpr int kOfFirst = 40;
    w.Pass(Millis(1500));
    for (int entry = 0; entry < kEntries; ++entry) {
      for (int i = 0; i < (entry == 0 ? kOfFirst : 1); ++i)
        SubmitTo(entry);
    }
    // So that they read the table at different moments.
    for (int entry = 0; entry < kEntries; ++entry)
      w.FreezeEntry(entry, Millis(static_cast<int64_t>(w.random() % 1000)));
    w.Pass(kVisibleAfter + Millis(1500));
  }

  void SubmitTo(int entry) {
    constexpr int64_t kWholeWorker = 16'000;
    constexpr int64_t kRunMs = 10'000;
    emulated_job job =
        MakeJob("job-" + std::to_string(next++), 1, kWholeWorker, kRunMs);
    job.durable = true;
    w.SubmitTo(entry, std::move(job));
  }

  size_t Known() const {
    size_t known = 0;
    for (const auto& [id, job] : w.jobs)
      known += job.accepted && !job.started && job.fate == job_fate::open &&
                       w.now - job.accepted_at > kVisibleAfter
                   ? 1
                   : 0;
    return known;
  }

  // Asks every entry but those, all through the time.
  void RequireCounted(micros time, const std::set<int>& disturbed) {
    for (const micros until = w.now + time; w.now < until;) {
      w.Pass(kInterval);
      const size_t known = Known();
      for (int entry = 0; entry < kEntries; ++entry) {
        if (disturbed.count(entry) != 0)
          continue;
        const size_t given = LeasedJobsWaiting(
            w.entries[static_cast<size_t>(entry)].core->leased, kQueue);
        INFO("seed " << w.options.seed << ", at ms " << ToMillis(w.now)
                     << ", entry " << entry << " gives " << given << " of "
                     << known);
        REQUIRE(2 * given >= known);
      }
    }
    REQUIRE(Known() > 0);
  }

  world w;
  int next = 0;
};

constexpr micros kTakeover = Millis(14'000);

// ---- [2] Lost owners --------------------------------------------------------

// Guards against jobs that are counted by nobody after a takeover that another
// entry won.
TEST_CASE("owner_lost_every_entry_counts_its_jobs") {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    entries_of_waiting_jobs e(seed);
    e.w.KillEntry(0);
    e.RequireCounted(kTakeover, {0});
  }
}

// Guards against the same where one takeover follows the other.
TEST_CASE("two_owners_lost_every_entry_counts_their_jobs") {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    entries_of_waiting_jobs e(seed);
    for (int i = 0; i < 20; ++i)
      e.SubmitTo(1);
    e.w.Pass(kVisibleAfter + Millis(500));
    e.w.KillEntry(0);
    e.w.Pass(Millis(300));
    e.w.KillEntry(1);
    e.RequireCounted(kTakeover, {0, 1});
  }
}

// Guards against jobs that are missing while those who take over die as well.
TEST_CASE("owner_lost_and_its_successors_every_entry_counts_its_jobs") {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    entries_of_waiting_jobs e(seed);
    e.w.KillEntry(0);
    e.RequireCounted(Millis(4600), {0});
    std::set<int> lost = {0};
    for (int entry = 1; entry < kEntries; ++entry) {
      if (e.w.entries[static_cast<size_t>(entry)]
              .core->leased.durable.current_adoption)
        lost.insert(entry);
    }
    for (int entry : lost)
      e.w.KillEntry(entry);
    e.RequireCounted(kTakeover, lost);
  }
}

// ---- [3] Owners that come back ----------------------------------------------

// Guards against jobs that are counted by nobody where their owner turns out to
// be alive, or has lost them meanwhile.
TEST_CASE("owner_paused_every_entry_counts_its_jobs") {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    entries_of_waiting_jobs e(seed);
    e.w.FreezeEntry(0, Millis(4300 + 200 * static_cast<int64_t>(seed)));
    e.RequireCounted(kTakeover, {0});
  }
}

// Guards against an owner that has lost its jobs and counts them no more,
// before it has read who has them.
TEST_CASE("owner_cut_from_store_every_entry_counts_its_jobs") {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    entries_of_waiting_jobs e(seed);
    e.w.CutFromStore(0, Millis(9000));
    e.RequireCounted(kTakeover, {});
  }
}

// ---- [4] Stops --------------------------------------------------------------

// Guards against jobs that are counted by nobody from the moment in which a
// stopping owner leaves them to others.
TEST_CASE("owner_stopped_every_entry_counts_its_jobs") {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    entries_of_waiting_jobs e(seed);
    e.w.StopEntry(0);
    e.RequireCounted(kTakeover, {0});
  }
}

// ---- [5] Tables of several pages --------------------------------------------

// The call in which the entry reads the owners' table.
uint64_t PollOf(const entry_state& entry) {
  for (const auto& [call, read] : entry.leased.durable.reads) {
    if (read.purpose == read_purpose::poll_owners)
      return call;
  }
  return 0;
}

rows_reply OwnersPage(const emulated_store& store, bool more) {
  rows_reply page;
  page.status = store_status::ok;
  page.more = more;
  for (const auto& [key, row] : store.rows) {
    if (key.table == "owners")
      page.rows.push_back({key.table, key.key, row.value, row.version, false});
  }
  return page;
}

// Guards against jobs that move, between two pages of a read, from an owner's
// row on the later page to one on the page before.
TEST_CASE("owner_moves_between_pages_of_a_read_its_jobs_count") {
  entries_of_waiting_jobs e(1);
  emulated_entry& reader = e.w.entries[1];
  e.w.StoreFault(Millis(2000), "silent",
                 [](emulated_store& store) { store.silent = true; });
  while (PollOf(*reader.core) == 0)
    e.w.Pass(kInterval);
  rows_reply first = OwnersPage(e.w.store, true);
  first.rows.erase(first.rows.begin());  // the owner's, on the next page
  rows_reply second;
  second.status = store_status::ok;
  for (const rows_reply& page : {first, second}) {
    reader.inbox.emplace_back(store_answered{PollOf(*reader.core), page});
    e.w.Pass(Millis(100));
  }
  REQUIRE(PollOf(*reader.core) == 0);
  CHECK(2 * LeasedJobsWaiting(reader.core->leased, kQueue) >= e.Known());
  e.w.Pass(Millis(4000));
  CHECK(2 * LeasedJobsWaiting(reader.core->leased, kQueue) >= e.Known());
}

}  // namespace
}  // namespace cassiaferry::emulator
