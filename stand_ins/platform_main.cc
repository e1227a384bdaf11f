#include <fmt/format.h>

#include <cstdio>

#include "stand_ins/command_line.h"
#include "stand_ins/platform/platform_stand_in.h"

int main(int argc, const char** argv) {
  camphor::CommandLine line({{.name = "listen",
                              .help = "address and port to serve on",
                              .fallback = "127.0.0.1:0"},
                             {.name = "reads-per-s",
                              .help = "reads admitted per second",
                              .fallback = "2000"},
                             {.name = "writes-per-s",
                              .help = "writes admitted per second",
                              .fallback = "400"}});
  const bool parsed = line.Parse(argc, argv);
  const auto listen = camphor::Endpoint::Parse(line.Text("listen"));
  const auto reads = line.Number("reads-per-s");
  const auto writes = line.Number("writes-per-s");
  if (!parsed || !listen || !reads || !writes) {
    fmt::print(stderr, "platform_stand_in: bad command line: {}\n",
               line.last_reason());
    return 2;
  }

  camphor::BlockStopSignals();
  camphor::PlatformStandIn platform(
      {.listen = *listen,
       .reads_per_s = static_cast<std::uint32_t>(*reads),
       .writes_per_s = static_cast<std::uint32_t>(*writes)});
  if (!platform.Start()) {
    fmt::print(stderr, "platform_stand_in server: {}\n",
               platform.last_reason());
    return 1;
  }
  fmt::print(stderr, "platform_stand_in server: listening address={}\n",
             platform.endpoint().ToString());
  camphor::WaitForStopSignal();
  platform.Stop();
  return 0;
}
