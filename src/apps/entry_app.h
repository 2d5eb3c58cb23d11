// cassiaferry-entry: wiring of the entry's decisions to HTTP, streams and the
// platform.
//
// Threads: HTTP threads parse and post events; the control thread polls the
// streams, ticks, and sends what a tick decided.

#ifndef CASSIAFERRY_SRC_APPS_ENTRY_APP_H_
#define CASSIAFERRY_SRC_APPS_ENTRY_APP_H_

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "../net/control_loop.h"
#include "../net/http_client.h"
#include "../net/http_server.h"
#include "../net/link_server.h"
#include "../net/platform_client.h"
#include "../net/row_watch.h"
#include "cassiaferry/directory.h"
#include "cassiaferry/entry.h"
#include "cassiaferry/shedding.h"

namespace cassiaferry {

struct entry_settings {
  std::string name;
  std::string failure_domain;
  std::string http;            // ip:port to listen on for callers
  std::string link;            // ip:port to listen on for sidecars
  std::string advertise_http;  // what others dial; empty: as listened on
  std::string advertise_link;
  std::string platform;  // ip:port; empty: none
  std::vector<std::string>
      peers;  // HTTP addresses of entries known from the start
  std::string admin_token;
  size_t max_body_bytes = 2 << 20;
  size_t max_connections = 512;
  size_t memory_mb = 120;  // of the machine, for this process
  size_t traffic_threads = 2;
  // Leased jobs, on a platform with a store of rows.
  std::string callers;  // ip:port where the platform's callers arrive; empty:
                        // this entry takes no leased jobs
  std::string ready;    // ip:port where the platform asks for readiness
  std::string store;    // ip:port of the store
  int64_t lease_max_ms = 1000;     // longest lease that workers accept
  int64_t resend_after_ms = 1300;  // callers send again after this
  int64_t stop_grace_ms = 6000;    // from the stop signal to the end
  leased_admission admission = leased_admission::in_time;
  double link_mbps = 0;  // of the machine's link; 0: not known
  leased_order order = leased_order::fair_share;
  bool shares_across_entries = false;
  bool adapts_to_uneven_workers = false;
  // Callers are moved to other entries while this one is short of processor
  // time.
  bool sheds_connections = false;
};

// Row of the platform's table that holds the closed failure domains.
constexpr char kClosingsRow[] = "closed_domains";

// A caller's name of a durable job; apart from the names that entries give.
bool IsDurableId(const std::string& id);

// What of the settings may change while the process runs, into its options.
void ApplyLeaseSettings(const entry_settings& settings, entry_options& options);

// What a peer says of itself, and what it knows.
struct peer_row {
  std::string http_address;
  std::string link_address;
  micros last_heard{0};
};

enum class directory_state : uint8_t {
  due,       // the row is to be checked, from a given time on
  checking,  // a call to the store is under way
  done,      // the row was read, and is as it should be
};

class entry_app {
 public:
  explicit entry_app(entry_settings settings);
  ~entry_app();

  void Start();  // exits the process if an address can't be had
  void Drain();  // any thread
  // Any thread. Takes up what may change while the process runs; addresses and
  // names need a restart.
  void Reload(const entry_settings& settings);
  void Run();  // until drained

 private:
  // Routes (entry_http.cc); on HTTP threads.
  void OnRequest(const http_request& r);
  void OnJob(const http_request& r);
  bool OnView(const http_request& r);
  bool OnConfig(const http_request& r);
  bool OnInternal(const http_request& r);
  bool IsAdmin(const http_request& r);
  void Refuse(ticket_id ticket, const failure& f);
  void ReplyJson(ticket_id ticket, int status, const nlohmann::json& body);
  void ReplyReady(ticket_id ticket);

  // Leased jobs (entry_leased.cc).
  bool HasLeasedJobs() const { return !settings_.callers.empty(); }
  void StartLeased();
  void LogStart();  // after the ready line, which comes first
  void RecordCallersDelay(micros now);
  void TickLeased();             // on the control thread, before each tick
  void UpdateReady(micros now);  // too
  void DropCallersLeft(std::vector<entry_event>& events);  // too
  void OnCall(http_request r);
  void TakeCall(const http_request& r);  // on the control thread
  void SubmitCall(const http_request& r, const queue_config& queue);
  void TakeConfigRow(const stored_row& row);
  void TakeOperatorRows(const rows_reply& reply, bool whole);
  void CallStore(const store_call& call);
  void CheckDirectoryRow();
  void WriteDirectory(const std::string& row);
  void CheckDirectoryRowAfter(micros delay);
  void ChangeReach(reach_changed change);
  void LogDecision(const leased_decision& decision);
  void LogShedding(const shedding_decision& decision);
  bool ClosesAfterAnswer(ticket_id ticket);
  void AnswerCaller(ticket_id ticket, http_response response);
  void ActLeased(entry_action& action);

  // Durable jobs on the product's own interface (entry_durable.cc).
  void OnDurableJob(const http_request& r, const nlohmann::json& body);
  void OnDurableState(ticket_id ticket, const std::string& id);
  void AnswerDurable(const answer_leased_job& answer);
  void AnswerDurable(const answer_leased_state& answer);
  void AnswerDurable(const answer_cancelled& answer);

  // Configuration and peers (entry_platform.cc).
  void PutConfig(const http_request& r);
  void PutConfigObject(ticket_id ticket, const config_document& document);
  void CommitConfig(ticket_id ticket, const config_document& document);
  void CompareAndSwap(ticket_id ticket,
                      const config_document& document,
                      const std::optional<table_row>& row);
  void ResolveCommit(ticket_id ticket, const config_document& document);
  void AcceptConfig(ticket_id ticket, const config_document& document);
  void ConfigConflict(ticket_id ticket,
                      uint64_t version,
                      const std::string& author);
  void AdoptDocument(const config_document& document);
  void PollConfig();
  void FetchConfig(const std::string& row_value);
  void RefreshDirectory();
  void GreetPeers();
  void GreetPeer(const std::string& http_address);
  void TakePeerAnswer(const std::string& http_address, const http_reply& reply);
  void LearnPeer(const std::string& http_address,
                 const std::string& link_address);
  void ForgetSilentPeers();
  void PublishPeers();
  std::vector<std::string> PeerAddresses();  // HTTP
  nlohmann::json Greeting(config_version known);
  void Background();        // every second, on the background thread
  void FinishFirstRound();  // when every source of configuration has answered
                            // or failed

  // Closed failure domains (entry_closings.cc).
  bool OnDomains(const http_request& r);
  void SetDomain(ticket_id ticket,
                 const std::string& domain,
                 bool close,
                 int tries_left);
  void WriteDomain(ticket_id ticket,
                   const std::string& domain,
                   bool close,
                   int tries_left,
                   const std::optional<table_row>& row,
                   std::set<std::string> domains);
  void TakeClosingsRow(const table_row& row);
  void TakePeerClosings(const nlohmann::json& told);
  void AdoptClosings(const closed_domains_adopted& adopted);

  bool MayStop();
  void RefuseCallers();

  // Actions (entry_app.cc); on the control thread.
  void Act(entry_action& action);
  void ActClaim(claim_action& action);
  void Ask(const owner_query& ask);
  void Answer(const answer_complete& answer);
  void Answer(const answer_failed& answer);
  static http_response FailureResponse(const answer_failed& answer);

  entry_settings settings_;
  entry_state state_;  // control thread only
  control_loop<entry_event> loop_;
  http_client http_client_;
  platform_client platform_;
  std::unique_ptr<link_server> links_;
  std::unique_ptr<http_server> http_;
  std::unique_ptr<http_server> callers_;
  std::unique_ptr<http_server> ready_server_;
  row_store store_;
  std::unique_ptr<row_watch> config_watch_;  // control thread only
  closed_domains closings_read_;             // too; from the operator's rows
  micros last_tick_{0};                      // control thread only
  size_t submitted_bytes_ =
      0;  // of jobs for the next tick; control thread only
  micros next_look_at_callers_{0};  // control thread only
  bool store_connected_ = false;    // control thread only
  shedding shedding_;               // control thread only
  // Of this entry's row in the directory; control thread only, as what follows.
  directory_state directory_state_ = directory_state::due;
  micros next_directory_check_{0};
  directory_row directory_row_;
  std::thread background_;
  std::atomic<bool> stopped_{false};
  std::atomic<bool> draining_{false};
  bool drained_ = false;  // control thread only
  micros drained_at_{0};
  bool refuses_callers_ = false;  // control thread only

  std::mutex mutex_;                       // guards what follows
  config_document document_;               // newest known to any thread
  closed_domains closings_;                // in force
  std::map<std::string, peer_row> peers_;  // by HTTP address
  int first_round_open_ = 1;               // sources not yet heard at the start
  bool first_round_done_ = false;
  std::atomic<bool> ready_{false};  // has a configuration, first round done,
                                    // not draining, connections are not shed
};

}  // namespace cassiaferry

#endif  // CASSIAFERRY_SRC_APPS_ENTRY_APP_H_
