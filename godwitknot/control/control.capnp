@0xe8f3b5a1c2d49607;
# Control messages between nodes. Fields are only ever added, never
# renumbered, so that nodes of two versions understand each other.

struct Envelope {
  sender @0 :Text;
  incarnation @1 :UInt64;
  keyId @2 :Text;
  mac @3 :Data;      # HMAC-SHA256 of all other fields, 16 bytes
  body @4 :Data;     # a packed Body
  sequence @5 :UInt64;  # number of the datagram within this incarnation
  compressed @6 :Bool;  # the body is in zlib format
}

struct Address {
  host @0 :Text;
  port @1 :UInt16;
}

struct ServerRecord {
  name @0 :Text;
  service @1 :Text;
  slots @2 :UInt16;
  incarnation @3 :UInt64;
  state @4 :Text;
}

struct NodeRecord {
  nodeId @0 :Text;
  incarnation @1 :UInt64;
  version @2 :UInt64;
  region @3 :Text;
  failureDomain @4 :Text;
  ingress @5 :Address;
  peer @6 :Address;
  state @7 :Text;
  servers @8 :List(ServerRecord);
  heir @9 :Text;
}

# A record, a part of a record that exceeds a datagram, or a delta to one.
struct RecordChange {
  record @0 :NodeRecord;
  base @1 :UInt64;            # version that it applies to, 0: all servers
  part @2 :UInt16;            # from 0
  parts @3 :UInt16;
}

struct Heartbeat {
  sequence @0 :UInt64;
  lastHeard @1 :UInt64;       # highest sequence received from the receiver
  directoryHash @2 :UInt64;
  configVersion @3 :UInt64;
  receiver @4 :UInt32;        # hash of the id of the node that is watched
  reply @5 :Bool;             # replies to a heartbeat; gets no reply itself
}

struct Unreachable {
  watcher @0 :Text;
  nodeId @1 :Text;
  incarnation @2 :UInt64;
  version @3 :UInt64;
}

struct CrashReport {
  service @0 :Text;
  nodeId @1 :Text;
  server @2 :Text;
  incarnation @3 :UInt64;     # of the server that crashed
  fingerprints @4 :List(UInt64);
}

struct Clearance {
  service @0 :Text;
  fingerprint @1 :UInt64;
}

struct Rumors {
  records @0 :List(NodeRecord);
  unreachable @1 :List(Unreachable);
  crashes @2 :List(CrashReport);
  clearances @3 :List(Clearance);
  configVersion @4 :UInt64;
  changes @5 :List(RecordChange);
  news @6 :List(VersionEntry);  # records that the receiver may request
}

# Records sent by anti-entropy; the receiver does not spread them.
struct Records {
  changes @0 :List(RecordChange);
  unreachable @1 :List(Unreachable);
}

struct Digest {
  directoryHash @0 :UInt64;
  count @1 :UInt32;
  buckets @2 :List(UInt32);   # hash of each bucket of node ids, or none
}

struct VersionEntry {
  nodeId @0 :Text;
  incarnation @1 :UInt64;
  version @2 :UInt64;
  reports @3 :UInt32;         # hash of the watchers that report the node
}

struct Versions {
  entries @0 :List(VersionEntry);
  complete @1 :Bool;          # the receiver may send what is not listed
  buckets @2 :List(UInt16);   # buckets that the entries cover
}

struct RecordsRequest {
  nodeIds @0 :List(Text);
}

struct ServerSummary {
  service @0 :Text;
  nodeId @1 :Text;
  server @2 :Text;
  workClass @3 :Text;
  count @4 :UInt32;           # requests in the window
  median @5 :Float32;         # seconds
  spread @6 :Float32;         # seconds, median absolute deviation
  errorShare @7 :Float32;     # 0 to 1
  age @8 :Float32;            # seconds since the window ended
  slowShare @9 :Float32;      # share of times above 3 medians, 0 to 1
}

struct Summary {
  servers @0 :List(ServerSummary);
}

struct PromiseRequest {
  token @0 :UInt64;
  service @1 :Text;
  server @2 :Text;            # the server to be taken out of service
  target @3 :Text;            # the server to be kept in service
  drain @4 :Bool;             # a planned stop, not an ejection
}

struct PromiseAnswer {
  token @0 :UInt64;
  target @1 :Text;
  granted @2 :Bool;
  duration @3 :Float32;       # of the promise, seconds from receipt of request
}

struct ConfigQuery {
  token @0 :UInt64;
}

struct ConfigReply {
  token @0 :UInt64;
  version @1 :UInt64;
}

struct Body {
  union {
    heartbeat @0 :Heartbeat;
    rumors @1 :Rumors;
    digest @2 :Digest;
    versions @3 :Versions;
    recordsRequest @4 :RecordsRequest;
    summary @5 :Summary;
    promiseRequest @6 :PromiseRequest;
    promiseAnswer @7 :PromiseAnswer;
    configQuery @8 :ConfigQuery;
    configReply @9 :ConfigReply;
    records @10 :Records;
  }
}
