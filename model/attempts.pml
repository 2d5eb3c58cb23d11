/* The attempts of one durable task, of which every run fails, its owners in turn
 * and the sidecar that holds the ends of its runs.
 *
 * An end is reported to the owner, again and again, until it is resolved, and to
 * the next owner after a takeover. The row holds what the owner has counted. An
 * owner may die at any time; the next one knows what was stored, and no run is
 * left when it starts one.
 *
 * Properties: the job fails only after MAX runs have failed (FAILED); no run
 * starts after MAX failed ones whose ends are acknowledged, then or later, before
 * the worker's lease has expired (BUDGET).
 *
 * Code: src/core/leased_jobs.cc (CountFailedRun), durable_ends.cc, durable_rows.cc.
 * Mutants:
 *
 *   BY_ARRIVAL      each arrival of an end counts
 *   SET_NOT_STORED  the row holds the number of failed runs, not which they are
 *   ACK_UNSTORED    an end is resolved when it is counted
 *   LATE_NOT_EXPIRED  the last end allowed, found after the next start, is counted
 *                   as if nothing had started since
 */

#define MAX 3
#define RUNS 6 /* numbered 1 to 5 */
#define HAS(set, n) ((set) & (1 << (n)))

byte started = 0;
bool running = false;
byte failures = 0;   /* runs that have failed */
bool held[RUNS] = false;
byte known = 0; /* acknowledged, with no lease expired before */
byte before = 0; /* runs that had failed when the newest run started */
byte known_before = 0; /* number of those that are acknowledged */

/* the owner */
byte count = 0, counted = 0;
bool waits = true, job_failed = false;

/* the row */
byte row_count = 0, row_counted = 0;

byte n;

inline acknowledge() {
  held[n] = false;
  known++;
  if
  :: HAS(before, n) -> known_before++
  :: else
  fi;
  assert(known_before < MAX) /* BUDGET */
}

inline count_run() {
  count++;
  counted = counted | (1 << n);
#ifdef ACK_UNSTORED
  acknowledge();
#endif
  if
  :: count >= MAX ->
       job_failed = true;
       waits = false;
       assert(failures >= MAX) /* FAILED */
  :: else
  fi
}

inline arrive() {
  if
#ifndef BY_ARRIVAL
  :: HAS(counted, n) -> skip
  :: !HAS(counted, n) ->
#else
  :: true ->
#endif
       if
       :: n == started -> waits = true; count_run()
       /* the task has started again since */
#ifdef LATE_NOT_EXPIRED
       :: n != started -> count_run()
#else
       :: n != started && count + 1 < MAX -> count_run()
       :: n != started && count + 1 >= MAX -> held[n] = false /* lease expired */
#endif
       fi
  fi
}

active proctype system() {
end_system:
  do
  :: atomic { waits && !running && !job_failed && started < RUNS - 1 ->
       before = (1 << (started + 1)) - 1; known_before = known;
       assert(known_before < MAX); /* BUDGET */
       waits = false; started++; running = true }
  :: atomic { running -> running = false; failures++; held[started] = true }
  /* an end reaches the owner, for the first time or again */
  :: atomic { !job_failed -> select (n : 1 .. RUNS - 1);
       if :: held[n] -> arrive() :: else fi }
  /* what is counted is stored; then the ends of the stored runs are resolved */
  :: atomic { row_count = count; row_counted = counted }
  :: atomic { select (n : 1 .. RUNS - 1);
       if :: held[n] && HAS(row_counted, n) -> acknowledge() :: else fi }
  /* the owner dies, and its runs are over before the next one starts any */
  :: atomic { !job_failed && !running ->
       count = row_count;
#ifdef SET_NOT_STORED
       counted = 0;
#else
       counted = row_counted;
#endif
       waits = true }
  od
}
