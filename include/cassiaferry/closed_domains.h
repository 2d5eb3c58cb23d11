// Failure domains that operators have closed to new work.
//
// No task starts on a worker of a closed domain; tasks that already run there
// continue to their end. Operators write to the platform's store, which
// numbers its versions. Entries read the set of closed domains there and send
// it to sidecars, which forward it to entries that can't reach the store. The
// set with the highest version replaces the others as a whole, in whatever
// order messages arrive.
//
// Contents
//   [1] Types
//   [2] Reading from the store
//   [3] Updates
//   [4] Text output

#ifndef CASSIAFERRY_CLOSED_DOMAINS_H_
#define CASSIAFERRY_CLOSED_DOMAINS_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "cassiaferry/ids.h"

namespace cassiaferry {

// ---- [1] Types --------------------------------------------------------------

using closed_domains_version =
    strong_id<struct closed_domains_tag, uint64_t>;  // version of the store

// The set of closed domains as of one version of the store.
struct closed_domains {
  closed_domains_version version;  // 0: no set received yet
  std::set<std::string> domains;
  bool operator==(const closed_domains&) const = default;
};

// The closed domains known to one process.
struct closed_domains_state {
  closed_domains known;  // in force here
  closed_domains read;   // newest set read by this process itself
};

// ---- [2] Reading from the store ---------------------------------------------

enum class domain_status : uint8_t { closed, open, unreadable };

// The row of one domain in the store.
struct domain_status_row {
  std::string domain;
  domain_status status = domain_status::closed;
};

// Builds the set as of `version` from one response of the store. If the
// response is complete, a domain without a row is open; otherwise it keeps its
// status. An unreadable row changes nothing: a closed domain stays closed.
closed_domains ClosedDomainsFromRows(const closed_domains& before,
                                     const std::vector<domain_status_row>& rows,
                                     bool complete,
                                     closed_domains_version version);

// ---- [3] Updates ------------------------------------------------------------

// Applies a set that this process has read from the store. Returns whether the
// domains in force here changed.
bool UpdateClosedDomainsFromStore(closed_domains_state& s, closed_domains read);

// Applies a set received from another process. Returns whether the domains in
// force here changed.
//
// Failure guarded against: a domain is closed and reopened while this process
// can't read the store, so its next read equals what it knew before. A process
// that missed the reopening then sends the closed state. Its version is lower
// than that of the read, so the state read here applies instead.
bool UpdateClosedDomainsFromPeer(closed_domains_state& s,
                                 const closed_domains& received);

bool IsClosed(const closed_domains_state& s, const std::string& domain);

// ---- [4] Text output --------------------------------------------------------

// For logs: "a b", or "none".
std::string ToText(const closed_domains& closed);
std::string ClosedDomainsPrometheusText(const closed_domains_state& s);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_CLOSED_DOMAINS_H_
