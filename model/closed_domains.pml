/* A failure domain that operators close and open again, two entries, and the
 * sidecar beside one of its workers.
 *
 * The store numbers its moments; entry A reads the domain's state there, as of
 * the moment, when it can; entry B is cut from the store and hears of it through
 * the sidecar alone. Messages overtake each other. A may start anew once, the
 * sidecar too. What each knows is true as of its number, never goes back, and
 * is never older than what it has read itself; nothing starts where the sidecar
 * knows the domain closed; and once all is quiet, all know what the store says.
 *
 * Code: src/core/closed_domains.cc, sidecar_config.cc, entry_links.cc. Mutants:
 *
 *   BY_ARRIVAL  what is told last holds, whatever its number
 *   NO_AS_OF    a telling older than the own reading of the same state is taken
 *   OWN_NUMBER  a changed reading keeps the number that was known before
 *   NO_GATE     the sidecar starts what it is sent
 *   NO_RELAY    the sidecar tells entries nothing
 */

#define MOMENTS 5
#define A 0
#define B 1
#define S 2

bool closed_at[MOMENTS];  /* by the store, as of each moment */
byte moment = 0;

byte known[3];            /* moment */
bool closed[3];
byte read_at = 0;         /* by A itself ... */
bool read_closed = false; /* ... and what */
bool a_new = false, s_new = false;
bool quiet = false;

/* from, moment, closed */
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

inline tell(p, m, c) {
  if
#ifdef BY_ARRIVAL
  :: true -> adopt(p, m, c)
#else
  :: m <= known[p] -> skip
#ifndef NO_AS_OF
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
  read_at = moment;
  read_closed = closed_at[moment];
  if
  :: read_at > known[A] && read_closed != closed[A] ->
#ifdef OWN_NUMBER
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
  :: atomic { !quiet && moment < MOMENTS - 1 ->
       moment++;
       if
       :: closed_at[moment] = closed_at[moment - 1]   /* another row */
       :: closed_at[moment] = !closed_at[moment - 1]
       fi }
  :: atomic { !quiet && moment == MOMENTS - 1 -> quiet = true; break }
  od
}

active proctype world() {
  byte m;
  bool c;
  do
  :: atomic { !quiet -> read_store() }
  :: atomic { !quiet && !a_new ->
       a_new = true;
       known[A] = 0; closed[A] = false; read_at = 0; read_closed = false }
  :: atomic { !quiet && !s_new -> s_new = true; known[S] = 0; closed[S] = false }
  :: atomic { !quiet && nfull(to_s) -> to_s!known[A], closed[A] }
  :: atomic { !quiet && nfull(to_s) -> to_s!known[B], closed[B] }
#ifndef NO_RELAY
  :: atomic { !quiet && nfull(to_a) -> to_a!known[S], closed[S] }
  :: atomic { !quiet && nfull(to_b) -> to_b!known[S], closed[S] }
#endif
  :: atomic { to_s??m, c -> tell(S, m, c) }
  :: atomic { to_a?m, c -> tell(A, m, c) }
  :: atomic { to_b?m, c -> tell(B, m, c) }
  :: atomic { !quiet ->   /* a start, from whoever believes the domain open */
       if
#ifndef NO_GATE
       :: closed[S] -> skip
#endif
       :: else -> assert(!closed[S])
       fi }
  :: atomic { quiet && empty(to_s) && empty(to_a) && empty(to_b) ->
       read_store();
       tell(S, known[A], closed[A]);
       tell(S, known[B], closed[B]);
#ifndef NO_RELAY
       tell(A, known[S], closed[S]);
       tell(S, known[A], closed[A]);
       tell(B, known[S], closed[S]);
#endif
       assert(closed[A] == closed_at[moment]);
       assert(closed[S] == closed_at[moment]);
       assert(closed[B] == closed_at[moment]);
       break }
  od
}
