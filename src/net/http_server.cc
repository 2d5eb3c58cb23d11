// RESTinio behind a small interface; the only file that includes it.
//
// Contents
//   [1] Sockets
//   [2] Requests under way
//   [3] Callers' sockets
//   [4] Parsing
//   [5] Answers
//   [6] The server

#include "http_server.h"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <array>
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

constexpr size_t kRequestBytes = 1024;  // that one holds beside its body
// Held bytes are counted in steps. A request below one costs no counting.
constexpr size_t kCountedStep = 2048;
constexpr size_t kWastedBytes = 64 << 10;  // of a body that has grown
// A refused caller may send for so long, or so much, before it is reset.
constexpr std::chrono::seconds kLingerTime{1};
constexpr size_t kLingerBytes = 1 << 20;
constexpr int kMaxLingering = 64;

// ---- [1] Sockets ------------------------------------------------------------

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

// ---- [2] Requests under way -------------------------------------------------

struct pending_request {
  restinio::request_handle_t request;
  connection_id connection;
  int socket = -1;
  held_bytes held;
};

// By ticket and by connection.
class pending_table {
 public:
  void Add(ticket_id ticket, pending_request request) {
    const std::lock_guard lock(mutex_);
    by_connection_.emplace(request.connection, ticket);
    requests_.emplace(ticket, std::move(request));
  }

  std::optional<pending_request> Take(ticket_id ticket) {
    const std::lock_guard lock(mutex_);
    const auto it = requests_.find(ticket);
    if (it == requests_.end())
      return std::nullopt;
    pending_request request = std::move(it->second);
    requests_.erase(it);
    const auto [first, last] = by_connection_.equal_range(request.connection);
    for (auto i = first; i != last; ++i) {
      if (i->second == ticket) {
        by_connection_.erase(i);
        break;
      }
    }
    return request;
  }

  std::vector<ticket_id> OfConnection(connection_id connection) const {
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
    if (it == requests_.end() ||
        by_connection_.count(it->second.connection) != 1)
      return std::nullopt;
    return it->second.connection;
  }

  // A socket may be closed, and its number in use again, before its connection
  // is taken out here; whatever is found then, the connection has ended.
  std::vector<ticket_id> Ended() const {
    const std::lock_guard lock(mutex_);
    std::vector<pollfd> sockets;
    for (const auto& [ticket, request] : requests_)
      sockets.push_back({request.socket, 0, 0});
    FindEnded(sockets);
    std::vector<ticket_id> ended;
    size_t i = 0;
    for (const auto& [ticket, request] : requests_) {
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
    std::unordered_map<ticket_id, pending_request> requests;
    const std::lock_guard lock(mutex_);
    requests.swap(requests_);
    by_connection_.clear();
  }

 private:
  mutable std::mutex mutex_;
  std::unordered_map<ticket_id, pending_request> requests_;
  std::multimap<connection_id, ticket_id> by_connection_;
};

// ---- [3] Callers' sockets ---------------------------------------------------

using tcp_socket = restinio::asio_ns::ip::tcp::socket;

// What the connections of one server share, and keep: they end with the context
// or before it.
struct caller_rules {
  std::shared_ptr<caller_table> callers;
  std::function<void(connection_id)> on_closed;
  size_t max_body_bytes = 0;
  std::vector<std::string> keep_headers;
  std::atomic<int> lingering{0};
};

// The library makes sockets from the context alone.
class server_context : public restinio::asio_ns::io_context {
 public:
  std::shared_ptr<caller_rules> rules = std::make_shared<caller_rules>();
};

// A connection and the request that it is sending.
struct caller {
  caller(std::shared_ptr<caller_rules> of, int descriptor)
      : rules(std::move(of)),
        socket(descriptor),
        id(rules->callers->Add(descriptor)) {}
  caller(const caller&) = delete;
  caller& operator=(const caller&) = delete;
  ~caller() { rules->callers->Remove(id); }

  std::shared_ptr<caller_rules> rules;
  int socket;  // its descriptor
  connection_id id;
  std::string body;
  size_t head_bytes = 0;
  size_t counted_bytes = 0;
  bool too_large = false;  // refused, and nothing more of it is read
  http_request request;    // once it is whole
};

// Failure guarded against: a connection is closed while its caller still sends,
// which resets it, and the caller never reads why it was refused.
class lingering_socket : public std::enable_shared_from_this<lingering_socket> {
 public:
  lingering_socket(tcp_socket socket, std::shared_ptr<caller_rules> rules)
      : socket_(std::move(socket)),
        timer_(socket_.get_executor()),
        rules_(std::move(rules)) {
    ++rules_->lingering;
  }
  lingering_socket(const lingering_socket&) = delete;
  lingering_socket& operator=(const lingering_socket&) = delete;
  ~lingering_socket() { --rules_->lingering; }

  void Start() {
    timer_.expires_after(kLingerTime);
    timer_.async_wait(
        [self = shared_from_this()](const restinio::asio_ns::error_code&) {
          restinio::asio_ns::error_code ignored;
          self->socket_.close(ignored);
        });
    Read();
  }

 private:
  void Read() {
    socket_.async_read_some(
        restinio::asio_ns::buffer(unread_),
        [self = shared_from_this()](const restinio::asio_ns::error_code& error,
                                    size_t n) {
          self->left_ -= std::min(self->left_, n);
          if (error || self->left_ == 0)
            self->timer_.cancel();
          else
            self->Read();
        });
  }

  tcp_socket socket_;
  restinio::asio_ns::steady_timer timer_;
  std::shared_ptr<caller_rules> rules_;
  size_t left_ = kLingerBytes;
  std::array<char, 4096> unread_{};
};

// Tells the parser whose bytes it handles, as the library doesn't.
class caller_socket : public tcp_socket {
 public:
  using tcp_socket::tcp_socket;

  // The library's names, as below.
  // NOLINTBEGIN(readability-identifier-naming)
  template <typename Buffers, typename Handler>
  void async_read_some(const Buffers& buffers, Handler&& handler) {
    if (!caller_)
      caller_ = std::make_unique<caller>(
          static_cast<server_context&>(get_executor().context()).rules,
          native_handle());
    const auto executor = restinio::asio_ns::get_associated_executor(handler);
    tcp_socket::async_read_some(
        buffers,
        restinio::asio_ns::bind_executor(
            executor,
            [this, buffers, handler = std::forward<Handler>(handler)](
                restinio::asio_ns::error_code error, size_t n) mutable {
              if (!error && IsGivenUp())
                error = restinio::asio_ns::error::eof;
              if (!error && caller_->too_large)
                async_read_some(buffers, std::move(handler));
              else
                Handle([&] { handler(error, n); });
            }));
  }

  // After an answer the library goes on with what it has read already.
  template <typename Buffers, typename Handler>
  void async_write_some(const Buffers& buffers, Handler&& handler) {
    const auto executor = restinio::asio_ns::get_associated_executor(handler);
    tcp_socket::async_write_some(
        buffers, restinio::asio_ns::bind_executor(
                     executor, [this, handler = std::forward<Handler>(handler)](
                                   const restinio::asio_ns::error_code& error,
                                   size_t n) mutable {
                       Handle([&] { handler(error, n); });
                     }));
  }

  void shutdown(shutdown_type what, restinio::asio_ns::error_code& error) {
    tcp_socket::shutdown(IsRefused() ? shutdown_send : what, error);
  }

  void close() {
    const std::unique_ptr<caller> ended = std::move(caller_);
    if (!ended) {
      tcp_socket::close();
      return;
    }
    if (current == ended.get())
      current = nullptr;
    const std::shared_ptr<caller_rules> rules = ended->rules;
    rules->callers->Remove(ended->id);
    if (ended->too_large && rules->lingering < kMaxLingering)
      std::make_shared<lingering_socket>(
          std::move(static_cast<tcp_socket&>(*this)), rules)
          ->Start();
    else
      tcp_socket::close();
    rules->on_closed(ended->id);
  }
  // NOLINTEND(readability-identifier-naming)

  // Whose bytes this thread handles; null: nobody's.
  static thread_local caller* current;

 private:
  bool IsGivenUp() const {
    return caller_ && caller_->rules->callers->IsGivenUp(caller_->id);
  }
  bool IsRefused() const { return caller_ && caller_->too_large; }

  template <typename Function>
  void Handle(Function function) {
    current = caller_.get();
    function();
    current = nullptr;
  }

  std::unique_ptr<caller> caller_;  // from the first read on
};

thread_local caller* caller_socket::current = nullptr;

// ---- [4] Parsing ------------------------------------------------------------

std::string WithoutPort(const std::string& host) {
  return host.substr(0, host.find(':'));
}

using parser_context = restinio::impl::http_parser_ctx_t;

parser_context& ContextOf(http_parser* parser) {
  return *static_cast<parser_context*>(parser->data);
}

// Of its own type, so that its parser is this file's.
struct caller_methods : restinio::default_http_methods_t {};

http_request ReadHead(const restinio::http_request_header_t& header,
                      const std::vector<std::string>& keep_headers) {
  http_request r;
  r.method = header.method().c_str();
  r.path = std::string(header.path());
  r.query = std::string(header.query());
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

// The library keeps what it has parsed until the request is answered: it is
// left nothing.
void FinishRequest(http_parser* parser, caller& c) {
  restinio::impl::restinio_message_complete_cb<caller_methods>(parser);
  parser_context& context = ContextOf(parser);
  c.request = ReadHead(context.m_header, c.rules->keep_headers);
  c.request.body = std::move(c.body);
  if (c.request.body.capacity() - c.request.body.size() > kWastedBytes)
    c.request.body.shrink_to_fit();
  c.request.connection = c.id;
  c.body = {};
  c.head_bytes = 0;
  c.counted_bytes = 0;
  restinio::http_header_fields_t none;
  context.m_header.swap_fields(none);
  context.m_header.request_target({});
  context.m_chunked_info_block = {};
}

// Ends the request early: its answer doesn't wait for the rest.
void RefuseTooLarge(http_parser* parser, caller& c) {
  c.too_large = true;
  c.body = {};
  c.rules->callers->Receive(c.id, 0);
  FinishRequest(parser, c);
}

void CountHeld(caller& c) {
  // Headers stand in texts of their own, about twice as long.
  const size_t held = 2 * c.head_bytes + c.body.capacity();
  if (held < c.counted_bytes + kCountedStep)
    return;
  c.counted_bytes = held;
  c.rules->callers->Receive(c.id, held);
}

constexpr int kGoOn = 0;
constexpr int kBreakOff = -1;  // ends the connection

// Calls `function` for the caller whose bytes are parsed.
template <typename Function>
int ForCaller(Function function) noexcept {
  caller* c = caller_socket::current;
  if (c == nullptr || c->too_large)
    return kBreakOff;
  try {
    return function(*c);
  } catch (const std::exception&) {  // no memory
    return kBreakOff;
  }
}

using head_callback = int (*)(http_parser*, const char*, size_t);

template <head_callback Library>
int OnHead(http_parser* parser, const char* at, size_t length) noexcept {
  return ForCaller([&](caller& c) {
    c.head_bytes += length;
    CountHeld(c);
    return Library(parser, at, length);
  });
}

int OnBegin(http_parser* /*parser*/) noexcept {
  return ForCaller([](caller& c) {
    c.rules->callers->Begin(c.id);
    return kGoOn;
  });
}

// Failure guarded against: memory is taken for what is announced, not for what
// arrives. A request for another protocol is handled like any other.
int OnHeadEnd(http_parser* parser) noexcept {
  return ForCaller([&](caller& c) {
    ContextOf(parser).m_leading_headers_completed = true;
    parser->upgrade = 0;
    const bool announced = parser->content_length != ULLONG_MAX;
    if (announced && parser->content_length > c.rules->max_body_bytes)
      RefuseTooLarge(parser, c);
    return kGoOn;
  });
}

// Failure guarded against: the library keeps a record of each chunk, which is
// many times larger than a chunk of one byte.
int OnChunk(http_parser* /*parser*/) noexcept {
  return kGoOn;
}

int OnBody(http_parser* parser, const char* at, size_t length) noexcept {
  return ForCaller([&](caller& c) {
    if (c.body.size() + length > c.rules->max_body_bytes) {
      RefuseTooLarge(parser, c);
      return kGoOn;
    }
    c.body.append(at, length);
    CountHeld(c);
    return kGoOn;
  });
}

int OnEnd(http_parser* parser) noexcept {
  return ForCaller([&](caller& c) {
    FinishRequest(parser, c);
    return kGoOn;
  });
}

}  // namespace
}  // namespace cassiaferry

namespace restinio::impl {

template <>
http_parser_settings
create_parser_settings<cassiaferry::caller_methods>() noexcept {
  http_parser_settings settings;
  http_parser_settings_init(&settings);
  settings.on_message_begin = cassiaferry::OnBegin;
  settings.on_url = cassiaferry::OnHead<restinio_url_cb>;
  settings.on_header_field = cassiaferry::OnHead<restinio_header_field_cb>;
  settings.on_header_value = cassiaferry::OnHead<restinio_header_value_cb>;
  settings.on_headers_complete = cassiaferry::OnHeadEnd;
  settings.on_chunk_header = cassiaferry::OnChunk;
  settings.on_body = cassiaferry::OnBody;
  settings.on_message_complete = cassiaferry::OnEnd;
  return settings;
}

}  // namespace restinio::impl

namespace cassiaferry {
namespace {

struct server_traits : public restinio::default_traits_t {
  using stream_socket_t = caller_socket;
  using logger_t = restinio::null_logger_t;
  using http_methods_mapper_t = caller_methods;
  using request_handler_t = std::function<restinio::request_handling_status_t(
      restinio::request_handle_t)>;
};

// ---- [5] Answers ------------------------------------------------------------

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

// For a connection that is about to be closed.
std::string TextOf(const http_response& response) {
  std::string text = "HTTP/1.1 " + std::to_string(response.status) +
                     " Refused\r\nConnection: close\r\nContent-Type: " +
                     response.content_type + "\r\nContent-Length: " +
                     std::to_string(response.body.size()) + "\r\n";
  if (response.retry_after_s > 0)
    text += "Retry-After: " + std::to_string(response.retry_after_s) + "\r\n";
  return text + "\r\n" + response.body;
}

http_response TooLargeResponse(size_t max_body_bytes) {
  http_response response;
  response.status = 413;
  response.close = true;
  response.body =
      R"({"state":"failed","verdict":"not_run","reason":"too_large","message":"the body is longer than )" +
      std::to_string(max_body_bytes) + R"( bytes","retry_after_ms":0})";
  return response;
}

}  // namespace

http_response NoRoomResponse() {
  http_response response;
  response.status = 429;
  response.retry_after_s = 1;
  response.body =
      R"({"state":"failed","verdict":"not_run","reason":"queue_full","message":"too many bytes of requests wait here","retry_after_ms":1000})";
  return response;
}

// ---- [6] The server ---------------------------------------------------------

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
  void Answer(ticket_id ticket, const http_response& response);

  http_server_options options;
  request_callback on_request;
  gone_callback on_gone;
  std::atomic<uint64_t> next_ticket{1};
  http_response refusal;  // written before `refuses`
  std::atomic<bool> refuses{false};
  pending_table pending;
  delay_probe delay;
  // Of the server that runs on it; without it no connection stays open.
  std::unique_ptr<server_context> io = std::make_unique<server_context>();
  server running;
};

restinio::request_handling_status_t http_server::impl::Take(
    const restinio::request_handle_t& request) {
  caller* c = caller_socket::current;
  if (c == nullptr)
    return restinio::request_rejected();
  if (c->too_large) {
    io->rules->callers->CountTooLarge();
    Write(request, TooLargeResponse(options.max_body_bytes));
    return restinio::request_accepted();
  }
  http_request r = std::move(c->request);
  c->request = {};
  r.held = io->rules->callers->Take(c->id, kRequestBytes + r.body.capacity());
  if (!r.held) {
    Write(request, options.no_room);
    return restinio::request_accepted();
  }
  r.ticket = ticket_id{next_ticket++};
  r.received = NewestArrival(c->socket);
  r.caller_left = HasEnded(c->socket);
  pending.Add(r.ticket, {request, c->id, c->socket,
                         options.holds_until_answer ? r.held : held_bytes()});
  // After the request was added: whoever sets it counts the request as pending,
  // or the request is answered here.
  if (refuses)
    Answer(r.ticket, refusal);
  else
    on_request(std::move(r));
  return restinio::request_accepted();
}

void http_server::impl::Answer(ticket_id ticket,
                               const http_response& response) {
  const std::optional<pending_request> taken = pending.Take(ticket);
  if (!taken)
    return;
  io->rules->callers->Answered(taken->connection);
  Write(taken->request, response);
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
  caller_rules& rules = *impl_->io->rules;
  rules.callers = std::make_shared<caller_table>(
      impl_->options.intake, TextOf(impl_->options.no_room));
  rules.max_body_bytes = impl_->options.max_body_bytes;
  rules.keep_headers = impl_->options.keep_headers;
  rules.on_closed = [this](connection_id connection) {
    for (ticket_id ticket : impl_->pending.OfConnection(connection)) {
      if (impl_->pending.Take(ticket))
        impl_->on_gone(ticket);
    }
  };
  restinio::incoming_http_msg_limits_t limits;
  limits.max_url_size(kMaxUrl)
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
            .incoming_http_msg_limits(limits)
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
  impl_->Answer(ticket, response);
}

intake_counters http_server::Intake() const {
  return impl_->io ? impl_->io->rules->callers->Counters() : intake_counters();
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
