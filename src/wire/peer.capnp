@0xb1a6f0f1d2c34e57;
# Messages between instances. Each one is sent as a Message in Cap'n Proto's
# stream framing over a TCP connection. Fields are only ever added.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("filberthub::wire::schema");

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Forward {
  number @0 :UInt64;
  service @1 :Text;
  server @2 :Text;
  group @3 :UInt32;
  keyed @4 :Bool;
  groupToken @5 :UInt32;
  remainingMs @6 :UInt32;
  priority @7 :UInt8;
  idempotent @8 :Bool;
  requestId @9 :Text;
  traceparent @10 :Text;
  method @11 :Text;
  target @12 :Text;
  headers @13 :List(Header);
  body @14 :Data;
  recorded @15 :Bool;
}

struct ServerLoad {
  inFlight @0 :UInt32;
  waiting @1 :UInt32;
  limit @2 :UInt32;
  latencyUs @3 :UInt32;
}

struct Answer {
  number @0 :UInt64;
  error @1 :UInt8;
  message @2 :Text;
  # 0 if there is no response and `error` applies.
  status @3 :UInt16;
  headers @4 :List(Header);
  body @5 :Data;
  load @6 :ServerLoad;
}

struct Member {
  instance @0 :Text;
  incarnation @1 :UInt64;
}

struct TableVersion {
  service @0 :Text;
  version @1 :UInt64;
}

struct Known {
  policy @0 :UInt64;
  fleet @1 :UInt64;
  ownership @2 :List(TableVersion);
  # Negative if the store never confirmed.
  storeAgeNs @3 :Int64 = -1;
}

struct Heartbeat {
  from @0 :Member;
  number @1 :UInt64;
  fleet @2 :UInt64;
  retired @3 :List(Text);
  known @4 :Known;
}

struct HeartbeatAck {
  from @0 :Member;
  to @1 :Member;
  number @2 :UInt64;
  fleet @3 :UInt64;
  known @4 :Known;
  evidenceFleet @5 :UInt64;
  evidence @6 :Data;
}

struct ExpiryQuery {
  from @0 :Member;
  member @1 :Member;
  round @2 :UInt64;
}

struct LeaseExpired {
  from @0 :Member;
  member @1 :Member;
  to @2 :Member;
  round @3 :UInt64;
  silenceNs @4 :Int64;
  fleet @5 :UInt64;
  retired @6 :List(Text);
}

struct Released {
  from @0 :Member;
  server @1 :Text;
  since @2 :UInt64;
  fleet @3 :UInt64;
}

struct MemberStatus {
  from @0 :Member;
  ready @1 :Bool;
  settled @2 :UInt64;
  departed @3 :Bool;
}

struct IntentRecord {
  # XXH3-128 of service and request id.
  keyHigh @0 :UInt64;
  keyLow @1 :UInt64;
  holder @2 :UInt64;
  run @3 :UInt64;
  state @4 :UInt8;
}

struct Intent {
  server @0 :Text;
  # 0 if no acknowledgement is wanted.
  number @1 :UInt64;
  record @2 :IntentRecord;
}

struct IntentAck {
  number @0 :UInt64;
  from @1 :Text;
  reply @2 :UInt8;
}

struct Collect {
  server @0 :Text;
  number @1 :UInt64;
  token @2 :UInt64;
}

struct Collected {
  server @0 :Text;
  number @1 :UInt64;
  from @2 :Text;
  complete @3 :Bool;
  formerHolder @4 :Bool;
  records @5 :List(IntentRecord);
}

struct Synchronize {
  server @0 :Text;
  token @1 :UInt64;
  receiver @2 :UInt64;
  records @3 :List(IntentRecord);
}

struct Pull {
  # Name of a store object whose newest known version is wanted.
  object @0 :Text;
  known @1 :UInt64;
}

struct News {
  object @0 :Text;
  version @1 :UInt64;
  value @2 :Data;
}

struct GroupReleased {
  # The former holder of `server` no longer serves the group.
  service @0 :Text;
  group @1 :UInt32;
  token @2 :UInt32;
  server @3 :Text;
}

struct Hello {
  # First message of a connection.
  instance @0 :Text;
  incarnation @1 :UInt64;
}

struct Message {
  union {
    hello @0 :Hello;
    forward @1 :Forward;
    answer @2 :Answer;
    cancel @3 :UInt64;
    heartbeat @4 :Heartbeat;
    heartbeatAck @5 :HeartbeatAck;
    expiryQuery @6 :ExpiryQuery;
    leaseExpired @7 :LeaseExpired;
    released @8 :Released;
    memberStatus @9 :MemberStatus;
    intent @10 :Intent;
    intentAck @11 :IntentAck;
    collect @12 :Collect;
    collected @13 :Collected;
    pull @14 :Pull;
    news @15 :News;
    groupReleased @16 :GroupReleased;
    synchronize @17 :Synchronize;
  }
}
