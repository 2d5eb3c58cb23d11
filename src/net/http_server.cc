// RESTinio behind a small interface; the only file that includes it.

#include "http_server.h"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <charconv>
#include <map>
#include <mutex>
#include <optional>
#include <restinio/all.hpp>
#include <unordered_map>

#include "control_loop.h"

namespace cassiaferry {

namespace {

constexpr size_t kMaxHeaders = 64;
constexpr size_t kMaxHeaderName = 256;
constexpr size_t kMaxHeaderValue = 8192;
constexpr size_t kMaxUrl = 4096;
constexpr std::chrono::minutes kHandleTimeout{
    65};  // beyond any deadline that a job may have
// Reading goes on while a request is handled, so that a closed connection
// shows.
constexpr size_t kPipelined = 2;
// Failure guarded against: a busy server takes one new connection for each
// round of reading all others, new ones wait for seconds, and their callers
// leave.
constexpr size_t kAcceptsAtOnce = 64;
constexpr micros kDelayProbeInterval = Millis(50);

using connection_key = uint64_t;

// Asks the kernel which of these the other side has closed, also while bytes
// that it sent before are unread.
void FindEnded(std::vector<pollfd>& sockets) {
  for (pollfd& socket : sockets)
    socket.events = POLLRDHUP;
  if (poll(sockets.data(), sockets.size(), 0) >= 0)
    return;
  for (pollfd& socket : sockets)
    socket.revents = 0;
}

bool HasEnded(const pollfd& socket) {
  return (socket.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool HasEnded(int socket) {
  std::vector<pollfd> one = {{socket, 0, 0}};
  FindEnded(one);
  return HasEnded(one.front());
}

// When the newest bytes of the socket arrived, read or not.
micros NewestArrival(int socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
    return Now();
  return Now() - Millis(info.tcpi_last_data_recv);
}

// Requests under way, by ticket and by connection.
class pending_table {
 public:
  void Add(ticket_id ticket, restinio::request_handle_t request, int socket) {
    const std::lock_guard lock(mutex_);
    by_connection_.emplace(request->connection_id(), ticket);
    sockets_.emplace(ticket, socket);
    requests_.emplace(ticket, std::move(request));
  }

  restinio::request_handle_t Take(ticket_id ticket) {
    const std::lock_guard lock(mutex_);
    const auto it = requests_.find(ticket);
    if (it == requests_.end())
      return nullptr;
    restinio::request_handle_t request = std::move(it->second);
    requests_.erase(it);
    sockets_.erase(ticket);
    const auto [first, last] =
        by_connection_.equal_range(request->connection_id());
    for (auto i = first; i != last; ++i) {
      if (i->second == ticket) {
        by_connection_.erase(i);
        break;
      }
    }
    return request;
  }

  std::vector<ticket_id> OfConnection(connection_key connection) const {
    const std::lock_guard lock(mutex_);
    std::vector<ticket_id> tickets;
    const auto [first, last] = by_connection_.equal_range(connection);
    for (auto i = first; i != last; ++i)
      tickets.push_back(i->second);
    return tickets;
  }

  std::optional<connection_id> ConnectionOfOnly(ticket_id ticket) const {
    const std::lock_guard lock(mutex_);
    const auto it = requests_.find(ticket);
    if (it == requests_.end())
      return std::nullopt;
    const connection_key connection = it->second->connection_id();
    if (by_connection_.count(connection) != 1)
      return std::nullopt;
    return connection_id{connection};
  }

  // A socket may be closed, and its number in use again, before its connection
  // is taken out here; whatever is found then, the connection has ended.
  std::vector<ticket_id> Ended() const {
    const std::lock_guard lock(mutex_);
    std::vector<pollfd> sockets;
    for (const auto& [ticket, socket] : sockets_)
      sockets.push_back({socket, 0, 0});
    FindEnded(sockets);
    std::vector<ticket_id> ended;
    size_t i = 0;
    for (const auto& [ticket, socket] : sockets_) {
      if (HasEnded(sockets[i++]))
        ended.push_back(ticket);
    }
    return ended;
  }

  size_t Size() const {
    const std::lock_guard lock(mutex_);
    return requests_.size();
  }

  void Clear() {
    std::unordered_map<ticket_id, restinio::request_handle_t> requests;
    const std::lock_guard lock(mutex_);
    requests.swap(requests_);
    sockets_.clear();
    by_connection_.clear();
  }

 private:
  mutable std::mutex mutex_;
  std::unordered_map<ticket_id, restinio::request_handle_t> requests_;
  std::unordered_map<ticket_id, int> sockets_;
  std::multimap<connection_key, ticket_id> by_connection_;
};

struct state_listener {
  std::function<void(connection_key)> on_closed;

  void state_changed(
      const restinio::connection_state::notice_t& notice) noexcept {
    if (std::holds_alternative<restinio::connection_state::closed_t>(
            notice.cause()))
      on_closed(notice.connection_id());
  }
};

// Remembers whose bytes the server's thread handles: the library doesn't tell.
class caller_socket : public restinio::asio_ns::ip::tcp::socket {
 public:
  using restinio::asio_ns::ip::tcp::socket::socket;

  // NOLINTNEXTLINE(readability-identifier-naming): the library's name
  template <typename Buffers, typename Handler>
  void async_read_some(const Buffers& buffers, Handler&& handler) {
    const auto executor = restinio::asio_ns::get_associated_executor(handler);
    restinio::asio_ns::ip::tcp::socket::async_read_some(
        buffers, restinio::asio_ns::bind_executor(
                     executor, [this, handler = std::forward<Handler>(handler)](
                                   const restinio::asio_ns::error_code& error,
                                   size_t n) mutable {
                       reading = native_handle();
                       handler(error, n);
                       reading = -1;
                     }));
  }

  // Of this thread; -1: none.
  static thread_local int reading;
};

thread_local int caller_socket::reading = -1;

struct server_traits : public restinio::default_traits_t {
  using stream_socket_t = caller_socket;
  using logger_t = restinio::null_logger_t;
  using request_handler_t = std::function<restinio::request_handling_status_t(
      restinio::request_handle_t)>;
  using connection_state_listener_t = state_listener;
  // NOLINTNEXTLINE(readability-identifier-naming): the library's name
  static constexpr bool use_connection_count_limiter = true;
};

std::string WithoutPort(const std::string& host) {
  return host.substr(0, host.find(':'));
}

http_request ReadRequest(const restinio::request_handle_t& request,
                         const std::vector<std::string>& keep_headers,
                         ticket_id ticket) {
  const auto& header = request->header();
  http_request r;
  r.ticket = ticket;
  r.connection = connection_id{request->connection_id()};
  r.method = header.method().c_str();
  r.path = std::string(header.path());
  r.query = std::string(header.query());
  r.body = request->body();
  r.authorization =
      header.get_field_or(restinio::http_field::authorization, std::string());
  r.if_match =
      header.get_field_or(restinio::http_field::if_match, std::string());
  r.task = header.get_field_or("Cassiaferry-Task", std::string());
  r.host = WithoutPort(
      header.get_field_or(restinio::http_field::host, std::string()));
  for (const std::string& name : keep_headers)
    r.kept.push_back(header.get_field_or(name, std::string()));
  return r;
}

void Write(const restinio::request_handle_t& request,
           const http_response& response) {
  const restinio::http_status_line_t line{
      restinio::http_status_code_t{static_cast<uint16_t>(response.status)},
      response.status == 200 ? "OK" : "Refused"};
  auto out = request->create_response(line);
  out.append_header(restinio::http_field::content_type, response.content_type);
  if (response.retry_after_s > 0)
    out.append_header(restinio::http_field::retry_after,
                      std::to_string(response.retry_after_s));
  if (response.not_run)
    out.append_header("Cassiaferry-Not-Run", "1");
  if (response.close)
    out.connection_close();
  out.set_body(response.body);
  out.done();
}

}  // namespace

// Measures how long a task waits for a server's threads, behind all that is
// ready. One task at a time.
class delay_probe {
 public:
  // Any thread. `post` queues a task for the server's threads.
  template <typename Post>
  micros Measure(micros now, Post post) {
    const std::lock_guard lock(mutex_);
    if (!open_ && now - posted_ >= kDelayProbeInterval) {
      open_ = true;
      posted_ = now;
      post();
    }
    return open_ ? std::max(newest_, now - posted_) : newest_;
  }

  void Finish(micros now) {
    const std::lock_guard lock(mutex_);
    open_ = false;
    newest_ = now - posted_;
  }

 private:
  std::mutex mutex_;  // guards what follows
  bool open_ = false;
  micros posted_{0};
  micros newest_{0};
};

struct http_server::impl {
  using server = restinio::running_server_handle_t<server_traits>;

  restinio::request_handling_status_t Take(
      const restinio::request_handle_t& request);

  http_server_options options;
  request_callback on_request;
  gone_callback on_gone;
  std::atomic<uint64_t> next_ticket{1};
  http_response refusal;  // written before `refuses`
  std::atomic<bool> refuses{false};
  pending_table pending;
  delay_probe delay;
  // Of the server that runs on it; without it no connection stays open.
  std::unique_ptr<restinio::asio_ns::io_context> io =
      std::make_unique<restinio::asio_ns::io_context>();
  server running;
};

restinio::request_handling_status_t http_server::impl::Take(
    const restinio::request_handle_t& request) {
  if (request->body().size() > options.max_body_bytes) {
    http_response refusal;
    refusal.status = 413;
    refusal.body =
        R"({"state":"failed","verdict":"not_run","reason":"too_large","message":"the body is longer than )" +
        std::to_string(options.max_body_bytes) +
        R"( bytes","retry_after_ms":0})";
    Write(request, refusal);
    return restinio::request_accepted();
  }
  const ticket_id ticket{next_ticket++};
  http_request r = ReadRequest(request, options.keep_headers, ticket);
  r.received = NewestArrival(caller_socket::reading);
  r.caller_left = HasEnded(caller_socket::reading);
  pending.Add(ticket, request, caller_socket::reading);
  // After the request was added: whoever sets it counts the request as pending,
  // or the request is answered here.
  if (refuses) {
    if (const restinio::request_handle_t taken = pending.Take(ticket))
      Write(taken, refusal);
    return restinio::request_accepted();
  }
  on_request(std::move(r));
  return restinio::request_accepted();
}

bool SplitAddress(const std::string& address, std::string& ip, uint16_t& port) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos)
    return false;
  const char* end = address.data() + address.size();
  const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
  ip = address.substr(0, colon);
  return parsed.ec == std::errc() && parsed.ptr == end && !ip.empty();
}

http_server::http_server(http_server_options options,
                         request_callback on_request,
                         gone_callback on_gone)
    : impl_(std::make_unique<impl>()) {
  impl_->next_ticket = options.first_ticket;
  impl_->options = std::move(options);
  impl_->on_request = std::move(on_request);
  impl_->on_gone = std::move(on_gone);
}

http_server::~http_server() {
  Stop();
}

std::string http_server::Start(std::string& error) {
  std::string ip;
  uint16_t port = 0;
  if (!SplitAddress(impl_->options.address, ip, port)) {
    error = "\"" + impl_->options.address + "\" is not of the form ip:port";
    return "";
  }
  uint16_t bound = port;
  const auto listener = std::make_shared<state_listener>();
  listener->on_closed = [this](connection_key connection) {
    for (ticket_id ticket : impl_->pending.OfConnection(connection)) {
      impl_->pending.Take(ticket);
      impl_->on_gone(ticket);
    }
  };
  restinio::incoming_http_msg_limits_t limits;
  limits.max_body_size(impl_->options.hard_body_bytes)
      .max_url_size(kMaxUrl)
      .max_field_count(kMaxHeaders)
      .max_field_name_size(kMaxHeaderName)
      .max_field_value_size(kMaxHeaderValue);
  try {
    impl_->running = restinio::run_async<server_traits>(
        restinio::external_io_context(*impl_->io),
        restinio::server_settings_t<server_traits>{}
            .address(ip)
            .port(port)
            .acceptor_post_bind_hook(
                [&bound](restinio::asio_ns::ip::tcp::acceptor& acceptor) {
                  bound = acceptor.local_endpoint().port();
                })
            .request_handler([this](const restinio::request_handle_t& r) {
              return impl_->Take(r);
            })
            .connection_state_listener(listener)
            .incoming_http_msg_limits(limits)
            .max_parallel_connections(impl_->options.max_connections)
            .concurrent_accepts_count(kAcceptsAtOnce)
            .max_pipelined_requests(kPipelined)
            .read_next_http_message_timelimit(impl_->options.read_timeout)
            .write_http_response_timelimit(impl_->options.write_timeout)
            .handle_request_timeout(kHandleTimeout),
        impl_->options.threads);
  } catch (const std::exception& e) {
    error = "can't listen on " + impl_->options.address + ": " + e.what();
    return "";
  }
  return ip + ":" + std::to_string(bound);
}

void http_server::Answer(ticket_id ticket, const http_response& response) {
  if (const restinio::request_handle_t request = impl_->pending.Take(ticket))
    Write(request, response);
}

std::vector<ticket_id> http_server::CallersLeft() const {
  return impl_->pending.Ended();
}

micros http_server::ReadDelay() {
  return impl_->delay.Measure(Now(), [this] {
    restinio::asio_ns::post(*impl_->io, [this] { impl_->delay.Finish(Now()); });
  });
}

std::optional<connection_id> http_server::ConnectionOfOnly(
    ticket_id ticket) const {
  return impl_->pending.ConnectionOfOnly(ticket);
}

void http_server::RefuseFromNowOn(const http_response& response) {
  impl_->refusal = response;
  impl_->refusal.close = true;
  impl_->refuses = true;
}

size_t http_server::Pending() const {
  return impl_->pending.Size();
}

void http_server::Stop() {
  if (!impl_->running)
    return;
  impl_->running->stop();
  impl_->running->wait();
  impl_->running.reset();
  impl_->pending.Clear();
  impl_->io.reset();
}

}  // namespace cassiaferry
