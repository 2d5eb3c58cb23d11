// What the files of the sidecar share. Private to src/core.

#ifndef CASSIAFERRY_SRC_CORE_SIDECAR_SYSTEMS_H_
#define CASSIAFERRY_SRC_CORE_SIDECAR_SYSTEMS_H_

#include "cassiaferry/sidecar.h"

namespace cassiaferry {

// ---- The operators' word (sidecar_config.cc) --------------------------------

// A frame of the entry on this link came, with the versions that it knows.
void RecordOperatorState(sidecar_state& s,
                         micros now,
                         entry_id id,
                         const entry_frame& frame);
// Asks one entry for a configuration that is newer than the one here.
void RequestConfig(sidecar_state& s, micros now);
// Sends the configuration and the closings to entries that have older ones.
void RelayOperatorState(sidecar_state& s, micros now);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_SRC_CORE_SIDECAR_SYSTEMS_H_
