@0xb7c25d0e9a1f4463;

struct Position { term @0 :UInt64; offset @1 :UInt64; }
struct SessionValue { name @0 :Data; content @1 :Data; }

struct Work {
  statementId @0 :Data;
  text @1 :Data;
  action @2 :UInt8;
  argument @3 :Data;
  shape @4 :Data;
  shapeWrites @5 :Bool;
  workspace @6 :Text;
  service @7 :Text;
  server @8 :Text;
  values @9 :List(SessionValue);
  floor @10 :Position;
  stalenessMs @11 :Int32 = -1;
  pinId @12 :UInt64;
  opens @13 :UInt8;
  isPinned @14 :Bool;
  timeoutMs @15 :UInt32;
  priority @16 :UInt8;
  targetMs @17 :Int32 = -1;
}

struct ServerLoad {
  server @0 :Text;
  capacity @1 :Float32;
  running @2 :UInt32;
  waiting @3 :UInt32;
  serviceSeconds @4 :Float32;
  failureShare @5 :Float32;
  waits @6 :List(Float32);
}

struct Result {
  code @0 :Text;
  message @1 :Text;
  rows @2 :List(Data);
  proof @3 :Data;
  state @4 :UInt8;
  position @5 :Position;
  hasPosition @6 :Bool;
  retryAfterMs @7 :UInt32;
  isPinned @8 :Bool;
  wasSent @9 :Bool;
  queuedMs @10 :UInt32;
  ranMs @11 :UInt32;
  load @12 :ServerLoad;
  hasLoad @13 :Bool;
}

struct Claim { resource @0 :Text; host @1 :Text; boot @2 :UInt64; epoch @3 :UInt64; isReleased @4 :Bool; isSettled @5 :Bool; detail @6 :Text; revision @7 :UInt32; }
struct TableVersion { table @0 :Text; version @1 :UInt64; era @2 :UInt64; }
struct Row { key @0 :Text; content @1 :Data; version @2 :UInt64; isDeleted @3 :Bool; era @4 :UInt64; }
struct TableChanges { table @0 :Text; version @1 :UInt64; rows @2 :List(Row); isWhole @3 :Bool; keys @4 :List(Text); era @5 :UInt64; }
struct Demand { workspace @0 :Text; wanted @1 :UInt32; }
struct Lot { workspace @0 :Text; granted @1 :UInt32; retryAfterMs @2 :UInt32; waitMs @3 :UInt32; }
struct WorkspaceUsage { workspace @0 :Text; count @1 :UInt32; }
struct WindowUsage { host @0 :Text; boot @1 :UInt64; window @2 :UInt64; counts @3 :List(WorkspaceUsage); }

interface Host {
  execute @0 (work :Work) -> (result :Result);
  release @1 (pinId :UInt64) -> ();
  heartbeat @2 () -> ();
  acknowledged @3 (service :Text) -> (serving :Bool, epoch :UInt64, position :Position);
  confirm @4 (claims :List(Claim), voterEpoch :UInt64) -> (confirmed :Bool, newer :List(Claim), voterEpoch :UInt64);
  reaches @5 (host :Text) -> (reached :Bool);
  takeTokens @6 (demands :List(Demand), caller :Text) -> (serving :Bool, lots :List(Lot));
  changes @7 (known :List(TableVersion)) -> (ageMs :UInt64, tables :List(TableChanges), era :UInt64);
  laterConfiguration @8 (version :UInt64) -> (content :Data);
  takePooledTokens @9 (demands :List(Demand), caller :Text) -> (lots :List(Lot));
  reportUsage @10 (caller :Text, windows :List(WindowUsage), recordedUntil :UInt64, timeMs :UInt64) -> (serving :Bool, recordedUntil :UInt64, timeMs :UInt64);
}
