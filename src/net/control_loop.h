// One thread for control state: events queue up here and are handed to a tick
// in batches. Other threads only post.

#ifndef CASSIAFERRY_SRC_NET_CONTROL_LOOP_H_
#define CASSIAFERRY_SRC_NET_CONTROL_LOOP_H_

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <ctime>
#include <functional>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include "cassiaferry/ids.h"

namespace cassiaferry {

// Microseconds on a clock that never goes back.
//
// Failure guarded against: the machine is suspended, and its monotonic clock
// stands still meanwhile, so that a lease looks younger here than it is to
// others. The boot clock goes on.
inline micros Now() {
  timespec t{};
  clock_gettime(CLOCK_BOOTTIME, &t);
  return micros{int64_t{t.tv_sec} * 1'000'000 + t.tv_nsec / 1000};
}

// Milliseconds since the epoch. Only for expiry of kept rows, never for safety.
inline int64_t WallMillis() {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

template <typename Event>
class control_loop {
 public:
  using call = std::function<void()>;

  // Where the control thread waits instead, if it polls something itself.
  struct waiter {
    std::function<void(std::chrono::milliseconds)> wait;  // so long at most
    std::function<void()> wake;  // any thread: ends the wait, or the next one
  };

  // Before anything is posted.
  void WaitIn(waiter w) { waiter_ = std::move(w); }

  // Any thread. The event is part of the next tick.
  void Post(Event event) {
    {
      const std::lock_guard lock(mutex_);
      NoteFirst();
      events_.push_back(std::move(event));
    }
    Wake();
  }

  // Any thread. The call runs on the control thread, before the next tick.
  void Call(call function) {
    {
      const std::lock_guard lock(mutex_);
      NoteFirst();
      calls_.push_back(std::move(function));
    }
    Wake();
  }

  // Control thread. How long the oldest of what this tick handles has waited.
  micros Waited() const { return waited_; }

  // Control thread. The next tick comes after so long at most.
  void TickWithin(std::chrono::milliseconds most) { within_ = most; }

  // Any thread. `Run` returns after the tick in progress.
  void Stop() {
    {
      const std::lock_guard lock(mutex_);
      stopped_ = true;
    }
    Wake();
  }

  // Ticks when something is posted, and at least every `idle`.
  template <typename TickFunction>
  void Run(std::chrono::milliseconds idle, TickFunction tick) {
    thread_ = std::this_thread::get_id();
    for (;;) {
      std::vector<Event> events;
      std::vector<call> calls;
      const std::chrono::milliseconds most = std::min(idle, within_);
      within_ = std::chrono::milliseconds::max();
      if (waiter_.wait)
        waiter_.wait(IsIdle() ? most : std::chrono::milliseconds{0});
      {
        std::unique_lock lock(mutex_);
        if (!waiter_.wait)
          wake_.wait_for(lock, most, [&] { return HasWork(); });
        if (stopped_)
          return;
        waited_ = events_.empty() && calls_.empty() ? micros{0}
                                                    : Now() - first_posted_;
        events.swap(events_);
        calls.swap(calls_);
      }
      for (call& function : calls)
        function();
      tick(std::move(events));
    }
  }

 private:
  bool IsIdle() {
    const std::lock_guard lock(mutex_);
    return !HasWork();
  }

  bool HasWork() const {
    return stopped_ || !events_.empty() || !calls_.empty();
  }

  // What the control thread posts itself, it takes before it waits again.
  void Wake() {
    if (!waiter_.wake)
      wake_.notify_one();
    else if (std::this_thread::get_id() != thread_)
      waiter_.wake();
  }

  void NoteFirst() {
    if (events_.empty() && calls_.empty())
      first_posted_ = Now();
  }

  waiter waiter_;
  std::atomic<std::thread::id> thread_{};  // that runs the loop
  std::mutex mutex_;
  std::condition_variable wake_;
  std::vector<Event> events_;
  std::vector<call> calls_;
  micros first_posted_{0};  // of what is queued now
  micros waited_{0};        // control thread only
  std::chrono::milliseconds within_ = std::chrono::milliseconds::max();  // too
  bool stopped_ = false;
};

}  // namespace cassiaferry

#endif  // CASSIAFERRY_SRC_NET_CONTROL_LOOP_H_
