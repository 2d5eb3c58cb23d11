// gRPC server for streams, with one completion queue that the control thread
// polls: a frame wakes one thread, once.
//
// Contents
//   [1] Streams
//   [2] Accepting and polling
//   [3] The server

#include "link_server.h"

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <chrono>
#include <deque>
#include <thread>
#include <unordered_map>
#include <utility>

#include "codec.h"
#include "grpc_runtime.h"
#include "link.grpc.pb.h"

namespace cassiaferry {

namespace {

constexpr int kMaxFrameBytes = 64 << 20;
// For streams whose sidecars don't answer, at the end of a planned stop.
constexpr std::chrono::milliseconds kFinishGrace{500};
constexpr std::chrono::milliseconds kFinishPoll{5};

}  // namespace

// ---- [1] Streams ------------------------------------------------------------

namespace {

enum class operation : uint8_t { accept, read, write, finish, done };

}  // namespace

// One stream, from the moment it is waited for. Control thread only.
struct link_server::stream {
  // What the completion queue gives back.
  struct tag {
    stream* of = nullptr;
    operation what = operation::accept;
  };

  explicit stream(link_id name) : id(name) {}

  link_id id;
  grpc::ServerContext context;
  grpc::ServerAsyncReaderWriter<wire::EntryFrame, wire::SidecarFrame> wire_end{
      &context};
  wire::SidecarFrame incoming;
  std::deque<wire::EntryFrame> queue;  // the first is being written
  bool accepted = false;
  bool broken = false;     // nothing more is read or written
  bool finishing = false;  // the end was told to the library
  int open = 0;            // operations that the queue has not given back
  tag accept{this, operation::accept};
  tag read{this, operation::read};
  tag write{this, operation::write};
  tag finish{this, operation::finish};
  tag done{this, operation::done};
};

struct link_server::impl {
  impl() : waiter([this](void* tag, bool ok) { HandleTag(tag, ok); }) {}

  frame_callback on_frame;
  lost_callback on_lost;
  wire::Link::AsyncService service;
  std::unique_ptr<grpc::ServerCompletionQueue> queue;
  std::unique_ptr<grpc::Server> server;
  std::unordered_map<link_id, std::unique_ptr<stream>> streams;
  uint64_t next_link = 1;
  std::atomic<uint64_t> bytes_sent{0};
  bool stopping = false;
  queue_waiter waiter;

  void Accept();
  void Read(stream& s);
  void Write(stream& s);
  void Break(stream& s);
  void Take(stream& s, operation what, bool ok);
  void HandleTag(void* tag, bool ok);
};

void link_server::impl::Read(stream& s) {
  ++s.open;
  s.incoming.Clear();
  s.wire_end.Read(&s.incoming, &s.read);
}

void link_server::impl::Write(stream& s) {
  ++s.open;
  s.wire_end.Write(s.queue.front(), &s.write);
}

// The library takes the end of a stream only when no write is open.
void link_server::impl::Break(stream& s) {
  s.broken = true;
  if (s.finishing || !s.queue.empty())
    return;
  s.finishing = true;
  ++s.open;
  s.wire_end.Finish(grpc::Status::OK, &s.finish);
}

// ---- [2] Accepting and polling ----------------------------------------------

// One more stream may be dialled.
void link_server::impl::Accept() {
  const link_id id{next_link++};
  auto s = std::make_unique<stream>(id);
  s->context.AsyncNotifyWhenDone(&s->done);
  ++s->open;
  service.RequestConnect(&s->context, &s->wire_end, queue.get(), queue.get(),
                         &s->accept);
  streams.emplace(id, std::move(s));
}

void link_server::impl::Take(stream& s, operation what, bool ok) {
  switch (what) {
    case operation::accept:
      if (!ok)
        return;
      s.accepted = true;
      ++s.open;  // the notice of its end
      if (!stopping)
        Accept();
      Read(s);
      return;
    case operation::read:
      if (!ok || s.broken) {
        Break(s);
        return;
      }
      on_frame(s.id, FromWire(std::move(s.incoming)));
      Read(s);
      return;
    case operation::write:
      bytes_sent += s.queue.front().ByteSizeLong();
      s.queue.pop_front();
      if (!ok || s.broken) {
        s.queue.clear();
        Break(s);
      } else if (!s.queue.empty()) {
        Write(s);
      }
      return;
    case operation::done:
      Break(s);
      return;
    case operation::finish:
      return;
  }
}

void link_server::impl::HandleTag(void* tag, bool ok) {
  const auto* taken = static_cast<stream::tag*>(tag);
  stream& s = *taken->of;
  --s.open;
  Take(s, taken->what, ok);
  if (s.open > 0)
    return;
  if (s.accepted)
    on_lost(s.id);
  streams.erase(s.id);
}

// ---- [3] The server ---------------------------------------------------------

link_server::link_server(frame_callback on_frame, lost_callback on_lost) {
  UseSingleGrpcThread();
  impl_ = std::make_unique<impl>();
  impl_->on_frame = std::move(on_frame);
  impl_->on_lost = std::move(on_lost);
}

link_server::~link_server() {
  Finish();
}

std::string link_server::Start(const std::string& address) {
  grpc::ServerBuilder builder;
  int port = 0;
  builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port);
  builder.RegisterService(&impl_->service);
  builder.SetMaxReceiveMessageSize(kMaxFrameBytes);
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  impl_->queue = builder.AddCompletionQueue();
  impl_->waiter.Attach(impl_->queue.get());
  impl_->server = builder.BuildAndStart();
  if (!impl_->server || port == 0)
    return "";
  impl_->Accept();
  return address.substr(0, address.rfind(':') + 1) + std::to_string(port);
}

void link_server::Wait(std::chrono::milliseconds most) {
  impl_->waiter.Wait(most);
}

void link_server::Wake() {
  impl_->waiter.Wake();
}

void link_server::Send(link_id link, const entry_frame& frame) {
  const auto it = impl_->streams.find(link);
  if (it == impl_->streams.end() || it->second->broken)
    return;
  stream& s = *it->second;
  s.queue.push_back(ToWire(frame));
  if (s.queue.size() == 1)
    impl_->Write(s);
}

void link_server::Close(link_id link) {
  const auto it = impl_->streams.find(link);
  if (it == impl_->streams.end() || !it->second->accepted)
    return;
  it->second->broken = true;
  it->second->context.TryCancel();
}

// The library waits for streams to end, and needs the queue polled meanwhile.
void link_server::Finish() {
  if (!impl_->server)
    return;
  impl_->stopping = true;
  impl_->waiter.StopWaking();
  std::atomic<bool> ended{false};
  std::thread shutdown([&] {
    impl_->server->Shutdown(std::chrono::system_clock::now() + kFinishGrace);
    ended = true;
  });
  while (!ended)
    impl_->waiter.WaitOnce(kFinishPoll);
  shutdown.join();
  impl_->waiter.ShutDown();
  impl_->server.reset();
}

uint64_t link_server::BytesSent() const {
  return impl_->bytes_sent;
}

}  // namespace cassiaferry
