// The operators' settings at a sidecar: the configuration, which it requests
// from one entry, and the closed failure domains, which entries send by
// themselves. The sidecar keeps both and relays them to entries that lack them.
//
// Entries report their version of the configuration with every frame, and send
// the document only on request. Failure guarded against: each entry sends each
// change to each sidecar. A change of 7 kB for 15 sidecars takes all of a link
// of 250 kB/s for 0.4 s, and over an overloaded link an entry received a change
// 6 s late.

#include <algorithm>

#include "sidecar_systems.h"

namespace cassiaferry {

namespace {

// An entry that is behind the others for this long can't read the store:
// entries that can are up to date within some tens of milliseconds.
constexpr micros kBehindFor = Millis(200);
// If no entry is behind, sidecars send their requests at random times within
// this, so that the answers don't fill a small link. Until then the version is
// lost if all entries crash at once while the store is down.
constexpr micros kRequestWithin = Millis(500);
constexpr micros kRequestAgain = Millis(500);  // if the answer was lost
// All sidecars notice an entry that is behind. Each waits for a random time
// within this: once the entry has received the document from the first, it
// reports the new version, and the others don't send it.
constexpr micros kRelayWithin = Millis(100);
constexpr micros kRelayAgain = Millis(500);

bool IsUp(const entry_link& link) {
  return link.state == link_state::up;
}

bool SomeEntryIsBehind(const sidecar_state& s) {
  return std::any_of(
      s.links.begin(), s.links.end(), [&](const entry_link& link) {
        return IsUp(link) && link.version < s.config_search.newest;
      });
}

// A random entry that has the newest version; null if no linked entry has it.
entry_link* PickConfigHolder(sidecar_state& s) {
  std::vector<entry_link*> holders;
  for (entry_link& link : s.links) {
    if (IsUp(link) && link.version == s.config_search.newest)
      holders.push_back(&link);
  }
  return holders.empty() ? nullptr : holders[s.random() % holders.size()];
}

bool IsBehind(const sidecar_state& s, const entry_link& link) {
  return link.version < s.config.version ||
         link.closed_as_of < s.closed_domains.known.version;
}

void HandleClosedDomains(sidecar_state& s, const closed_domains& received) {
  if (!UpdateClosedDomainsFromPeer(s.closed_domains, received))
    return;
  const bool closed = IsClosed(s.closed_domains, s.options.failure_domain);
  s.actions.emplace_back(lease_manager_action{lease_manager_log{
      "failure domains closed",
      ToText(s.closed_domains.known) + ", version " +
          std::to_string(s.closed_domains.known.version.value) +
          (closed ? ", this one among them" : "")}});
  SetClosed(s.lease_manager, closed);
}

micros RandomWithin(sidecar_state& s, micros time) {
  return micros{
      static_cast<int64_t>(s.random() % static_cast<uint64_t>(time.value))};
}

}  // namespace

void RecordOperatorState(sidecar_state& s,
                         micros now,
                         entry_id id,
                         const entry_frame& frame) {
  entry_link& link = s.links[id.value];
  link.version = frame.version;
  link.closed_as_of = frame.closed_version;
  if (frame.closed_set)
    HandleClosedDomains(s, *frame.closed_set);
  if (frame.config && frame.config->version > s.config.version)
    s.config = *frame.config;
  config_search& search = s.config_search;
  if (frame.version > search.newest) {
    search.newest = frame.version;
    search.newest_received_at = now;
    search.request_at = now + RandomWithin(s, kRequestWithin);
  }
}

void RequestConfig(sidecar_state& s, micros now) {
  config_search& search = s.config_search;
  if (search.newest <= s.config.version)
    return;
  const bool urgent =
      now - search.newest_received_at >= kBehindFor && SomeEntryIsBehind(s);
  if ((now < search.request_at && !urgent) ||
      now - search.requested_at < kRequestAgain)
    return;
  entry_link* holder = PickConfigHolder(s);
  if (holder == nullptr)
    return;
  search.requested_at = now;
  holder->outbox.wants_config = true;
  holder->must_send = true;
}

// Sends newer state to entries that are behind this sidecar. An entry that was
// started during a platform outage becomes ready this way and receives the
// closed domains.
void RelayOperatorState(sidecar_state& s, micros now) {
  for (entry_link& link : s.links) {
    if (!IsUp(link) || !IsBehind(s, link)) {
      link.relay_at = {};
      continue;
    }
    if (link.relay_at.value == 0)
      link.relay_at = now + RandomWithin(s, kRelayWithin);
    if (now < link.relay_at)
      continue;
    link.relay_at = now + kRelayAgain;
    if (link.version < s.config.version)
      link.outbox.config = s.config;
    if (link.closed_as_of < s.closed_domains.known.version)
      link.outbox.closed_set = s.closed_domains.known;
    link.must_send = true;
  }
}

}  // namespace cassiaferry
