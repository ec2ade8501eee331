@0xd2b1f0c4a9e37d51;
# Messages between nodes. Fields may be added but not renumbered or removed, so that nodes
# of different versions can read each other's messages.

struct SlotAsk { askId @0 :UInt32; runner @1 :UInt64; seenMean @2 :Float32;
  waitMs @3 :UInt16; team @4 :UInt64; priority @5 :UInt8; loadFactor @6 :Float32;
  objectiveMs @7 :UInt16; promptKey @8 :UInt64; sharedTokens @9 :UInt32;
  ownTokens @10 :UInt32; outputTokens @11 :UInt32;
  rejections @12 :UInt16; isResumption @13 :Bool; }
struct SlotReply { askId @0 :UInt32; granted @1 :Bool; inUse @2 :UInt16;
  isHeld @3 :Bool; reason @4 :UInt8; prefillTokens @5 :UInt32; validMs @6 :UInt32; }
struct SlotRelease { askId @0 :UInt32; runner @1 :UInt64; isAnswered @2 :Bool;
  timePercent @3 :UInt16; isRejected @4 :Bool; isUnused @5 :Bool; }
struct SlotRenewal { runner @0 :UInt64; askIds @1 :List(UInt32);
  tokenCounts @2 :List(UInt32); }

struct PoolLoad { pool @0 :UInt64; load @1 :Float32; runners @2 :Float32; }
struct RumourNote { nodeId @0 :Text; incarnation @1 :UInt32; state @2 :UInt8; }
struct CrashNote { digest @0 :Data; clears @1 :UInt32; crashes @2 :UInt32;
  runners @3 :List(Text); ageMs @4 :UInt32; companions @5 :List(Data);
  companionRunners @6 :List(UInt8); teams @7 :List(UInt64);
  runnerAgesMs @8 :List(UInt32); wasAnswered @9 :Bool; }
struct CrashReport { digest @0 :Data; runner @1 :Text; sentAgeMs @2 :UInt32;
  endedAgeMs @3 :UInt32; parts @4 :List(Data); team @5 :UInt64;
  answeredAgesMs @6 :List(UInt32); }
struct TrialAsk { askId @0 :UInt32; digest @1 :Data; }
struct TrialReply { askId @0 :UInt32; isGranted @1 :Bool; waitMs @2 :UInt32; }
struct CrashNews { crashes @0 :List(CrashNote); }
struct Gossip {
  sequence @0 :UInt32;
  isReply @1 :Bool;
  settingsVersion @2 :UInt64;
  loads @3 :List(PoolLoad);
  rumours @4 :List(RumourNote);
  runnersVersion @5 :UInt64;
  stateAgeMs @6 :UInt16;
  runnersAgeMs @7 :UInt16;
  crashes @8 :List(CrashNote);
  evacuationsVersion @9 :UInt64;
  evacuationsAgeMs @10 :UInt16;
  unreachablePools @11 :List(UInt64);
}

struct RunnerNote {
  runnerId @0 :Text;
  address @1 :Text;
  port @2 :UInt16;
  availabilityZone @3 :Text;
  region @4 :Text;
  isEngine @5 :Bool;
  pool @6 :Text;
  slots @7 :UInt16;
  isLeaving @8 :Bool;
  revision @9 :UInt64;
  bornMs @10 :UInt64;
  coldMs @11 :UInt32;
  version @12 :Text;
}
struct RemovalNote {
  runnerId @0 :Text;
  revision @1 :UInt64;
  isLapsed @2 :Bool;  # no longer sent; replaced by waitMs
  waitMs @3 :UInt16;
  bornMs @4 :UInt64;
  isRefused @5 :Bool;
}
struct StoreNews {
  stateVersion @0 :UInt64;
  stateAgeMs @1 :UInt16;
  runnersBase @2 :UInt64;
  runnersVersion @3 :UInt64;
  runnersAgeMs @4 :UInt16;
  runners @5 :List(RunnerNote);
  removals @6 :List(RemovalNote);
  evacuationsVersion @7 :UInt64;
  evacuationsAgeMs @8 :UInt16;
}

struct ClaimRequest {
  askId @0 :UInt32;
  shard @1 :UInt16;
  key @2 :Text;
  holder @3 :Text;
  requestDigest @4 :Text;
}
struct ClaimReply {
  askId @0 :UInt32;
  verdict @1 :UInt8;
  hasAnswer @2 :Bool;
  status @3 :UInt16;
  contentType @4 :Text;
  body @5 :Data;
}
struct ClaimResult {
  shard @0 :UInt16;
  key @1 :Text;
  holder @2 :Text;
  ran @3 :Bool;
  hasAnswer @4 :Bool;
  status @5 :UInt16;
  contentType @6 :Text;
  body @7 :Data;
}

struct ShareAsk { askId @0 :UInt32; team @1 :Text; tokens @2 :UInt16; }
struct ShareReply { askId @0 :UInt32; tokens @1 :Float32; waitMs @2 :UInt32; }

struct RunnerSpeed { runner @0 :UInt64; running @1 :UInt16; waiting @2 :UInt16;
  slots @3 :UInt16; slowdownPercent @4 :UInt16; ageMs @5 :UInt32; }
struct RunnerFault { runner @0 :UInt64; isUnreachable @1 :Bool; }
struct RunnerEnd { runner @0 :UInt64; isRelayed @1 :Bool; }
struct RunnerBack { runner @0 :UInt64; }
struct ReachAsk { askId @0 :UInt32; runner @1 :UInt64; }
struct ReachReply { askId @0 :UInt32; verdict @1 :UInt8; }
struct StreamNote { key @0 :UInt64; pool @1 :UInt64; version @2 :Text;
  isAmbiguous @3 :Bool; ttlMs @4 :UInt32; }
struct StreamNews { notes @0 :List(StreamNote); }
struct StreamAsk { askId @0 :UInt32; key @1 :UInt64; pool @2 :UInt64; mustConfirm @3 :Bool; }
struct StreamReply { askId @0 :UInt32; notes @1 :List(StreamNote); versions @2 :List(Text);
  observedMs @3 :UInt32; runnersVersion @4 :UInt64; observedFromVersion @5 :UInt64;
  isConfirmed @6 :Bool; }
struct NodeHello {
  isReply @0 :Bool;
  nodeId @1 :Text;
  address @2 :Text;
  callerPort @3 :UInt16;
  peerPort @4 :UInt16;
  availabilityZone @5 :Text;
  region @6 :Text;
  callsPerS @7 :UInt16;
}

struct Envelope {
  incarnation @0 :UInt32;
  union {
    slotAsk @1 :SlotAsk;
    slotReply @2 :SlotReply;
    slotRelease @3 :SlotRelease;
    slotRenewal @4 :SlotRenewal;
    gossip @5 :Gossip;
    claimRequest @6 :ClaimRequest;
    claimReply @7 :ClaimReply;
    claimResult @8 :ClaimResult;
    shareAsk @9 :ShareAsk;
    shareReply @10 :ShareReply;
    nodeHello @11 :NodeHello;
    runnerFault @12 :RunnerFault;
    storeNews @13 :StoreNews;
    crashReport @14 :CrashReport;
    crashNews @15 :CrashNews;
    runnerSpeed @16 :RunnerSpeed;
    reachAsk @17 :ReachAsk;
    reachReply @18 :ReachReply;
    streamNews @19 :StreamNews;
    streamAsk @20 :StreamAsk;
    streamReply @21 :StreamReply;
    trialAsk @22 :TrialAsk;
    trialReply @23 :TrialReply;
    runnerEnd @24 :RunnerEnd;
    runnerBack @25 :RunnerBack;
  }
}
