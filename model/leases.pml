/* One leased task, two entries: its runs never overlap.
 *
 * Entry A runs the task through a sidecar on worker 1, from some time after it
 * has read its caller's request. The caller loses A (A dies, is frozen, or the
 * connection breaks) and sends the job again RESEND later, to entry B, which
 * starts the task on worker 2 at once. The end of its connection lies behind its
 * request; a running A has read both NET after the break at the latest, a frozen
 * one when it wakes. A itself starts the task elsewhere when it hears nothing
 * more of the sidecar and the run must be over, or is told that it is over. A
 * start may echo the newest stamp plus the time since: it vouches from its
 * sending on. Time goes in steps; a process that is up acts in each. Orders may
 * lie in a channel for any time, also those from the sidecar to its worker. A
 * stop may get lost.
 *
 * The sidecar may hear that its worker is gone while that runs on (late
 * announcement, goodbye). It asks, extends no lease meanwhile, and tells the run
 * as over when the lease that it granted is. Another life's answer proves the
 * same; then nothing runs, and nothing is left to check.
 *
 * Code: src/core/lease_manager.cc, lease_manager_sessions.cc, leased_jobs.cc,
 * src/net/control_loop.h. Mutants:
 *
 *   NO_VOUCH       the sidecar stops nothing, and extends the lease, unvouched for
 *   NO_ECHO        an order vouches from its arrival, not from the stamp it echoes
 *   NO_LATE        the worker takes a start whose lease has passed
 *   NO_LEASE       the worker runs on when its lease lapses
 *   NO_CANCEL      A goes on for a caller that it knows has gone
 *   NO_SETTLE      A, frozen and awake again, acts before it has read that
 *   VOUCHES_UNREAD it starts nothing before, but vouches
 *   OVERTAKEN      A handles the end that it reads with its request first: dropped
 *   FROM_HEARD     A counts the run as over by the sidecar's last word alone
 *   TRUSTS_WORD    the sidecar tells the run as lost on a word about its worker
 *
 * Conditions, to find what the bound rests on:
 *
 *   NET=n            A reads the end of the caller's connection n after the break
 *   PAUSE=n          a pause below n goes unnoticed: A acts before it has read
 *   ONE_SIDED        the end of the caller's connection never reaches A
 *   DEADLINE=n       A ends the job n after it has read the request
 *   READ_WITHIN=n    A reads the request n after it was sent, or never
 *   LEAVES_AT=n      the caller leaves n after it sent the request, not sooner
 */

#define VOUCH 2
#define LEASE 3
#define RESEND 6 /* above VOUCH + LEASE, as BoundsFor() makes it */
#ifndef NET
#define NET 2    /* A's last word comes a step before: RESEND less VOUCH + LEASE */
#endif
#if defined(NO_SETTLE) || defined(VOUCHES_UNREAD)
#define PAUSE END
#endif
#define END 16

byte now = 0;

/* What A knows of its caller. */
#define UNREAD 0 /* the request is on its way */
#define WAITS 1
#define GONE 2
#define MISSED 3 /* the end was read and dropped: A believes in it for good */
byte a_caller = UNREAD;
#define A_WANTS (a_caller == WAITS || a_caller == MISSED)

bool a_dead = false, a_frozen = false, a_cut = false;
bool a_ordered = false;   /* its start is out, or has been taken */
byte a_echo = 0;          /* newest stamp of the sidecar that A has seen */
bool a_froze = false;     /* once is enough */
byte a_vouched = 0;       /* a later moment from which A vouched for the run; or 0 */
bool a_moved = false;     /* A has given the run up, and runs the task itself */
#ifdef PAUSE
byte a_froze_at = 0;
bool a_unread = false;    /* it has woken, and doesn't know that it was frozen */
#endif
#ifdef DEADLINE
byte a_until = 0;
#endif

bool order = false;       /* a start from A lies in the channel ... */
byte order_echo = 0;      /* ... with this stamp */
bool vouching = false;    /* so does a frame that only vouches */
byte vouch_echo = 0;

bool s_frozen = false, s_froze = false;
byte s_vouched = 0;       /* until, inclusive; 0: not now */
bool s_run = false;       /* the sidecar has a row for the run */
bool s_asks = false, s_asked = false; /* once is enough */
bool s_told = false;      /* that the run is over, to A */

bool call = false;        /* a start from the sidecar to the worker is out ... */
byte call_lease = 0;      /* ... with this end of the lease */
bool w_run = false, w_over = false;
byte w_lease = 0;

bool lost = false;        /* A's caller has gone */
byte resend_at = 0;       /* until b_run */
bool b_run = false;

inline lose_caller() {
  if
  :: !lost -> lost = true; resend_at = now + RESEND
  :: else
  fi
}

#ifdef LEAVES_AT
#define MAY_LEAVE (now >= LEAVES_AT)
#else
#define MAY_LEAVE true
#endif

inline faults() {
  if
  :: !a_dead -> a_dead = true; a_frozen = false; lose_caller()
  :: !a_frozen && !a_froze && !a_dead -> a_frozen = true; a_froze = true;
#ifdef PAUSE
     a_froze_at = now
#endif
  :: a_frozen -> a_frozen = false;
#ifdef PAUSE
     a_unread = (now - a_froze_at < PAUSE)
#endif
  :: !s_frozen && !s_froze -> s_frozen = true; s_froze = true
  :: s_frozen -> s_frozen = false
  :: s_run && !s_asked -> s_asks = true; s_asked = true
  :: !a_dead -> a_cut = !a_cut
  :: !lost && MAY_LEAVE -> lose_caller()
  :: skip
  fi
}

#ifdef ONE_SIDED
#define END_MAY_COME false
#define END_MUST_COME false
#else
#define END_MAY_COME lost
#define END_MUST_COME (lost && (b_run || now + RESEND >= resend_at + NET))
#endif

#ifdef READ_WITHIN
#define MAY_READ (now <= READ_WITHIN)
#else
#define MAY_READ (now == 0 || lost) /* later, but still waited for: as if sent later */
#endif

/* A reads its sockets in order; what it doesn't read is still in the network. */
inline read_caller() {
  if
  :: a_caller == UNREAD && MAY_READ ->
     a_caller = WAITS;
#ifdef OVERTAKEN
     if :: END_MAY_COME -> a_caller = MISSED :: skip fi;
#endif
#ifdef DEADLINE
     a_until = now + DEADLINE
#endif
  :: a_caller == UNREAD && !END_MUST_COME
  :: else
  fi;
#ifndef NO_CANCEL
  if
  :: a_caller == WAITS && END_MAY_COME -> a_caller = GONE
  :: a_caller == WAITS && !END_MUST_COME
  :: else
  fi;
#endif
#ifdef DEADLINE
  if
  :: A_WANTS && now >= a_until -> a_caller = GONE; a_until = 0
  :: else
  fi
#endif
}

#ifdef FROM_HEARD
#define LAST_VOUCHED a_echo
#else
#define LAST_VOUCHED (a_echo > a_vouched -> a_echo : a_vouched)
#endif

#ifdef VOUCHES_UNREAD
#define MAY_START !a_unread
#else
#define MAY_START true
#endif

/* After a pause A reads its sockets before it acts. */
inline entry_a() {
  if
  :: a_dead || a_frozen
  :: else ->
     if
     :: !a_cut && !s_frozen -> a_echo = now
     :: else
     fi;
#ifdef PAUSE
     if
     :: a_unread
     :: else -> read_caller()
     fi;
#else
     read_caller();
#endif
     if
     :: A_WANTS && MAY_START && s_told && !a_cut && !s_frozen -> a_moved = true
     :: else
     fi;
     if
     :: A_WANTS && MAY_START && !a_moved && !order && (!a_ordered || (!s_run && !call && !w_run)) ->
        order = true; a_ordered = true; s_told = false;
        if
        :: order_echo = a_echo
        :: order_echo = now; a_vouched = now
        fi
     :: A_WANTS && !a_ordered /* no room yet */
     :: else
     fi;
     if
     :: A_WANTS && MAY_START && a_ordered && !a_moved && now >= LAST_VOUCHED + VOUCH + LEASE -> a_moved = true
     :: else
     fi;
     if
     :: A_WANTS && !a_moved -> vouching = true; vouch_echo = a_echo
     :: else -> vouching = false; vouch_echo = 0
     fi;
#ifdef PAUSE
     a_unread = false; a_froze_at = 0
#endif
  fi
}

#ifdef NO_ECHO
#define STAMP(echo) now
#else
#define STAMP(echo) (echo)
#endif

#define GRANTED (call -> call_lease : w_lease)

inline sidecar() {
  if
  :: s_frozen
  :: else ->
     if
     :: vouching && (!a_cut || a_dead) ->
        vouching = false;
        if :: STAMP(vouch_echo) + VOUCH > s_vouched -> s_vouched = STAMP(vouch_echo) + VOUCH :: else fi;
        vouch_echo = 0
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
        fi;
        order_echo = 0
     :: order /* it lies in the channel for another step */
     :: else
     fi;
     if
#ifdef TRUSTS_WORD
     :: s_run && s_asks -> s_asks = false; s_run = false; s_told = true
#else
     :: s_run && s_asks -> s_asks = false /* answered: it runs on */
     :: s_run && s_asks && now < GRANTED
     :: s_run && s_asks && now >= GRANTED -> s_asks = false; s_run = false; s_told = true
#endif
     :: else -> s_asks = false
     fi;
#ifdef NO_VOUCH
     if :: s_run && w_run -> w_lease = now + LEASE :: else fi
#else
     if
     :: s_run && now > s_vouched -> s_run = false; w_run = false; w_over = true /* stopped */
     :: s_run && now > s_vouched -> s_run = false /* its stop gets lost */
     :: s_run && now <= s_vouched && w_run && !s_asks -> w_lease = now + LEASE
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
     fi;
     call_lease = 0
  :: call /* carried out later */
  :: else
  fi;
#ifndef NO_LEASE
  if :: w_run && now >= w_lease -> w_run = false :: else fi
#endif
}

inline entry_b() {
  if
  :: lost && now >= resend_at -> b_run = true; resend_at = 0
  :: else
  fi
}

#define A_IS_DONE (a_dead || a_moved || a_caller == GONE)

/* Values that nobody tells apart any more become one, for fewer states. */
inline forget() {
  if :: !w_run -> w_lease = 0 :: else fi;
#ifndef NO_LATE
  if :: call && now >= call_lease -> call = false; call_lease = 0 :: else fi;
#endif
#ifndef NO_ECHO
  if :: order && order_echo + VOUCH <= now -> order = false; order_echo = 0 :: else fi;
  if :: vouching && (vouch_echo + VOUCH <= s_vouched || vouch_echo + VOUCH <= now) -> vouching = false; vouch_echo = 0 :: else fi;
#endif
  if :: s_vouched <= now -> s_vouched = 0 :: else fi;
  if :: a_vouched <= a_echo -> a_vouched = 0 :: else fi;
  if
  :: A_IS_DONE -> a_echo = 0; a_vouched = 0; a_frozen = false; a_froze = true; a_cut = false
  :: else
  fi
}

/* The run can't begin again: nothing is left to check. */
#define RUN_IS_OVER (!w_run && (w_over || (A_IS_DONE && !order && !s_run && !call)))

init {
  do
  :: now < END && !RUN_IS_OVER ->
     atomic {
       faults(); faults();
       entry_a();
       sidecar();
       worker();
       entry_b();
       assert(!(w_run && (b_run || a_moved)));
       forget();
       now++
     }
  :: else -> break
  od
}
