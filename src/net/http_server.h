// HTTP server (RESTinio) whose requests are answered later, from any thread.

#ifndef CASSIAFERRY_SRC_NET_HTTP_SERVER_H_
#define CASSIAFERRY_SRC_NET_HTTP_SERVER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "caller_table.h"
#include "cassiaferry/ids.h"
#include "cassiaferry/intake.h"

namespace cassiaferry {

struct http_request {
  ticket_id ticket;          // names the request until it is answered
  connection_id connection;  // that it came on
  std::string method;        // "POST"
  std::string path;          // without the query
  std::string query;         // without the question mark
  std::string body;
  std::string authorization;  // the header's value, empty if absent
  std::string if_match;
  std::string task;               // "Cassiaferry-Task", for upstreams
  std::string host;               // the header's value, without a port
  std::vector<std::string> kept;  // values of the headers that the options
                                  // name, in that order; empty if absent
  micros received{0};  // when its last bytes reached this machine, on the clock
                       // of `Now`; later if more followed them unread
  bool caller_left = false;  // it had closed the connection before this was
                             // read, and hears no answer
  held_bytes held;  // to be kept as long as what was made of the body waits
};

struct http_response {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  int64_t retry_after_s = 0;  // 0: no such header
  bool close = false;         // ends the connection after this answer
  bool not_run = false;       // adds "Cassiaferry-Not-Run: 1", for upstreams
};

// 429, in the product's own form.
http_response NoRoomResponse();

struct http_server_options {
  std::string address;  // "ip:port"; port 0 takes a free one
  size_t threads = 2;
  // A longer body is not read: its request is answered with 413, and the
  // connection ends.
  size_t max_body_bytes = 2 << 20;
  intake_options intake;  // over all connections
  // What a request holds is released with its answer, not when it was read.
  bool holds_until_answer = false;
  // To a request that finds no room.
  http_response no_room = NoRoomResponse();
  std::chrono::seconds read_timeout{15};  // for one whole request
  std::chrono::seconds write_timeout{15};
  std::vector<std::string> keep_headers;  // passed on with each request
  uint64_t first_ticket = 1;  // so that servers of one process share no ticket
};

class http_server {
 public:
  // Both are called on traffic threads. `on_gone`: the caller closed its
  // connection before the answer.
  using request_callback = std::function<void(http_request)>;
  using gone_callback = std::function<void(ticket_id)>;

  http_server(http_server_options options,
              request_callback on_request,
              gone_callback on_gone);
  ~http_server();

  // Returns the address in use. On failure empty, and `error` says why.
  std::string Start(std::string& error);

  void Answer(ticket_id ticket,
              const http_response& response);  // any thread, once each
  // Requests read from now on are answered so at once, and end their
  // connection; `Pending` doesn't rise any more. Any thread, once.
  void RefuseFromNowOn(const http_response& response);
  size_t Pending() const;  // requests not yet answered
  // Of these, the ones whose callers have closed their connections, also where
  // that is still unread and `on_gone` not yet called. Any thread; a call of
  // the kernel.
  std::vector<ticket_id> CallersLeft() const;
  // How long what is ready waits for this server's threads: of the newest
  // measurement, or of the one that is under way, if that has taken longer. Any
  // thread; at most one call each `kDelayProbeInterval` begins another.
  micros ReadDelay();
  // The connection of a request, if that is its only one not yet answered. Any
  // thread.
  std::optional<connection_id> ConnectionOfOnly(ticket_id ticket) const;
  intake_counters Intake() const;  // any thread
  void Stop();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

// "127.0.0.1:80" into its parts; false: not of that form.
bool SplitAddress(const std::string& address, std::string& ip, uint16_t& port);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_SRC_NET_HTTP_SERVER_H_
