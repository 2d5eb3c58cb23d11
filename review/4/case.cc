// TWICE. A client's time budget ends while its long task runs, and the worker
// leaves the stop unanswered. The lease that should end the run is extended by
// each start of other jobs there. The client sends the job again as agreed, and
// the task runs on two workers at once.
#include "../lib-3/kit.h"

namespace {

using namespace kit;  // NOLINT(google-build-using-namespace)

constexpr double kShare = 0.055;   // applied_late, x: of the orders to workers
constexpr double kWindow = 5.5;    // applied_late, for_s
constexpr double kBudget = 1.5;    // the client's
constexpr double kResend = 1.3;    // resendMs
constexpr double kPerSecond = 45;  // quick jobs

// Which orders are left unanswered, and how many there are.
struct late_orders {
  std::mutex mutex;
  std::mt19937 random{std::random_device{}()};
  double from = 1e18;
  int orders = 0;
  int late = 0;

  // From the window's begin on stops are left unanswered, and carried out 2 to
  // 12 s later, as long as they are no more than the share of all orders.
  std::optional<double> Decide(bool is_stop) {
    const std::lock_guard lock(mutex);
    if (Now() < from || Now() > from + kWindow)
      return std::nullopt;
    ++orders;
    if (!is_stop || late + 1 > kShare * orders)
      return std::nullopt;
    ++late;
    return std::uniform_real_distribution<double>(2, 12)(random);
  }
};

int Play() {
  deployment d;
  for (int i = 0; i < 3; ++i)
    d.AddEntry();
  for (int i = 0; i < 4; ++i) {
    worker_options o;
    o.cpu = 32'000;
    d.AddSide(o);
  }
  d.Start();
  late_orders orders;
  for (side_machine& side : d.sides)
    side.its_worker->late_order = [&](bool is_stop) {
      return orders.Decide(is_stop);
    };

  std::atomic<bool> traffic{true};
  std::atomic<int> sent{0};
  std::atomic<int> done{0};
  step quick;
  quick.count = 8;
  quick.cpu = 3100;
  quick.estimate_ms = 60;
  const json quick_body = JobBody("sleep:60", {quick}, true);
  std::thread quick_jobs([&] {
    std::mt19937 random{std::random_device{}()};
    std::deque<std::thread> clients;
    while (traffic) {
      const std::string id = NewId();
      const size_t at = random() % d.entries.size();
      clients.emplace_back([&, id, at] {
        ++sent;
        done += Submit(d.entries[at], id, quick_body, kBudget).status == 200;
      });
      Sleep(1 / kPerSecond);
    }
    for (std::thread& client : clients)
      client.join();
  });
  Sleep(3);

  const std::string id = "00000000000000ab";
  step lasting;
  lasting.cpu = 3100;
  lasting.estimate_ms = 3600;
  const json body = JobBody("sleep:3600", {lasting}, true);
  if (Trouble()) {
    Record("trouble: stops are left unanswered and carried out late");
    const std::lock_guard lock(orders.mutex);
    orders.from = Now();
  }
  for (size_t i = 0; i < 2; ++i) {
    const int status = Submit(d.entries[i], id, body, kBudget).status;
    if (status != 0 && status != 502 && status != 504)
      break;
    Sleep(kResend);
  }
  Sleep(2.5);
  traffic = false;
  quick_jobs.join();
  Sleep(1);

  Record("orders in the window: %d, left unanswered: %d", orders.orders,
         orders.late);
  Record("quick jobs sent: %d, completed: %d", sent.load(), done.load());
  if (2 * done < sent)
    throw cannot_run("most quick jobs are not completed");
  return CheckTwice(d);
}

}  // namespace

int main(int argc, char** argv) {
  return kit::Main(argc, argv, Play);
}
