#include "proxy/placement_preview.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/routing/routing_builder.h"
#include "proxy/header_rules.h"
#include "proxy/local_targets.h"
#include "proxy/proxy_context.h"
#include "proxy/proxy_server.h"
#include "proxy/request_check.h"

namespace camphor {
namespace {

using Key = PlacementPreview::Key;
using Outcome = PlacementPreview::Outcome;

constexpr const char* kKey = "secret-of-red";

/// The state of a proxy that does not listen. Host h1 is this one.
class Preview : public testing::Test {
 protected:
  Preview() {
    routes_ = {{.name = RouteName("keyed"),
                .path_prefix = "/",
                .pool = PoolName("p"),
                .timeout = Milliseconds(2000)},
               {.name = RouteName("open"),
                .path_prefix = "/open",
                .pool = PoolName("p"),
                .timeout = Milliseconds(2000),
                .is_public = true},
               {.name = RouteName("once"),
                .host = "only.example",
                .path_prefix = "/once",
                .pool = PoolName("p"),
                .at_most_once = true,
                .is_public = true}};
    pool_ = {.name = PoolName("p"),
             .version = TargetVersion("v1"),
             .slots_per_target = 2,
             .queue_per_target = 1};
    teams_ = TeamTable({{.name = TeamName("red"),
                         .key_digests = {Digest::Of(kKey)},
                         .priority = 1,
                         .requests_per_second = 10,
                         .burst = 10}});
    limiter_.SetTeams(teams_);
  }

  void AddTarget(const std::string& host, const std::string& id) {
    host_targets_[host].push_back({.id = TargetId(id),
                                   .pool = PoolName("p"),
                                   .version = TargetVersion("v1"),
                                   .slots = 2});
  }

  // Builds the routing, and the proxy at the first call.
  void Publish() {
    auto snapshot = std::make_shared<ConfigSnapshot>();
    snapshot->head.version = 7;
    snapshot->routes = routes_;
    snapshot->pools = {pool_};
    snapshot->teams = teams_;
    snapshot->evacuated_domains = evacuated_domains_;
    std::map<HostId, HostRecord> hosts;
    for (const std::string host : {"h1", "h2"}) {
      hosts[HostId(host)] = {.host = HostId(host),
                             .domain = FailureDomain("d-" + host),
                             .targets = host_targets_[host]};
    }
    routing_ = std::make_shared<const EffectiveRouting>(
        BuildRouting({.self = HostId("h1"),
                      .snapshot = snapshot,
                      .hosts = hosts,
                      .rollouts = {},
                      .poison = poison_,
                      .wall_now = WallTime(Milliseconds(1000))}));
    if (!context_) MakeContext();
    context_->Routing();
  }

  void MakeContext() {
    ProxyServer::Options options{
        .host = HostId("h1"),
        .domain = FailureDomain("d-h1"),
        .routing = [this] { return routing_; },
        .accepts_keys = [this] { return accepts_keys_; },
        .local_target =
            [](const TargetId&) {
              return Endpoint{.address = "127.0.0.1", .port = 1};
            },
        .admit =
            [this](const TeamSpec& team) {
              return limiter_.Admit(team.name, now_);
            },
        .preview_admit =
            [this](const TeamSpec& team) {
              return limiter_.PreviewAdmit(team.name, now_);
            }};
    options.vocabulary.team_key = "T-Key";
    context_ = std::make_unique<ProxyContext>(std::move(options));
  }

  PlacementPreview Run(
      const std::string& path,
      std::vector<std::pair<std::string, std::string>> headers = {
          {"T-Key", kKey}}) const {
    return PreviewPlacement(*context_,
                            {.method = "GET",
                             .host = "example:80",
                             .path = path,
                             .headers = std::move(headers)},
                            now_);
  }

  // As CallerRequest::Place does it.
  std::optional<Placement> ChooseReal(std::uint32_t route) {
    const std::uint32_t share = context_->balancer.ChooseShare(route);
    return context_->balancer.Choose(route, share, {}, now_);
  }

  std::string IdOf(const Placement& placement) const {
    return routing_->pools[placement.pool]
        .groups[placement.group]
        .targets[placement.target]
        .info.id.value();
  }

  // Starts requests that hold slots of a target of this host, or wait.
  void Occupy(const std::string& id, int requests,
              Milliseconds time_limit = Milliseconds(60'000)) {
    const std::shared_ptr<LocalTarget> target =
        context_->targets->Find(TargetId(id));
    ASSERT_TRUE(target);
    for (int request = 0; request < requests; ++request) {
      const MonoTime deadline = now_ + time_limit;
      // Owned by the coroutine: its timer must not outlive the io_context.
      auto control = std::make_shared<RequestControl>(
          context_->io->get_executor(), deadline);
      asio::co_spawn(
          *context_->io,
          [](std::shared_ptr<LocalTarget> local,
             std::shared_ptr<RequestControl> with,
             MonoTime until) -> asio::awaitable<void> {
            co_await local->AcquireSlot(*with, Urgency::FromDeadline(until));
          }(target, std::move(control), deadline),
          asio::detached);
      context_->io->restart();  // it stops whenever it is out of work
      context_->io->poll();
    }
  }

  const MonoTime now_ = std::chrono::steady_clock::now();
  std::vector<RouteRule> routes_;
  PoolSpec pool_;
  TeamTable teams_;
  bool accepts_keys_ = true;
  std::map<std::string, std::vector<TargetInfo>> host_targets_;
  std::vector<FailureDomain> evacuated_domains_;
  std::map<std::uint64_t, PoisonRecord> poison_;
  QuotaLimiter limiter_{{}};
  EffectiveRoutingPtr routing_;
  std::unique_ptr<ProxyContext> context_;
};

TEST_F(Preview, NoConfiguration_IsNotReady) {
  MakeContext();
  const PlacementPreview preview = Run("/x");
  EXPECT_EQ(preview.error, ProxyError::kNotReady);
  EXPECT_FALSE(preview.routing);
}

TEST_F(Preview, NoRouteMatches_IsRefusedWithNoRoute) {
  routes_.erase(routes_.begin());
  Publish();
  const PlacementPreview preview = Run("/x");
  EXPECT_EQ(preview.error, ProxyError::kNoRoute);
  EXPECT_EQ(preview.key, Key::kNotChecked);
  EXPECT_FALSE(preview.route);
  EXPECT_TRUE(preview.attempts.empty());
}

TEST_F(Preview, EachKindOfKey_IsTreatedAsForARealRequest) {
  AddTarget("h2", "t1");
  Publish();
  const PlacementPreview known = Run("/x");
  EXPECT_EQ(known.key, Key::kAccepted);
  EXPECT_EQ(known.team->name, TeamName("red"));
  EXPECT_EQ(known.outcome, Outcome::kSent);
  EXPECT_FALSE(known.error);

  const PlacementPreview unknown = Run("/x", {{"t-key", "wrong"}});
  EXPECT_EQ(unknown.key, Key::kUnknown);
  EXPECT_EQ(unknown.error, ProxyError::kUnknownKey);
  EXPECT_FALSE(unknown.retry_after);
  EXPECT_EQ(unknown.key_digest, Digest::Of("wrong").hex().substr(0, 12));

  const PlacementPreview missing = Run("/x", {});
  EXPECT_EQ(missing.key, Key::kMissing);
  EXPECT_EQ(missing.error, ProxyError::kUnknownKey);

  const PlacementPreview repeated =
      Run("/x", {{"T-Key", kKey}, {"t-key", kKey}});
  EXPECT_EQ(repeated.key, Key::kRepeated);
  EXPECT_EQ(repeated.error, ProxyError::kUnknownKey);

  const PlacementPreview open = Run("/open", {});
  EXPECT_EQ(open.key, Key::kMissing);
  EXPECT_EQ(open.outcome, Outcome::kSent);
}

TEST_F(Preview, NoTeams_KeyIsNotUsed) {
  teams_ = TeamTable();
  AddTarget("h2", "t1");
  Publish();
  const PlacementPreview preview = Run("/x");
  EXPECT_EQ(preview.key, Key::kNotUsed);
  EXPECT_TRUE(preview.key_digest.empty());
  EXPECT_EQ(preview.outcome, Outcome::kSent);
}

// Guards against a preview that counts against the quota.
TEST_F(Preview, QuotaIsUsedUp_Gets429WithTheTimeOfTheNextRequest) {
  AddTarget("h2", "t1");
  Publish();
  const TeamName red("red");
  while (!limiter_.Admit(red, now_)) EXPECT_FALSE(Run("/x").draining);
  const PlacementPreview preview = Run("/x");
  EXPECT_EQ(preview.error, ProxyError::kOverQuota);
  EXPECT_EQ(Run("/x").retry_after, preview.retry_after);
  EXPECT_LT(preview.quota->remaining, 1);
  EXPECT_EQ(limiter_.Admit(red, now_), preview.retry_after);
  EXPECT_EQ(Run("/open").outcome, Outcome::kSent);
}

TEST_F(Preview, ConfigurationTooOld_RefusesKeysAndServesPublicRoutes) {
  accepts_keys_ = false;
  AddTarget("h2", "t1");
  Publish();
  const PlacementPreview preview = Run("/x");
  EXPECT_EQ(preview.error, ProxyError::kStaleKeys);
  EXPECT_EQ(preview.retry_after, Seconds(1));
  EXPECT_EQ(preview.key, Key::kNotChecked);
  EXPECT_FALSE(preview.accepts_keys);
  EXPECT_EQ(Run("/open").outcome, Outcome::kSent);
}

TEST_F(Preview, InvalidHeaders_AreRefusedWithTheReasonOfTheCaller) {
  Publish();
  const PlacementPreview late =
      Run("/open", {{"X-Camphor-Deadline-Ms", "soon"}});
  EXPECT_EQ(late.error, ProxyError::kBadRequest);
  EXPECT_NE(late.fault.find("X-Camphor-Deadline-Ms"), std::string::npos);
  EXPECT_EQ(
      Run("/open", {{"Content-Length", "1"}, {"content-length", "2"}}).error,
      ProxyError::kBadRequest);
  routes_[2].host = "";
  Publish();
  EXPECT_EQ(Run("/once").error, ProxyError::kKeyMissing);
}

// Guards against a preview that shows another target than the next request
// gets, and against previews that change the random sequence.
TEST_F(Preview, BeforeEachChoice_ShowsItsTarget) {
  for (const char* id : {"t1", "t2", "t3", "t4", "t5"}) AddTarget("h2", id);
  Publish();
  std::map<std::string, int> chosen;
  for (int request = 0; request < 100; ++request) {
    PlacementPreview preview = Run("/x");
    for (int more = 0; more < 3; ++more) preview = Run("/x");
    ASSERT_EQ(preview.attempts.size(), 1U);
    const auto real = ChooseReal(*preview.route);
    ASSERT_TRUE(real);
    EXPECT_EQ(preview.attempts[0].placement, *real);
    EXPECT_TRUE(preview.attempts[0].draws.back().second);
    ++chosen[IdOf(*real)];
  }
  EXPECT_EQ(chosen.size(), 5U);
}

// Guards against a preview that counts, takes a token, or creates state for a
// target.
TEST_F(Preview, HundredPreviews_ChangeNoStateOfTheProxy) {
  pool_.cold_requests_per_second = 5;
  AddTarget("h1", "t1");
  AddTarget("h2", "t2");
  host_targets_["h1"][0].status = TargetStatus::kWarming;
  Publish();
  const std::string metrics = context_->metrics.Text();
  const TargetStats before = *context_->balancer.FindStats(TargetId("t1"));
  for (int preview = 0; preview < 100; ++preview) {
    Run("/x");
    Run("/none/of/this");
    Run("/x", {});
  }
  EXPECT_EQ(context_->metrics.Text(), metrics);
  const TargetStats& after = *context_->balancer.FindStats(TargetId("t1"));
  EXPECT_EQ(after.cold_tokens, before.cold_tokens);
  EXPECT_EQ(after.cold_refilled, before.cold_refilled);
  EXPECT_EQ(after.in_flight, 0U);
  EXPECT_TRUE(context_->targets->targets().empty());
  EXPECT_TRUE(context_->cold_retries.empty());
  EXPECT_TRUE(limiter_.Teams(now_).empty());
  EXPECT_EQ(context_->in_flight, 0U);
}

TEST_F(Preview, NewerRouting_IsShownAndNotTakenOver) {
  AddTarget("h2", "t1");
  Publish();
  const EffectiveRoutingPtr older = routing_;
  auto newer = std::make_shared<EffectiveRouting>(*older);
  newer->head.version = 8;
  newer->pools[0].groups[0].targets[0].info.id = TargetId("t9");
  routing_ = std::move(newer);
  const PlacementPreview preview = Run("/x");
  EXPECT_EQ(preview.routing->head.version, 8U);
  EXPECT_EQ(IdOf(preview.attempts.at(0).placement), "t9");
  EXPECT_TRUE(context_->balancer.FindStats(TargetId("t1")));
  EXPECT_FALSE(context_->balancer.FindStats(TargetId("t9")));
}

TEST_F(Preview, FreeSlotOnThisHost_RunsAtOnce) {
  AddTarget("h1", "t1");
  Publish();
  const PlacementPreview preview = Run("/x");
  EXPECT_EQ(preview.outcome, Outcome::kRuns);
  ASSERT_EQ(preview.targets.size(), 1U);
  EXPECT_EQ(preview.targets[0].local->slots, 2U);
  EXPECT_EQ(preview.targets[0].local->running, 0U);
}

TEST_F(Preview, SlotsInUse_Waits) {
  AddTarget("h1", "t1");
  Publish();
  Occupy("t1", 2);
  const PlacementPreview waits = Run("/x");
  EXPECT_EQ(waits.outcome, Outcome::kWaits);
  EXPECT_EQ(waits.targets.at(0).local->running, 2U);
  EXPECT_EQ(waits.targets.at(0).local->waiting, 0U);
}

// Guards against a preview that takes a place in the queue, or the place of a
// request that waits.
TEST_F(Preview, QueueIsFull_IsRefusedUnlessItIsMoreUrgentAndDisplacesNothing) {
  AddTarget("h1", "t1");
  Publish();
  Occupy("t1", 2);
  Occupy("t1", 1, Milliseconds(1000));
  const auto target = context_->targets->targets().at(TargetId("t1"));
  EXPECT_EQ(target->gate().waiting(), 1U);
  EXPECT_EQ(Run("/open").error, ProxyError::kFull);
  EXPECT_EQ(Run("/open", {{"X-Camphor-Deadline-Ms", "500"}}).outcome,
            Outcome::kWaits);
  EXPECT_EQ(target->gate().waiting(), 1U);
  EXPECT_EQ(target->gate().running(), 2U);
  EXPECT_EQ(Run("/open").error, ProxyError::kFull);
}

// The caller sees the refusal only if no other target takes the request.
TEST_F(Preview, TargetOfThisHostRefuses_NextAttemptIsShown) {
  pool_.queue_per_target = 0;
  AddTarget("h1", "t1");
  AddTarget("h2", "t2");
  Publish();
  Occupy("t1", 2);
  const PlacementPreview preview = Run("/x");
  ASSERT_EQ(preview.attempts.size(), 2U);
  EXPECT_EQ(preview.attempts[0].refusal, ProxyError::kFull);
  EXPECT_EQ(IdOf(preview.attempts[1].placement), "t2");
  EXPECT_EQ(preview.outcome, Outcome::kSent);
  EXPECT_FALSE(preview.error);
  EXPECT_EQ(context_->balancer.FindStats(TargetId("t1"))->full_until,
            MonoTime{});
}

TEST_F(Preview, OnlyTargetIsFull_IsRefusedAsNotRun) {
  pool_.queue_per_target = 0;
  AddTarget("h1", "t1");
  Publish();
  Occupy("t1", 2);
  const PlacementPreview preview = Run("/x");
  EXPECT_EQ(preview.outcome, Outcome::kRefused);
  EXPECT_EQ(preview.error, ProxyError::kFull);
  EXPECT_EQ(preview.retry_after, context_->options.limits.retry_after);
}

TEST_F(Preview, OnlyTargetIsCold_GetsTheTimeOfTheNextPlace) {
  pool_.cold_requests_per_second = 5;
  AddTarget("h1", "t1");
  host_targets_["h1"][0].status = TargetStatus::kWarming;
  Publish();
  const PlacementPreview preview = Run("/x");
  EXPECT_EQ(preview.error, ProxyError::kCold);
  EXPECT_TRUE(preview.retry_after);
  EXPECT_EQ(Run("/x").retry_after, preview.retry_after);
}

TEST_F(Preview, EjectedLeavingAndFullTargets_HaveTheirReasons) {
  for (const char* id : {"t1", "t2", "t3", "t4"}) AddTarget("h2", id);
  Publish();
  PowerOfTwoBalancer& balancer = context_->balancer;
  const RouteName route("keyed");
  const PoolName pool("p");
  const TargetId ejected("t1");
  for (int failure = 0; failure < 20; ++failure) {
    balancer.OnEnded({.route = &route, .pool = &pool, .target = &ejected},
                     RequestOutcome::kError, Microseconds(1000), now_);
  }
  balancer.OnLeaving(TargetId("t2"));
  balancer.OnSent(TargetId("t3"));
  balancer.OnSent(TargetId("t3"));
  const PlacementPreview preview = Run("/x");
  std::map<std::string, std::optional<TargetExclusion>> reasons;
  for (const auto& target : preview.targets)
    reasons[IdOf(target.candidate.placement)] = target.candidate.exclusion;
  EXPECT_EQ(reasons["t1"], TargetExclusion::kEjected);
  EXPECT_EQ(reasons["t2"], TargetExclusion::kLeaving);
  EXPECT_EQ(reasons["t3"], TargetExclusion::kFull);
  EXPECT_EQ(reasons["t4"], std::nullopt);
  EXPECT_EQ(IdOf(preview.attempts.at(0).placement), "t4");
  EXPECT_FALSE(preview.attempts[0].draws.back().second);
}

TEST_F(Preview, AllTargetsExcluded_IsRefusedWithNoTarget) {
  AddTarget("h2", "t1");
  AddTarget("h2", "t2");
  Publish();
  context_->balancer.OnLeaving(TargetId("t1"));
  context_->balancer.OnLeaving(TargetId("t2"));
  const PlacementPreview preview = Run("/x");
  EXPECT_EQ(preview.error, ProxyError::kNoTarget);
  EXPECT_TRUE(preview.attempts.empty());
  EXPECT_EQ(preview.targets.size(), 2U);
}

TEST_F(Preview, DomainOfTargetsEvacuated_GoesToTheOther) {
  AddTarget("h1", "t1");
  AddTarget("h2", "t2");
  evacuated_domains_ = {FailureDomain("d-h1")};
  Publish();
  const PlacementPreview preview = Run("/x");
  EXPECT_EQ(preview.targets.size(), 1U);
  EXPECT_EQ(IdOf(preview.attempts.at(0).placement), "t2");
}

TEST_F(Preview, PoisonRequest_IsRefusedAsOne) {
  AddTarget("h2", "t1");
  http::request_header<> header;
  header.method(http::verb::get);
  header.target("/x");
  const std::uint64_t fingerprint = RequestFingerprint(
      {.route = "keyed", .caller = "", .header = header, .body_prefix = ""});
  PoisonRecord record{.fingerprint = fingerprint};
  record.deaths.insert({WallTime(Milliseconds(998)), TargetId("t8")});
  record.deaths.insert({WallTime(Milliseconds(999)), TargetId("t9")});
  poison_[fingerprint] = record;
  Publish();
  EXPECT_EQ(Run("/x").error, ProxyError::kPoison);
  EXPECT_EQ(Run("/y").outcome, Outcome::kSent);
  // With a body, the fingerprint is not known.
  EXPECT_EQ(Run("/x", {{"T-Key", kKey}, {"Content-Length", "3"}}).outcome,
            Outcome::kSent);
}

TEST_F(Preview, DrainingHost_SaysSoAndRefusesWhatWouldOutlastIt) {
  AddTarget("h2", "t1");
  Publish();
  EXPECT_FALSE(Run("/x").draining);
  context_->stop_time = now_ + Milliseconds(1000);
  const PlacementPreview refused = Run("/x");
  EXPECT_TRUE(refused.draining);
  EXPECT_EQ(refused.error, ProxyError::kDraining);
  const PlacementPreview served =
      Run("/x", {{"T-Key", kKey}, {"X-Camphor-Deadline-Ms", "500"}});
  EXPECT_TRUE(served.draining);
  EXPECT_EQ(served.outcome, Outcome::kSent);
}

// Guards against an operator's call that waits for a thread that has ended.
TEST_F(Preview, ServerIsNotRunning_ReturnsFalse) {
  ProxyServer server({.caller_listen = {.address = "127.0.0.1"},
                      .forward_listen = {.address = "127.0.0.1"}});
  bool called = false;
  EXPECT_FALSE(
      server.Preview({}, [&](const PlacementPreview&) { called = true; }));
  EXPECT_FALSE(called);
}

}  // namespace
}  // namespace camphor
