// Order of waiting leased jobs.
//
// Contents
//   [1] Ranks
//   [2] Fair shares of queues
//   [3] The order

#include "leased_order.h"

#include <algorithm>
#include <deque>
#include <map>
#include <string>

#include "leased_admission.h"

namespace cassiaferry {

namespace {

// ---- [1] Ranks --------------------------------------------------------------

// Jobs that have started are finished before others start, even if they are
// late: half a job is of no use to its caller, and the capacity spent on it is
// lost. At 1.3 times the load that fits, 0 to 18 of 2,400 jobs are given up
// half done and sent again; if late ones had to wait, it would be 40 to 190
// (cassiaferry-emulate). Among jobs that have not started, those that can still
// be in time come first, then late ones, then those whose result would be of no
// use any more.
enum class job_rank : uint8_t { started, in_time, late, useless, count_ };

job_rank RankOf(const leased_job& job, micros now) {
  const bool useless = now + job.expected > job.useless_after;
  if (job.started)
    return useless ? job_rank::late : job_rank::started;
  if (useless)
    return job_rank::useless;
  return now + job.expected > job.late_after ? job_rank::late
                                             : job_rank::in_time;
}

struct ranked_job {
  const leased_job* job = nullptr;
  job_rank rank = job_rank::in_time;
  int64_t key = 0;  // sort key within the rank, or within its queue's part
};

int64_t KeyOf(leased_order order, const leased_job& job) {
  constexpr int64_t kPriorityStep = int64_t{1} << 48;  // microseconds; 9 years
  const int64_t start_by = (job.late_after - job.expected).value;
  switch (order) {
    case leased_order::first_come:
      return job.arrival.value;
    case leased_order::priority:
      return job.queue.priority * kPriorityStep + start_by;
    case leased_order::earliest_start:
    case leased_order::fair_share:
      return start_by;
  }
  return start_by;
}

// ---- [2] Fair shares of queues ----------------------------------------------

// Max-min fairness: the next job comes from the queue that uses the fewest
// processors. When capacity is short, queues that request little get all they
// request, and those that request most go short.
std::vector<ranked_job> InterleaveQueues(const std::vector<ranked_job>& jobs,
                                         cpu_by_queue& used) {
  std::map<std::string, std::deque<ranked_job>> queues;
  for (const ranked_job& job : jobs)
    queues[job.job->queue.name].push_back(job);
  std::vector<ranked_job> out;
  while (!queues.empty()) {
    const auto next = std::min_element(queues.begin(), queues.end(),
                                       [&](const auto& a, const auto& b) {
                                         return used[a.first] < used[b.first];
                                       });
    out.push_back(next->second.front());
    used[next->first] += WaitingCpu(*next->second.front().job);
    next->second.pop_front();
    if (next->second.empty())
      queues.erase(next);
  }
  return out;
}

}  // namespace

// ---- [3] The order ----------------------------------------------------------

std::vector<leased_seq> ServeOrder(const leased_state& s, micros now) {
  std::vector<std::vector<ranked_job>> ranks(
      static_cast<size_t>(job_rank::count_));
  for (leased_seq seq : s.waiting) {
    const leased_job& job = s.jobs.at(seq);
    const job_rank rank = RankOf(job, now);
    ranks[static_cast<size_t>(rank)].push_back(
        {&job, rank, KeyOf(s.options.order, job)});
  }
  const bool fair = s.options.order == leased_order::fair_share;
  cpu_by_queue used = CpuInUseForShares(s.demand, s.cpu_in_use, now);
  std::vector<leased_seq> order;
  order.reserve(s.waiting.size());
  for (std::vector<ranked_job>& rank : ranks) {
    std::stable_sort(
        rank.begin(), rank.end(),
        [](const ranked_job& a, const ranked_job& b) { return a.key < b.key; });
    if (fair)
      rank = InterleaveQueues(rank, used);
    for (const ranked_job& job : rank)
      order.push_back(job.job->seq);
  }
  return order;
}

}  // namespace cassiaferry
