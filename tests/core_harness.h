// Harness that runs an entry and sidecars by hand on virtual time.

#ifndef CASSIAFERRY_TESTS_CORE_HARNESS_H_
#define CASSIAFERRY_TESTS_CORE_HARNESS_H_

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "cassiaferry/entry.h"
#include "cassiaferry/sidecar.h"

namespace cassiaferry::testing {

// Actions of one kind, in order.
template <typename Kind, typename Action>
std::vector<Kind> ActionsOfKind(const std::vector<Action>& actions) {
  std::vector<Kind> found;
  for (const Action& action : actions) {
    if (const Kind* match = std::get_if<Kind>(&action))
      found.push_back(*match);
  }
  return found;
}

config_document MakeConfig(uint64_t version, const std::string& kind);
job_request MakeRequest(size_t tasks, const std::string& key = "");

// One entry and several sidecars, connected by simulated streams, so that a
// test can lose, hold back or reorder frames.
class core_simulation {
 public:
  explicit core_simulation(int sidecars,
                           const std::string& policy = "slot_offer");

  // Advances time by `ms` in small steps; frames arrive within the step in
  // which they are sent.
  void Advance(int64_t ms);
  void Submit(uint64_t ticket, job_request request);
  void Announce(int sidecar, uint32_t slots, uint32_t cores = 16);
  void WithdrawUpstream(int sidecar);
  // Finishes the task that has run longest there.
  void FinishOne(int sidecar, bool ok = true);
  void FinishAll(int sidecar);
  void CutStream(int sidecar);     // both ends see the stream close
  void CrashSidecar(int sidecar);  // it restarts as a new incarnation

  const answer_complete* Complete(uint64_t ticket) const;
  const answer_failed* Failed(uint64_t ticket) const;

  entry_state entry;
  std::vector<sidecar_state> sidecars;
  // By sidecar: the tasks that its upstream runs.
  std::vector<std::vector<run_task>> running;
  std::map<std::string, int> starts;  // by task, summed over all upstreams
  // By sidecar: frames are dropped, the stream stays open.
  std::vector<bool> silent;
  std::vector<bool> frozen;  // by sidecar: it isn't ticked at all
  // Requests that the entry made to the platform.
  std::vector<claim_action> claims;
  std::vector<entry_event> inbox;  // for the entry's next tick
  micros now = Millis(1000);

 private:
  struct stream {
    bool open = false;
    link_epoch epoch;
    link_id link;
  };

  void Step();
  void TickSidecar(int i, std::vector<sidecar_event> events);
  void TickEntry();

  std::vector<stream> streams_;
  std::vector<upstream_info> announced_;  // slots 0: not announced
  std::vector<std::vector<sidecar_event>> to_sidecars_;
  std::map<uint64_t, answer_complete> complete_;
  std::map<uint64_t, answer_failed> failed_;
  uint64_t next_link_ = 1;
  uint64_t next_incarnation_ = 100;
};

}  // namespace cassiaferry::testing

#endif  // CASSIAFERRY_TESTS_CORE_HARNESS_H_
