// A server has said that it is gone; its machine's camphord is restarted; a
// ping that was on its way arrives late.
#include "rig.hpp"

using namespace rig;

constexpr std::int64_t kDrainMs = 2000;
constexpr std::int64_t kContactMs = 3000;
constexpr std::int64_t kLateMs = 4000;  // of the late ping
constexpr std::int64_t kServesOnMs =
    9000;  // of the server, after its leaving was acknowledged

int main() {
  Deployment deployment;
  std::atomic<std::int64_t> acknowledged{-1};  // when the leaving was
  std::atomic<std::int64_t> in_touch{
      -1};  // since when the restarted machine is in touch again
  std::atomic<int> late_runs{0}, cut{0}, running{0};
  Server* leaver = nullptr;
  const auto run = [&](Server& server,
                       const Received& request) -> std::optional<std::string> {
    if (&server == leaver && acknowledged >= 0 &&
        Now() > acknowledged + kDrainMs) {
      const bool counts = in_touch >= 0 && Now() > in_touch + kContactMs;
      Record(
          "a request reaches the server that is gone, %lld ms after the "
          "acknowledgement%s",
          static_cast<long long>(Now() - acknowledged),
          counts ? ", by machines in touch" : "");
      if (counts) ++late_runs;
    }
    const bool leaves = &server == leaver;
    if (leaves) ++running;
    Sleep(60);
    if (leaves) --running;
    if (!server.up()) {
      ++cut;
      return std::nullopt;
    }
    return Server::Success(request, "fine");
  };
  for (const auto& [zone, service] : {std::pair{"tvm", "wuno96b"},
                                      {"kochi", "wuno96b"},
                                      {"kozhikode", "wuno96b"},
                                      {"tvm", "huvo11a"},
                                      {"kochi", "huvo11a"},
                                      {"kozhikode", "huvo11a"}})
    deployment.AddHost(zone, service);
  std::vector<std::unique_ptr<Server>> servers;
  for (const auto& host : deployment.hosts) {
    deployment.Start(*host);
    servers.push_back(
        std::make_unique<Server>(*host, host->service, "v1", run));
  }
  leaver = servers[3].get();
  deployment.store.Put("op", "config",
                       Config(7, {"huvo11a", "wuno96b"},
                              {{.host = "jepu9.example",
                                .prefix = "/puka111/",
                                .service = "huvo11a",
                                .kind = "non_idempotent",
                                .timeout_ms = 600,
                                .attempts = 2}}));
  if (!deployment.AwaitReady(20000)) Finish(2, "the machines are not ready");
  for (const auto& server : servers)
    if (!server->Start()) Finish(2, "a server can't start");
  Sleep(6000);

  std::atomic<bool> stop{false};
  std::mutex mutex;
  std::map<int, int> answers;
  std::vector<std::thread> callers;
  for (int index = 0; index < 9; ++index)
    callers.emplace_back(
        [&,
         host = deployment.hosts[static_cast<std::size_t>(index % 3)].get()] {
          while (!stop) {
            const int status =
                Call(host->outbound,
                     Request("POST", "/puka111/2f", "jepu9.example", NewId(),
                             600, "order"),
                     1100)
                    .status();
            {
              const std::lock_guard lock(mutex);
              ++answers[status];
            }
            Sleep(60);
          }
        });
  Sleep(2000);

  // A ping is under way while the server leaves. This kind of server says only
  // that it is gone, and serves on.
  const std::string late_ping = leaver->PingBytes("ready", ++leaver->sequence);
  const std::int64_t sent = Now();
  if (!leaver->Deregister()) Finish(2, "the leaving was not acknowledged");
  acknowledged = Now();
  Host& machine = leaver->host;
  if (Trouble()) {
    // The node is stopped and started again on its own, while the server
    // continues.
    machine.Signal(SIGTERM);
    if (machine.Wait(6000) == -1) Finish(2, "the process did not end");
    deployment.Start(machine);
  }
  in_touch = Now();
  if (Now() < sent + kLateMs) Sleep(sent + kLateMs - Now());
  if (!IsReady(machine)) Finish(2, "the restarted machine is not ready");
  Record("the late ping arrives after %lld ms: %d",
         static_cast<long long>(Now() - sent),
         Call(machine.control, late_ping, 1000).status());
  while (Now() < acknowledged + kServesOnMs) Sleep(10);
  // It ends whatever it still runs.
  for (int step = 0; step < 1000 && running == 0; ++step) Sleep(1);
  Record("the server ends, %d requests are under way there", running.load());
  leaver->Stop();
  Sleep(2000);
  stop = true;
  for (std::thread& caller : callers) caller.join();
  std::string text =
      "requests that reached the server later than drainMs after the "
      "acknowledgement, by machines in touch: " +
      std::to_string(late_runs) +
      "; requests under way when it ended: " + std::to_string(cut) +
      "; answers";
  for (const auto& [status, count] : answers)
    text += " " + std::to_string(status) + "x" + std::to_string(count);
  if (late_runs > 0) Finish(1, "DRAIN broken: " + text);
  Finish(0, "held: " + text);
}
