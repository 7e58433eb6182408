@0xc3f1a2b4e5d60798;
# Annotations that the validation of settings and profiles reads.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("gentianroute::schema");

annotation min @0xa1d3c5e7f9b20461 (field) :Int64;
annotation max @0xb2e4d6f8a0c31572 (field) :Int64;
annotation required @0x93f5e7a9b1d42683 (field) :Void;
annotation hexDigest @0x84a6f8bac2e53794 (field) :Void; # 64 hex digits, lower case
annotation ipNumber @0xf5b7a9cbd3f648a5 (field) :Void;  # IPv4, dotted decimal
annotation about @0xd7c8e9f0a1b25369 (field) :Text;      # description in the reference
