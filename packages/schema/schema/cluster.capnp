@0xd3c1a7e95b2f4680;
# Between the daemons that share backend servers.

using Cxx = import "/capnp/c++.capnp";
using Peer = import "peer.capnp";
$Cxx.namespace("gentianroute::schema");

struct ServerWork {
  # What one daemon has at one backend server.
  server @0 :Text;
  calls @1 :Float32;
  tokens @2 :Float32;
  unreadTokens @3 :Float32;
}

struct StageBacklog {
  # What waits for the stage servers of one service in one data centre; told by
  # the daemon that schedules them.
  service @0 :Text;
  dataCentre @1 :Text;
  inTimeMs @2 :Float32;               # of work that can still be in time
  allMs @3 :Float32;
}

struct LostDaemon {
  # A daemon that those of its data centre hear no more.
  name @0 :Text;
  incarnation @1 :UInt64;
}

struct Beat {
  # Sent to peers now and then, as a datagram; soft state only.
  daemon @0 :Text;
  incarnation @1 :UInt64;
  address @2 :Text;
  port @3 :UInt16;
  dataCentre @4 :Text;
  draining @5 :Bool;
  deploymentVersion @6 :UInt64;       # of the row in the store
  serversVersion @7 :UInt64;          # of the newest change of the host list
  storeContact @8 :UInt8;             # 0: does not ask it, 1: it answers, 2: silent
  work @9 :List(ServerWork);
  backlogs @10 :List(StageBacklog);
  quarantined @11 :List(Peer.Quarantine);
  processorShare @12 :Float32;        # cores that this daemon may use
  lost @13 :List(LostDaemon);         # of the sender's data centre, a short time ago
  nextMs @14 :UInt32;                 # within this the receiver hears the sender again
}

struct Group {
  # All pieces of one stage of one request.
  service @0 :Text;
  dataCentre @1 :Text;
  request @2 :Text;
  stage @3 :UInt32;
  pieces @4 :UInt32;
  inputs @5 :List(Text);
  key @6 :Text;
  work @7 :Text;
  wantedMs @8 :Int32;                 # from now
  deadlineMs @9 :Int32;               # from now
  priority @10 :UInt32;
  resultBytes @11 :Float64;           # of one piece, about
  weight @12 :Float32;                # of the request among those of its route
}

struct GroupOutcome {
  failure @0 :UInt16;                 # 0: done; else 1 + the kind of failure
  results @1 :List(Text);
}

struct Row {
  key @0 :Text;
  value @1 :Data;
  version @2 :UInt64;
  deleted @3 :Bool;
  inflatedSize @4 :UInt32;            # of the value; 0: it is not compressed
}

struct StoreCopy {
  # What a peer last read in the store, as far as it is newer: the oldest of it,
  # if all of it would be too much for one message.
  deployment @0 :List(Row);
  servers @1 :List(Row);
  serversVersion @2 :UInt64;          # that the copy is complete up to; 0: nothing
  serversWhole @3 :Bool;              # for one that knows nothing yet
  serversListed @4 :List(UInt64);     # hashes of the keys of all rows; empty: the
                                      # deletions are among the rows
  serversListedVersion @5 :UInt64;    # at which those were all
}

interface Cluster {
  runGroup @0 (group :Group) -> (outcome :GroupOutcome);
  release @2 (service :Text, dataCentre :Text, results :List(Text)) -> ();
  storeCopy @1 (deploymentVersion :UInt64, serversVersion :UInt64) -> (copy :StoreCopy);
}
