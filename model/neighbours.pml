/*
 * One entry and one sidecar that is sometimes a neighbour of the entry and
 * sometimes not. A stream is given back by the entry, once nothing is open; a
 * stream also breaks at any time, and what was under way is lost with it.
 *
 * Checked: a stream that is given back takes no start and no end with it, and
 * a run whose stream broke is found again by its entry.
 *
 * Code: src/core/sidecar_neighbours.cc, entry_links.cc. Mutants:
 *
 *   SIDECAR_CLOSES   the sidecar closes the stream itself
 *   CLOSES_WITH_OPEN the entry closes it while starts are unresolved
 *   ONLY_NEIGHBOURS  the sidecar dials neighbours only, also with runs
 */

#define MOST_STARTS 3
#define MOST_CHANGES 3
#define MOST_BREAKS 2

mtype = { START, END, HEARTBEAT };

chan to_sidecar = [2] of { mtype };
chan to_entry = [2] of { mtype, bool };

bool up = true;
bool neighbour = true;
bool told_released = false; /* in the newest frame of the sidecar */
bool released = false;      /* as the entry knows it */
byte open = 0;              /* starts that the entry has not seen end */
byte runs = 0;              /* at the sidecar */
byte ends = 0;              /* at the sidecar, not sent on this stream */
byte sent_ends = 0;         /* sent, kept until the entry has them */
byte starts = 0;
byte changes = 0;
byte breaks = 0;

inline drop_stream() {
  up = false;
  do
  :: to_sidecar?[START] -> to_sidecar?START
  :: to_entry?[END, true] -> to_entry?END, true
  :: to_entry?[END, false] -> to_entry?END, false
  :: to_entry?[HEARTBEAT, true] -> to_entry?HEARTBEAT, true
  :: to_entry?[HEARTBEAT, false] -> to_entry?HEARTBEAT, false
  :: else -> break
  od;
  ends = ends + sent_ends;
  sent_ends = 0;
  released = false;
  told_released = false
}

inline give_back() {
  assert(len(to_sidecar) == 0 && runs == 0 && ends == 0 && sent_ends == 0);
  drop_stream()
}

active proctype entry() {
  bool flag;
end:
  do
  :: atomic { up && !released && starts < MOST_STARTS && nfull(to_sidecar) ->
       to_sidecar!START; open++; starts++ }
  :: atomic { up && nempty(to_entry) ->
       if
       :: to_entry?END, flag -> open--; sent_ends--
       :: to_entry?HEARTBEAT, flag
       fi;
       released = flag }
#ifdef CLOSES_WITH_OPEN
  :: atomic { up && released -> give_back() }
#else
  :: atomic { up && released && open == 0 -> give_back() }
#endif
  od
}

active proctype sidecar() {
  bool wants_dial;
end:
  do
  :: atomic { up && to_sidecar?[START] -> to_sidecar?START; runs++ }
  :: atomic { runs > 0 -> runs--; ends++ }
  :: atomic { up && ends > 0 && nfull(to_entry) ->
       to_entry!END, !neighbour; ends--; sent_ends++; told_released = !neighbour }
  :: atomic { changes < MOST_CHANGES -> neighbour = !neighbour; changes++ }
  :: atomic { up && told_released == neighbour && nfull(to_entry) ->
       to_entry!HEARTBEAT, !neighbour; told_released = !neighbour }
#ifdef SIDECAR_CLOSES
  :: atomic { up && !neighbour && runs == 0 && ends == 0 -> give_back() }
#endif
  /* Dials; the entry learns which of its starts never arrived. */
#ifdef ONLY_NEIGHBOURS
  :: atomic { !up && neighbour -> up = true; open = runs + ends }
#else
  :: atomic { !up && (neighbour || runs + ends > 0) -> up = true; open = runs + ends }
#endif
  od
}

active proctype network() {
end:
  do
  :: atomic { up && breaks < MOST_BREAKS -> drop_stream(); breaks++ }
  od
}

/* When nothing more happens. Without a stream the entry gives up by the bounds
 * of leases what never arrived; what runs or has ended must have been found. */
active proctype rest() {
  timeout;
  assert(open == 0 || runs + ends + sent_ends == 0);
  assert(!(up && neighbour && released))
}
