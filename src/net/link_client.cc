// gRPC client for streams, with the callback interface: no thread per stream.

#include "link_client.h"

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <chrono>
#include <deque>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include "codec.h"
#include "link.grpc.pb.h"

namespace cassiaferry {

namespace {

constexpr int kMaxFrameBytes = 64 << 20;
constexpr std::chrono::milliseconds kFinishGrace{2000};
constexpr std::chrono::milliseconds kFinishPoll{5};

std::shared_ptr<grpc::Channel> FreshChannel(const std::string& address) {
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  arguments.SetMaxReceiveMessageSize(kMaxFrameBytes);
  return grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(),
                                   arguments);
}

}  // namespace

struct link_client::impl {
  class stream;

  std::shared_ptr<stream> Find(entry_id link, link_epoch epoch);

  frame_callback on_frame;
  lost_callback on_lost;
  std::mutex mutex;
  std::unordered_map<entry_id, std::shared_ptr<stream>>
      streams;  // newest of each entry
  std::atomic<uint64_t> bytes_sent{0};
  std::atomic<int> open{0};
};

// One dialled stream. Kept alive by the table, and by itself until OnDone.
class link_client::impl::stream
    : public grpc::ClientBidiReactor<wire::SidecarFrame, wire::EntryFrame> {
 public:
  stream(impl* owner,
         entry_id link,
         link_epoch epoch,
         const std::string& address)
      : owner_(owner),
        link_(link),
        epoch_(epoch),
        stub_(wire::Link::NewStub(FreshChannel(address))) {}

  link_epoch Epoch() const { return epoch_; }

  void Begin(std::shared_ptr<stream> self) {
    self_ = std::move(self);
    ++owner_->open;
    stub_->async()->Connect(&context_, this);
    AddHold();  // writes come from other threads
    StartRead(&incoming_);
    StartCall();
  }

  void Send(wire::SidecarFrame frame) {
    const std::lock_guard lock(mutex_);
    if (released_)
      return;
    queue_.push_back(std::move(frame));
    if (queue_.size() == 1)
      StartWrite(&queue_.front());
  }

  void Cancel() {
    context_.TryCancel();
    Release();
  }

  void OnReadDone(bool ok) override {
    if (!ok) {
      Release();
      return;
    }
    owner_->on_frame(link_, FromWire(std::move(incoming_)));
    incoming_.Clear();
    StartRead(&incoming_);
  }

  void OnWriteDone(bool ok) override {
    if (!ok) {
      context_.TryCancel();
      Release();
      return;
    }
    const std::lock_guard lock(mutex_);
    owner_->bytes_sent += queue_.front().ByteSizeLong();
    queue_.pop_front();
    if (!queue_.empty() && !released_)
      StartWrite(&queue_.front());
  }

  void OnDone(const grpc::Status&) override {
    owner_->on_lost(link_, epoch_);
    --owner_->open;
    // Destroys this: the last line.
    const std::shared_ptr<stream> last = std::move(self_);
  }

 private:
  void Release() {
    {
      const std::lock_guard lock(mutex_);
      if (released_)
        return;
      released_ = true;
    }
    RemoveHold();
  }

  impl* owner_;
  entry_id link_;
  link_epoch epoch_;
  std::unique_ptr<wire::Link::Stub> stub_;
  grpc::ClientContext context_;
  std::shared_ptr<stream> self_;
  wire::EntryFrame incoming_;
  std::mutex mutex_;
  std::deque<wire::SidecarFrame> queue_;
  bool released_ = false;
};

std::shared_ptr<link_client::impl::stream> link_client::impl::Find(
    entry_id link,
    link_epoch epoch) {
  const std::lock_guard lock(mutex);
  const auto it = streams.find(link);
  if (it == streams.end() || it->second->Epoch() != epoch)
    return nullptr;
  return it->second;
}

link_client::link_client(frame_callback on_frame, lost_callback on_lost)
    : impl_(std::make_unique<impl>()) {
  impl_->on_frame = std::move(on_frame);
  impl_->on_lost = std::move(on_lost);
}

link_client::~link_client() {
  Finish();
}

void link_client::Dial(entry_id link,
                       const std::string& address,
                       link_epoch epoch) {
  const auto s =
      std::make_shared<impl::stream>(impl_.get(), link, epoch, address);
  {
    const std::lock_guard lock(impl_->mutex);
    impl_->streams[link] = s;
  }
  s->Begin(s);
}

void link_client::Send(entry_id link, const sidecar_frame& frame) {
  if (const auto s = impl_->Find(link, frame.epoch))
    s->Send(ToWire(frame));
}

void link_client::HangUp(entry_id link, link_epoch epoch) {
  if (const auto s = impl_->Find(link, epoch))
    s->Cancel();
}

// The last frame says goodbye, and the entry closes the stream when it has read
// it. Cancelling at once could overtake the frame and drop it.
void link_client::Finish() {
  const auto wait_until_closed = [this](std::chrono::milliseconds time) {
    const auto until = std::chrono::steady_clock::now() + time;
    while (impl_->open > 0 && std::chrono::steady_clock::now() < until)
      std::this_thread::sleep_for(kFinishPoll);
  };
  wait_until_closed(kFinishGrace);
  std::vector<std::shared_ptr<impl::stream>> streams;
  {
    const std::lock_guard lock(impl_->mutex);
    for (const auto& [link, s] : impl_->streams)
      streams.push_back(s);
    impl_->streams.clear();
  }
  for (const auto& s : streams)
    s->Cancel();
  streams.clear();
  wait_until_closed(kFinishGrace);
}

uint64_t link_client::BytesSent() const {
  return impl_->bytes_sent;
}

}  // namespace cassiaferry
