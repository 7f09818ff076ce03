/* Start, lease lapse and move of one task, with a paused worker, a delayed
 * renewal and a lost answer from the table. Time is a counter that ticks only
 * when every process that must act by then has had its chance; a paused worker
 * is one that does not act while time goes on.
 * Promise: the task never runs on two workers at once. */

#define LEASE 2
#define MARGIN 1
#define HORIZON 8
#define NONE 255

byte now = 0;
bool running[2];           /* What each worker's task does. */
byte leaseUntil[2];        /* On the worker's clock, absolute. */
bool paused[2];
chan sync0 = [2] of { byte, byte, byte }; /* start?, lease, sent at */
chan sync1 = [2] of { byte, byte, byte };
byte journalPlace = NONE;  /* Where the journal says that the task is. */
bool died = false;

/* The worker's own check comes before any step that others can see. */
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

/* A worker that is not paused notices a lapse before time goes on. */
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
  :: place == 0 && full(sync0) -> skip;      /* Lost on the way. */
  :: place == 1 && full(sync1) -> skip;
  fi
}

proctype Owner() {
  byte place = 0;
  byte longest;            /* The end of the longest lease ever sent. */
again:
  /* The start is written before the worker is told. The answer may be lost;
   * then it is read back, so that it is known to be written. */
#ifndef BROKEN_START_BEFORE_WRITE
  atomic { journalPlace = place; }
#endif
  longest = now + LEASE;
  tell(1);
  do
  :: now < HORIZON - LEASE - MARGIN - 1 ->   /* Renew, answered or not. */
       longest = now + LEASE;
       tell(0);
  :: true -> break;                          /* Silent: stop renewing. */
  :: !died ->                                /* The entry dies here. */
       died = true;
       /* The next owner knows what the journal says, and that leases may
        * have been renewed until now. */
       longest = now + LEASE;
       if
       :: journalPlace == NONE -> place = 1; goto again;
       :: else -> place = journalPlace; break;
       fi
  od;
#ifndef BROKEN_MOVE_BEFORE_LAPSE
  now >= longest + MARGIN;                   /* Wait until the lease is over. */
#endif
  if
  :: place == 0 -> place = 1; goto again;
  :: else -> skip;
  fi
}

/* Two tasks that are both running, at a moment when neither worker is paused:
 * both could take a step that others see. */
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
