// Sidecar's end of the streams: dials entries.

#ifndef CASSIAFERRY_SRC_NET_LINK_CLIENT_H_
#define CASSIAFERRY_SRC_NET_LINK_CLIENT_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "cassiaferry/sidecar.h"

namespace cassiaferry {

// All but `Wake` and `BytesSent` are for one thread, the control thread, which
// waits for frames here.
class link_client {
 public:
  // Both are called from `Wait` and `Finish`.
  using frame_callback = std::function<void(entry_id, entry_frame)>;
  using lost_callback = std::function<void(entry_id, link_epoch)>;

  link_client(frame_callback on_frame, lost_callback on_lost);
  ~link_client();

  // Takes what has come, and waits for it so long at most.
  void Wait(std::chrono::milliseconds most);
  void Wake();  // any thread: the wait that goes on, or the next one, ends

  // Opens a stream on a connection of its own. Failure guarded against: gRPC
  // shares connections between channels to one address, so a new stream could
  // land on the very connection that has gone silent.
  void Dial(entry_id link, const std::string& address, link_epoch epoch);

  void Send(entry_id link,
            const sidecar_frame&
                frame);  // dropped if its epoch is not the newest dialled
  void HangUp(entry_id link,
              link_epoch epoch);  // at once, what is queued is dropped
  void Finish();  // waits until what is queued is written, then closes all
  uint64_t BytesSent() const;  // any thread; of frames written

 private:
  struct impl;
  struct stream;
  std::unique_ptr<impl> impl_;
};

}  // namespace cassiaferry

#endif  // CASSIAFERRY_SRC_NET_LINK_CLIENT_H_
