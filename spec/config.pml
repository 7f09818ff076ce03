/* Configuration changes by compare-and-set, distributed by polling and gossip
 * to entries that may be replaced.
 * Invariants: at most one change is accepted from each version; the version in
 * force in a process never decreases; a version in force has been accepted; a
 * new process serves nothing before it has a configuration. */

#define ENTRIES 2
#define TOP 3

byte table = 1;            /* Latest accepted version. */
byte acceptedFrom[TOP + 1]; /* Changes accepted from each version. */
byte inForce[ENTRIES];     /* Version on each entry; 0 for none. */
bool serving[ENTRIES];
chan gossip = [2] of { byte };

proctype Operator() {
  byte seen;
  byte tries = 0;
  do
  :: tries < 2 && table < TOP ->
       tries++;
       seen = table;
#ifdef BROKEN_WRITE_WITHOUT_COMPARE
       atomic { acceptedFrom[seen]++; table = seen + 1; }
#else
       atomic {
         if
         :: table == seen -> acceptedFrom[seen]++; table = seen + 1;
         :: else -> skip;  /* Conflict: refused with the newer version. */
         fi
       }
#endif
  :: else -> break;
  od
}

inline apply(id, version) {
#ifdef BROKEN_APPLY_ANY_VERSION
  assert(version >= inForce[id]);
  inForce[id] = version;
#else
  if
  :: version > inForce[id] -> inForce[id] = version;
  :: else -> skip;
  fi;
#endif
}

proctype Entry(byte id) {
  byte read;
  byte steps = 0;
#ifdef BROKEN_SERVE_WITHOUT_CONFIG
  serving[id] = true;
#endif
  do
  :: steps < 4 ->
       steps++;
       if
       :: read = table;               /* Poll; the answer may be delayed. */
            atomic { apply(id, read); }
       :: nempty(gossip) -> gossip ? read;
            atomic { apply(id, read); }
       :: nfull(gossip) && inForce[id] > 0 -> gossip ! inForce[id];
       :: atomic { inForce[id] = 0; serving[id] = false; } /* Replaced. */
#ifdef BROKEN_SERVE_WITHOUT_CONFIG
            serving[id] = true;
#endif
       fi;
       atomic {
         if
         :: inForce[id] > 0 -> serving[id] = true;
         :: else -> skip;
         fi
       }
  :: else -> break;
  od
}

active proctype Watcher() {
end:
  do
  :: atomic { acceptedFrom[1] > 1 || acceptedFrom[2] > 1 -> assert(false); }
  :: atomic { inForce[0] > table || inForce[1] > table -> assert(false); }
  :: atomic { (serving[0] && inForce[0] == 0) ||
              (serving[1] && inForce[1] == 0) -> assert(false); }
  od
}

init {
  atomic {
    run Operator();
    run Operator();
    run Entry(0);
    run Entry(1);
  }
}
