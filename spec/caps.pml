/* A cap of 4 units that two services share, each with one owner at a time.
 * Rights move by grants, counts in a row of the giver's own partition, written
 * by the owner's commits: late commits, lost answers, takeovers, a cap that is
 * lowered to 2.
 * Invariant: a start brings what runs at most to the highest cap that an owner
 * goes by. */

#define CAP 4
#define LOWCAP 2

/* Rows of each service. */
byte rowGranted[2];  /* To the other, for good. */
byte rowRunning[2];  /* Runs that are recorded. */
byte rowConfig[2];   /* The configuration that the owner goes by. */
byte rowBeyond[2];   /* Used beyond the right, by that configuration. */
byte version[2];     /* Of the owner row; grows with each commit. */

/* What each owner knows. */
byte granted[2];
byte received[2];    /* From the other's row. */
byte placed[2];      /* Starts that are not recorded yet. */
bool placedBefore[2]; /* Some of them by the configuration before. */
byte config[2];
byte seenConfig[2];  /* The other's, from its row. */
byte seenBeyond[2];
bool restored[2];
byte seenVersion[2];

/* One commit of each owner in flight. */
bool sent[2], sentBefore[2];
byte sentVersion[2], sentGranted[2], sentStarts[2], sentConfig[2],
    sentBeyond[2];
byte takeovers = 0;
byte grants = 0;

#define capBy(c) ((c) == 0 -> CAP : LOWCAP)
/* Twice the right by the higher cap: 2 units each, moved one at a time. */
#define right(i) (2 + received[i] - granted[i])
/* In units of the cap in force: rounded down. */
#define allowed(i) ((right(i) * capBy(config[i])) / CAP)
#define used(i) (rowRunning[i] + placed[i])
#ifdef BROKEN_IGNORE_USE_BEYOND_RIGHT
#define elsewhere(i) 0
#else
#define elsewhere(i) (seenBeyond[i])
#endif
#ifdef BROKEN_START_BEFORE_STATEMENT
#define isKnown(i) true
#else
#define isKnown(i) (seenConfig[i] >= config[i])
#endif

inline readOther(i) {
  received[i] = rowGranted[1 - i];
  seenConfig[i] = rowConfig[1 - i];
  seenBeyond[i] = rowBeyond[1 - i];
}

inline carryOut(i) {
#ifdef BROKEN_LATE_COMMIT
  if
  :: true ->
#else
  if
  :: sentVersion[i] == version[i] ->
#endif
       version[i]++;
       rowGranted[i] = sentGranted[i];
       rowConfig[i] = sentConfig[i];
       rowBeyond[i] = sentBeyond[i];
       rowRunning[i] = rowRunning[i] + sentStarts[i];
       if
       :: sentStarts[i] > 0 ->
            /* Of the configurations that may be in force the highest. */
            assert(rowRunning[0] + rowRunning[1] <=
                   ((config[0] == 0 || config[1] == 0 || sentBefore[i])
                    -> CAP : LOWCAP));
       :: else
       fi;
       if
       :: placed[i] >= sentStarts[i] && seenVersion[i] == sentVersion[i] ->
            placed[i] = placed[i] - sentStarts[i];
            seenVersion[i] = version[i];
       :: else
       fi
  :: else
  fi;
  sent[i] = false; sentBefore[i] = false;
  sentStarts[i] = 0; sentGranted[i] = 0; sentBeyond[i] = 0;
  sentVersion[i] = 0; sentConfig[i] = 0;
}

proctype Owner(byte i) {
  do
  /* Start one. */
  :: atomic { restored[i] && isKnown(i) && !sent[i] &&
       used(i) + 1 + elsewhere(i) <= allowed(i) -> placed[i]++; }
  /* A run ends. */
  :: atomic { rowRunning[i] > 0 -> rowRunning[i]--; }
  /* Grant a unit of right that isn't used. */
  :: atomic { restored[i] && grants < 2 && right(i) > 0 && !sent[i] &&
       (used(i) * CAP) <= ((right(i) - 1) * capBy(config[i])) ->
         granted[i]++; grants++; }
  /* Send a commit with all that is decided. */
  :: atomic { restored[i] && !sent[i] && version[i] < 4 &&
       (placed[i] > 0 || granted[i] != rowGranted[i] ||
        config[i] != rowConfig[i] || rowBeyond[i] > 0) ->
         sent[i] = true;
         sentVersion[i] = seenVersion[i];
#ifdef BROKEN_GRANT_AFTER_COMMIT
         /* The unit is used on until the commit is answered. */
         sentGranted[i] = granted[i] + (right(i) > 0 -> 1 : 0);
#else
         sentGranted[i] = granted[i];
#endif
         sentStarts[i] = placed[i];
         sentBefore[i] = (placedBefore[i] || config[i] == 0);
         placedBefore[i] = false;
         sentConfig[i] = config[i];
         sentBeyond[i] = (used(i) > allowed(i) -> used(i) - allowed(i) : 0); }
  :: atomic { sent[i] -> carryOut(i); }
  :: atomic { readOther(i); }
  /* The cap is lowered. */
  :: atomic { config[i] == 0 -> config[i] = 1;
       placedBefore[i] = (placed[i] > 0); }
  /* Another owner takes over: acquires the service, then reads its rows. The
   * commit of the last one may still come. */
  :: atomic { takeovers < 1 -> takeovers++;
       version[i]++;
       seenVersion[i] = version[i];
       placed[i] = 0; placedBefore[i] = false; received[i] = 0; seenConfig[i] = 0; seenBeyond[i] = 0;
#ifdef BROKEN_START_BEFORE_OWN_ROW
       granted[i] = 0; restored[i] = true;
#else
       granted[i] = 0; restored[i] = false;
#endif
     }
  :: atomic { !restored[i] -> granted[i] = rowGranted[i]; readOther(i);
       restored[i] = true; }
  od
}

init {
  atomic {
    restored[0] = true; restored[1] = true;
    run Owner(0); run Owner(1);
  }
}
