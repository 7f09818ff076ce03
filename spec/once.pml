/* A request that must not be repeated, sent by its caller through two entries,
 * with lost answers and writes that take effect late.
 * Promises: it runs at most once; a caller that was told not-run by every try
 * has a request that did not run; "no earlier try" is said only when it is
 * true. */

#define NOBODY 255

byte record = NOBODY;      /* Who holds the key in the table. */
byte runs = 0;
byte toldNotRun = 0;
byte late = NOBODY;        /* A reservation still on its way to the table. */
bool answered[2];

proctype Entry(byte id) {
  bool reserved = false;
  /* Reserve the key by compare-and-set before anything is sent. */
#ifdef BROKEN_SEND_BEFORE_RECORD
  reserved = true;
#else
  if
  :: atomic { record == NOBODY -> record = id; }
       if
       :: reserved = true;                   /* The answer came. */
       :: skip ->                            /* The answer was lost. */
            if                               /* Read back. */
            :: record == id -> reserved = true;
            :: skip;                         /* The table is away now. */
            fi;
       fi;
  :: atomic { record != NOBODY -> skip; }    /* An earlier try has it. */
  :: atomic { late == NOBODY -> late = id; } /* Delayed; given up on. */
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
       :: atomic {                           /* Surely not sent: release. */
            if
            :: record == id -> record = NOBODY;
            :: else -> skip;
            fi;
            toldNotRun++;
          }
       fi;
  :: else ->
       /* Never sent by this entry. Before it says that no earlier try ran
        * either, it looks the key up. */
       if
#ifdef BROKEN_NOT_RUN_WITHOUT_LOOKUP
       :: atomic { assert(runs == 0); toldNotRun++; }
#else
       :: atomic { record == NOBODY -> assert(runs == 0); toldNotRun++; }
       :: record != NOBODY -> skip;          /* Told unknown or the answer. */
#endif
       fi;
  fi;
  answered[id] = true;
}

/* A write that was given up on may still arrive; it can only take a key that
 * nobody has. */
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
