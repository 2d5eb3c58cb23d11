// Failure domains that are closed to new work.

#include "cassiaferry/closed_domains.h"

#include <utility>

#include "cassiaferry/metrics.h"

namespace cassiaferry {

namespace {

bool Adopt(closed_domains_state& s, const closed_domains& newer) {
  const bool changed = s.known.domains != newer.domains;
  s.known = newer;
  return changed;
}

}  // namespace

closed_domains ClosedDomainsFromRows(const closed_domains& before,
                                     const std::vector<domain_status_row>& rows,
                                     bool complete,
                                     closed_domains_version version) {
  closed_domains read{version,
                      complete ? std::set<std::string>() : before.domains};
  for (const domain_status_row& row : rows) {
    const bool was_closed = before.domains.count(row.domain) != 0;
    if (row.status == domain_status::closed ||
        (row.status == domain_status::unreadable && was_closed))
      read.domains.insert(row.domain);
    else
      read.domains.erase(row.domain);
  }
  return read;
}

// A read that equals the known set doesn't raise the known version. Otherwise
// each process that starts would send the unchanged set to all others.
bool UpdateClosedDomainsFromStore(closed_domains_state& s,
                                  closed_domains read) {
  if (read.version < s.read.version)
    return false;
  s.read = std::move(read);
  const bool newer = s.read.version > s.known.version;
  return newer && s.read.domains != s.known.domains && Adopt(s, s.read);
}

bool UpdateClosedDomainsFromPeer(closed_domains_state& s,
                                 const closed_domains& received) {
  if (received.version <= s.known.version)
    return false;
  const bool outdated =
      received.version <= s.read.version && received.domains != s.read.domains;
  return Adopt(s, outdated ? s.read : received);
}

bool IsClosed(const closed_domains_state& s, const std::string& domain) {
  return s.known.domains.count(domain) != 0;
}

std::string ToText(const closed_domains& closed) {
  std::string text;
  for (const std::string& domain : closed.domains)
    text += (text.empty() ? "" : " ") + domain;
  return text.empty() ? "none" : text;
}

std::string ClosedDomainsPrometheusText(const closed_domains_state& s) {
  std::string out;
  AppendMetric(out, "cassiaferry_closings_version", "",
               static_cast<double>(s.known.version.value));
  for (const std::string& domain : s.known.domains)
    AppendMetric(out, "cassiaferry_domain_closed", "domain=\"" + domain + "\"",
                 1);
  return out;
}

}  // namespace cassiaferry
