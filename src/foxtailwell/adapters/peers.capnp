@0xb5a1c1e7f0d3a921;

# Messages of the peer protocol between daemons. For compatibility, fields are only added, never
# changed or removed.

struct Frame {
  version @0 :UInt16;
  sequence @1 :UInt64;
  union {
    heartbeat @2 :Heartbeat;
    heartbeatReply @3 :HeartbeatReply;
    configuration @4 :Configuration;
    claimQuery @5 :ClaimQuery;
    claimAnswer @6 :ClaimAnswer;
  }
}

struct MinionLoad {
  minion @0 :Text;
  inFlight @1 :UInt16;
}

struct RequestLoss {
  digest @0 :Text;
  minion @1 :Text;
  weight @2 :UInt8;
  ageMs @3 :UInt32;
}

struct Load {
  queueLength @0 :UInt32;
  inFlight @1 :UInt32;
  minions @2 :List(MinionLoad);
}

struct Heartbeat {
  instance @0 :Text;
  role @1 :Text;
  zone @2 :Text;
  revision @3 :UInt64;
  load @4 :Load;
  losses @5 :List(RequestLoss);
}

struct HeartbeatReply {
  instance @0 :Text;
  revision @1 :UInt64;
  hasEvidence @2 :Bool;
  evidenceRevision @3 :UInt64;
  evidenceAgeMs @4 :UInt64;
  load @5 :Load;
}

struct Configuration {
  revision @0 :UInt64;
  document @1 :Data;
}

struct ClaimQuery {
  key @0 :Text;
  digest @1 :Text;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct ClaimAnswer {
  state @0 :Text;
  status @1 :UInt16;
  headers @2 :List(Header);
  body @3 :Data;
}
