@0xb6c4a5f2d1e03971;
# What operators declare: profiles, services and pools. One document each.

using Cxx = import "/capnp/c++.capnp";
using Constraint = import "constraint.capnp";
$Cxx.namespace("gentianroute::schema");

enum Objective {
  attainment @0;  # the deadline goes before the price
  cost @1;        # the cheapest way that still meets the deadline
}

struct Stage {
  name @0 :Text $Constraint.required;
  pool @1 :Text $Constraint.required;
  streams @2 :Bool = false;           # model engine that answers token by token
  repeatable @3 :Bool = true;         # false: at most one call ever leaves the daemon
  deduplicatesByKey @4 :Bool = false; # the backend recognises the idempotency key itself
  firstByteTimeoutMs @5 :UInt32 = 1000 $Constraint.min(1) $Constraint.max(600000);
  maxAttempts @6 :UInt32 = 3 $Constraint.min(1) $Constraint.max(10);
  hedgeAfterMs @7 :UInt32 = 0 $Constraint.min(0) $Constraint.max(600000);        # 0: never hedged
  costPerCallMicros @8 :UInt32 = 0 $Constraint.min(0) $Constraint.max(1000000000);   # micro-euros for one call
  costPerUnitMicros @9 :UInt32 = 0 $Constraint.min(0) $Constraint.max(1000000000);   # micro-euros for one unit that the answer reports
  expectedMs @10 :UInt32 = 50 $Constraint.min(1) $Constraint.max(600000);        # usual duration, used before anything is measured
}

struct Profile {
  name @0 :Text $Constraint.required;
  objective @1 :Objective = attainment;
  deadlineMs @2 :UInt32 = 6000 $Constraint.min(1) $Constraint.max(600000);
  stages @3 :List(Stage) $Constraint.required;
  crossRegion @4 :Bool = true;        # may a stage run in another region
}

struct Service {
  name @0 :Text $Constraint.required;
  profile @1 :Text $Constraint.required;
}

struct EngineGroup {
  # Engines of a pool that run the same: those named, and any `count` others.
  model @0 :Text $Constraint.required;
  version @1 :Text;
  adapters @2 :List(Text);
  role @3 :Text;                      # as the engines call it, such as prefill
  count @4 :UInt32 = 0 $Constraint.min(0) $Constraint.max(100000);
  servers @5 :List(Text);
}

struct Pool {
  name @0 :Text $Constraint.required;
  kind @1 :Kind = service;
  fenced @2 :Bool = false;            # engines that refuse an old fencing number
  engines @3 :List(EngineGroup);      # what they should run; none: no orders are sent

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
