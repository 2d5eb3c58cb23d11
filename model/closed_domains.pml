/* A failure domain that operators close and open again, two entries, and the
 * sidecar of one of its workers.
 *
 * The store numbers its versions; entry A reads the domain's state there, with
 * its version, when it can; entry B is cut from the store and receives the state
 * through the sidecar only. Messages may overtake each other. A may restart once,
 * and so may the sidecar. What each process knows is true as of its version, never
 * goes back, and is never older than what it has read itself; nothing starts
 * while the sidecar knows that the domain is closed; and once all messages have
 * arrived, all know what the store holds.
 *
 * Code: src/core/closed_domains.cc, sidecar_config.cc, entry_links.cc. Mutants:
 *
 *   LAST_ARRIVAL_WINS  the message that arrives last holds, whatever its version
 *   NO_READ_VERSION    a message older than the process's own reading of the same
 *                      state is accepted
 *   KEEPS_OLD_VERSION  a changed reading keeps the version that was known before
 *   NO_GATE            the sidecar starts whatever it receives
 *   NO_RELAY           the sidecar sends entries nothing
 */

#define VERSIONS 5
#define A 0
#define B 1
#define S 2

bool closed_at[VERSIONS]; /* in the store, as of each version */
byte version = 0;

byte known[3];            /* version */
bool closed[3];
byte read_at = 0;         /* version that A itself has read */
bool read_closed = false; /* and the state it read */
bool a_restarted = false, s_restarted = false;
bool quiet = false;

/* version, closed */
chan to_s = [2] of { byte, bool };
chan to_a = [1] of { byte, bool };
chan to_b = [1] of { byte, bool };

inline check(p) {
  assert(closed[p] == closed_at[known[p]]);
  assert(p != A || known[A] >= read_at || closed[A] == read_closed)
}

inline adopt(p, m, c) {
  assert(m >= known[p]);
  known[p] = m;
  closed[p] = c;
  check(p)
}

inline receive(p, m, c) {
  if
#ifdef LAST_ARRIVAL_WINS
  :: true -> adopt(p, m, c)
#else
  :: m <= known[p] -> skip
#ifndef NO_READ_VERSION
  :: m > known[p] && p == A && m <= read_at && c != read_closed ->
     adopt(A, read_at, read_closed)
  :: m > known[p] && !(p == A && m <= read_at && c != read_closed) ->
     adopt(p, m, c)
#else
  :: m > known[p] -> adopt(p, m, c)
#endif
#endif
  fi
}

inline read_store() {
  read_at = version;
  read_closed = closed_at[version];
  if
  :: read_at > known[A] && read_closed != closed[A] ->
#ifdef KEEPS_OLD_VERSION
     closed[A] = read_closed;
     check(A)
#else
     adopt(A, read_at, read_closed)
#endif
  :: else
  fi
}

active proctype operators() {
  do
  :: atomic { !quiet && version < VERSIONS - 1 ->
       version++;
       if
       :: closed_at[version] = closed_at[version - 1]   /* another row changed */
       :: closed_at[version] = !closed_at[version - 1]
       fi }
  :: atomic { !quiet && version == VERSIONS - 1 -> quiet = true; break }
  od
}

active proctype world() {
  byte m;
  bool c;
  do
  :: atomic { !quiet -> read_store() }
  :: atomic { !quiet && !a_restarted ->
       a_restarted = true;
       known[A] = 0; closed[A] = false; read_at = 0; read_closed = false }
  :: atomic { !quiet && !s_restarted -> s_restarted = true; known[S] = 0; closed[S] = false }
  :: atomic { !quiet && nfull(to_s) -> to_s!known[A], closed[A] }
  :: atomic { !quiet && nfull(to_s) -> to_s!known[B], closed[B] }
#ifndef NO_RELAY
  :: atomic { !quiet && nfull(to_a) -> to_a!known[S], closed[S] }
  :: atomic { !quiet && nfull(to_b) -> to_b!known[S], closed[S] }
#endif
  :: atomic { to_s??m, c -> receive(S, m, c) }
  :: atomic { to_a?m, c -> receive(A, m, c) }
  :: atomic { to_b?m, c -> receive(B, m, c) }
  :: atomic { !quiet ->   /* a start, from an entry that takes the domain for open */
       if
#ifndef NO_GATE
       :: closed[S] -> skip
#endif
       :: else -> assert(!closed[S])
       fi }
  :: atomic { quiet && empty(to_s) && empty(to_a) && empty(to_b) ->
       read_store();
       receive(S, known[A], closed[A]);
       receive(S, known[B], closed[B]);
#ifndef NO_RELAY
       receive(A, known[S], closed[S]);
       receive(S, known[A], closed[A]);
       receive(B, known[S], closed[S]);
#endif
       assert(closed[A] == closed_at[version]);
       assert(closed[S] == closed_at[version]);
       assert(closed[B] == closed_at[version]);
       break }
  od
}
