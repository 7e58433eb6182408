@0xd0b7e6a91c2f4385;
# The settings of one daemon, read from JSON with comments.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("gentianroute::schema");

struct Settings {
  name @0 :Text;                      # this entry host
  dataCentre @1 :Text;
  region @2 :Text;
  callers @3 :Listener;
  operators @4 :Listener;
  peers @5 :Listener;
  platform @6 :Platform;
  organisations @7 :List(Organisation);
  limits @8 :Limits;
  links @9 :List(Link);
  seeds @10 :List(Seed);              # entry hosts to ask while the platform is out
  slo @11 :ServiceLevel;
}

struct Listener {
  address @0 :Text = "127.0.0.1";
  port @1 :UInt16;
  certificateFile @2 :Text;           # TLS is on when both files are named
  keyFile @3 :Text;
}

struct Platform {
  address @0 :Text = "127.0.0.1";
  port @1 :UInt16;
  timeoutMs @2 :UInt32 = 1000;
  pollMs @3 :UInt32 = 1000;           # host list and configuration log
}

struct Organisation {
  name @0 :Text;
  weight @1 :UInt32 = 1;              # share under contention
  keys @2 :List(ApiKey);
}

struct ApiKey {
  subscriber @0 :Text;
  sha256 @1 :Text;                    # hex digest of the bearer key, never the key
}

struct Limits {
  maxBodyBytes @0 :UInt32 = 1048576;
  maxConnections @1 :UInt32 = 4096;
  maxQueued @2 :UInt32 = 2048;
  drainNoticeMs @3 :UInt32 = 500;     # still accepting while the balancer notices
  drainDeadlineMs @4 :UInt32 = 30000; # the only thing that cuts a request off
}

struct Link {
  # The path from this daemon's data centre to another.
  dataCentre @0 :Text;
  oneWayMicros @1 :UInt32;
  microsPerMegabyte @2 :UInt32 = 0;   # price in micro-euros
}

struct Seed {
  name @0 :Text;
  dataCentre @1 :Text;
  address @2 :Text = "127.0.0.1";
  port @3 :UInt16;
}

struct ServiceLevel {
  attainmentTarget @0 :Float64 = 0.95; # share of requests answered whole in time
}
