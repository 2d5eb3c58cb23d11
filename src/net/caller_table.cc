// Connections of an HTTP server's callers.

#include "caller_table.h"

#include <sys/socket.h>

#include <utility>

#include "control_loop.h"

namespace cassiaferry {

caller_table::caller_table(const intake_options& options, std::string refusal)
    : refusal_(std::move(refusal)) {
  intake_.options = options;
}

connection_id caller_table::Add(int socket) {
  const std::lock_guard lock(mutex_);
  const connection_id id{next_id_++};
  sockets_.emplace(id, socket);
  if (const auto closed = AddConnection(intake_, Now(), id))
    GiveUp(*closed);
  return id;
}

void caller_table::Remove(connection_id id) {
  const std::lock_guard lock(mutex_);
  RemoveConnection(intake_, id);
  sockets_.erase(id);
  given_up_.erase(id);
}

bool caller_table::IsGivenUp(connection_id id) const {
  const std::lock_guard lock(mutex_);
  return given_up_.count(id) != 0;
}

void caller_table::Begin(connection_id id) {
  const std::lock_guard lock(mutex_);
  RecordBegin(intake_, Now(), id);
}

void caller_table::Receive(connection_id id, size_t bytes) {
  const std::lock_guard lock(mutex_);
  for (const closed_connection& closed : RecordReceiving(intake_, id, bytes))
    GiveUp(closed);
}

held_bytes caller_table::Take(connection_id id, size_t bytes) {
  const std::lock_guard lock(mutex_);
  if (!TakeRequest(intake_, id, bytes))
    return nullptr;
  const auto release = [self = shared_from_this(), bytes](const void*) {
    const std::lock_guard release_lock(self->mutex_);
    ReleaseRequest(self->intake_, bytes);
  };
  return {this, release};
}

void caller_table::CountTooLarge() {
  const std::lock_guard lock(mutex_);
  ++intake_.counters.refused_too_large;
}

void caller_table::Answered(connection_id id) {
  const std::lock_guard lock(mutex_);
  RecordAnswered(intake_, Now(), id);
}

intake_counters caller_table::Counters() const {
  const std::lock_guard lock(mutex_);
  return intake_.counters;
}

// The connection's own thread sees the end and closes it.
void caller_table::GiveUp(const closed_connection& closed) {
  const auto it = sockets_.find(closed.id);
  if (it == sockets_.end())
    return;
  given_up_.insert(closed.id);
  if (closed.hears_why)
    send(it->second, refusal_.data(), refusal_.size(),
         MSG_DONTWAIT | MSG_NOSIGNAL);
  shutdown(it->second, SHUT_RDWR);
}

}  // namespace cassiaferry
