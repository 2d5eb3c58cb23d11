// One central queue over all slots.

#include "load_floor.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <set>
#include <utility>

namespace cassiaferry {

namespace {

struct waiting_job {
  size_t next_task = 0;
  size_t done = 0;
};

class central_queue {
 public:
  central_queue(const std::vector<planned_job>& jobs,
                uint32_t slots,
                floor_order order)
      : jobs_(jobs),
        order_(order),
        free_(slots),
        rows_(jobs.size()),
        response_ms_(jobs.size()) {}

  std::vector<double> Run() {
    size_t next = 0;
    while (next < jobs_.size() || !ends_.empty()) {
      const bool arrival_first =
          next < jobs_.size() &&
          (ends_.empty() || At(next) <= ends_.top().first);
      if (arrival_first) {
        Queue(next, At(next));
        ++next;
      } else {
        EndOne();
      }
    }
    return response_ms_;
  }

 private:
  double At(size_t job) const {
    return static_cast<double>(jobs_[job].at.value) / 1000;
  }

  double KeyOf(size_t job) const {
    if (order_ == floor_order::first_come)
      return At(job);
    return static_cast<double>(jobs_[job].run_ms.size() - rows_[job].next_task);
  }

  void Queue(size_t job, double now) {
    waiting_.emplace(KeyOf(job), job);
    Serve(now);
  }

  void Serve(double now) {
    while (free_ > 0 && !waiting_.empty()) {
      const size_t job = waiting_.begin()->second;
      waiting_.erase(waiting_.begin());
      --free_;
      ends_.emplace(now + jobs_[job].run_ms[rows_[job].next_task++], job);
      if (rows_[job].next_task < jobs_[job].run_ms.size())
        waiting_.emplace(KeyOf(job), job);
    }
  }

  void EndOne() {
    const auto [now, job] = ends_.top();
    ends_.pop();
    ++free_;
    if (++rows_[job].done == jobs_[job].run_ms.size())
      response_ms_[job] = now - At(job);
    Serve(now);
  }

  using end = std::pair<double, size_t>;  // when, whose

  const std::vector<planned_job>& jobs_;
  floor_order order_;
  uint32_t free_;
  std::vector<waiting_job> rows_;
  std::vector<double> response_ms_;
  std::set<std::pair<double, size_t>> waiting_;
  std::priority_queue<end, std::vector<end>, std::greater<>> ends_;
};

}  // namespace

std::vector<double> CentralQueue(const std::vector<planned_job>& jobs,
                                 uint32_t slots,
                                 floor_order order) {
  return central_queue(jobs, slots, order).Run();
}

}  // namespace cassiaferry
