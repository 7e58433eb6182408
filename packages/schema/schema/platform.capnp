@0xe7a1c95d30b24f68;
# Rows that the daemons keep in the platform's table service, as JSON.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("gentianroute::schema");

enum DocumentKind {
  profile @0;
  service @1;
  pool @2;
}

struct DocumentChange {
  kind @0 :DocumentKind;
  name @1 :Text;
  body @2 :Text;                      # JSON of the document; empty: deleted
  baseRevision @3 :UInt64;            # revision the author saw; 0: did not exist
}

struct ConfigRevision {
  revision @0 :UInt64;
  changeId @1 :Text;                  # settles a lost answer
  author @2 :Text;
  unixMicros @3 :UInt64;
  changes @4 :List(DocumentChange);
}

struct ConfigDocument {
  kind @0 :DocumentKind;
  name @1 :Text;
  body @2 :Text;
  revision @3 :UInt64;                # that wrote it last
}

struct ConfigSnapshot {
  # In the object store, and from peer to peer.
  revision @0 :UInt64;
  documents @1 :List(ConfigDocument);
}

struct ClaimRow {
  organisation @0 :Text;
  key @1 :Text;
  bodyDigest @2 :Text;
  token @3 :Text;                     # attempt token of the claiming request
  daemon @4 :Text;
  incarnation @5 :UInt64;
  state @6 :State;
  status @7 :UInt16;
  answer @8 :Text;
  unixMicros @9 :UInt64;

  enum State {
    claimed @0;
    answered @1;
    notRun @2;                        # given back: the key may be claimed again
  }
}

struct LeaseRow {
  pool @0 :Text;
  holder @1 :Text;
  fencing @2 :UInt64;                 # grows with every holder
}
