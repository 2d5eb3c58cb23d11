/* One task, one entry, two sidecars: started at most once, and "not run" is true.
 *
 * Covers start, refuse, result, broken and silent streams (frames of older
 * streams arrive late or never), fencing by epoch, reconciling, sidecar crash
 * with loss of memory, a planned stop, and the entry giving up.
 *
 * Code: src/core/sidecar.cc, src/core/entry_links.cc. Each guard has a mutant
 * (a macro that removes it); model/check.sh shows that every one is caught.
 *
 *   NO_FENCE         a sidecar takes starts of an older stream
 *   NO_REJECT_EPOCH  an entry believes a refusal that came on an older stream
 *   NO_MEMORY_TOKEN  "never started" is believed of a sidecar that forgot
 *   NO_RECONCILE     a broken stream alone counts as "not run"
 *   NO_DRAIN_GATE    a sidecar that drains goes on starting tasks
 *   NO_DEDUP         a sidecar starts a task that it knows again (with REPEAT:
 *                    a frame arrives twice, and nothing is refused)
 */

#define WORKERS 2
#define EPOCHS 2
#define CHANNELS 6 /* WORKERS * (EPOCHS + 1), epochs from 1 */
#define AT(w, e) ((w) * (EPOCHS + 1) + (e))

mtype = { hello, start, reject, result, reconciled, goodbye, never_started, known };

/* A channel for each stream: in order within one, in any order between them. */
chan to_sidecar[CHANNELS] = [2] of { mtype, bool };           /* kind, asks about the task */
chan to_entry[CHANNELS] = [3] of { mtype, mtype, byte };      /* kind, fate, memory token */

byte starts = 0;          /* on the upstreams, all together */
bool said_not_run = false;
byte crashes = 0;
bool acknowledged = false; /* the entry has the task's result */

proctype sidecar(byte w) {
  byte dialled = 0;
  byte fence = 0;
  byte token = 1;
  bool knows = false;     /* started here, or its result is kept */
  bool running = false;
  bool draining = false;
  bool said = false;      /* goodbye; the process lingers until the stream closes */
  byte e;
  bool asks;
end:
  do
  :: atomic { w == 0 && !draining -> draining = true }
  :: atomic { draining && !said && !running && (!knows || acknowledged) && fence > 0 && nfull(to_entry[AT(w, fence)]) ->
       to_entry[AT(w, fence)]!goodbye(never_started, 0); said = true }
  :: dialled < EPOCHS -> atomic { dialled++; to_entry[AT(w, dialled)]!hello(never_started, 0) }
  :: atomic {
     if :: e = 1 :: e = 2 fi;  /* which stream */
     if
     :: to_sidecar[AT(w, e)]?hello(asks) ->
          if
          :: e >= fence ->
             fence = e;
             if
             :: asks && knows -> to_entry[AT(w, e)]!reconciled(known, token)
             :: else -> to_entry[AT(w, e)]!reconciled(never_started, token)
             fi
          :: else
          fi
     :: to_sidecar[AT(w, e)]?start(asks) ->
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
     e = 0; asks = false }
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
  mtype fate;
  byte token;
end:
  do
  :: atomic {
     if :: w = 0 :: w = 1 fi;  /* which sidecar */
     if :: e = 1 :: e = 2 fi;  /* which stream */
     if
     :: to_entry[AT(w, e)]?hello(fate, token) ->
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
     :: to_entry[AT(w, e)]?reconciled(fate, token) ->
          if
          :: e == current[w] ->
             if
             :: state == SENT && at == w && fate == never_started ->
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
     :: to_entry[AT(w, e)]?reject(fate, token) ->
          if
#ifdef NO_REJECT_EPOCH
          :: state == SENT && at == w -> state = WAITING
#else
          :: e == current[w] && state == SENT && at == w -> state = WAITING
#endif
          :: else
          fi
     :: to_entry[AT(w, e)]?result(fate, token) ->
          if
          :: state == SENT && at == w -> state = ENDED; acknowledged = true
          :: else
          fi
     :: to_entry[AT(w, e)]?goodbye(fate, token) ->
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
     :: state == WAITING -> state = ENDED; said_not_run = true
     :: skip
     fi;
     w = 0; e = 0; fate = 0; token = 0 }
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
ltl once { [] (starts <= 1 && !(said_not_run && starts > 0)) }
