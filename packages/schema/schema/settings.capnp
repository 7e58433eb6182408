@0xd0b7e6a91c2f4385;
# Settings of one daemon, read from JSON with comments.

using Cxx = import "/capnp/c++.capnp";
using Constraint = import "constraint.capnp";
$Cxx.namespace("gentianroute::schema");

struct Settings {
  name @0 :Text
      $Constraint.required
      $Constraint.about("Name of this entry host, unique among all daemons.");
  dataCentre @1 :Text
      $Constraint.required
      $Constraint.about("Data centre that this entry host stands in.");
  region @2 :Text
      $Constraint.required
      $Constraint.about("Region of that data centre.");
  callers @3 :Listener
      $Constraint.required
      $Constraint.about("Where callers connect.");
  operators @4 :Listener
      $Constraint.required
      $Constraint.about("Where operators, the balancer's checks and metrics connect.");
  peers @5 :Listener
      $Constraint.required
      $Constraint.about("Where other daemons connect.");
  platform @6 :Platform
      $Constraint.required
      $Constraint.about("The platform's service.");
  organisations @7 :List(Organisation)
      $Constraint.about("Organisations that may call, with their keys.");
  limits @8 :Limits
      $Constraint.about("Bounds of what this daemon takes.");
  links @9 :List(Link)
      $Constraint.about("Paths to the other data centres.");
  seeds @10 :List(Seed)
      $Constraint.about("Entry hosts to ask while the platform is out.");
  slo @11 :ServiceLevel
      $Constraint.about("What the report measures against.");
}

struct Listener {
  address @0 :Text = "127.0.0.1"
      $Constraint.ipNumber
      $Constraint.about("IP number to listen on.");
  port @1 :UInt16
      $Constraint.required
      $Constraint.min(0)
      $Constraint.max(65535)
      $Constraint.about("TCP port; 0 takes a free one.");
  certificateFile @2 :Text
      $Constraint.about("PEM certificate chain; TLS is on when both files are named.");
  keyFile @3 :Text
      $Constraint.about("PEM private key.");
}

struct Platform {
  address @0 :Text = "127.0.0.1"
      $Constraint.ipNumber
      $Constraint.about("IP number of the platform's service.");
  port @1 :UInt16
      $Constraint.required
      $Constraint.min(0)
      $Constraint.max(65535)
      $Constraint.about("Its TCP port.");
  timeoutMs @2 :UInt32 = 1000
      $Constraint.min(10)
      $Constraint.max(60000)
      $Constraint.about("Longest wait for one answer, in milliseconds.");
  pollMs @3 :UInt32 = 1000
      $Constraint.min(50)
      $Constraint.max(60000)
      $Constraint.about("Time between reads of the host list and the configuration log, in milliseconds.");
}

struct Organisation {
  name @0 :Text
      $Constraint.required
      $Constraint.about("Name, as in reports.");
  weight @1 :UInt32 = 1
      $Constraint.min(1)
      $Constraint.max(1000000)
      $Constraint.about("Share under contention, relative to the other organisations.");
  keys @2 :List(ApiKey)
      $Constraint.about("Bearer keys of its subscribers.");
}

struct ApiKey {
  subscriber @0 :Text
      $Constraint.required
      $Constraint.about("Subscriber who holds the key.");
  sha256 @1 :Text
      $Constraint.required
      $Constraint.hexDigest
      $Constraint.about("Hex SHA-256 digest of the bearer key, never the key.");
}

struct Limits {
  maxBodyBytes @0 :UInt32 = 1048576
      $Constraint.min(1024)
      $Constraint.max(1073741824)
      $Constraint.about("Largest request body, in bytes.");
  maxConnections @1 :UInt32 = 4096
      $Constraint.min(1)
      $Constraint.max(1000000)
      $Constraint.about("Most connections of callers at a time.");
  maxQueued @2 :UInt32 = 2048
      $Constraint.min(1)
      $Constraint.max(1000000)
      $Constraint.about("Most requests that wait for a pool.");
  drainNoticeMs @3 :UInt32 = 500
      $Constraint.min(0)
      $Constraint.max(60000)
      $Constraint.about("Time in which a stopping daemon still accepts while the balancer notices, in milliseconds.");
  drainDeadlineMs @4 :UInt32 = 30000
      $Constraint.min(100)
      $Constraint.max(3600000)
      $Constraint.about("Longest planned stop, in milliseconds; the only thing that cuts a request off.");
}

struct Link {
  # Network path from this daemon's data centre to another one.
  dataCentre @0 :Text
      $Constraint.required
      $Constraint.about("The other data centre.");
  oneWayMicros @1 :UInt32
      $Constraint.required
      $Constraint.min(0)
      $Constraint.max(10000000)
      $Constraint.about("One-way latency to it, in microseconds.");
  microsPerMegabyte @2 :UInt32 = 0
      $Constraint.min(0) $Constraint.max(1000000000)
      $Constraint.about("Price of a megabyte over this path, in micro-euros.");
}

struct Seed {
  name @0 :Text
      $Constraint.required
      $Constraint.about("Name of the entry host.");
  dataCentre @1 :Text
      $Constraint.required
      $Constraint.about("Data centre that it stands in.");
  address @2 :Text = "127.0.0.1"
      $Constraint.ipNumber
      $Constraint.about("IP number of its peers' listener.");
  port @3 :UInt16
      $Constraint.required
      $Constraint.min(1)
      $Constraint.max(65535)
      $Constraint.about("TCP port of its peers' listener.");
}

struct ServiceLevel {
  attainmentTarget @0 :Float64 = 0.95
      $Constraint.about("Share of requests to be answered whole within their deadline.");
}
