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

#ifndef CASSIAFERRY_CLOSINGS_H_
#define CASSIAFERRY_CLOSINGS_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "cassiaferry/ids.h"

namespace cassiaferry {

// ---- [1] Types --------------------------------------------------------------

using closings_version = strong_id<struct closings_tag, uint64_t>;  // of the
                                                                    // store

// All domains that were closed at one moment.
struct domain_closings {
  closings_version version;  // the moment; 0: nothing has been heard
  std::set<std::string> domains;
  bool operator==(const domain_closings&) const = default;
};

// What one process knows.
struct closings_state {
  domain_closings known;  // in force here
  domain_closings read;   // as read by this process itself, and as of when
};

// ---- [2] Reading ------------------------------------------------------------

enum class closing_word : uint8_t { closed, open, unreadable };

// What stands of one domain where operators write.
struct domain_word {
  std::string domain;
  closing_word word = closing_word::closed;
};

// The state as of `version`, from one answer of the store. `whole`: a domain
// that isn't named is open; else it is as it was. What can't be read changes
// nothing: a domain that was closed stays so.
domain_closings ReadClosings(const domain_closings& before,
                             const std::vector<domain_word>& words,
                             bool whole,
                             closings_version version);

// ---- [3] Learning -----------------------------------------------------------

// This process has read the state from the store. True: the domains in force
// here have changed.
bool TakeReadClosings(closings_state& s, domain_closings read);

// Another process has told the state that it knows. True as above.
//
// Failure guarded against: a domain was closed and opened again while this
// process could not follow, so that what it reads is what it knew before; then
// somebody who only heard of the closing tells it. By its version that is older
// than what was read here.
bool TakeToldClosings(closings_state& s, const domain_closings& told);

bool IsClosed(const closings_state& s, const std::string& domain);

// ---- [4] Views --------------------------------------------------------------

// For logs: "a b", or "none".
std::string ToText(const domain_closings& closings);
std::string ClosingsPrometheusText(const closings_state& s);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_CLOSINGS_H_
