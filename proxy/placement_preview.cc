#include "proxy/placement_preview.h"

#include <algorithm>
#include <string_view>

#include "core/config/key_digest.h"
#include "proxy/attempt_rules.h"
#include "proxy/header_names.h"
#include "proxy/header_rules.h"
#include "proxy/local_targets.h"
#include "proxy/proxy_context.h"
#include "proxy/request_check.h"

namespace camphor {
namespace {

beast::string_view View(std::string_view text) {
  return {text.data(), text.size()};
}

http::request_header<> MakeHeader(const PreviewRequest& request) {
  http::request_header<> header;
  header.version(11);
  header.method_string(View(request.method));
  header.target(View(request.path));
  header.set(http::field::host, View(request.host));
  for (const auto& [name, value] : request.headers)
    header.insert(View(name), View(value));
  return header;
}

/// Returns true if a request with this header has no body.
bool HasNoBody(const http::request_header<>& header) {
  const std::string_view length = HeaderValue(header, "Content-Length");
  return length.find_first_not_of('0') == std::string_view::npos &&
         header.count(http::field::transfer_encoding) == 0;
}

/// Determines the placement of one request.
class Previewer {
 public:
  Previewer(const ProxyContext& context, const PreviewRequest& request,
            MonoTime now)
      : context_(context), header_(MakeHeader(request)) {
    preview_.now = now;
  }

  PlacementPreview Run() {
    const ProxyServer::Options& options = context_.options;
    preview_.draining =
        context_.draining || context_.stop_time != MonoTime::max();
    // In the order of CallerSession::Examine.
    preview_.accepts_keys = !options.accepts_keys || options.accepts_keys();
    if (options.routing) preview_.routing = options.routing();
    const std::function<std::optional<Milliseconds>(const TeamSpec&)> admit =
        [this](const TeamSpec& team) { return Admit(team); };
    const RequestCheck check =
        CheckRequest(context_, {.header = header_,
                                .routing = preview_.routing,
                                .accepts_keys = preview_.accepts_keys,
                                .arrival = preview_.now,
                                .admit = admit});
    preview_.route = check.route;
    preview_.team = check.team;
    if (check.route && check.error != ProxyError::kStaleKeys) DescribeKey();
    // Shows the quota also if the request is refused before it counts.
    if (check.team && !rule().is_public && !preview_.quota) Admit(*check.team);
    if (check.error) {
      preview_.fault = check.fault;
      Refuse(*check.error,
             check.retry_after.value_or(options.limits.retry_after));
    } else {
      Place(check);
    }
    return std::move(preview_);
  }

 private:
  const RouteRule& rule() const {
    return *preview_.routing->routes[*preview_.route].rule;
  }

  const RoutedTarget& TargetAt(const Placement& placement) const {
    return preview_.routing->pools[placement.pool]
        .groups[placement.group]
        .targets[placement.target];
  }

  std::optional<Milliseconds> Admit(const TeamSpec& team) {
    if (!context_.options.preview_admit) return std::nullopt;
    preview_.quota = context_.options.preview_admit(team);
    return preview_.quota ? preview_.quota->retry_after : std::nullopt;
  }

  void DescribeKey() {
    using Key = PlacementPreview::Key;
    if (!preview_.routing->teams) {
      preview_.key = Key::kNotUsed;
      return;
    }
    const std::string& name = context_.options.vocabulary.team_key;
    const std::string_view key = HeaderValue(header_, name);
    if (key.empty()) {
      preview_.key = Key::kMissing;
    } else if (header_.count(name) > 1) {
      preview_.key = Key::kRepeated;
    } else {
      preview_.key = preview_.team ? Key::kAccepted : Key::kUnknown;
      preview_.key_digest = ShownKeyDigest(Digest::Of(key));
    }
  }

  void Refuse(ProxyError error, Milliseconds retry_after) {
    preview_.outcome = PlacementPreview::Outcome::kRefused;
    preview_.error = error;
    if (HasRetryAfter(GetErrorTraits(error)))
      preview_.retry_after = retry_after;
  }

  // As CallerRequest::Place and what follows it, on a copy of the balancer.
  void Place(const RequestCheck& check) {
    const std::uint32_t route = *check.route;
    PowerOfTwoBalancer balancer(context_.balancer);
    balancer.SetRouting(preview_.routing, preview_.now);
    const std::uint32_t share = balancer.ChooseShare(route);
    const RoutedRule& routed = preview_.routing->routes[route];
    preview_.share = share;
    preview_.pool =
        share < routed.split.size() ? routed.split[share].pool : routed.pool;
    const MonoTime deadline = preview_.now + check.time_limit;
    urgency_ = MakeUrgency(
        rule(), check.team.get(),
        {.arrival = preview_.now, .deadline = deadline, .now = preview_.now});
    DescribeTargets(balancer, share);

    std::vector<Placement> tried;
    std::uint32_t reached_no_target = 0;
    ProxyError error = ProxyError::kNoTarget;
    while (true) {
      std::vector<ChoiceDraw> draws;
      const std::optional<Placement> placement =
          balancer.Choose(route, share, tried, preview_.now, &draws);
      if (!placement) break;
      tried.push_back(*placement);
      PlacementPreview::Attempt& attempt = preview_.attempts.emplace_back();
      attempt.placement = *placement;
      attempt.draws = std::move(draws);
      attempt.refusal = Start(*placement);
      if (!attempt.refusal) return;
      error = *attempt.refusal;
      if (!IsRetryableOnAnotherTarget(error)) break;
      // The balancer learns of the refusal before the next attempt.
      const TargetId& target = TargetAt(*placement).info.id;
      balancer.OnSent(target);
      balancer.OnEnded(
          {.route = &rule().name,
           .pool = &preview_.routing->pools[placement->pool].spec.name,
           .target = &target},
          ToRequestOutcome(error), Microseconds(0), preview_.now);
      CountFreeRefusal(error, reached_no_target);
      if (tried.size() - reached_no_target >=
          MaxAttempts(rule(), context_.options.limits))
        break;
    }
    Refuse(error, std::max(error == ProxyError::kCold
                               ? ColdRetryAfter(balancer, route, share)
                               : Milliseconds(0),
                           context_.options.limits.retry_after));
  }

  // Returns why the request is refused before it leaves this host or starts on
  // one of its targets.
  std::optional<ProxyError> Start(const Placement& placement) {
    using Outcome = PlacementPreview::Outcome;
    if (HasNoBody(header_) &&
        preview_.routing->poison.contains(
            RequestFingerprint({.route = rule().name.value(),
                                .caller = context_.options.caller_pool,
                                .header = header_,
                                .body_prefix = {}})))
      return ProxyError::kPoison;
    if (!TargetAt(placement).local) {
      preview_.outcome = Outcome::kSent;
      return std::nullopt;
    }
    const RunPreview run = PreviewRun(placement);
    preview_.outcome = run.waits ? Outcome::kWaits : Outcome::kRuns;
    return run.refusal;
  }

  RunPreview PreviewRun(const Placement& placement) const {
    return context_.targets->PreviewRun(*preview_.routing,
                                        TargetAt(placement).info.id, urgency_,
                                        rule().at_most_once, preview_.now);
  }

  void DescribeTargets(const PowerOfTwoBalancer& balancer,
                       std::uint32_t share) {
    for (const PowerOfTwoBalancer::Candidate& candidate :
         balancer.Candidates(*preview_.route, share, preview_.now)) {
      PlacementPreview::Target& target = preview_.targets.emplace_back();
      target.candidate = candidate;
      if (TargetAt(target.candidate.placement).local)
        target.local = PreviewRun(target.candidate.placement);
    }
  }

  Milliseconds ColdRetryAfter(const PowerOfTwoBalancer& balancer,
                              std::uint32_t route, std::uint32_t share) const {
    const double per_second = balancer.ColdShare(route, share);
    if (per_second <= 0) return Milliseconds(0);
    const auto known = context_.cold_retries.find(
        preview_.routing->pools[*preview_.pool].spec.name);
    RetrySchedule schedule =
        known == context_.cold_retries.end() ? RetrySchedule() : known->second;
    return schedule.Next(per_second, preview_.now);
  }

  const ProxyContext& context_;
  const http::request_header<> header_;
  PlacementPreview preview_;
  Urgency urgency_{};
};

}  // namespace

PlacementPreview PreviewPlacement(const ProxyContext& context,
                                  const PreviewRequest& request, MonoTime now) {
  return Previewer(context, request, now).Run();
}

}  // namespace camphor
