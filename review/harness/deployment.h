// A small deployment for the cases of the review: the two services, started
// with the commands and the settings templates of deploy/, and the project's
// stand-ins for the platform's store and its workers, all on loopback.
//
// Contents
//   [1] Record
//   [2] Options
//   [3] The deployment

#ifndef CASSIAFERRY_REVIEW_HARNESS_DEPLOYMENT_H_
#define CASSIAFERRY_REVIEW_HARNESS_DEPLOYMENT_H_

#include <sys/types.h>

#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "../../src/net/http_client.h"
#include "cassiaferry/ids.h"

namespace cassiaferry::review {

using nlohmann::json;

// ---- [1] Record -------------------------------------------------------------

// What was sent, answered and run, one line each, with milliseconds since the
// start of the case. Any thread.
class record {
 public:
  explicit record(const std::string& file);
  void Add(const std::string& line);

 private:
  std::mutex mutex_;
  std::ofstream out_;
  micros began_{0};
};

// ---- [2] Options ------------------------------------------------------------

struct deployment_options {
  int entries = 2;
  int workers = 4;                     // of kind "a", of 8 cores each, but
  bool first_worker_is_other = false;  // the first may be of kind "b"
  int max_attempts = 3;
};

constexpr int kWorkerCpu = 8000;  // thousandths of a core

struct process {
  std::string name;
  std::vector<std::string> command;
  std::string log;  // file
  pid_t pid = 0;
  json ready;  // its ready line
};

// One run of a task, as its worker saw it. Times are on the clock of Now(), 0
// if the event has not happened.
struct worker_run {
  std::string task;
  uint32_t run = 0;
  size_t worker = 0;
  int64_t began = 0;
  int64_t ended = 0;
  std::string how;
  int64_t acknowledged = 0;  // first poll with `lastSeen` at or above its end
  int64_t lapsed = 0;        // the worker's lease lapsed before that
};

// ---- [3] The deployment -----------------------------------------------------

class deployment {
 public:
  deployment(const deployment_options& options, record& log);
  ~deployment();  // ends all processes

  deployment(const deployment&) = delete;
  deployment& operator=(const deployment&) = delete;

  // Signals and restarts.
  void Signal(const process& p, int signal);
  // Waits for the end of a process; kills it after the grace time. Returns
  // whether it ended by itself.
  bool WaitForEnd(process& p, int64_t grace_ms);
  void Restart(process& p);
  bool IsReady(const process& entry);

  // Calls of clients. The answer's status is 0 if there was none.
  using answer_callback = std::function<void(int status, const json& body)>;
  void Send(size_t entry,
            const std::string& method,
            const std::string& id,
            const json& body,
            const answer_callback& on_answer);
  int Call(size_t entry,
           const std::string& method,
           const std::string& id,
           json& body);

  void SetStore(const json& knobs);
  void SetWorker(size_t worker, const json& behaviour);
  // Of the workers that answer; the others' newest known runs.
  std::vector<worker_run> Runs();

  // Adds the lines of all services' logs that contain the text.
  void CopyLogLines(const std::string& text, size_t most);

  process store;
  std::vector<process> workers;
  std::vector<process> sidecars;
  std::vector<process> entries;

 private:
  void Start(process& p);
  void StartWorker(size_t i, const std::string& label);
  void StartEntry(size_t i);
  std::string Render(const std::string& file,
                     const std::map<std::string, std::string>& values);
  std::string WriteSettings(const std::string& name, const std::string& text);
  void Configure(int max_attempts);

  record& record_;
  std::string folder_;  // of settings and logs
  http_client client_;
  std::vector<json> newest_runs_;  // by worker
};

// ---- [4] Helpers ------------------------------------------------------------

// A job of one step; its tasks run for `run_ms` each.
json Job(int tasks, int cpu, int64_t run_ms);
std::string JobId(uint64_t number);
void Sleep(int64_t ms);
int64_t NowMs();

}  // namespace cassiaferry::review

#endif  // CASSIAFERRY_REVIEW_HARNESS_DEPLOYMENT_H_
