/* Start, lease expiry and move of one task, with paused workers, delayed
 * renewals, lost answers from the table and an owner that fails. Time is a
 * counter that advances only once every unpaused worker whose lease has expired
 * has stopped its task; a paused worker takes no step while time advances.
 * Invariant: the task never runs on two workers at once. */

#define LEASE 2
#define MARGIN 1
#define HORIZON 8
#define NONE 255

byte now = 0;
bool running[2];           /* Whether the task runs on each worker. */
byte leaseUntil[2];        /* Absolute time by the worker's clock. */
bool paused[2];
chan sync0 = [2] of { byte, byte, byte }; /* start flag, lease end, send time */
chan sync1 = [2] of { byte, byte, byte };
byte journalPlace = NONE;  /* Worker of the task, as the journal has it. */
bool died = false;

/* A worker checks its lease before any step with an external effect. */
inline checkLease(id) {
  if
  :: running[id] && now >= leaseUntil[id] -> running[id] = false;
  :: else -> skip;
  fi
}

proctype Worker(byte id; chan from) {
  byte start, lease, sentAt;
end:
  do
  :: now < HORIZON && !paused[id] -> atomic { paused[id] = true; }
  :: paused[id] -> atomic { paused[id] = false; checkLease(id); }
  :: !paused[id] && nempty(from) ->
       atomic {
         checkLease(id);
         from ? start, lease, sentAt;
#ifdef BROKEN_LEASE_FROM_RECEIPT
         leaseUntil[id] = now + LEASE;
#else
         leaseUntil[id] = (lease > leaseUntil[id] -> lease : leaseUntil[id]);
#endif
         if
         :: start == 1 && now < leaseUntil[id] -> running[id] = true;
         :: else -> skip;
         fi;
       }
  od
}

/* An unpaused worker notices an expired lease before time advances. */
#define LAPSED(id) (running[id] && now >= leaseUntil[id] && !paused[id])

proctype Clock() {
end:
  do
  :: atomic { LAPSED(0) -> running[0] = false; }
  :: atomic { LAPSED(1) -> running[1] = false; }
  :: atomic { now < HORIZON && !LAPSED(0) && !LAPSED(1) -> now++; }
  od
}

inline tell(start) {
  if
  :: place == 0 && nfull(sync0) -> sync0 ! start, longest, now;
  :: place == 1 && nfull(sync1) -> sync1 ! start, longest, now;
  :: place == 0 && full(sync0) -> skip;      /* Message lost. */
  :: place == 1 && full(sync1) -> skip;
  fi
}

proctype Owner() {
  byte place = 0;
  byte longest;            /* Latest lease end ever sent. */
again:
  /* The start is written to the journal before the worker is told. If the
   * answer to the write is lost, the journal is read back, so that the start
   * is known to be written. */
#ifndef BROKEN_START_BEFORE_WRITE
  atomic { journalPlace = place; }
#endif
  longest = now + LEASE;
  tell(1);
  do
  :: now < HORIZON - LEASE - MARGIN - 1 ->   /* Renew, answered or not. */
       longest = now + LEASE;
       tell(0);
  :: true -> break;                          /* Worker silent: stop renewing. */
  :: !died ->                                /* The owner fails. */
       died = true;
       /* The next owner reads the journal and assumes that leases were
        * renewed until now. */
       longest = now + LEASE;
       if
       :: journalPlace == NONE -> place = 1; goto again;
       :: else -> place = journalPlace; break;
       fi
  od;
#ifndef BROKEN_MOVE_BEFORE_LAPSE
  now >= longest + MARGIN;                   /* Wait for expiry and margin. */
#endif
  if
  :: place == 0 -> place = 1; goto again;
  :: else -> skip;
  fi
}

/* Violated when both workers run the task under a valid lease and neither is
 * paused: both could take a step with an external effect. */
active proctype Watcher() {
end:
  do
  :: atomic { running[0] && running[1] && !paused[0] && !paused[1] &&
              now < leaseUntil[0] && now < leaseUntil[1] ->
       assert(false); }
  od
}

init {
  atomic {
    run Worker(0, sync0);
    run Worker(1, sync1);
    run Owner();
    run Clock();
  }
}
