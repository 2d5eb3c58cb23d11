// cassiaferry-entry: takes jobs over HTTP, places their tasks, answers.

#include <gflags/gflags.h>

#include <array>

#include "app.h"
#include "entry_app.h"
#include "event_log.h"

DEFINE_string(settings, "", "settings file (JSON); see docs/OPERATIONS.md");
DEFINE_string(
    http,
    "",
    "ip:port to listen on for callers, instead of the settings' \"http\"");
DEFINE_string(
    link,
    "",
    "ip:port to listen on for sidecars, instead of the settings' \"link\"");

namespace cassiaferry {
namespace {

const std::vector<field_rule> kRules = {
    {"name", field_kind::text, 1, 128, true},
    {"failure_domain", field_kind::text, 1, 128, true},
    {"http", field_kind::text, 3, 64, true},
    {"link", field_kind::text, 3, 64, true},
    {"advertise_http", field_kind::text, 3, 64},
    {"advertise_link", field_kind::text, 3, 64},
    {"platform", field_kind::text, 3, 64},
    {"peers", field_kind::array, 0, 1000},
    {"admin_token", field_kind::text, 8, 256},
    {"max_body_bytes", field_kind::integer, 1024, 64 << 20},
    {"max_connections", field_kind::integer, 1, 100'000},
    {"memory_mb", field_kind::integer, 64, 1 << 20},
    {"traffic_threads", field_kind::integer, 1, 64},
    {"callers", field_kind::text, 3, 64},
    {"ready", field_kind::text, 3, 64},
    {"store", field_kind::text, 3, 64},
    {"lease_max_ms", field_kind::integer, 100, 600'000},
    {"resend_after_ms", field_kind::integer, 300, 600'000},
    {"stop_grace_s", field_kind::number, 0.1, 600},
    {"order", field_kind::text, 1, 64},
    {"admission", field_kind::text, 1, 64},
    {"link_mbps", field_kind::number, 0.1, 1e6},
    {"shares", field_kind::text, 1, 64},
    {"uneven_workers", field_kind::text, 1, 64},
    {"shed_connections", field_kind::text, 1, 64},
};

void CheckAddress(const nlohmann::json& value, const std::string& path) {
  std::string ip;
  uint16_t port = 0;
  if (!value.is_string() || !SplitAddress(value, ip, port))
    Die(kExitBadInput,
        FLAGS_settings + ": " + path + ": must be of the form ip:port");
}

leased_order ReadOrder(const std::string& text) {
  constexpr std::array<const char*, 4> kNames = {"first_come", "earliest_start",
                                                 "priority", "fair_share"};
  for (size_t i = 0; i < kNames.size(); ++i) {
    if (text == kNames[i])
      return static_cast<leased_order>(i);
  }
  Die(kExitBadInput, FLAGS_settings +
                         ": /order: must be one of first_come, "
                         "earliest_start, priority, fair_share");
}

leased_admission ReadAdmission(const std::string& text) {
  if (text == "useful")
    return leased_admission::useful;
  if (text == "in_time")
    return leased_admission::in_time;
  Die(kExitBadInput,
      FLAGS_settings + ": /admission: must be one of useful, in_time");
}

// A member that takes one of two texts; absent: the first. Returns whether it
// is the second.
bool ReadChoice(const nlohmann::json& j,
                const char* member,
                const char* first,
                const char* second) {
  const std::string text = j.value(member, first);
  if (text != first && text != second)
    Die(kExitBadInput, FLAGS_settings + ": /" + member + ": must be one of " +
                           first + ", " + second);
  return text == second;
}

entry_settings ReadEntrySettings(nlohmann::json j) {
  if (!FLAGS_http.empty())
    j["http"] = FLAGS_http;
  if (!FLAGS_link.empty())
    j["link"] = FLAGS_link;
  for (const char* name : {"http", "link", "advertise_http", "advertise_link",
                           "platform", "callers", "ready", "store"}) {
    if (j.contains(name))
      CheckAddress(j[name], std::string("/") + name);
  }
  entry_settings s;
  s.name = j["name"];
  s.failure_domain = j["failure_domain"];
  s.http = j["http"];
  s.link = j["link"];
  s.advertise_http = j.value("advertise_http", "");
  s.advertise_link = j.value("advertise_link", "");
  s.platform = j.value("platform", "");
  for (const nlohmann::json& peer : j.value("peers", nlohmann::json::array())) {
    CheckAddress(peer, "/peers");
    s.peers.push_back(peer);
  }
  s.admin_token = j.value("admin_token", "");
  s.callers = j.value("callers", "");
  s.ready = j.value("ready", "");
  s.store = j.value("store", "");
  if (!s.callers.empty() && (s.ready.empty() || s.store.empty()))
    Die(kExitBadInput,
        FLAGS_settings + ": /callers: needs \"ready\" and \"store\" too");
  if (s.callers.empty() && s.admin_token.empty())
    Die(kExitBadInput, FLAGS_settings + ": /admin_token: is missing");
  s.lease_max_ms = j.value("lease_max_ms", s.lease_max_ms);
  s.resend_after_ms = j.value("resend_after_ms", s.resend_after_ms);
  s.stop_grace_ms = static_cast<int64_t>(j.value("stop_grace_s", 6.0) * 1000);
  s.admission = ReadAdmission(j.value("admission", "in_time"));
  s.link_mbps = j.value("link_mbps", s.link_mbps);
  s.order = ReadOrder(j.value("order", "fair_share"));
  s.shares_across_entries = ReadChoice(j, "shares", "own", "all_entries");
  s.adapts_to_uneven_workers = ReadChoice(j, "uneven_workers", "off", "auto");
  s.sheds_connections = ReadChoice(j, "shed_connections", "off", "auto");
  s.max_body_bytes = j.value("max_body_bytes", s.max_body_bytes);
  s.max_connections = j.value("max_connections", s.max_connections);
  s.memory_mb = j.value("memory_mb", s.memory_mb);
  s.traffic_threads = j.value("traffic_threads", s.traffic_threads);
  return s;
}

// A file that can't be used changes nothing: what is in force stays.
void Reload(entry_app& app) {
  std::string error;
  nlohmann::json j = ReReadSettings(FLAGS_settings, kRules, error);
  if (error.empty())
    app.Reload(ReadEntrySettings(std::move(j)));
  else
    LogEvent("entry", "settings not reloaded", {{"why", error}});
}

}  // namespace
}  // namespace cassiaferry

int main(int argc, char** argv) {
  using namespace cassiaferry;
  InitApp(
      "cassiaferry-entry --settings FILE\nTakes jobs over HTTP and dispatches "
      "their tasks.",
      &argc, &argv);
  entry_settings settings =
      ReadEntrySettings(ReadSettings(FLAGS_settings, kRules));
  HandleSignals("entry: ");
  entry_app app(std::move(settings));
  app.Start();
  OnStop([&app] { app.Drain(); });
  const auto reload = [&app] { Reload(app); };
  OnReload(FLAGS_settings, reload);
  app.Run();
  OnReload({}, {});
  return kExitOk;
}
