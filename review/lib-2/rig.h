// Rig for the cases of the independent review: stand-ins for the platform's
// store, for workers and for clients, and the project's own programs as
// separate processes. All addresses are loopback addresses.
//
// Contents
//   [1] Time and the record
//   [2] HTTP
//   [3] The store
//   [4] Workers
//   [5] Processes
//   [6] The deployment

#ifndef CASSIAFERRY_REVIEW_LIB_2_RIG_H_
#define CASSIAFERRY_REVIEW_LIB_2_RIG_H_

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

namespace rig {

using json = nlohmann::json;

constexpr int kHeld = 0;  // exit codes of a case
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

// ---- [1] Time and the record ------------------------------------------------

int64_t NowMs();  // steady, since the start of this process
void SleepMs(int64_t ms);
// Waits until the condition holds; returns whether it did.
bool WaitFor(int64_t ms, const std::function<bool()>& condition);
// Writes one line with the time to record.txt of the case.
void OpenRecord(const std::string& path);
void Record(const std::string& line);
// Whether the disruption is to be brought about (TROUBLE=0: not).
bool Trouble();
// Records the outcome, ends all processes of the deployment and this one.
class deployment;
[[noreturn]] void Finish(deployment& d, int code);

// ---- [2] HTTP ---------------------------------------------------------------

struct http_request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
};

struct http_answer {
  int status = 0;  // 0: none
  std::string body;
};

// One thread for each connection.
class http_server {
 public:
  using handler = std::function<http_answer(const http_request&)>;

  explicit http_server(handler handle);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  // Listens on a free port, or on the one that it had before.
  void Open();
  // Closes the listener and resets all connections.
  void Close();
  // The connections that are open now answer nothing any more; new ones do.
  void SilenceConnections();
  size_t Connections() const;
  int Port() const { return port_; }
  std::string Address() const;

 private:
  struct shared_state;

  handler handle_;
  int port_ = 0;
  std::shared_ptr<shared_state> state_;
  std::thread acceptor_;
};

http_answer Call(const std::string& address,
                 const std::string& method,
                 const std::string& path,
                 const std::string& body,
                 const std::vector<std::string>& headers,
                 int64_t timeout_ms);

// ---- [3] The store ----------------------------------------------------------

struct store_options {
  int64_t transaction_ms = 4;
  int64_t read_ms = 4;
  size_t row_bytes = 65'536;
};

// How the store treats the calls that arrive at one of its addresses.
enum class store_mode {
  sound,
  busy,        // 503
  silent,      // no answer, nothing is done
  loses,       // a third of the writes are done and not answered
  loses_late,  // a third of the writes are done seconds later, not answered
  slow,        // answers after 50 times as long
};

class store {
 public:
  explicit store(store_options options = {});

  // Another address of the same store, for one process.
  std::string NewAddress();
  void SetMode(const std::string& address, store_mode mode);
  // The open connections of all processes go silent; new ones work.
  void SilenceConnections();
  size_t Connections(const std::string& address);
  void Put(const std::string& table,
           const std::string& key,
           const std::string& value);
  size_t RowsIn(const std::string& table);
  // Calls with a row above `row_bytes`, each answered with 400.
  int TooLarge() const { return too_large_; }

 private:
  struct row {
    std::string value;  // base64
    uint64_t version = 0;
    bool deleted = false;
  };
  using row_key = std::pair<std::string, std::string>;  // table, key

  struct front {
    std::atomic<store_mode> mode{store_mode::sound};
    std::unique_ptr<http_server> server;
  };

  http_answer HandleAt(const front& at, const http_request& r);
  http_answer Handle(const http_request& r);
  http_answer HandleTransaction(const http_request& r);
  http_answer HandleGet(const http_request& r);
  http_answer HandleFeed(const http_request& r);
  http_answer Answer(int status, json body);
  json RowJson(const row_key& key, const row& found) const;

  store_options options_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::mutex writing_;  // one transaction after the other
  std::map<row_key, row> rows_;
  uint64_t version_ = 1;
  std::atomic<int> too_large_{0};
  std::map<std::string, std::unique_ptr<front>> fronts_;  // by address
};

// ---- [4] Workers ------------------------------------------------------------

struct run_record {
  std::string worker;
  std::string life;
  std::string task;
  uint32_t run = 0;
  int64_t began = 0;
  int64_t ended = 0;  // 0: it runs
  std::string how;
  int64_t noted = 0;  // when its end was acknowledged; 0: it was not
  // The worker's lease lapsed between the two.
  bool lapsed = false;
};

struct worker_options {
  std::string name;
  std::string service = "slots";
  std::string zone = "a";
  int64_t cpu = 32'000;
  int64_t memory_mb = 65'536;
  std::vector<std::string> labels;
  int64_t heartbeat_ms = 1500;
  int64_t down_ms = 4000;  // after a crash
};

// Runs tasks as their spec says: "work:MS" takes that long, "fail:MS" ends as
// failed, "mixed:MS" fails one time in four, "crash:MS" crashes the worker.
class worker {
 public:
  explicit worker(worker_options options);
  ~worker();
  worker(const worker&) = delete;
  worker& operator=(const worker&) = delete;

  std::string Address() const { return server_.Address(); }
  const std::string& Name() const { return options_.name; }
  void SetSidecar(const std::string& address);
  bool IsUp();
  size_t Running();
  void CrashNow();
  void SetDraining(bool draining);
  void SetSilent(int64_t ms);  // no answers, no heartbeats
  // The next calls are carried out and not answered; starts also late.
  void LoseCalls(int count);
  void DelayStarts(int count);

 private:
  struct active_run {
    std::string task;
    uint32_t run = 0;
    int64_t began = 0;
    int64_t ends = 0;
    int64_t stops = 0;  // 0: not ordered
    bool crashes = false;
    bool fails = false;
    size_t record = 0;
  };
  struct listed_end {
    uint64_t number = 0;
    std::string task;
    uint32_t run = 0;
    std::string how;
    size_t record = 0;
    int64_t at = 0;
  };

  http_answer Handle(const http_request& r);
  http_answer HandleCall(const http_request& r,
                         std::unique_lock<std::mutex>& lock);
  http_answer HandleStart(const json& body);
  http_answer HandleStop(const json& body);
  http_answer HandleHold(const json& body, std::unique_lock<std::mutex>& lock);
  http_answer Answer(int status, json body);
  bool TakeFence(const json& body);
  void ExtendLease(const json& body);
  void EndRun(const active_run& run, const std::string& how);
  void EndDueRuns();
  void Crash();
  void BeginLife();
  int64_t ClockMs() const;
  void Beat();
  void RunLoop();

  worker_options options_;
  std::mutex mutex_;
  std::condition_variable ended_;
  std::string sidecar_;
  std::string life_;
  int lives_ = 0;
  int64_t life_began_ = 0;
  int64_t up_again_ = 0;  // 0: it is up
  int64_t next_beat_ = 0;
  uint64_t beats_ = 0;
  uint64_t fence_ = 0;
  int64_t lease_until_ = 0;
  int64_t lapsed_at_ = 0;  // newest moment without a lease
  bool draining_ = false;
  int64_t silent_until_ = 0;
  int calls_to_lose_ = 0;
  int starts_to_delay_ = 0;
  uint64_t next_end_ = 1;
  std::map<std::string, active_run> runs_;  // by task
  std::map<std::string, uint32_t> last_ended_;
  std::vector<listed_end> ends_;
  std::atomic<bool> stopped_{false};
  http_server server_;
  std::thread loop_;
};

// Runs on all workers, in the order in which they began.
std::vector<run_record> AllRuns();

// ---- [5] Processes ----------------------------------------------------------

class process {
 public:
  process(std::vector<std::string> command, std::string log);
  ~process();
  process(const process&) = delete;
  process& operator=(const process&) = delete;

  void Start();
  void Signal(int number) const;
  void Kill();  // and waits for its end
  bool IsRunning();
  // Waits for its end; returns whether it ended.
  bool WaitForEnd(int64_t ms);

 private:
  std::vector<std::string> command_;
  std::string log_;
  pid_t pid_ = -1;
};

// ---- [6] The deployment -----------------------------------------------------

struct deployment_options {
  int entries = 3;
  int workers = 4;
  worker_options worker;
  store_options storage;
  double stop_grace_s = 6;
  int max_attempts = 3;
};

// The programs of the deploy file with settings as its templates render them,
// and the stand-ins above.
class deployment {
 public:
  explicit deployment(deployment_options options);
  deployment(const deployment&) = delete;
  deployment& operator=(const deployment&) = delete;

  // Whether all is up and a first job has been served.
  bool IsServing();
  // Writes a config with so many routes; the first prefix is /lohu930/, the
  // second /lohu931/, ...
  void WriteConfig(int version, int routes);
  // Ends all processes and removes their files. Nothing may be called after.
  void End();

  http_answer Post(size_t entry, const std::string& id, const json& job);
  http_answer Get(size_t entry, const std::string& id);
  http_answer Cancel(size_t entry, const std::string& id);
  // Any call of a client.
  http_answer CallEntry(size_t entry,
                        const std::string& method,
                        const std::string& path,
                        const std::string& body);
  // The number of waiting jobs; -1: no answer with one.
  int Waiting(size_t entry);
  std::string NextId();

  rig::store& Store() { return store_; }
  const std::string& StoreOfEntry(size_t i) { return store_of_entry_[i]; }
  const std::string& StoreOfSidecar(size_t i) { return store_of_sidecar_[i]; }
  std::vector<std::unique_ptr<worker>>& Workers() { return workers_; }
  process& Entry(size_t i) { return *entries_[i]; }
  process& Sidecar(size_t i) { return *sidecars_[i]; }

 private:
  std::string WriteSettings(const json& settings);
  void AddWorker(int i);
  void AddEntry(int i);

  deployment_options options_;
  std::string folder_;
  rig::store store_;
  std::vector<std::unique_ptr<worker>> workers_;
  std::vector<std::unique_ptr<process>> sidecars_;
  std::vector<std::unique_ptr<process>> entries_;
  std::vector<std::string> callers_;
  std::vector<std::string> ready_;
  std::vector<std::string> store_of_entry_;
  std::vector<std::string> store_of_sidecar_;
  uint64_t next_id_ = 0;
};

// A job with one step.
json Job(const std::string& spec, int tasks, int64_t cpu, int64_t estimate_ms);

}  // namespace rig

#endif  // CASSIAFERRY_REVIEW_LIB_2_RIG_H_
