// Entry's end of the streams: a gRPC server that sidecars dial.

#ifndef CASSIAFERRY_SRC_NET_LINK_SERVER_H_
#define CASSIAFERRY_SRC_NET_LINK_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "cassiaferry/entry.h"

namespace cassiaferry {

class link_server {
 public:
  // Both are called on traffic threads.
  using frame_callback = std::function<void(link_id, sidecar_frame)>;
  using lost_callback = std::function<void(link_id)>;

  link_server(frame_callback on_frame, lost_callback on_lost);
  ~link_server();

  // Listens on "ip:port"; port 0 takes a free one. Returns the address in use,
  // empty if it can't be had.
  std::string Start(const std::string& address);

  void Send(
      link_id link,
      const entry_frame& frame);  // frames to a stream that is gone are dropped
  void Close(link_id link);       // at once, what is queued is dropped
  void Finish();  // waits until what is queued is written, then stops
  uint64_t BytesSent() const;  // of frames written

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace cassiaferry

#endif  // CASSIAFERRY_SRC_NET_LINK_SERVER_H_
