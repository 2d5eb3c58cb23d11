// The order in which the control thread takes what other threads hand it.

#include <catch2/catch.hpp>
#include <thread>
#include <vector>

#include "net/control_loop.h"

namespace cassiaferry {
namespace {

constexpr std::chrono::milliseconds kIdle{10};

struct loop_of_numbers {
  // Runs until it has handled so many.
  void RunUntil(size_t count) {
    loop.Run(kIdle, [&](const std::vector<int>& events) {
      handled.insert(handled.end(), events.begin(), events.end());
      if (handled.size() >= count)
        loop.Stop();
    });
  }

  control_loop<int> loop;
  std::vector<int> handled;
};

// Guards against the end of a connection that overtakes its request.
TEST_CASE_METHOD(loop_of_numbers, "call_that_posts_event_after_it_in_order") {
  loop.Call([this] { loop.Post(1); });
  loop.Post(2);
  loop.Call([this] { loop.Post(3); });
  loop.Post(4);
  RunUntil(4);
  CHECK(handled == std::vector<int>{1, 2, 3, 4});
}

TEST_CASE_METHOD(loop_of_numbers, "call_within_a_call_in_a_later_tick") {
  loop.Call([this] { loop.Call([this] { loop.Post(2); }); });
  loop.Post(1);
  RunUntil(2);
  CHECK(handled == std::vector<int>{1, 2});
}

TEST_CASE_METHOD(loop_of_numbers, "tick_that_posts_handled_in_the_next") {
  loop.Post(1);
  loop.Run(kIdle, [&](const std::vector<int>& events) {
    handled.insert(handled.end(), events.begin(), events.end());
    if (handled.size() == 1)
      loop.Post(2);
    if (handled.size() == 2)
      loop.Stop();
  });
  CHECK(handled == std::vector<int>{1, 2});
}

TEST_CASE_METHOD(loop_of_numbers, "threads_that_post_each_in_its_order") {
  constexpr int kEach = 1000;
  const auto post = [this](int first) {
    for (int i = 0; i < kEach; ++i) {
      if (i % 2 == 0)
        loop.Call([this, n = first + i] { loop.Post(n); });
      else
        loop.Post(first + i);
    }
  };
  std::thread one(post, 0);
  std::thread other(post, kEach);
  RunUntil(2 * kEach);
  one.join();
  other.join();
  std::vector<int> last = {-1, kEach - 1};
  for (int n : handled) {
    int& before = last[n < kEach ? 0 : 1];
    CHECK(n == before + 1);
    before = n;
  }
}

}  // namespace
}  // namespace cassiaferry
