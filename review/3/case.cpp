// A request that crashes every server that runs it comes again and again.
#include "rig.hpp"

using namespace rig;

int main() {
  Deployment deployment;
  std::vector<std::unique_ptr<Server>> servers;
  std::atomic<int> crashes{0};
  std::atomic<int> poison_runs{0};
  std::atomic<std::int64_t> third_crash{0};
  std::atomic<int> late_runs{0};
  constexpr std::int64_t kContactMs = 3000;

  const auto run = [&](Server& server,
                       const Received& request) -> std::optional<std::string> {
    if (request.message.target() != "/leny950/crash") {
      Sleep(20);
      return Server::Success(request, "fine");
    }
    ++poison_runs;
    if (third_crash > 0 && Now() > third_crash + kContactMs) ++late_runs;
    if (!Trouble()) return Server::Success(request, "fine");
    if (++crashes == 3) third_crash = Now();
    server.Crash();
    // The platform starts the server again after some seconds, as a new
    // lifetime.
    std::thread([&server] {
      Sleep(2000);
      if (!server.Start()) Record("a server can't start again");
    }).detach();
    return std::nullopt;
  };

  for (const char* zone : {"tvm", "kochi", "kozhikode"}) {
    deployment.AddHost(zone, "huvo11a");
    deployment.AddHost(zone, "wuno96b");
  }
  for (const auto& host : deployment.hosts) {
    servers.push_back(
        std::make_unique<Server>(*host, host->service, "v1", run));
    deployment.Start(*host);
  }
  deployment.store.Put("op", "config",
                       Config(7, {"huvo11a", "wuno96b"},
                              {{.host = "hulo84.example",
                                .prefix = "/leny950/",
                                .service = "huvo11a",
                                .kind = "non_idempotent",
                                .timeout_ms = 600,
                                .attempts = 2}}));
  if (!deployment.AwaitReady(20000)) Finish(2, "the machines are not ready");
  for (const auto& server : servers)
    if (!server->Start()) Finish(2, "a server can't start");
  Sleep(5000);

  // Ordinary requests from all machines, all the while.
  std::atomic<bool> stop{false};
  std::atomic<int> good{0}, sent{0};
  std::vector<std::thread> callers;
  for (const auto& host : deployment.hosts)
    callers.emplace_back([&, machine = host.get()] {
      while (!stop) {
        ++sent;
        if (Call(machine->outbound,
                 Request("POST", "/leny950/2f", "hulo84.example", NewId(), 600,
                         "order"),
                 1100)
                .status() == 200)
          ++good;
        Sleep(200);
      }
    });
  Sleep(2000);
  if (good == 0) Finish(2, "no ordinary request was served");

  // The request that crashes servers: the same path, body and caller each time,
  // at the machines of one service. Each time is an attempt with its own id, as
  // for any client.
  std::vector<Host*> entries;
  for (const auto& host : deployment.hosts)
    if (host->service == "wuno96b") entries.push_back(host.get());
  std::map<int, int> answers;
  const auto send_poison = [&](int count) {
    for (int index = 0; index < count; ++index) {
      ++answers[Send(*entries[static_cast<std::size_t>(index) % entries.size()],
                     "POST", "/leny950/crash", "hulo84.example", NewId(), 600,
                     "the same body")
                    .status()];
      Sleep(1500);
    }
  };
  send_poison(4);
  if (Trouble() && crashes < 3) send_poison(4);
  if (Trouble() && crashes < 3) Finish(0, "fewer than three servers crashed");
  Sleep(kContactMs + 500);
  Record("retries that count begin");
  send_poison(10);
  stop = true;
  for (std::thread& caller : callers) caller.join();
  for (const auto& host : deployment.hosts)
    if (!host->Running()) Finish(2, "a camphord process ended");

  std::string text = "crashes " + std::to_string(crashes) +
                     ", runs of the request " + std::to_string(poison_runs) +
                     ", of these later than contactMs after the third crash " +
                     std::to_string(late_runs) + ", ordinary requests served " +
                     std::to_string(good) + " of " + std::to_string(sent) +
                     ", answers";
  for (const auto& [status, count] : answers)
    text += " " + std::to_string(status) + "x" + std::to_string(count);
  if (Trouble() && late_runs > 3) Finish(1, "BUDGET broken: " + text);
  Finish(0, "held: " + text);
}
