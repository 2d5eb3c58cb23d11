// The platform over HTTP.

#include "platform_client.h"

#include <nlohmann/json.hpp>

namespace cassiaferry {

using nlohmann::json;

namespace {

constexpr int64_t kCallTimeoutMs = 1500;

const char* OpName(table_op_kind kind) {
  constexpr const char* kNames[] = {"insert_if_absent", "replace_if_version",
                                    "delete_if_version"};
  return kNames[static_cast<size_t>(kind)];
}

std::optional<table_row> ReadRow(const json& j) {
  if (j.is_null())
    return std::nullopt;
  return table_row{j.at("key"), j.at("version"), j.at("value")};
}

bool IsAnswer(const http_reply& reply) {
  return reply.answered && reply.status == 200;
}

std::vector<table_result> ReadResults(const std::string& body) {
  std::vector<table_result> results;
  const json parsed = json::parse(body);
  for (const json& j : parsed.at("results"))
    results.push_back({j.at("applied"), ReadRow(j.at("row"))});
  return results;
}

std::vector<std::optional<table_row>> ReadRows(const std::string& body) {
  std::vector<std::optional<table_row>> rows;
  const json parsed = json::parse(body);
  for (const json& j : parsed.at("rows"))
    rows.push_back(ReadRow(j));
  return rows;
}

// An answer that can't be read counts as none.
template <typename Value, typename Reader>
void Deliver(const http_reply& reply,
             Reader read,
             const std::function<void(bool, Value)>& done) {
  if (!IsAnswer(reply)) {
    done(false, {});
    return;
  }
  Value value;
  try {
    value = read(reply.body);
  } catch (const json::exception&) {
    done(false, {});
    return;
  }
  done(true, std::move(value));
}

}  // namespace

platform_client::platform_client(http_client& http, std::string address)
    : http_(http), address_(std::move(address)) {}

std::string platform_client::Url(const std::string& path) const {
  return "http://" + address_ + path;
}

void platform_client::Transact(const std::vector<table_op>& ops,
                               transaction_callback done) {
  if (address_.empty()) {
    done(false, {});
    return;
  }
  json body = {{"ops", json::array()}};
  for (const table_op& op : ops)
    body["ops"].push_back({{"op", OpName(op.kind)},
                           {"key", op.key},
                           {"version", op.version},
                           {"value", op.value}});
  http_call call;
  call.method = "POST";
  call.url = Url("/table/transaction");
  call.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
  call.timeout_ms = kCallTimeoutMs;
  call.fresh_connection = true;
  http_.Start(std::move(call),
              [done = std::move(done)](const http_reply& reply) {
                Deliver<std::vector<table_result>>(reply, ReadResults, done);
              });
}

void platform_client::Read(const std::vector<std::string>& keys,
                           rows_callback done) {
  if (address_.empty()) {
    done(false, {});
    return;
  }
  http_call call;
  call.method = "POST";
  call.url = Url("/table/read");
  call.body = json{{"keys", keys}}.dump();
  call.timeout_ms = kCallTimeoutMs;
  http_.Start(
      std::move(call), [done = std::move(done)](const http_reply& reply) {
        Deliver<std::vector<std::optional<table_row>>>(reply, ReadRows, done);
      });
}

void platform_client::List(const std::string& prefix, rows_callback done) {
  if (address_.empty()) {
    done(false, {});
    return;
  }
  http_call call;
  call.method = "POST";
  call.url = Url("/table/list");
  call.body = json{{"prefix", prefix}}.dump();
  call.timeout_ms = kCallTimeoutMs;
  http_.Start(
      std::move(call), [done = std::move(done)](const http_reply& reply) {
        Deliver<std::vector<std::optional<table_row>>>(reply, ReadRows, done);
      });
}

void platform_client::PutObject(const std::string& name,
                                std::string body,
                                object_callback done) {
  if (address_.empty()) {
    done(false, {});
    return;
  }
  http_call call;
  call.method = "PUT";
  call.url = Url("/objects/" + name);
  call.body = std::move(body);
  call.timeout_ms = kCallTimeoutMs;
  http_.Start(std::move(call),
              [done = std::move(done)](const http_reply& reply) {
                done(IsAnswer(reply), reply.body);
              });
}

void platform_client::GetObject(const std::string& name, object_callback done) {
  if (address_.empty()) {
    done(false, {});
    return;
  }
  http_call call;
  call.url = Url("/objects/" + name);
  call.timeout_ms = kCallTimeoutMs;
  call.max_reply_bytes = http_client::kMaxOpenBytes;
  http_.Start(std::move(call),
              [done = std::move(done)](const http_reply& reply) {
                done(IsAnswer(reply), reply.body);
              });
}

}  // namespace cassiaferry
