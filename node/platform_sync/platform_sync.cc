#include "node/platform_sync/platform_sync.h"

#include <boost/json.hpp>
#include <chrono>
#include <utility>

namespace camphor {
namespace {

MonoTime Now() { return std::chrono::steady_clock::now(); }

}  // namespace

PlatformSync::PlatformSync(Options options)
    : options_(std::move(options)),
      repository_({.client = options_.platform,
                   .schedule = options_.schedule,
                   .random_seed = options_.random_seed}),
      schedule_({.poll = options_.settings.poll,
                 .slow_poll = options_.settings.slow_poll,
                 .random_seed = options_.random_seed}),
      archive_(ArchiveOptions()),
      departures_(DepartureOptions()) {
  if (!options_.operator_tables) return;
  feed_.emplace(FeedOptions());
  directory_.emplace(DirectoryOptions());
}

RolloutArchive::Options PlatformSync::ArchiveOptions() {
  RolloutArchive::Options archive{
      .platform = options_.platform,
      .log = options_.log,
      .post = options_.post,
      .publish = [this](const RolloutRecord& record) {
        options_.controller->replicator().Publish(record, Now());
      }};
  if (options_.operator_tables)
    archive.report = options_.operator_tables->report;
  return archive;
}

OperatorFeed::Options PlatformSync::FeedOptions() {
  OperatorFeed::Options feed{
      .table = options_.operator_tables->table,
      .platform = options_.platform,
      .log = options_.log,
      .random_seed = options_.random_seed,
      .decode = options_.operator_tables->decode,
      .on_snapshot =
          [this](const ConfigSnapshot& snapshot) {
            OnOperatorSnapshot(snapshot);
          },
      .active_head =
          [this] {
            const ConfigSnapshotPtr& active =
                options_.controller->replicator().snapshot();
            return active == nullptr ? ConfigHead{} : active->head;
          },
      .post = options_.post};
  if (strict()) {
    feed.strict_watch_timeout =
        FreshnessTracker::WatchTimeout(options_.revoke_within);
    feed.strict_max_retry = feed.strict_watch_timeout / 2;
    feed.boot_now = options_.boot_now;
    feed.on_proof = [this](MonoTime started, ConfigVersion version) {
      options_.controller->OnPlatformProof({.at = started, .version = version},
                                           options_.boot_now());
    };
  }
  return feed;
}

HostDirectory::Options PlatformSync::DirectoryOptions() {
  return {.host = options_.host,
          .mesh = options_.mesh,
          .platform = options_.platform,
          .log = options_.log,
          .random_seed = options_.random_seed,
          .on_hosts_found =
              [this](const std::vector<Endpoint>& endpoints) {
                options_.controller->replicator().AddSeeds(endpoints, Now());
              },
          .post = options_.post};
}

DepartureArchive::Options PlatformSync::DepartureOptions() {
  HostController* const controller = options_.controller;
  return {
      .host = options_.host,
      .platform = options_.platform,
      .log = options_.log,
      .random_seed = options_.random_seed,
      .departures = [controller]() -> const std::vector<TargetDeparture>& {
        return controller->departures();
      },
      .replicated = [controller] { return controller->DeparturesReplicated(); },
      .on_loaded =
          [controller](const std::vector<TargetDeparture>& departures) {
            controller->LoadDepartures(departures, Now());
          },
      .post = options_.post};
}

void PlatformSync::OnOperatorSnapshot(const ConfigSnapshot& snapshot) {
  // Pass the snapshot before the head, so that the head triggers no fetch.
  Replicator& replicator = options_.controller->replicator();
  replicator.OnPlatformSnapshot(snapshot, Now());
  replicator.OnPlatformHead(snapshot.head, Now());
}

void PlatformSync::Tick(MonoTime now, WallTime wall_now) {
  Replicator& replicator = options_.controller->replicator();
  const bool poller = replicator.is_platform_poller();
  if (std::exchange(poller_, poller) != poller) {
    options_.log->Log(
        LogLevel::kInfo, "platform",
        poller ? "started polling the platform for the failure domain"
               : "stopped polling the platform for the failure domain",
        {{"reachable", reachable() ? "yes" : "no"},
         {"isolated", replicator.isolated() ? "yes" : "no"}});
  }
  if (feed_) {
    feed_->Tick(poller, now);
    // With strict revocation any host may read the platform during an outage.
    // Only those of the watchers matter to the choice of the watchers.
    const bool lost = feed_->lost(now);
    if (!strict() || poller || !lost) replicator.SetPlatformLost(lost, now);
    directory_->Tick(replicator.alone(), now);
  } else if (schedule_.Due(now,
                           {.ready = replicator.ready(), .poller = poller})) {
    ReadHead();
  }
  archive_.Tick(replicator.rollouts(), poller, now, wall_now);
  departures_.Tick(now);
}

void PlatformSync::OnDeparturesChanged() { departures_.OnChanged(Now()); }

void PlatformSync::AwaitDeparturesStored(std::function<void(bool)> done) {
  departures_.AwaitStored(std::move(done), Now());
}

void PlatformSync::OnConfigChanged(const ConfigSnapshot& snapshot) {
  if (feed_) feed_->SetStrict(strict() && !snapshot.teams.empty());
  archive_.SetConfig(snapshot);
}

void PlatformSync::RequestProof() {
  if (feed_) return feed_->RequestProof();
  ReadHead();
}

void PlatformSync::ReadHead() {
  const MonoTime started = options_.boot_now ? options_.boot_now() : MonoTime{};
  repository_.ReadHead([this, started](const HeadResult& result) {
    options_.post([this, result, started] { OnHead(result, started); });
  });
}

void PlatformSync::OnHead(const HeadResult& result, MonoTime started_boot) {
  const MonoTime now = Now();
  const bool was_reachable = reachable();
  schedule_.Finished(result.head.has_value(), now);
  if (!result.head.has_value()) {
    last_reason_ = result.reason;
    if (was_reachable) {
      options_.log->Log(LogLevel::kWarning, "platform",
                        "platform unreachable; continuing to serve",
                        {{"reason", result.reason}});
    }
    return;
  }
  if (!was_reachable) {
    options_.log->Log(LogLevel::kInfo, "platform", "platform reachable again");
  }
  options_.controller->replicator().OnPlatformHead(*result.head, now);
  if (strict()) {
    options_.controller->OnPlatformProof(
        {.at = started_boot, .version = result.head->version},
        options_.boot_now());
  }
}

void PlatformSync::FetchSnapshot(const ConfigHead& head) {
  if (feed_) return feed_->RequestFullRead();
  if (fetching_ == head) return;
  fetching_ = head;
  repository_.FetchSnapshot(head, [this, head](const SnapshotResult& result) {
    options_.post([this, head, result] { OnSnapshot(head, result); });
  });
}

void PlatformSync::OnSnapshot(const ConfigHead& head,
                              const SnapshotResult& result) {
  if (fetching_ == head) fetching_.reset();
  if (result.snapshot.has_value()) {
    options_.controller->replicator().OnPlatformSnapshot(*result.snapshot,
                                                         Now());
    return;
  }
  options_.log->Log(LogLevel::kWarning, "platform", "snapshot fetch failed",
                    {{"version", head.version}, {"reason", result.reason}});
}

void PlatformSync::Accept(ConfigEdit edit,
                          std::function<void(const AcceptResult&)> done) {
  if (feed_) {
    return done(
        {.status = AcceptStatus::kUnavailable,
         .reason = "the tables are written by the platform's operator"});
  }
  const ConfigSnapshot tables = edit.tables;
  repository_.Accept(std::move(edit), [this, tables, done = std::move(done)](
                                          const AcceptResult& result) {
    options_.post([this, tables, done, result] {
      OnAccepted(tables, result);
      done(result);
    });
  });
}

void PlatformSync::OnAccepted(const ConfigSnapshot& tables,
                              const AcceptResult& result) {
  Replicator& replicator = options_.controller->replicator();
  if (result.head.version > 0) replicator.OnPlatformHead(result.head, Now());
  if (result.status != AcceptStatus::kAccepted) return;
  // Distribute the snapshot directly, without a read from the object store.
  ConfigSnapshot accepted = tables;
  accepted.head = result.head;
  replicator.OnPlatformSnapshot(accepted, Now());
}

boost::json::object PlatformSync::Dump() const {
  if (feed_) return feed_->Dump();
  return {{"reachable", reachable()},
          {"failures", schedule_.failures()},
          {"last_reason", last_reason_},
          {"fetching", fetching_.has_value() ? fetching_->version : 0},
          {"rollouts_unread", archive_.unread()}};
}

}  // namespace camphor
