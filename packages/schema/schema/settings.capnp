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
      $Constraint.about("Data centre of this entry host.");
  region @2 :Text
      $Constraint.required
      $Constraint.about("Region of the data centre.");
  callers @3 :Listener
      $Constraint.required
      $Constraint.about("Listener for callers.");
  operators @4 :Listener
      $Constraint.required
      $Constraint.about("Listener for operators, load balancer health checks and metrics.");
  peers @5 :Listener
      $Constraint.required
      $Constraint.about("Listener for other daemons.");
  platform @6 :Platform
      $Constraint.required
      $Constraint.about("Service of the platform.");
  organisations @7 :List(Organisation)
      $Constraint.about("Organisations allowed to call, with their API keys.");
  limits @8 :Limits
      $Constraint.about("Limits of this daemon.");
  links @9 :List(Link)
      $Constraint.about("Network links to the other data centres.");
  seeds @10 :List(Seed)
      $Constraint.about("Entry hosts to contact while the platform is unavailable.");
  slo @11 :ServiceLevel
      $Constraint.about("Service level objective used by the report.");
}

struct Listener {
  address @0 :Text = "127.0.0.1"
      $Constraint.ipNumber
      $Constraint.about("IPv4 address to listen on.");
  port @1 :UInt16
      $Constraint.required
      $Constraint.min(0)
      $Constraint.max(65535)
      $Constraint.about("TCP port; 0 selects a free port.");
  certificateFile @2 :Text
      $Constraint.about("PEM certificate chain file; TLS is enabled when both files are set.");
  keyFile @3 :Text
      $Constraint.about("PEM private key file.");
}

struct Platform {
  address @0 :Text = "127.0.0.1"
      $Constraint.ipNumber
      $Constraint.about("IPv4 address of the platform's service.");
  port @1 :UInt16
      $Constraint.required
      $Constraint.min(0)
      $Constraint.max(65535)
      $Constraint.about("TCP port of the platform's service.");
  timeoutMs @2 :UInt32 = 1000
      $Constraint.min(10)
      $Constraint.max(60000)
      $Constraint.about("Timeout for one response, in milliseconds.");
  pollMs @3 :UInt32 = 1000
      $Constraint.min(50)
      $Constraint.max(60000)
      $Constraint.about("Interval between reads of the host list and the configuration log, in milliseconds.");
}

struct Organisation {
  name @0 :Text
      $Constraint.required
      $Constraint.about("Name shown in reports.");
  weight @1 :UInt32 = 1
      $Constraint.min(1)
      $Constraint.max(1000000)
      $Constraint.about("Relative share of capacity under contention.");
  keys @2 :List(ApiKey)
      $Constraint.about("API keys (bearer tokens) of its subscribers.");
}

struct ApiKey {
  subscriber @0 :Text
      $Constraint.required
      $Constraint.about("Subscriber that owns the key.");
  sha256 @1 :Text
      $Constraint.required
      $Constraint.hexDigest
      $Constraint.about("SHA-256 digest of the key in hexadecimal, not the key itself.");
}

struct Limits {
  maxBodyBytes @0 :UInt32 = 1048576
      $Constraint.min(1024)
      $Constraint.max(1073741824)
      $Constraint.about("Maximum size of a request body, in bytes.");
  maxConnections @1 :UInt32 = 4096
      $Constraint.min(1)
      $Constraint.max(1000000)
      $Constraint.about("Maximum number of concurrent caller connections.");
  maxQueued @2 :UInt32 = 2048
      $Constraint.min(1)
      $Constraint.max(1000000)
      $Constraint.about("Maximum number of requests queued for a pool.");
  drainNoticeMs @3 :UInt32 = 500
      $Constraint.min(0)
      $Constraint.max(60000)
      $Constraint.about("Time for which a stopping daemon still accepts requests, so that the load balancer can notice, in milliseconds.");
  drainDeadlineMs @4 :UInt32 = 30000
      $Constraint.min(100)
      $Constraint.max(3600000)
      $Constraint.about("Maximum duration of a planned stop, in milliseconds; only its expiry aborts running requests.");
}

struct Link {
  # Network path from this daemon's data centre to another one.
  dataCentre @0 :Text
      $Constraint.required
      $Constraint.about("Name of the other data centre.");
  oneWayMicros @1 :UInt32
      $Constraint.required
      $Constraint.min(0)
      $Constraint.max(10000000)
      $Constraint.about("One-way latency of the link, in microseconds.");
  microsPerMegabyte @2 :UInt32 = 0
      $Constraint.min(0) $Constraint.max(1000000000)
      $Constraint.about("Price of one megabyte sent over the link, in micro-euros.");
}

struct Seed {
  name @0 :Text
      $Constraint.required
      $Constraint.about("Name of the entry host.");
  dataCentre @1 :Text
      $Constraint.required
      $Constraint.about("Data centre of the entry host.");
  address @2 :Text = "127.0.0.1"
      $Constraint.ipNumber
      $Constraint.about("IPv4 address of its listener for other daemons.");
  port @3 :UInt16
      $Constraint.required
      $Constraint.min(1)
      $Constraint.max(65535)
      $Constraint.about("TCP port of its listener for other daemons.");
}

struct ServiceLevel {
  attainmentTarget @0 :Float64 = 0.95
      $Constraint.about("Target share of requests answered in full within their deadline.");
}
