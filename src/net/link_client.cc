// gRPC client for streams, with one completion queue that the control thread
// polls.
//
// Contents
//   [1] Streams
//   [2] Operations
//   [3] The client

#include "link_client.h"

#include <grpcpp/create_channel_posix.h>
#include <grpcpp/grpcpp.h>

#include <unistd.h>

#include <atomic>
#include <deque>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

#include "codec.h"
#include "grpc_runtime.h"
#include "link.grpc.pb.h"

namespace cassiaferry {

namespace {

constexpr int kMaxFrameBytes = 64 << 20;
constexpr std::chrono::milliseconds kFinishGrace{2000};
constexpr std::chrono::milliseconds kFinishPoll{5};

// A channel for one connection, which is open already. The library takes the
// socket.
std::shared_ptr<grpc::Channel> ChannelOf(int socket) {
  grpc::ChannelArguments arguments;
  arguments.SetMaxReceiveMessageSize(kMaxFrameBytes);
  return grpc::CreateCustomInsecureChannelFromFd("entry", socket, arguments);
}

enum class operation : uint8_t { start, read, write, finish };

}  // namespace

// ---- [1] Streams ------------------------------------------------------------

// One dialled stream.
struct link_client::stream {
  // What the completion queue gives back.
  struct tag {
    stream* of = nullptr;
    operation what = operation::start;
  };

  stream(uint64_t stream_id, entry_id link_id, link_epoch stream_epoch)
      : id(stream_id), link(link_id), epoch(stream_epoch) {}

  uint64_t id;
  entry_id link;
  link_epoch epoch;
  std::unique_ptr<wire::Link::Stub> stub;
  grpc::ClientContext context;
  std::unique_ptr<
      grpc::ClientAsyncReaderWriter<wire::SidecarFrame, wire::EntryFrame>>
      wire_end;
  grpc::Status status;
  wire::EntryFrame incoming;
  std::deque<wire::SidecarFrame> queue;  // the first is being written
  bool connecting = true;
  bool started = false;
  bool broken = false;     // nothing more is read or written
  bool finishing = false;  // its status is asked for
  int open = 0;            // operations that the queue has not given back
  tag start{this, operation::start};
  tag read{this, operation::read};
  tag write{this, operation::write};
  tag finish{this, operation::finish};
};

struct link_client::impl {
  impl()
      : waiter([this](void* tag, bool ok) { HandleTag(tag, ok); }),
        connections([this](uint64_t id, int socket) { Opened(id, socket); }) {
    waiter.Attach(&queue);
  }

  stream* Find(entry_id link, link_epoch epoch);
  void Opened(uint64_t id, int socket);  // on another thread
  void TakeOpened();
  void Begin(stream& s, int socket);
  void End(stream& s);
  void Read(stream& s);
  void Write(stream& s);
  void Break(stream& s);
  void Cancel(stream& s);
  void Handle(stream& s, operation what, bool ok);
  void HandleTag(void* tag, bool ok);
  void WaitUntilClosed(std::chrono::milliseconds most);

  frame_callback on_frame;
  lost_callback on_lost;
  grpc::CompletionQueue queue;
  queue_waiter waiter;
  // All that connect or have operations open, and the newest of each entry.
  std::unordered_map<uint64_t, std::unique_ptr<stream>> streams;
  std::unordered_map<entry_id, stream*> newest;
  uint64_t next_stream = 1;
  std::mutex opened_mutex;  // guards what connecting came to, by stream
  std::vector<std::pair<uint64_t, int>> opened;
  std::atomic<uint64_t> bytes_sent{0};
  bool finished = false;
  connector connections;  // last: its callback uses what stands above
};

// ---- [2] Operations ---------------------------------------------------------

// Null: this stream is gone, or a newer one was dialled.
link_client::stream* link_client::impl::Find(entry_id link, link_epoch epoch) {
  const auto it = newest.find(link);
  return it == newest.end() || it->second->epoch != epoch ? nullptr
                                                          : it->second;
}

void link_client::impl::Opened(uint64_t id, int socket) {
  {
    const std::lock_guard lock(opened_mutex);
    opened.emplace_back(id, socket);
  }
  waiter.Wake();
}

void link_client::impl::TakeOpened() {
  std::vector<std::pair<uint64_t, int>> taken;
  {
    const std::lock_guard lock(opened_mutex);
    taken.swap(opened);
  }
  for (const auto& [id, socket] : taken)
    Begin(*streams.at(id), socket);
}

void link_client::impl::Begin(stream& s, int socket) {
  s.connecting = false;
  if (socket == -1 || s.broken) {
    if (socket != -1)
      close(socket);
    End(s);
    return;
  }
  s.stub = wire::Link::NewStub(ChannelOf(socket));
  s.wire_end = s.stub->PrepareAsyncConnect(&s.context, &queue);
  ++s.open;
  s.wire_end->StartCall(&s.start);
}

void link_client::impl::End(stream& s) {
  on_lost(s.link, s.epoch);
  const auto it = newest.find(s.link);
  if (it != newest.end() && it->second == &s)
    newest.erase(it);
  streams.erase(s.id);
}

void link_client::impl::Read(stream& s) {
  ++s.open;
  s.incoming.Clear();
  s.wire_end->Read(&s.incoming, &s.read);
}

void link_client::impl::Write(stream& s) {
  ++s.open;
  s.wire_end->Write(s.queue.front(), &s.write);
}

// The library takes the end of a stream only when no write is open.
void link_client::impl::Break(stream& s) {
  s.broken = true;
  if (s.finishing || !s.started || !s.queue.empty())
    return;
  s.finishing = true;
  ++s.open;
  s.wire_end->Finish(&s.status, &s.finish);
}

// The operations in progress fail, and the stream ends with the last of them.
void link_client::impl::Cancel(stream& s) {
  s.broken = true;
  if (s.connecting)
    connections.Cancel(s.id);
  else
    s.context.TryCancel();
}

void link_client::impl::Handle(stream& s, operation what, bool ok) {
  switch (what) {
    case operation::start:
      s.started = true;
      if (!ok || s.broken) {
        s.queue.clear();
        Break(s);
        return;
      }
      Read(s);
      if (!s.queue.empty())
        Write(s);
      return;
    case operation::read:
      if (!ok || s.broken) {
        Break(s);
        return;
      }
      on_frame(s.link, FromWire(std::move(s.incoming)));
      Read(s);
      return;
    case operation::write:
      bytes_sent += s.queue.front().ByteSizeLong();
      s.queue.pop_front();
      if (!ok || s.broken) {
        s.queue.clear();
        s.context.TryCancel();
        Break(s);
      } else if (!s.queue.empty()) {
        Write(s);
      }
      return;
    case operation::finish:
      return;
  }
}

void link_client::impl::HandleTag(void* tag, bool ok) {
  const auto* taken = static_cast<stream::tag*>(tag);
  stream& s = *taken->of;
  --s.open;
  Handle(s, taken->what, ok);
  if (s.open == 0)
    End(s);
}

void link_client::impl::WaitUntilClosed(std::chrono::milliseconds most) {
  const auto until = std::chrono::steady_clock::now() + most;
  while (!streams.empty() && std::chrono::steady_clock::now() < until) {
    waiter.WaitOnce(kFinishPoll);
    TakeOpened();
  }
}

// ---- [3] The client ---------------------------------------------------------

link_client::link_client(frame_callback on_frame, lost_callback on_lost) {
  UseSingleGrpcThread();
  impl_ = std::make_unique<impl>();
  impl_->on_frame = std::move(on_frame);
  impl_->on_lost = std::move(on_lost);
}

link_client::~link_client() {
  Finish();
}

void link_client::Wait(std::chrono::milliseconds most) {
  impl_->waiter.Wait(most);
  impl_->TakeOpened();
}

void link_client::Wake() {
  impl_->waiter.Wake();
}

void link_client::Dial(entry_id link,
                       const std::string& address,
                       link_epoch epoch) {
  const uint64_t id = impl_->next_stream++;
  auto s = std::make_unique<stream>(id, link, epoch);
  impl_->newest[link] = s.get();
  impl_->streams.emplace(id, std::move(s));
  impl_->connections.Start(id, address);
}

void link_client::Send(entry_id link, const sidecar_frame& frame) {
  stream* s = impl_->Find(link, frame.epoch);
  if (s == nullptr || s->broken)
    return;
  s->queue.push_back(ToWire(frame));
  if (s->started && s->queue.size() == 1)
    impl_->Write(*s);
}

void link_client::HangUp(entry_id link, link_epoch epoch) {
  if (stream* s = impl_->Find(link, epoch))
    impl_->Cancel(*s);
}

// The last frame says goodbye, and the entry closes the stream when it has read
// it. Cancelling at once could overtake the frame and drop it.
void link_client::Finish() {
  if (impl_->finished)
    return;
  impl_->finished = true;
  impl_->waiter.StopWaking();
  impl_->WaitUntilClosed(kFinishGrace);
  for (const auto& [key, s] : impl_->streams)
    impl_->Cancel(*s);
  impl_->WaitUntilClosed(kFinishGrace);
  impl_->waiter.ShutDown();
}

uint64_t link_client::BytesSent() const {
  return impl_->bytes_sent;
}

}  // namespace cassiaferry
