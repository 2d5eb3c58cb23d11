// HTTP client (libcurl multi): many requests from one thread.

#ifndef CASSIAFERRY_SRC_NET_HTTP_CLIENT_H_
#define CASSIAFERRY_SRC_NET_HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cassiaferry {

// Only a GET may go out twice: when a kept connection closes before any byte of
// an answer, libcurl sends the request again on a new one. Any other call ends
// there without an answer, as it may have been carried out (RFC 9110, 9.2.2).
struct http_call {
  std::string method = "GET";
  std::string url;                   // "http://ip:port/path"
  std::vector<std::string> headers;  // "Name: value"
  std::string body;
  int64_t timeout_ms = 0;  // whole call; 0: none
  int64_t connect_timeout_ms = 1000;
  // The call ends without an answer if the answer's body is longer; 0: no
  // bound.
  size_t max_reply_bytes = size_t{4} << 20;
  // A connection of its own, for a call whose outcome must not become unknown
  // because a server closes idle connections.
  bool fresh_connection = false;
};

struct http_reply {
  bool sent = false;      // false: proven that no byte of the request was sent
  bool answered = false;  // a whole answer arrived
  int status = 0;
  bool not_run = false;  // the answer carries "Cassiaferry-Not-Run: 1"
  std::string body;
  std::string error;  // why not answered
  int copies = 0;     // of the request, sent
};

// True if the answer says that nothing was done: 503, or an error of the
// request. Any other error of the server leaves that unknown.
bool IsRefusal(const http_reply& reply);

struct http_client_counters {
  uint64_t calls = 0;
  // Calls whose kept connection closed before any byte of an answer.
  uint64_t cut_calls = 0;
};

class http_client {
 public:
  // Bodies of answers that are not yet whole; beyond, calls end without one.
  static constexpr size_t kMaxOpenBytes = size_t{16} << 20;

  using reply_callback =
      std::function<void(http_reply)>;  // on the client's thread

  // `connections_per_host`: calls beyond wait for a free one; 0: no bound.
  explicit http_client(long connections_per_host = 0);
  ~http_client();  // open calls get no reply

  uint64_t Start(http_call call,
                 reply_callback on_reply);  // any thread; the id is for Cancel
  void Cancel(uint64_t id);  // any thread; closes the connection, no reply
  http_client_counters Counters() const;  // any thread
  void Stop();                            // ends the thread

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

// The counters of the client named `client` as Prometheus text.
std::string HttpClientPrometheusText(const std::string& client,
                                     const http_client_counters& c);

// One call, waited for. For command line tools and tests; `Fetch` takes answers
// of any length.
http_reply FetchOnce(http_call call);
http_reply Fetch(const std::string& method,
                 const std::string& address,  // "ip:port"
                 const std::string& path,
                 const std::string& body = "",
                 std::vector<std::string> headers = {},
                 int64_t timeout_ms = 10'000);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_SRC_NET_HTTP_CLIENT_H_
