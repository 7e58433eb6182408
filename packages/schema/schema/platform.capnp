@0xe7a1c95d30b24f68;
# Rows that the daemons store in the platform's table service, as JSON.

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
  baseRevision @3 :UInt64;            # revision that the author edited; 0: new
}

struct ConfigRevision {
  revision @0 :UInt64;
  changeId @1 :Text;                  # tells a retry from a new change
  author @2 :Text;
  unixMicros @3 :UInt64;
  changes @4 :List(DocumentChange);
}

struct ConfigDocument {
  kind @0 :DocumentKind;
  name @1 :Text;
  body @2 :Text;
  revision @3 :UInt64;                # that last changed the document
}

struct ConfigSnapshot {
  # Stored in the object store and sent between peers.
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
    notRun @2;                        # released: the key may be claimed again
  }
}

struct LeaseRow {
  pool @0 :Text;
  holder @1 :Text;
  fencing @2 :UInt64;                 # fencing token; grows with every holder
}
