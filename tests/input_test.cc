// Bad input from callers and operators: a clear refusal, and the process goes
// on serving.
//
// Contents
//   [1] Bodies
//   [2] Connections
//   [3] Command line and settings

#include <asio.hpp>
#include <catch2/catch.hpp>
#include <fstream>

#include "system.h"

using namespace cassiaferry::testing;  // NOLINT(google-build-using-namespace)

namespace {

using asio::ip::tcp;

struct one_entry {
  test_system sys{
      system_options{1, 1, {{"entry", {{"max_body_bytes", 100'000}}}}}};

  bool StillServes() { return sys.Job(0, MakeJob(2, "echo:x")).status == 200; }

  tcp::socket Connect() {
    const std::string address = sys.Entry(0);
    const size_t colon = address.rfind(':');
    tcp::socket socket(io);
    socket.connect(
        {asio::ip::make_address(address.substr(0, colon)),
         static_cast<uint16_t>(std::stoi(address.substr(colon + 1)))});
    return socket;
  }

  asio::io_context io;
};

struct bad_body {
  std::string body;
  int status;
  std::string reason;
  std::string message;
};

// Runs a binary to its end; returns its exit code.
int RunToEnd(const std::vector<std::string>& command) {
  const cassiaferry::child c = cassiaferry::StartChild(command, "");
  return cassiaferry::WaitChild(c, 60);
}

std::string Bin(const std::string& name) {
  return cassiaferry::ProgramFolder() + "/" + name;
}

std::string WriteFile(const std::string& name, const std::string& text) {
  std::string path = cassiaferry::ProgramFolder() + "/" + name;
  std::ofstream(path) << text;
  return path;
}

}  // namespace

// ---- [1] Bodies -------------------------------------------------------------

TEST_CASE_METHOD(one_entry, "Body_WhenBad_IsRefusedWithAReason") {
  const std::string deep = std::string(5000, '[') + std::string(5000, ']');
  const std::string huge(150'000, 'x');
  const std::vector<bad_body> bodies = {
      {"", 400, "bad_request", "not JSON"},
      {"{", 400, "bad_request", "not JSON"},
      {"[]", 400, "bad_request", "must be an object"},
      {"\xff\xfe", 400, "bad_request", "not JSON"},
      {deep, 400, "bad_request", "nested deeper"},
      {huge, 413, "too_large", "longer than"},
      {R"({"team":"lime","upstream":"slots","tasks":[]})", 400, "bad_request",
       "/tasks"},
      {R"({"team":"lime","upstream":"slots"})", 400, "bad_request",
       "/tasks: is missing"},
      {R"({"team":"lime","upstream":"slots","tasks":[{"payload":"echo:a","cores":-1}]})",
       400, "bad_request", "/tasks/0/cores"},
      {R"({"team":"lime","upstream":"slots","tasks":[{"payload":7}]})", 400,
       "bad_request", "/tasks/0/payload"},
      {R"({"team":"lime","upstream":"slots","deadline_ms":-5,"tasks":[{"payload":"echo:a"}]})",
       400, "bad_request", "/deadline_ms"},
      {R"({"team":"lime","upstream":"slots","colour":1,"tasks":[{"payload":"echo:a"}]})",
       400, "bad_request", "/colour: unknown member"},
      {R"({"team":"lime","upstream":"slots","repeatable":false,"tasks":[{"payload":"echo:a"}]})",
       400, "key_required", "/key"},
      {R"({"team":"none","upstream":"slots","tasks":[{"payload":"echo:a"}]})",
       404, "unknown_team", "none"},
      {R"({"team":"lime","upstream":"none","tasks":[{"payload":"echo:a"}]})",
       404, "unknown_upstream", "none"},
      {R"({"team":"lime","upstream":"slots","tasks":[{"payload":"echo:a","cores":5000}]})",
       422, "never_runnable", "cores"},
  };
  for (const bad_body& bad : bodies) {
    CAPTURE(bad.body.substr(0, 100));
    const reply r = Send("POST", sys.Entry(0), "/v1/jobs", bad.body);
    CAPTURE(r.text);
    CHECK(r.status == bad.status);
    REQUIRE(r.body.is_object());
    CHECK(r.body["state"] == "failed");
    CHECK(r.body["verdict"] == "not_run");
    CHECK(r.body["reason"] == bad.reason);
    CHECK(r.body["message"].get<std::string>().find(bad.message) !=
          std::string::npos);
  }
  CHECK(StillServes());
  CHECK(sys.Starts() == 2);
}

TEST_CASE_METHOD(one_entry, "Refusal_WhenTheBodyCouldBeRead_CarriesAJobId") {
  const reply r = sys.Job(0, {{"team", "none"},
                              {"upstream", "slots"},
                              {"tasks", {{{"payload", "x"}}}}});
  REQUIRE(r.body.contains("job"));
  const reply told =
      Send("GET", sys.Entry(0), "/v1/jobs/" + r.body["job"].get<std::string>());
  CHECK(told.status == 200);
  CHECK(told.body["reason"] == "unknown_team");
}

TEST_CASE_METHOD(one_entry, "Path_WhenUnknown_IsNotFound") {
  CHECK(Send("GET", sys.Entry(0), "/nowhere").status == 404);
  CHECK(Send("DELETE", sys.Entry(0), "/v1/jobs").status == 404);
  CHECK(Send("GET", sys.Entry(0), "/v1/jobs/not-an-id").status == 400);
  CHECK(Send("PUT", sys.Sidecar(0), "/v1/upstreams/slots", "{}").status == 400);
  CHECK(Send("PUT", sys.Sidecar(0), "/v1/upstreams/slots", "nonsense").status ==
        400);
  CHECK(StillServes());
}

// ---- [2] Connections --------------------------------------------------------

// A body is announced and never sent whole; more callers do the same. The
// others are served meanwhile.
TEST_CASE_METHOD(one_entry, "Body_WhenHalfSent_HoldsUpNobody") {
  std::vector<tcp::socket> sockets;
  for (int i = 0; i < 50; ++i) {
    sockets.push_back(Connect());
    asio::write(sockets.back(),
                asio::buffer(std::string(
                    "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: "
                    "1000\r\n\r\n{\"team\":")));
  }
  CHECK(StillServes());
}

TEST_CASE_METHOD(one_entry, "Headers_WhenTheyFlood_CloseTheConnection") {
  tcp::socket socket = Connect();
  std::string flood = "POST /v1/jobs HTTP/1.1\r\nHost: x\r\n";
  for (int i = 0; i < 5000; ++i)
    flood += "X-" + std::to_string(i) + ": y\r\n";
  asio::error_code error;
  asio::write(socket, asio::buffer(flood), error);
  char byte = 0;
  while (!error)
    asio::read(socket, asio::buffer(&byte, 1), error);
  CHECK(error);
  CHECK(StillServes());
}

TEST_CASE_METHOD(one_entry, "Body_WhenFarTooLong_IsNotTakenIntoMemory") {
  tcp::socket socket = Connect();
  const std::string head =
      "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 900000000\r\n\r\n";
  asio::error_code error;
  asio::write(socket, asio::buffer(head), error);
  const std::string chunk(1 << 20, 'x');
  size_t sent = 0;
  while (!error && sent < (64U << 20))
    sent += asio::write(socket, asio::buffer(chunk), error);
  CHECK(error);
  CHECK(StillServes());
}

// ---- [3] Command line and settings ------------------------------------------

TEST_CASE("Settings_WhenWrong_ExitWithAClearError") {
  const std::string entry = Bin("cassiaferry-entry");
  CHECK(RunToEnd({entry}) == 2);
  CHECK(RunToEnd({entry, "--settings=/nonexistent.json"}) == 2);
  CHECK(RunToEnd({entry, "--settings=" + WriteFile("bad1.json", "{")}) == 2);
  CHECK(RunToEnd({entry, "--settings=" +
                             WriteFile("bad2.json",
                                       R"({"name":"a","colour":1})")}) == 2);
  const std::string good =
      R"({"name":"a","failure_domain":"d","http":"127.0.0.1:0","link":"nowhere","admin_token":"12345678"})";
  CHECK(RunToEnd({entry, "--settings=" + WriteFile("bad3.json", good)}) == 2);
  CHECK(RunToEnd({entry, "--version"}) == 0);
}

TEST_CASE_METHOD(one_entry, "Port_WhenInUse_ExitsWithAClearError") {
  std::vector<std::string> command = sys.info["entries"][0]["command"];
  command.push_back("--http=" + sys.Entry(0));
  CHECK(RunToEnd(command) == 3);
  CHECK(StillServes());
}
