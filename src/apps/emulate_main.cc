// cassiaferry-emulate: plays load on the emulated world and prints what callers
// got, for orders side by side.
//
// Contents
//   [1] Days of faults
//   [2] Orders side by side
//   [3] Against the bound
//   [4] Growth
//   [5] Main

#include <gflags/gflags.h>

#include <cstdio>

#include "../emulator/growth.h"
#include "../emulator/load_play.h"
#include "../emulator/seeded_day.h"
#include "app.h"
#include "emulate_experiment.h"

DEFINE_bool(one_way_cuts,
            false,
            "with --days or --replay: cuts between two hold up one direction");
DEFINE_bool(workers_keep_ids,
            false,
            "with --days or --replay: workers start again under their ids");
DEFINE_bool(closes_domains,
            false,
            "with --days or --replay: failure domains are closed and opened");
DEFINE_bool(chooses_entries,
            false,
            "with --days or --replay: sidecars have streams to two of five "
            "entries");
DEFINE_bool(
    worker_records,
    false,
    "with --days or --replay: sidecars keep records of their workers in "
    "the store");
DEFINE_bool(late_words,
            false,
            "with --days or --replay: announcements of past lives come late, "
            "and workers go on for seconds after their goodbye");
DEFINE_bool(stops_processes,
            false,
            "with --days or --replay: entries and sidecars are stopped and "
            "started again as planned");
DEFINE_bool(mixes_work,
            false,
            "with --days or --replay: tasks of unequal length, some fail at "
            "first, some need a worker that is lost in the end");
DEFINE_bool(ends_callers_time,
            false,
            "with --days or --replay: callers' time ends while long tasks run, "
            "beside short jobs, and stops are left unanswered");
DEFINE_bool(bound,
            false,
            "play the load against the most that any schedule could earn, and "
            "split what is lost by cause");
DEFINE_uint64(seed, 1, "first seed");
DEFINE_uint64(seeds, 3, "how many seeds");
DEFINE_double(load, 1.0, "offered load against the room of all workers");
DEFINE_double(seconds, 6, "how long the load lasts");
DEFINE_int32(entries, 4, "entries");
DEFINE_int32(workers, 11, "workers");
DEFINE_int32(domains, 1, "failure domains of entries and workers");
DEFINE_int32(slow, 0, "workers on which all takes 5.6 times as long");
DEFINE_int32(hanging, 0, "workers on which all stands still");
DEFINE_uint64(days, 0, "play so many seeded days of faults instead");
DEFINE_uint64(replay, 0, "play the day of this seed, and print what happens");
DEFINE_string(admission, "in_time", "useful or in_time");
DEFINE_string(experiment, "", "play the arms of this file side by side (JSON)");
DEFINE_bool(
    growth,
    false,
    "print what a process costs in systems of a quarter, a half and all "
    "of --entries and --workers, and after a loss of all entries");
DEFINE_bool(all_pairs, false, "with --growth: a stream between all pairs");
DEFINE_double(late_orders, 0, "share of orders to workers that come late");

namespace cassiaferry {
namespace {

using namespace cassiaferry::emulator;

// ---- [1] Days of faults -----------------------------------------------------

bool PrintDay(const day_report& day) {
  if (day.violations.empty())
    return true;
  std::printf("seed %llu: jobs %zu, completed %zu, faults %zu, BROKEN %zu\n",
              static_cast<unsigned long long>(day.seed), day.jobs,
              day.completed, day.faults, day.violations.size());
  for (const violation& v : day.violations)
    std::printf("  at %lld ms: %s\n", static_cast<long long>(ToMillis(v.at)),
                v.what.c_str());
  return false;
}

day_options DayOf(uint64_t seed) {
  return {seed,
          FLAGS_one_way_cuts,
          FLAGS_workers_keep_ids,
          FLAGS_closes_domains,
          FLAGS_late_words,
          FLAGS_chooses_entries,
          FLAGS_worker_records,
          FLAGS_stops_processes,
          FLAGS_mixes_work,
          FLAGS_ends_callers_time};
}

int PlayDays() {
  size_t broken = 0;
  size_t jobs = 0;
  size_t completed = 0;
  for (uint64_t seed = FLAGS_seed; seed < FLAGS_seed + FLAGS_days; ++seed) {
    const day_report day = PlaySeededDay(DayOf(seed));
    jobs += day.jobs;
    completed += day.completed;
    broken += PrintDay(day) ? 0 : 1;
  }
  std::printf("%llu days, %zu jobs, %zu completed, %zu days broken\n",
              static_cast<unsigned long long>(FLAGS_days), jobs, completed,
              broken);
  return broken == 0 ? kExitOk : kExitFailed;
}

int Replay() {
  const day_report day = PlaySeededDay(
      DayOf(FLAGS_replay),
      [](const std::string& line) { std::printf("%s\n", line.c_str()); });
  return PrintDay(day) ? kExitOk : kExitFailed;
}

// ---- [2] Orders side by side ------------------------------------------------

load_options OptionsOf(uint64_t seed, leased_order order) {
  load_options o;
  o.world.seed = seed;
  o.world.entries = FLAGS_entries;
  o.world.workers = FLAGS_workers;
  o.world.domains = FLAGS_domains;
  o.world.order = order;
  o.world.admission = FLAGS_admission == "useful" ? leased_admission::useful
                                                  : leased_admission::in_time;
  o.load = FLAGS_load;
  o.seconds = FLAGS_seconds;
  o.hanging = FLAGS_hanging;
  o.slow = FLAGS_slow;
  o.late_orders = FLAGS_late_orders;
  return o;
}

void PrintRow(const char* order, uint64_t seed, const play_result& r) {
  std::printf("%-15s %4llu  %.3f  %.3f %6llu %6llu", order,
              static_cast<unsigned long long>(seed), r.value, r.used,
              static_cast<unsigned long long>(r.starts),
              static_cast<unsigned long long>(r.refusals));
  for (const queue_result& q : r.queues)
    std::printf("  %.3f/%.3f",
                static_cast<double>(q.on_time) / std::max(1, q.asked),
                static_cast<double>(q.late) / std::max(1, q.asked));
  std::printf("  %.2f %d %zu\n", r.refused_after, r.resent, r.broken);
}

int PlayOrders() {
  constexpr const char* kNames[] = {"first_come", "earliest_start", "priority",
                                    "fair_share"};
  std::printf(
      "order           seed  value  used  starts refused  on time/late of "
      "quick, long, pings  refused-after resent broken\n");
  size_t broken = 0;
  for (size_t order = 0; order < std::size(kNames); ++order) {
    for (uint64_t seed = FLAGS_seed; seed < FLAGS_seed + FLAGS_seeds; ++seed) {
      const play_result r =
          PlayLoad(OptionsOf(seed, static_cast<leased_order>(order)));
      PrintRow(kNames[order], seed, r);
      broken += r.broken;
    }
  }
  return broken == 0 ? kExitOk : kExitFailed;
}

// ---- [3] Against the bound --------------------------------------------------

// The same jobs played with one source of loss less after the other.
struct bound_plays {
  play_result ours;
  play_result exact;      // estimates
  play_result undelayed;  // too: no message takes time
  play_result alone;      // too: one entry knows all that is placed
};

bound_plays PlayAgainstBound(uint64_t seed) {
  load_options o = OptionsOf(seed, leased_order::fair_share);
  bound_plays plays;
  o.with_bound = true;
  plays.ours = PlayLoad(o);
  o.with_bound = false;
  o.exact_estimates = true;
  plays.exact = PlayLoad(o);
  o.no_delay = true;
  plays.undelayed = PlayLoad(o);
  o.world.entries = 1;
  o.world.domains = 1;
  plays.alone = PlayLoad(o);
  return plays;
}

// What one source less has gained is lost by that source; a little below 0 says
// that it costs nothing and the plays differ by chance.
void PrintBound(uint64_t seed, const bound_plays& p) {
  const play_result& r = p.ours;
  std::printf(
      "%4llu  %.3f  %.3f  %.3f/%.3f  %.3f/%.3f  %6.3f %9.3f %6.3f %7.3f "
      "%5.3f\n",
      static_cast<unsigned long long>(seed), r.value, r.bound, r.worst_second,
      r.bound_worst_second, r.worst_queue, r.bound_worst_queue, 1 - r.bound,
      p.exact.value - r.value, p.undelayed.value - p.exact.value,
      p.alone.value - p.undelayed.value, r.bound - p.alone.value);
}

int PlayBound() {
  std::printf(
      "seed  value  bound  worst second worst queue  lost by: room estimates "
      " delay entries order\n");
  size_t broken = 0;
  for (uint64_t seed = FLAGS_seed; seed < FLAGS_seed + FLAGS_seeds; ++seed) {
    const bound_plays plays = PlayAgainstBound(seed);
    PrintBound(seed, plays);
    for (const play_result* r :
         {&plays.ours, &plays.exact, &plays.undelayed, &plays.alone})
      broken += r->broken;
  }
  std::printf(
      "worst: ours/of a schedule that has the most in time; order: what one "
      "entry that knows all, at once, still loses\n");
  return broken == 0 ? kExitOk : kExitFailed;
}

// ---- [4] Growth -------------------------------------------------------------

int PlayGrowth() {
  std::printf("%8s %8s | %8s %7s %8s %7s %8s %9s %9s | %8s %9s %9s\n",
              "entries", "sidecars", "streams", "fewest", "streams", "dials",
              "frames/s", "entry B/s", "far kB/s", "dials", "first ms",
              "9/10 ms");
  for (int part : {4, 2, 1}) {
    world_options options;
    options.seed = FLAGS_seed;
    options.entries = FLAGS_entries / part;
    options.workers = FLAGS_workers / part;
    options.domains = FLAGS_domains;
    options.restart_after = Millis(1000);
    if (FLAGS_all_pairs)
      options.neighbours.all_up_to = SIZE_MAX;
    const growth_result r = MeasureGrowth(options);
    std::printf(
        "%8d %8d | %8.1f %7zu %8.1f %7.1f %8.2f %9.0f %9.0f | %8.1f %9lld "
        "%9lld\n",
        options.entries, options.workers, r.entry_streams,
        r.fewest_entry_streams, r.sidecar_streams, r.start_dials,
        r.sidecar_frames_per_s, r.entry_bytes_per_s,
        r.bytes_between_domains_per_s / 1000, r.loss_dials,
        static_cast<long long>(ToMillis(r.to_first_stream)),
        static_cast<long long>(ToMillis(r.to_nine_tenths)));
    std::fflush(stdout);
  }
  return kExitOk;
}

}  // namespace
}  // namespace cassiaferry

int main(int argc, char** argv) {
  using namespace cassiaferry;
  InitApp(
      "cassiaferry-emulate [--load 1.2] [--seeds 3]\nPlays load on emulated "
      "workers and prints what callers got, by order.\n"
      "cassiaferry-emulate --days 200 [--seed 1]\nPlays days of faults and "
      "prints the seed of each on which a promise is broken; --replay SEED "
      "prints what happens on it.\n"
      "cassiaferry-emulate --growth --entries 183 --workers 804 --domains 6\n"
      "Prints what a process costs, by the size of the system.\n"
      "cassiaferry-emulate --bound [--load 1.2]\nPlays load against the most "
      "that any schedule could earn, and splits what is lost by cause.\n"
      "cassiaferry-emulate --experiment examples/overload.json\nPlays arms "
      "side by side and prints medians and spreads; FILE.csv gets each play.",
      &argc, &argv);
  if (!FLAGS_experiment.empty())
    return PlayExperiment(FLAGS_experiment);
  if (FLAGS_growth)
    return PlayGrowth();
  if (FLAGS_replay != 0)
    return Replay();
  if (FLAGS_days != 0)
    return PlayDays();
  return FLAGS_bound ? PlayBound() : PlayOrders();
}
