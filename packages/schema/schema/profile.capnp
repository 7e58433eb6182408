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
      $Constraint.about("Name, unique within the profile; the key of the result and the label of the metrics.");
  pool @1 :Text
      $Constraint.required
      $Constraint.about("Pool of backend servers that runs the stage.");
  streams @2 :Bool = false
      $Constraint.about("Whether the stage is a model engine that streams its answer by token.");
  repeatable @3 :Bool = true
      $Constraint.about("Whether the stage may run more than once; false for work such as an order.");
  deduplicatesByKey @4 :Bool = false
      $Constraint.about("Whether the backend server deduplicates requests by idempotency key.");
  firstByteTimeoutMs @5 :UInt32 = 1000
      $Constraint.min(1)
      $Constraint.max(600000)
      $Constraint.about("Timeout for the first byte of the response, in milliseconds.");
  maxAttempts @6 :UInt32 = 3
      $Constraint.min(1)
      $Constraint.max(10)
      $Constraint.about("Maximum number of calls for one request; always 1 if repeatable is false, unless deduplicatesByKey is true.");
  hedgeAfterMs @7 :UInt32 = 0
      $Constraint.min(0)
      $Constraint.max(600000)
      $Constraint.about("Delay before a second, parallel call (hedge), in milliseconds; 0 disables hedging.");
  costPerCallMicros @8 :UInt32 = 0
      $Constraint.min(0)
      $Constraint.max(1000000000)
      $Constraint.about("Price of one call, in micro-euros.");
  costPerUnitMicros @9 :UInt32 = 0
      $Constraint.min(0)
      $Constraint.max(1000000000)
      $Constraint.about("Price of one unit reported by the response, in micro-euros.");
  expectedMs @10 :UInt32 = 50
      $Constraint.min(1)
      $Constraint.max(600000)
      $Constraint.about("Expected duration, in milliseconds, used until measurements are available.");
}

struct Profile {
  name @0 :Text
      $Constraint.required
      $Constraint.about("Name that services refer to.");
  objective @1 :Objective = attainment
      $Constraint.about("Primary objective: meeting the deadline (attainment) or cost.");
  deadlineMs @2 :UInt32 = 6000
      $Constraint.min(1)
      $Constraint.max(600000)
      $Constraint.about("Maximum time until the answer is complete, in milliseconds; a caller may request less.");
  stages @3 :List(Stage)
      $Constraint.required
      $Constraint.about("Stages, in execution order.");
  crossRegion @4 :Bool = true
      $Constraint.about("Whether stages may run in another region.");
}

struct Service {
  name @0 :Text
      $Constraint.required
      $Constraint.about("Name in the URL path of the service.");
  profile @1 :Text
      $Constraint.required
      $Constraint.about("Profile of the service.");
}

struct EngineGroup {
  # Engines of a pool that run the same model: the named servers and `count`
  # others.
  model @0 :Text
      $Constraint.required
      $Constraint.about("Model to load.");
  version @1 :Text
      $Constraint.about("Version of the model.");
  adapters @2 :List(Text)
      $Constraint.about("Adapters to load with the model.");
  role @3 :Text
      $Constraint.about("Role as named by the engine, such as prefill.");
  count @4 :UInt32 = 0
      $Constraint.min(0)
      $Constraint.max(100000)
      $Constraint.about("Number of engines of the pool in the group, in addition to those listed in servers.");
  servers @5 :List(Text)
      $Constraint.about("Names of engines that belong to the group.");
}

struct Pool {
  name @0 :Text
      $Constraint.required
      $Constraint.about("Name as in the platform's host list.");
  kind @1 :Kind = service
      $Constraint.about("Kind of backend server: a plain service, or a model engine that accepts orders.");
  fenced @2 :Bool = false
      $Constraint.about("Whether the engines reject orders with an outdated fencing number.");
  engines @3 :List(EngineGroup)
      $Constraint.about("Models that the engines should run; if empty, no orders are sent.");

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
