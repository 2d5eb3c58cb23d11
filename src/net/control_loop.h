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
#include <variant>
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

  // Any thread. The event is part of the next tick, whose events stand in the
  // order in which they, or the calls that posted them, were handed over.
  void Post(Event event) {
    if (IsTaking())
      batch_->push_back(std::move(event));
    else
      Add(std::move(event));
  }

  // Any thread. The call runs on the control thread, before the next tick. It
  // sees no effect of events of that tick, also of those handed over before it;
  // what it posts stands among them where the call stood.
  void Call(call function) { Add(std::move(function)); }

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
      std::vector<item> items;
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
        waited_ = items_.empty() ? micros{0} : Now() - first_posted_;
        items.swap(items_);
      }
      tick(Take(std::move(items)));
    }
  }

 private:
  using item = std::variant<Event, call>;

  // Failure guarded against: calls and events in queues of their own. The end
  // of a connection, an event, overtakes the request that a call is to submit:
  // it names nothing that is known, and the request is served for nobody.
  std::vector<Event> Take(std::vector<item> items) {
    std::vector<Event> events;
    batch_ = &events;
    for (item& one : items) {
      if (auto* function = std::get_if<call>(&one))
        (*function)();
      else
        events.push_back(std::move(std::get<Event>(one)));
    }
    batch_ = nullptr;
    return events;
  }

  // Whether a call on the control thread is asking.
  bool IsTaking() const {
    return std::this_thread::get_id() == thread_ && batch_ != nullptr;
  }

  void Add(item one) {
    {
      const std::lock_guard lock(mutex_);
      if (items_.empty())
        first_posted_ = Now();
      items_.push_back(std::move(one));
    }
    Wake();
  }

  bool IsIdle() {
    const std::lock_guard lock(mutex_);
    return !HasWork();
  }

  bool HasWork() const { return stopped_ || !items_.empty(); }

  // What the control thread posts itself, it takes before it waits again.
  void Wake() {
    if (!waiter_.wake)
      wake_.notify_one();
    else if (std::this_thread::get_id() != thread_)
      waiter_.wake();
  }

  waiter waiter_;
  std::atomic<std::thread::id> thread_{};  // that runs the loop
  std::mutex mutex_;
  std::condition_variable wake_;
  std::vector<item> items_;  // in the order in which they were handed over
  micros first_posted_{0};   // of what is queued now
  std::vector<Event>* batch_ = nullptr;  // control thread only, as what follows
  micros waited_{0};
  std::chrono::milliseconds within_ = std::chrono::milliseconds::max();
  bool stopped_ = false;  // guarded by `mutex_`
};

}  // namespace cassiaferry

#endif  // CASSIAFERRY_SRC_NET_CONTROL_LOOP_H_
