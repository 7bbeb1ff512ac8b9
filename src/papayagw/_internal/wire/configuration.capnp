@0xd3f1a0c45e7b2916;
# A configuration, as the platform's service stores it and as peers exchange it.

struct Configuration {
  version @0 :UInt64;
  history @1 :List(Mark);
  name @2 :Text;
  controlAddress @3 :Endpoint;
  zones @4 :List(Text);
  services @5 :List(Service);
  keys @6 :List(Key);
}

struct Mark {
  version @0 :UInt64;
  submissionId @1 :Text;
  operator @2 :Text;
}

struct Endpoint {
  ip @0 :UInt32;
  port @1 :UInt16;
}

struct Service {
  name @0 :Text;
  serviceId @1 :UInt16;
  address @2 :Endpoint;
  idempotent @3 :Bool;
  maxFlows @4 :UInt32;
  idleTimeoutMs @5 :UInt32;
  probeIntervalMs @6 :UInt32;
  drainLimitMs @7 :UInt32;
  availability @8 :Float64;
  latencyMs @9 :UInt32;
  latencyShare @10 :Float64;
  imbalance @11 :Float64;
}

struct Key {
  keyId @0 :UInt8;
  secret @1 :Data;
}

# The difference between a version and a later one.
struct Change {
  base @0 :UInt64;
  baseSubmissionId @1 :Text;
  marks @2 :List(Mark);
  name @3 :Text;
  controlAddress @4 :Endpoint;
  zones @5 :List(Text);
  keys @6 :List(Key);
  services @7 :List(Service);
  removed @8 :List(UInt16);
}

# The query of a node to a peer, with the version that the node holds.
struct Question {
  version @0 :Int64;
  submissionId @1 :Text;
}

struct Answer {
  union {
    nothing @0 :Void;
    whole @1 :Configuration;
    change @2 :Change;
  }
}
