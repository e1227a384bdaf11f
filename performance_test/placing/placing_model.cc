#include "performance_test/placing/placing_model.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numbers>
#include <string>
#include <utility>

namespace camphor {
namespace {

constexpr MonoTime kStart{Seconds(1000)};
constexpr Milliseconds kFastFailure{5};

// Step in which the bound is integrated.
constexpr Milliseconds kBoundStep{100};

Microseconds FromSeconds(double seconds) {
  return Microseconds(static_cast<std::int64_t>(seconds * 1e6));
}

PoolName Pool() { return PoolName("p"); }

RouteName RouteOf(std::uint32_t kind) {
  return RouteName("kind-" + std::to_string(kind));
}

FailureDomain DomainName(std::uint32_t domain) {
  return FailureDomain("domain-" + std::to_string(domain));
}

std::string TargetName(std::uint32_t target) {
  // Padded, since targets are sorted by id.
  const std::string number = std::to_string(target);
  return "t-" + std::string(4 - number.size(), '0') + number;
}

}  // namespace

PlacingModel::PlacingModel(Options options)
    : options_(std::move(options)),
      random_(options_.seed),
      service_random_(options_.seed + 1),
      targets_(options_.speeds.size()),
      removed_(options_.speeds.size()),
      seconds_(static_cast<std::size_t>(options_.duration.count()) + 1),
      now_(kStart) {
  for (std::size_t target = 0; target < targets_.size(); ++target) {
    targets_[target].speed = options_.speeds[target];
    targets_[target].limiter =
        std::make_unique<ConcurrencyLimiter>(ConcurrencyLimiter::Options{
            .slots = options_.slots, .queue = options_.queue});
  }
  full_capacity_ = CapacityPerS();
  for (std::uint32_t host = 0; host < options_.hosts; ++host) {
    hosts_.push_back(
        std::make_unique<PowerOfTwoBalancer>(PowerOfTwoBalancer::Options{
            .domain = DomainName(host % options_.domains),
            .random_seed = options_.seed * 1000 + host}));
  }
  SetRoutings();
}

void PlacingModel::At(Milliseconds time, std::function<void()> change) {
  Schedule(kStart + time, std::move(change));
}

void PlacingModel::Restart(std::uint32_t target) {
  ++targets_[target].run;
  targets_[target].limiter =
      std::make_unique<ConcurrencyLimiter>(ConcurrencyLimiter::Options{
          .slots = options_.slots, .queue = options_.queue});
  for (std::uint64_t id = 0; id < requests_.size(); ++id) {
    if (requests_[id].at_target && requests_[id].target == target)
      ReplyFromTarget(id, RequestOutcome::kError);
  }
}

void PlacingModel::Remove(std::uint32_t target) {
  Restart(target);
  removed_[target] = true;
  targets_[target].up = false;
  SetRoutings();
}

PlacingModel::Counts PlacingModel::Run() {
  for (std::uint32_t domain = 0; domain < options_.domains; ++domain)
    ScheduleArrival(domain);
  const MonoTime end = kStart + options_.duration;
  for (MonoTime time = kStart + options_.warm_up; time < end;
       time += kBoundStep) {
    Schedule(time, [this] {
      double wanted = 0;
      for (std::uint32_t domain = 0; domain < options_.domains; ++domain)
        wanted += DemandPerS(domain, now_);
      wanted_sum_ += wanted;
      served_sum_ += std::min(wanted, CapacityPerS());
    });
  }
  while (!events_.empty()) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.time;
    event.run();
  }
  return InSeconds(static_cast<std::size_t>(options_.warm_up.count()),
                   seconds_.size());
}

PlacingModel::Counts PlacingModel::InSeconds(std::size_t from,
                                             std::size_t to) const {
  Counts sum;
  for (std::size_t second = from; second < std::min(to, seconds_.size());
       ++second) {
    const Counts& counts = seconds_[second];
    sum.requests += counts.requests;
    sum.in_time += counts.in_time;
    sum.late += counts.late;
    sum.refused += counts.refused;
    sum.failed += counts.failed;
    sum.attempts += counts.attempts;
    sum.refusals += counts.refusals;
    sum.crossed += counts.crossed;
    sum.late_refusals += counts.late_refusals;
  }
  return sum;
}

double PlacingModel::Bound() const {
  return wanted_sum_ == 0 ? 1 : served_sum_ / wanted_sum_;
}

double PlacingModel::BusiestShare() const {
  std::uint64_t sum = 0;
  std::uint64_t busiest = 0;
  for (const Target& target : targets_) {
    sum += target.arrivals;
    busiest = std::max(busiest, target.arrivals);
  }
  return sum == 0 ? 0
                  : static_cast<double>(busiest) *
                        static_cast<double>(targets_.size()) /
                        static_cast<double>(sum);
}

void PlacingModel::Schedule(MonoTime time, std::function<void()> run) {
  events_.push({.time = time, .order = order_++, .run = std::move(run)});
}

void PlacingModel::SetRoutings() {
  EffectiveRouting routing;
  for (std::uint32_t kind = 0; kind < options_.kinds.size(); ++kind) {
    routing.routes.push_back(
        {.rule = std::make_shared<const RouteRule>(RouteRule{
             .name = RouteOf(kind), .target_latency = options_.objective})});
  }
  PoolRouting pool{.spec = {.name = Pool()}};
  pool.spec.slots_per_target = options_.slots;
  pool.spec.queue_per_target = options_.queue;
  VersionGroup group{.version = TargetVersion("v1"), .share_ppm = 1'000'000};
  for (std::uint32_t target = 0; target < targets_.size(); ++target) {
    if (removed_[target]) continue;
    group.targets.push_back(
        {.info = {.id = TargetId(TargetName(target)), .slots = options_.slots},
         .domain = DomainName(target % options_.domains)});
  }
  pool.groups.push_back(std::move(group));
  routing.pools.push_back(std::move(pool));
  routing_ = std::make_shared<const EffectiveRouting>(std::move(routing));
  for (const auto& host : hosts_) host->SetRouting(routing_, now_);
}

double PlacingModel::MeanWorkS() const {
  double work = 0;
  double shares = 0;
  for (const Kind& kind : options_.kinds) {
    work += std::chrono::duration<double>(kind.work).count() * kind.share;
    shares += kind.share;
  }
  return work / shares;
}

double PlacingModel::CapacityPerS() const {
  double speed = 0;
  for (const Target& target : targets_) {
    if (target.up && !target.fails_fast) speed += target.speed;
  }
  return speed * options_.slots / MeanWorkS();
}

double PlacingModel::DemandPerS(std::uint32_t domain, MonoTime time) const {
  const double periods = std::chrono::duration<double>(time - kStart) /
                         std::chrono::duration<double>(options_.wave_period);
  const double phase = periods + static_cast<double>(domain) / options_.domains;
  const double level =
      1 + options_.wave * std::sin(2 * std::numbers::pi * phase);
  return demand_factor_ * options_.load * full_capacity_ / options_.domains *
         level;
}

void PlacingModel::ScheduleArrival(std::uint32_t domain) {
  // While the callers are stopped, the demand is looked at ten times a second.
  const double per_s = DemandPerS(domain, now_);
  if (per_s <= 0) {
    const MonoTime next = now_ + Milliseconds(100);
    if (next < kStart + options_.duration)
      Schedule(next, [this, domain] { ScheduleArrival(domain); });
    return;
  }
  const double wait = std::exponential_distribution<double>(per_s)(random_);
  const MonoTime next = now_ + FromSeconds(wait);
  if (next >= kStart + options_.duration) return;
  Schedule(next, [this, domain] { Arrive(domain); });
}

void PlacingModel::Arrive(std::uint32_t domain) {
  ScheduleArrival(domain);
  const std::uint32_t in_domain = options_.hosts / options_.domains;
  Request request{.arrival = now_};
  request.host = domain + options_.domains *
                              static_cast<std::uint32_t>(random_() % in_domain);
  double shares = 0;
  for (const Kind& kind : options_.kinds) shares += kind.share;
  double draw = std::uniform_real_distribution<double>(0, shares)(random_);
  while (request.kind + 1 < options_.kinds.size() &&
         draw >= options_.kinds[request.kind].share) {
    draw -= options_.kinds[request.kind].share;
    ++request.kind;
  }
  ++CountsOf(request).requests;
  requests_.push_back(std::move(request));
  Place(requests_.size() - 1);
}

void PlacingModel::Place(std::uint64_t id) {
  Request& request = requests_[id];
  if (request.routing != routing_) {
    request.routing = routing_;
    request.tried.clear();
  }
  const std::optional<Placement> placement =
      hosts_[request.host]->Choose(request.kind, request.tried, now_);
  if (!placement) return End(id, &Counts::refused);
  const RoutedTarget& target =
      routing_->pools[0].groups[0].targets[placement->target];
  hosts_[request.host]->OnSent(target.info.id);
  request.tried.push_back(*placement);
  ++request.attempts;
  request.target =
      static_cast<std::uint32_t>(std::stoul(target.info.id.value().substr(2)));
  request.sent = now_;
  request.started = false;
  ++CountsOf(request).attempts;
  if (request.target % options_.domains != request.host % options_.domains)
    ++CountsOf(request).crossed;
  Schedule(now_ + Hop(request), [this, id] { Reach(id); });
}

void PlacingModel::Reach(std::uint64_t id) {
  Request& request = requests_[id];
  Target& target = targets_[request.target];
  if (now_ >= kStart + options_.warm_up) ++target.arrivals;
  request.at_target = true;
  if (!target.up) return ReplyFromTarget(id, RequestOutcome::kRefused);
  const auto result =
      target.limiter->Acquire(id, MakeUrgency(request, now_), now_);
  if (target.limiter->displaced())
    ReplyFromTarget(*target.limiter->displaced(), RequestOutcome::kRefused);
  switch (result) {
    case ConcurrencyLimiter::AdmitResult::kAdmitted:
      return Start(id);
    case ConcurrencyLimiter::AdmitResult::kQueued: {
      const std::uint64_t run = target.run;
      const std::uint32_t attempt = request.attempts;
      Schedule(request.arrival + options_.deadline, [this, id, run, attempt] {
        Request& waiting = requests_[id];
        Target& owner = targets_[waiting.target];
        if (waiting.done || waiting.started || owner.run != run ||
            waiting.attempts != attempt)
          return;
        if (owner.limiter->Cancel(id))
          ReplyFromTarget(id, RequestOutcome::kRefused);
      });
      return;
    }
    case ConcurrencyLimiter::AdmitResult::kFull:
    case ConcurrencyLimiter::AdmitResult::kTooLate:
      return ReplyFromTarget(id, RequestOutcome::kRefused);
  }
}

void PlacingModel::Start(std::uint64_t id) {
  Request& request = requests_[id];
  Target& target = targets_[request.target];
  request.started = true;
  const double work =
      std::chrono::duration<double>(options_.kinds[request.kind].work).count();
  // The mean of the log-normal distribution is 1.
  const double noise = std::lognormal_distribution<double>(
      -options_.noise * options_.noise / 2, options_.noise)(service_random_);
  double service_s = work * noise / target.speed;
  const bool slows_down = request.target % 3 == 1;
  if (slows_down && target.limiter->running() * 4 > options_.slots * 3)
    service_s *= 1 + options_.full_slowdown;
  if (target.fails_fast)
    service_s = std::chrono::duration<double>(kFastFailure).count();
  request.service = FromSeconds(service_s);
  request.outcome =
      target.fails_fast ? RequestOutcome::kError : RequestOutcome::kSuccess;
  const MonoTime deadline = request.arrival + options_.deadline;
  if (now_ + request.service > deadline) {
    request.service = std::chrono::duration_cast<Microseconds>(deadline - now_);
    request.outcome = RequestOutcome::kTimeout;
  }
  const std::uint64_t run = target.run;
  Schedule(now_ + request.service, [this, id, run] {
    if (targets_[requests_[id].target].run == run) Finish(id);
  });
}

void PlacingModel::Finish(std::uint64_t id) {
  Request& request = requests_[id];
  Target& target = targets_[request.target];
  const auto released = target.limiter->Release(
      ConcurrencyLimiter::ServiceSample{
          .work_class = request.kind,
          .took = request.service,
          .failed = request.outcome != RequestOutcome::kSuccess},
      now_);
  for (const std::uint64_t expired : released.expired)
    ReplyFromTarget(expired, RequestOutcome::kRefused);
  if (released.granted) Start(*released.granted);
  ReplyFromTarget(id, request.outcome);
}

void PlacingModel::ReplyFromTarget(std::uint64_t id, RequestOutcome outcome) {
  Request& request = requests_[id];
  request.at_target = false;
  request.outcome = outcome;
  request.report.reset();
  if (options_.reports && targets_[request.target].up)
    request.report = targets_[request.target].limiter->Report(request.kind);
  Schedule(now_ + Hop(request), [this, id] { Receive(id); });
}

void PlacingModel::Receive(std::uint64_t id) {
  Request& request = requests_[id];
  PowerOfTwoBalancer& host = *hosts_[request.host];
  const RouteName route = RouteOf(request.kind);
  const PoolName pool = Pool();
  const TargetId target(TargetName(request.target));
  if (request.report) host.OnReport(route, target, *request.report, now_);
  host.OnEnded(
      {.route = &route, .pool = &pool, .target = &target}, request.outcome,
      std::chrono::duration_cast<Microseconds>(now_ - request.sent), now_);
  switch (request.outcome) {
    case RequestOutcome::kSuccess: {
      const bool in_time = now_ - request.arrival <= options_.objective;
      return End(id, in_time ? &Counts::in_time : &Counts::late);
    }
    case RequestOutcome::kRefused:
      ++CountsOf(request).refusals;
      if (request.attempts < options_.attempts &&
          now_ < request.arrival + options_.deadline)
        return Place(id);
      return End(id, &Counts::refused);
    default:
      return End(id, &Counts::failed);
  }
}

void PlacingModel::End(std::uint64_t id, std::uint64_t Counts::*result) {
  Request& request = requests_[id];
  request.done = true;
  Counts& counts = CountsOf(request);
  ++(counts.*result);
  if (result == &Counts::refused && now_ - request.arrival > options_.objective)
    ++counts.late_refusals;
}

PlacingModel::Counts& PlacingModel::CountsOf(const Request& request) {
  const auto second =
      std::chrono::duration_cast<Seconds>(request.arrival - kStart).count();
  return seconds_[static_cast<std::size_t>(second)];
}

Microseconds PlacingModel::Hop(const Request& request) const {
  const bool same =
      request.target % options_.domains == request.host % options_.domains;
  return same ? options_.hop : options_.domain_hop;
}

Urgency PlacingModel::MakeUrgency(const Request& request, MonoTime now) const {
  // As CallerRequest::MakeUrgency and ForwardSession do.
  const MonoTime deadline = request.arrival + options_.deadline;
  const MonoTime wanted = request.arrival + options_.objective;
  return {.soft_deadline = wanted > now ? wanted : deadline,
          .deadline = deadline,
          .work_class = request.kind};
}

}  // namespace camphor
