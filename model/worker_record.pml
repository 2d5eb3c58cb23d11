/* One worker, the sidecar beside it, and the sidecar's row in the store.
 *
 * A session of the worker is an id and a start time; an id is used again, here
 * by every other session. Announcements and answers to polls may be late, and
 * announcements may overtake. The sidecar may be killed once; its successor reads
 * the row once, at some time or never, because the store may be down. A write is
 * conditional on the version last read or written. A write of the predecessor may
 * be carried out in its successor's life, or be lost.
 *
 * Checked: nothing starts in a session that has not answered a poll of this life
 * of the sidecar; a record never hides an announcement; and no row that the
 * successor has written is replaced by a late write of its predecessor.
 *
 * Code: src/core/lease_manager_sessions.cc. Mutants:
 *
 *   NO_CONDITION        writes are carried out whatever the version of the row
 *   NO_START_TIME       a session answers for the recorded one if its id is equal
 *   COUNTS_IMMEDIATELY  a record counts as a session that has answered
 *   KEEPS_RECORD        a record is kept beside another session's announcement
 */

#define SESSIONS 4 /* 1 to 3; 0: none */
#define LIVES 3    /* 1 and 2 */
#ifdef NO_START_TIME
#define SAME(s, t) (((s) & 1) == ((t) & 1))
#else
#define SAME(s, t) ((s) == (t))
#endif

byte session = 1; /* of the worker, now */
byte life = 1;    /* of the sidecar */

/* The row: session, version, and the life that wrote it. */
byte row = 0, row_version = 0, row_by = 0;
/* The write under way, by the life that sent it. */
bool writing[LIVES];
byte w_session[LIVES], w_version[LIVES];

/* The sidecar's memory; lost when it is killed. */
byte announced = 0;    /* the session that counts as announced */
byte record = 0;       /* the recorded session, until it has answered */
byte answered = 0;     /* the newest answer of the announced session; 0: none */
bool has_read = true;  /* the first life has found no row */
byte read_version = 0; /* of the row, last read or written */
byte wrote = 0;        /* the session last written */

/* For the properties: the sessions whose answers to this life have arrived. */
bool heard[SESSIONS];

chan announcements = [2] of { byte };  /* session */
chan polls = [1] of { byte };          /* life */
chan answers = [2] of { byte, byte };  /* session, life that polled */

inline take_announcement(s) {
  if
  :: s < announced -> skip /* of a session that is known to be over */
#ifdef KEEPS_RECORD
  :: s >= announced && record != 0 && s != record -> skip
  :: s >= announced && (record == 0 || s == record) -> record = 0; announced = s
#else
  :: s >= announced -> record = 0; announced = s
#endif
  fi;
  assert(announced >= s)
}

inline take_answer(s) {
  heard[s] = true;
  if
  :: record != 0 && SAME(s, record) -> announced = record; answered = record; record = 0
  :: record != 0 && !SAME(s, record) -> record = 0
  :: record == 0 && s == announced -> answered = s
  :: else
  fi
}

inline read_row() {
  has_read = true;
  read_version = row_version;
  if
  :: row != 0 && announced == 0 ->
#ifdef COUNTS_IMMEDIATELY
     announced = row; answered = row
#else
     record = row
#endif
  :: else
  fi
}

inline carry_out(l) {
  writing[l] = false;
  if
#ifndef NO_CONDITION
  :: w_version[l] != row_version -> skip /* refused */
  :: w_version[l] == row_version ->
#else
  :: true ->
#endif
     assert(row_by <= l);
     row = w_session[l];
     row_version++;
     row_by = l;
     if
     :: l == life -> read_version = row_version
     :: else
     fi
  fi
}

active proctype worker() {
  byte l;
end:
  do
  :: atomic { session < SESSIONS - 1 -> session++ }
  :: atomic { nfull(announcements) -> announcements!session }
  /* It answers with its own session, whichever session was polled. */
  :: atomic { nempty(polls) && nfull(answers) -> polls?l; answers!session, l }
  od
}

active proctype sidecar() {
  byte s, l;
end:
  do
  :: atomic { announcements??s -> take_announcement(s); s = 0 }
  :: atomic { answers?s, l ->
       if
       :: l == life -> take_answer(s)
       :: else /* for the process that was killed */
       fi;
       s = 0; l = 0 }
  :: atomic { announced + record > 0 && nfull(polls) -> polls!life }
  :: atomic { !has_read -> read_row() }
  :: atomic { has_read && !writing[life] && announced != 0 &&
              answered == announced && wrote != announced ->
       w_session[life] = announced;
       w_version[life] = read_version;
       wrote = announced;
       writing[life] = true }
  :: atomic { writing[life] -> carry_out(life) }
  /* A start, in the session that it is addressed to. */
  :: atomic { announced != 0 && answered == announced -> assert(heard[announced]) }
  od
}

active proctype faults() {
end:
  do
  :: atomic { life == 1 ->
       life = 2;
       announced = 0; record = 0; answered = 0;
       has_read = false; read_version = 0; wrote = 0;
       heard[1] = false; heard[2] = false; heard[3] = false }
  :: atomic { life == 2 && writing[1] -> carry_out(1) }
  :: atomic { life == 2 && writing[1] -> writing[1] = false }
  :: atomic { nempty(announcements) -> announcements??_ }
  od
}
