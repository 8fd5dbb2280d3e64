@0xd3a1f6b8c2e94571;

enum StatementKind { read @0; write @1; begin @2; commit @3; rollback @4; session @5; }
enum Outcome { done @0; failed @1; notRun @2; unknown @3; }

struct Position { term @0 :UInt64; index @1 :UInt64; }

struct StatementRequest {
  requestId @0 :UInt64;
  workspace @1 :Text;
  database @2 :Text;
  sql @3 :Data;
  kind @4 :StatementKind;
  sessionId @5 :Text;
  floor @6 :Position;
  pinId @7 :UInt64;
  expectPin @8 :Bool;
  timeoutMs @9 :UInt32;
  maxStalenessMs @10 :Int32 = -1;
  requestKey @11 :Text;
  traceparent @12 :Text;
  zone @13 :Text;
}

struct Column { name @0 :Text; typeCode @1 :UInt8; characterSet @2 :UInt16; }

struct Answer {
  requestId @0 :UInt64;
  outcome @1 :Outcome;
  errorCode @2 :UInt16;
  sqlState @3 :Text;
  message @4 :Text;
  retryAfterMs @5 :UInt32;
  affectedRows @6 :UInt64;
  insertId @7 :UInt64;
  columns @8 :List(Column);
  cells @9 :List(Data);
  nullCells @10 :List(UInt32);
  pinned @11 :Bool;
  inTransaction @12 :Bool;
  position @13 :Position;
  server @14 :Text;
  primary @15 :Bool;
  redirect @16 :Text;
}

struct DatabaseStatus {
  database @0 :Text;
  owned @1 :Bool;
  serving @2 :Bool;
  term @3 :UInt64;
  primary @4 :Text;
  servers @5 :Text;
}

interface Pool {
  execute @0 (request :StatementRequest) -> (answer :Answer);
  release @1 (pinId :UInt64) -> ();
  heartbeat @2 () -> ();
  status @3 () -> (databases :List(DatabaseStatus));
  handOver @4 (database :Text, term :UInt64) -> (accepted :Bool);
  takeTokens @5 (workspace :Text, wanted :UInt32, term :UInt64) -> (granted :UInt32, retryAfterMs :UInt32, serving :Bool);
}

struct Member {
  host @0 :Text;
  zone @1 :Text;
  address @2 :Text;
  agentPort @3 :UInt16;
  poolPort @4 :UInt16;
  incarnation @5 :UInt64;
  state @6 :MemberState;
  pool @7 :PoolState;
}

enum PoolState { down @0; leaving @1; up @2; }

enum MemberState { alive @0; suspect @1; leaving @2; dead @3; }

struct Vouch {
  version @0 :UInt64;
  ageMs @1 :UInt32;
}

struct Gossip {
  sender @0 :Member;
  updates @1 :List(Member);
  vouch @2 :Vouch;
  cluster @3 :Text;
}

struct HostView {
  settingsVersion @0 :UInt64;
  record @1 :Data;
  confirmedAtMs @2 :UInt64;
  members @3 :List(Member);
  membersRevision @4 :UInt64;
}

struct Versioned { version @0 :UInt64; record @1 :Data; }

interface Agent {
  watch @0 (settingsVersion :UInt64, membersRevision :UInt64, program :Text) -> (view :HostView);
  probe @1 (gossip :Gossip) -> (gossip :Gossip);
  probeFor @2 (host :Text) -> (reached :Bool);
  fetchSettings @3 (knownVersion :UInt64) -> (versioned :Versioned);
  pushSettings @4 (versioned :Versioned) -> (version :UInt64);
  witnessVersion @5 () -> (version :UInt64);
  statusJson @6 () -> (status :Text);
}
