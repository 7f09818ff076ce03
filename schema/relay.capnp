@0xb1f6b6fd0c3e9a47;
# Calls between the entries of one cell. A change that an older entry would
# misread raises `protocolVersion`.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("daisylanding::relay::wire");

const protocolVersion :UInt32 = 2;

interface Relay {
  advise @0 (version :UInt32, step :Text, executors :List(Text),
             timeoutMs :UInt32)
         -> (status :Status, allowed :List(Ticket), validityMs :UInt32);
  # Asks the policy service on the other entry's line.

  offer @1 (version :UInt32, service :Text, job :Text, withinMs :UInt32)
        -> (verdict :Verdict);
  # Hands a job to the owner of its service, which stores it with its next
  # commit, or tells that it can't within that time.
}

enum Verdict {
  stored @0;
  storedBefore @1;
  otherWork @2;    # The id is used for another job.
  notOwner @3;     # The other entry does not own the service.
  busy @4;         # Too many jobs wait there to be stored.
  unknown @5;      # It may have been stored, or may be.
  wrongVersion @6;
  expired @7;      # It could not have been stored in time, and never will be.
}

enum Status {
  ok @0;
  busy @1;         # Too many calls wait on that line.
  failed @2;       # No answer, or none that can be read.
  wrongVersion @3; # The other entry speaks another protocol version.
}

struct Ticket {
  executor @0 :Text;
  text @1 :Text;
}
