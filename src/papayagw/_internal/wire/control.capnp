@0xb3f1a7c25d9e4806;

# Endpoints are inlined as the fields ip and port: a pointer to a nested struct would
# take more bytes than the fields themselves.

struct Agent {
  ip @0 :UInt32;
  port @1 :UInt16;
  service @2 :UInt16;
  incarnation @3 :UInt64;
  sequence @4 :UInt32;
  zone @5 :UInt8;    # index into the zones of the message
  state @6 :UInt8;
  weight @7 :UInt8;
  suspicion @8 :UInt32;
}

struct Balancer {
  ip @0 :UInt32;
  port @1 :UInt16;
  zone @2 :UInt8;    # index into the zones of the message
  state @3 :UInt8;
  incarnation @4 :UInt64;
  sequence @5 :UInt32;
  suspicion @6 :UInt32;
}

struct Vector {
  indexDigest @0 :UInt32;
  number @1 :UInt8;
  zone @2 :UInt8;    # index into the zones of the message
  length @3 :UInt16;
  counters @4 :Data; # 2 per byte, low nibble first; 1 byte if over 2 and all equal
}

struct Heartbeat {
  ip @0 :UInt32;
  port @1 :UInt16;
  incarnation @2 :UInt64;
  sequence @3 :UInt32;
  beat @4 :UInt32;
  siblingsDigest @5 :UInt32;
}

struct Acknowledgement {
  incarnation @0 :UInt64;
  sequence @1 :UInt32;
  intervalMs @2 :UInt32;
  siblingsDigest @3 :UInt32;
  configurationVersion @4 :UInt32;
  state @5 :UInt8;
  watchers @6 :List(UInt64);
}

struct Gossip {
  kind @0 :UInt8;
  number @1 :UInt32;
  digest @2 :UInt32;
  configurationVersion @3 :UInt32;
}

struct Summary {
  number @0 :UInt8;
  fingerprints @1 :List(UInt32);
}

struct Node {
  ip @0 :UInt32;
  port @1 :UInt16;
  incarnation @2 :UInt64;
  beat @3 :UInt32;
  ageMs @4 :UInt32;
}

struct Control {
  union {
    announcement @0 :Void;
    heartbeat @1 :Heartbeat;
    acknowledgement @2 :Acknowledgement;
    join @3 :Void;
    gossip @4 :Gossip;
    digests @5 :List(UInt32);
    summary @6 :Summary;
    recordRequest @7 :List(UInt32);
    records @8 :Void;
    inquiry @9 :Node;
    voucher @10 :Node;
  }
  zones @11 :List(Text);
  agents @12 :List(Agent);
  balancers @13 :List(Balancer);
  vectors @14 :List(Vector);
  complete @15 :Bool;
}
