// libcurl's multi interface driven by one thread.

#include "http_client.h"

#include <curl/curl.h>
#include <strings.h>

#include <atomic>
#include <future>
#include <mutex>
#include <string_view>
#include <thread>
#include <unordered_map>
#include <utility>

#include "cassiaferry/metrics.h"

namespace cassiaferry {

namespace {

constexpr int kPollMs = 1000;
constexpr long kKeptConnections = 256;
constexpr size_t kSpareHandles = 256;
constexpr std::string_view kNotRunHeader = "cassiaferry-not-run: 1";
constexpr std::string_view kLengthHeader = "content-length:";
constexpr std::string_view kChunkedHeader = "transfer-encoding: chunked";

struct transfer {
  uint64_t id = 0;
  http_call call;
  http_client::reply_callback on_reply;
  http_reply reply;
  CURL* handle = nullptr;
  curl_slist* headers = nullptr;
  bool delimited = false;  // the answer says where it ends
  bool too_long = false;
  bool cut = false;              // its kept connection closed before any answer
  size_t* open_bytes = nullptr;  // of all answers of its client
};

// Failure guarded against: a server whose answer doesn't end, or many of them,
// take all memory.
size_t HandleBody(char* data, size_t size, size_t count, void* context) {
  auto* t = static_cast<transfer*>(context);
  const size_t n = size * count;
  const size_t most = t->call.max_reply_bytes;
  if (most != 0 && (t->reply.body.size() + n > most ||
                    *t->open_bytes + n > http_client::kMaxOpenBytes)) {
    t->too_long = true;
    return 0;  // ends the transfer
  }
  *t->open_bytes += n;
  t->reply.body.append(data, n);
  return n;
}

bool StartsWith(std::string_view line, std::string_view prefix) {
  return line.size() >= prefix.size() &&
         strncasecmp(line.data(), prefix.data(), prefix.size()) == 0;
}

size_t TakeHeader(char* data, size_t size, size_t count, void* context) {
  const std::string_view line(data, size * count);
  auto* t = static_cast<transfer*>(context);
  if (StartsWith(line, kNotRunHeader))
    t->reply.not_run = true;
  if (StartsWith(line, kLengthHeader) || StartsWith(line, kChunkedHeader))
    t->delimited = true;
  return line.size();
}

// Called before each copy of the request goes out. Failure guarded against: the
// first copy was carried out, and a refusal of the second passes for its
// answer.
int AdmitCopy(void* context, char*, char*, int, int) {
  auto* t = static_cast<transfer*>(context);
  t->cut = t->reply.copies > 0;
  if (t->cut && t->call.method != "GET")
    return CURL_PREREQFUNC_ABORT;
  ++t->reply.copies;
  return CURL_PREREQFUNC_OK;
}

void Configure(transfer& t) {
  CURL* h = t.handle;
  for (const std::string& header : t.call.headers)
    t.headers = curl_slist_append(t.headers, header.c_str());
  t.headers = curl_slist_append(t.headers, "Expect:");
  curl_easy_setopt(h, CURLOPT_URL, t.call.url.c_str());
  curl_easy_setopt(h, CURLOPT_CUSTOMREQUEST, t.call.method.c_str());
  curl_easy_setopt(h, CURLOPT_HTTPHEADER, t.headers);
  curl_easy_setopt(h, CURLOPT_WRITEFUNCTION, HandleBody);
  curl_easy_setopt(h, CURLOPT_WRITEDATA, &t);
  curl_easy_setopt(h, CURLOPT_HEADERFUNCTION, TakeHeader);
  curl_easy_setopt(h, CURLOPT_HEADERDATA, &t);
  curl_easy_setopt(h, CURLOPT_PRIVATE, &t);
  curl_easy_setopt(h, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(h, CURLOPT_PROXY, "");
  curl_easy_setopt(h, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(h, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(h, CURLOPT_TIMEOUT_MS, static_cast<long>(t.call.timeout_ms));
  curl_easy_setopt(h, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(t.call.connect_timeout_ms));
  if (t.call.method != "GET") {
    curl_easy_setopt(h, CURLOPT_POSTFIELDS, t.call.body.data());
    curl_easy_setopt(h, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(t.call.body.size()));
  }
  if (t.call.fresh_connection) {
    curl_easy_setopt(h, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(h, CURLOPT_FORBID_REUSE, 1L);
  }
  curl_easy_setopt(h, CURLOPT_PREREQFUNCTION, AdmitCopy);
  curl_easy_setopt(h, CURLOPT_PREREQDATA, &t);
}

void ReadOutcome(transfer& t, CURLcode code) {
  long status = 0;
  curl_easy_getinfo(t.handle, CURLINFO_RESPONSE_CODE, &status);
  t.reply.status = static_cast<int>(status);
  // Failure guarded against: an answer that breaks off within its headers. An
  // answer without a length ends where the connection does, so that to libcurl
  // it looks whole, with an empty body. Only an answer that says where it ends
  // counts.
  t.reply.answered = code == CURLE_OK && t.delimited;
  t.reply.sent = t.reply.copies > 0;
  if (t.too_long)
    t.reply.error = "the answer is too long";
  else if (code == CURLE_ABORTED_BY_CALLBACK)
    t.reply.error = "the kept connection closed before an answer";
  else if (code != CURLE_OK)
    t.reply.error = curl_easy_strerror(code);
  else if (!t.delimited)
    t.reply.error = "the answer does not say where it ends";
}

}  // namespace

struct http_client::impl {
  void Loop();
  void TakeRequests();
  void Begin(std::unique_ptr<transfer> t);
  void End(transfer& t, CURLcode code);
  void Drop(uint64_t id);
  void Release(transfer& t);
  CURL* NewHandle();

  CURLM* multi = nullptr;
  std::thread thread;
  std::atomic<bool> stopped{false};
  std::atomic<uint64_t> next_id{1};
  std::atomic<uint64_t> cut_calls{0};
  std::mutex mutex;
  std::vector<std::unique_ptr<transfer>> starting;
  std::vector<uint64_t> cancelling;
  std::unordered_map<uint64_t, std::unique_ptr<transfer>>
      open;                  // client thread only
  size_t open_bytes = 0;     // client thread only
  std::vector<CURL*> spare;  // client thread only
};

CURL* http_client::impl::NewHandle() {
  if (spare.empty())
    return curl_easy_init();
  CURL* handle = spare.back();
  spare.pop_back();
  return handle;
}

void http_client::impl::Release(transfer& t) {
  open_bytes -= t.reply.body.size();
  curl_multi_remove_handle(multi, t.handle);
  curl_slist_free_all(t.headers);
  curl_easy_reset(t.handle);
  if (spare.size() < kSpareHandles)
    spare.push_back(t.handle);
  else
    curl_easy_cleanup(t.handle);
}

void http_client::impl::Begin(std::unique_ptr<transfer> t) {
  t->handle = NewHandle();
  t->open_bytes = &open_bytes;
  Configure(*t);
  curl_multi_add_handle(multi, t->handle);
  const uint64_t id = t->id;
  open.emplace(id, std::move(t));
}

void http_client::impl::End(transfer& t, CURLcode code) {
  ReadOutcome(t, code);
  cut_calls += t.cut ? 1 : 0;
  const auto it = open.find(t.id);
  const std::unique_ptr<transfer> owned = std::move(it->second);
  open.erase(it);
  Release(*owned);
  owned->on_reply(std::move(owned->reply));
}

void http_client::impl::Drop(uint64_t id) {
  const auto it = open.find(id);
  if (it == open.end())
    return;
  Release(*it->second);
  open.erase(it);
}

void http_client::impl::TakeRequests() {
  std::vector<std::unique_ptr<transfer>> begin;
  std::vector<uint64_t> drop;
  {
    const std::lock_guard lock(mutex);
    begin.swap(starting);
    drop.swap(cancelling);
  }
  for (auto& t : begin)
    Begin(std::move(t));
  for (uint64_t id : drop)
    Drop(id);
}

void http_client::impl::Loop() {
  while (!stopped) {
    TakeRequests();
    int running = 0;
    curl_multi_perform(multi, &running);
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(multi, &left)) {
      if (message->msg != CURLMSG_DONE)
        continue;
      transfer* t = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &t);
      End(*t, message->data.result);
    }
    curl_multi_poll(multi, nullptr, 0, kPollMs, nullptr);
  }
}

http_client::http_client(long connections_per_host)
    : impl_(std::make_unique<impl>()) {
  static const CURLcode initialized = curl_global_init(CURL_GLOBAL_DEFAULT);
  static_cast<void>(initialized);
  impl_->multi = curl_multi_init();
  curl_multi_setopt(impl_->multi, CURLMOPT_MAXCONNECTS, kKeptConnections);
  curl_multi_setopt(impl_->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                    connections_per_host);
  impl_->thread = std::thread([this] { impl_->Loop(); });
}

http_client::~http_client() {
  Stop();
}

uint64_t http_client::Start(http_call call, reply_callback on_reply) {
  auto t = std::make_unique<transfer>();
  t->id = impl_->next_id++;
  t->call = std::move(call);
  t->on_reply = std::move(on_reply);
  const uint64_t id = t->id;
  {
    const std::lock_guard lock(impl_->mutex);
    impl_->starting.push_back(std::move(t));
  }
  curl_multi_wakeup(impl_->multi);
  return id;
}

void http_client::Cancel(uint64_t id) {
  {
    const std::lock_guard lock(impl_->mutex);
    impl_->cancelling.push_back(id);
  }
  curl_multi_wakeup(impl_->multi);
}

http_client_counters http_client::Counters() const {
  return {impl_->next_id - 1, impl_->cut_calls};
}

void http_client::Stop() {
  if (impl_->stopped.exchange(true))
    return;
  curl_multi_wakeup(impl_->multi);
  impl_->thread.join();
  for (auto& [id, t] : impl_->open)
    impl_->Release(*t);
  impl_->open.clear();
  for (CURL* handle : impl_->spare)
    curl_easy_cleanup(handle);
  curl_multi_cleanup(impl_->multi);
}

std::string HttpClientPrometheusText(const std::string& client,
                                     const http_client_counters& c) {
  const std::string label = "client=\"" + client + "\"";
  std::string out;
  AppendMetric(out, "cassiaferry_http_calls_total", label,
               static_cast<double>(c.calls));
  AppendMetric(out, "cassiaferry_http_calls_cut_total", label,
               static_cast<double>(c.cut_calls));
  return out;
}

bool IsRefusal(const http_reply& reply) {
  constexpr int kFirstClientError = 400;
  constexpr int kFirstServerError = 500;
  constexpr int kUnavailable = 503;
  return reply.answered &&
         (reply.status == kUnavailable || (reply.status >= kFirstClientError &&
                                           reply.status < kFirstServerError));
}

http_reply FetchOnce(http_call call) {
  std::promise<http_reply> promise;
  http_client client;
  client.Start(std::move(call),
               [&](http_reply reply) { promise.set_value(std::move(reply)); });
  return promise.get_future().get();
}

http_reply Fetch(const std::string& method,
                 const std::string& address,
                 const std::string& path,
                 const std::string& body,
                 std::vector<std::string> headers,
                 int64_t timeout_ms) {
  http_call call;
  call.method = method;
  call.url = "http://" + address + path;
  call.body = body;
  call.headers = std::move(headers);
  call.timeout_ms = timeout_ms;
  call.max_reply_bytes = 0;
  return FetchOnce(std::move(call));
}

}  // namespace cassiaferry
