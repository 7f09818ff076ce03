/* Jobs of a cell: one task, two executors, owners that take over from each
 * other. The store holds the owner's row (a version that each commit moves on)
 * and the task's record. A commit or an order may be carried out late, after
 * newer ones, and an owner may be paused anywhere.
 * Promise: a task never runs twice at once, is never started after its end was
 * acknowledged, and is never started unrecorded. */

#define OWNERS 2
#define TAKES 2

byte version = 1;
byte epoch = 0;
byte recRun = 0;      /* The newest recorded run. */
bool recOpen = false; /* It may be running. */
byte recOn = 0;
bool recDone = false;

byte token[2];
byte running[2];  /* The run there; 0 for none. */
byte over[2];     /* The highest run that ended or was refused there. */
byte ended[2];    /* A run that is listed as done; 0 for none. */
bool acknowledged = false;

/* One commit and one order that are carried out late. */
bool lateCommit = false;
byte lcVersion, lcRun, lcOn;
bool lateOrder = false;
byte loToken, loRun, loOn;

inline startOn(e, t, r) {
  /* The executor's rules. */
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
  /* A transaction of the owner that decides on a run. */
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
    /* Take the service by compare-and-set on the row. */
    v = version;
    atomic {
      if
      :: version == v -> version++; epoch++; mine = epoch; v = version;
      :: else -> goto again;
      fi;
    }
    /* Load the record, then look at the executor that has the open run. */
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
           :: running[on] == nr -> goto again; /* It goes on. */
           :: ended[on] == nr -> skip;
           :: else -> known = false; /* Not there, and fenced off. */
           fi;
         }
         if
         :: known ->
              /* Its end is listed: record it, then let it be forgotten. */
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
    /* Decide on a new run, on either executor. */
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
       /* No answer: the same commit is sent again. */
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
    /* Order it; the order may be late, and is then given again. */
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
