@0xb6c4a5f2d1e03971;
# What operators declare: profiles, services and pools. One document each.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("gentianroute::schema");

enum Objective {
  attainment @0;  # the deadline goes before the price
  cost @1;        # the cheapest way that still meets the deadline
}

struct Stage {
  name @0 :Text;
  pool @1 :Text;
  streams @2 :Bool = false;           # model engine that answers token by token
  repeatable @3 :Bool = true;         # false: at most one call ever leaves the daemon
  deduplicatesByKey @4 :Bool = false; # the backend recognises the idempotency key itself
  firstByteTimeoutMs @5 :UInt32 = 1000;
  maxAttempts @6 :UInt32 = 3;
  hedgeAfterMs @7 :UInt32 = 0;        # 0: never hedged
  costPerCallMicros @8 :UInt32 = 0;   # micro-euros for one call
  costPerUnitMicros @9 :UInt32 = 0;   # micro-euros for one unit that the answer reports
  expectedMs @10 :UInt32 = 50;        # usual duration, used before anything is measured
}

struct Profile {
  name @0 :Text;
  objective @1 :Objective = attainment;
  deadlineMs @2 :UInt32 = 6000;
  stages @3 :List(Stage);
  crossRegion @4 :Bool = true;        # may a stage run in another region
}

struct Service {
  name @0 :Text;
  profile @1 :Text;
}

struct Pool {
  name @0 :Text;
  kind @1 :Kind = service;
  fenced @2 :Bool = false;            # engines that refuse an old fencing number

  enum Kind {
    service @0;
    engine @1;
  }
}

struct Declarations {
  # The content of a profile file: any number of documents of each sort.
  pools @0 :List(Pool);
  profiles @1 :List(Profile);
  services @2 :List(Service);
}
