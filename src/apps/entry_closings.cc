// Closed failure domains of an entry: the operators' call, the platform's row,
// other entries.
//
// Contents
//   [1] The row
//   [2] The operators' call
//   [3] Other entries

#include <nlohmann/json.hpp>

#include "app.h"
#include "cassiaferry/json_fields.h"
#include "entry_app.h"
#include "event_log.h"

namespace cassiaferry {

using nlohmann::json;

namespace {

constexpr char kPart[] = "entry";
constexpr std::string_view kDomains = "/v1/domains";
constexpr int kTries = 4;  // reads of the row; another operator may write too
constexpr int64_t kRetryMs = 1000;

// ---- [1] The row ------------------------------------------------------------

std::set<std::string> ReadNames(const json& names) {
  std::set<std::string> read;
  if (!names.is_array())
    return read;
  for (const json& name : names) {
    if (name.is_string())
      read.insert(name.get<std::string>());
  }
  return read;
}

// No row yet: nothing was ever closed. Empty: the row can't be read.
std::optional<closed_domains> ReadRow(const std::optional<table_row>& row) {
  if (!row)
    return closed_domains();
  const json value = ParseRecord(row->value);
  if (!value.is_object() || !value.contains("closed"))
    return std::nullopt;
  return closed_domains{closed_domains_version{row->version},
                        ReadNames(value["closed"])};
}

json ToJson(const closed_domains& closings) {
  return {{"version", closings.version.value}, {"closed", closings.domains}};
}

}  // namespace

void entry_app::TakeClosingsRow(const table_row& row) {
  {
    const std::lock_guard lock(mutex_);
    if (row.version <= closings_.version.value)
      return;
  }
  if (auto read = ReadRow(row))
    loop_.Post(closed_domains_read{std::move(*read)});
  else
    LogEvent(kPart, "closings unreadable", {{"row_version", row.version}});
}

// ---- [2] The operators' call ------------------------------------------------

// GET: what is closed. PUT /v1/domains/NAME {"closed": BOOL}.
bool entry_app::OnDomains(const http_request& r) {
  if (!r.path.starts_with(kDomains))
    return false;
  const std::string rest = r.path.substr(kDomains.size());
  const bool reads = r.method == "GET" && rest.empty();
  const bool writes = r.method == "PUT" && rest.size() > 1 && rest[0] == '/';
  if (!reads && !writes)
    return false;
  if (!IsAdmin(r))
    return true;
  if (reads) {
    const std::lock_guard lock(mutex_);
    ReplyJson(r.ticket, 200, ToJson(closings_));
    return true;
  }
  const json body = ParseRecord(r.body);
  if (!body.is_object() || !body.contains("closed") ||
      !body["closed"].is_boolean()) {
    Refuse(r.ticket, {verdict::not_run, reason::bad_request,
                      "needs {\"closed\": true} or {\"closed\": false}", 0});
    return true;
  }
  if (HasLeasedJobs()) {
    Refuse(r.ticket, {verdict::not_run, reason::not_supported,
                      "here domains are closed in the platform's store", 0});
    return true;
  }
  SetDomain(r.ticket, rest.substr(1), body["closed"].get<bool>(), kTries);
  return true;
}

// Reads the row until it says what is wanted, and writes it if it doesn't.
// Failure guarded against: the reply to a write is lost after it took effect;
// read again, the row tells.
void entry_app::SetDomain(ticket_id ticket,
                          const std::string& domain,
                          bool close,
                          int tries_left) {
  platform_.Read(
      {kClosingsRow}, [this, ticket, domain, close, tries_left](
                          bool ok, std::vector<std::optional<table_row>> rows) {
        const verdict so_far =
            tries_left == kTries ? verdict::not_run : verdict::may_have_run;
        const std::optional<closed_domains> now =
            ok && rows.size() == 1 ? ReadRow(rows[0]) : std::nullopt;
        if (!now) {
          Refuse(ticket, {so_far, reason::platform_unavailable,
                          "the platform's table can't be read", kRetryMs});
          return;
        }
        if ((now->domains.count(domain) != 0) == close) {
          if (rows[0])
            TakeClosingsRow(*rows[0]);
          ReplyJson(ticket, 200, ToJson(*now));
        } else if (tries_left == 0) {
          Refuse(ticket,
                 {so_far, reason::config_conflict,
                  "others change the closed domains; look and try again",
                  kRetryMs});
        } else {
          WriteDomain(ticket, domain, close, tries_left, rows[0], now->domains);
        }
      });
}

void entry_app::WriteDomain(ticket_id ticket,
                            const std::string& domain,
                            bool close,
                            int tries_left,
                            const std::optional<table_row>& row,
                            std::set<std::string> domains) {
  if (close)
    domains.insert(domain);
  else
    domains.erase(domain);
  table_op op;
  op.kind =
      row ? table_op_kind::replace_if_version : table_op_kind::insert_if_absent;
  op.key = kClosingsRow;
  op.version = row ? row->version : 0;
  op.value = json{{"closed", domains}}.dump();
  platform_.Transact({op}, [this, ticket, domain, close, tries_left](
                               bool, const std::vector<table_result>&) {
    SetDomain(ticket, domain, close, tries_left - 1);
  });
}

// ---- [3] Other entries ------------------------------------------------------

// The control thread has taken a newer state.
void entry_app::AdoptClosings(const closed_domains_adopted& adopted) {
  {
    const std::lock_guard lock(mutex_);
    closings_ = adopted.closed_set;
  }
  if (!adopted.changed)
    return;
  LogEvent(kPart, "failure domains closed",
           {{"domains", ToText(adopted.closed_set)},
            {"version", adopted.closed_set.version.value}});
  if (!HasLeasedJobs())
    GreetPeers();
}

void entry_app::TakePeerClosings(const json& told) {
  if (!told.is_object())
    return;
  const closed_domains_version version{
      NumberField(told, "version", uint64_t{0})};
  const json* domains = FindField(told, "domains");
  loop_.Post(closed_domains_received{
      {version, domains != nullptr ? ReadNames(*domains) : ReadNames({})}});
}

}  // namespace cassiaferry
