// The HTTP client against a server that breaks off.

#include "../src/net/http_client.h"

#include <catch2/catch.hpp>
#include <future>
#include <utility>

#include "breaking_server.h"

namespace cassiaferry {
namespace {

struct client_of_a_breaking_server {
  http_reply Post() {
    http_call call;
    call.method = "POST";
    call.url = "http://" + server.Address() + "/";
    call.body = "{}";
    call.timeout_ms = 2000;
    call.send_once = true;
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
                 "post_once_kept_connection_closes_no_second_copy") {
  REQUIRE(Post().status == 200);
  const http_reply reply = Post();
  CHECK(server.Requests() == 2);
  CHECK_FALSE(reply.answered);
  CHECK(reply.sent);
}

// Guards against a new connection for each call, which costs the worker more
// than the call.
TEST_CASE_METHOD(client_of_a_breaking_server,
                 "post_once_connections_are_kept") {
  for (int i = 0; i < 2; ++i)
    Post();
  CHECK(Post().status == 503);
  const int before = server.Connections();
  for (int i = 0; i < 5; ++i)
    CHECK(Post().status == 503);
  CHECK(server.Connections() == before);
}

}  // namespace
}  // namespace cassiaferry
