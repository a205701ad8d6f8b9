@0xd3b1f0a6c25e9f41;

# Messages between nodes. Field names are the camel-case forms of the fields of the
# classes in guavagap.messages and guavagap.stream_messages.

# Headers are one block: a line "name:value" for each, separated by a line feed.

struct BackendServer {
  serverId @0 :Text;
  service @1 :Text;
  version @2 :Text;
  pool @3 :Text;
  address @4 :Text;
  slots @5 :UInt16;
  connections @6 :UInt16;
  isDraining @7 :Bool;
  bornMs @8 :UInt64;
}

struct Member {
  nodeId @0 :Text;
  incarnation @1 :UInt64;
  state @2 :UInt8;
  region @3 :Text;
  failureDomain @4 :Text;
  linkAddress @5 :Text;
  meshAddress @6 :Text;
  adminAddress @7 :Text;
  isRelay @8 :Bool;
  backendServers @9 :List(BackendServer);
  isStoreLost @10 :Bool;
  capacity @11 :UInt8;
}

struct Notice { service @0 :Text; version @1 :Text; reason @2 :Text; }

struct CrashReport { fingerprint @0 :Data; ageMs @1 :UInt32; serverId @2 :Text; bornMs @3 :UInt64; isVoid @4 :Bool; }

struct Datagram {
  senderId @0 :Text;
  session @1 :UInt64;
  sequence @2 :UInt32;
  epoch @3 :UInt64;
  noticesDigest @4 :UInt64;
  members @5 :List(Member);
  crashReports @6 :List(CrashReport);
  kind @7 :UInt8;
  token @8 :UInt32;
  targetAddress @9 :Text;
  targetId @10 :Text;
  headDigest @11 :UInt64;
  membersDigest @12 :UInt64;
  crashReportsDigest @13 :UInt64;
}

struct Hello { nodeId @0 :Text; nonce @1 :Data; protocol @2 :UInt16; }
struct Proof { mac @0 :Data; }

struct OpenStream {
  streamId @0 :UInt64;
  serverId @1 :Text;
  method @2 :Data;
  target @3 :Data;
  headers @4 :Data;
  timeoutMs @5 :UInt32;
  body @6 :Data;
  isComplete @7 :Bool;
  isIdempotent @8 :Bool;
  priority @9 :UInt8;
  maxWaitMs @10 :UInt32;
  targetLatencyMs @11 :UInt32;
  isBodyHeld @12 :Bool;
  limitMillihertz @13 :UInt32;
  customerPriority @14 :UInt8;
  mayExceedPace @15 :Bool;
}
struct Condition {
  load @0 :UInt16;
  failurePermille @1 :UInt16;
  slownessPermille @2 :UInt16;
  isKnown @3 :Bool;
  limitMillihertz @4 :UInt32;
  isLeaving @5 :Bool;
  isCold @6 :Bool;
  runTimePercent @7 :UInt16;
}
struct StreamData { streamId @0 :UInt64; body @1 :Data; isComplete @2 :Bool; }
struct StreamCredit { streamId @0 :UInt64; creditBytes @1 :UInt32; }
struct StreamReset { streamId @0 :UInt64; kind @1 :Text; detail @2 :Text; isNotRun @3 :Bool; condition @4 :Condition; bornMs @5 :UInt64; }
struct StreamAnswer {
  streamId @0 :UInt64;
  status @1 :UInt16;
  headers @2 :Data;
  body @3 :Data;
  isComplete @4 :Bool;
  condition @5 :Condition;
  isChunked @6 :Bool;
  runMs @7 :UInt32;
}

struct PermitDemand { serverId @0 :Text; wanted @1 :UInt16; held @2 :UInt16; }
struct PermitRequest { callId @0 :UInt64; demands @1 :List(PermitDemand); }
struct PermitGrant { serverId @0 :Text; granted @1 :UInt16; ttlMs @2 :UInt32; }
struct PermitReply { callId @0 :UInt64; grants @1 :List(PermitGrant); }
struct PermitRevoke { serverId @0 :Text; }

struct DeltaRequest { callId @0 :UInt64; baseEpoch @1 :UInt64; }
struct DeltaReply { callId @0 :UInt64; isBusy @1 :Bool; compressed @2 :Data; rawBytes @3 :UInt32; redirectIds @4 :List(Text); }
struct DeltaPush { compressed @0 :Data; rawBytes @1 :UInt32; rootId @2 :Text; baseEpoch @3 :UInt64; epoch @4 :UInt64; }

struct MembersRequest { callId @0 :UInt64; own @1 :Member; bucketDigests @2 :List(UInt64); }
struct Departure { serverId @0 :Text; bornMs @1 :UInt64; }
struct MembersReply { callId @0 :UInt64; members @1 :List(Member); departures @2 :List(Departure); }

struct NoticesRequest { callId @0 :UInt64; notices @1 :List(Notice); }
struct NoticesReply { callId @0 :UInt64; notices @1 :List(Notice); }

struct CrashReportsRequest { callId @0 :UInt64; bucketDigests @1 :List(UInt64); }
struct CrashReportsReply { callId @0 :UInt64; crashReports @1 :List(CrashReport); }

struct EvidenceRow {
  service @0 :Text;
  version @1 :Text;
  route @2 :Text;
  serverId @3 :Text;
  requests @4 :UInt32;
  failures @5 :UInt32;
  latencyBuckets @6 :List(UInt32);
}
struct EvidenceReport { sourceId @0 :Text; rows @1 :List(EvidenceRow); isSummed @2 :Bool; }

struct KeyClaim { callId @0 :UInt64; key @1 :Data; digest @2 :Data; ownerId @3 :Text; isRelease @4 :Bool; }
struct KeyClaimReply { callId @0 :UInt64; isTaken @1 :Bool; ownerId @2 :Text; digest @3 :Data; isFull @4 :Bool; }
struct KeyLookup { callId @0 :UInt64; key @1 :Data; }
struct KeyLookupReply {
  callId @0 :UInt64;
  state @1 :UInt8;
  status @2 :UInt16;
  headers @3 :Data;
  body @4 :Data;
}

struct ConfigurationAgeRequest { callId @0 :UInt64; }
struct ConfigurationAgeReply { callId @0 :UInt64; isKnown @1 :Bool; ageMs @2 :UInt32; epoch @3 :UInt64; version @4 :UInt64; }

struct QuotaDemand { customer @0 :Text; tokens @1 :UInt32; }
struct QuotaRequest { callId @0 :UInt64; demands @1 :List(QuotaDemand); }
struct QuotaGrant { customer @0 :Text; tokens @1 :UInt32; ttlMs @2 :UInt32; retryAfterMs @3 :UInt32; }
struct QuotaReply { callId @0 :UInt64; grants @1 :List(QuotaGrant); }
struct QuotaLoanRequest { callId @0 :UInt64; customer @1 :Text; demandMillihertz @2 :UInt32; tokens @3 :UInt32; }
struct QuotaLoanReply { callId @0 :UInt64; rateMillihertz @1 :UInt32; ttlMs @2 :UInt32; tokens @3 :UInt32; }
struct LentShare { borrowerId @0 :Text; rateMillihertz @1 :UInt32; leftMs @2 :UInt32; }
struct HandedQuota { customer @0 :Text; milliTokens @1 :UInt32; demandMillihertz @2 :UInt32; lent @3 :List(LentShare); }
struct QuotaReleaseRequest { callId @0 :UInt64; incarnation @1 :UInt64; }
struct QuotaReleaseReply {
  callId @0 :UInt64;
  isReleased @1 :Bool;
  isActive @2 :Bool;
  ageMs @3 :UInt32;
  members @4 :List(Text);
  quotas @5 :List(HandedQuota);
}
struct QuotaHandover { callId @0 :UInt64; quotas @1 :List(HandedQuota); }
struct QuotaHandoverReply { callId @0 :UInt64; }

struct Frame {
  union {
    hello @0 :Hello;
    proof @1 :Proof;
    openStream @2 :OpenStream;
    streamData @3 :StreamData;
    streamCredit @4 :StreamCredit;
    streamReset @5 :StreamReset;
    streamAnswer @6 :StreamAnswer;
    permitRequest @7 :PermitRequest;
    permitReply @8 :PermitReply;
    permitRevoke @9 :PermitRevoke;
    deltaRequest @10 :DeltaRequest;
    deltaReply @11 :DeltaReply;
    deltaPush @12 :DeltaPush;
    membersRequest @13 :MembersRequest;
    membersReply @14 :MembersReply;
    noticesRequest @15 :NoticesRequest;
    noticesReply @16 :NoticesReply;
    evidenceReport @17 :EvidenceReport;
    keyClaim @18 :KeyClaim;
    keyClaimReply @19 :KeyClaimReply;
    keyLookup @20 :KeyLookup;
    keyLookupReply @21 :KeyLookupReply;
    configurationAgeRequest @22 :ConfigurationAgeRequest;
    configurationAgeReply @23 :ConfigurationAgeReply;
    quotaRequest @24 :QuotaRequest;
    quotaReply @25 :QuotaReply;
    quotaLoanRequest @26 :QuotaLoanRequest;
    quotaLoanReply @27 :QuotaLoanReply;
    crashReportsRequest @28 :CrashReportsRequest;
    crashReportsReply @29 :CrashReportsReply;
    quotaReleaseRequest @30 :QuotaReleaseRequest;
    quotaReleaseReply @31 :QuotaReleaseReply;
    quotaHandover @32 :QuotaHandover;
    quotaHandoverReply @33 :QuotaHandoverReply;
  }
}
