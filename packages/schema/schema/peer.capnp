@0xa94f0d7be2c61835;
# Interface between daemons, over Cap'n Proto RPC.

using Cxx = import "/capnp/c++.capnp";
using Platform = import "platform.capnp";
$Cxx.namespace("gentianroute::schema");

struct HeavyUse {
  organisation @0 :Text;
  subscriber @1 :Text;                # empty: the whole organisation
  cost @2 :Float64;                   # decayed, in cost units
}

struct LeavingServer {
  server @0 :Text;
  incarnation @1 :UInt64;
}

struct Quarantine {
  fingerprint @0 :UInt64;
  remainingMs @1 :UInt32;
}

struct CrashReport {
  # A server broke a connection while it had a request, as seen by the sender.
  fingerprint @0 :UInt64;
  server @1 :Text;
  incarnation @2 :UInt64;
  ageMs @3 :UInt32;
  alone @4 :Bool;                     # no other request was in flight there
  confirmed @5 :Bool;                 # the server was seen down
}

struct ClearanceReport {
  # A server has answered a request that others had crashed on.
  fingerprint @0 :UInt64;
  ageMs @1 :UInt32;
}

struct SuspectPart {
  # A part of the prompt of a request that a server had begun to answer when it
  # crashed.
  part @0 :UInt64;
  request @1 :UInt64;
  depth @2 :UInt8;                    # position in the prompt
}

struct PartCrash {
  # A crash of a server, as known to the sender.
  server @0 :Text;
  incarnation @1 :UInt64;
  ageMs @2 :UInt32;
  confirmed @3 :Bool;
  parts @4 :List(SuspectPart);
}

struct PartReport {
  # Something known about a part of prompts since some time.
  part @0 :UInt64;
  ageMs @1 :UInt32;
}

struct Host {
  # An entry of the platform's host list, without the load, which would be
  # outdated on arrival.
  name @0 :Text;
  address @1 :Text;
  port @2 :UInt16;
  pool @3 :Text;
  dataCentre @4 :Text;
  region @5 :Text;
  incarnation @6 :UInt64;
  slots @7 :UInt32;
  leaving @8 :Bool;
}

struct Digest {
  # State summary exchanged at each heartbeat; soft state only.
  daemon @0 :Text;
  incarnation @1 :UInt64;
  dataCentre @2 :Text;
  revision @3 :UInt64;
  draining @4 :Bool;
  heavy @5 :List(HeavyUse);
  leaving @6 :List(LeavingServer);
  quarantined @7 :List(Quarantine);
  storeAgeMs @8 :UInt32 = 0xffffffff; # since any daemon last read the store's log
}

struct Outcome {
  known @0 :Bool;                     # false: the claim is unknown to this daemon
  status @1 :UInt16;
  body @2 :Text;
  kind @3 :UInt16;                    # error kind number; 0: an answer
  abandoned @4 :Bool;                 # not dispatched, and never will be
}

interface Peer {
  exchange @0 (mine :Digest) -> (yours :Digest);
  revisions @1 (after :UInt64, limit :UInt32) -> (revisions :List(Platform.ConfigRevision));
  join @2 (organisation :Text, key :Text, token :Text) -> (outcome :Outcome);
  snapshot @3 () -> (snapshot :Platform.ConfigSnapshot);
  hosts @4 () -> (hosts :List(Host));
}
