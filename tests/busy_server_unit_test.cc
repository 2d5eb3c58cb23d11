// The callers' HTTP server while its thread has more to do than it can.
//
// Contents
//   [1] Fixture
//   [2] New connections
//   [3] Delay
//   [4] Stop

#include <poll.h>

#include <asio.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <condition_variable>
#include <list>
#include <mutex>
#include <string>
#include <thread>

#include "net/http_server.h"

namespace cassiaferry {
namespace {

// ---- [1] Fixture ------------------------------------------------------------

// A server with one thread, which handles nothing while it is held.
struct held_server {
  held_server()
      : server(
            Options(),
            [this](const http_request& r) { Handle(r); },
            [](ticket_id) {}) {
    std::string error;
    const std::string address = server.Start(error);
    REQUIRE(error.empty());
    SplitAddress(address, ip, port);
  }
  ~held_server() {
    Release();
    server.Stop();
  }
  held_server(const held_server&) = delete;
  held_server& operator=(const held_server&) = delete;

  static http_server_options Options() {
    http_server_options o;
    o.address = "127.0.0.1:0";
    o.threads = 1;
    return o;
  }

  void Handle(const http_request& r) {
    {
      std::unique_lock lock(mutex);
      held = held || holds_next;
      holds_next = false;
      changed.notify_all();
      changed.wait(lock, [&] { return !held; });
      if (r.path == "/new")
        ++read_new;
      else if (r.path == "/kept" && read_new < expected_new)
        ++read_kept;
      changed.notify_all();
    }
    server.Answer(r.ticket, {});
  }

  asio::ip::tcp::socket& Connect() {
    sockets.emplace_back(io).connect({asio::ip::make_address(ip), port});
    return sockets.back();
  }

  static void Send(asio::ip::tcp::socket& socket,
                   const std::string& path,
                   int count) {
    std::string all;
    for (int i = 0; i < count; ++i)
      all += "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n";
    asio::write(socket, asio::buffer(all));
  }

  void Hold() {
    std::unique_lock lock(mutex);
    holds_next = true;
    Send(Connect(), "/held", 1);
    changed.wait(lock, [&] { return held; });
  }

  void Release() {
    const std::lock_guard lock(mutex);
    held = false;
    holds_next = false;
    changed.notify_all();
  }

  template <typename Condition>
  static bool Eventually(Condition condition) {
    constexpr int kTries = 3000;
    for (int i = 0; i < kTries && !condition(); ++i)
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    return condition();
  }

  std::mutex mutex;  // guards what follows
  std::condition_variable changed;
  bool holds_next = false;
  bool held = false;
  int expected_new = 0;
  int read_new = 0;
  int read_kept = 0;  // until all new ones were read
  std::string ip;
  uint16_t port = 0;
  asio::io_context io;
  std::list<asio::ip::tcp::socket> sockets;
  http_server server;
};

// ---- [2] New connections ----------------------------------------------------

// Guards against new connections that wait, one for each round of reading all
// others, until their callers have left.
TEST_CASE_METHOD(held_server,
                 "server_busy_new_connections_are_read_as_often_as_kept_ones") {
  constexpr int kKept = 20;
  constexpr int kNew = 80;
  constexpr int kWaitingOnEach = 200;
  Hold();
  expected_new = kNew;
  for (int i = 0; i < kKept; ++i)
    Send(Connect(), "/kept", kWaitingOnEach);
  for (int i = 0; i < kNew; ++i)
    Send(Connect(), "/new", 1);
  Release();
  REQUIRE(Eventually([&] {
    const std::lock_guard lock(mutex);
    return read_new == kNew;
  }));
  CHECK(read_kept <= kNew);
}

// ---- [3] Delay --------------------------------------------------------------

// Guards against requests that lie unread for seconds while the entry, whose
// other thread is in time, counts as in time.
TEST_CASE_METHOD(held_server, "server_busy_read_delay_tells") {
  Hold();
  CHECK(Eventually([&] { return server.ReadDelay() > Millis(200); }));
  Release();
  CHECK(Eventually([&] { return server.ReadDelay() < Millis(20); }));
}

// ---- [4] Stop ---------------------------------------------------------------

// Guards against a request that is read after a stopping process has looked for
// the last time at what is pending, and whose connection ends unanswered.
TEST_CASE_METHOD(held_server, "server_refusing_what_is_read_late_is_answered") {
  Hold();
  asio::ip::tcp::socket& late = Connect();
  Send(late, "/kept", 1);
  http_response refusal;
  refusal.status = 503;
  server.RefuseFromNowOn(refusal);
  CHECK(server.Pending() == 1);
  expected_new = 1;
  Release();
  std::string answer;
  asio::error_code ended;
  asio::read(late, asio::dynamic_buffer(answer), ended);
  CHECK(ended == asio::error::eof);
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(answer.find("Connection: close") != std::string::npos);
  CHECK(read_kept == 0);
  CHECK(server.Pending() == 0);
}

// Guards against connections that stay open, with a request that nobody
// answers, until the process ends.
TEST_CASE_METHOD(held_server, "server_stopped_connections_are_closed") {
  constexpr int kWaitMs = 5000;
  asio::ip::tcp::socket& idle = Connect();
  Send(idle, "/kept", 1);
  std::string answer;
  asio::read_until(idle, asio::dynamic_buffer(answer), "\r\n\r\n");
  server.Stop();
  pollfd ended{idle.native_handle(), POLLIN | POLLRDHUP, 0};
  REQUIRE(poll(&ended, 1, kWaitMs) == 1);
  CHECK((ended.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0);
}

}  // namespace
}  // namespace cassiaferry
