// Fault-injecting TCP proxy, for tests and demos only.
//
// POST /listeners {"target": "ip:port"} -> {"id": N, "address": "ip:port"}; the
// target may be set later. POST /listeners/N with any of {"target": "ip:port",
// "cut": true} (closes all its connections), {"refuse": BOOL} (new ones are
// closed at once), {"freeze_to_target": BOOL, "freeze_to_source": BOOL} (one
// direction goes silent on connections open now: bytes, and the end as well),
// {"freeze_new": BOOL} (new ones too),
// {"delay_ms": N}, {"cut_after": N} (closes each connection after so many more
// bytes to the source). GET /listeners/N -> connections and bytes.

#include <gflags/gflags.h>

#include <algorithm>
#include <asio.hpp>
#include <chrono>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>

#include "../src/apps/app.h"
#include "../src/net/http_server.h"

DEFINE_string(http, "127.0.0.1:0", "ip:port of the control interface");

namespace cassiaferry {
namespace {

using asio::ip::tcp;
using nlohmann::json;

constexpr size_t kChunk = 64 << 10;
constexpr std::chrono::milliseconds kFreezePoll{10};

// One relayed connection. All on the proxy's one thread.
struct connection {
  explicit connection(asio::io_context& io) : source(io), target(io) {}
  tcp::socket source;
  tcp::socket target;
  bool freeze_to_target = false;
  bool freeze_to_source = false;
  int64_t bytes_left = -1;  // to the source; -1: no bound

  void Close() {
    asio::error_code ignored;
    source.close(ignored);
    target.close(ignored);
  }
};

struct listener {
  explicit listener(asio::io_context& io) : acceptor(io) {}
  tcp::acceptor acceptor;
  tcp::endpoint target;
  std::list<std::weak_ptr<connection>> connections;
  bool refuse = false;
  bool freeze_new = false;
  int64_t delay_ms = 0;
  int64_t cut_after = -1;
  uint64_t accepted = 0;
  uint64_t bytes = 0;
};

using connection_ptr = std::shared_ptr<connection>;
using listener_ptr = std::shared_ptr<listener>;

// Moves bytes one way until either end closes. Kept alive by its handlers.
class relay : public std::enable_shared_from_this<relay> {
 public:
  relay(listener_ptr l, connection_ptr c, bool to_source)
      : listener_(std::move(l)),
        connection_(std::move(c)),
        to_source_(to_source),
        timer_(connection_->source.get_executor()),
        buffer_(kChunk) {}

  void Read() {
    From().async_read_some(
        asio::buffer(buffer_),
        [self = shared_from_this()](asio::error_code error, size_t n) {
          if (error)
            self->PassEnd(!self->to_source_);
          else
            self->Hold(n, std::chrono::milliseconds(self->listener_->delay_ms));
        });
  }

 private:
  tcp::socket& From() {
    return to_source_ ? connection_->target : connection_->source;
  }
  tcp::socket& To() {
    return to_source_ ? connection_->source : connection_->target;
  }
  bool IsFrozen() const {
    return to_source_ ? connection_->freeze_to_source
                      : connection_->freeze_to_target;
  }

  // Tells one end that the other is gone, when the way there isn't frozen.
  void PassEnd(bool to_target) {
    const connection& c = *connection_;
    if (!(to_target ? c.freeze_to_target : c.freeze_to_source)) {
      connection_->Close();
      return;
    }
    timer_.expires_after(kFreezePoll);
    timer_.async_wait([self = shared_from_this(), to_target](asio::error_code) {
      self->PassEnd(to_target);
    });
  }

  // Waits out the delay, then a freeze for as long as it lasts.
  void Hold(size_t n, std::chrono::milliseconds time) {
    if (time.count() == 0 && !IsFrozen()) {
      Write(n);
      return;
    }
    timer_.expires_after(std::max(time, kFreezePoll));
    timer_.async_wait([self = shared_from_this(), n](asio::error_code) {
      if (self->From().is_open())
        self->Hold(n, std::chrono::milliseconds(0));
    });
  }

  void Write(size_t n) {
    int64_t& left = connection_->bytes_left;
    const bool last =
        to_source_ && left >= 0 && static_cast<int64_t>(n) >= left;
    if (last)
      n = static_cast<size_t>(left);
    if (to_source_ && left >= 0)
      left -= static_cast<int64_t>(n);
    asio::async_write(
        To(), asio::buffer(buffer_.data(), n),
        [self = shared_from_this(), last](asio::error_code error, size_t n) {
          self->listener_->bytes += n;
          if (last)
            self->connection_->Close();
          else if (error)
            self->PassEnd(self->to_source_);
          else
            self->Read();
        });
  }

  listener_ptr listener_;
  connection_ptr connection_;
  bool to_source_;
  asio::steady_timer timer_;
  std::vector<char> buffer_;
};

void Open(const listener_ptr& l, const connection_ptr& c) {
  c->target.async_connect(l->target, [l, c](asio::error_code error) {
    if (error) {
      c->Close();
      return;
    }
    c->source.set_option(tcp::no_delay(true));
    c->target.set_option(tcp::no_delay(true));
    std::make_shared<relay>(l, c, true)->Read();
    std::make_shared<relay>(l, c, false)->Read();
  });
}

void Accept(asio::io_context& io, const listener_ptr& l) {
  const auto c = std::make_shared<connection>(io);
  l->acceptor.async_accept(c->source, [&io, l, c](asio::error_code error) {
    if (error)
      return;
    ++l->accepted;
    Accept(io, l);
    if (l->refuse || l->target.port() == 0) {
      c->Close();
      return;
    }
    c->freeze_to_target = l->freeze_new;
    c->freeze_to_source = l->freeze_new;
    c->bytes_left = l->cut_after;
    l->connections.push_back(c);
    Open(l, c);
  });
}

tcp::endpoint ParseEndpoint(const std::string& address) {
  std::string ip;
  uint16_t port = 0;
  if (!SplitAddress(address, ip, port))
    throw std::runtime_error("not of the form ip:port: " + address);
  return {asio::ip::make_address(ip), port};
}

class proxy {
 public:
  void Start();
  void Run() { io_.run(); }
  void Stop() { io_.stop(); }

 private:
  void OnRequest(const http_request& r);
  json Serve(const http_request& r);
  json AddListener(const json& j);
  void Change(listener& l, const json& j);
  json Describe(listener& l);

  asio::io_context io_{1};
  asio::executor_work_guard<asio::io_context::executor_type> work_{
      io_.get_executor()};
  std::unique_ptr<http_server> server_;
  std::map<int, listener_ptr> listeners_;
};

json proxy::AddListener(const json& j) {
  const auto l = std::make_shared<listener>(io_);
  l->acceptor.open(tcp::v4());
  l->acceptor.bind(tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  l->acceptor.listen();
  const int id = static_cast<int>(listeners_.size()) + 1;
  listeners_[id] = l;
  Change(*l, j);
  Accept(io_, l);
  return {{"id", id},
          {"address",
           "127.0.0.1:" + std::to_string(l->acceptor.local_endpoint().port())}};
}

void proxy::Change(listener& l, const json& j) {
  if (j.contains("target"))
    l.target = ParseEndpoint(j["target"]);
  l.refuse = j.value("refuse", l.refuse);
  l.freeze_new = j.value("freeze_new", l.freeze_new);
  l.delay_ms = j.value("delay_ms", l.delay_ms);
  l.cut_after = j.value("cut_after", l.cut_after);
  for (const auto& weak : l.connections) {
    const connection_ptr c = weak.lock();
    if (!c)
      continue;
    c->freeze_to_target = j.value("freeze_to_target", c->freeze_to_target);
    c->freeze_to_source = j.value("freeze_to_source", c->freeze_to_source);
    if (j.contains("cut_after"))
      c->bytes_left = l.cut_after;
    if (j.value("cut", false))
      c->Close();
  }
}

json proxy::Describe(listener& l) {
  l.connections.remove_if([](const auto& weak) { return weak.expired(); });
  return {{"accepted", l.accepted},
          {"open", l.connections.size()},
          {"bytes", l.bytes}};
}

json proxy::Serve(const http_request& r) {
  const std::string prefix = "/listeners";
  if (r.method == "POST" && r.path == prefix)
    return AddListener(json::parse(r.body));
  const int id =
      std::atoi(r.path.c_str() + std::min(r.path.size(), prefix.size() + 1));
  listener& l = *listeners_.at(id);
  if (r.method == "POST")
    Change(l, json::parse(r.body));
  return Describe(l);
}

void proxy::OnRequest(const http_request& r) {
  asio::post(io_, [this, r] {
    http_response response;
    try {
      response.body = Serve(r).dump();
    } catch (const std::exception& e) {
      response.status = 400;
      response.body = json{{"message", e.what()}}.dump();
    }
    server_->Answer(r.ticket, response);
  });
}

void proxy::Start() {
  http_server_options options;
  options.address = FLAGS_http;
  options.threads = 1;
  server_ = std::make_unique<http_server>(
      options, [this](const http_request& r) { OnRequest(r); },
      [](ticket_id) {});
  const std::string address = StartOrDie(*server_, "proxy: ");
  PrintReady({{"http", address}, {"pid", getpid()}});
}

}  // namespace
}  // namespace cassiaferry

int main(int argc, char** argv) {
  using namespace cassiaferry;
  InitApp("Fault-injecting proxy, for tests and demos only.", &argc, &argv);
  HandleSignals("proxy: ");
  proxy p;
  p.Start();
  OnStop([&p] { p.Stop(); });
  p.Run();
  return kExitOk;
}
