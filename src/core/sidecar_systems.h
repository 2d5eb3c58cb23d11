// Functions shared by the source files of the sidecar. Private to src/core.

#ifndef CASSIAFERRY_SRC_CORE_SIDECAR_SYSTEMS_H_
#define CASSIAFERRY_SRC_CORE_SIDECAR_SYSTEMS_H_

#include "cassiaferry/sidecar.h"

namespace cassiaferry {

// ---- Configuration and closed domains (sidecar_config.cc) -------------------

// Records the versions that a frame from the entry on this link reports, and
// takes over newer state that the frame holds.
void RecordOperatorState(sidecar_state& s,
                         micros now,
                         entry_id id,
                         const entry_frame& frame);
// Requests a configuration that is newer than the one here, from one entry.
void RequestConfig(sidecar_state& s, micros now);
// Sends the configuration and the closed domains to entries that have older
// versions.
void RelayOperatorState(sidecar_state& s, micros now);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_SRC_CORE_SIDECAR_SYSTEMS_H_
