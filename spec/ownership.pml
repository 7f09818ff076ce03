/* Shard ownership and takeover, with a paused previous owner and lost answers.
 * The table holds the shard row (owner, epoch) and the journal. Each entry
 * acquires the shard by compare-and-set, appends a start to the journal, then
 * tells the worker, and may be paused at any point. The worker refuses older
 * epochs.
 * Invariants: a task is started at most once; every start that runs is in the
 * journal. */

#define ENTRIES 2
#define NOBODY 255

byte owner = NOBODY;
byte epoch = 0;
byte journaled = 0;          /* Starts of the task in the journal. */
byte startedBy = NOBODY;     /* Epoch that appended the start. */
byte workerEpoch = 0;        /* Highest epoch that the worker has seen. */
byte running = 0;            /* Starts of the task on the worker. */
bool runningUnwritten = false;

proctype Entry(byte id) {
  byte myEpoch;
  byte seenEpoch;
  byte seenStart;
  bool known;
  byte rounds = 0;
  do
  :: rounds < 2 ->
    rounds++;
    /* Read the row. The owner may be suspected to have failed at any time. */
    seenEpoch = epoch;
    /* Acquire the shard by compare-and-set. */
    atomic {
      if
      :: epoch == seenEpoch ->
           owner = id; epoch = epoch + 1; myEpoch = epoch;
      :: else -> goto again;
      fi;
    }
    /* Load the journal. */
    seenStart = journaled;
    /* During a pause here another entry may take over. */
    if
    :: seenStart == 0 ->
         /* Append the start; the same transaction checks the shard row. */
         atomic {
           known = false;
           if
#ifdef BROKEN_APPEND_WITHOUT_EPOCH
           :: true -> journaled++; startedBy = myEpoch; known = true;
#else
           :: epoch == myEpoch && journaled == 0 ->
                journaled++; startedBy = myEpoch; known = true;
           :: else -> skip;
#endif
           fi;
         }
         if
#ifndef BROKEN_START_BEFORE_WRITE
         :: !known -> goto again;
#endif
         :: else -> skip;
         fi;
    :: else -> skip; /* Already in the journal: tell the worker again. */
    fi;
    /* Tell the worker; the message may arrive after a takeover. */
    atomic {
      if
#ifdef BROKEN_WORKER_IGNORES_EPOCH
      :: true ->
#else
      :: myEpoch >= workerEpoch ->
#endif
           workerEpoch = (myEpoch > workerEpoch -> myEpoch : workerEpoch);
           if
           /* Idempotent: the worker ignores an attempt that it knows. */
#ifdef BROKEN_WORKER_IGNORES_EPOCH
           :: true -> running++;
#else
           :: running == 0 -> running++;
#endif
           :: else -> skip;
           fi;
           runningUnwritten = (journaled == 0);
#ifndef BROKEN_WORKER_IGNORES_EPOCH
      :: else -> skip;
#endif
      fi;
    }
again:
    skip;
  :: else -> break;
  od;
}

init {
  atomic {
    run Entry(0);
    run Entry(1);
  }
}

active proctype Watcher() {
  do
  :: atomic { runningUnwritten || running > 1 || journaled > 1 ->
       assert(false); }
  od;
}
