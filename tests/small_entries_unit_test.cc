// Entries with little processor time, beside larger ones.
//
// Contents
//   [1] The deployment
//   [2] Full load
//   [3] One entry for a failure domain

#include <catch2/catch.hpp>

#include <vector>

#include "emulator/load_play.h"

namespace cassiaferry::emulator {
namespace {

// ---- [1] The deployment -----------------------------------------------------

// Ten entries in four failure domains: two of 0.5 and one of 0.12 cores in each
// of the first two domains, two of 0.12 cores in each of the others. Callers in
// all domains load the 61 workers equally.
struct small_entries {
  load_options Load(uint64_t seed, double load) const {
    load_options o;
    o.world.seed = seed;
    o.world.entries = 10;
    o.world.domains = 4;
    o.world.workers = 61;
    o.world.entry_processors = {0.5, 0.5,  0.12, 0.12, 0.5,
                                0.5, 0.12, 0.12, 0.12, 0.12};
    o.load = load;
    o.seconds = 4;
    o.callers_stay_near = true;
    return o;
  }
};

// Value earned for the domain's callers, as a share of the value possible.
double Earned(const play_result& result, size_t domain) {
  return result.domains[domain].earned / result.domains[domain].owed;
}

// ---- [2] Full load ----------------------------------------------------------

// Guards against a load that the workers just fit but that leaves most requests
// of two of the four failure domains late, refused or held until their
// deadline, while the other two domains are served. The two have only small
// entries. If each end of a task and each heartbeat of 61 sidecars costs an
// entry a frame, frames fill the processors of the small ones and callers'
// requests wait in sockets. Such an entry sends and receives 455 frames a
// second without any load and receives 1,650 at 130 jobs a second, and its jobs
// take 1 s instead of 0.23; with 0.5 cores and equally slow links they don't.
TEST_CASE_METHOD(small_entries, "entries_small_full_load_served_as_elsewhere") {
  constexpr uint64_t kSeeds = 3;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const play_result result = PlayLoad(Load(seed, 1.0));
    INFO("seed " << seed << ", earned " << Earned(result, 0) << " "
                 << Earned(result, 1) << " small " << Earned(result, 2) << " "
                 << Earned(result, 3) << ", frames a job "
                 << result.frames_per_job);
    CHECK(Earned(result, 2) > 0.9 * Earned(result, 0));
    CHECK(Earned(result, 3) > 0.9 * Earned(result, 1));
    CHECK(result.broken == 0);
  }
}

// ---- [3] One entry for a failure domain -------------------------------------

// Four failure domains with an entry each, one of them at about half the pace
// that its callers need. Each caller keeps its connections open.
struct domain_with_one_slow_entry {
  static constexpr size_t kSlow = 2;

  load_options Load(uint64_t seed) const {
    load_options o;
    o.world.seed = seed;
    o.world.entries = 4;
    o.world.domains = 4;
    o.world.workers = 56;
    o.world.entry_processors = {1.1, 1.1, 0.065, 0.24};
    o.world.callers_per_domain = 10;
    o.world.far_delay = Millis(1);
    o.world.shares_across_entries = true;
    o.world.adapts_to_uneven_workers = true;
    o.domain_shares = {0.30, 0.25, 0.17, 0.28};
    o.warm_up = Millis(14'000);
    o.load = 0.75;
    o.seconds = 26;
    return o;
  }
};

// Guards against callers of a failure domain whose only entry is at its limit:
// it keeps them for half a minute, though all other entries have time.
TEST_CASE_METHOD(domain_with_one_slow_entry,
                 "only_entry_at_half_its_pace_callers_are_served_elsewhere") {
  constexpr uint64_t kSeeds = 4;
  constexpr double kFloor = 0.5;  // of value; the least that a domain is owed
  double earned = 0;
  double owed = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const play_result result = PlayLoad(Load(seed));
    UNSCOPED_INFO("seed " << seed << ", earned " << Earned(result, kSlow)
                          << ", elsewhere " << Earned(result, 0));
    earned += result.domains[kSlow].earned;
    owed += result.domains[kSlow].owed;
    CHECK(Earned(result, 0) > 0.9);
    CHECK(result.broken == 0);
  }
  CHECK(earned / owed > kFloor);
}

}  // namespace
}  // namespace cassiaferry::emulator
