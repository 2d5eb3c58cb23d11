// cassiaferry-ctl: the operators' command line.
//
//   validate DIR          merge and check a folder, without an entry
//   diff DIR              what applying would change
//   apply DIR [--wait]    make it the configuration
//   get                   print the configuration
//   close DOMAIN          nothing new starts in the failure domain [--wait]
//   reopen DOMAIN         ... until then [--wait]
//   status                members, load, policies, refusals
//   explain JOB           what became of a job
//
// Contents
//   [1] The entry
//   [2] The folder
//   [3] Commands on configuration
//   [4] Closed failure domains
//   [5] Status
//   [6] Main

#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <thread>

#include "../net/http_client.h"
#include "app.h"

DEFINE_string(entry, "127.0.0.1:8080", "ip:port of any entry");
DEFINE_string(token,
              "",
              "admin token; empty: the environment's CASSIAFERRY_TOKEN");
DEFINE_string(author, "", "who applies; empty: the environment's USER");
DEFINE_int64(base,
             -1,
             "version that the folder was made from; -1: the one in force");
DEFINE_bool(wait,
            false,
            "apply, close, reopen: return once the change is in force "
            "everywhere");
DEFINE_int32(wait_s, 30, "--wait: give up after so many seconds");

namespace cassiaferry {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kPoll{50};

// ---- [1] The entry ----------------------------------------------------------

std::string FromEnvironment(const std::string& flag, const char* name) {
  const char* value = std::getenv(name);
  return flag.empty() && value != nullptr ? value : flag;
}

http_reply Call(const std::string& address,
                const std::string& method,
                const std::string& path,
                const std::string& body = "",
                std::vector<std::string> headers = {}) {
  headers.push_back("Authorization: Bearer " +
                    FromEnvironment(FLAGS_token, "CASSIAFERRY_TOKEN"));
  return Fetch(method, address, path, body, std::move(headers));
}

// Exits with the entry's own sentence unless it answered 200.
json Expect200(const http_reply& reply) {
  if (!reply.answered)
    Die(kExitFailed, "ctl: the entry at " + FLAGS_entry +
                         " does not answer: " + reply.error);
  json body = json::parse(reply.body, nullptr, false);
  if (reply.status != 200) {
    const std::string message =
        body.is_object() ? body.value("message", "") : reply.body;
    Die(kExitFailed,
        "ctl: refused (" + std::to_string(reply.status) + "): " + message);
  }
  return body;
}

// ---- [2] The folder ---------------------------------------------------------

json ReadFolder(const std::string& folder) {
  std::vector<config_file> files;
  std::error_code error;
  for (const auto& item : std::filesystem::directory_iterator(folder, error)) {
    if (item.path().extension() != ".json")
      continue;
    std::string why;
    config_file file{item.path().filename().string(),
                     ReadFile(item.path().string(), why)};
    if (!why.empty())
      Die(kExitBadInput, "ctl: " + item.path().string() + ": " + why);
    files.push_back(std::move(file));
  }
  if (error)
    Die(kExitBadInput, "ctl: " + folder + ": " + error.message());
  if (files.empty())
    Die(kExitBadInput, "ctl: " + folder + ": has no file that ends in .json");
  const merged_config merged = MergeConfig(std::move(files));
  if (merged.errors.empty())
    return merged.document;
  for (const std::string& sentence : merged.errors)
    std::cerr << "ctl: " << folder << "/" << sentence << "\n";
  Die(kExitBadInput, "ctl: " + std::to_string(merged.errors.size()) +
                         " errors; nothing was sent");
}

// ---- [3] Commands on configuration ------------------------------------------

int Validate(const std::string& folder) {
  const json config = ReadFolder(folder);
  std::printf("valid: %zu teams, %zu upstreams, %zu policies, default %s\n",
              config["teams"].size(), config["upstreams"].size(),
              config["policies"].size(),
              config["default_policy"].get<std::string>().c_str());
  return kExitOk;
}

int Diff(const std::string& folder) {
  const json wanted = ReadFolder(folder);
  const json current = Expect200(Call(FLAGS_entry, "GET", "/v1/config"));
  const json changes = json::diff(current["config"], wanted);
  if (changes.empty())
    std::printf("no difference from version %ld\n",
                current["version"].get<long>());
  for (const json& change : changes) {
    const std::string path = change["path"];
    std::printf("%-8s %s", change["op"].get<std::string>().c_str(),
                path.c_str());
    if (change.contains("value"))
      std::printf(" = %s", change["value"].dump().c_str());
    std::printf("\n");
  }
  return kExitOk;
}

// A version of what operators have written, as /v1/status names it.
struct wanted_version {
  const char* field;  // of entries and of sidecars
  uint64_t version;
};

bool EntryHas(const std::string& address,
              const wanted_version& wanted,
              std::string& missing) {
  const json status =
      json::parse(Call(address, "GET", "/v1/status").body, nullptr, false);
  if (!status.is_object() ||
      status.value(wanted.field, uint64_t{0}) < wanted.version) {
    missing = "entry " + address;
    return false;
  }
  for (const json& worker : status["workers"]) {
    if (worker["link"] != "up" || worker[wanted.field] >= wanted.version)
      continue;
    missing = "sidecar " + worker["name"].get<std::string>();
    return false;
  }
  return true;
}

// In force everywhere: at this entry, at every entry it knows, and at every
// sidecar linked to any of them.
bool InForce(const wanted_version& wanted, std::string& missing) {
  const json status =
      json::parse(Call(FLAGS_entry, "GET", "/v1/status").body, nullptr, false);
  if (!EntryHas(FLAGS_entry, wanted, missing))
    return false;
  const json peers = status.value("peer_http", json::array());
  return std::all_of(peers.begin(), peers.end(), [&](const json& peer) {
    return EntryHas(peer, wanted, missing);
  });
}

int WaitUntilInForce(const wanted_version& wanted) {
  const auto start = std::chrono::steady_clock::now();
  std::string missing;
  while (!InForce(wanted, missing)) {
    if (std::chrono::steady_clock::now() - start >
        std::chrono::seconds(FLAGS_wait_s))
      Die(kExitFailed, "ctl: version " + std::to_string(wanted.version) +
                           " is accepted, but not in force at " + missing);
    std::this_thread::sleep_for(kPoll);
  }
  const auto took = std::chrono::steady_clock::now() - start;
  std::printf(
      "in force everywhere after %ld ms\n",
      static_cast<long>(
          std::chrono::duration_cast<std::chrono::milliseconds>(took).count()));
  return kExitOk;
}

int Apply(const std::string& folder) {
  const json config = ReadFolder(folder);
  int64_t base = FLAGS_base;
  if (base < 0)
    base = Expect200(Call(FLAGS_entry, "GET", "/v1/config"))["version"];
  std::string author = FromEnvironment(FLAGS_author, "USER");
  if (author.empty())
    author = "unknown";
  const json body = {{"config", config}, {"author", author}};
  const json accepted =
      Expect200(Call(FLAGS_entry, "PUT", "/v1/config", body.dump(),
                     {"If-Match: " + std::to_string(base)}));
  const uint64_t version = accepted["version"];
  std::printf("accepted as version %lu\n", version);
  return FLAGS_wait ? WaitUntilInForce({"config_version", version}) : kExitOk;
}

int Get() {
  const json current = Expect200(Call(FLAGS_entry, "GET", "/v1/config"));
  std::printf("%s\n", current.dump(2).c_str());
  return kExitOk;
}

// ---- [4] Closed failure domains ---------------------------------------------

int SetDomain(const std::string& domain, bool closed) {
  const json body = {{"closed", closed}};
  const json now =
      Expect200(Call(FLAGS_entry, "PUT", "/v1/domains/" + domain, body.dump()));
  const uint64_t version = now["version"];
  std::printf("%s is %s as of version %lu\n", domain.c_str(),
              closed ? "closed for new work" : "open", version);
  return FLAGS_wait ? WaitUntilInForce({"closed_domains_version", version})
                    : kExitOk;
}

int RemoveOwnerRow(const std::string& domain) {
  return SetDomain(domain, true);
}

int Reopen(const std::string& domain) {
  return SetDomain(domain, false);
}

// ---- [5] Status -------------------------------------------------------------

void PrintCounters(const char* title, const json& counters) {
  if (counters.empty())
    return;
  std::printf("%s:", title);
  for (const auto& [name, count] : counters.items())
    std::printf(" %s %ld", name.c_str(), count.get<long>());
  std::printf("\n");
}

std::string Rounded(const json& value) {
  if (!value.is_number())
    return "-";
  char text[32];
  std::snprintf(text, sizeof(text), "%.2f", value.get<double>());
  return text;
}

void PrintPolicies(const json& policies) {
  std::printf("%-18s %8s %8s %10s %10s %10s %8s %8s\n", "policy", "jobs",
              "done", "mean ms", "p95 ms", "p99 ms", "ratio", "p99");
  for (const auto& [name, p] : policies.items()) {
    std::printf("%-18s %8ld %8ld %10s %10s %10s %8s %8s\n", name.c_str(),
                p["jobs"].get<long>(), p["complete"].get<long>(),
                Rounded(p["response_ms"]["mean"]).c_str(),
                Rounded(p["response_ms"]["p95"]).c_str(),
                Rounded(p["response_ms"]["p99"]).c_str(),
                Rounded(p["ratio"]["mean"]).c_str(),
                Rounded(p["ratio"]["p99"]).c_str());
  }
}

void PrintWorkers(const json& workers) {
  std::printf("%-16s %-8s %-9s %-10s %6s %6s %7s %6s %8s\n", "worker", "domain",
              "link", "upstream", "slots", "free", "unresol", "speed",
              "config");
  for (const json& w : workers) {
    const bool ejected = w["ejected"];
    std::printf("%-16s %-8s %-9s %-10s %6d %6d %7d %6s %8ld%s%s\n",
                w["name"].get<std::string>().c_str(),
                w["failure_domain"].get<std::string>().c_str(),
                w["link"].get<std::string>().c_str(),
                w["upstream_state"].get<std::string>().c_str(),
                w["slots"].get<int>(), w["free_slots"].get<int>(),
                w["unresolved"].get<int>(), Rounded(w["speed"]).c_str(),
                w["config_version"].get<long>(), ejected ? "  ejected" : "",
                w["closed"].get<bool>() ? "  closed" : "");
  }
}

int Status() {
  const json s = Expect200(Call(FLAGS_entry, "GET", "/v1/status"));
  std::printf("%s in %s, %s, configuration %ld by %s\n",
              s["entry"].get<std::string>().c_str(),
              s["failure_domain"].get<std::string>().c_str(),
              s["ready"].get<bool>() ? "ready" : "not ready",
              s["config_version"].get<long>(),
              s["config_author"].get<std::string>().c_str());
  for (const json& domain : s["closed_domains"])
    std::printf("closed for new work as of version %ld: %s\n",
                s["closed_domains_version"].get<long>(),
                domain.get<std::string>().c_str());
  std::printf(
      "jobs: %ld open, %ld received, %ld complete, %ld failed; tasks: %ld "
      "waiting, %ld out; claims open: %ld\n",
      s["jobs"].get<long>(), s["jobs_received"].get<long>(),
      s["jobs_complete"].get<long>(), s["jobs_failed"].get<long>(),
      s["waiting_tasks"].get<long>(), s["sent_tasks"].get<long>(),
      s["open_claims"].get<long>());
  PrintCounters("refused", s["refused"]);
  PrintCounters("retried", s["retried"]);
  PrintCounters("records sent", s["records"]);
  std::printf("\n");
  PrintPolicies(s["policies"]);
  std::printf("\n");
  PrintWorkers(s["workers"]);
  return kExitOk;
}

int Explain(const std::string& job) {
  const json told = Expect200(Call(FLAGS_entry, "GET", "/v1/jobs/" + job));
  std::printf("%s\n", told.dump(2).c_str());
  return kExitOk;
}

// ---- [6] Main ---------------------------------------------------------------

int RunCommand(const std::vector<std::string>& words) {
  const std::map<std::string, std::function<int(const std::string&)>>
      with_argument = {{"validate", Validate}, {"diff", Diff},
                       {"apply", Apply},       {"close", RemoveOwnerRow},
                       {"reopen", Reopen},     {"explain", Explain}};
  const std::map<std::string, std::function<int()>> alone = {
      {"get", Get}, {"status", Status}};
  if (words.size() == 2 && with_argument.count(words[0]) != 0)
    return with_argument.at(words[0])(words[1]);
  if (words.size() == 1 && alone.count(words[0]) != 0)
    return alone.at(words[0])();
  Die(kExitBadInput,
      "ctl: use: validate DIR | diff DIR | apply DIR [--wait] | get | close "
      "DOMAIN [--wait] | reopen DOMAIN [--wait] | status | explain JOB");
}

}  // namespace
}  // namespace cassiaferry

int main(int argc, char** argv) {
  using namespace cassiaferry;  // NOLINT(google-build-using-namespace)
  InitApp(
      "cassiaferry-ctl validate DIR | diff DIR | apply DIR [--wait] | get | "
      "close DOMAIN | reopen DOMAIN | status | explain JOB",
      &argc, &argv);
  return RunCommand({argv + 1, argv + argc});
}
