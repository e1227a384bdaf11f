// Clients send headers just within the operator's maxHeaderBytes.
#include "rig.hpp"

using namespace rig;

constexpr std::size_t kMaxHeaderBytes = 16384;  // of the configuration
constexpr int kLong = 60;

int main() {
  Deployment deployment;
  const auto run = [](Server&,
                      const Received& request) -> std::optional<std::string> {
    return Server::Success(request, "fine");
  };
  for (const auto& [zone, service] : {std::pair{"tvm", "wuno96b"},
                                      {"kochi", "huvo11a"},
                                      {"kozhikode", "huvo11a"}})
    deployment.AddHost(zone, service);
  std::vector<std::unique_ptr<Server>> servers;
  for (const auto& host : deployment.hosts) {
    deployment.Start(*host);
    servers.push_back(
        std::make_unique<Server>(*host, host->service, "v1", run));
  }
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
  Sleep(5000);

  // The whole header, with its first line and its last empty line, stays within
  // the limit.
  const std::size_t wanted =
      Trouble() ? kMaxHeaderBytes - 24 : kMaxHeaderBytes / 2;
  int denied = 0, served = 0, other = 0, all = 0;
  for (int index = 0; index < 10 * kLong; ++index) {
    const Host& host = *deployment.hosts[0];
    const bool is_long = index % 10 == 0;
    const std::string id = NewId();
    std::string more;
    if (is_long) {
      const std::string bare = Request("POST", "/puka111/2f", "jepu9.example",
                                       id, 600, "order", "Cookie: \r\n");
      more = "Cookie: " + std::string(wanted - (bare.size() - 5), 'c') + "\r\n";
    }
    const std::string request =
        Request("POST", "/puka111/2f", "jepu9.example", id, 600, "order", more);
    const Message answer = Call(host.outbound, request, 1100);
    ++all;
    if (is_long || answer.status() != 200)
      Record("client at %s: id %s, header of %zu bytes, got %d %s",
             host.name.c_str(), id.c_str(), request.size() - 5, answer.status(),
             answer.Header("X-Camphor-Reason").c_str());
    ++(answer.status() == 200   ? served
       : answer.status() == 431 ? denied
                                : other);
    Sleep(20);
  }
  for (const auto& host : deployment.hosts)
    if (!host->Running()) Finish(2, "a camphord process ended");
  const int allowed = 5 + all / 500;
  const std::string text =
      std::to_string(denied) + " of " + std::to_string(all) +
      " proper requests were ended with 431 (allowed " +
      std::to_string(allowed) + "), " + std::to_string(served) + " served, " +
      std::to_string(other) + " other";
  if (denied > allowed) Finish(1, "DENIED broken: " + text);
  Finish(0, "held: " + text);
}
