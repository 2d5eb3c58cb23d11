// Converts frames between plain structs and their wire form.

#ifndef CASSIAFERRY_SRC_NET_CODEC_H_
#define CASSIAFERRY_SRC_NET_CODEC_H_

#include "cassiaferry/messages.h"
#include "link.pb.h"

namespace cassiaferry {

wire::EntryFrame ToWire(const entry_frame& frame);
wire::SidecarFrame ToWire(const sidecar_frame& frame);
entry_frame FromWire(wire::EntryFrame&& frame);
sidecar_frame FromWire(wire::SidecarFrame&& frame);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_SRC_NET_CODEC_H_
