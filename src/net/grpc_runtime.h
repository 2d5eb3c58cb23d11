// How gRPC runs inside a process: one thread for its timers, its callbacks and
// for connecting, and a completion queue that the control thread polls.
//
// gRPC's own pools grow with the cores of the host, whatever a process may use:
// on a host of 16 cores they hold 17 threads, and 32 more where many
// connections are made at a time.
//
// Contents
//   [1] Threads
//   [2] Connections
//   [3] Completion queues

#ifndef CASSIAFERRY_SRC_NET_GRPC_RUNTIME_H_
#define CASSIAFERRY_SRC_NET_GRPC_RUNTIME_H_

#include <grpcpp/alarm.h>
#include <grpcpp/completion_queue.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

namespace cassiaferry {

// ---- [1] Threads ------------------------------------------------------------

// Gives gRPC one thread for timers and callbacks instead of its pool. Call
// before the first use of gRPC; later calls do nothing.
void UseSingleGrpcThread();

// ---- [2] Connections --------------------------------------------------------

// Opens TCP connections, whose sockets go to gRPC when they are open. gRPC's
// own connecting hands each to a pool of threads.
class connector {
 public:
  // `socket`: an open, non-blocking socket that the callee owns; -1: there is
  // no connection. Called once for each call of Start, on gRPC's one thread.
  using opened_callback = std::function<void(uint64_t id, int socket)>;

  explicit connector(opened_callback on_opened);
  ~connector();  // waits for a call of `on_opened` in progress

  // `address`: "ip:port". `id`: not in use.
  void Start(uint64_t id, const std::string& address);
  void Cancel(uint64_t id);  // the connection is given up, if it is not open

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

// ---- [3] Completion queues --------------------------------------------------

// Lets one thread wait for a completion queue, and others wake it.
class queue_waiter {
 public:
  // Called from `Wait` and `WaitOnce` with each tag of an operation.
  using tag_callback = std::function<void(void* tag, bool ok)>;

  explicit queue_waiter(tag_callback on_tag) : on_tag_(std::move(on_tag)) {}

  // Before anything else. `queue` must outlive the calls below.
  void Attach(grpc::CompletionQueue* queue) { queue_ = queue; }

  // Handles what is there, and waits for it at most this long.
  void Wait(std::chrono::milliseconds most);
  // As Wait, for one tag. Returns false if nothing came in that time or the
  // queue is shut down.
  bool WaitOnce(std::chrono::milliseconds most);
  // Ends the wait in progress, or the next one. Any thread.
  void Wake();
  // From now on `Wake` does nothing. Call before the queue is shut down.
  void StopWaking();
  // Shuts the queue down and handles what is left in it.
  void ShutDown();

 private:
  bool Poll(std::chrono::system_clock::time_point until);
  void Handle(void* tag, bool ok);

  tag_callback on_tag_;
  grpc::CompletionQueue* queue_ = nullptr;
  std::mutex mutex_;      // guards what follows
  bool woken_ = false;    // the alarm is set
  bool stopped_ = false;  // no more alarms
  grpc::Alarm alarm_;
};

}  // namespace cassiaferry

#endif  // CASSIAFERRY_SRC_NET_GRPC_RUNTIME_H_
