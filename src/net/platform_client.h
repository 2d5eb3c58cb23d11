// The platform's table and object store over HTTP, as JSON.
//
// A reply that is not answered leaves open whether a write took effect.

#ifndef CASSIAFERRY_SRC_NET_PLATFORM_CLIENT_H_
#define CASSIAFERRY_SRC_NET_PLATFORM_CLIENT_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "cassiaferry/claims.h"
#include "http_client.h"

namespace cassiaferry {

class platform_client {
 public:
  // All callbacks run on the HTTP client's thread.
  using transaction_callback =
      std::function<void(bool answered, std::vector<table_result>)>;
  using rows_callback =
      std::function<void(bool answered, std::vector<std::optional<table_row>>)>;
  using object_callback = std::function<void(bool answered, std::string body)>;

  // `address`: "ip:port"; empty: there is no platform, and no call is answered.
  platform_client(http_client& http, std::string address);

  void Transact(const std::vector<table_op>& ops, transaction_callback done);
  void Read(const std::vector<std::string>& keys, rows_callback done);
  void List(const std::string& prefix, rows_callback done);
  void PutObject(const std::string& name,
                 std::string body,
                 object_callback done);
  void GetObject(const std::string& name, object_callback done);

 private:
  std::string Url(const std::string& path) const;

  http_client& http_;
  std::string address_;
};

}  // namespace cassiaferry

#endif  // CASSIAFERRY_SRC_NET_PLATFORM_CLIENT_H_
