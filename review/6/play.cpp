// Case 6: requests wait at the node of a slow server while that server leaves.
#include <players.hpp>

using namespace players;

namespace {

constexpr int kDrainMs = 2500;     // bounds.drainMs
constexpr int kDeadlineMs = 5000;  // of the clients, and timeoutMs of the route
const std::string kBody(24 * 1024, 'x');
constexpr int kWorkMs = 230;         // 140 ms at a server of speed 0.6
constexpr double kSlowFactor = 8.5;  // srv_slow, at most 12
constexpr int kPerSecond = 20;       // its usual share of the site's uploads
constexpr int kSlowForMs = 1350;     // until the server leaves
// The server continues to serve for drainMs after the acknowledgement and a
// little longer.
constexpr int kLittleLongerMs = 700;

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) return 2;
  const bool trouble = Trouble();
  Record::Get().Open(argv[2]);
  REC("case 6, %s", trouble ? "with the disruption" : "without it");
  Deployment deployment(argv[1], argv[3]);
  if (!deployment.StartStore()) return 2;
  const bool written = WriteOperatorRow(
      deployment.store(), "config",
      R"({"version":7,"services":[{"name":"front","healthPath":"/health",)"
      R"("maxConnections":430},{"name":"orders","healthPath":"/health",)"
      R"("maxConnections":430}],"limits":{"maxHeaderBytes":16384,)"
      R"("maxBodyBytes":67108864,"headerTimeoutMs":3000,)"
      R"("idleTimeoutMs":15000},"virtualHosts":[{"host":"lists.example",)"
      R"("pathRules":[{"name":"upload","prefix":"/upload/",)"
      R"("kind":"upload","timeoutMs":5000,"targetLatencyMs":1500,)"
      R"("priority":1,"pool":"orders","maxAttempts":2}]}]})");
  if (!written) return 2;

  Host& front = deployment.AddHost("za", "front", deployment.store());
  Host& orders = deployment.AddHost("zb", "orders", deployment.store());
  Host& other = deployment.AddHost("zc", "front", deployment.store());
  for (Host* host : {&front, &orders, &other}) deployment.StartHost(*host);
  for (Host* host : {&front, &orders, &other})
    if (!deployment.AwaitReady(*host, 15000)) return 2;

  std::atomic<bool> slow{false};
  Server server({.id = "i-7f3a91c2",
                 .service = "orders",
                 .zone = "zb",
                 .address = orders.app,
                 .control = orders.control,
                 .slots = 9,
                 .work_ms = [&slow](const Message&) -> std::int64_t {
                   return static_cast<std::int64_t>(slow ? kWorkMs * kSlowFactor
                                                         : kWorkMs);
                 }});
  if (!server.Start()) return 2;

  // Calm traffic, for longer than contactMs.
  int served = 0;
  for (int i = 0; i < 20; ++i) {
    served += Send(front.outbound, "POST", "lists.example", "/upload/calm",
                   kDeadlineMs, kBody)
                  .status == 200;
    Sleep(80);
  }
  Sleep(1500);
  if (served < 10) return 2;

  // The server turns slow under its usual traffic; then it leaves.
  slow = true;
  std::mutex mutex;
  std::vector<Outcome> outcomes;
  std::vector<std::thread> clients;
  std::int64_t acked = -1;
  std::thread leaving([&] {
    Sleep(kSlowForMs);
    if (!trouble) return;
    acked = server.ReportDraining();
    SleepUntil(acked + kDrainMs + kLittleLongerMs);
    server.Deregister();
    server.Exit();
  });
  const std::int64_t begin = NowMs();
  for (int i = 0; i < kPerSecond * (kSlowForMs + 500) / 1000; ++i) {
    SleepUntil(begin + 1000 * i / kPerSecond);
    clients.emplace_back([&, i] {
      const Address& to = i % 2 == 0 ? front.outbound : other.outbound;
      const Outcome outcome =
          Send(to, "POST", "lists.example", "/upload/" + std::to_string(i),
               kDeadlineMs, kBody);
      const std::lock_guard lock(mutex);
      outcomes.push_back(outcome);
    });
  }
  for (std::thread& client : clients) client.join();
  leaving.join();

  int late = 0;
  int late_cut = 0;
  for (const Server::Arrival& arrival : server.arrivals()) {
    if (acked < 0 || arrival.at <= acked + kDrainMs) continue;
    ++late;
    const bool cut = arrival.ran && arrival.end.starts_with("cut");
    late_cut += cut;
    REC("LATE: %s reaches the server %lld ms after the acknowledgement: %s",
        arrival.attempt.c_str(), static_cast<long long>(arrival.at - acked),
        arrival.end.c_str());
  }
  std::map<int, int> statuses;
  for (const Outcome& outcome : outcomes) ++statuses[outcome.status];
  for (const auto& [status, count] : statuses)
    REC("while the server was slow, %d clients got %d", count, status);
  REC("%d requests reached the server later than drainMs after the "
      "acknowledgement; %d of them ran and were cut off by its end",
      late, late_cut);
  deployment.Stop();
  std::printf("late %d, cut %d\n", late, late_cut);
  return late > 0 ? 1 : 0;
}
