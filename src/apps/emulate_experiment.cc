// Experiments on the emulated world.
//
// Contents
//   [1] The file
//   [2] Plays
//   [3] Table

#include "emulate_experiment.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

#include "../emulator/load_play.h"
#include "app.h"

namespace cassiaferry {

using namespace cassiaferry::emulator;
using nlohmann::json;

namespace {

// ---- [1] The file -----------------------------------------------------------

const std::vector<field_rule> kRules = {
    {"entries", field_kind::integer, 1, 100},
    {"workers", field_kind::integer, 1, 2000},
    {"failure_domains", field_kind::integer, 1, 100},
    {"seconds", field_kind::number, 0.1, 600},
    {"seeds", field_kind::integer, 1, 1000},
    {"hanging", field_kind::integer, 0, 2000},
    {"slow", field_kind::integer, 0, 2000},
    {"late_orders", field_kind::number, 0, 1},
    {"sizes", field_kind::array, 1, 100},
    {"speeds", field_kind::array, 1, 100},
    {"far_delay_ms", field_kind::number, 0, 1000},
    {"wave_swing", field_kind::number, 0, 1},
    {"wave_period_s", field_kind::number, 0.1, 600},
    {"domain_shares", field_kind::array, 1, 100},
    {"tail_share", field_kind::number, 0, 1},
    {"tail_times", field_kind::number, 1, 1000},
    {"bursts", field_kind::array, 0, 100},
    {"loads", field_kind::array, 1, 100, true},
    {"arms", field_kind::array, 1, 20, true},
};

const std::vector<field_rule> kArmRules = {
    {"name", field_kind::text, 1, 64, true},
    {"order", field_kind::text, 1, 64},
    {"admission", field_kind::text, 1, 64},
    {"link_bytes_per_s", field_kind::integer, 0, 1'000'000'000},
    {"paces_payloads", field_kind::boolean, 0, 0},
    {"exact_estimates", field_kind::boolean, 0, 0},
    {"no_delay", field_kind::boolean, 0, 0},
    {"entries", field_kind::integer, 1, 100},
    {"shares_across_entries", field_kind::boolean, 0, 0},
    {"adapts_to_uneven_workers", field_kind::boolean, 0, 0},
};

const std::vector<field_rule> kBurstRules = {
    {"queue", field_kind::text, 1, 64, true},
    {"times", field_kind::number, 0, 100, true},
    {"from_s", field_kind::number, 0, 600, true},
    {"for_s", field_kind::number, 0, 600, true},
};

struct arm {
  std::string name;
  leased_order order = leased_order::fair_share;
  leased_admission admission = leased_admission::in_time;
  int64_t link_bytes_per_s = 0;
  bool paces_payloads = true;
  bool exact_estimates = false;
  bool no_delay = false;
  int entries = 0;  // 0: as the file says
  bool shares_across_entries = false;
  bool adapts_to_uneven_workers = false;
};

[[noreturn]] void Refuse(const std::string& path, const std::string& why) {
  Die(kExitBadInput, path + ": " + why);
}

// The position of the text among the names, or the end of the process.
size_t ReadName(const std::string& path,
                const json& j,
                const char* member,
                const std::vector<std::string>& names,
                size_t other) {
  if (!j.contains(member))
    return other;
  const auto it = std::find(names.begin(), names.end(), j[member]);
  if (it == names.end())
    Refuse(path, std::string("arms: ") + member + ": unknown");
  return static_cast<size_t>(it - names.begin());
}

arm ReadArm(const std::string& path, const json& j) {
  std::vector<config_error> errors;
  CheckObject(j, kArmRules, "/arms", errors);
  if (!errors.empty())
    Refuse(path, errors.front().path + ": " + errors.front().message);
  arm a;
  a.name = j["name"];
  a.order = static_cast<leased_order>(
      ReadName(path, j, "order",
               {"first_come", "earliest_start", "priority", "fair_share"},
               static_cast<size_t>(a.order)));
  a.admission = static_cast<leased_admission>(
      ReadName(path, j, "admission", {"useful", "in_time"},
               static_cast<size_t>(a.admission)));
  a.link_bytes_per_s = j.value("link_bytes_per_s", a.link_bytes_per_s);
  a.exact_estimates = j.value("exact_estimates", a.exact_estimates);
  a.no_delay = j.value("no_delay", a.no_delay);
  a.entries = j.value("entries", a.entries);
  a.shares_across_entries =
      j.value("shares_across_entries", a.shares_across_entries);
  a.adapts_to_uneven_workers =
      j.value("adapts_to_uneven_workers", a.adapts_to_uneven_workers);
  a.paces_payloads = j.value("paces_payloads", a.paces_payloads);
  return a;
}

load_burst ReadBurst(const std::string& path, const json& j) {
  std::vector<config_error> errors;
  CheckObject(j, kBurstRules, "/bursts", errors);
  if (!errors.empty())
    Refuse(path, errors.front().path + ": " + errors.front().message);
  const size_t queue = QueueNumber(j["queue"]);
  if (queue == kLoadQueues)
    Refuse(path, "bursts: queue: unknown");
  return {queue, j["times"], j["from_s"], j["for_s"]};
}

// ---- [2] Plays --------------------------------------------------------------

struct play {
  size_t arm = 0;
  double load = 1;
  uint64_t seed = 1;
  play_result result;
};

load_options OptionsFor(const json& file,
                        const std::vector<load_burst>& bursts,
                        const arm& a,
                        const play& p) {
  load_options o;
  o.world.seed = p.seed;
  o.world.entries = a.entries != 0 ? a.entries : file.value("entries", 3);
  o.world.workers = file.value("workers", 11);
  o.world.domains = file.value("failure_domains", 3);
  o.world.order = a.order;
  o.world.admission = a.admission;
  o.world.shares_across_entries = a.shares_across_entries;
  o.world.adapts_to_uneven_workers = a.adapts_to_uneven_workers;
  o.world.entry_link_bytes_per_s = a.link_bytes_per_s;
  o.world.paces_payloads = a.paces_payloads;
  o.load = p.load;
  o.seconds = file.value("seconds", 6.0);
  o.hanging = file.value("hanging", 0);
  o.slow = file.value("slow", 0);
  o.late_orders = file.value("late_orders", 0.0);
  o.world.sizes = file.value("sizes", std::vector<double>());
  o.world.speeds = file.value("speeds", std::vector<double>());
  o.world.far_delay =
      micros{static_cast<int64_t>(file.value("far_delay_ms", 0.0) * 1000)};
  o.bursts = bursts;
  o.tail_share = file.value("tail_share", o.tail_share);
  o.tail_times = file.value("tail_times", o.tail_times);
  o.wave_swing = file.value("wave_swing", 0.0);
  o.wave_period_s = file.value("wave_period_s", o.wave_period_s);
  o.domain_shares = file.value("domain_shares", std::vector<double>());
  o.callers_stay_near = !o.domain_shares.empty();
  o.exact_estimates = a.exact_estimates;
  o.no_delay = a.no_delay;
  return o;
}

// Each thread takes the next play; none touches another's.
void PlayAll(const json& file,
             const std::vector<load_burst>& bursts,
             const std::vector<arm>& arms,
             std::vector<play>& plays) {
  std::atomic<size_t> next{0};
  const auto work = [&] {
    for (size_t i = next++; i < plays.size(); i = next++)
      plays[i].result =
          PlayLoad(OptionsFor(file, bursts, arms[plays[i].arm], plays[i]));
  };
  std::vector<std::thread> threads;
  threads.reserve(std::thread::hardware_concurrency() + 1);
  for (unsigned i = 0; i < std::max(1u, std::thread::hardware_concurrency());
       ++i)
    threads.emplace_back(work);
  for (std::thread& thread : threads)
    thread.join();
}

// ---- [3] Table --------------------------------------------------------------

double InTime(const play_result& r, size_t queue) {
  const queue_result& q = r.queues[queue];
  return static_cast<double>(q.on_time) / std::max(1, q.asked);
}

// Of the callers of one failure domain.
double WorstDomain(const play_result& r) {
  double worst = 1;
  for (const domain_result& d : r.domains)
    worst = std::min(worst, d.earned / std::max(1e-9, d.owed));
  return worst;
}

template <typename Read>
std::vector<double> Sorted(const std::vector<const play*>& plays, Read read) {
  std::vector<double> values;
  values.reserve(plays.size());
  for (const play* p : plays)
    values.push_back(read(p->result));
  std::sort(values.begin(), values.end());
  return values;
}

void PrintRow(const std::string& name,
              double load,
              const std::vector<const play*>& plays) {
  const std::vector<double> values =
      Sorted(plays, [](const play_result& r) { return r.value; });
  std::printf("%-20s %5.2f  %.3f (%.3f to %.3f)", name.c_str(), load,
              values[values.size() / 2], values.front(), values.back());
  for (size_t queue = 0; queue < kLoadQueues; ++queue) {
    const std::vector<double> shares =
        Sorted(plays, [&](const play_result& r) { return InTime(r, queue); });
    std::printf("  %.3f", shares[shares.size() / 2]);
  }
  const std::vector<double> domains = Sorted(plays, WorstDomain);
  std::printf("  %.3f\n", domains[domains.size() / 2]);
}

void PrintTable(const std::vector<arm>& arms,
                const std::vector<double>& loads,
                const std::vector<play>& plays) {
  std::printf("%-20s %5s  %-24s  medians in time of", "arm", "load",
              "value: median, spread");
  for (size_t queue = 0; queue < kLoadQueues; ++queue)
    std::printf(" %s", QueueName(queue));
  std::printf("; value of the worst domain\n");
  for (size_t a = 0; a < arms.size(); ++a) {
    for (double load : loads) {
      std::vector<const play*> of_row;
      for (const play& p : plays) {
        if (p.arm == a && p.load == load)
          of_row.push_back(&p);
      }
      PrintRow(arms[a].name, load, of_row);
    }
  }
}

bool WriteCsv(const std::string& path,
              const std::vector<arm>& arms,
              const std::vector<play>& plays) {
  std::ofstream out(path);
  out << "arm,load,seed,value,room_used,starts,refused_starts";
  for (size_t queue = 0; queue < kLoadQueues; ++queue)
    out << ',' << QueueName(queue) << "_in_time";
  out << '\n';
  for (const play& p : plays) {
    out << arms[p.arm].name << ',' << p.load << ',' << p.seed << ','
        << p.result.value << ',' << p.result.used << ',' << p.result.starts
        << ',' << p.result.refusals;
    for (size_t queue = 0; queue < kLoadQueues; ++queue)
      out << ',' << InTime(p.result, queue);
    out << '\n';
  }
  return static_cast<bool>(out.flush());
}

}  // namespace

int PlayExperiment(const std::string& path) {
  const json file = ReadSettings(path, kRules);
  std::vector<arm> arms;
  arms.reserve(file["arms"].size());
  for (const json& j : file["arms"])
    arms.push_back(ReadArm(path, j));
  std::vector<double> loads;
  loads.reserve(file["loads"].size());
  for (const json& load : file["loads"]) {
    if (!load.is_number() || load <= 0 || load > 100)
      Refuse(path, "loads: must be numbers above 0, up to 100");
    loads.push_back(load);
  }
  std::vector<play> plays;
  const auto seeds = file.value("seeds", uint64_t{6});
  plays.reserve(arms.size() * loads.size() * seeds);
  for (size_t a = 0; a < arms.size(); ++a) {
    for (double load : loads) {
      for (uint64_t seed = 1; seed <= seeds; ++seed)
        plays.push_back({a, load, seed, {}});
    }
  }
  std::vector<load_burst> bursts;
  for (const json& j : file.value("bursts", json::array()))
    bursts.push_back(ReadBurst(path, j));
  PlayAll(file, bursts, arms, plays);
  PrintTable(arms, loads, plays);
  if (!WriteCsv(path + ".csv", arms, plays))
    Refuse(path, "can't write " + path + ".csv");
  const bool broken =
      std::any_of(plays.begin(), plays.end(),
                  [](const play& p) { return p.result.broken != 0; });
  return broken ? kExitFailed : kExitOk;
}

}  // namespace cassiaferry
