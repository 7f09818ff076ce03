/* A non-repeatable request that its caller sends through two entries, with lost
 * answers and writes that take effect late.
 * Invariants: the request runs at most once; if every try was answered not-run,
 * the request did not run; an entry answers that no earlier try ran only if
 * that is true. */

#define NOBODY 255

byte record = NOBODY;      /* Entry that reserved the key in the table. */
byte runs = 0;
byte toldNotRun = 0;
byte late = NOBODY;        /* A reservation in flight to the table. */
bool answered[2];

proctype Entry(byte id) {
  bool reserved = false;
  /* Reserve the key by compare-and-set before sending the request. */
#ifdef BROKEN_SEND_BEFORE_RECORD
  reserved = true;
#else
  if
  :: atomic { record == NOBODY -> record = id; }
       if
       :: reserved = true;                   /* Answer received. */
       :: skip ->                            /* Answer lost. */
            if                               /* Read back. */
            :: record == id -> reserved = true;
            :: skip;                         /* Table unreachable. */
            fi;
       fi;
  :: atomic { record != NOBODY -> skip; }    /* Reserved by an earlier try. */
  :: atomic { late == NOBODY -> late = id; } /* Delayed; timed out. */
  fi;
#endif
  if
  :: reserved ->
       if
       :: atomic { runs++; }                 /* Sent; the answer may be lost. */
#ifdef BROKEN_RETRY_AFTER_SENT
            if
            :: atomic { runs++; }            /* Sent again on a lost answer. */
            :: skip;
            fi;
#endif
       :: atomic {                           /* Certainly not sent: release. */
            if
            :: record == id -> record = NOBODY;
            :: else -> skip;
            fi;
            toldNotRun++;
          }
       fi;
  :: else ->
       /* Not sent by this entry. It looks the key up before it answers that no
        * earlier try ran either. */
       if
#ifdef BROKEN_NOT_RUN_WITHOUT_LOOKUP
       :: atomic { assert(runs == 0); toldNotRun++; }
#else
       :: atomic { record == NOBODY -> assert(runs == 0); toldNotRun++; }
       :: record != NOBODY -> skip;          /* Unknown, or the result. */
#endif
       fi;
  fi;
  answered[id] = true;
}

/* A write may still arrive after its sender's time-out; it reserves the key
 * only if no entry has it. */
active proctype Network() {
end:
  do
  :: atomic { late != NOBODY && record == NOBODY -> record = late;
              late = NOBODY; }
  :: atomic { late != NOBODY && record != NOBODY -> late = NOBODY; }
  od
}

active proctype Watcher() {
end:
  do
  :: atomic { runs > 1 -> assert(false); }
  :: atomic { answered[0] && answered[1] && toldNotRun == 2 && runs > 0 ->
       assert(false); }
  od
}

init {
  atomic {
    run Entry(0);
    run Entry(1);
  }
}
