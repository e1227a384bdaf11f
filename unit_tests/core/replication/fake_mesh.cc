#include "unit_tests/core/replication/fake_mesh.h"

#include <fmt/format.h>

#include <utility>

#include "core/config/config_codec.h"

namespace camphor {
namespace {

constexpr Milliseconds kTickPeriod{100};
constexpr Milliseconds kPlatformDelay{5};
constexpr Milliseconds kPollPeriod{1000};
constexpr Milliseconds kRarePollPeriod{300'000};
constexpr int kFirstPort = 1000;

}  // namespace

FakeMesh::FakeMesh(Options options)
    : options_(options), random_(options.seed), hosts_(options.hosts) {
  accepted_.emplace(0, ConfigSnapshot{});
  for (int host = 0; host < options_.hosts; ++host) Start(host);
}

void FakeMesh::Start(int index) {
  Host& host = hosts_[index];
  ++host.incarnation;
  host.frozen = false;
  host.deferred.clear();
  host.last_poll = MonoTime{};
  std::vector<Endpoint> seeds;
  for (int seed = 0; seed < std::min(3, options_.hosts); ++seed)
    seeds.push_back(GetEndpoint(seed));
  host.replicator = std::make_unique<Replicator>(Replicator::Options{
      .settings = options_.settings,
      .self = {.host = HostId(fmt::format("h{}", index)),
               .incarnation = host.incarnation,
               .domain =
                   FailureDomain(fmt::format("d{}", index % options_.domains)),
               .mesh = GetEndpoint(index)},
      .seeds = seeds,
      .random_seed = options_.seed * 1000 + static_cast<unsigned>(index),
      .send = [this, index](
                  const Endpoint& to,
                  const MeshMessage& message) { Send(index, to, message); },
      .config_changed =
          [this, index](const ConfigSnapshotPtr& snapshot) {
            Host& serving = hosts_[index];
            if (snapshot->head.version < serving.highest_served) ++reversions_;
            serving.highest_served =
                std::max(serving.highest_served, snapshot->head.version);
          },
      .hosts_changed = [] {},
      .rollout_changed = [](const RolloutRecord&) {},
      .poison_changed = [] {},
      .evidence = [](const EvidenceReport&) {},
      .fetch_snapshot =
          [this, index](const ConfigHead& head) {
            FetchSnapshot(index, head);
          }});
}

void FakeMesh::Kill(int host) { hosts_[host].replicator.reset(); }

ConfigHead FakeMesh::Accept(int via_host) {
  const ConfigVersion version = accepted_.rbegin()->first + 1;
  ConfigCodec codec;
  const auto snapshot =
      codec.Decode(fmt::format(R"({{"routes": [{{"name": "r", "pool": "p"}}],
                       "pools": [{{"name": "p", "version": "v{}"}}]}})",
                               version),
                   version);
  accepted_.emplace(version, *snapshot);
  if (via_host >= 0) at(via_host).OnPlatformHead(snapshot->head, now_);
  return snapshot->head;
}

void FakeMesh::Run(Milliseconds time) {
  RunUntil([] { return false; }, time);
}

bool FakeMesh::RunUntil(const std::function<bool()>& condition,
                        Milliseconds limit) {
  const MonoTime end = now_ + limit;
  while (now_ < end) {
    if (condition()) return true;
    now_ = next_tick_;
    while (!events_.empty() && events_.top().time <= next_tick_) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.time;
      event.run();
    }
    now_ = next_tick_;
    TickAll();
    next_tick_ += kTickPeriod;
  }
  return condition();
}

ConfigVersion FakeMesh::served(int host) const {
  const ConfigSnapshotPtr& snapshot = hosts_[host].replicator->snapshot();
  return snapshot ? snapshot->head.version : 0;
}

bool FakeMesh::AllServeNewest() const {
  for (int host = 0; host < options_.hosts; ++host) {
    const bool current =
        !alive(host) || (hosts_[host].replicator->ready() &&
                         served(host) == accepted_.rbegin()->first);
    if (!current) return false;
  }
  return true;
}

std::string FakeMesh::DescribeStaleHosts() const {
  std::string text;
  for (int host = 0; host < options_.hosts; ++host) {
    if (!alive(host) || served(host) == accepted_.rbegin()->first) continue;
    text += fmt::format("h{}: {}\n", host, hosts_[host].replicator->DumpJson());
  }
  return text;
}

bool FakeMesh::AllObserve(int subject, HostStatus status) const {
  const HostId id(fmt::format("h{}", subject));
  for (int host = 0; host < options_.hosts; ++host) {
    if (!alive(host)) continue;
    const auto& records = hosts_[host].replicator->hosts();
    const auto found = records.find(id);
    if (found == records.end() || found->second.status != status) return false;
  }
  return true;
}

bool FakeMesh::AllAgree() const {
  const std::map<HostId, HostRecord>* first = nullptr;
  for (const Host& host : hosts_) {
    if (!host.replicator) continue;
    if (first != nullptr && *first != host.replicator->hosts()) return false;
    first = &host.replicator->hosts();
  }
  return true;
}

Endpoint FakeMesh::GetEndpoint(int host) const {
  return {.address = "127.0.0.1",
          .port = static_cast<std::uint16_t>(kFirstPort + host)};
}

void FakeMesh::Inject(int from, int to, const MeshMessage& message) {
  at(to).OnMessage(GetEndpoint(from), message, now_);
}

void FakeMesh::Send(int from, const Endpoint& to, const MeshMessage& message) {
  const int target = to.port - kFirstPort;
  ++messages_;
  if (!alive(target)) {
    Schedule(now_ + Delay(), [this, from, to] {
      RunOnHost(from,
                [this, from, to] { at(from).OnPeerState(to, false, now_); });
    });
    return;
  }
  if (Chance(options_.loss)) return;
  const int copies = Chance(options_.repeat) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy)
    Schedule(now_ + Delay(),
             [this, from, target, message] { Deliver(from, target, message); });
}

void FakeMesh::Deliver(int from, int to, const MeshMessage& message) {
  if (partition_ && partition_(from, to)) return;
  RunOnHost(to, [this, from, to, message] {
    at(to).OnMessage(GetEndpoint(from), message, now_);
  });
}

void FakeMesh::Schedule(MonoTime time, std::function<void()> run) {
  events_.push({.time = time, .order = ++order_, .run = std::move(run)});
}

void FakeMesh::RunOnHost(int host, std::function<void()> run) {
  if (!alive(host)) return;
  if (hosts_[host].frozen) {
    hosts_[host].deferred.push_back(std::move(run));
    return;
  }
  run();
}

void FakeMesh::Poll(int index) {
  Host& host = hosts_[index];
  const bool polls_often = host.replicator->is_platform_poller();
  if (now_ < host.last_poll + (polls_often ? kPollPeriod : kRarePollPeriod))
    return;
  host.last_poll = now_;
  if (platform_out_) return;
  const ConfigHead head = accepted_.rbegin()->second.head;
  const std::uint64_t incarnation = host.incarnation;
  Schedule(now_ + kPlatformDelay, [this, index, head, incarnation] {
    if (hosts_[index].incarnation != incarnation) return;
    RunOnHost(index,
              [this, index, head] { at(index).OnPlatformHead(head, now_); });
  });
}

void FakeMesh::FetchSnapshot(int index, const ConfigHead& head) {
  if (platform_out_) return;
  const ConfigSnapshot snapshot = accepted_.at(head.version);
  Schedule(now_ + kPlatformDelay, [this, index, snapshot] {
    RunOnHost(index, [this, index, snapshot] {
      at(index).OnPlatformSnapshot(snapshot, now_);
    });
  });
}

void FakeMesh::TickAll() {
  for (int index = 0; index < options_.hosts; ++index) {
    Host& host = hosts_[index];
    if (!host.replicator || host.frozen) continue;
    for (auto& run : std::exchange(host.deferred, {})) run();
    host.replicator->Tick(now_,
                          WallTime(std::chrono::duration_cast<Milliseconds>(
                              now_.time_since_epoch())));
    Poll(index);
  }
}

bool FakeMesh::Chance(double probability) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

Milliseconds FakeMesh::Delay() {
  std::uniform_int_distribution<std::int64_t> draw(
      options_.shortest_delay.count(), options_.longest_delay.count());
  return Milliseconds(draw(random_));
}

}  // namespace camphor
