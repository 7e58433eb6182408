@0xb6c4a5f2d1e03971;
# Declarations of operators: profiles, services and pools, one document each.

using Cxx = import "/capnp/c++.capnp";
using Constraint = import "constraint.capnp";
$Cxx.namespace("gentianroute::schema");

enum Objective {
  attainment @0;  # meeting the deadline comes before cost
  cost @1;        # the cheapest choice that still meets the deadline
}

struct Stage {
  name @0 :Text
      $Constraint.required
      $Constraint.about("Name, unique in its profile; the key of its result and the label of its metrics.");
  pool @1 :Text
      $Constraint.required
      $Constraint.about("Pool of backend servers that runs it.");
  streams @2 :Bool = false
      $Constraint.about("Whether it is a model engine that answers token by token.");
  repeatable @3 :Bool = true
      $Constraint.about("False for work that must run at most once, such as an order.");
  deduplicatesByKey @4 :Bool = false
      $Constraint.about("Whether the backend server recognises the idempotency key itself.");
  firstByteTimeoutMs @5 :UInt32 = 1000
      $Constraint.min(1)
      $Constraint.max(600000)
      $Constraint.about("Longest silence before the first byte, in milliseconds.");
  maxAttempts @6 :UInt32 = 3
      $Constraint.min(1)
      $Constraint.max(10)
      $Constraint.about("Most calls for one request; a stage that may not repeat has one, unless deduplicatesByKey.");
  hedgeAfterMs @7 :UInt32 = 0
      $Constraint.min(0)
      $Constraint.max(600000)
      $Constraint.about("Time after which a second call starts beside the first, in milliseconds; 0 for never.");
  costPerCallMicros @8 :UInt32 = 0
      $Constraint.min(0)
      $Constraint.max(1000000000)
      $Constraint.about("Price of one call, in micro-euros.");
  costPerUnitMicros @9 :UInt32 = 0
      $Constraint.min(0)
      $Constraint.max(1000000000)
      $Constraint.about("Price of one unit that the answer reports, in micro-euros.");
  expectedMs @10 :UInt32 = 50
      $Constraint.min(1)
      $Constraint.max(600000)
      $Constraint.about("Usual duration, in milliseconds, used before anything is measured.");
}

struct Profile {
  name @0 :Text
      $Constraint.required
      $Constraint.about("Name that services pick it by.");
  objective @1 :Objective = attainment
      $Constraint.about("What goes first: attainment of the deadline, or cost.");
  deadlineMs @2 :UInt32 = 6000
      $Constraint.min(1)
      $Constraint.max(600000)
      $Constraint.about("Longest time to a whole answer, in milliseconds; a caller may ask for less.");
  stages @3 :List(Stage)
      $Constraint.required
      $Constraint.about("Stages in the order in which they run.");
  crossRegion @4 :Bool = true
      $Constraint.about("Whether a stage may run in another region.");
}

struct Service {
  name @0 :Text
      $Constraint.required
      $Constraint.about("Name in the path that callers post to.");
  profile @1 :Text
      $Constraint.required
      $Constraint.about("Profile that it runs under.");
}

struct EngineGroup {
  # Engines of a pool that run the same model: the named servers and `count`
  # others.
  model @0 :Text
      $Constraint.required
      $Constraint.about("Model that they load.");
  version @1 :Text
      $Constraint.about("Version of the model.");
  adapters @2 :List(Text)
      $Constraint.about("Adapters that they load beside it.");
  role @3 :Text
      $Constraint.about("Role, as the engines call it, such as prefill.");
  count @4 :UInt32 = 0
      $Constraint.min(0)
      $Constraint.max(100000)
      $Constraint.about("How many engines of the pool, beside those that are named.");
  servers @5 :List(Text)
      $Constraint.about("Engines that are in the group by name.");
}

struct Pool {
  name @0 :Text
      $Constraint.required
      $Constraint.about("Name, as in the platform's host list.");
  kind @1 :Kind = service
      $Constraint.about("Plain services, or model engines that take orders.");
  fenced @2 :Bool = false
      $Constraint.about("Whether its engines refuse an order with an old fencing number.");
  engines @3 :List(EngineGroup)
      $Constraint.about("What its engines should run; none: no orders are sent.");

  enum Kind {
    service @0;
    engine @1;
  }
}

struct Declarations {
  # Content of a profile file: any number of documents of each kind.
  pools @0 :List(Pool)
      $Constraint.about("Pools of backend servers.");
  profiles @1 :List(Profile)
      $Constraint.about("Profiles.");
  services @2 :List(Service)
      $Constraint.about("Services.");
}
