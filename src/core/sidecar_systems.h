// Functions shared by the source files of the sidecar. Private to src/core.

#ifndef CASSIAFERRY_SRC_CORE_SIDECAR_SYSTEMS_H_
#define CASSIAFERRY_SRC_CORE_SIDECAR_SYSTEMS_H_

#include "cassiaferry/sidecar.h"

namespace cassiaferry {

// ---- Neighbours (sidecar_neighbours.cc) -------------------------------------

// The entry at this address; new ones are added.
entry_id AddEntryAddress(sidecar_state& s,
                         const std::string& address,
                         bool is_seed);
void UpdateDirectoryRow(sidecar_state& s, const directory_row& row);
// Chooses the neighbours anew when it is time, and asks entries that have not
// been neighbours for a while to close their streams.
void TickNeighbours(sidecar_state& s, micros now);
// When to dial an entry again that was dialled in vain.
micros NextDial(sidecar_state& s, micros now, const entry_link& link);
// How long an entry may take to answer a dial. Failure guarded against: an
// entry that is short of processor time is dialled again and again while it
// still answers the first dial, and is then later still.
micros DialTimeout(const sidecar_state& s, const entry_link& link);
// Whether dials to this address have failed for so long that it is dialled only
// now and then, and another entry takes its place; seeds never are. Failure
// guarded against: a replaced entry never returns to its old address, and
// dialling it costs one connection attempt after another.
bool IsGone(const entry_link& link, micros now);

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

// ---- Worker record (sidecar_record.cc) --------------------------------------

void HandleRecordStoreAnswer(sidecar_state& s,
                             micros now,
                             const rows_reply& reply);
// Reads the record at the start and writes it when the worker has changed.
void KeepWorkerRecord(sidecar_state& s, micros now);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_SRC_CORE_SIDECAR_SYSTEMS_H_
