// The whole system as real processes, for integration tests.
//
// Contents
//   [1] Waiting
//   [2] HTTP
//   [3] The system

#ifndef CASSIAFERRY_TESTS_SYSTEM_H_
#define CASSIAFERRY_TESTS_SYSTEM_H_

#include <functional>
#include <future>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "../src/apps/child.h"
#include "../src/net/http_client.h"

namespace cassiaferry::testing {

using nlohmann::json;

// ---- [1] Waiting ------------------------------------------------------------

// Polls until the condition holds; false after a generous time.
bool Eventually(const std::function<bool()>& condition, int seconds = 60);

// ---- [2] HTTP ---------------------------------------------------------------

struct reply {
  int status = 0;  // 0: no answer
  json body;       // null: not JSON
  std::string text;
};

reply Send(const std::string& method,
           const std::string& address,
           const std::string& path,
           const std::string& body = "",
           const std::vector<std::string>& headers = {});

// Whether a connection to the address succeeds, whatever is spoken there.
bool IsListening(const std::string& address);

// ---- [3] The system ---------------------------------------------------------

struct system_options {
  int entries = 1;
  int workers = 2;
  json settings = json::object();  // of cassiaferry-local
};

// Started by the constructor, ended by the destructor.
class test_system {
 public:
  explicit test_system(const system_options& options);
  ~test_system();
  test_system(const test_system&) = delete;
  test_system& operator=(const test_system&) = delete;

  std::string Entry(int i) const { return info["entries"][i]["http"]; }
  std::string Upstream(int i) const { return info["upstreams"][i]["http"]; }
  std::string Sidecar(int i) const { return info["sidecars"][i]["http"]; }
  std::string Platform() const { return info["platform"]["http"]; }

  reply Job(int entry, const json& job) const;  // waits for the answer
  std::future<reply> JobLater(int entry,
                              const json& job) const;  // on a thread of its own
  json Status(int entry) const;
  void Signal(const std::string& role,
              int i,
              int signal) const;  // role: "entries", "sidecars", "upstreams"
  child Restart(const std::string& role,
                int i);  // a new process at the address of one that ended
  void Knobs(const json& knobs) const;  // of the platform
  void Behave(int upstream, const json& behaviour) const;
  void Proxy(const std::string& listeners, int i, const json& change) const;
  int Starts() const;            // over all upstreams
  int DuplicateStarts() const;   // beyond one for each task
  int UpLinks(int entry) const;  // workers that this entry may use now
  json Config() const;
  reply PutConfig(int entry, const json& config, int version) const;

  json info;  // as cassiaferry-local printed it

 private:
  child local_;
  std::vector<child> restarted_;
};

// A job of equal tasks.
json MakeJob(int tasks, const std::string& payload, int deadline_ms = 30'000);

}  // namespace cassiaferry::testing

#endif  // CASSIAFERRY_TESTS_SYSTEM_H_
