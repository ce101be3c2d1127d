@0xb3f1c07d5e2a8846;
# Frames between mesh nodes. Fields are only ever added, never renumbered,
# so that nodes of two versions understand each other.

struct Field {
  name @0 :Text;
  value @1 :Text;
}

# A request for the server beside the receiver.
struct Offer {
  attemptId @0 :Text;
  method @1 :Text;
  target @2 :Text;
  fields @3 :List(Field);
  body @4 :Data;
  service @5 :Text;
  serverId @6 :Text;
  repeatable @7 :Bool;
  priority @8 :Int32;
  secondsLeft @9 :Float64;
  maxWait @10 :Float64;    # seconds in the queue; 0 forbids to queue
  callerService @11 :Text;
  callerZone @12 :Text;
  fingerprint @13 :UInt64; # recognizes the request in crash reports
  repeat @14 :Float64;     # 1 for a repeat, less if it may count as one
  twoPhase @15 :Bool;      # the receiver waits for a commit with the body
  objective @16 :Float64;  # seconds in which the answer is wanted
}

struct Load {
  running @0 :UInt32;
  waiting @1 :UInt32;
  slots @2 :UInt32;
}

struct Refusal {
  code @0 :Text;
  outcome @1 :Text;
  retryAfter @2 :Float64;  # seconds
  avoid @3 :Float64;       # seconds without requests from the sender
  load @4 :Load;
}

struct Answer {
  status @0 :UInt16;
  fields @1 :List(Field);
  body @2 :Data;
  load @3 :Load;
}

# What the fleet knows of one node and its server.
struct Member {
  node @0 :Text;
  host @1 :Text;
  port @2 :UInt16;
  zone @3 :Text;
  region @4 :Text;
  service @5 :Text;
  serverId @6 :Text;
  born @7 :Int64;          # Unix milliseconds of the server's start
  state @8 :Text;
  slots @9 :UInt32;
  incarnation @10 :Int64;  # of the node
  revision @11 :UInt32;    # counts changes of one incarnation
  serving @12 :Bool;       # whether the node takes requests
}

struct Crash {
  service @0 :Text;
  node @1 :Text;
  serverId @2 :Text;
  fingerprints @3 :List(UInt64);
}

# News to pass on: changed members, crashes, and the newest version.
struct Rumor {
  sender @0 :Text;         # host:port of the sender's relay address
  members @1 :List(Member);
  crashes @2 :List(Crash);
  version @3 :Int64;
}

# Compares what two nodes know; a mismatch is answered with a Knowledge.
struct Digest {
  sender @0 :Text;
  unused @1 :UInt64;       # was one hash over all members
  version @2 :Int64;
  buckets @3 :List(UInt64); # hash over the members of each bucket
}

struct Knowledge {
  members @0 :List(Member);
  configuration @1 :Data;  # empty if the receiver has this version
  buckets @2 :List(UInt16); # those that differ; their members are given
}

struct Frame {
  union {
    offer @0 :Offer;
    queued @1 :Load;
    granted @2 :Load;
    commit @3 :Data;       # the body
    refusal @4 :Refusal;
    answer @5 :Answer;
    rumor @6 :Rumor;
    digest @7 :Digest;
    knowledge @8 :Knowledge;
    same @9 :Void;
  }
}
