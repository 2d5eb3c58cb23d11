// Sidecars that keep streams to some of the entries: their choice, and what it
// must not change for callers.
//
// Contents
//   [1] The choice
//   [2] Growth of a system
//   [3] Entries that need more workers
//   [4] Streams given back
//   [5] Seeded days

#include "cassiaferry/neighbours.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "cassiaferry/directory.h"
#include "emulated_fixtures.h"
#include "emulator/growth.h"
#include "emulator/seeded_day.h"

namespace cassiaferry::emulator {
namespace {

// ---- [1] The choice ---------------------------------------------------------

// Entries in six failure domains, as sidecars in all of them see them.
struct choice_of_many {
  static constexpr size_t kDomains = 6;
  static constexpr size_t kSidecarsPerEntry = 4;

  static std::vector<neighbour_candidate> Candidates(size_t entries,
                                                     size_t sidecar) {
    std::vector<neighbour_candidate> candidates(entries);
    for (size_t i = 0; i < entries; ++i) {
      candidates[i].rank = NeighbourRank("sidecar-" + std::to_string(sidecar),
                                         "10.0.0.1:" + std::to_string(i));
      candidates[i].near = i % kDomains == sidecar % kDomains;
    }
    return candidates;
  }

  static size_t Count(const std::vector<bool>& chosen) {
    return static_cast<size_t>(std::count(chosen.begin(), chosen.end(), true));
  }

  // Streams that the entry with the fewest has.
  size_t FewestStreams(size_t entries) const {
    std::vector<size_t> streams(entries);
    for (size_t i = 0; i < entries * kSidecarsPerEntry; ++i) {
      const auto chosen = ChooseNeighbours(Candidates(entries, i), options);
      for (size_t entry = 0; entry < entries; ++entry)
        streams[entry] += chosen[entry] ? 1 : 0;
    }
    return *std::min_element(streams.begin(), streams.end());
  }

  neighbour_options options;
};

TEST_CASE_METHOD(choice_of_many, "few_entries_all_are_neighbours") {
  CHECK(Count(ChooseNeighbours(Candidates(options.all_up_to, 1), options)) ==
        options.all_up_to);
}

// Guards against streams that grow with the number of entries.
TEST_CASE_METHOD(choice_of_many,
                 "many_entries_as_many_neighbours_at_any_size") {
  for (size_t entries : {60u, 183u, 1000u})
    CHECK(Count(ChooseNeighbours(Candidates(entries, 1), options)) ==
          options.near + options.far);
}

// Guards against an entry that no worker can be reached from.
TEST_CASE_METHOD(choice_of_many, "many_entries_each_has_streams") {
  CHECK(FewestStreams(183) >= 30);
  CHECK(FewestStreams(366) >= 30);
}

// Guards against a join of one entry that moves streams of all.
TEST_CASE_METHOD(choice_of_many, "entry_joins_at_most_one_neighbour_replaced") {
  for (size_t sidecar = 0; sidecar < 50; ++sidecar) {
    const auto before = ChooseNeighbours(Candidates(183, sidecar), options);
    const auto after = ChooseNeighbours(Candidates(184, sidecar), options);
    size_t lost = 0;
    for (size_t i = 0; i < before.size(); ++i)
      lost += before[i] && !after[i] ? 1 : 0;
    CHECK(lost <= 1);
  }
}

// Guards against a sidecar without streams while its neighbours are down.
TEST_CASE_METHOD(choice_of_many, "neighbours_unreachable_next_ones_taken") {
  auto candidates = Candidates(183, 1);
  const auto before = ChooseNeighbours(candidates, options);
  for (size_t i = 0; i < candidates.size(); ++i)
    candidates[i].reachable = !before[i];
  const auto after = ChooseNeighbours(candidates, options);
  size_t reachable = 0;
  for (size_t i = 0; i < candidates.size(); ++i)
    reachable += after[i] && candidates[i].reachable ? 1 : 0;
  CHECK(reachable == options.near + options.far);
}

// Guards against dials to all entries while all of them are down.
TEST_CASE_METHOD(choice_of_many, "all_unreachable_bounded_number_dialled") {
  auto candidates = Candidates(183, 1);
  for (neighbour_candidate& c : candidates)
    c.reachable = false;
  CHECK(Count(ChooseNeighbours(candidates, options)) <=
        2 * (options.near + options.far) + 2 * options.near);
}

// Guards against a failure domain without entries whose workers nobody reaches.
TEST_CASE_METHOD(choice_of_many, "own_domain_empty_others_taken") {
  auto candidates = Candidates(183, 1);
  for (neighbour_candidate& c : candidates)
    c.near = false;
  CHECK(Count(ChooseNeighbours(candidates, options)) ==
        options.near + options.far);
}

// Guards against an entry whose row asks for much and takes others' streams.
TEST_CASE_METHOD(choice_of_many, "entry_asks_for_all_others_keep_streams") {
  auto candidates = Candidates(183, 1);
  const auto before = ChooseNeighbours(candidates, options);
  candidates[7].reach = kMaxReach;
  const auto after = ChooseNeighbours(candidates, options);
  CHECK(after[7]);
  for (size_t i = 0; i < before.size(); ++i)
    CHECK((i == 7 || before[i] == after[i]));
}

// ---- [2] Growth of a system -------------------------------------------------

world_options FewNeighbours(int entries, int workers) {
  world_options options;
  options.entries = entries;
  options.workers = workers;
  options.domains = 2;
  options.neighbours.all_up_to = 4;
  options.neighbours.near = 4;
  options.neighbours.far = 2;
  options.neighbours.release_after = Millis(1000);
  options.reach.few_workers = 2;
  return options;
}

// Guards against a process that has, sends and dials more in a larger system.
TEST_CASE("system_twice_as_large_a_process_costs_the_same") {
  constexpr double kMostGrowth = 1.1;
  const growth_result small = MeasureGrowth(FewNeighbours(20, 80));
  const growth_result large = MeasureGrowth(FewNeighbours(40, 160));
  INFO("streams " << small.entry_streams << " " << large.entry_streams
                  << ", dials " << small.start_dials << " " << large.start_dials
                  << ", frames " << small.sidecar_frames_per_s << " "
                  << large.sidecar_frames_per_s);
  CHECK(large.fewest_entry_streams > 0);
  CHECK(large.entry_streams <= kMostGrowth * small.entry_streams);
  CHECK(large.sidecar_streams <= kMostGrowth * small.sidecar_streams);
  CHECK(large.start_dials <= kMostGrowth * small.start_dials);
  CHECK(large.sidecar_frames_per_s <= kMostGrowth * small.sidecar_frames_per_s);
  CHECK(large.entry_bytes_per_s <= kMostGrowth * small.entry_bytes_per_s);
}

// Guards against dials that grow with the number of entries while these are
// down, and take the processors of those that come back.
TEST_CASE("all_entries_lost_dials_bounded_and_streams_back") {
  constexpr double kMostGrowth = 1.1;
  constexpr micros kBackWithin = Millis(2000);
  world_options options = FewNeighbours(20, 80);
  options.restart_after = Millis(2000);
  const growth_result small = MeasureGrowth(options);
  options.entries = 40;
  options.workers = 160;
  const growth_result large = MeasureGrowth(options);
  INFO("dials " << small.loss_dials << " " << large.loss_dials);
  CHECK(large.loss_dials <= kMostGrowth * small.loss_dials);
  CHECK(large.to_nine_tenths.value > 0);
  CHECK(large.to_nine_tenths <= kBackWithin);
}

// ---- [3] Entries that need more workers -------------------------------------

struct system_of_neighbours {
  explicit system_of_neighbours(
      const world_options& options = FewNeighbours(20, 40))
      : w(options) {
    w.Pass(Millis(5000));
  }

  // A worker that has no stream to the entry.
  int Stranger(int entry) const {
    const entry_state& s = *w.entries[static_cast<size_t>(entry)].core;
    for (int i = 0; i < w.options.workers; ++i) {
      const auto row = s.worker_names.find("sidecar-" + std::to_string(i));
      if (row == s.worker_names.end() ||
          s.workers[row->second.value].state == worker_link::down)
        return i;
    }
    return -1;
  }

  int64_t TookMs(const std::string& id) const {
    const emulated_job& job = w.jobs.at(id);
    return job.fate == job_fate::completed
               ? ToMillis(job.answered - job.first_sent)
               : INT64_MAX;
  }

  size_t Streams() const {
    size_t streams = 0;
    for (const emulated_entry& e : w.entries)
      streams += e.core->links.size();
    return streams;
  }

  world w;
};

// Guards against a job that only few workers can run and that waits until its
// deadline, as none of them has a stream to its entry.
TEST_CASE_METHOD(system_of_neighbours, "label_of_strangers_job_completes") {
  constexpr int kEntries = 8;
  for (int entry = 0; entry < kEntries; ++entry)
    w.workers[static_cast<size_t>(Stranger(entry))].labels.push_back(
        "rare-" + std::to_string(entry));
  w.Pass(Millis(2500));  // until they are announced
  for (int entry = 0; entry < kEntries; ++entry) {
    const std::string id = "job-" + std::to_string(entry);
    emulated_job job = MakeJob(id, 2, 1000, 50);
    job.steps[0].label = "rare-" + std::to_string(entry);
    job.wait_ms = 10'000;
    w.SubmitTo(entry, std::move(job));
  }
  w.Pass(Millis(3000));
  for (int entry = 0; entry < kEntries; ++entry) {
    INFO("entry " << entry);
    CHECK(TookMs("job-" + std::to_string(entry)) < 400);
  }
}

// Guards against a refusal for good of a job that fits a worker which has no
// stream to its entry.
TEST_CASE("task_fits_strangers_only_job_completes") {
  world_options options = FewNeighbours(20, 40);
  options.sizes.assign(40, 1.0);
  options.sizes[13] = 4;
  system_of_neighbours system(options);
  for (int entry = 0; entry < 20; ++entry) {
    const std::string id = "job-" + std::to_string(entry);
    emulated_job job = MakeJob(id, 1, 40'000, 50);
    job.wait_ms = 30'000;
    system.w.SubmitTo(entry, std::move(job));
    system.w.Pass(Millis(3000));
    INFO(id);
    CHECK(system.TookMs(id) < 3000);
  }
}

// Guards against a job that no worker can hold and that is kept until its
// deadline: once all workers are known it is refused.
TEST_CASE_METHOD(system_of_neighbours, "task_fits_nobody_job_refused_soon") {
  emulated_job job = MakeJob("job", 1, 90'000, 50);
  job.wait_ms = 30'000;
  w.SubmitTo(0, std::move(job));
  w.Pass(Millis(4500));
  CHECK(w.jobs.at("job").fate == job_fate::refused);
  CHECK_FALSE(w.jobs.at("job").started);
}

// Guards against callers that send such jobs again and again, and with them
// keep a stream between each entry and each sidecar.
TEST_CASE_METHOD(system_of_neighbours,
                 "task_fits_nobody_again_refused_at_once") {
  constexpr micros kGivenBack = Millis(45'000);
  const size_t before = Streams();
  for (const char* id : {"first", "second"}) {
    emulated_job job = MakeJob(id, 1, 90'000, 50);
    job.wait_ms = 30'000;
    w.SubmitTo(0, std::move(job));
    w.Pass(kGivenBack);
  }
  const emulated_job& second = w.jobs.at("second");
  CHECK(second.fate == job_fate::refused);
  CHECK(second.answered - second.first_sent < Millis(100));
  CHECK(Streams() == before);
}

// Guards against a step that wants more workers than have streams to its entry.
TEST_CASE_METHOD(system_of_neighbours, "wider_than_neighbours_job_completes") {
  emulated_job job = MakeJob("job", 30, 1000, 1000);
  job.steps[0].max_per_worker = 1;
  job.wait_ms = 20'000;
  w.SubmitTo(0, std::move(job));
  w.Pass(Millis(8000));
  CHECK(TookMs("job") < 2900);  // three runs one after the other
}

// ---- [4] Streams given back -------------------------------------------------

// Guards against streams that an entry asked for once and keeps for good.
TEST_CASE_METHOD(system_of_neighbours, "need_over_streams_given_back") {
  const size_t before = Streams();
  emulated_job job = MakeJob("job", 30, 1000, 1000);
  job.steps[0].max_per_worker = 1;
  job.wait_ms = 20'000;
  w.SubmitTo(0, std::move(job));
  w.Pass(Millis(8000));
  CHECK(Streams() > before);
  w.Pass(Millis(40'000));
  CHECK(Streams() == before);
}

// Guards against tasks that end with a stream which is given back.
TEST_CASE_METHOD(system_of_neighbours, "streams_given_back_no_run_lost") {
  for (int round = 0; round < 60; ++round) {
    const int entry = round % 20;
    directory_row row{EntryAddress(entry),
                      std::to_string(entry % 2),
                      1 + static_cast<uint32_t>(round / 20 % 2) * 4,
                      {}};
    for (emulated_sidecar& s : w.sidecars)
      s.inbox.emplace_back(entries_found{{row}});
    const std::string id = "job-" + std::to_string(round);
    emulated_job job = MakeJob(id, 12, 1000, 400);
    job.wait_ms = 10'000;
    w.SubmitTo(entry, std::move(job));
    w.Pass(Millis(250));
  }
  w.Pass(Millis(10'000));
  for (const emulated_entry& e : w.entries)
    CHECK(e.core->leased.counters
              .runs_ended[static_cast<size_t>(run_end_kind::lost)] == 0);
  CHECK(w.Count(job_fate::completed) == 60);
  RequireNoneBroken(w.violations);
}

// Guards against runs that are lost as their entry is no neighbour any more and
// their stream breaks.
TEST_CASE_METHOD(system_of_neighbours,
                 "entry_no_neighbour_stream_breaks_runs_go_on") {
  directory_row row{EntryAddress(0), "0", 8, {}};
  const auto tell = [&] {
    for (emulated_sidecar& s : w.sidecars)
      s.inbox.emplace_back(entries_found{{row}});
    w.Pass(Millis(500));
  };
  tell();
  emulated_job job = MakeJob("job", 40, 8000, 4000);
  job.wait_ms = 20'000;
  w.SubmitTo(0, std::move(job));
  w.Pass(Millis(500));
  row.reach = 1;
  tell();
  for (int i = 0; i < w.options.workers; ++i)
    w.Reset(0, i);
  w.Pass(Millis(10'000));
  CHECK(w.entries[0].core->leased.counters.runs_ended[static_cast<size_t>(
            run_end_kind::lost)] == 0);
  CHECK(w.jobs.at("job").fate == job_fate::completed);
}

// Guards against a task that runs again, as the entry that took over its job
// has no stream to the sidecar that holds its end.
TEST_CASE("owner_gone_end_held_by_strangers_task_not_run_again") {
  constexpr int kJobs = 12;
  world_options options = FewNeighbours(20, 40);
  options.has_store = true;
  options.restart_after = Millis(60'000);
  system_of_neighbours system(options);
  world& w = system.w;
  for (int i = 0; i < kJobs; ++i) {
    emulated_job job = MakeJob("job-" + std::to_string(i), 1, 1000, 400);
    job.durable = true;
    w.SubmitTo(0, std::move(job));
  }
  w.Pass(Millis(350));
  w.KillEntry(0);
  w.Pass(Millis(20'000));
  size_t starts = 0;
  for (const auto& [task, history] : w.histories)
    starts += history.starts.size();
  CHECK(starts == kJobs);
  w.CheckHistories();
  RequireNoneBroken(w.violations);
}

// A sidecar that holds the end of a run which an earlier one had ordered.
struct sidecar_with_unknown_end {
  size_t Neighbours(uint32_t run) const {
    constexpr int kEntries = 100;
    sidecar_state s = MakeSidecar(sidecar_options());
    entries_found found;
    for (int i = 0; i < kEntries; ++i)
      found.rows.push_back({"10.0.0.1:" + std::to_string(i + 1), "a", 1, {}});
    held_end held;
    held.end.ref = {{"job", 0, 0, 0}, run};
    s.lease_manager.held_ends.emplace(1, held);
    Tick(s, Millis(5000), {std::move(found)});
    return static_cast<size_t>(std::count_if(
        s.links.begin(), s.links.end(),
        [](const entry_link& link) { return link.is_neighbour; }));
  }
};

// Guards against sidecars that all dial all entries after a loss of all
// processes, as they find ends of runs that they did not order.
TEST_CASE_METHOD(sidecar_with_unknown_end, "end_not_durable_few_neighbours") {
  constexpr uint32_t kFirstRun = 1;
  constexpr uint32_t kFirstDurableRun = 1 << 12;
  CHECK(Neighbours(kFirstRun) < 20);
  CHECK(Neighbours(kFirstDurableRun) == 100);
}

// Guards against an entry that was down for over a minute, comes back at its
// address, and is never dialled again.
TEST_CASE("entry_down_for_minutes_dialled_now_and_then") {
  sidecar_state s = MakeSidecar(sidecar_options());
  std::vector<sidecar_event> events = {
      entries_found{{{"10.0.0.1:70", "a", 1, {}}}}};
  constexpr micros kGone = Millis(70'000);
  int dials_when_gone = 0;
  for (micros now = Millis(1000); now < Millis(150'000);
       now = now + Millis(50)) {
    const auto actions = Tick(s, now, std::move(events));
    events.clear();
    for (const sidecar_action& action : actions) {
      const auto* dial = std::get_if<dial_entry>(&action);
      if (dial == nullptr)
        continue;
      events.emplace_back(link_lost{dial->link, dial->epoch});
      dials_when_gone += now > kGone ? 1 : 0;
    }
  }
  CHECK(dials_when_gone >= 2);
  CHECK(dials_when_gone <= 4);
}

// ---- [5] Seeded days --------------------------------------------------------

// Guards against promises that rest on a stream between each entry and each
// sidecar: ends of owners that are gone, closed domains, runs of an entry that
// connects again.
TEST_CASE("neighbours_seeded_faults_no_violation") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    day_options day;
    day.seed = seed;
    day.chooses_entries = true;
    day.closes_domains = seed % 2 == 0;
    day.one_way_cuts = seed % 3 == 0;
    const day_report report = PlaySeededDay(day);
    INFO("seed " << seed);
    RequireNoneBroken(report.violations);
  }
}

}  // namespace
}  // namespace cassiaferry::emulator
