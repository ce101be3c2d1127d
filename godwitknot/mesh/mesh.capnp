@0xb3f1c07d5e2a8846;
# Frames between mesh nodes. Fields may be added but never renumbered, so that
# nodes of two versions can communicate.

struct Field {
  name @0 :Text;
  value @1 :Text;
}

# A request for the receiver's local server.
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
  secondsLeft @9 :Float64; # time until the caller's deadline
  maxWait @10 :Float64;    # seconds in the queue; 0 forbids queueing
  callerService @11 :Text;
  callerZone @12 :Text;
  fingerprint @13 :UInt64; # identifies the request in crash reports
  repeat @14 :Float64;     # 1 for a retry, else the probability of being one
  twoPhase @15 :Bool;      # the receiver waits for a commit with the body
  objective @16 :Float64;  # target latency in seconds
  lastResort @17 :Bool;    # the sender has found no other server
  headFollows @18 :Bool;   # method, target and fields come with the commit
  account @19 :Text;       # name of the caller's client account, may be empty
  maxDoubt @20 :Float64;   # refuse if a hang is more probable; 0: by default
  returning @21 :Bool;     # returns at the time that a refusal told
  bodyMebibytes @22 :UInt16; # size of a body that follows the commit in parts,
                           # rounded up; its bytes come with the commit
  bodyUnstated @23 :Bool;  # the size is the most that the body may have; an
                           # empty part ends it
  accountVersion @24 :Int64; # of the configuration under which the key of the
                           # account was checked, 0 if unknown
}

struct Request {
  method @0 :Text;
  target @1 :Text;
  fields @2 :List(Field);
  body @3 :Data;
}

struct Load {
  running @0 :UInt32;
  waiting @1 :UInt32;
  slots @2 :UInt32;
  doubt @3 :Float64;       # probability that the server hangs
}

struct Refusal {
  code @0 :Text;
  outcome @1 :Text;
  retryAfter @2 :Float64;  # seconds
  avoid @3 :Float64;       # seconds for which to avoid the server
  load @4 :Load;
  neededVersion @5 :Int64; # configuration that the sender needs, 0 for none
}

struct Answer {
  status @0 :UInt16;
  fields @1 :List(Field);
  body @2 :Data;
  load @3 :Load;
}

# Record of a node and its server.
struct Member {
  node @0 :Text;
  host @1 :Text;
  port @2 :UInt16;
  zone @3 :Text;
  region @4 :Text;
  service @5 :Text;
  serverId @6 :Text;
  born @7 :Int64;          # start of the server in Unix milliseconds
  state @8 :Text;
  slots @9 :UInt32;
  incarnation @10 :Int64;  # of the node
  revision @11 :UInt32;    # number of changes within the incarnation
  serving @12 :Bool;       # whether the node accepts requests
  protocol @13 :UInt16;    # features of the protocol that the node has
}

struct Crash {
  service @0 :Text;
  node @1 :Text;
  serverId @2 :Text;
  fingerprints @3 :List(UInt64);
}

# Changed members and crashes to forward.
struct Rumor {
  sender @0 :Text;         # host:port of the sender's relay address
  members @1 :List(Member);
  crashes @2 :List(Crash);
  version @3 :Int64;       # of the sender's configuration
}

# Compares the state of two nodes; the reply to a mismatch is a Knowledge.
struct Digest {
  sender @0 :Text;
  unused @1 :UInt64;       # formerly one hash over all members
  version @2 :Int64;       # of the sender's configuration
  buckets @3 :List(UInt64); # hash over the members of each bucket
  omitConfiguration @4 :Bool; # the reply is to carry its version only
  acceptCompressed @5 :Bool; # the reply may carry a compressed configuration
  askStoreAge @6 :Bool;    # the reply is a Knowledge with storeAge
}

struct Knowledge {
  members @0 :List(Member);
  configuration @1 :Data;  # empty unless newer than that of the digest, and
                           # if the digest omits it
  buckets @2 :List(UInt16); # buckets that differ; members lists their records
  version @3 :Int64;       # of the sender's configuration
  compressed @4 :Bool;     # whether configuration is in the zlib format
  storeAge @5 :UInt32;     # 1 + milliseconds since the sender or a node that it
                           # heard reached the store; 0 if it does not tell
}

# Asks the quota home of an account for tokens. Without an account, it asks
# whether the receiver is in touch, or what it knows of the subject.
struct QuotaRequest {
  sender @0 :Text;         # host:port of the sender's relay address
  account @1 :Text;
  wanted @2 :UInt32;       # number of tokens
  subject @3 :Text;        # host:port of a node that the sender has lost
  expected @5 :UInt32;     # tokens beyond those wanted that the sender expects
                           # to use in the next seconds
  confirmed @4 :Bool;      # whether witnesses have lost the subject too
}

struct QuotaGrant {
  verdict @0 :QuotaVerdict;
  count @1 :UInt32;        # all tokens
  ready @2 :UInt32;        # number of those that may be spent at once
  delay @3 :Float32;       # seconds until the first of the others
  interval @4 :Float32;    # seconds between the others
  retryAfter @5 :Float32;  # seconds until the sender may ask again
  pace @6 :Float32;        # seconds between two refused requests
  version @7 :Int64;       # of the configuration with the limit
  seconds @8 :Float32;     # for which tokens are valid; 0 for the usual time
}

enum QuotaVerdict {
  granted @0;
  notHome @1;
  reachable @2;
  lost @3;
  unknown @4;
}

struct Frame {
  union {
    offer @0 :Offer;
    queued @1 :Load;
    granted @2 :Load;
    commit @3 :Data;       # the request body
    refusal @4 :Refusal;
    answer @5 :Answer;
    rumor @6 :Rumor;
    digest @7 :Digest;
    knowledge @8 :Knowledge;
    same @9 :Void;
    request @10 :Request;  # a commit with the head of the request
    quotaRequest @11 :QuotaRequest;
    quotaGrant @12 :QuotaGrant;
    bodyPart @13 :Data;     # next part of a body that follows its commit
  }
}
