// A server answers before it has read a long body, keeps the connection and
// reads on later.
#include "rig.hpp"

using namespace rig;

namespace {

constexpr std::size_t kBody = 400'000;  // of the long request; the limit of the
                                        // configuration is 67,108,864
constexpr std::size_t kAnswer = 30'000;  // of the answer; the site's longest

std::string Bytes(std::size_t size) {
  std::string text(size, ' ');
  for (std::size_t at = 0; at < size; ++at)
    text[at] = static_cast<char>('a' + (at * 7 + at / 251) % 26);
  return text;
}

/// Serves one connection. A long request is answered as soon as its header is
/// in; its body is read to the end all the same, and further requests of the
/// connection are served.
void ServeEarly(int fd, std::atomic<int>& runs) {
  std::string bytes;
  char chunk[65536];
  while (true) {
    std::size_t end = 0;
    while ((end = bytes.find("\r\n\r\n")) == std::string::npos) {
      const ssize_t read = recv(fd, chunk, sizeof chunk, 0);
      if (read <= 0) return;
      bytes.append(chunk, static_cast<std::size_t>(read));
    }
    const std::string header = bytes.substr(0, end + 2);
    bytes.erase(0, end + 4);
    const auto value = [&header](const std::string& name) {
      const std::size_t at = header.find("\r\n" + name + ": ");
      if (at == std::string::npos) return std::string();
      const std::size_t from = at + name.size() + 4;
      return header.substr(from, header.find("\r\n", from) - from);
    };
    const std::string id = value("X-Camphorhill-Attempt-Id");
    const std::size_t length =
        strtoull(value("Content-Length").c_str(), nullptr, 10);
    const bool is_long = length > 100'000;
    ++runs;
    Record("server: runs %s id %s, body of %zu",
           header.substr(0, header.find(" HTTP")).c_str(), id.c_str(), length);
    const std::string answer =
        "HTTP/1.1 200 OK\r\nX-Camphorhill-Attempt-Id: " + id +
        "\r\nX-Camphorhill-Response-Signature: sig." + id +
        "\r\nContent-Length: " + std::to_string(kAnswer) + "\r\n\r\n" +
        Bytes(kAnswer);
    const bool early = is_long && Trouble();
    bool written = !early || WriteAll(fd, answer);
    if (early)
      Record("server: id %s answered whole before its body was read",
             id.c_str());
    std::size_t got = std::min(bytes.size(), length);
    bytes.erase(0, got);
    while (got < length) {
      const ssize_t read =
          recv(fd, chunk, std::min(sizeof chunk, length - got), 0);
      if (read <= 0) {
        Record(
            "server: id %s: the connection ended after %zu of %zu bytes of its "
            "body",
            id.c_str(), got, length);
        return;
      }
      got += static_cast<std::size_t>(read);
    }
    if (!early) written = WriteAll(fd, answer);
    if (!written) return;
  }
}

}  // namespace

int main() {
  Deployment deployment;
  std::atomic<int> runs{0};
  for (const auto& [zone, service] : {std::pair{"tvm", "wuno96b"},
                                      {"kochi", "huvo11a"},
                                      {"kozhikode", "huvo11a"}})
    deployment.AddHost(zone, service);
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<std::unique_ptr<Listener>> listeners;
  for (const auto& host : deployment.hosts) {
    deployment.Start(*host);
    servers.push_back(
        std::make_unique<Server>(*host, host->service, "v1", nullptr));
    listeners.push_back(std::make_unique<Listener>());
    if (!listeners.back()->Start(host->app,
                                 [&runs](int fd) { ServeEarly(fd, runs); }))
      Finish(2, "no port");
    servers.back()->id = "i-" + NewId().substr(0, 8);
    servers.back()->born = UnixMs();
  }
  deployment.store.Put("op", "config",
                       Config(7, {"huvo11a", "wuno96b"},
                              {{.host = "jepu9.example",
                                .prefix = "/puka111/",
                                .service = "huvo11a",
                                .kind = "non_idempotent",
                                .timeout_ms = 3000,
                                .attempts = 2}}));
  if (!deployment.AwaitReady(20000)) Finish(2, "the machines are not ready");
  std::thread([&servers] {
    while (true) {
      for (const auto& server : servers) server->Ping();
      Sleep(1500);
    }
  }).detach();
  Sleep(5000);

  // Each client keeps its connection: a short request first, then a long one.
  int whole = 0, cut = 0, other = 0;
  const std::string answer = Bytes(kAnswer);
  for (int index = 0; index < 20; ++index) {
    const Host& host = *deployment.hosts[static_cast<std::size_t>(index % 2)];
    const int fd = Connect(host.outbound);
    if (fd < 0) Finish(2, "no connection to a machine");
    Reader reader(fd);
    WriteAll(fd, Request("POST", "/puka111/short", "jepu9.example", NewId(),
                         3000, "short"));
    const Message first = reader.Read(true, Now() + 3500);
    if (!first.complete || first.status() != 200)
      Finish(2, "a short request was not served");
    const std::string id = NewId();
    Record("client at %s: sends a long request, id %s", host.name.c_str(),
           id.c_str());
    const std::string request = Request(
        "POST", "/puka111/long", "jepu9.example", id, 3000, Bytes(kBody));
    std::thread writer([&] {
      // A link of 4 MB a second.
      for (std::size_t at = 0; at < request.size(); at += 20'000) {
        if (!WriteAll(fd, request.substr(at, 20'000))) return;
        Sleep(5);
      }
    });
    const Message got = reader.Read(true, Now() + 3500);
    shutdown(fd, SHUT_RDWR);
    writer.join();
    close(fd);
    const bool is_whole =
        got.complete && got.status() == 200 && got.body == answer;
    const bool is_cut = !got.complete && (got.closed || got.reset);
    ++(is_whole ? whole : is_cut ? cut : other);
    Record("client at %s: id %s got status %d, %zu of %zu bytes%s",
           host.name.c_str(), id.c_str(), got.status(), got.body.size(),
           kAnswer,
           is_whole ? ""
           : is_cut ? ", and the connection was closed"
                    : "");
  }
  for (const auto& host : deployment.hosts)
    if (!host->Running()) Finish(2, "a camphord process ended");
  const std::string text =
      "of 20 long requests on kept connections, each run by a server, " +
      std::to_string(whole) + " got the whole answer, " + std::to_string(cut) +
      " had their connection closed without a whole answer, " +
      std::to_string(other) + " other";
  if (Trouble() && cut > 3) Finish(1, "LOST broken: " + text);
  if (!Trouble() && whole < 20) Finish(2, "without trouble: " + text);
  Finish(0, "held: " + text);
}
