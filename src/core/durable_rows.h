// Rows of durable jobs, as text. Private to src/core.

#ifndef CASSIAFERRY_SRC_CORE_DURABLE_ROWS_H_
#define CASSIAFERRY_SRC_CORE_DURABLE_ROWS_H_

#include <optional>
#include <string>

#include "cassiaferry/entry.h"

namespace cassiaferry {

constexpr char kJobsTable[] = "jobs";
constexpr char kProgressTable[] = "progress";
constexpr char kEndedTable[] = "ended";
constexpr char kOwnersTable[] = "owners";
// Keys of the owners' table: "entry/LIFE", "cancel/ID".
constexpr char kEntryPrefix[] = "entry/";
constexpr char kCancelPrefix[] = "cancel/";

std::string JobRow(const leased_job& job, const std::string& owner);
std::string OwnerOf(const std::string& row);  // of a job, live or ended
uint32_t EpochOf(const std::string& job_row);
// The same job under another owner, its epoch one higher.
std::string WithOwner(const std::string& job_row, const std::string& owner);
// Without tasks. Empty: unreadable.
std::optional<leased_job> ReadJobRow(const std::string& id,
                                     const std::string& job_row);

std::string ProgressRow(const leased_job& job);
// Marks tasks done and counts failed runs.
void ReadProgressRow(const std::string& progress_row, leased_job& job);

// `owner`: of the job when it ended; `sweeper`: removes the row in time, and is
// another entry if a caller cancelled through that.
std::string EndedRow(const ended_job& ended,
                     const std::string& sweeper,
                     const std::string& owner);
std::string SweeperOf(const std::string& ended_row);
std::optional<ended_job> ReadEndedRow(const std::string& ended_row);

// Members of the own row beside the beat.
std::string OwnRowFields(const entry_state& s);
// The row of an owner that is gone, while its jobs are being taken over: they
// still count as waiting. Without its name, so that its machine's new process
// doesn't take them as its own.
std::string ClaimedRow(const peer_owner& peer, const std::string& by);
std::optional<peer_owner> ReadOwnerRow(const stored_row& row);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_SRC_CORE_DURABLE_ROWS_H_
