// gRPC client for streams, with one completion queue that the control thread
// polls.
//
// Contents
//   [1] Streams
//   [2] Operations
//   [3] The client

#include "link_client.h"

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <deque>
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

// As gRPC's target: with this scheme an address takes no look-up, and so no
// thread of the resolver.
std::string TargetOf(const std::string& address) {
  const bool is_ip =
      address.find_first_not_of("0123456789.:") == std::string::npos;
  return is_ip ? "ipv4:" + address : address;
}

std::shared_ptr<grpc::Channel> FreshChannel(const std::string& address) {
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  arguments.SetMaxReceiveMessageSize(kMaxFrameBytes);
  return grpc::CreateCustomChannel(
      TargetOf(address), grpc::InsecureChannelCredentials(), arguments);
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

  stream(entry_id link_id, link_epoch stream_epoch, const std::string& address)
      : link(link_id),
        epoch(stream_epoch),
        stub(wire::Link::NewStub(FreshChannel(address))) {}

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
  impl() : waiter([this](void* tag, bool ok) { HandleTag(tag, ok); }) {
    waiter.Attach(&queue);
  }

  stream* Find(entry_id link, link_epoch epoch);
  void Begin(stream& s);
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
  // All that have operations open, and the newest of each entry.
  std::unordered_map<stream*, std::unique_ptr<stream>> streams;
  std::unordered_map<entry_id, stream*> newest;
  std::atomic<uint64_t> bytes_sent{0};
  bool finished = false;
};

// ---- [2] Operations ---------------------------------------------------------

// Null: this stream is gone, or a newer one was dialled.
link_client::stream* link_client::impl::Find(entry_id link, link_epoch epoch) {
  const auto it = newest.find(link);
  return it == newest.end() || it->second->epoch != epoch ? nullptr
                                                          : it->second;
}

void link_client::impl::Begin(stream& s) {
  s.wire_end = s.stub->PrepareAsyncConnect(&s.context, &queue);
  ++s.open;
  s.wire_end->StartCall(&s.start);
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
  if (s.open > 0)
    return;
  on_lost(s.link, s.epoch);
  const auto it = newest.find(s.link);
  if (it != newest.end() && it->second == &s)
    newest.erase(it);
  streams.erase(&s);
}

void link_client::impl::WaitUntilClosed(std::chrono::milliseconds most) {
  const auto until = std::chrono::steady_clock::now() + most;
  while (!streams.empty() && std::chrono::steady_clock::now() < until)
    waiter.WaitOnce(kFinishPoll);
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
}

void link_client::Wake() {
  impl_->waiter.Wake();
}

void link_client::Dial(entry_id link,
                       const std::string& address,
                       link_epoch epoch) {
  auto s = std::make_unique<stream>(link, epoch, address);
  stream& dialled = *s;
  impl_->newest[link] = &dialled;
  impl_->streams.emplace(&dialled, std::move(s));
  impl_->Begin(dialled);
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
