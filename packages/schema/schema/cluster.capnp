@0xd3c1a7e95b2f4680;
# Messages between the daemons that share backend servers.

using Cxx = import "/capnp/c++.capnp";
using Peer = import "peer.capnp";
$Cxx.namespace("gentianroute::schema");

struct ServerWork {
  # Work that one daemon has in flight at one backend server.
  server @0 :Text;
  calls @1 :Float32;
  tokens @2 :Float32;
  unreadTokens @3 :Float32;
}

struct ServerPace {
  # Observations of the time that a model server takes for an event of a stream.
  server @0 :Text;
  events @1 :Float32;                 # number of events observed, decayed
  logSum @2 :Float32;                 # sum of ln(milliseconds) over these
}

struct ServerLimit {
  # The rate of requests that a server takes from all daemons together, as the
  # sender has observed it.
  server @0 :Text;
  limited @1 :Bool;                   # false: the limit has ended
  perSecond @2 :Float64;
  ageMs @3 :UInt32;
}

struct BrittleService {
  # A service whose servers fall over if they turn away too many requests, as the
  # sender has observed it.
  service @0 :Text;
  brittle @1 :Bool;                   # false: no longer
  perSecond @2 :Float64;              # rejections that a server bears
  ageMs @3 :UInt32;
}

struct StageBacklog {
  # Work queued for the stage servers of one service in one data centre, as
  # reported by the daemon that schedules them.
  service @0 :Text;
  dataCentre @1 :Text;
  inTimeMs @2 :Float32;               # work that can still meet its deadline
  allMs @3 :Float32;                  # all queued work
}

struct LostDaemon {
  # A daemon that the other daemons of its data centre no longer receive from.
  name @0 :Text;
  incarnation @1 :UInt64;
}

struct Beat {
  # Heartbeat datagram, sent to peers periodically; carries soft state only.
  daemon @0 :Text;
  incarnation @1 :UInt64;
  address @2 :Text;
  port @3 :UInt16;
  dataCentre @4 :Text;
  draining @5 :Bool;
  deploymentVersion @6 :UInt64;       # version of the row in the store
  serversVersion @7 :UInt64;          # newest change in the host list
  storeContact @8 :UInt8;             # 0: not asked, 1: answers, 2: no answer
  work @9 :List(ServerWork);
  backlogs @10 :List(StageBacklog);
  quarantined @11 :List(Peer.Quarantine);
  processorShare @12 :Float32;        # cores that this daemon may use
  lost @13 :List(LostDaemon);         # lost recently in the sender's data centre
  nextMs @14 :UInt32;                 # maximum time until the next heartbeat
  paces @15 :List(ServerPace);        # with the load only
  daemonsKnown @16 :UInt32;           # including the sender, alive or not
  crashes @17 :List(Peer.CrashReport);
  clearances @18 :List(Peer.ClearanceReport);
  limits @19 :List(ServerLimit);      # with the load only
  cutOff @20 :Bool;                   # the sender reaches no backend server
  brittle @21 :List(BrittleService);
  unreached @22 :List(Text);          # services of which the sender reaches few
                                      # servers or none
  partCrashes @23 :List(Peer.PartCrash);
  partAnswers @24 :List(Peer.PartReport);       # latest answered requests
  partQuarantines @25 :List(Peer.PartReport);   # parts that crash servers
  recordsVersions @26 :Bool;          # the sender begins streams at recorded
                                      # software versions, if it can
  versionRecords @27 :UInt64;         # newest change in the version records
}

struct Group {
  # All pieces of one stage of one request, scheduled together.
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
  resultBytes @11 :Float64;           # estimated size of the result of one piece
  weight @12 :Float32;                # weight of the request within its route
  waitedMs @13 :UInt32;               # time since the group was first submitted
  stays @14 :Bool;                    # must not be moved to another pool
}

struct GroupOutcome {
  failure @0 :UInt16;                 # 0: done; otherwise 1 + failure kind
  results @1 :List(Text);
  moveTo @2 :Text;                    # data centre of a faster pool
  roomInMs @3 :UInt32;                # if late: until room is foreseen; 0: unknown
}

struct Row {
  key @0 :Text;
  value @1 :Data;
  version @2 :UInt64;
  deleted @3 :Bool;
  inflatedSize @4 :UInt32;            # of the value; 0: not compressed
}

struct StoreCopy {
  # Rows that a peer has read from the store and that are newer than the versions
  # in the request; only the oldest ones if all would not fit into one message.
  deployment @0 :List(Row);
  servers @1 :List(Row);
  serversVersion @2 :UInt64;          # the copy is complete up to this; 0: empty
  serversWhole @3 :Bool;              # whole list, for a daemon that has none
  serversListed @4 :List(UInt64);     # hashes of the keys of all rows; empty if
                                      # `servers` contains the deletions itself
  serversListedVersion @5 :UInt64;    # version at which serversListed was complete
  # The same for the table of the deployment.
  deploymentVersion @6 :UInt64;
  deploymentWhole @7 :Bool;
  deploymentListed @8 :List(UInt64);
  deploymentListedVersion @9 :UInt64;
  deploymentPartial @10 :Bool;        # more rows follow in the next copy
  serversPartial @11 :Bool;
  # All version records, which are few; empty if the receiver has the newest.
  versionRecords @12 :List(Row);
}

struct KnownDaemon {
  # Address of a daemon, for one that has just started.
  name @0 :Text;
  address @1 :Text;
  port @2 :UInt16;
  dataCentre @3 :Text;
  alive @4 :Bool;                     # the sender receives its heartbeats
  processorShare @5 :Float32;
}

struct HeaderField {
  name @0 :Text;
  value @1 :Text;
}

struct StreamOrigin {
  # The servers that began a stream.
  service @0 :Text;                   # empty: no origin
  softwareVersion @1 :Text;
}

struct BegunStream {
  # A stream whose caller may take it up again.
  id @0 :Text;                        # of the request that brought its first event
  origin @1 :StreamOrigin;
  remainingMs @2 :UInt32;             # time for which the caller may do so
}

struct OriginReport {
  # What a daemon can say about the origin of a stream.
  evidence @0 :UInt8;                 # 0: nothing, 1: one version only can have
                                      # begun it, 2: several can, 3: it is recorded
  origin @1 :StreamOrigin;            # valid for 1 and 3
  serving @2 :StreamOrigin;           # the only version that serves, confirmed by
                                      # the store after the question; may be empty
}

struct HandedRequest {
  # A caller's request that its daemon can't send to any backend server.
  method @0 :Text;
  target @1 :Text;
  fields @2 :List(HeaderField);
  body @3 :Data;
  ageMs @4 :UInt32;                   # since its first byte arrived
  attempts @5 :UInt32;                # servers that it has been sent to
  mayHaveRun @6 :Bool;                # at one of these
  resumeAfter @7 :Text;               # last event that the caller has, if any
  hops @8 :UInt32;                    # daemons that have handed it over
  deploymentVersion @9 :UInt64;       # that it has been admitted under
  origin @10 :StreamOrigin;           # of the stream that it goes on with, if known
}

interface AnswerReader {
  # Receives one answer: either `whole`, or `begin`, any number of `part`, `end`.
  # `leaving` is the server that the answer comes from, if it says in it that it
  # takes no new work; otherwise empty.
  whole @0 (status :UInt16, fields :List(HeaderField), body :Data,
            leaving :Peer.LeavingServer) -> ();
  begin @1 (status :UInt16, fields :List(HeaderField), origin :StreamOrigin,
            leaving :Peer.LeavingServer) -> ();
  part @2 (bytes :Data) -> ();
  end @3 (complete :Bool) -> ();      # false: the answer is truncated
}

interface Cluster {
  handOver @4 (request :HandedRequest, reader :AnswerReader) -> ();
  # Returns once the answer has been read; cancelled when the caller is gone.
  runGroup @0 (group :Group) -> (outcome :GroupOutcome);
  release @2 (service :Text, dataCentre :Text, results :List(Text)) -> ();
  knownDaemons @3 () -> (daemons :List(KnownDaemon));
  streamsBegun @5 (streams :List(BegunStream)) -> ();
  # Told to the daemons that keep the origins of the sender's streams.
  streamOrigin @6 (id :Text, service :Text, confirm :Bool) -> (report :OriginReport);
  # Asked by a daemon whose caller takes up a stream that it doesn't know.
  # `confirm`: the store is asked first whether there are newer rows.
  storeCopy @1 (deploymentVersion :UInt64, serversVersion :UInt64,
                versionRecords :UInt64) -> (copy :StoreCopy);
}
