/* Transfer of one endpoint's slot credits between two entries through one table
 * row, with lost answers and writes that take effect late.
 * Invariant: the slots in use never exceed the slots of the endpoint. */

#define SLOTS 2

byte rowHeld[2];           /* The table row: credits held by each entry. */
byte version = 1;
byte mine[2];              /* Credits that each entry believes it holds. */
byte used[2];

/* One write in flight after its sender's time-out. */
bool lateSent = false;
byte lateExpected, lateFrom, lateTo;

inline moveRow(from, to) {
  rowHeld[from] = rowHeld[from] - 1;
  rowHeld[to] = rowHeld[to] + 1;
  version++;
}

proctype Entry(byte id) {
  byte other = 1 - id;
  byte seen;
  byte steps = 0;
  do
  :: steps < 3 ->
       steps++;
       if
       :: atomic { used[id] < mine[id] -> used[id]++; }
       :: atomic { used[id] > 0 -> used[id]--; }
       /* Read the row and adopt the credits it lists. */
       :: atomic { mine[id] = rowHeld[id]; }
       /* Transfer one idle slot to the other entry. */
       :: atomic { mine[id] > used[id] && rowHeld[id] > 0 && version < 6 ->
            seen = version;
#ifndef BROKEN_GIVE_BEFORE_REDUCING
            mine[id] = mine[id] - 1;
#endif
          }
          if
          :: atomic { version == seen -> moveRow(id, other);
#ifdef BROKEN_GIVE_BEFORE_REDUCING
               skip;
#endif
             }
          :: atomic { version != seen -> mine[id] = rowHeld[id]; }
          :: atomic { version == seen && !lateSent -> lateSent = true;
               lateExpected = seen; lateFrom = id; lateTo = other; }
             /* No answer: read the row back. */
#ifdef BROKEN_TRUST_UNCHANGED_ROW
             atomic { mine[id] = rowHeld[id]; }
#else
             atomic {
               if
               :: version != seen -> mine[id] = rowHeld[id];
               /* Unchanged: increase the version, then the late write fails. */
               :: else -> version++; mine[id] = rowHeld[id];
               fi
             }
#endif
          fi
       fi
  :: else -> break;
  od
}

active proctype Network() {
end:
  do
  :: atomic { lateSent ->
       if
       :: version == lateExpected -> moveRow(lateFrom, lateTo);
       :: else -> skip;
       fi;
       lateSent = false;
     }
  od
}

active proctype Watcher() {
end:
  do
  :: atomic { used[0] + used[1] > SLOTS -> assert(false); }
  od
}

init {
  atomic {
    rowHeld[0] = 1; rowHeld[1] = 1;
    mine[0] = 1; mine[1] = 1;
    run Entry(0);
    run Entry(1);
  }
}
