#include <fmt/format.h>

#include <boost/json.hpp>
#include <cstdio>
#include <cstdlib>
#include <thread>

#include "stand_ins/command_line.h"
#include "stand_ins/target/target_announcer.h"
#include "stand_ins/target/target_stand_in.h"

namespace {

constexpr camphor::Milliseconds kIdlePoll{10};
constexpr int kCrashStatus = 70;

std::string Announcement(const camphor::CommandLine& line,
                         const camphor::Endpoint& listening, long slots,
                         bool warm) {
  const std::string& other = line.Text("announce");
  return boost::json::serialize(boost::json::object{
      {"id", line.Text("id")},
      {"pool", line.Text("pool")},
      {"version", line.Text("version")},
      {"address", other.empty() ? listening.ToString() : other},
      {"slots", slots},
      {"warm", warm}});
}

void Log(const std::string& sentence) {
  fmt::print(stderr, "target_stand_in announcer: {}\n", sentence);
}

}  // namespace

int main(int argc, const char** argv) {
  camphor::CommandLine line(
      {{.name = "listen",
        .help = "address and port to serve on",
        .fallback = "127.0.0.1:0"},
       {.name = "node", .help = "admin address of the node of this host"},
       {.name = "id", .help = "target id", .fallback = "t1"},
       {.name = "pool", .help = "pool of the target", .fallback = "p1"},
       {.name = "version", .help = "target version", .fallback = "v1"},
       {.name = "slots",
        .help = "maximum concurrent requests",
        .fallback = "10"},
       {.name = "work-ms", .help = "duration of a run", .fallback = "0"},
       {.name = "cold-start-ms", .help = "time until warm", .fallback = "0"},
       {.name = "drain-ms",
        .help = "idle time before exit after withdrawal",
        .fallback = "300"},
       {.name = "faults",
        .help = "initial faults, as the body of POST /control"},
       {.name = "announce",
        .help = "address to announce instead of the listen address"},
       {.name = "history", .help = "1 to log each run", .fallback = "0"}});
  const bool parsed = line.Parse(argc, argv);
  const auto listen = camphor::Endpoint::Parse(line.Text("listen"));
  const auto node = camphor::Endpoint::Parse(line.Text("node"));
  const auto slots = line.Number("slots");
  const auto work = line.Number("work-ms");
  const auto cold_start = line.Number("cold-start-ms");
  const auto drain = line.Number("drain-ms");
  if (!parsed || !listen || !slots || !work || !cold_start || !drain ||
      (!node && !line.Text("node").empty())) {
    fmt::print(stderr, "target_stand_in: bad command line: {}\n",
               line.last_reason());
    return 2;
  }

  camphor::BlockStopSignals();
  camphor::TargetStandIn target(
      {.listen = *listen,
       .id = line.Text("id"),
       .version = line.Text("version"),
       .slots = static_cast<std::uint32_t>(*slots),
       .work = camphor::Milliseconds(*work),
       .cold_start = camphor::Milliseconds(*cold_start),
       .history = line.Text("history") == "1",
       .crash = [] { std::_Exit(kCrashStatus); }});
  std::string reason;
  if (!line.Text("faults").empty() &&
      !target.SetFaults(line.Text("faults"), reason)) {
    fmt::print(stderr, "target_stand_in: bad faults: {}\n", reason);
    return 2;
  }
  if (!target.Start()) {
    fmt::print(stderr, "target_stand_in server: {}\n", target.last_reason());
    return 1;
  }
  fmt::print(stderr, "target_stand_in server: listening address={}\n",
             target.endpoint().ToString());

  // Without a node address the target serves without an announcement.
  camphor::TargetAnnouncer announcer(
      {.node = node.value_or(camphor::Endpoint{}),
       .id = line.Text("id"),
       .announcement = Announcement(line, target.endpoint(), *slots, true),
       .warming = *cold_start == 0
                      ? ""
                      : Announcement(line, target.endpoint(), *slots, false),
       .cold_start = camphor::Milliseconds(*cold_start),
       .log = Log});
  if (node) announcer.Start();
  camphor::WaitForStopSignal();
  announcer.Leave();
  while (!target.Idle(camphor::Milliseconds(*drain))) {
    std::this_thread::sleep_for(kIdlePoll);
  }
  target.Stop();
  fmt::print(stderr, "target_stand_in server: drained\n");
  return 0;
}
