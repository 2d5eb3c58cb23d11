// The worker record: a sidecar starts with what its predecessor knew.
//
// Contents
//   [1] Row
//   [2] Reads and writes
//   [3] The lease manager's use of a record
//   [4] Emulated loss of all processes

#include <algorithm>
#include <catch2/catch.hpp>

#include "cassiaferry/json_fields.h"
#include "cassiaferry/worker_record.h"
#include "emulated_fixtures.h"
#include "emulator/seeded_day.h"

namespace cassiaferry::emulator {
namespace {

leased_worker_info Worker(const std::string& id, int64_t started_ms) {
  leased_worker_info worker;
  worker.session = {id, started_ms};
  worker.upstream = "slots";
  worker.capacity = {16'000, 1000, 2};
  worker.labels = {"fast", "near"};
  return worker;
}

// ---- [1] Row ----------------------------------------------------------------

// Guards against a successor that uses a worker with other properties than its
// predecessor knew.
TEST_CASE("worker_row_written_and_read_is_the_same") {
  const leased_worker_info worker = Worker("life", 1'000'000);
  REQUIRE(ReadWorkerRow(WriteWorkerRow(worker)) == worker);
}

// Guards against a process that ends, or a worker of unknown capacity that gets
// work, because another writer's row has missing or unexpected fields.
TEST_CASE("worker_row_malformed_names_no_worker") {
  const nlohmann::json whole =
      nlohmann::json::parse(WriteWorkerRow(Worker("life", 1'000'000)));
  for (const auto& [name, value] : whole.items()) {
    INFO(name);
    nlohmann::json without = whole;
    without.erase(name);
    REQUIRE(!ReadWorkerRow(without.dump()));
    for (const nlohmann::json& wrong :
         {nlohmann::json(), nlohmann::json(-1), nlohmann::json::object(),
          nlohmann::json::array({1})}) {
      nlohmann::json other = whole;
      other[name] = wrong;
      REQUIRE(!ReadWorkerRow(other.dump()));
    }
  }
  for (const char* text : {"", "{", "[]", "7", "null", "\xff"})
    REQUIRE(!ReadWorkerRow(text));
}

// ---- [2] Reads and writes ---------------------------------------------------

// A record whose calls are carried out on an emulated store, a second apart.
struct record_on_a_store {
  rows_reply Carry(const row_call& call) {
    return std::visit([this](const auto& c) { return Do(store, c); }, call);
  }
  record_outcome Exchange() {
    now = now + Millis(1000);
    return HandleRecordAnswer(r, Carry(NextRecordCall(r, now).value()));
  }
  void Write(const std::string& id) {
    SetWantedRecord(r, Worker(id, 1000));
    Exchange();
  }
  std::optional<row_call> NextAfter(micros time) {
    now = now + time;
    return NextRecordCall(r, now);
  }
  void RequireRow(const std::string& id) const {
    REQUIRE(ReadWorkerRow(store.rows.at(row).value) == Worker(id, 1000));
  }

  emulated_store& store;
  worker_record_state r = MakeWorkerRecord("sidecar-1", true);
  micros now = Millis(1000);
  const row_key row{kWorkersTable, "sidecar-1"};
};

struct one_record {
  emulated_store store;
  record_on_a_store record{store};
  record_on_a_store successor{store};
};

// Guards against calls to the store beyond two per sidecar and session, and
// beyond one a second if the worker changes with each announcement.
TEST_CASE_METHOD(one_record, "record_calls_are_two_a_session_one_a_second") {
  record.Exchange();
  record.Write("first");
  REQUIRE(!record.NextAfter(Millis(9000)));
  record.Write("second");
  SetWantedRecord(record.r, Worker("third", 1000));
  REQUIRE(!record.NextAfter(Millis(999)));
  record.Exchange();
  record.RequireRow("third");
}

// Guards against a late write of a predecessor that replaces the record of its
// successor, or that keeps the successor from writing for ever.
TEST_CASE_METHOD(one_record, "record_late_write_of_predecessor_does_not_last") {
  record.Exchange();
  successor.Exchange();
  SetWantedRecord(record.r, Worker("first", 1000));
  const row_call late = record.NextAfter(Millis(1000)).value();
  const bool is_later = GENERATE(true, false);
  if (!is_later)
    record.Carry(late);
  successor.Write("second");
  if (is_later)
    REQUIRE(record.Carry(late).status == store_status::conflict);
  else
    successor.Exchange();
  record.RequireRow("second");
}

// Guards against endless writes, or none ever: the answer to a write that was
// done is lost, then the successor's read is not answered.
TEST_CASE_METHOD(one_record, "record_calls_without_answer_are_made_good") {
  record.Exchange();
  SetWantedRecord(record.r, Worker("first", 1000));
  record.Carry(record.NextAfter(Millis(1000)).value());
  HandleRecordAnswer(record.r, {});
  record.Exchange();
  REQUIRE(!record.NextAfter(Millis(9000)));
  record.RequireRow("first");
  REQUIRE(successor.NextAfter(Millis(1000)));
  HandleRecordAnswer(successor.r, {});
  successor.Write("second");
  successor.Exchange();
  successor.RequireRow("second");
}

// Guards against a successor that assumes a worker that drains.
TEST_CASE_METHOD(one_record, "record_of_a_draining_worker_is_deleted") {
  record.Exchange();
  record.Write("first");
  SetWantedRecord(record.r, std::nullopt);
  record.Exchange();
  REQUIRE(store.rows.empty());
  REQUIRE(!record.NextAfter(Millis(9000)));
}

// Guards against log lines without their name: the text must outlive the call.
TEST_CASE_METHOD(one_record, "record_calls_answered_log_lines_have_names") {
  REQUIRE(std::string(record.Exchange().what) == "worker record read");
  SetWantedRecord(record.r, Worker("first", 1000));
  REQUIRE(std::string(record.Exchange().what) == "worker record written");
  SetWantedRecord(record.r, Worker("second", 1000));
  store.rows.clear();
  REQUIRE(std::string(record.Exchange().what) == "worker record not written");
}

// Guards against use of a malformed row or, as a page of one row begins with
// the next key if there is none, of another sidecar's row.
TEST_CASE_METHOD(one_record, "record_absent_or_malformed_names_no_worker") {
  if (GENERATE(true, false))
    store.rows[record.row] = {"{", 1};
  store.rows[{kWorkersTable, "sidecar-10"}] = {
      WriteWorkerRow(Worker("other", 1000)), 1};
  REQUIRE(!record.Exchange().worker);
  record.Write("first");
  record.RequireRow("first");
}

// ---- [3] The lease manager's use of a record --------------------------------

// A lease manager that has just started and has read a record.
struct manager_with_a_record {
  manager_with_a_record() { Handle(worker_record_read{recorded}); }

  void Handle(const lease_manager_event& event) {
    HandleLeaseManagerEvent(k, now, event);
    TickLeaseManager(k, now);
  }
  void Announce(const std::string& id,
                int64_t started_ms,
                bool drains = false) {
    Handle(leased_worker_announced{Worker(id, started_ms), 5, drains});
  }
  poll_answered PollAnswer(int64_t started_ms, worker_answer answer) const {
    return {k.open_poll, k.worker.session, answer, started_ms, 1, {}, {}};
  }
  void Answer(int64_t started_ms, worker_answer answer = worker_answer::ok) {
    Handle(PollAnswer(started_ms, answer));
  }
  void RequireAsWithoutRecord() const {
    REQUIRE(!k.record);
    REQUIRE(!k.has_worker);
    REQUIRE(!k.announced);
    REQUIRE(k.past_sessions.empty());
    REQUIRE(k.sessions_met == 0);
  }

  const leased_worker_info recorded = Worker("worker", 1'000'000);
  micros now = Millis(1000);
  lease_manager_state k = MakeLeaseManager({});
};

// Guards against tasks that start on a worker that is gone: it never answers.
TEST_CASE_METHOD(manager_with_a_record,
                 "record_unanswered_worker_takes_no_work") {
  for (int i = 0; i < 100; ++i) {
    Answer(0, worker_answer::none);
    now = now + Millis(100);
    REQUIRE(!AcceptsLeasedWork(k, now));
    REQUIRE(FreeResources(k) == resources{});
  }
}

// Guards against a delay until the next announcement, and against two
// concurrent runs of a task: runs of the predecessor are stopped first.
TEST_CASE_METHOD(manager_with_a_record,
                 "record_answered_by_its_session_counts_as_announced") {
  poll_answered first = PollAnswer(1'000'000, worker_answer::ok);
  first.running.push_back({{{"job", 0, 0, 0}, 1}, 50});
  Handle(first);
  REQUIRE(k.announced);
  REQUIRE(k.orphan_runs.size() == 1);
  REQUIRE(!AcceptsLeasedWork(k, now));
  Answer(1'000'000);
  REQUIRE(AcceptsLeasedWork(k, now));
  REQUIRE(k.worker == recorded);
  REQUIRE(k.sequence == 0);
  Announce("worker", 1'000'000, true);
  REQUIRE(k.draining);
}

// Guards against a stale record: its id was used again (an answer without a
// start time proves nothing), the worker was replaced, or it leaves.
TEST_CASE_METHOD(manager_with_a_record, "record_refuted_is_dropped") {
  SECTION("later start") {
    Answer(1'005'000);
  }
  SECTION("earlier start") {
    Answer(999'000);
  }
  SECTION("unknown start") {
    Answer(0);
  }
  SECTION("other id") {
    Answer(0, worker_answer::other_session);
  }
  SECTION("leaves") {
    Handle(leased_worker_deregistered{recorded.session});
  }
  RequireAsWithoutRecord();
}

// Guards against a record that hides or delays an announcement, whatever its
// session, and against a late answer to the record's poll that counts for it.
TEST_CASE_METHOD(manager_with_a_record,
                 "record_unanswered_announcement_counts_at_once") {
  const std::string id = GENERATE("worker", "next");
  const int64_t started_ms = GENERATE(0, 999'000, 1'000'000, 1'005'000);
  const poll_answered late = PollAnswer(1'000'000, worker_answer::ok);
  if (GENERATE(true, false))
    Answer(0, worker_answer::none);
  k.actions.clear();
  Announce(id, started_ms);
  REQUIRE(k.worker == Worker(id, started_ms));
  REQUIRE(k.announced);
  REQUIRE(!k.successor);
  REQUIRE(k.sessions_met == 1);
  const call_poll poll = std::get<call_poll>(k.actions.back());
  REQUIRE(poll.session == k.worker.session);
  REQUIRE(poll.timeout_ms == ToMillis(k.options.call_timeout));
  Handle(late);
  REQUIRE(!AcceptsLeasedWork(k, now));
  Answer(started_ms);
  REQUIRE(AcceptsLeasedWork(k, now));
}

// Guards against a slow store: the record comes when a session is known, or
// when it has ended.
TEST_CASE_METHOD(manager_with_a_record,
                 "record_read_after_an_announcement_has_no_effect") {
  Announce("next", 1'005'000);
  Handle(worker_record_read{recorded});
  REQUIRE(k.worker.session.id == "next");
  Answer(0, worker_answer::other_session);
  Handle(worker_record_read{recorded});
  REQUIRE(!k.has_worker);
}

// ---- [4] Emulated loss of all processes -------------------------------------

// All entries and sidecars are killed while workers run tasks.
struct loss_of_all_processes {
  static world_options Options(bool keeps_records) {
    world_options options;
    options.workers = 12;
    options.announce_every = Millis(1500);
    options.keeps_worker_records = keeps_records;
    return options;
  }
  explicit loss_of_all_processes(bool keeps_records = true)
      : w(Options(keeps_records)) {
    w.Pass(Millis(3100));
    for (int i = 0; i < 24; ++i)
      w.Submit(MakeJob("job-" + std::to_string(i), 4, 2000, 900));
    w.Pass(Millis(200));
  }

  void KillAll() {
    for (int i = 0; i < w.options.entries; ++i)
      w.KillEntry(i);
    for (int i = 0; i < w.options.workers; ++i)
      w.KillSidecar(i);
  }
  int TakingWork() const {
    return static_cast<int>(
        std::count_if(w.sidecars.begin(), w.sidecars.end(), [&](const auto& s) {
          return s.state == process_state::up &&
                 AcceptsLeasedWork(s.core->lease_manager, w.now);
        }));
  }

  world w;
};

// Guards against workers that take no work after a loss of all processes until
// they announce themselves, up to 1.5 s later.
TEST_CASE_METHOD(loss_of_all_processes,
                 "all_processes_lost_all_workers_take_work_within_100_ms") {
  KillAll();
  w.Pass(w.options.restart_after + Millis(100));
  REQUIRE(TakingWork() == w.options.workers);
  w.Pass(Millis(10'000));
  REQUIRE(w.Count(job_fate::completed) == 24);
  RequireNoneBroken(w.violations);
}

// Guards against a start that waits for the store: sidecars dial entries in
// their first tick, and workers take work after their announcement.
TEST_CASE_METHOD(loss_of_all_processes,
                 "all_processes_lost_store_silent_starts_as_without_records") {
  w.store.silent = true;
  const std::vector<uint64_t> before = w.dials;
  KillAll();
  w.Pass(w.options.restart_after + Millis(1));
  for (size_t i = 0; i < before.size(); ++i)
    REQUIRE(w.dials[i] > before[i]);
  w.Pass(w.options.announce_every + Millis(100));
  REQUIRE(TakingWork() == w.options.workers);
}

// Guards against effects of the setting when it is off.
TEST_CASE("records_off_store_is_neither_read_nor_written") {
  loss_of_all_processes off(false);
  off.KillAll();
  off.w.Pass(Millis(4000));
  REQUIRE(off.w.store.reads == 0);
  REQUIRE(off.w.store.transactions == 0);
  REQUIRE(WorkerRecordPrometheusText(*off.w.sidecars[0].core).empty());
}

// Guards against concurrent runs and lost jobs under faults of all kinds.
TEST_CASE("worker_records_seeded_faults_no_violation") {
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    day_options options{seed};
    options.keeps_worker_records = true;
    options.workers_keep_ids = seed % 2 == 0;
    const day_report day = PlaySeededDay(options);
    INFO("seed " << seed << "; cassiaferry-emulate --worker_records"
                 << (seed % 2 == 0 ? " --workers_keep_ids" : "") << " --replay "
                 << seed);
    RequireNoneBroken(day.violations);
    REQUIRE(day.completed > day.jobs / 4);
  }
}

}  // namespace
}  // namespace cassiaferry::emulator
