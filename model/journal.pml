/* One durable job of one task, its owner E and the entry F that takes over.
 *
 * E's writes form a chain: each expects the version of E's own row that the
 * previous one left. A write may stay in the network for any time, in two copies.
 * F takes over at any time, rightly or by a false alarm: it changes E's row, then
 * reads the job and what is stored about it. The worker lists an end until it is
 * acknowledged; after that the worker forgets it.
 *
 * Properties: a job that was confirmed to its caller has an owner; one that was
 * refused to its caller as not stored is never stored; a task does not
 * start after an end "done" that is acknowledged, then or later, unless the
 * worker's lease expired in between.
 *
 * Code: src/core/journal.cc, durable_jobs.cc, durable_adoption.cc. That E's runs
 * are over when F starts one is checked by model/leases.pml. Mutants:
 *
 *   NO_CHAIN       a write does not expect the row's version
 *   CONFIRM_EARLY  the job is confirmed to the caller before it is stored
 *   HEARS_LAST     a refusal of one copy counts as the answer to both
 *   SCAN_FIRST     F reads the job before it has changed the row
 *   ACK_EARLY      an end is acknowledged before it is stored
 *   NO_ABANDON     that a run was abandoned is not stored before the next starts
 *   NO_EXPIRY      an end that came too late is acknowledged at once
 *   ACK_UNKNOWN    E acknowledges an end that reaches it after it has left the job
 */

#define ACCEPT 1
#define SAVE 2
#define ABANDON 3
#define RUNS 4 /* numbered 1 to 3 */

byte row_version = 1;
bool row_taken = false;
bool job = false;
bool job_is_fs = false;
bool saved = false;       /* the task is stored as done */
byte abandoned = 0;       /* newest run stored as abandoned */

/* copies of E's writes in transit */
bool copy[2] = false;
byte copy_kind[2], copy_version[2], copy_run[2];

/* the worker */
bool running[RUNS] = false, done[RUNS] = false, acked[RUNS] = false;
bool expired[RUNS] = false;
bool after[RUNS] = false; /* another run began after this one's end */
byte newest = 0;

/* E */
bool e_deposed = false, e_confirmed = false, e_accepted = false;
byte e_op = 0, e_op_run = 0, e_version = 1;
bool e_waits = false, e_done = false;
bool e_refused = false;   /* the caller was told that the job is not stored */
byte e_copies = 0;        /* of the write, sent and not refused; 2: two or more */
byte e_run = 0;

/* F */
bool f_claimed = false, f_scanned = false, f_has = false;
bool f_waits = false, f_done = false;
byte f_abandoned = 0;
byte f_run = 0;

byte i, r;

inline start() {
  newest++;
  for (i : 1 .. RUNS - 1) {
    assert(!(done[i] && acked[i] && !expired[i]));
    if
    :: done[i] -> after[i] = true
    :: else
    fi
  };
  running[newest] = true
}

inline acknowledge(n) {
  assert(!after[n] || expired[n]);
  acked[n] = true
}

inline too_late(n) {
#ifndef NO_EXPIRY
  expired[n] = true;
  running[1] = false; running[2] = false; running[3] = false;
#endif
  acknowledge(n)
}

inline send(n) {
  copy[n] = true; copy_kind[n] = e_op; copy_version[n] = e_version; copy_run[n] = e_op_run;
  if
  :: e_copies < 2 -> e_copies++
  :: else
  fi
}

/* the store is down: nothing of a copy of the first write is done, and E reads that */
inline refuse() {
  if
#ifdef HEARS_LAST
  :: true ->
#else
  :: e_copies == 1 ->
#endif
     e_copies = 0; e_op = 0; e_refused = true; assert(!job)
  :: e_copies != 1
  fi
}

inline finish_op() {
  e_copies = 0;
  e_version = row_version;
  if
  :: e_op == ACCEPT -> e_accepted = true; e_confirmed = true; e_waits = true
  :: e_op == SAVE && !acked[e_op_run] -> acknowledge(e_op_run)
  :: e_op == ABANDON -> e_waits = true
  :: else
  fi;
  e_op = 0
}

active proctype owner() {
end_owner:
  do
  :: atomic { !e_deposed && e_op == 0 && !e_accepted && !e_refused ->
#ifdef CONFIRM_EARLY
       e_confirmed = true;
#endif
       e_op = ACCEPT }
  /* a copy is sent for the first time or again */
  :: atomic { !e_deposed && e_op != 0 && !copy[0] -> send(0) }
  :: atomic { !e_deposed && e_op != 0 && !copy[1] -> send(1) }
  /* an answer, or a conflict of the next copy, shows that it was applied */
  :: atomic { !e_deposed && e_op != 0 && !row_taken && row_version == e_version + 1 -> finish_op() }
  :: atomic { !e_deposed && row_taken -> e_deposed = true }
  :: atomic { !e_deposed && e_waits && e_op == 0 && newest < RUNS - 1 ->
       e_waits = false; start(); e_run = newest }
  /* the end is received */
  :: atomic { !e_deposed && e_op == 0 && !e_waits && !e_done && e_run != 0 && done[e_run] && !acked[e_run] ->
       e_done = true; e_op = SAVE; e_op_run = e_run;
#ifdef ACK_EARLY
       acknowledge(e_run)
#endif
     }
  /* the worker is unreachable until its lease has expired: the run is abandoned */
  :: atomic { !e_deposed && e_op == 0 && !e_waits && !e_done && e_run != 0 && !running[e_run] ->
#ifdef NO_ABANDON
       e_waits = true
#else
       e_op = ABANDON; e_op_run = e_run
#endif
     }
  /* the end of an abandoned run is received after the next run has begun */
  :: atomic { !e_deposed && e_op == 0 && e_run == 2 && done[1] && !acked[1] -> too_late(1) }
  :: e_deposed -> break
  od;
#ifdef ACK_UNKNOWN
end_left:
  do
  :: atomic { e_run != 0 && done[e_run] && !acked[e_run] -> acknowledge(e_run) }
  od
#endif
}

active proctype store() {
  goto end_store;
apply:
  atomic {
    copy[r] = false;
    if
    :: copy_kind[r] == ACCEPT && e_op == ACCEPT && !e_deposed -> refuse()
#ifdef NO_CHAIN
    :: copy_kind[r] != ACCEPT || !job ->
#else
    :: copy_version[r] == row_version && !row_taken ->
#endif
       assert(!f_scanned);
       row_version++;
       if
       :: copy_kind[r] == ACCEPT -> assert(!e_refused); job = true
       :: copy_kind[r] == SAVE -> saved = true
       :: copy_kind[r] == ABANDON -> abandoned = copy_run[r]
       fi
    :: copy_version[r] != row_version || row_taken
    fi;
    goto end_store
  };
end_store:
  do
  :: atomic { copy[0] -> r = 0; goto apply }
  :: atomic { copy[1] -> r = 1; goto apply }
  od
}

active proctype worker() {
end_worker:
  do
  :: atomic { running[1] -> running[1] = false; if :: done[1] = true :: skip fi }
  :: atomic { running[2] -> running[2] = false; if :: done[2] = true :: skip fi }
  :: atomic { running[3] -> running[3] = false; if :: done[3] = true :: skip fi }
  od
}

active proctype successor() {
#ifdef SCAN_FIRST
  atomic { f_has = job; f_done = saved; f_abandoned = abandoned };
  atomic { row_taken = true; f_claimed = true; f_scanned = true; job_is_fs = f_has };
#else
  atomic { row_taken = true; f_claimed = true };
  atomic { f_scanned = true; f_has = job; job_is_fs = job; f_done = saved; f_abandoned = abandoned };
#endif
  assert(!e_confirmed || f_has);
  f_waits = f_has && !f_done;
end_successor:
  do
  /* ends that the sidecars report */
  :: atomic { f_has && done[1] && !acked[1] ->
       if
       :: f_waits && 1 > f_abandoned -> f_waits = false; f_done = true; acknowledge(1)
       :: else -> too_late(1)
       fi }
  :: atomic { f_has && done[2] && !acked[2] ->
       if
       :: f_waits && 2 > f_abandoned -> f_waits = false; f_done = true; acknowledge(2)
       :: else -> too_late(2)
       fi }
  :: atomic { f_has && done[3] && !acked[3] ->
       if
       :: f_run == 3 && !f_done -> f_done = true; acknowledge(3)
       :: f_run != 3 && f_waits && 3 > f_abandoned -> f_waits = false; f_done = true; acknowledge(3)
       :: else -> too_late(3)
       fi }
  /* E's runs are over by then */
  :: atomic { f_waits && e_deposed && !running[1] && !running[2] && !running[3] && newest < RUNS - 1 ->
       f_waits = false; start(); f_run = newest }
  od
}
