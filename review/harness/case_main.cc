// Plays one case of the review: review/N/run.sh calls it with N and the file of
// the record. TROUBLE=0 in the environment leaves the disruption out.
//
// Exit codes: 0: the rule held; 1: it was broken; 2: the case couldn't run.
//
// Contents
//   [1] Clients
//   [2] What workers saw
//   [3] Case 1: entries are restarted in turn
//   [4] Case 2: a worker is lost for good
//   [5] Case 3: the store is down for a while
//   [6] Main

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "../../src/net/control_loop.h"
#include "deployment.h"

namespace cassiaferry::review {
namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;
constexpr int kMaxSeconds = 115;

constexpr int64_t kResendMs = 1300;    // of a client without an answer
constexpr int64_t kFinishMs = 14'000;  // `finish_s`
constexpr size_t kMaxLogLines = 40;

bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

// ---- [1] Clients ------------------------------------------------------------

// Hands jobs in. Without an answer, or after 502 or 504, a client sends the
// same job again to the next entry.
class clients {
 public:
  explicit clients(deployment& d) : d_(d) {}

  void Submit(size_t entry, const std::string& id, const json& job) {
    d_.Send(entry, "POST", id, job, [=, this](int status, const json&) {
      const std::lock_guard lock(mutex_);
      if (status / 100 == 2)
        accepted_.insert(id);
      else if (status == 0 || status == 502 || status == 504)
        again_.push_back({NowMs() + kResendMs, entry + 1, id, job});
    });
  }

  // Sends again what is due. Call it often.
  void Tick() {
    std::vector<resend> due;
    {
      const std::lock_guard lock(mutex_);
      const auto is_due = [now = NowMs()](const resend& r) {
        return r.at_ms <= now;
      };
      std::copy_if(again_.begin(), again_.end(), std::back_inserter(due),
                   is_due);
      std::erase_if(again_, is_due);
    }
    for (const resend& r : due)
      Submit(r.entry % d_.entries.size(), r.id, r.job);
  }

  void Wait(int64_t ms) {
    constexpr int64_t kStepMs = 20;
    const int64_t until = NowMs() + ms;
    while (NowMs() < until) {
      Tick();
      Sleep(std::min(kStepMs, std::max<int64_t>(1, until - NowMs())));
    }
  }

  std::set<std::string> Accepted() {
    const std::lock_guard lock(mutex_);
    return accepted_;
  }

 private:
  struct resend {
    int64_t at_ms = 0;
    size_t entry = 0;
    std::string id;
    json job;
  };

  deployment& d_;
  std::mutex mutex_;
  std::set<std::string> accepted_;
  std::vector<resend> again_;
};

// The states of jobs, asked for at the first entry that answers.
std::string StateOf(deployment& d, const std::string& id) {
  for (size_t i = 0; i < d.entries.size(); ++i) {
    json body;
    const int status = d.Call(i, "GET", id, body);
    if (status == 200)
      return body.value("state", "");
    if (status == 410)
      return "unknown";
  }
  return "no answer";
}

// ---- [2] What workers saw ---------------------------------------------------

std::string JobOf(const worker_run& r) {
  return r.task.substr(0, r.task.find('.'));
}

std::string ToText(const worker_run& r) {
  return r.task + " run " + std::to_string(r.run) + " on worker " +
         std::to_string(r.worker) + ", began at " +
         std::to_string(r.began / 1000) + " ms, ended at " +
         std::to_string(r.ended / 1000) + " ms (" +
         (r.how.empty() ? "runs" : r.how) + "), acknowledged at " +
         std::to_string(r.acknowledged / 1000) + " ms, lapsed at " +
         std::to_string(r.lapsed / 1000) + " ms";
}

std::map<std::string, std::vector<worker_run>> ByTask(
    const std::vector<worker_run>& runs) {
  std::map<std::string, std::vector<worker_run>> tasks;
  for (const worker_run& r : runs)
    tasks[r.task].push_back(r);
  return tasks;
}

// ---- [3] Case 1: entries are restarted in turn ------------------------------

// Jobs arrive at an even rate; each has eight tasks of about 1.4 to 3.6 s.
json BookingJob(uint64_t number) {
  constexpr int kTasks = 8;
  constexpr int kCpu = 20;
  constexpr int64_t kShortestMs = 1600;
  constexpr int64_t kSpreadMs = 1500;
  constexpr uint64_t kStep = 977;  // visits all durations evenly
  const auto extra =
      static_cast<int64_t>(number * kStep % static_cast<uint64_t>(kSpreadMs));
  return Job(kTasks, kCpu, kShortestMs + extra);
}

// Restarts an entry as the platform does: SIGTERM, SIGKILL after `graceS`.
void RestartEntry(deployment& d, record& log, size_t i) {
  constexpr int64_t kGraceMs = 6000;
  process& entry = d.entries[i];
  log.Add("SIGTERM to " + entry.name);
  d.Signal(entry, SIGTERM);
  const bool ended = d.WaitForEnd(entry, kGraceMs);
  log.Add(entry.name + (ended ? " has ended" : " was killed after graceS"));
  d.Restart(entry);
}

// TWICE: "a start after a run has ended `done`, if that end is taken note of
// then or later", "unless the worker's lease lapsed between the two".
int CheckTwice(deployment& d, record& log) {
  int broken = 0;
  for (const auto& [task, runs] : ByTask(d.Runs())) {
    for (const worker_run& done : runs) {
      if (done.how != "done" || done.acknowledged == 0 || done.lapsed != 0)
        continue;
      for (const worker_run& later : runs) {
        if (later.began <= done.ended)
          continue;
        ++broken;
        log.Add("BROKEN, TWICE: " + ToText(done));
        log.Add("    started again: " + ToText(later));
        d.CopyLogLines(JobOf(done), kMaxLogLines);
      }
    }
  }
  d.CopyLogLines("jobs left to other entries", kMaxLogLines);
  log.Add("starts after an end `done` that was taken note of: " +
          std::to_string(broken));
  return broken == 0 ? kHeld : kBroken;
}

int PlayRestarts(record& log) {
  constexpr int64_t kSubmitEveryMs = 15;
  constexpr int64_t kStayMs = 2000;  // two misses of the readiness probe
  constexpr int64_t kBeforeMs = 4000;
  constexpr int64_t kGapMs = 2000;
  deployment_options options;
  options.entries = 4;
  deployment d(options, log);
  clients callers(d);
  std::atomic<bool> is_over{false};
  std::atomic<int64_t> left_at[4] = {INT64_MAX, INT64_MAX, INT64_MAX,
                                     INT64_MAX};
  std::thread restarts([&] {
    Sleep(kBeforeMs);
    for (size_t i = 0; i < d.entries.size(); ++i) {
      left_at[i] = NowMs() + kStayMs;
      if (HasTrouble())
        RestartEntry(d, log, i);
      else
        Sleep(kStayMs);
      left_at[i] = INT64_MAX;
      Sleep(kGapMs);
    }
    is_over = true;
  });
  // Clients stay with a stopping entry until the platform's probes have missed
  // it twice.
  for (uint64_t number = 1; !is_over; ++number) {
    size_t entry = number % d.entries.size();
    if (NowMs() >= left_at[entry])
      entry = (entry + 1) % d.entries.size();
    callers.Submit(entry, JobId(number), BookingJob(number));
    callers.Wait(kSubmitEveryMs);
  }
  restarts.join();
  callers.Wait(kFinishMs);
  log.Add("jobs accepted: " + std::to_string(callers.Accepted().size()));
  if (callers.Accepted().empty())
    return kCouldNotRun;
  return CheckTwice(d, log);
}

// ---- [4] Case 2: a worker is lost for good ----------------------------------

constexpr int kTaskCpu = 1000;
constexpr size_t kLostWorker = 0;

struct idle_sample {
  std::set<std::string> running;  // jobs
  // For four tasks, while under half of what the service has is in use.
  bool has_capacity = false;
};

idle_sample TakeSample(deployment& d) {
  constexpr int64_t kTwoTasksTwiceOver = 4;
  idle_sample sample;
  std::vector<int64_t> used(d.workers.size(), 0);
  for (const worker_run& r : d.Runs()) {
    if (r.ended != 0 || d.workers[r.worker].pid == 0)
      continue;
    used[r.worker] += kTaskCpu;
    sample.running.insert(JobOf(r));
  }
  int64_t total = 0;
  int64_t in_use = 0;
  int64_t tasks_that_fit = 0;
  for (size_t i = 0; i < used.size(); ++i) {
    if (d.workers[i].pid == 0)
      continue;
    total += kWorkerCpu;
    in_use += used[i];
    tasks_that_fit += (kWorkerCpu - used[i]) / kTaskCpu;
  }
  sample.has_capacity =
      tasks_that_fit >= kTwoTasksTwiceOver && 2 * in_use < total;
  return sample;
}

// LOST: "`finish_s` after the end of the traffic jobs are asked for: [...] for
// 3 s, a job has nothing running while a task's turn has come, there is
// capacity for it twice over, and under half of the service's capacity is in
// use".
int CheckStarved(deployment& d, record& log, std::set<std::string> jobs) {
  constexpr int64_t kStarvedMs = 3000;
  constexpr int64_t kSampleMs = 250;
  constexpr size_t kMostListed = 5;
  std::erase_if(jobs, [&](const std::string& id) {
    const std::string state = StateOf(d, id);
    return state != "queued" && state != "running";
  });
  log.Add("jobs that have not ended, `finish_s` after the traffic: " +
          std::to_string(jobs.size()));
  const int64_t until = NowMs() + kStarvedMs;
  while (NowMs() < until && !jobs.empty()) {
    const idle_sample sample = TakeSample(d);
    if (!sample.has_capacity) {
      log.Add("too little capacity is free to tell");
      return kHeld;
    }
    for (const std::string& id : sample.running)
      jobs.erase(id);
    Sleep(kSampleMs);
  }
  std::erase_if(jobs, [&](const std::string& id) {
    const std::string state = StateOf(d, id);
    return state != "queued" && state != "running";
  });
  log.Add(
      "BROKEN, LOST, if above 0: jobs that had nothing running for 3 s "
      "while workers were free: " +
      std::to_string(jobs.size()));
  size_t listed = 0;
  for (const std::string& id : jobs) {
    if (++listed > kMostListed)
      break;
    log.Add("    " + id + " is shown as " + StateOf(d, id));
    d.CopyLogLines(id, kMaxLogLines);
  }
  return jobs.empty() ? kHeld : kBroken;
}

int PlayLostWorker(record& log) {
  constexpr int64_t kOtherMs = 900;
  constexpr int64_t kSmallMs = 200;
  constexpr int kSmallTasks = 2;
  constexpr int64_t kStepMs = 20;
  // Tenths of a job for each step: 100 jobs a second, which use 40 of 64 cores,
  // and 1.8 times as many in the burst.
  constexpr int kUsual = 20;
  constexpr int kBurst = 36;
  constexpr int64_t kUsualMs = 3000;
  constexpr int64_t kBurstMs = 4000;
  constexpr uint64_t kOtherNumber = 1'000'000;
  deployment_options options;
  options.workers = 8;
  options.first_worker_is_other = true;
  deployment d(options, log);
  clients callers(d);
  uint64_t number = 0;
  const auto submit_for = [&](int64_t ms, int tenths) {
    int due = 0;
    const int64_t until = NowMs() + ms;
    while (NowMs() < until) {
      for (due += tenths; due >= 10; due -= 10) {
        ++number;
        callers.Submit(number % 2, JobId(number),
                       Job(kSmallTasks, kTaskCpu, kSmallMs));
      }
      callers.Wait(kStepMs);
    }
  };
  const std::string other = JobId(kOtherNumber);
  json job = Job(1, kTaskCpu, kOtherMs);
  job["steps"][0]["requires"] = "b";
  callers.Submit(0, other, job);
  callers.Wait(kOtherMs / 4);
  const std::vector<worker_run> runs = d.Runs();
  const bool runs_there =
      std::any_of(runs.begin(), runs.end(), [&](const worker_run& r) {
        return JobOf(r) == other && r.worker == kLostWorker && r.ended == 0;
      });
  if (!runs_there)
    throw std::runtime_error("the job of the other kind does not run");
  if (HasTrouble()) {
    process& lost = d.workers[kLostWorker];
    log.Add(lost.name + ", the only one of its kind, is lost for good");
    d.Signal(lost, SIGKILL);
    d.WaitForEnd(lost, kOtherMs);
  }
  submit_for(kUsualMs, kUsual);
  log.Add("burst begins");
  submit_for(kBurstMs, kBurst);
  log.Add("burst ends");
  submit_for(kUsualMs, kUsual);
  log.Add("end of the traffic");
  callers.Wait(kFinishMs);
  std::set<std::string> jobs = callers.Accepted();
  log.Add("jobs accepted: " + std::to_string(jobs.size()));
  log.Add("the job of the other kind is shown as " + StateOf(d, other));
  jobs.erase(other);  // no worker can run it
  return CheckStarved(d, log, std::move(jobs));
}

// ---- [5] Case 3: the store is down for a while ------------------------------

// LOST: "it is shown as `failed` or `canceled` without cause (only ends
// `failed` count as attempts)".
int CheckFailedWithoutCause(deployment& d,
                            record& log,
                            const std::set<std::string>& jobs,
                            size_t max_attempts) {
  const std::vector<worker_run> runs = d.Runs();
  int broken = 0;
  for (const std::string& id : jobs) {
    std::map<std::string, size_t> failures;
    for (const worker_run& r : runs) {
      if (JobOf(r) == id && r.how == "failed")
        ++failures[r.task];
    }
    size_t most = 0;
    for (const auto& [task, count] : failures)
      most = std::max(most, count);
    log.Add(id + " is shown as failed; the most failed runs of a task: " +
            std::to_string(most) + " of " + std::to_string(max_attempts));
    if (most >= max_attempts)
      continue;
    ++broken;
    log.Add("BROKEN, LOST: " + id + " has failed without cause");
    for (const worker_run& r : runs) {
      if (JobOf(r) == id)
        log.Add("    " + ToText(r));
    }
    d.CopyLogLines(id, kMaxLogLines);
  }
  return broken == 0 ? kHeld : kBroken;
}

int PlayStoreOutage(record& log) {
  constexpr int kMaxAttempts = 3;
  constexpr int kEntries = 4;
  constexpr int kWorkers = 11;
  constexpr uint64_t kGoodJobs = 80;
  constexpr uint64_t kHopelessJobs = 4;
  constexpr int64_t kGoodEveryMs = 25;
  constexpr int kTasks = kWorkers;
  constexpr int64_t kRunMs = 3000;
  constexpr int64_t kOutageMs = 2800;
  constexpr int64_t kBeforeOutageMs = 200;
  constexpr uint64_t kHopelessNumber = 1'000'000;
  constexpr int64_t kPollMs = 200;
  constexpr int64_t kMostMs = 30'000;
  deployment_options options;
  options.entries = kEntries;
  options.workers = kWorkers;
  options.max_attempts = kMaxAttempts;
  deployment d(options, log);
  clients callers(d);
  std::set<std::string> open;
  for (uint64_t i = 0; i < kHopelessJobs; ++i) {
    json job = Job(kTasks, 500, kRunMs);
    job["spec"] = "fail:" + std::to_string(kRunMs);
    job["steps"][0]["antiAffinity"] = 1;
    const std::string id = JobId(kHopelessNumber + i);
    callers.Submit(i % kEntries, id, job);
    open.insert(id);
  }
  for (uint64_t i = 1; i <= kGoodJobs; ++i) {
    callers.Submit(i % kEntries, JobId(i), Job(2, 500, 100));
    callers.Wait(kGoodEveryMs);
  }
  callers.Wait(kBeforeOutageMs);
  if (HasTrouble())
    d.SetStore({{"down", true}});
  callers.Wait(kOutageMs);
  if (HasTrouble())
    d.SetStore({{"down", false}});
  std::set<std::string> failed;
  const int64_t until = NowMs() + kMostMs;
  while (!open.empty() && NowMs() < until) {
    callers.Wait(kPollMs);
    std::erase_if(open, [&](const std::string& id) {
      const std::string state = StateOf(d, id);
      if (state != "failed")
        return false;
      failed.insert(id);
      return true;
    });
  }
  if (failed.empty())
    throw std::runtime_error("no job is shown as failed");
  return CheckFailedWithoutCause(d, log, failed, kMaxAttempts);
}

// ---- [6] Main ---------------------------------------------------------------

int Play(const std::string& name, const std::string& file) {
  record log(file);
  log.Add(HasTrouble() ? "with the disruption" : "without the disruption");
  int result = kCouldNotRun;
  try {
    if (name == "1")
      result = PlayRestarts(log);
    else if (name == "2")
      result = PlayLostWorker(log);
    else if (name == "3")
      result = PlayStoreOutage(log);
  } catch (const std::exception& e) {
    log.Add(std::string("the case couldn't run: ") + e.what());
  }
  log.Add("exit code " + std::to_string(result));
  return result;
}

}  // namespace
}  // namespace cassiaferry::review

int main(int argc, char** argv) {
  if (argc != 3)
    return cassiaferry::review::kCouldNotRun;
  signal(SIGPIPE, SIG_IGN);
  // The processes that it started end with this one.
  signal(SIGALRM, [](int) { _exit(cassiaferry::review::kCouldNotRun); });
  alarm(cassiaferry::review::kMaxSeconds);
  return cassiaferry::review::Play(argv[1], argv[2]);
}
