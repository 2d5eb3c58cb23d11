// Moving callers off an entry that is short of processor time.
//
// Contents
//   [1] Periods
//   [2] Probes
//   [3] Connections
//   [4] HTTP server

#include "cassiaferry/shedding.h"

#include <algorithm>
#include <asio.hpp>
#include <catch2/catch.hpp>
#include <condition_variable>
#include <mutex>
#include <string>
#include <vector>

#include "net/http_server.h"

namespace cassiaferry {
namespace {

// ---- [1] Periods ------------------------------------------------------------

// An entry that has been ready and in time for ten minutes, ticked each 20 ms.
struct ready_entry {
  ready_entry() {
    s.options.enabled = true;
    Pass(Millis(600'000));
  }

  void Pass(micros duration) {
    constexpr micros kTick = Millis(20);
    const micros end = now + duration;
    for (; now < end; now = now + kTick) {
      const shedding_decision d =
          TickShedding(s, {now, late ? 0.1 : 0.0, draining, ready});
      reported_ready = d.ready;
      unready = unready + (d.ready ? micros{0} : kTick);
      if (d.change == shedding_change::readiness_withdrawn)
        starts.push_back(now);
      if (d.change == shedding_change::ended)
        ends.push_back(now);
    }
  }

  // `count` connections send a request each.
  void Ask(uint64_t count) {
    for (uint64_t i = 1; i <= count; ++i)
      RecordRequest(s, now, connection_id{i}, ticket_id{i});
  }

  // Answers on these connections that close them.
  uint64_t Closed(uint64_t count) {
    uint64_t closed = 0;
    for (uint64_t i = 1; i <= count; ++i)
      closed += ClosesAfter(s, connection_id{i}, ticket_id{i}) ? 1 : 0;
    return closed;
  }

  // Late, until connections are closed.
  void PassToClosing(uint64_t connections) {
    late = true;
    for (int i = 0; i < 100 && s.phase != shedding_phase::closing; ++i) {
      Ask(connections);
      Pass(Millis(100));
    }
    REQUIRE(s.phase == shedding_phase::closing);
  }

  shedding s;
  micros now = Millis(1000);
  bool late = false;
  bool draining = false;
  bool ready = true;
  bool reported_ready = false;
  micros unready{0};
  std::vector<micros> starts;
  std::vector<micros> ends;
};

// Guards against callers moved because of a pause of a few hundred
// milliseconds.
TEST_CASE_METHOD(ready_entry, "entry_late_for_short_spikes_stays_ready") {
  for (int i = 0; i < 20; ++i) {
    late = true;
    Pass(Millis(480));
    late = false;
    Pass(Millis(1440));
  }
  CHECK(starts.empty());
  CHECK(unready.value == 0);
}

// Guards against an entry at its limit that keeps its callers, because it is
// late again and again but never for long.
TEST_CASE_METHOD(ready_entry, "entry_late_in_spells_sheds") {
  for (int i = 0; i < 4; ++i) {
    late = true;
    Pass(Millis(400));
    late = false;
    Pass(Millis(600));
  }
  CHECK(starts.size() == 1);
}

// Guards against an entry that keeps its callers although it stays late.
TEST_CASE_METHOD(ready_entry, "entry_late_for_500_ms_not_ready_for_3_s") {
  late = true;
  Pass(Millis(500));
  CHECK(reported_ready);
  Pass(Millis(20));
  CHECK_FALSE(reported_ready);
  late = false;
  Pass(Millis(2960));
  CHECK_FALSE(reported_ready);
  Pass(Millis(40));
  CHECK(reported_ready);
}

// Guards against an entry that is not ready for an eighth of the time, and
// fails its availability obligation.
TEST_CASE_METHOD(ready_entry, "entry_late_for_long_unready_a_tenth_at_most") {
  late = true;
  for (int i = 0; i < 1800; ++i) {
    Pass(Millis(1000));
    REQUIRE(unready.value * 10 <= now.value);
  }
  REQUIRE(starts.size() > 10);
  for (size_t i = 1; i < starts.size(); ++i)
    REQUIRE(starts[i] - ends[i - 1] >= Millis(10'000));
}

// Guards against a restarted entry that is soon taken out again, and is then
// not ready for more than a tenth of its time.
TEST_CASE_METHOD(ready_entry, "entry_late_from_its_start_unready_a_tenth") {
  s = shedding{};
  s.options.enabled = true;
  const micros start = now;
  late = true;
  for (int i = 0; i < 300; ++i) {
    Pass(Millis(1000));
    REQUIRE(unready.value * 10 <= (now - start).value);
  }
  CHECK_FALSE(starts.empty());
}

// Guards against time not ready for another reason that isn't counted.
TEST_CASE_METHOD(ready_entry, "entry_often_unready_sheds_nothing") {
  ready = false;
  Pass(Millis(80'000));
  ready = true;
  late = true;
  Pass(Millis(60'000));
  CHECK(starts.empty());
}

// Guards against connections closed by a stopping entry for another reason, and
// against an entry that is ready again while it stops.
TEST_CASE_METHOD(ready_entry, "entry_draining_sheds_nothing") {
  late = true;
  SECTION("before a period") {
    draining = true;
    Pass(Millis(20'000));
    CHECK(starts.empty());
  }
  SECTION("within a period") {
    PassToClosing(9);
    draining = true;
    Pass(Millis(20));
    CHECK(ends.size() == 1);
    CHECK(Closed(9) == 0);
    Pass(Millis(5000));
  }
  CHECK_FALSE(reported_ready);
}

// Guards against connections closed by an entry that the balancer has taken out
// for another reason.
TEST_CASE_METHOD(ready_entry, "entry_not_ready_otherwise_sheds_nothing") {
  PassToClosing(9);
  ready = false;
  Pass(Millis(20));
  CHECK(Closed(9) == 0);
  Pass(Millis(20'000));
  CHECK(starts.size() == 1);
}

// Guards against a change of anything while the setting is off, also where it
// is switched off within a period.
TEST_CASE_METHOD(ready_entry, "shedding_off_only_other_reasons_count") {
  SECTION("from the start") {
    s.options.enabled = false;
  }
  SECTION("within a period") {
    PassToClosing(9);
    s.options.enabled = false;
  }
  late = true;
  Pass(Millis(20));
  starts.clear();
  Pass(Millis(60'000));
  Ask(9);
  CHECK(starts.empty());
  CHECK(reported_ready);
  CHECK(Closed(9) == 0);
  CHECK(s.connections.empty());
  CHECK(SheddingPrometheusText(s).empty());
}

// ---- [2] Probes -------------------------------------------------------------

// An entry that the balancer probes once a second, late from its start.
struct probed_entry : ready_entry {
  probed_entry() {
    s = shedding{};
    s.options.enabled = true;
    late = true;
    start = now;
    next_probe = now;
  }

  // `others_unready`: for how long it isn't ready at first.
  void PassProbed(micros duration, micros others_unready = micros{0}) {
    constexpr micros kStep = Millis(20);
    const micros until = now + duration;
    while (now < until) {
      ready = now - start >= others_unready;
      if (now >= next_probe) {
        RecordProbe(s, now, reported_ready);
        misses = reported_ready ? 0 : misses + 1;
        max_misses = std::max(max_misses, misses);
        next_probe = next_probe + Millis(1000);
      }
      Ask(9);
      Pass(kStep);
      if (s.phase != shedding_phase::closing)
        continue;
      closed += Closed(9);
      CHECK(misses >= 2);
    }
  }

  micros start{0};
  micros next_probe{0};
  int misses = 0;
  int max_misses = 0;
  uint64_t closed = 0;
};

// Guards against callers who have nobody but a late entry for half a minute
// after its start.
TEST_CASE_METHOD(probed_entry, "entry_late_from_its_start_sheds_within_20_s") {
  PassProbed(Millis(20'000));
  CHECK(starts.size() == 1);
}

// Guards against connections closed while the balancer still gives new ones to
// this entry, and against more time not ready than the two probes take.
TEST_CASE_METHOD(probed_entry,
                 "entry_probed_not_ready_for_two_probes_then_closes") {
  PassProbed(Millis(24'000), Millis(100));
  REQUIRE(starts.size() == 1);
  CHECK(closed == 3);
  REQUIRE(ends.size() == 1);
  CHECK(max_misses == 2);
}

// Guards against a period that a balancer which has stopped probing makes
// longer.
TEST_CASE_METHOD(probed_entry, "entry_no_longer_probed_period_ends") {
  while (starts.empty())
    PassProbed(Millis(20));
  Pass(Millis(3000));
  REQUIRE(ends.size() == 1);
  CHECK(closed == 0);
}

// ---- [3] Connections --------------------------------------------------------

// Guards against a third that is closed where more than that can't be done,
// and against all connections closed by an entry that does nothing.
TEST_CASE("closing_more_where_less_is_done") {
  const shedding_options options;
  CHECK(ConnectionsToClose(options, 90, {100, 100}) == 30);
  CHECK(ConnectionsToClose(options, 90, {100, 75}) == 36);
  CHECK(ConnectionsToClose(options, 90, {100, 20}) == 72);
  CHECK(ConnectionsToClose(options, 2, {100, 20}) == 1);
}

// Guards against more connections closed than the third that is to move.
TEST_CASE_METHOD(ready_entry, "closing_a_third_is_closed_and_no_more") {
  PassToClosing(9);
  CHECK(Closed(9) == 3);
  Ask(9);
  CHECK(Closed(9) == 0);
  Pass(Millis(1000));
  CHECK(ends.size() == 1);
  CHECK(s.closed_total == 3);
}

// Guards against an entry that loses its only caller, or all of them.
TEST_CASE_METHOD(ready_entry, "closing_never_all_connections") {
  for (size_t active = 0; active < 20; ++active) {
    const size_t closed = ConnectionsToClose(s.options, active);
    CHECK(closed <= std::max<size_t>(1, active / 3));
    CHECK((closed > 0) == (active > 1));
    CHECK((active == 0 || closed < active));
  }
}

// Guards against connections closed before the balancer has noticed: they would
// come back to this entry.
TEST_CASE_METHOD(ready_entry, "before_closing_no_connection_is_closed") {
  late = true;
  Pass(Millis(2500));
  REQUIRE(s.phase == shedding_phase::notice);
  Ask(9);
  CHECK(Closed(9) == 0);
}

// Guards against idle connections that count, so that all active ones are
// closed.
TEST_CASE_METHOD(ready_entry, "closing_idle_connections_do_not_count") {
  Ask(90);
  late = true;
  Pass(Millis(2000));
  Ask(3);
  Pass(Millis(600));
  REQUIRE(s.phase == shedding_phase::closing);
  CHECK(s.to_close == 1);
}

// Guards against an answer that is lost behind one that closes its connection.
TEST_CASE_METHOD(ready_entry, "closing_newer_request_open_stays_open") {
  PassToClosing(2);
  RecordRequest(s, now, connection_id{1}, ticket_id{50});
  CHECK_FALSE(ClosesAfter(s, connection_id{1}, ticket_id{1}));
  CHECK(ClosesAfter(s, connection_id{1}, ticket_id{50}));
}

// ---- [4] HTTP server --------------------------------------------------------

// A server whose requests wait for their answers, and a caller's connections.
struct server_with_callers {
  server_with_callers()
      : server(
            Options(),
            [this](const http_request& r) {
              const std::lock_guard lock(mutex);
              requests.push_back(r);
              arrived.notify_all();
            },
            [](ticket_id) {}) {
    std::string error;
    const std::string address = server.Start(error);
    REQUIRE(error.empty());
    SplitAddress(address, ip, port);
  }
  ~server_with_callers() { server.Stop(); }
  server_with_callers(const server_with_callers&) = delete;
  server_with_callers& operator=(const server_with_callers&) = delete;

  static http_server_options Options() {
    http_server_options o;
    o.address = "127.0.0.1:0";
    o.threads = 1;
    return o;
  }

  asio::ip::tcp::socket Connect() {
    asio::ip::tcp::socket socket(io);
    socket.connect({asio::ip::make_address(ip), port});
    return socket;
  }

  // Sends requests and waits until the server has read them all.
  void Send(asio::ip::tcp::socket& socket, size_t count) {
    const std::string one = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    std::string all;
    for (size_t i = 0; i < count; ++i)
      all += one;
    std::unique_lock lock(mutex);
    const size_t expected = requests.size() + count;
    asio::write(socket, asio::buffer(all));
    arrived.wait(lock, [&] { return requests.size() >= expected; });
  }

  void Answer(size_t request, const std::string& body, bool close) {
    http_response response;
    response.body = body;
    response.close = close;
    server.Answer(requests[request].ticket, response);
  }

  // Reads an answer that ends with `end`.
  static std::string Read(asio::ip::tcp::socket& socket,
                          const std::string& end) {
    std::string data;
    asio::read_until(socket, asio::dynamic_buffer(data), end);
    return data;
  }

  static std::string ReadToEnd(asio::ip::tcp::socket& socket) {
    std::string data;
    asio::error_code ended;
    asio::read(socket, asio::dynamic_buffer(data), ended);
    CHECK(ended == asio::error::eof);
    return data;
  }

  std::mutex mutex;
  std::condition_variable arrived;
  std::vector<http_request> requests;
  std::string ip;
  uint16_t port = 0;
  asio::io_context io;
  http_server server;
};

// Guards against a caller that is cut off within its answer, and against other
// callers who lose their connections too.
TEST_CASE_METHOD(server_with_callers,
                 "answer_with_close_ends_only_its_connection_after_the_body") {
  asio::ip::tcp::socket closed = Connect();
  asio::ip::tcp::socket kept = Connect();
  Send(closed, 1);
  Send(kept, 1);
  CHECK(requests[0].connection != requests[1].connection);
  const std::string body(1 << 20, 'b');
  Answer(0, body, true);
  Answer(1, "first", false);
  const std::string answer = ReadToEnd(closed);
  CHECK(answer.find("Connection: close") != std::string::npos);
  CHECK(answer.ends_with("\r\n\r\n" + body));
  CHECK(Read(kept, "first").find("close") == std::string::npos);
  Send(kept, 1);
  CHECK(requests[2].connection == requests[1].connection);
  Answer(2, "second", false);
  CHECK(Read(kept, "second").starts_with("HTTP/1.1 200"));
}

// Guards against a connection closed while another request of it is open.
TEST_CASE_METHOD(server_with_callers,
                 "connection_with_two_requests_known_when_one_is_left") {
  asio::ip::tcp::socket socket = Connect();
  Send(socket, 2);
  CHECK_FALSE(server.ConnectionOfOnly(requests[0].ticket));
  CHECK_FALSE(server.ConnectionOfOnly(requests[1].ticket));
  Answer(0, "first", false);
  CHECK(server.ConnectionOfOnly(requests[1].ticket) == requests[1].connection);
  CHECK_FALSE(server.ConnectionOfOnly(requests[0].ticket));
  Answer(1, "second", true);
  const std::string answers = ReadToEnd(socket);
  CHECK(answers.find("first") != std::string::npos);
  CHECK(answers.ends_with("second"));
}

}  // namespace
}  // namespace cassiaferry
