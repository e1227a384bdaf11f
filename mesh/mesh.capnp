@0xd3a1c9e27b5f4a86;
# Mesh protocol between hosts. The generated code is committed; to regenerate:
# capnp compile -oc++ mesh/mesh.capnp

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("camphor::wire");

struct Head {
  version @0 :UInt64;
  digest @1 :Text;
}

struct Address {
  ip @0 :Text;
  port @1 :UInt16;
}

struct Target {
  id @0 :Text;
  pool @1 :Text;
  version @2 :Text;
  slots @3 :UInt32;
  status @4 :UInt8;
}

struct Host {
  host @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  status @3 :UInt8;
  domain @4 :Text;
  mesh @5 :Address;
  forward @6 :Address;
  configVersion @7 :UInt64;
  targets @8 :List(Target);
  platformLost @9 :Bool;
}

struct Rollout {
  id @0 :Text;
  stage @1 :UInt8;
  sharePpm @2 :UInt32;
  stageSinceMs @3 :Int64;
  hurry @4 :Bool;
  recorded @5 :Bool;
  signal @6 :Text;
  route @7 :Text;
  newRequests @8 :UInt64;
  oldRequests @9 :UInt64;
  sentence @10 :Text;
  routeShares @11 :List(RouteShare);
  canaryTargets @12 :UInt32;
  orderedAtMs @13 :Int64;
}

struct RouteShare {
  route @0 :Text;
  sharePpm @1 :UInt32;
}

struct TargetDeath {
  target @0 :Text;
  atMs @1 :Int64;
}

struct Poison {
  fingerprint @0 :UInt64;
  deaths @1 :List(TargetDeath);
}

struct Records {
  head @0 :Head;
  hosts @1 :List(Host);
  rollouts @2 :List(Rollout);
  poison @3 :List(Poison);
}

struct SnapshotRequest {
  head @0 :Head;
  base @1 :Head;
}

struct SnapshotReply {
  head @0 :Head;
  base @1 :Head;
  bytes @2 :Data;
}

struct EvidenceCell {
  route @0 :Text;
  version @1 :Text;
  target @2 :Text;
  requests @3 :UInt64;
  failures @4 :UInt64;
  refused @5 :UInt64;
  latency @6 :List(UInt32);
  firstBucket @7 :UInt8;
}

struct Evidence {
  rollout @0 :Text;
  reporter @1 :Text;
  incarnation @2 :UInt64;
  period @3 :UInt64;
  hosts @4 :UInt32;
  cells @5 :List(EvidenceCell);
}

struct Heartbeat {
  version @0 :UInt64;
  fingerprint @1 :UInt64;
  ready @2 :Bool;
  replyWanted @3 :Bool;
  appliedFingerprint @4 :UInt64;
}

struct SyncEntry {
  key @0 :UInt64;
  fingerprint @1 :UInt64;
}

struct SyncEntries {
  buckets @0 :UInt64;
  entries @1 :List(SyncEntry);
}

struct SyncBusy {
  retryAfterMs @0 :UInt32;
  alternatives @1 :List(Address);
}

struct Suspicion {
  host @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  reached @3 :Bool;
}

struct Applied {
  version @0 :UInt64;
  hosts @1 :List(UInt32);
}

struct TeamUsage {
  team @0 :UInt32;
  demand @1 :UInt32;
  admitted @2 :UInt64;
  acknowledged @3 :UInt64;
  periodMs @4 :UInt16;
  share @5 :Float32;
}

struct QuotaReport {
  incarnation @0 :UInt64;
  sequence @1 :UInt32;
  teams @2 :List(TeamUsage);
}

struct TeamGrant {
  team @0 :UInt32;
  limited @1 :Bool;
  rate @2 :Float32;
  credit @3 :Float32;
}

struct QuotaGrants {
  sequence @0 :UInt32;
  leaseMs @1 :UInt32;
  teams @2 :List(TeamGrant);
}

struct FreshnessQuery {
  sequence @0 :UInt64;
}

struct FreshnessReply {
  sequence @0 :UInt64;
  known @1 :Bool;
  ageMs @2 :UInt32;
  version @3 :UInt64;
  nextMs @4 :UInt32;
}

struct Departure {
  target @0 :Text;
  startedMs @1 :UInt64;
}

struct DepartureNotice {
  host @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  departures @3 :List(Departure);
}

struct DepartureReceipt {
  incarnation @0 :UInt64;
  sequence @1 :UInt64;
  departures @2 :List(Departure);
}

struct Message {
  union {
    records @0 :Records;
    snapshotRequest @1 :SnapshotRequest;
    snapshotReply @2 :SnapshotReply;
    evidence @3 :Evidence;
    heartbeat @4 :Heartbeat;
    syncDigest @5 :List(UInt64);
    syncEntries @6 :SyncEntries;
    syncWanted @7 :List(UInt64);
    syncBusy @8 :SyncBusy;
    suspicion @9 :Suspicion;
    applied @10 :Applied;
    freshnessQuery @11 :FreshnessQuery;
    freshnessReply @12 :FreshnessReply;
    quotaReport @13 :QuotaReport;
    quotaGrants @14 :QuotaGrants;
    departureNotice @15 :DepartureNotice;
    departureReceipt @16 :DepartureReceipt;
  }
}

# Interface for authenticated peers.
interface Inbox {
  deliver @0 (messages :List(Message)) -> ();
  # Delivers messages in order. The response confirms that they were received.
}

# Bootstrap interface, available before authentication: both sides prove that
# they have the mesh key.
interface Gate {
  challenge @0 (protocolVersion :UInt32, endpoint :Text, nonce :Data)
      -> (protocolVersion :UInt32, nonce :Data, proof :Data);
  enter @1 (proof :Data) -> (inbox :Inbox);
}
