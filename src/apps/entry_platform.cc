// Configuration and peers of an entry: commit, spread, directory.
//
// Contents
//   [1] Committing a change
//   [2] A lost reply
//   [3] Adopting
//   [4] Reading the platform
//   [5] Peers
//   [6] Background

#include <glog/logging.h>

#include <nlohmann/json.hpp>

#include "app.h"
#include "cassiaferry/json_fields.h"
#include "entry_app.h"

namespace cassiaferry {

using nlohmann::json;

namespace {

constexpr char kPrefix[] = "entry: ";
constexpr char kConfigRow[] = "config";
constexpr char kDirectoryPrefix[] = "entry/";
constexpr micros kPeerSilence = Millis(15'000);
constexpr int64_t kGreetingTimeoutMs = 1000;

std::string ObjectName(const std::string& change_id) {
  return "config-" + change_id;
}

std::string RowValue(const config_document& d) {
  return json{{"version", d.version.value},
              {"change_id", d.change_id},
              {"author", d.author}}
      .dump();
}

json ParseRow(const table_row& row) {
  json j = ParseRecord(row.value);
  return j.is_object() ? j : json::object();
}

failure ConfigUnavailable(verdict what, const char* message) {
  return {what, reason::platform_unavailable, message, 1000};
}

}  // namespace

// ---- [1] Committing a change ------------------------------------------------

// {"config": DOCUMENT, "author": TEXT}, with If-Match: the version it is based
// on.
void entry_app::PutConfig(const http_request& r) {
  json body;
  std::string error;
  if (!ParseJson(r.body, body, error) || !body.is_object() ||
      !body.contains("config")) {
    Refuse(r.ticket, {verdict::not_run, reason::bad_request,
                      "needs {\"config\": ..., \"author\": ...}; " + error, 0});
    return;
  }
  if (r.if_match.empty() ||
      r.if_match.find_first_not_of("0123456789") != std::string::npos) {
    Refuse(r.ticket,
           {verdict::not_run, reason::bad_request,
            "needs the header If-Match: VERSION; 0 for the first", 0});
    return;
  }
  const std::vector<config_error> errors =
      CheckConfig(body["config"], check_scope::whole);
  if (!errors.empty()) {
    Refuse(r.ticket, {verdict::not_run, reason::bad_request,
                      errors.front().path + ": " + errors.front().message, 0});
    return;
  }
  config_document document;
  document.version =
      config_version{std::strtoull(r.if_match.c_str(), nullptr, 10) + 1};
  document.change_id = ToHex(RandomSeed());
  document.author = body["author"].is_string()
                        ? body["author"].get<std::string>()
                        : "unknown";
  document.json = body["config"].dump();
  PutConfigObject(r.ticket, document);
}

void entry_app::PutConfigObject(ticket_id ticket,
                                const config_document& document) {
  platform_.PutObject(
      ObjectName(document.change_id), document.json,
      [this, ticket, document](bool ok, const std::string&) {
        if (ok)
          CommitConfig(ticket, document);
        else
          Refuse(ticket, ConfigUnavailable(verdict::not_run,
                                           "the platform's object store does "
                                           "not answer; nothing changed"));
      });
}

void entry_app::CommitConfig(ticket_id ticket,
                             const config_document& document) {
  platform_.Read(
      {kConfigRow}, [this, ticket, document](
                        bool ok, std::vector<std::optional<table_row>> rows) {
        if (ok && rows.size() == 1)
          CompareAndSwap(ticket, document, rows[0]);
        else
          Refuse(ticket,
                 ConfigUnavailable(
                     verdict::not_run,
                     "the platform's table does not answer; nothing changed"));
      });
}

// Failure guarded against: two operators change the same version. The row's own
// version lets exactly one of the writes apply; the other is told who was
// first.
void entry_app::CompareAndSwap(ticket_id ticket,
                               const config_document& document,
                               const std::optional<table_row>& row) {
  const json current = row ? ParseRow(*row) : json::object();
  const uint64_t version = NumberField(current, "version", uint64_t{0});
  if (version + 1 != document.version.value) {
    ConfigConflict(ticket, version, TextField(current, "author"));
    return;
  }
  table_op op;
  op.kind =
      row ? table_op_kind::replace_if_version : table_op_kind::insert_if_absent;
  op.key = kConfigRow;
  op.version = row ? row->version : 0;
  op.value = RowValue(document);
  platform_.Transact({op}, [this, ticket, document](
                               bool ok, std::vector<table_result> results) {
    if (!ok || results.size() != 1)
      ResolveCommit(ticket, document);
    else if (results[0].applied)
      AcceptConfig(ticket, document);
    else
      ResolveCommit(ticket, document);
  });
}

void entry_app::ConfigConflict(ticket_id ticket,
                               uint64_t version,
                               const std::string& author) {
  const std::string message = "the configuration is at version " +
                              std::to_string(version) + ", changed by " +
                              (author.empty() ? "nobody yet" : author) +
                              "; look at it and apply again";
  Refuse(ticket, {verdict::not_run, reason::config_conflict, message, 0});
}

// ---- [2] A lost reply -------------------------------------------------------

// Failure guarded against: the reply to the write is lost after it took effect.
// The row's change id says whose change stands.
void entry_app::ResolveCommit(ticket_id ticket,
                              const config_document& document) {
  platform_.Read({kConfigRow}, [this, ticket, document](
                                   bool ok,
                                   std::vector<std::optional<table_row>> rows) {
    if (!ok || rows.size() != 1) {
      Refuse(ticket,
             ConfigUnavailable(
                 verdict::may_have_run,
                 "the platform stopped answering; look before a repeat"));
      return;
    }
    const json current = rows[0] ? ParseRow(*rows[0]) : json::object();
    const uint64_t version = NumberField(current, "version", uint64_t{0});
    if (TextField(current, "change_id") == document.change_id)
      AcceptConfig(ticket, document);
    else if (version >= document.version.value)
      ConfigConflict(ticket, version, TextField(current, "author"));
    else
      Refuse(ticket, ConfigUnavailable(
                         verdict::may_have_run,
                         "the write may still arrive; look before a repeat"));
  });
}

void entry_app::AcceptConfig(ticket_id ticket,
                             const config_document& document) {
  loop_.Post(config_received{document});
  ReplyJson(
      ticket, 200,
      {{"version", document.version.value}, {"change_id", document.change_id}});
}

// ---- [3] Adopting -----------------------------------------------------------

// The control thread has taken a newer configuration: tell the peers at once.
void entry_app::AdoptDocument(const config_document& document) {
  LOG(INFO) << kPrefix << "configuration " << document.version.value << " by "
            << document.author << " is in force";
  {
    const std::lock_guard lock(mutex_);
    if (document.version > document_.version)
      document_ = document;
    ready_ = first_round_done_ && !draining_;
  }
  GreetPeers();
}

// ---- [4] Reading the platform -----------------------------------------------

void entry_app::FinishFirstRound() {
  const std::lock_guard lock(mutex_);
  if (first_round_done_ || --first_round_open_ > 0)
    return;
  first_round_done_ = true;
  ready_ = document_.version.value != 0;
  LOG(INFO) << kPrefix
            << "every source of configuration was asked; ready: " << ready_;
}

void entry_app::FetchConfig(const std::string& row_value) {
  const json row = ParseRecord(row_value);
  if (!row.is_object())
    return;
  config_document document;
  document.version = config_version{NumberField(row, "version", uint64_t{0})};
  document.change_id = TextField(row, "change_id");
  document.author = TextField(row, "author");
  platform_.GetObject(ObjectName(document.change_id),
                      [this, document](bool ok, std::string body) mutable {
                        json parsed;
                        std::string error;
                        if (!ok || !ParseJson(body, parsed, error) ||
                            !CheckConfig(parsed, check_scope::whole).empty())
                          return;
                        document.json = std::move(body);
                        loop_.Post(config_received{document});
                      });
}

void entry_app::PollConfig() {
  platform_.Read(
      {kConfigRow, kClosingsRow},
      [this](bool ok, const std::vector<std::optional<table_row>>& rows) {
        if (ok && rows.size() == 2 && rows[1])
          TakeClosingsRow(*rows[1]);
        if (ok && rows.size() == 2 && rows[0]) {
          const uint64_t version =
              ParseRow(*rows[0]).value("version", uint64_t{0});
          bool newer = false;
          {
            const std::lock_guard lock(mutex_);
            newer = version > document_.version.value;
          }
          if (newer)
            FetchConfig(rows[0]->value);
        }
        FinishFirstRound();
      });
}

// ---- [5] Peers --------------------------------------------------------------

json entry_app::Greeting(config_version known) {
  const std::lock_guard lock(mutex_);
  json greeting = {{"http", settings_.advertise_http},
                   {"link", settings_.advertise_link},
                   {"version", document_.version.value},
                   {"peers", json::array()}};
  for (const auto& [address, peer] : peers_)
    greeting["peers"].push_back(
        {{"http", peer.http_address}, {"link", peer.link_address}});
  greeting["closings"] = {{"version", closings_.version.value},
                          {"domains", closings_.domains}};
  if (document_.version > known)
    greeting["document"] = {{"version", document_.version.value},
                            {"change_id", document_.change_id},
                            {"author", document_.author},
                            {"json", document_.json}};
  return greeting;
}

void entry_app::LearnPeer(const std::string& http_address,
                          const std::string& link_address) {
  if (http_address.empty() || http_address == settings_.advertise_http)
    return;
  const std::lock_guard lock(mutex_);
  peer_row& peer = peers_[http_address];
  peer.http_address = http_address;
  if (!link_address.empty())
    peer.link_address = link_address;
  if (peer.last_heard.value == 0)
    peer.last_heard = Now();
}

void entry_app::TakePeerAnswer(const std::string& http_address,
                               const http_reply& reply) {
  const json greeting = ParseRecord(reply.body);
  if (!reply.answered || reply.status != 200 || !greeting.is_object())
    return;
  const std::string told = TextField(greeting, "http");
  const std::string address = told.empty() ? http_address : told;
  LearnPeer(address, TextField(greeting, "link"));
  {
    const std::lock_guard lock(mutex_);
    const auto peer = peers_.find(address);
    if (peer != peers_.end())
      peer->second.last_heard = Now();
  }
  const json* peers = FindField(greeting, "peers");
  if (peers != nullptr && peers->is_array()) {
    for (const json& other : *peers)
      LearnPeer(TextField(other, "http"), TextField(other, "link"));
  }
  if (const json* closings = FindField(greeting, "closings"))
    TakePeerClosings(*closings);
  const json* d = FindField(greeting, "document");
  if (d == nullptr)
    return;
  const config_document document{
      config_version{NumberField(*d, "version", uint64_t{0})},
      TextField(*d, "change_id"), TextField(*d, "author"),
      TextField(*d, "json")};
  json parsed;
  std::string error;
  if (ParseJson(document.json, parsed, error) &&
      CheckConfig(parsed, check_scope::whole).empty())
    loop_.Post(config_received{document});
}

void entry_app::GreetPeer(const std::string& http_address) {
  http_call call;
  call.method = "POST";
  call.url = "http://" + http_address + "/internal/peers";
  call.headers = {"Authorization: Bearer " + settings_.admin_token};
  call.timeout_ms = kGreetingTimeoutMs;
  call.max_reply_bytes = http_client::kMaxOpenBytes;  // holds a configuration
  config_version version;
  {
    const std::lock_guard lock(mutex_);
    version = document_.version;
  }
  call.body =
      Greeting(config_version{version.value > 0 ? version.value - 1 : 0})
          .dump();
  http_client_.Start(std::move(call),
                     [this, http_address](const http_reply& reply) {
                       TakePeerAnswer(http_address, reply);
                       bool is_seed = false;
                       for (const std::string& seed : settings_.peers)
                         is_seed = is_seed || seed == http_address;
                       if (is_seed)
                         FinishFirstRound();
                     });
}

void entry_app::GreetPeers() {
  std::set<std::string> addresses(settings_.peers.begin(),
                                  settings_.peers.end());
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [address, peer] : peers_)
      addresses.insert(address);
  }
  addresses.erase(settings_.advertise_http);
  for (const std::string& address : addresses)
    GreetPeer(address);
}

void entry_app::ForgetSilentPeers() {
  const std::lock_guard lock(mutex_);
  std::erase_if(peers_, [now = Now()](const auto& row) {
    return now - row.second.last_heard > kPeerSilence;
  });
}

std::vector<std::string> entry_app::PeerAddresses() {
  const std::lock_guard lock(mutex_);
  std::vector<std::string> addresses;
  addresses.reserve(peers_.size());
  for (const auto& [address, peer] : peers_)
    addresses.push_back(address);
  return addresses;
}

void entry_app::PublishPeers() {
  peers_changed event;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [address, peer] : peers_) {
      if (!peer.link_address.empty())
        event.link_addresses.push_back(peer.link_address);
    }
  }
  loop_.Post(std::move(event));
}

// A row of its own for each entry, so that entries which share no seed find
// each other. Soft state: all goes on without it.
void entry_app::RefreshDirectory() {
  const std::string key = kDirectoryPrefix + settings_.name;
  platform_.List(
      kDirectoryPrefix,
      [this, key](bool ok, const std::vector<std::optional<table_row>>& rows) {
        if (!ok)
          return;
        table_op op;
        op.kind = table_op_kind::insert_if_absent;
        op.key = key;
        op.value = json{{"http", settings_.advertise_http},
                        {"link", settings_.advertise_link}}
                       .dump();
        bool current = false;
        for (const std::optional<table_row>& row : rows) {
          if (!row)
            continue;
          const json j = ParseRow(*row);
          if (row->key != key) {
            LearnPeer(j.value("http", ""), j.value("link", ""));
            continue;
          }
          current = row->value == op.value;
          op.kind = table_op_kind::replace_if_version;
          op.version = row->version;
        }
        if (!current)
          platform_.Transact({op},
                             [](bool, const std::vector<table_result>&) {});
      });
}

// ---- [6] Background ---------------------------------------------------------

void entry_app::Background() {
  bool first = false;
  {
    const std::lock_guard lock(mutex_);
    first = first_round_open_ == 1 && !first_round_done_ && peers_.empty();
    if (first)
      first_round_open_ = 1 + static_cast<int>(settings_.peers.size());
  }
  PollConfig();
  GreetPeers();
  RefreshDirectory();
  ForgetSilentPeers();
  PublishPeers();
}

}  // namespace cassiaferry
