/* One task, one entry, two sidecars: the task starts at most once, and "not run"
 * is only reported if that is true.
 *
 * Covers start, reject, result, broken and silent streams (frames of older
 * streams arrive late or never), fencing by epoch, reconciliation, a sidecar crash
 * with loss of memory, a planned stop, and an entry that abandons the task.
 *
 * Code: src/core/sidecar.cc, src/core/entry_links.cc. Each guard has a mutant
 * (a macro that removes it); model/check.sh shows that every one is caught.
 *
 *   NO_FENCE         a sidecar accepts starts of an older stream
 *   NO_REJECT_EPOCH  an entry accepts a reject that came on an older stream
 *   NO_MEMORY_TOKEN  an entry accepts "never started" from a sidecar that has
 *                    lost its memory
 *   NO_RECONCILE     a broken stream alone counts as "not run"
 *   NO_DRAIN_GATE    a draining sidecar still starts tasks
 *   NO_DEDUP         a sidecar starts a task again that it knows (with REPEAT: a
 *                    frame may arrive twice, and nothing is rejected)
 */

#define WORKERS 2
#define EPOCHS 2
#define CHANNELS 6 /* WORKERS * (EPOCHS + 1), epochs from 1 */
#define AT(w, e) ((w) * (EPOCHS + 1) + (e))

mtype = { hello, start, reject, result, reconciled, shutdown, never_started, known };

/* One channel for each stream: frames keep their order within a stream only. */
chan to_sidecar[CHANNELS] = [2] of { mtype, bool };           /* kind, lists the task */
chan to_entry[CHANNELS] = [3] of { mtype, mtype, byte };      /* kind, state of the task, memory token */

byte starts = 0;          /* on all upstreams together */
bool reported_not_run = false;
byte crashes = 0;
bool acknowledged = false; /* the entry has the task's result */

proctype sidecar(byte w) {
  byte dialled = 0;
  byte fence = 0;
  byte token = 1;
  bool knows = false;     /* started here, or its result is kept */
  bool running = false;
  bool draining = false;
  bool notified = false;      /* shutdown notice sent; the process stays until the stream closes */
  byte e;
  bool listed;
end:
  do
  :: atomic { w == 0 && !draining -> draining = true }
  :: atomic { draining && !notified && !running && (!knows || acknowledged) && fence > 0 && nfull(to_entry[AT(w, fence)]) ->
       to_entry[AT(w, fence)]!shutdown(never_started, 0); notified = true }
  :: dialled < EPOCHS -> atomic { dialled++; to_entry[AT(w, dialled)]!hello(never_started, 0) }
  :: atomic {
     if :: e = 1 :: e = 2 fi;  /* which stream */
     if
     :: to_sidecar[AT(w, e)]?hello(listed) ->
          if
          :: e >= fence ->
             fence = e;
             if
             :: listed && knows -> to_entry[AT(w, e)]!reconciled(known, token)
             :: else -> to_entry[AT(w, e)]!reconciled(never_started, token)
             fi
          :: else
          fi
     :: to_sidecar[AT(w, e)]?start(listed) ->
          if
#ifdef NO_FENCE
          :: true ->
#else
          :: e == fence ->
#endif
             if
#ifdef NO_DEDUP
             :: true -> starts++; knows = true; running = true
#else
#ifdef NO_DRAIN_GATE
             :: !knows -> starts++; knows = true; running = true
#else
             :: !knows && !draining -> starts++; knows = true; running = true
#endif
#endif
#ifndef REPEAT
             :: !knows && nfull(to_entry[AT(w, e)]) -> to_entry[AT(w, e)]!reject(never_started, 0)
#endif
             :: knows
#ifdef REPEAT
             :: !knows && draining
#endif
             fi
          :: else
          fi
     :: skip
     fi;
     e = 0; listed = false }
  :: atomic { running && fence > 0 && nfull(to_entry[AT(w, fence)]) ->
       running = false; to_entry[AT(w, fence)]!result(known, 0) }
  :: atomic { crashes < 1 ->
       crashes++; knows = false; running = false; fence = 0; token++ }
  od
}

#define WAITING 0
#define SENT 1
#define ENDED 2

proctype entry() {
  byte state = WAITING;
  byte at = 0;                    /* worker, while sent */
  byte current[WORKERS];          /* newest stream of each */
  bool up[WORKERS];
  byte memory[WORKERS];
  byte sends = 0;
  byte w;
  byte e;
  mtype task_state;
  byte token;
end:
  do
  :: atomic {
     if :: w = 0 :: w = 1 fi;  /* which sidecar */
     if :: e = 1 :: e = 2 fi;  /* which stream */
     if
     :: to_entry[AT(w, e)]?hello(task_state, token) ->
          if
          :: e > current[w] ->
             current[w] = e;
             up[w] = false;
             to_sidecar[AT(w, e)]!hello(state == SENT && at == w);
#ifdef NO_RECONCILE
             if
             :: state == SENT && at == w -> state = WAITING
             :: else
             fi
#endif
          :: else
          fi
     :: to_entry[AT(w, e)]?reconciled(task_state, token) ->
          if
          :: e == current[w] ->
             if
             :: state == SENT && at == w && task_state == never_started ->
                if
#ifndef NO_MEMORY_TOKEN
                :: memory[w] != 0 && memory[w] != token -> state = ENDED /* may have run */
                :: memory[w] == 0 || memory[w] == token -> state = WAITING
#else
                :: true -> state = WAITING
#endif
                fi
             :: else
             fi;
             memory[w] = token;
             up[w] = true
          :: else
          fi
     :: to_entry[AT(w, e)]?reject(task_state, token) ->
          if
#ifdef NO_REJECT_EPOCH
          :: state == SENT && at == w -> state = WAITING
#else
          :: e == current[w] && state == SENT && at == w -> state = WAITING
#endif
          :: else
          fi
     :: to_entry[AT(w, e)]?result(task_state, token) ->
          if
          :: state == SENT && at == w -> state = ENDED; acknowledged = true
          :: else
          fi
     :: to_entry[AT(w, e)]?shutdown(task_state, token) ->
          if
          :: e == current[w] ->
             up[w] = false;
             if
             :: state == SENT && at == w -> state = WAITING
             :: else
             fi
          :: else
          fi
     :: state == WAITING && up[w] && sends < 3 && nfull(to_sidecar[AT(w, current[w])]) ->
          to_sidecar[AT(w, current[w])]!start(false);
          sends++; state = SENT; at = w
#ifdef REPEAT
     /* A start is sent twice. */
     :: state == SENT && at == w && up[w] && nfull(to_sidecar[AT(w, current[w])]) && sends < 3 ->
          to_sidecar[AT(w, current[w])]!start(false); sends++
#endif
     :: state == WAITING -> state = ENDED; reported_not_run = true
     :: skip
     fi;
     w = 0; e = 0; task_state = 0; token = 0 }
  od
}

init {
  atomic {
    run sidecar(0);
    run sidecar(1);
    run entry()
  }
}

/* Checked in every state. */
ltl once { [] (starts <= 1 && !(reported_not_run && starts > 0)) }
