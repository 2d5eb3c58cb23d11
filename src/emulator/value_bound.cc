// The bound on the value of any schedule.
//
// Contents
//   [1] Network
//   [2] Paths
//   [3] Jobs in order
//   [4] Value

#include "value_bound.h"

#include <algorithm>
#include <deque>
#include <numeric>
#include <optional>

namespace cassiaferry::emulator {

namespace {

// ---- [1] Network ------------------------------------------------------------

constexpr double kTiny = 1;  // thousandths of a core times microseconds

// What a job may do and does, in the slots of its window.
struct placed_job {
  size_t first = 0;          // slot
  std::vector<double> most;  // in each slot of the window
  std::vector<double> done;
};

struct slot_state {
  double free = 0;
  bool closed = false;       // nothing more can be brought into it
  std::vector<size_t> jobs;  // that have had work there
};

struct network {
  std::vector<placed_job> jobs;
  std::vector<slot_state> slots;
};

placed_job WindowOf(const bound_job& job,
                    const bound_room& room,
                    double times) {
  placed_job p;
  const double slot = static_cast<double>(room.slot.value);
  const double from =
      static_cast<double>((job.arrival - room.from).value) / slot;
  const double until =
      from + static_cast<double>(job.objective.value) * times / slot;
  const double last = static_cast<double>(room.work.size());
  const double begin = std::clamp(from, 0.0, last);
  const double end = std::clamp(until, begin, last);
  p.first = static_cast<size_t>(begin);
  for (size_t i = p.first; static_cast<double>(i) < end; ++i) {
    const double covered = std::min(end, static_cast<double>(i + 1)) -
                           std::max(begin, static_cast<double>(i));
    p.most.push_back(covered * slot * job.most_cpu);
  }
  p.done.assign(p.most.size(), 0);
  return p;
}

// ---- [2] Paths --------------------------------------------------------------

// How a slot was reached: a job gives up work in `from` and does it here.
struct step_to {
  bool reached = false;
  std::optional<size_t> from;  // none: the new job itself
  size_t job = 0;
};

class path_search {
 public:
  path_search(network& n, size_t job)
      : n_(n), job_(job), steps_(n.slots.size()), seen_(n.jobs.size(), false) {}

  // A slot with room that work of the job can be brought to, by moving work of
  // others. None: all that was reached is closed from now on.
  std::optional<size_t> Find() {
    Reach(job_, std::nullopt);
    while (!queue_.empty()) {
      const size_t slot = queue_.front();
      queue_.pop_front();
      if (n_.slots[slot].free > kTiny)
        return slot;
      for (size_t other : n_.slots[slot].jobs) {
        if (DoneIn(other, slot) > kTiny)
          Reach(other, slot);
      }
    }
    for (size_t i = 0; i < steps_.size(); ++i)
      n_.slots[i].closed = n_.slots[i].closed || steps_[i].reached;
    return std::nullopt;
  }

  // Moves as much as the path bears, `most` at the most.
  double Push(size_t end, double most) {
    double amount = std::min(most, n_.slots[end].free);
    for (std::optional<size_t> s = end; s; s = steps_[*s].from) {
      const step_to& step = steps_[*s];
      const placed_job& j = n_.jobs[step.job];
      const size_t here = *s - j.first;
      amount = std::min(amount, j.most[here] - j.done[here]);
      if (step.from)
        amount = std::min(amount, j.done[*step.from - j.first]);
    }
    n_.slots[end].free -= amount;
    for (std::optional<size_t> s = end; s; s = steps_[*s].from) {
      const step_to& step = steps_[*s];
      placed_job& j = n_.jobs[step.job];
      if (j.done[*s - j.first] == 0)
        n_.slots[*s].jobs.push_back(step.job);
      j.done[*s - j.first] += amount;
      if (step.from)
        j.done[*step.from - j.first] -= amount;
    }
    return amount;
  }

 private:
  double DoneIn(size_t job, size_t slot) const {
    const placed_job& j = n_.jobs[job];
    return j.done[slot - j.first];
  }

  // All slots that the job could do more in.
  void Reach(size_t job, std::optional<size_t> from) {
    if (seen_[job])
      return;
    seen_[job] = true;
    const placed_job& j = n_.jobs[job];
    for (size_t i = 0; i < j.most.size(); ++i) {
      const size_t slot = j.first + i;
      if (steps_[slot].reached || n_.slots[slot].closed ||
          j.most[i] - j.done[i] <= kTiny)
        continue;
      steps_[slot] = {true, from, job};
      queue_.push_back(slot);
    }
  }

  network& n_;
  size_t job_;
  std::vector<step_to> steps_;
  std::vector<bool> seen_;
  std::deque<size_t> queue_;
};

// ---- [3] Jobs in order ------------------------------------------------------

std::vector<size_t> ByDensity(const std::vector<bound_job>& jobs) {
  std::vector<size_t> order(jobs.size());
  std::iota(order.begin(), order.end(), size_t{0});
  std::sort(order.begin(), order.end(), [&](size_t a, size_t b) {
    return jobs[a].value * jobs[b].work > jobs[b].value * jobs[a].work;
  });
  return order;
}

double Place(network& n, size_t job, double work) {
  double left = work;
  while (left > kTiny) {
    path_search search(n, job);
    const std::optional<size_t> end = search.Find();
    if (!end)
      break;
    left -= search.Push(*end, left);
  }
  return work - left;
}

}  // namespace

std::vector<double> MostWork(const std::vector<bound_job>& jobs,
                             const bound_room& room,
                             double times) {
  network n;
  for (double work : room.work)
    n.slots.push_back({work, false, {}});
  for (const bound_job& job : jobs)
    n.jobs.push_back(WindowOf(job, room, times));
  std::vector<double> shares(jobs.size(), 0);
  for (size_t job : ByDensity(jobs))
    shares[job] = Place(n, job, jobs[job].work) / jobs[job].work;
  return shares;
}

// ---- [4] Value --------------------------------------------------------------

value_bound BoundValue(const std::vector<bound_job>& jobs,
                       const bound_room& room,
                       double useful_times,
                       double late_share) {
  value_bound bound;
  bound.share_in_time = MostWork(jobs, room, 1);
  const std::vector<double> useful = MostWork(jobs, room, useful_times);
  for (size_t i = 0; i < jobs.size(); ++i) {
    bound.owed += jobs[i].value;
    bound.most += jobs[i].value * ((1 - late_share) * bound.share_in_time[i] +
                                   late_share * useful[i]);
  }
  return bound;
}

}  // namespace cassiaferry::emulator
