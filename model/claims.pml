/* Three entries with a job of the same key: at most one of them runs it.
 *
 * Covers insert-if-absent with lost replies and writes that take effect late,
 * reading back, abandoning, querying the owner, takeover by compare-and-swap, a
 * crash of the owner, and release.
 *
 * Code: src/core/claims.cc. Mutants, each caught by model/check.sh:
 *
 *   NO_OWNER_QUERY   a claim of another entry is taken over without a query to its
 *                    owner
 *   NO_VERSION       a takeover does not compare the row's version
 *   ABSENT_IS_WON    an absent row, read back, counts as the entry's own claim
 *   FORGET_STARTED   an owner answers "abandoned" for a claim whose job it ran
 *   CRASHED_IS_FREE  an unreachable owner counts as having abandoned its claim
 */

#define N 3
#define NONE 0

mtype = { running, abandoned, gone };

byte row = NONE;          /* nonce in the table: entry number + 1 */
byte version = 0;
bool row_done = false;
byte ran = 0;             /* entries that let the job run */
mtype answer[N];          /* each entry's answer about its own nonce */
bool late[N];             /* an insert that is still in transit */
bool not_run[N];          /* "not run" was reported to the caller */
bool started[N];
byte crashes = 0;

inline let_run() {
  assert(!not_run[me]);
  started[me] = true;
  ran++;
#ifdef FORGET_STARTED
  answer[me] = abandoned;
#endif
}

proctype platform() {
  /* A write may take effect after its sender has stopped waiting. */
  byte i = 0;
end:
  do
  :: atomic { late[0] -> late[0] = false; if :: row == NONE -> row = 1; version++ :: else fi }
  :: atomic { late[1] -> late[1] = false; if :: row == NONE -> row = 2; version++ :: else fi }
  :: atomic { late[2] -> late[2] = false; if :: row == NONE -> row = 3; version++ :: else fi }
  od
}

proctype entry(byte me) {
  byte nonce = me + 1;
  byte seen = NONE;
  byte seen_version = 0;
  bool taking = false;
  answer[me] = running;

  /* Insert. */
  if
  :: atomic { row == NONE -> row = nonce; version++; seen = nonce; seen_version = version }  /* applied, answered */
  :: atomic { row == NONE -> row = nonce; version++; goto read_back }                        /* applied, reply lost */
  :: atomic { row != NONE -> seen = row; seen_version = version }                            /* not applied, answered */
  :: atomic { late[me] = true; goto read_back }                                              /* still in transit */
  fi;
  goto consider;

read_back:
  atomic { seen = row; seen_version = version };
  if
  :: seen == NONE ->
#ifdef ABSENT_IS_WON
     atomic { let_run(); goto ended }
#else
     atomic { answer[me] = abandoned; not_run[me] = true; goto stop }
#endif
  :: else
  fi;

consider:
  if
  :: seen == nonce -> atomic { let_run(); goto ended }
  :: else
  fi;
  if
  :: row_done -> goto stop /* the caller gets the stored outcome */
  :: else
  fi;
#ifdef NO_OWNER_QUERY
  taking = true;
#else
  atomic {
    if
    :: answer[seen - 1] == abandoned -> taking = true
    :: answer[seen - 1] == running -> answer[me] = abandoned; not_run[me] = false; goto stop /* in progress */
    :: answer[seen - 1] == gone ->
#ifdef CRASHED_IS_FREE
       taking = true
#else
       answer[me] = abandoned; goto stop /* may have run */
#endif
    fi
  };
#endif
  if
  :: taking ->
     atomic {
       if
#ifdef NO_VERSION
       :: true -> row = nonce; version++; seen = nonce
#else
       :: version == seen_version -> row = nonce; version++; seen = nonce; seen_version = version
       :: version != seen_version -> answer[me] = abandoned; not_run[me] = true; goto stop
#endif
       fi
     };
     goto consider
  :: else
  fi;

ended:
  if
  :: atomic { row == nonce -> row_done = true }       /* outcome durably written */
  :: atomic { crashes < 1 -> crashes++; answer[me] = gone }
  fi;
stop:
  skip
}

init {
  atomic {
    run platform();
    run entry(0);
    run entry(1);
    run entry(2)
  }
}

ltl once {
  [] (ran <= 1 && !(not_run[0] && started[0]) && !(not_run[1] && started[1]) && !(not_run[2] && started[2]))
}
