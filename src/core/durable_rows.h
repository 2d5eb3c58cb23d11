// Text form of the rows of durable jobs. Private to src/core.

#ifndef CASSIAFERRY_SRC_CORE_DURABLE_ROWS_H_
#define CASSIAFERRY_SRC_CORE_DURABLE_ROWS_H_

#include <map>
#include <optional>
#include <string>

#include "cassiaferry/entry.h"

namespace cassiaferry {

constexpr char kJobsTable[] = "jobs";
constexpr char kProgressTable[] = "progress";
constexpr char kEndedTable[] = "ended";
constexpr char kOwnersTable[] = "owners";
// Keys of the owners' table: "entry/INCARNATION", "cancel/JOB".
constexpr char kEntryPrefix[] = "entry/";
constexpr char kCancelPrefix[] = "cancel/";

std::string JobRow(const leased_job& job, const std::string& owner);
std::string OwnerOf(const std::string& row);  // of a job, live or ended
uint32_t EpochOf(const std::string& job_row);
// The same job row with another owner and the next epoch.
std::string WithOwner(const std::string& job_row, const std::string& owner);
// Reads a job without its tasks. Returns nullopt if the row is unreadable.
std::optional<leased_job> ReadJobRow(const std::string& id,
                                     const std::string& job_row);

std::string ProgressRow(const leased_job& job);
// Marks tasks as done, and restores the numbers of failed and abandoned runs.
void ReadProgressRow(const std::string& progress_row, leased_job& job);

// `owner`: the job's owner when it ended. `sweeper`: the entry that removes the
// row later; differs from the owner if a caller cancelled through another
// entry.
std::string EndedRow(const ended_job& ended,
                     const std::string& sweeper,
                     const std::string& owner);
std::string SweeperOf(const std::string& ended_row);
std::optional<ended_job> ReadEndedRow(const std::string& ended_row);

// Stored jobs that this entry owns and of which no task has started.
std::map<std::string, size_t> WaitingByQueue(const leased_state& l);
// JSON members of the own row besides the heartbeat.
std::string OwnRowFields(const entry_state& s);
// The row of a dead owner while its jobs are being taken over; the jobs still
// count as waiting. The name is left empty so that the new process on the
// owner's machine doesn't take the jobs for its own.
std::string ClaimedRow(const peer_owner& peer, const std::string& by);
std::optional<peer_owner> ReadOwnerRow(const stored_row& row);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_SRC_CORE_DURABLE_ROWS_H_
