// gRPC server for streams, with the callback interface: no thread per stream.

#include "link_server.h"

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <chrono>
#include <deque>
#include <mutex>
#include <unordered_map>
#include <utility>

#include "codec.h"
#include "link.grpc.pb.h"

namespace cassiaferry {

namespace {

constexpr int kMaxFrameBytes = 64 << 20;
constexpr std::chrono::seconds kFinishGrace{2};

}  // namespace

struct link_server::impl : public wire::Link::CallbackService {
  class stream;

  impl(frame_callback frame, lost_callback lost)
      : on_frame(std::move(frame)), on_lost(std::move(lost)) {}

  grpc::ServerBidiReactor<wire::SidecarFrame, wire::EntryFrame>* Connect(
      grpc::CallbackServerContext* context) override;

  std::shared_ptr<stream> Find(link_id link) {
    const std::lock_guard lock(mutex);
    const auto it = streams.find(link);
    return it == streams.end() ? nullptr : it->second;
  }

  frame_callback on_frame;
  lost_callback on_lost;
  std::mutex mutex;
  std::unordered_map<link_id, std::shared_ptr<stream>> streams;
  uint64_t next_link = 1;
  std::atomic<uint64_t> bytes_sent{0};
  std::unique_ptr<grpc::Server> server;
};

// One accepted stream. Kept alive by the table, and by itself until OnDone.
class link_server::impl::stream
    : public grpc::ServerBidiReactor<wire::SidecarFrame, wire::EntryFrame> {
 public:
  stream(impl* owner, link_id id, grpc::CallbackServerContext* context)
      : owner_(owner), id_(id), context_(context) {}

  void Begin(std::shared_ptr<stream> self) {
    self_ = std::move(self);
    StartRead(&incoming_);
  }

  void Send(wire::EntryFrame frame) {
    const std::lock_guard lock(mutex_);
    if (finished_)
      return;
    queue_.push_back(std::move(frame));
    if (queue_.size() == 1)
      StartWrite(&queue_.front());
  }

  void Cancel() {
    const std::lock_guard lock(mutex_);
    if (!finished_)
      context_->TryCancel();
  }

  void OnReadDone(bool ok) override {
    if (!ok) {
      FinishOnce();
      return;
    }
    owner_->on_frame(id_, FromWire(std::move(incoming_)));
    incoming_.Clear();
    StartRead(&incoming_);
  }

  void OnWriteDone(bool ok) override {
    if (!ok) {
      FinishOnce();
      return;
    }
    const std::lock_guard lock(mutex_);
    owner_->bytes_sent += queue_.front().ByteSizeLong();
    queue_.pop_front();
    if (!queue_.empty() && !finished_)
      StartWrite(&queue_.front());
  }

  void OnDone() override {
    owner_->on_lost(id_);
    {
      const std::lock_guard lock(owner_->mutex);
      owner_->streams.erase(id_);
    }
    self_.reset();
  }

 private:
  void FinishOnce() {
    const std::lock_guard lock(mutex_);
    if (finished_)
      return;
    finished_ = true;
    Finish(grpc::Status::OK);
  }

  impl* owner_;
  link_id id_;
  grpc::CallbackServerContext* context_;
  std::shared_ptr<stream> self_;
  wire::SidecarFrame incoming_;
  std::mutex mutex_;
  std::deque<wire::EntryFrame> queue_;
  bool finished_ = false;
};

grpc::ServerBidiReactor<wire::SidecarFrame, wire::EntryFrame>*
link_server::impl::Connect(grpc::CallbackServerContext* context) {
  std::shared_ptr<stream> s;
  {
    const std::lock_guard lock(mutex);
    const link_id id{next_link++};
    s = std::make_shared<stream>(this, id, context);
    streams.emplace(id, s);
  }
  s->Begin(s);
  return s.get();
}

link_server::link_server(frame_callback on_frame, lost_callback on_lost)
    : impl_(std::make_unique<impl>(std::move(on_frame), std::move(on_lost))) {}

link_server::~link_server() {
  Finish();
}

std::string link_server::Start(const std::string& address) {
  grpc::ServerBuilder builder;
  int port = 0;
  builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port);
  builder.RegisterService(impl_.get());
  builder.SetMaxReceiveMessageSize(kMaxFrameBytes);
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  impl_->server = builder.BuildAndStart();
  if (!impl_->server || port == 0)
    return "";
  return address.substr(0, address.rfind(':') + 1) + std::to_string(port);
}

void link_server::Send(link_id link, const entry_frame& frame) {
  if (const auto s = impl_->Find(link))
    s->Send(ToWire(frame));
}

void link_server::Close(link_id link) {
  if (const auto s = impl_->Find(link))
    s->Cancel();
}

void link_server::Finish() {
  if (!impl_->server)
    return;
  impl_->server->Shutdown(std::chrono::system_clock::now() + kFinishGrace);
  impl_->server->Wait();
  impl_->server.reset();
}

uint64_t link_server::BytesSent() const {
  return impl_->bytes_sent;
}

}  // namespace cassiaferry
