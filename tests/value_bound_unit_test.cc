// The bound on what any schedule could have earned.
//
// Contents
//   [1] Fixture
//   [2] Cases solved by hand
//   [3] Against every schedule of small cases
//   [4] Against what was played

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

#include "emulator/load_play.h"
#include "emulator/value_bound.h"

namespace cassiaferry::emulator {
namespace {

// ---- [1] Fixture ------------------------------------------------------------

// One core for a second, in slots of 10 ms.
struct one_core {
  one_core() { room.work.assign(100, kSlotWork); }

  // One task that takes `ms` of the core.
  static bound_job Job(int64_t arrival_ms,
                       int64_t objective_ms,
                       int64_t ms,
                       double value = 1) {
    return {Millis(arrival_ms), Millis(objective_ms), value,
            static_cast<double>(ms) * kCore * 1000, kCore};
  }

  double Most(const std::vector<bound_job>& jobs) const {
    return BoundValue(jobs, room, 3, 0.2).most;
  }

  static constexpr double kCore = 1000;
  static constexpr double kSlotWork = kCore * 10'000;
  bound_room room;
};

// ---- [2] Cases solved by hand -----------------------------------------------

TEST_CASE_METHOD(one_core, "bound_jobs_that_fit_all_is_earned") {
  REQUIRE(Most({Job(0, 100, 100), Job(100, 100, 100)}) == Approx(2));
}

// One of two is in time, the other late.
TEST_CASE_METHOD(one_core, "bound_room_for_one_in_time_the_other_is_late") {
  REQUIRE(Most({Job(0, 100, 100), Job(0, 100, 100)}) == Approx(1.2));
}

TEST_CASE_METHOD(one_core, "bound_the_denser_job_goes_first") {
  REQUIRE(MostWork({Job(0, 100, 100, 1), Job(0, 100, 100, 2)}, room, 1) ==
          std::vector<double>{0, 1});
}

// The job that is taken first could be done now; the other only now.
TEST_CASE_METHOD(one_core, "bound_work_moves_out_of_the_way") {
  REQUIRE(MostWork({Job(0, 200, 100, 2), Job(0, 100, 100, 1)}, room, 1) ==
          std::vector<double>{1, 1});
}

// Two moves: the third job's only place is freed by the second, whose other
// place is freed by the first.
TEST_CASE_METHOD(one_core, "bound_work_moves_over_two_jobs") {
  REQUIRE(MostWork(
              {Job(100, 200, 100, 3), Job(0, 200, 100, 2), Job(0, 100, 100, 1)},
              room, 1) == std::vector<double>{1, 1, 1});
}

// A task runs on one core, however many there are.
TEST_CASE_METHOD(one_core, "bound_a_job_uses_no_more_than_its_tasks_can") {
  room.work.assign(100, 4 * kSlotWork);
  REQUIRE(MostWork({Job(0, 100, 200)}, room, 1)[0] == Approx(0.5));
}

TEST_CASE_METHOD(one_core, "bound_room_taken_away_is_not_used") {
  for (size_t i = 0; i < 5; ++i)
    room.work[i] = 0;
  REQUIRE(MostWork({Job(0, 100, 100)}, room, 1)[0] == Approx(0.5));
}

TEST_CASE_METHOD(one_core, "bound_window_inside_a_slot_counts_in_part") {
  REQUIRE(MostWork({Job(5, 10, 10)}, room, 1)[0] == Approx(1));
  REQUIRE(MostWork({Job(5, 5, 10)}, room, 1)[0] == Approx(0.5));
}

// ---- [3] Against every schedule of small cases ------------------------------

// The best value of whole jobs on one core, none interrupted, over all orders.
// `late_share` of the value of a job that is late, and of use.
double BestOfAllOrders(const std::vector<bound_job>& jobs, double late_share) {
  std::vector<size_t> order(jobs.size());
  for (size_t i = 0; i < order.size(); ++i)
    order[i] = i;
  double best = 0;
  do {
    micros free{0};
    double value = 0;
    for (size_t i : order) {
      const bound_job& job = jobs[i];
      const micros end =
          std::max(free, job.arrival) +
          micros{static_cast<int64_t>(job.work / one_core::kCore)};
      const int64_t took = (end - job.arrival).value;
      if (took > 3 * job.objective.value)
        continue;
      value += job.value * (took <= job.objective.value ? 1 : late_share);
      free = end;
      best = std::max(best, value);
    }
  } while (std::next_permutation(order.begin(), order.end()));
  return best;
}

TEST_CASE_METHOD(one_core, "bound_small_cases_never_below_the_best_schedule") {
  std::mt19937_64 random(7);
  for (int round = 0; round < 200; ++round) {
    std::vector<bound_job> jobs;
    jobs.reserve(5);
    for (int i = 0; i < 5; ++i) {
      const auto ms = static_cast<int64_t>(10 + random() % 60);
      jobs.push_back(Job(static_cast<int64_t>(random() % 80),
                         ms + static_cast<int64_t>(random() % 60), ms,
                         static_cast<double>(1 + random() % 5)));
    }
    INFO("round " << round);
    REQUIRE(Most(jobs) >= BestOfAllOrders(jobs, 0.2) * (1 - 1e-6));
  }
}

// Jobs of one slot, whole slots apart: nothing is gained by dividing them, so
// the most that is in time is what the best schedule does.
TEST_CASE_METHOD(one_core, "bound_jobs_of_one_slot_equals_the_best_schedule") {
  std::mt19937_64 random(11);
  for (int round = 0; round < 200; ++round) {
    std::vector<bound_job> jobs;
    jobs.reserve(6);
    for (int i = 0; i < 6; ++i)
      jobs.push_back(Job(static_cast<int64_t>(10 * (random() % 4)),
                         static_cast<int64_t>(10 * (1 + random() % 3)), 10,
                         static_cast<double>(1 + random() % 5)));
    const std::vector<double> shares = MostWork(jobs, room, 1);
    double most = 0;
    for (size_t i = 0; i < jobs.size(); ++i)
      most += jobs[i].value * shares[i];
    INFO("round " << round);
    REQUIRE(most == Approx(BestOfAllOrders(jobs, 0)));
  }
}

// ---- [4] Against what was played --------------------------------------------

TEST_CASE("bound_played_load_is_never_above_it") {
  for (double load : {0.8, 1.3}) {
    for (uint64_t seed : {1, 2}) {
      load_options o;
      o.world.seed = seed;
      o.world.entries = 3;
      o.world.workers = 6;
      o.load = load;
      o.seconds = 2;
      o.slow = 1;
      o.with_bound = true;
      const play_result r = PlayLoad(o);
      INFO("load " << load << " seed " << seed);
      REQUIRE(r.bound > r.value);
      REQUIRE(r.bound <= 1 + 1e-9);
    }
  }
}

}  // namespace
}  // namespace cassiaferry::emulator
