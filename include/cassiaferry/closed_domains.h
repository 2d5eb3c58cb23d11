// Failure domains that operators have closed for new work.
//
// Nothing starts on the workers of a closed domain; what runs there goes on to
// its end. The platform's store, where operators write, numbers its states;
// entries read them there, and pass them on to sidecars and, through these, to
// entries that can't read. The newest state wins, whole, whatever
// order messages arrive in.
//
// Contents
//   [1] Types
//   [2] Reading
//   [3] Learning
//   [4] Views

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
    strong_id<struct closed_domains_tag, uint64_t>;  // of the
                                                     // store

// All domains that were closed at one moment.
struct closed_domains {
  closed_domains_version version;  // the moment; 0: nothing has been heard
  std::set<std::string> domains;
  bool operator==(const closed_domains&) const = default;
};

// What one process knows.
struct closed_domains_state {
  closed_domains known;  // in force here
  closed_domains read;   // as read by this process itself, and as of when
};

// ---- [2] Reading ------------------------------------------------------------

enum class domain_status : uint8_t { closed, open, unreadable };

// What stands of one domain where operators write.
struct domain_status_row {
  std::string domain;
  domain_status status = domain_status::closed;
};

// The state as of `version`, from one answer of the store. `whole`: a domain
// that isn't named is open; else it is as it was. What can't be read changes
// nothing: a domain that was closed stays so.
closed_domains ClosedDomainsFromRows(
    const closed_domains& before,
    const std::vector<domain_status_row>& words,
    bool whole,
    closed_domains_version version);

// ---- [3] Learning -----------------------------------------------------------

// This process has read the state from the store. True: the domains in force
// here have changed.
bool UpdateClosedDomainsFromStore(closed_domains_state& s, closed_domains read);

// Another process has told the state that it knows. True as above.
//
// Failure guarded against: a domain was closed and opened again while this
// process could not follow, so that what it reads is what it knew before; then
// somebody who only heard of the closing tells it. By its version that is older
// than what was read here.
bool UpdateClosedDomainsFromPeer(closed_domains_state& s,
                                 const closed_domains& told);

bool IsClosed(const closed_domains_state& s, const std::string& domain);

// ---- [4] Views --------------------------------------------------------------

// For logs: "a b", or "none".
std::string ToText(const closed_domains& closings);
std::string ClosedDomainsPrometheusText(const closed_domains_state& s);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_CLOSED_DOMAINS_H_
