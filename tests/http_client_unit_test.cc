// The HTTP client against servers that break off, or never end.

#include "../src/net/http_client.h"

#include <catch2/catch.hpp>
#include <future>
#include <memory>
#include <utility>
#include <vector>

#include "breaking_server.h"
#include "endless_server.h"

namespace cassiaferry {
namespace {

struct client_of_a_breaking_server {
  http_reply Post() { return Call("POST"); }
  http_reply Call(const std::string& method) {
    http_call call;
    call.method = method;
    call.url = "http://" + server.Address() + "/";
    call.body = "{}";
    call.timeout_ms = 2000;
    std::promise<http_reply> promise;
    client.Start(std::move(call), [&](http_reply reply) {
      promise.set_value(std::move(reply));
    });
    return promise.get_future().get();
  }

  breaking_server server;
  http_client client;
};

// Guards against a refusal of a second copy that passes for the only one's,
// while the first copy was carried out.
TEST_CASE_METHOD(client_of_a_breaking_server,
                 "post_kept_connection_closes_no_second_copy") {
  REQUIRE(Post().status == 200);
  const http_reply reply = Post();
  CHECK(server.Requests() == 2);
  CHECK_FALSE(reply.answered);
  CHECK(reply.sent);
  CHECK(reply.copies == 1);
  CHECK(client.Counters().cut_calls == 1);
}

// Guards against a put or delete that is carried out, and refused by its copy.
TEST_CASE_METHOD(client_of_a_breaking_server,
                 "put_or_delete_kept_connection_closes_no_second_copy") {
  const std::string method = GENERATE("PUT", "DELETE");
  REQUIRE(Post().status == 200);
  CHECK_FALSE(Call(method).answered);
  CHECK(server.Requests() == 2);
}

// Guards against reads that fail whenever a server closes idle connections.
TEST_CASE_METHOD(client_of_a_breaking_server,
                 "get_kept_connection_closes_is_sent_again") {
  REQUIRE(Post().status == 200);
  const http_reply reply = Call("GET");
  CHECK(server.Requests() == 3);
  CHECK(reply.answered);
  CHECK(reply.copies == 2);
}

// Guards against a new connection for each call, which costs the worker more
// than the call.
TEST_CASE_METHOD(client_of_a_breaking_server, "post_connections_are_kept") {
  for (int i = 0; i < 2; ++i)
    Post();
  CHECK(Post().status == 503);
  const int before = server.Connections();
  for (int i = 0; i < 5; ++i)
    CHECK(Post().status == 503);
  CHECK(server.Connections() == before);
}

// Guards against an answer that takes all memory, as it never ends.
TEST_CASE("call_answer_without_end_is_given_up") {
  const endless_server server;
  http_client client;
  http_call call;
  call.url = "http://" + server.Address() + "/";
  std::promise<http_reply> promise;
  client.Start(std::move(call),
               [&](http_reply reply) { promise.set_value(std::move(reply)); });
  const http_reply reply = promise.get_future().get();
  CHECK_FALSE(reply.answered);
  CHECK(reply.sent);
  CHECK(reply.error == "the answer is too long");
}

// Guards against many answers, each within its bound, that take all memory.
TEST_CASE("calls_answers_together_too_long_one_is_given_up") {
  constexpr int kCalls = 4;
  const endless_server server(http_client::kMaxOpenBytes / 2);
  http_client client;
  std::vector<std::future<http_reply>> replies;
  for (int i = 0; i < kCalls; ++i) {
    http_call call;
    call.url = "http://" + server.Address() + "/";
    call.timeout_ms = 5000;
    call.max_reply_bytes = http_client::kMaxOpenBytes;
    const auto promise = std::make_shared<std::promise<http_reply>>();
    replies.push_back(promise->get_future());
    client.Start(std::move(call), [promise](http_reply reply) {
      promise->set_value(std::move(reply));
    });
  }
  int too_long = 0;
  for (auto& reply : replies)
    too_long += reply.get().error == "the answer is too long" ? 1 : 0;
  CHECK(too_long >= 1);
}

}  // namespace
}  // namespace cassiaferry
