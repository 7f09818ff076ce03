@0x89a598ec2532126e;
# The protocol between the entries of one deployment. Increment
# `protocolVersion` with each change that an older entry would misinterpret.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("daisylanding::peer::wire");

const protocolVersion :UInt32 = 1;

interface Gate {
  # Bootstrap interface of a connection. Gives access only to entries of the
  # same deployment and protocol version.
  open @0 (deployment :Text, version :UInt32) -> (verdict :Verdict,
                                                  peer :Peer);
}

enum Verdict {
  accepted @0;
  wrongDeployment @1;
  wrongVersion @2;
}

interface Peer {
  exchange @0 (mine :Gossip) -> (theirs :Gossip);
  # Exchanges load and the newest configuration between both entries.

  forward @1 (request :Request) -> (answer :Answer);
  # Forwards a caller's request to the other entry, which serves it.

  wakeInbox @2 () -> ();
  # Reports a new command in the inbox of a shard that the other entry owns.

  events @3 (after :UInt64, limit :UInt32) -> (events :List(Event));
  # The other entry's events with stamps above `after`, at most `limit`.

  jobs @4 (id :Text) -> (document :Text);
  # JSON of the jobs on the other entry's shards; of one job if `id` is set.
}

struct Gossip {
  entry @0 :Text;
  zone @1 :Text;
  peerAddress @2 :Text;
  clock @3 :UInt64;         # Hybrid logical clock.
  configVersion @4 :UInt64;
  config @5 :Text;          # Set only if the receiver's version is older.
  loads @6 :List(ServiceLoad);
}

struct ServiceLoad {
  service @0 :Text;
  spare @1 :Int32;          # Free slots minus waiting requests.
}

struct Request {
  service @0 :Text;
  class @1 :Text;
  key @2 :Text;
  repeatable @3 :Bool;
  timeLeftMs @4 :UInt64;
  contentType @5 :Text;
  body @6 :Data;
}

struct Answer {
  status @0 :UInt16;
  headers @1 :List(Header);
  body @2 :Data;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Event {
  stamp @0 :UInt64;
  entry @1 :Text;
  kind @2 :Text;
  subject @3 :Text;
  detail @4 :Text;
}
