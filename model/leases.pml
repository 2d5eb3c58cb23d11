/* One leased task, two entries: its runs never overlap.
 *
 * Entry A runs the task through a sidecar on worker 1. A's caller loses it (A
 * dies, is frozen, or the connection breaks) and sends the job again RESEND
 * later, to entry B, which starts the task on worker 2 at once. A itself, should
 * it hear nothing more of the sidecar, starts the task there when the run must
 * be over. A start may echo the newest stamp plus the time since: it vouches
 * from its sending on. Time goes in steps; a process that is up acts in each.
 * Orders may lie in a channel for any time, also those from the sidecar to its
 * worker.
 *
 * Code: src/core/lease_keeper.cc, src/core/leased_jobs.cc. Mutants:
 *
 *   NO_VOUCH   the sidecar stops nothing, and extends the lease, unvouched for
 *   NO_ECHO    an order vouches from its arrival, not from the stamp it echoes
 *   NO_LATE    the worker takes a start whose lease has passed
 *   NO_LEASE   the worker runs on when its lease lapses
 *   NO_CANCEL  A goes on for a caller that it knows has gone
 *   NO_SETTLE  A, frozen and awake again, starts before it has read that
 *   FROM_HEARD A counts the run as over by the sidecar's last word alone
 */

#define VOUCH 2
#define LEASE 3
#define RESEND 6 /* above VOUCH + LEASE, as BoundsFor() makes it */
#define END 13

byte now = 0;

bool a_dead = false, a_frozen = false, a_cut = false, a_told = false;
bool a_wants = true;      /* A still serves the job */
bool a_ordered = false;   /* its start is out, or has been taken */
byte a_echo = 0;          /* newest stamp of the sidecar that A has seen */
bool a_froze = false;     /* once is enough */
byte a_vouched = 0;       /* the newest moment from which A vouched for the run */
bool a_moved = false;     /* A has given the run up, and runs the task itself */

bool order = false;       /* a start from A lies in the channel ... */
byte order_echo = 0;      /* ... with this stamp */
bool vouching = false;    /* so does a frame that only vouches */
byte vouch_echo = 0;

bool s_frozen = false, s_froze = false;
byte s_vouched = 0;       /* until, inclusive; 0: never */
bool s_run = false;       /* the sidecar has a row for the run */

bool call = false;        /* a start from the sidecar to the worker is out ... */
byte call_lease = 0;      /* ... with this end of the lease */
bool w_run = false, w_over = false;
byte w_lease = 0;

bool lost = false;        /* A's caller has gone */
byte resend_at = 0;
bool b_run = false;

inline lose_caller() {
  if
  :: !lost -> lost = true; resend_at = now + RESEND
  :: else
  fi
}

inline faults() {
  if
  :: !a_dead -> a_dead = true; lose_caller()
  :: !a_frozen && !a_froze && !a_dead -> a_frozen = true; a_froze = true; lose_caller()
  :: a_frozen && !a_dead -> a_frozen = false; a_told = false
  :: !s_frozen && !s_froze -> s_frozen = true; s_froze = true
  :: s_frozen -> s_frozen = false
  :: a_cut = !a_cut
  :: !lost && !a_dead -> lose_caller()
  :: skip
  fi
}

/* A reads its sockets, one step after it woke at the latest; then it acts. */
inline entry_a() {
  if
  :: a_dead || a_frozen
  :: else ->
     if
     :: !a_cut && !s_frozen -> a_echo = now
     :: else
     fi;
#ifdef NO_SETTLE
     if
     :: lost && !a_told -> a_told = true /* acts before it has read that */
     :: lost && a_told -> a_wants = false
     :: else
     fi;
#else
#ifndef NO_CANCEL
     if :: lost -> a_wants = false :: else fi;
#endif
#endif
     if
     :: a_wants && !a_moved && !order && (!a_ordered || (!s_run && !call && !w_run)) ->
        order = true; a_ordered = true;
        if
        :: order_echo = a_echo
        :: order_echo = now; a_vouched = now
        fi
     :: else
     fi;
#ifdef FROM_HEARD
#define LAST_VOUCHED a_echo
#else
#define LAST_VOUCHED (a_echo > a_vouched -> a_echo : a_vouched)
#endif
     if
     :: a_wants && a_ordered && !a_moved && now >= LAST_VOUCHED + VOUCH + LEASE -> a_moved = true
     :: else
     fi;
     if
     :: a_wants && !a_moved -> vouching = true; vouch_echo = a_echo
     :: else -> vouching = false
     fi
  fi
}

#ifdef NO_ECHO
#define STAMP(echo) now
#else
#define STAMP(echo) (echo)
#endif

inline sidecar() {
  if
  :: s_frozen
  :: else ->
     if
     :: vouching && (!a_cut || a_dead) ->
        vouching = false;
        if :: STAMP(vouch_echo) + VOUCH > s_vouched -> s_vouched = STAMP(vouch_echo) + VOUCH :: else fi
     :: else
     fi;
     if
     :: order ->
        order = false;
        if
        :: STAMP(order_echo) + VOUCH >= now && !s_run ->
           if :: STAMP(order_echo) + VOUCH > s_vouched -> s_vouched = STAMP(order_echo) + VOUCH :: else fi;
           s_run = true; call = true; call_lease = now + LEASE
        :: else
        fi
     :: order /* it lies in the channel for another step */
     :: else
     fi;
#ifdef NO_VOUCH
     if :: s_run && w_run -> w_lease = now + LEASE :: else fi
#else
     if
     :: s_run && now > s_vouched -> s_run = false; w_run = false; w_over = true /* stopped */
     :: s_run && now <= s_vouched && w_run -> w_lease = now + LEASE
     :: else
     fi
#endif
  fi
}

inline worker() {
  if
  :: call ->
     call = false;
     if
#ifdef NO_LATE
     :: !w_over -> w_run = true; w_lease = now + LEASE
#else
     :: !w_over && now < call_lease -> w_run = true; w_lease = call_lease
#endif
     :: else
     fi
  :: call /* carried out later */
  :: else
  fi;
#ifndef NO_LEASE
  if :: w_run && now >= w_lease -> w_run = false :: else fi
#endif
}

inline entry_b() {
  if
  :: lost && now >= resend_at -> b_run = true
  :: else
  fi
}

init {
  do
  :: now < END ->
     atomic {
       faults(); faults();
       entry_a();
       sidecar();
       worker();
       entry_b();
       assert(!(w_run && (b_run || a_moved)));
       now++
     }
  :: else -> break
  od
}
