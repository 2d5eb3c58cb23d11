/* One leased task, two entries: its runs never overlap.
 *
 * Entry A runs the task through a sidecar on worker 1, at some time after it has
 * read its caller's request. The caller loses A (A crashes, is frozen, or the
 * connection breaks) and sends the job again RESEND later, to entry B, which
 * starts the task on worker 2 at once. The end of the caller's connection arrives
 * after its request; a running A has read both at most NET after the break, a
 * frozen one when it resumes. A itself starts the task elsewhere when the sidecar
 * has been silent for so long that the run must be over, or when it receives a
 * report that the run is over. A start may echo the newest stamp plus the time
 * since: it renews the owner lease from its sending on. Time advances in steps; a
 * process that is up acts in each. Orders may stay in a channel for any time, and
 * so may calls from the sidecar to its worker. A stop may get lost.
 *
 * The sidecar may receive a notice that its worker is gone while the worker still
 * runs the task (a late announcement, a deregistration). It polls the worker,
 * doesn't extend the lease meanwhile, and reports the run as over when the lease
 * that it granted is. An answer of another session proves the same; then nothing
 * runs, and nothing is left to check.
 *
 * Code: src/core/lease_manager.cc, lease_manager_sessions.cc, leased_jobs.cc,
 * src/net/control_loop.h. Mutants:
 *
 *   NO_OWNER_LEASE         the sidecar stops nothing, and extends the lease, after
 *                          the owner lease has expired
 *   NO_ECHO                an order renews the owner lease from its arrival, not
 *                          from the stamp that it echoes
 *   NO_START_EXPIRY        the worker accepts a start whose lease has expired
 *   NO_LEASE               the worker continues the run when its lease expires
 *   NO_CANCEL              A continues for a caller that it knows has gone
 *   ACTS_UNREAD            A resumes after a freeze and acts before it has read
 *                          its sockets
 *   RENEWS_UNREAD          it starts nothing before that, but renews
 *   END_OVERTAKES_REQUEST  A handles the end of the connection before the request
 *                          that it has read with it, and drops the end
 *   FROM_STAMP             A takes the run for over by the sidecar's last stamp
 *                          alone
 *   STARTS_EXTEND          a start of another run on the worker extends the lease
 *                          while the stop of this one is unanswered
 *   TRUSTS_NOTICE          the sidecar reports the run as lost on a notice about
 *                          its worker
 *
 * Conditions, to find the assumptions that the bound rests on:
 *
 *   NET=n            A reads the end of the caller's connection n after the break
 *   PAUSE=n          a pause below n is not detected: A acts before it has read
 *   END_NEVER_COMES  the end of the caller's connection never reaches A
 *   DEADLINE=n       A ends the job n after it has read the request
 *   READ_WITHIN=n    A reads the request at most n after it was sent, or never
 *   LEAVES_AT=n      the caller leaves n after it sent the request, not sooner
 */

#define OWNER_LEASE 2
#define LEASE 3
#define RESEND 6 /* above OWNER_LEASE + LEASE, as BoundsFor() makes it */
#ifndef NET
#define NET 2    /* A renews a step before at the latest: RESEND less OWNER_LEASE + LEASE */
#endif
#if defined(ACTS_UNREAD) || defined(RENEWS_UNREAD)
#define PAUSE END
#endif
#define END 16

byte now = 0;

/* What A knows about its caller. */
#define UNREAD 0 /* the request is in transit */
#define WAITS 1
#define GONE 2
#define MISSED 3 /* the end was read and dropped: A takes the caller for present for ever */
byte a_caller = UNREAD;
#define A_WANTS (a_caller == WAITS || a_caller == MISSED)

bool a_dead = false, a_frozen = false, a_cut = false;
bool a_ordered = false;   /* its start is in transit or was received */
byte a_echo = 0;          /* newest stamp that A has received from the sidecar */
bool a_was_frozen = false; /* one freeze is enough */
byte a_renewed = 0;       /* a later time from which A renewed the owner lease; or 0 */
bool a_started_elsewhere = false; /* A has abandoned the run, and runs the task itself */
#ifdef PAUSE
byte a_froze_at = 0;
bool a_unread = false;    /* it has resumed, and doesn't know that it was frozen */
#endif
#ifdef DEADLINE
byte a_until = 0;
#endif

bool order = false;       /* a start from A is in the channel */
byte order_echo = 0;      /* the stamp that it echoes */
bool renewal = false;     /* a frame that only renews is in the channel */
byte renewal_echo = 0;

bool s_frozen = false, s_was_frozen = false;
byte s_owner_lease = 0;   /* until, inclusive; 0: not now */
bool s_run = false;       /* the sidecar manages the run */
bool s_verifies = false, s_verified = false; /* once is enough */
bool s_reported = false;  /* to A, that the run is over */

bool call = false;        /* a start from the sidecar to the worker is in transit */
byte call_lease = 0;      /* the end of its lease */
bool w_run = false, w_over = false;
byte w_lease = 0;

bool caller_lost = false; /* A's caller has gone */
byte resend_at = 0;       /* until b_run */
bool b_run = false;

inline lose_caller() {
  if
  :: !caller_lost -> caller_lost = true; resend_at = now + RESEND
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
  :: !a_frozen && !a_was_frozen && !a_dead -> a_frozen = true; a_was_frozen = true;
#ifdef PAUSE
     a_froze_at = now
#endif
  :: a_frozen -> a_frozen = false;
#ifdef PAUSE
     a_unread = (now - a_froze_at < PAUSE)
#endif
  :: !s_frozen && !s_was_frozen -> s_frozen = true; s_was_frozen = true
  :: s_frozen -> s_frozen = false
  :: s_run && !s_verified -> s_verifies = true; s_verified = true
  :: !a_dead -> a_cut = !a_cut
  :: !caller_lost && MAY_LEAVE -> lose_caller()
  :: skip
  fi
}

#ifdef END_NEVER_COMES
#define END_MAY_COME false
#define END_MUST_COME false
#else
#define END_MAY_COME caller_lost
#define END_MUST_COME (caller_lost && (b_run || now + RESEND >= resend_at + NET))
#endif

#ifdef READ_WITHIN
#define MAY_READ (now <= READ_WITHIN)
#else
#define MAY_READ (now == 0 || caller_lost) /* a later read while the caller waits is as if the request was sent later */
#endif

/* A reads its sockets in order; what it has not read is still in the network. */
inline read_caller() {
  if
  :: a_caller == UNREAD && MAY_READ ->
     a_caller = WAITS;
#ifdef END_OVERTAKES_REQUEST
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

#ifdef FROM_STAMP
#define LAST_RENEWED a_echo
#else
#define LAST_RENEWED (a_echo > a_renewed -> a_echo : a_renewed)
#endif

#ifdef RENEWS_UNREAD
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
     :: A_WANTS && MAY_START && s_reported && !a_cut && !s_frozen -> a_started_elsewhere = true
     :: else
     fi;
     if
     :: A_WANTS && MAY_START && !a_started_elsewhere && !order && (!a_ordered || (!s_run && !call && !w_run)) ->
        order = true; a_ordered = true; s_reported = false;
        if
        :: order_echo = a_echo
        :: order_echo = now; a_renewed = now
        fi
     :: A_WANTS && !a_ordered /* no free resources yet */
     :: else
     fi;
     if
     :: A_WANTS && MAY_START && a_ordered && !a_started_elsewhere && now >= LAST_RENEWED + OWNER_LEASE + LEASE -> a_started_elsewhere = true
     :: else
     fi;
     if
     :: A_WANTS && !a_started_elsewhere -> renewal = true; renewal_echo = a_echo
     :: else -> renewal = false; renewal_echo = 0
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
     :: renewal && (!a_cut || a_dead) ->
        renewal = false;
        if :: STAMP(renewal_echo) + OWNER_LEASE > s_owner_lease -> s_owner_lease = STAMP(renewal_echo) + OWNER_LEASE :: else fi;
        renewal_echo = 0
     :: else
     fi;
     if
     :: order ->
        order = false;
        if
        :: STAMP(order_echo) + OWNER_LEASE >= now && !s_run ->
           if :: STAMP(order_echo) + OWNER_LEASE > s_owner_lease -> s_owner_lease = STAMP(order_echo) + OWNER_LEASE :: else fi;
           s_run = true; call = true; call_lease = now + LEASE
        :: else
        fi;
        order_echo = 0
     :: order /* it stays in the channel for another step */
     :: else
     fi;
     if
#ifdef TRUSTS_NOTICE
     :: s_run && s_verifies -> s_verifies = false; s_run = false; s_reported = true
#else
     :: s_run && s_verifies -> s_verifies = false /* the worker answers that the run continues */
     :: s_run && s_verifies && now < GRANTED
     :: s_run && s_verifies && now >= GRANTED -> s_verifies = false; s_run = false; s_reported = true
#endif
     :: else -> s_verifies = false
     fi;
#ifdef NO_OWNER_LEASE
     if :: s_run && w_run -> w_lease = now + LEASE :: else fi
#else
     if
     :: s_run && now > s_owner_lease -> s_run = false; w_run = false; w_over = true /* stopped */
     :: s_run && now > s_owner_lease -> s_run = false /* the stop gets lost */
     :: s_run && now <= s_owner_lease && w_run && !s_verifies -> w_lease = now + LEASE
#ifdef STARTS_EXTEND
     :: !s_run && w_run -> w_lease = now + LEASE
#endif
     :: else /* starts of other runs carry the lease that stands */
     fi
#endif
  fi
}

inline worker() {
  if
  :: call ->
     call = false;
     if
#ifdef NO_START_EXPIRY
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
  :: caller_lost && now >= resend_at -> b_run = true; resend_at = 0
  :: else
  fi
}

#define A_IS_DONE (a_dead || a_started_elsewhere || a_caller == GONE)

/* Merges values that no longer make a difference, to reduce the states. */
inline merge_states() {
  if :: !w_run -> w_lease = 0 :: else fi;
#ifndef NO_START_EXPIRY
  if :: call && now >= call_lease -> call = false; call_lease = 0 :: else fi;
#endif
#ifndef NO_ECHO
  if :: order && order_echo + OWNER_LEASE <= now -> order = false; order_echo = 0 :: else fi;
  if :: renewal && (renewal_echo + OWNER_LEASE <= s_owner_lease || renewal_echo + OWNER_LEASE <= now) -> renewal = false; renewal_echo = 0 :: else fi;
#endif
  if :: s_owner_lease <= now -> s_owner_lease = 0 :: else fi;
  if :: a_renewed <= a_echo -> a_renewed = 0 :: else fi;
  if
  :: A_IS_DONE -> a_echo = 0; a_renewed = 0; a_frozen = false; a_was_frozen = true; a_cut = false
  :: else
  fi
}

/* The run can't begin any more: nothing is left to check. */
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
       assert(!(w_run && (b_run || a_started_elsewhere)));
       merge_states();
       now++
     }
  :: else -> break
  od
}
