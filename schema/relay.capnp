@0xb1f6b6fd0c3e9a47;
# Calls between the entries of one cell. Increment `protocolVersion` with each
# change that an older entry would misinterpret.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("daisylanding::relay::wire");

const protocolVersion :UInt32 = 2;

interface Relay {
  advise @0 (version :UInt32, step :Text, executors :List(Text),
             timeoutMs :UInt32)
         -> (status :Status, allowed :List(Ticket), validityMs :UInt32);
  # Asks the policy service through the other entry's advice queue.

  offer @1 (version :UInt32, service :Text, job :Text, withinMs :UInt32,
            searchedVersion :UInt64)
        -> (verdict :Verdict);
  # Offers a job to the owner of its service, which stores it with its next
  # commit or reports that it cannot do so within `withinMs`. The job was in no
  # other service by the configuration `searchedVersion`.
}

enum Verdict {
  stored @0;
  storedBefore @1;
  otherWork @2;    # The id belongs to another job.
  notOwner @3;     # The other entry does not own the service.
  busy @4;         # Too many jobs are waiting to be stored.
  unknown @5;      # The job may have been stored or may still be.
  wrongVersion @6;
  expired @7;      # Could not be stored in time; will not be stored later.
}

enum Status {
  ok @0;
  busy @1;         # The advice queue is full.
  failed @2;       # No response, or an unreadable one.
  wrongVersion @3; # The other entry speaks another protocol version.
}

struct Ticket {
  executor @0 :Text;
  text @1 :Text;
}
