// How gRPC runs inside a process.
//
// Contents
//   [1] Threads
//   [2] Connections
//   [3] Completion queues

#include "grpc_runtime.h"

#include <grpc/event_engine/event_engine.h>
#include <unistd.h>

#include <asio.hpp>
#include <memory>
#include <thread>
#include <unordered_map>
#include <utility>

#include "http_server.h"

namespace cassiaferry {

// ---- [1] Threads ------------------------------------------------------------

namespace {

using grpc_event_engine::experimental::EndpointConfig;
using grpc_event_engine::experimental::EventEngine;
using grpc_event_engine::experimental::MemoryAllocator;
using grpc_event_engine::experimental::MemoryAllocatorFactory;

using task = absl::AnyInvocable<void()>;

// Tasks, timers and connections on one thread.
struct task_loop {
  using timer_id = intptr_t;

  task_loop() : thread([this] { io.run(); }) {}

  timer_id Add(EventEngine::Duration delay, task what);
  bool Cancel(timer_id id);
  void Expire(timer_id id);

  struct pending_task {
    explicit pending_task(asio::io_context& io) : timer(io) {}
    asio::steady_timer timer;
    task what;
  };

  asio::io_context io{1};
  asio::executor_work_guard<asio::io_context::executor_type> work{
      io.get_executor()};
  std::mutex mutex;  // guards what follows
  std::unordered_map<timer_id, std::unique_ptr<pending_task>> pending;
  timer_id next = 1;
  std::thread thread;
};

// Never destroyed: gRPC may still have tasks when the process ends.
task_loop& Loop() {
  static auto* loop = new task_loop;
  return *loop;
}

task_loop::timer_id task_loop::Add(EventEngine::Duration delay, task what) {
  const std::lock_guard lock(mutex);
  const timer_id id = next++;
  auto row = std::make_unique<pending_task>(io);
  row->what = std::move(what);
  row->timer.expires_after(
      std::chrono::duration_cast<asio::steady_timer::duration>(delay));
  row->timer.async_wait([this, id](const asio::error_code& error) {
    if (!error)
      Expire(id);
  });
  pending.emplace(id, std::move(row));
  return id;
}

bool task_loop::Cancel(timer_id id) {
  std::unique_ptr<pending_task> cancelled;
  const std::lock_guard lock(mutex);
  const auto it = pending.find(id);
  if (it == pending.end())
    return false;
  cancelled = std::move(it->second);
  pending.erase(it);
  return true;
}

void task_loop::Expire(timer_id id) {
  std::unique_ptr<pending_task> expired;
  {
    const std::lock_guard lock(mutex);
    const auto it = pending.find(id);
    if (it == pending.end())
      return;
    expired = std::move(it->second);
    pending.erase(it);
  }
  expired->what();
}

// gRPC's polling, name resolution and sockets don't use the event engine in
// this version; calls for them fail.
class single_thread_engine : public EventEngine {
 public:
  bool IsWorkerThread() override {
    return Loop().thread.get_id() == std::this_thread::get_id();
  }

  void Run(Closure* closure) override {
    asio::post(Loop().io, [closure] { closure->Run(); });
  }
  void Run(absl::AnyInvocable<void()> closure) override {
    // The executor wants handlers that can be copied.
    const auto shared = std::make_shared<task>(std::move(closure));
    asio::post(Loop().io, [shared] { (*shared)(); });
  }
  TaskHandle RunAfter(Duration when, Closure* closure) override {
    return {{Loop().Add(when, [closure] { closure->Run(); }), 0}};
  }
  TaskHandle RunAfter(Duration when,
                      absl::AnyInvocable<void()> closure) override {
    return {{Loop().Add(when, std::move(closure)), 0}};
  }
  bool Cancel(TaskHandle handle) override {
    return Loop().Cancel(handle.keys[0]);
  }

  absl::StatusOr<std::unique_ptr<Listener>> CreateListener(
      Listener::AcceptCallback,
      absl::AnyInvocable<void(absl::Status)>,
      const EndpointConfig&,
      std::unique_ptr<MemoryAllocatorFactory>) override {
    return absl::UnimplementedError("no sockets here");
  }
  ConnectionHandle Connect(OnConnectCallback,
                           const ResolvedAddress&,
                           const EndpointConfig&,
                           MemoryAllocator,
                           Duration) override {
    return {{0, 0}};
  }
  bool CancelConnect(ConnectionHandle) override { return false; }
  std::unique_ptr<DNSResolver> GetDNSResolver(
      const DNSResolver::ResolverOptions&) override {
    return nullptr;
  }
};

}  // namespace

void UseSingleGrpcThread() {
  static std::once_flag once;
  std::call_once(once, [] {
    grpc_event_engine::experimental::SetEventEngineFactory(
        [] { return std::make_unique<single_thread_engine>(); });
  });
}

// ---- [2] Connections --------------------------------------------------------

using asio::ip::tcp;

// Shared with handlers on gRPC's thread, which may run after the owner's end.
struct connector::impl {
  explicit impl(opened_callback callback) : on_opened(std::move(callback)) {}

  void Begin(const std::shared_ptr<impl>& self,
             uint64_t id,
             const std::string& address);
  void Finish(uint64_t id, const asio::error_code& error);
  void Report(uint64_t id, int socket);

  std::mutex mutex;  // guards the callback
  opened_callback on_opened;
  // On gRPC's thread only.
  std::unordered_map<uint64_t, tcp::socket> connecting;
};

void connector::impl::Report(uint64_t id, int socket) {
  const std::lock_guard lock(mutex);
  if (on_opened)
    on_opened(id, socket);
  else if (socket != -1)
    close(socket);
}

void connector::impl::Begin(const std::shared_ptr<impl>& self,
                            uint64_t id,
                            const std::string& address) {
  std::string ip;
  uint16_t port = 0;
  asio::error_code error;
  asio::ip::address parsed;
  if (SplitAddress(address, ip, port))
    parsed = asio::ip::make_address(ip, error);
  else
    error = asio::error::invalid_argument;
  if (error) {
    Report(id, -1);
    return;
  }
  const auto row = connecting.emplace(id, tcp::socket(Loop().io)).first;
  row->second.async_connect(
      tcp::endpoint(parsed, port),
      [self, id](const asio::error_code& e) { self->Finish(id, e); });
}

void connector::impl::Finish(uint64_t id, const asio::error_code& error) {
  const auto row = connecting.find(id);
  tcp::socket socket = std::move(row->second);
  connecting.erase(row);
  asio::error_code failed = error;
  if (!failed)
    socket.set_option(tcp::no_delay(true), failed);
  if (!failed)
    socket.native_non_blocking(true, failed);
  Report(id, failed ? -1 : socket.release(failed));
}

connector::connector(opened_callback on_opened)
    : impl_(std::make_shared<impl>(std::move(on_opened))) {}

connector::~connector() {
  const std::lock_guard lock(impl_->mutex);
  impl_->on_opened = nullptr;
}

void connector::Start(uint64_t id, const std::string& address) {
  asio::post(Loop().io,
             [self = impl_, id, address] { self->Begin(self, id, address); });
}

void connector::Cancel(uint64_t id) {
  asio::post(Loop().io, [self = impl_, id] {
    const auto row = self->connecting.find(id);
    asio::error_code ignored;  // its connecting ends with an error either way
    if (row != self->connecting.end())
      row->second.close(ignored);
  });
}

// ---- [3] Completion queues --------------------------------------------------

namespace {

// The library rounds deadlines up to its milliseconds: by "now" it would wait
// for one, and set a timer where a wake-up is wanted.
constexpr std::chrono::system_clock::time_point kAtOnce{};

}  // namespace

void queue_waiter::Handle(void* tag, bool ok) {
  if (tag == this) {
    const std::lock_guard lock(mutex_);
    woken_ = false;
    return;
  }
  on_tag_(tag, ok);
}

bool queue_waiter::Poll(std::chrono::system_clock::time_point until) {
  void* tag = nullptr;
  bool ok = false;
  if (queue_->AsyncNext(&tag, &ok, until) !=
      grpc::CompletionQueue::NextStatus::GOT_EVENT)
    return false;
  Handle(tag, ok);
  return true;
}

bool queue_waiter::WaitOnce(std::chrono::milliseconds most) {
  return Poll(std::chrono::system_clock::now() + most);
}

void queue_waiter::Wait(std::chrono::milliseconds most) {
  // What else is there is taken in one go, so that one tick answers all; not
  // without end, as callers wait for that tick.
  constexpr int kMostAtOnce = 200;
  if (!WaitOnce(most))
    return;
  for (int i = 1; i < kMostAtOnce && Poll(kAtOnce); ++i) {
  }
}

void queue_waiter::Wake() {
  const std::lock_guard lock(mutex_);
  if (woken_ || stopped_)
    return;
  woken_ = true;
  alarm_.Set(queue_, kAtOnce, this);
}

void queue_waiter::StopWaking() {
  const std::lock_guard lock(mutex_);
  stopped_ = true;
}

void queue_waiter::ShutDown() {
  StopWaking();
  queue_->Shutdown();
  void* tag = nullptr;
  bool ok = false;
  while (queue_->Next(&tag, &ok))
    Handle(tag, ok);
}

}  // namespace cassiaferry
