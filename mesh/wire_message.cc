#include "mesh/wire_message.h"

#include <kj/debug.h>

#include <algorithm>
#include <cmath>
#include <string>
#include <string_view>
#include <utility>

namespace camphor {
namespace {

// Rejects texts that contain a NUL: they would be forwarded truncated at the
// NUL, and hosts would then have different records with the same sequence.
std::string ToString(capnp::Text::Reader text) {
  KJ_REQUIRE(std::string_view(text.cStr(), text.size()).find('\0') ==
                 std::string_view::npos,
             "text contains a NUL character");
  return {text.cStr(), text.size()};
}

// Enum values are sent as numbers; a newer protocol may define additional ones.
template <typename Enum>
Enum ReadEnum(std::uint8_t value, Enum last) {
  KJ_REQUIRE(value <= static_cast<std::uint8_t>(last),
             "enum value out of range");
  return static_cast<Enum>(value);
}

void Write(const ConfigHead& head, wire::Head::Builder out) {
  out.setVersion(head.version);
  if (!head.digest.hex().empty()) out.setDigest(head.digest.hex());
}

ConfigHead Read(wire::Head::Reader in) {
  return {.version = in.getVersion(),
          .digest = Digest::FromHex(ToString(in.getDigest()))};
}

void Write(const Endpoint& endpoint, wire::Address::Builder out) {
  out.setIp(endpoint.address);
  out.setPort(endpoint.port);
}

Endpoint Read(wire::Address::Reader in) {
  return {.address = ToString(in.getIp()), .port = in.getPort()};
}

void Write(const TargetInfo& target, wire::Target::Builder out) {
  out.setId(target.id.value());
  out.setPool(target.pool.value());
  out.setVersion(target.version.value());
  out.setSlots(target.slots);
  out.setStatus(static_cast<std::uint8_t>(target.status));
}

TargetInfo Read(wire::Target::Reader in) {
  return {.id = TargetId(ToString(in.getId())),
          .pool = PoolName(ToString(in.getPool())),
          .version = TargetVersion(ToString(in.getVersion())),
          .slots = in.getSlots(),
          .status = ReadEnum(in.getStatus(), TargetStatus::kLeaving)};
}

void Write(const HostRecord& record, wire::Host::Builder out) {
  out.setHost(record.host.value());
  out.setIncarnation(record.incarnation);
  out.setSequence(record.sequence);
  out.setStatus(static_cast<std::uint8_t>(record.status));
  out.setDomain(record.domain.value());
  Write(record.mesh, out.initMesh());
  Write(record.forward, out.initForward());
  out.setConfigVersion(record.config_version);
  out.setPlatformLost(record.platform_lost);
  auto targets = out.initTargets(record.targets.size());
  for (unsigned index = 0; index < targets.size(); ++index)
    Write(record.targets[index], targets[index]);
}

HostRecord Read(wire::Host::Reader in) {
  HostRecord record{.host = HostId(ToString(in.getHost())),
                    .incarnation = in.getIncarnation(),
                    .sequence = in.getSequence(),
                    .status = ReadEnum(in.getStatus(), HostStatus::kDead),
                    .domain = FailureDomain(ToString(in.getDomain())),
                    .mesh = Read(in.getMesh()),
                    .forward = Read(in.getForward()),
                    .config_version = in.getConfigVersion(),
                    .platform_lost = in.getPlatformLost()};
  for (auto target : in.getTargets()) record.targets.push_back(Read(target));
  return record;
}

void Write(const RolloutRecord& record, wire::Rollout::Builder out) {
  out.setId(record.id.value());
  out.setStage(static_cast<std::uint8_t>(record.stage));
  out.setSharePpm(record.share_ppm);
  out.setStageSinceMs(record.stage_since.time_since_epoch().count());
  out.setOrderedAtMs(record.ordered_at.time_since_epoch().count());
  out.setHurry(record.hurry);
  out.setRecorded(record.recorded);
  out.setSignal(record.reason.signal);
  out.setRoute(record.reason.route.value());
  out.setNewRequests(record.reason.new_requests);
  out.setOldRequests(record.reason.old_requests);
  out.setSentence(record.reason.sentence);
  out.setCanaryTargets(record.canary_targets);
  auto shares = out.initRouteShares(record.route_shares.size());
  for (unsigned index = 0; index < shares.size(); ++index) {
    shares[index].setRoute(record.route_shares[index].route.value());
    shares[index].setSharePpm(record.route_shares[index].share_ppm);
  }
}

RolloutRecord Read(wire::Rollout::Reader in) {
  RolloutRecord record{
      .id = RolloutId(ToString(in.getId())),
      .stage = ReadEnum(in.getStage(), RolloutStage::kRolledBack),
      .share_ppm = in.getSharePpm(),
      .canary_targets = in.getCanaryTargets(),
      .stage_since = WallTime(Milliseconds(in.getStageSinceMs())),
      .ordered_at = WallTime(Milliseconds(in.getOrderedAtMs())),
      .hurry = in.getHurry(),
      .recorded = in.getRecorded(),
      .reason = {.signal = ToString(in.getSignal()),
                 .route = RouteName(ToString(in.getRoute())),
                 .new_requests = in.getNewRequests(),
                 .old_requests = in.getOldRequests(),
                 .sentence = ToString(in.getSentence())}};
  for (auto share : in.getRouteShares()) {
    record.route_shares.push_back(
        {.route = RouteName(ToString(share.getRoute())),
         .share_ppm = share.getSharePpm()});
  }
  return record;
}

void Write(const PoisonRecord& record, wire::Poison::Builder out) {
  out.setFingerprint(record.fingerprint);
  auto deaths = out.initDeaths(record.deaths.size());
  unsigned index = 0;
  for (const TargetDeath& death : record.deaths) {
    auto row = deaths[index++];
    row.setTarget(death.target.value());
    row.setAtMs(death.at.time_since_epoch().count());
  }
}

PoisonRecord Read(wire::Poison::Reader in) {
  PoisonRecord record{.fingerprint = in.getFingerprint()};
  for (auto death : in.getDeaths()) {
    record.deaths.insert({.at = WallTime(Milliseconds(death.getAtMs())),
                          .target = TargetId(ToString(death.getTarget()))});
  }
  return record;
}

void Write(const EvidenceCell& cell, wire::EvidenceCell::Builder out) {
  out.setRoute(cell.route.value());
  out.setVersion(cell.version.value());
  out.setTarget(cell.target.value());
  out.setRequests(cell.requests);
  out.setFailures(cell.failures);
  out.setRefused(cell.refused);

  // Send only the range of non-empty buckets: the latencies of a target fall
  // into a few adjacent ones.
  const auto& buckets = cell.latency;
  const auto is_nonzero = [](std::uint32_t count) { return count > 0; };
  const auto first = std::ranges::find_if(buckets, is_nonzero);
  if (first == buckets.end()) return;
  const auto last = std::find_if(buckets.rbegin(), buckets.rend(), is_nonzero);
  const auto size = static_cast<unsigned>(last.base() - first);
  out.setFirstBucket(static_cast<std::uint8_t>(first - buckets.begin()));
  auto latency = out.initLatency(size);
  for (unsigned index = 0; index < size; ++index)
    latency.set(index, *(first + index));
}

EvidenceCell Read(wire::EvidenceCell::Reader in) {
  EvidenceCell cell{.route = RouteName(ToString(in.getRoute())),
                    .version = TargetVersion(ToString(in.getVersion())),
                    .target = TargetId(ToString(in.getTarget())),
                    .requests = in.getRequests(),
                    .failures = in.getFailures(),
                    .refused = in.getRefused()};
  const auto latency = in.getLatency();
  const std::size_t first = in.getFirstBucket();
  KJ_REQUIRE(first + latency.size() <= cell.latency.size(),
             "latency histogram exceeds the number of buckets");
  for (unsigned index = 0; index < latency.size(); ++index)
    cell.latency[first + index] = latency[index];
  return cell;
}

void Write(const SyncEntry& entry, wire::SyncEntry::Builder out) {
  out.setKey(entry.key);
  out.setFingerprint(entry.fingerprint);
}

SyncEntry Read(wire::SyncEntry::Reader in) {
  return {.key = in.getKey(), .fingerprint = in.getFingerprint()};
}

void Write(const TeamUsage& usage, wire::TeamUsage::Builder out) {
  out.setTeam(usage.team);
  out.setDemand(usage.demand);
  out.setAdmitted(usage.admitted);
  out.setAcknowledged(usage.acknowledged);
  out.setPeriodMs(usage.period_ms);
  out.setShare(usage.share);
}

TeamUsage Read(wire::TeamUsage::Reader in) {
  const TeamUsage usage{.team = in.getTeam(),
                        .demand = in.getDemand(),
                        .period_ms = in.getPeriodMs(),
                        .share = in.getShare(),
                        .admitted = in.getAdmitted(),
                        .acknowledged = in.getAcknowledged()};
  KJ_REQUIRE(std::isfinite(usage.share) && usage.share >= 0,
             "share is negative or not finite");
  return usage;
}

void Write(const TeamGrant& grant, wire::TeamGrant::Builder out) {
  out.setTeam(grant.team);
  out.setLimited(grant.limited);
  out.setRate(grant.rate);
  out.setCredit(grant.credit);
}

TeamGrant Read(wire::TeamGrant::Reader in) {
  const TeamGrant grant{.team = in.getTeam(),
                        .limited = in.getLimited(),
                        .rate = in.getRate(),
                        .credit = in.getCredit()};
  KJ_REQUIRE(std::isfinite(grant.rate) && grant.rate >= 0 &&
                 std::isfinite(grant.credit) && grant.credit >= 0,
             "grant is negative or not finite");
  return grant;
}

void Write(const TargetDeparture& departure, wire::Departure::Builder out) {
  out.setTarget(departure.id.value());
  out.setStartedMs(departure.started_ms);
}

TargetDeparture Read(wire::Departure::Reader in) {
  return {.id = TargetId(ToString(in.getTarget())),
          .started_ms = in.getStartedMs()};
}

template <typename Row, typename List>
void WriteRows(const std::vector<Row>& rows, List out) {
  for (unsigned index = 0; index < out.size(); ++index)
    Write(rows[index], out[index]);
}

template <typename Row, typename List>
std::vector<Row> ReadRows(List in) {
  std::vector<Row> rows;
  rows.reserve(in.size());
  for (auto row : in) rows.push_back(Read(row));
  return rows;
}

template <typename Number, typename List>
void WriteNumbers(const std::vector<Number>& numbers, List out) {
  for (unsigned index = 0; index < out.size(); ++index)
    out.set(index, numbers[index]);
}

template <typename Number, typename List>
std::vector<Number> ReadNumbers(List in) {
  std::vector<Number> numbers;
  numbers.reserve(in.size());
  for (auto number : in) numbers.push_back(number);
  return numbers;
}

// Visitor that writes a message of any type.
struct MessageWriter {
  wire::Message::Builder out;

  void operator()(const RecordsMessage& message) {
    auto records = out.initRecords();
    Write(message.head, records.initHead());
    WriteRows(message.hosts, records.initHosts(message.hosts.size()));
    WriteRows(message.rollouts, records.initRollouts(message.rollouts.size()));
    WriteRows(message.poison, records.initPoison(message.poison.size()));
  }
  void operator()(const SnapshotRequest& message) {
    auto request = out.initSnapshotRequest();
    Write(message.head, request.initHead());
    Write(message.base, request.initBase());
  }
  void operator()(const SnapshotReply& message) {
    auto reply = out.initSnapshotReply();
    Write(message.head, reply.initHead());
    Write(message.base, reply.initBase());
    auto bytes = reply.initBytes(message.bytes.size());
    std::copy(message.bytes.begin(), message.bytes.end(), bytes.begin());
  }
  void operator()(const EvidenceReport& message) {
    auto evidence = out.initEvidence();
    evidence.setRollout(message.rollout.value());
    evidence.setReporter(message.reporter.value());
    evidence.setIncarnation(message.incarnation);
    evidence.setPeriod(message.period);
    evidence.setHosts(message.hosts);
    WriteRows(message.cells, evidence.initCells(message.cells.size()));
  }
  void operator()(const Heartbeat& message) {
    auto heartbeat = out.initHeartbeat();
    heartbeat.setVersion(message.version);
    heartbeat.setFingerprint(message.fingerprint);
    heartbeat.setAppliedFingerprint(message.applied_fingerprint);
    heartbeat.setReady(message.ready);
    heartbeat.setReplyWanted(message.reply_wanted);
  }
  void operator()(const SyncDigest& message) {
    WriteNumbers(message.buckets, out.initSyncDigest(message.buckets.size()));
  }
  void operator()(const SyncEntries& message) {
    auto entries = out.initSyncEntries();
    entries.setBuckets(message.buckets);
    WriteRows(message.entries, entries.initEntries(message.entries.size()));
  }
  void operator()(const SyncWanted& message) {
    WriteNumbers(message.keys, out.initSyncWanted(message.keys.size()));
  }
  void operator()(const SyncBusy& message) {
    auto busy = out.initSyncBusy();
    busy.setRetryAfterMs(message.retry_after_ms);
    WriteRows(message.alternatives,
              busy.initAlternatives(message.alternatives.size()));
  }
  void operator()(const SuspicionReport& message) {
    auto suspicion = out.initSuspicion();
    suspicion.setHost(message.host.value());
    suspicion.setIncarnation(message.incarnation);
    suspicion.setSequence(message.sequence);
    suspicion.setReached(message.reached);
  }
  void operator()(const AppliedVersions& message) {
    auto applied = out.initApplied();
    applied.setVersion(message.version);
    WriteNumbers(message.hosts, applied.initHosts(message.hosts.size()));
  }
  void operator()(const QuotaReport& message) {
    auto report = out.initQuotaReport();
    report.setIncarnation(message.incarnation);
    report.setSequence(message.sequence);
    WriteRows(message.teams, report.initTeams(message.teams.size()));
  }
  void operator()(const QuotaGrants& message) {
    auto grants = out.initQuotaGrants();
    grants.setSequence(message.sequence);
    grants.setLeaseMs(message.lease_ms);
    WriteRows(message.teams, grants.initTeams(message.teams.size()));
  }
  void operator()(const FreshnessQuery& message) {
    out.initFreshnessQuery().setSequence(message.sequence);
  }
  void operator()(const FreshnessReply& message) {
    auto reply = out.initFreshnessReply();
    reply.setSequence(message.sequence);
    reply.setKnown(message.known);
    reply.setAgeMs(message.age_ms);
    reply.setVersion(message.version);
    reply.setNextMs(message.next_ms);
  }
  void operator()(const DepartureNotice& message) {
    auto notice = out.initDepartureNotice();
    notice.setHost(message.host.value());
    notice.setIncarnation(message.incarnation);
    notice.setSequence(message.sequence);
    WriteRows(message.departures,
              notice.initDepartures(message.departures.size()));
  }
  void operator()(const DepartureReceipt& message) {
    auto receipt = out.initDepartureReceipt();
    receipt.setIncarnation(message.incarnation);
    receipt.setSequence(message.sequence);
    WriteRows(message.departures,
              receipt.initDepartures(message.departures.size()));
  }
};

RecordsMessage ReadRecords(wire::Records::Reader in) {
  return {.head = Read(in.getHead()),
          .hosts = ReadRows<HostRecord>(in.getHosts()),
          .rollouts = ReadRows<RolloutRecord>(in.getRollouts()),
          .poison = ReadRows<PoisonRecord>(in.getPoison())};
}

SnapshotReply ReadSnapshotReply(wire::SnapshotReply::Reader in) {
  const auto bytes = in.getBytes();
  return {.head = Read(in.getHead()),
          .base = Read(in.getBase()),
          .bytes = std::string(bytes.begin(), bytes.end())};
}

EvidenceReport ReadEvidence(wire::Evidence::Reader in) {
  return {.rollout = RolloutId(ToString(in.getRollout())),
          .reporter = HostId(ToString(in.getReporter())),
          .incarnation = in.getIncarnation(),
          .period = in.getPeriod(),
          .hosts = in.getHosts(),
          .cells = ReadRows<EvidenceCell>(in.getCells())};
}

Heartbeat ReadHeartbeat(wire::Heartbeat::Reader in) {
  return {.version = in.getVersion(),
          .fingerprint = in.getFingerprint(),
          .applied_fingerprint = in.getAppliedFingerprint(),
          .ready = in.getReady(),
          .reply_wanted = in.getReplyWanted()};
}

SuspicionReport ReadSuspicion(wire::Suspicion::Reader in) {
  return {.host = HostId(ToString(in.getHost())),
          .incarnation = in.getIncarnation(),
          .sequence = in.getSequence(),
          .reached = in.getReached()};
}

QuotaReport ReadQuotaReport(wire::QuotaReport::Reader in) {
  return {.incarnation = in.getIncarnation(),
          .sequence = in.getSequence(),
          .teams = ReadRows<TeamUsage>(in.getTeams())};
}

QuotaGrants ReadQuotaGrants(wire::QuotaGrants::Reader in) {
  return {.sequence = in.getSequence(),
          .lease_ms = in.getLeaseMs(),
          .teams = ReadRows<TeamGrant>(in.getTeams())};
}

FreshnessReply ReadFreshnessReply(wire::FreshnessReply::Reader in) {
  return {.sequence = in.getSequence(),
          .known = in.getKnown(),
          .age_ms = in.getAgeMs(),
          .version = in.getVersion(),
          .next_ms = in.getNextMs()};
}

DepartureNotice ReadDepartureNotice(wire::DepartureNotice::Reader in) {
  return {.host = HostId(ToString(in.getHost())),
          .incarnation = in.getIncarnation(),
          .sequence = in.getSequence(),
          .departures = ReadRows<TargetDeparture>(in.getDepartures())};
}

DepartureReceipt ReadDepartureReceipt(wire::DepartureReceipt::Reader in) {
  return {.incarnation = in.getIncarnation(),
          .sequence = in.getSequence(),
          .departures = ReadRows<TargetDeparture>(in.getDepartures())};
}

}  // namespace

void WriteWireMessage(const MeshMessage& message, wire::Message::Builder out) {
  std::visit(MessageWriter{out}, message);
}

MeshMessage ReadWireMessage(wire::Message::Reader in) {
  switch (in.which()) {
    case wire::Message::RECORDS:
      return ReadRecords(in.getRecords());
    case wire::Message::SNAPSHOT_REQUEST:
      return SnapshotRequest{.head = Read(in.getSnapshotRequest().getHead()),
                             .base = Read(in.getSnapshotRequest().getBase())};
    case wire::Message::SNAPSHOT_REPLY:
      return ReadSnapshotReply(in.getSnapshotReply());
    case wire::Message::EVIDENCE:
      return ReadEvidence(in.getEvidence());
    case wire::Message::HEARTBEAT:
      return ReadHeartbeat(in.getHeartbeat());
    case wire::Message::SYNC_DIGEST:
      return SyncDigest{ReadNumbers<std::uint64_t>(in.getSyncDigest())};
    case wire::Message::SYNC_ENTRIES:
      return SyncEntries{
          .buckets = in.getSyncEntries().getBuckets(),
          .entries = ReadRows<SyncEntry>(in.getSyncEntries().getEntries())};
    case wire::Message::SYNC_WANTED:
      return SyncWanted{ReadNumbers<std::uint64_t>(in.getSyncWanted())};
    case wire::Message::SYNC_BUSY:
      return SyncBusy{.retry_after_ms = in.getSyncBusy().getRetryAfterMs(),
                      .alternatives = ReadRows<Endpoint>(
                          in.getSyncBusy().getAlternatives())};
    case wire::Message::SUSPICION:
      return ReadSuspicion(in.getSuspicion());
    case wire::Message::APPLIED:
      return AppliedVersions{
          .version = in.getApplied().getVersion(),
          .hosts = ReadNumbers<std::uint32_t>(in.getApplied().getHosts())};
    case wire::Message::QUOTA_REPORT:
      return ReadQuotaReport(in.getQuotaReport());
    case wire::Message::QUOTA_GRANTS:
      return ReadQuotaGrants(in.getQuotaGrants());
    case wire::Message::FRESHNESS_QUERY:
      return FreshnessQuery{.sequence = in.getFreshnessQuery().getSequence()};
    case wire::Message::FRESHNESS_REPLY:
      return ReadFreshnessReply(in.getFreshnessReply());
    case wire::Message::DEPARTURE_NOTICE:
      return ReadDepartureNotice(in.getDepartureNotice());
    case wire::Message::DEPARTURE_RECEIPT:
      return ReadDepartureReceipt(in.getDepartureReceipt());
  }
  KJ_FAIL_REQUIRE("unknown message type");
}

}  // namespace camphor
