// Connections of an HTTP server's callers, for any thread: closes those that
// `intake` gives up.

#ifndef CASSIAFERRY_SRC_NET_CALLER_TABLE_H_
#define CASSIAFERRY_SRC_NET_CALLER_TABLE_H_

#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "cassiaferry/ids.h"
#include "cassiaferry/intake.h"

namespace cassiaferry {

// Bytes of a request that count as unread until the last copy of this is gone.
using held_bytes = std::shared_ptr<const void>;

class caller_table : public std::enable_shared_from_this<caller_table> {
 public:
  // `refusal`: sent, as it is, to a caller whose connection is closed while it
  // sends a request.
  caller_table(const intake_options& options, std::string refusal);

  // The ids are never used again.
  connection_id Add(int socket);
  // Before the socket's descriptor is closed, as its number may be used again.
  void Remove(connection_id id);
  // The connection is to be closed; nothing more of it is read.
  bool IsGivenUp(connection_id id) const;

  void Begin(connection_id id);
  void Receive(connection_id id, size_t bytes);
  // Null: refused, there is no room for it.
  held_bytes Take(connection_id id, size_t bytes);
  void CountTooLarge();
  void Answered(connection_id id);

  intake_counters Counters() const;

 private:
  void GiveUp(const closed_connection& closed);

  const std::string refusal_;
  mutable std::mutex mutex_;  // guards what follows
  intake intake_;
  uint64_t next_id_ = 1;
  std::unordered_map<connection_id, int> sockets_;
  std::unordered_set<connection_id> given_up_;
};

}  // namespace cassiaferry

#endif  // CASSIAFERRY_SRC_NET_CALLER_TABLE_H_
