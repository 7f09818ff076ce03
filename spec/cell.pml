/* Job execution in a cell: one task, two executors, and owners that take over
 * from each other. The store holds the owner row, whose version increases with
 * each commit, and the record of the task. A commit or a start order may take
 * effect late, after newer ones, and an owner may be paused at any point.
 * Invariants: two runs of the task never overlap; no run starts after the end
 * of the task was acknowledged; no run starts before it is recorded. */

#define OWNERS 2
#define TAKES 2

byte version = 1;
byte epoch = 0;
byte recRun = 0;      /* Latest recorded run. */
bool recOpen = false; /* No end recorded; the run may still go on. */
byte recOn = 0;
bool recDone = false;

byte token[2];
byte running[2];  /* Current run on each executor; 0 for none. */
byte over[2];     /* Highest run that ended or was refused there. */
byte ended[2];    /* Ended run, not acknowledged yet; 0 for none. */
bool acknowledged = false;

/* One commit and one start order in flight that take effect late. */
bool lateCommit = false;
byte lcVersion, lcRun, lcOn;
bool lateOrder = false;
byte loToken, loRun, loOn;

inline startOn(e, t, r) {
  /* The executor accepts an order only under a current token, for a run that
   * is newer than any that ended here, and while nothing runs. */
  if
#ifdef BROKEN_NO_FENCE
  :: r > over[e] && running[e] == 0 ->
#else
  :: t >= token[e] && r > over[e] && running[e] == 0 ->
#endif
       token[e] = (t > token[e] -> t : token[e]);
       assert(running[1 - e] == 0);
       assert(!acknowledged);
       assert(recRun >= r);
       running[e] = r;
  :: else -> skip;
  fi;
}

inline record(v, r, e, ok) {
  /* The owner's transaction that records a new run. */
  if
#ifdef BROKEN_COMMIT_WITHOUT_VERSION
  :: true ->
#else
  :: version == v ->
#endif
       version++; recRun = r; recOpen = true; recOn = e; ok = true;
  :: else -> ok = false;
  fi;
}

proctype Owner() {
  byte mine, v, nr, on, takes = 0;
  bool ok, known;
  do
  :: takes < TAKES ->
    takes++;
    /* Acquire the service by compare-and-set on the owner row. */
    v = version;
    atomic {
      if
      :: version == v -> version++; epoch++; mine = epoch; v = version;
      :: else -> goto again;
      fi;
    }
    /* Load the record, then query the executor of the run without an end. */
    atomic { nr = recRun; on = recOn; known = recOpen; }
    if
    :: recDone -> goto again;
    :: known ->
         atomic {
           if
           :: token[on] > mine -> goto again;
           :: else -> token[on] = mine;
           fi;
           if
           :: running[on] == nr -> goto again; /* Still running. */
           :: ended[on] == nr -> skip;
           :: else -> known = false; /* Absent, and fenced: it can't start. */
           fi;
         }
         if
         :: known ->
              /* The executor reports the end: record, then acknowledge it. */
#ifdef BROKEN_ACKNOWLEDGE_FIRST
              atomic {
                if
                :: ended[on] == nr -> ended[on] = 0; acknowledged = true;
                :: else -> skip;
                fi;
              }
#endif
              atomic {
                if
                :: version == v -> version++; v = version;
                     recOpen = false; recDone = true;
                :: else -> goto again;
                fi;
              }
              atomic { ended[on] = 0; acknowledged = true; }
              goto again;
         :: else -> skip;
         fi;
    :: else -> skip;
    fi;
    /* Choose an executor for a new run. */
    nr = nr + 1;
    if
    :: on = 0;
    :: on = 1;
    fi;
#ifdef BROKEN_START_BEFORE_COMMIT
    atomic { startOn(on, mine, nr); }
#endif
    if
    :: atomic { record(v, nr, on, ok); }
    :: atomic { !lateCommit -> lateCommit = true;
         lcVersion = v; lcRun = nr; lcOn = on; }
       /* No answer: send the same commit again. */
       atomic {
         record(v, nr, on, ok);
         if
         :: !ok && version == v + 1 && recRun == nr && recOn == on &&
            epoch == mine -> ok = true;
         :: else -> skip;
         fi;
       }
    fi;
    if
    :: !ok -> goto again;
    :: else -> skip;
    fi;
    /* Order the start. An order may be delayed and is then sent again. */
    if
    :: atomic { !lateOrder -> lateOrder = true;
         loToken = mine; loRun = nr; loOn = on; }
    :: skip;
    fi;
    atomic { startOn(on, mine, nr); }
again:
    skip;
  :: else -> break;
  od;
}

active proctype World() {
  do
  :: atomic { lateCommit ->
       lateCommit = false;
       bool done;
       record(lcVersion, lcRun, lcOn, done); }
  :: atomic { lateOrder -> lateOrder = false; startOn(loOn, loToken, loRun); }
  :: atomic { running[0] > 0 ->
       ended[0] = running[0]; over[0] = running[0]; running[0] = 0; }
  :: atomic { running[1] > 0 ->
       ended[1] = running[1]; over[1] = running[1]; running[1] = 0; }
  od;
}

init {
  atomic {
    run Owner();
    run Owner();
  }
}
