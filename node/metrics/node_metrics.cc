#include "node/metrics/node_metrics.h"

#include <string_view>

#include "node/json/record_json.h"
#include "node/metrics/metrics_text.h"
#include "node/metrics/process_usage.h"

namespace camphor {
namespace {

void AddProcess(MetricsText& out) {
  const ProcessUsage usage = ProcessUsage::Read();
  out.Counter("camphor_process_cpu_seconds_total",
              "User and system time of the process.", usage.cpu_seconds);
  out.Gauge("camphor_process_resident_bytes", "Resident memory of the process.",
            static_cast<double>(usage.resident_bytes));
  out.Gauge("camphor_process_threads", "Threads of the process.",
            static_cast<double>(usage.threads));
}

void AddHosts(MetricsText& out, const NodeMetrics& metrics) {
  std::map<HostStatus, std::uint64_t> counts;
  for (const auto& [id, host] : metrics.hosts) ++counts[host.status];
  for (const HostStatus status : {HostStatus::kAlive, HostStatus::kSuspect,
                                  HostStatus::kLeaving, HostStatus::kDead}) {
    out.Gauge("camphor_hosts", "Hosts as this host sees them, by status.",
              static_cast<double>(counts[status]),
              {{"status", std::string(HostStatusName(status))}});
  }
}

void AddRings(MetricsText& out, const NodeMetrics& metrics) {
  for (const DecisionThread::RingLoad& ring : metrics.rings) {
    out.Gauge("camphor_ring_depth", "Messages queued in a ring.",
              static_cast<double>(ring.depth), {{"ring", ring.name}});
  }
  for (const DecisionThread::RingLoad& ring : metrics.rings) {
    out.Counter("camphor_ring_refused_total",
                "Pushes refused by a full ring; refused samples are dropped.",
                static_cast<double>(ring.refused), {{"ring", ring.name}});
  }
}

void AddTicks(MetricsText& out, const TickTimes& ticks) {
  constexpr double kMicrosecondsPerSecond = 1e6;
  const auto add = [&](std::string_view statistic, double microseconds) {
    out.Gauge("camphor_tick_seconds",
              "Duration of the ticks of the decisions thread.",
              microseconds / kMicrosecondsPerSecond,
              {{"statistic", std::string(statistic)}});
  };
  add("mean", ticks.mean_us);
  add("p99", ticks.p99_us);
  add("max", ticks.max_us);
}

void AddPlatform(MetricsText& out,
                 const HttpPlatformClient::Counters& platform) {
  out.Counter("camphor_platform_calls_total", "Calls to the platform.",
              static_cast<double>(platform.calls));
  out.Counter("camphor_platform_failures_total",
              "Failed platform calls, by effect: none or unknown.",
              static_cast<double>(platform.unavailable), {{"effect", "none"}});
  out.Counter("camphor_platform_failures_total",
              "Failed platform calls, by effect: none or unknown.",
              static_cast<double>(platform.unknown), {{"effect", "unknown"}});
  out.Counter(
      "camphor_platform_bytes_total", "HTTP bytes exchanged with the platform.",
      static_cast<double>(platform.bytes_sent), {{"direction", "sent"}});
  out.Counter("camphor_platform_bytes_total",
              "HTTP bytes exchanged with the platform.",
              static_cast<double>(platform.bytes_received),
              {{"direction", "received"}});
}

void AddMesh(MetricsText& out, const MeshTransport::Counters& mesh) {
  out.Counter("camphor_mesh_bytes_total", "Protocol bytes of the mesh.",
              static_cast<double>(mesh.bytes_sent), {{"direction", "sent"}});
  out.Counter("camphor_mesh_bytes_total", "Protocol bytes of the mesh.",
              static_cast<double>(mesh.bytes_received),
              {{"direction", "received"}});
  for (const auto& [purpose, bytes] : mesh.bytes_by_purpose) {
    out.Counter("camphor_mesh_purpose_bytes_total",
                "Encoded bytes of the mesh by kind of message.",
                static_cast<double>(bytes), {{"purpose", purpose}});
  }
  out.Counter("camphor_mesh_handshakes_refused_total",
              "Handshakes refused: wrong key or protocol version.",
              static_cast<double>(mesh.handshakes_refused));
  out.Counter("camphor_mesh_handshakes_displaced_total",
              "Connections closed before they authenticated, for newer ones.",
              static_cast<double>(mesh.handshakes_displaced));
  out.Counter("camphor_mesh_handshakes_too_long_total",
              "Connections closed for the length of their handshake.",
              static_cast<double>(mesh.handshakes_too_long));
  out.Counter("camphor_mesh_messages_dropped_total",
              "Messages dropped because the peer was unreachable.",
              static_cast<double>(mesh.messages_dropped));
}

}  // namespace

std::string NodeMetricsText(const NodeMetrics& metrics) {
  MetricsText out;
  out.Gauge("camphor_ready", "1 while callers are served.",
            metrics.ready ? 1 : 0);
  out.Gauge("camphor_config_version", "Version of the active configuration.",
            static_cast<double>(metrics.config_version));
  if (metrics.config_age) {
    out.Gauge("camphor_config_age_seconds",
              "Age of the knowledge of the configuration.",
              std::chrono::duration<double>(*metrics.config_age).count());
  }
  out.Gauge("camphor_platform_reachable",
            "1 if the last read from the platform succeeded.",
            metrics.platform_reachable ? 1 : 0);
  AddHosts(out, metrics);
  AddProcess(out);
  AddRings(out, metrics);
  AddTicks(out, metrics.ticks);
  AddPlatform(out, metrics.platform);
  AddMesh(out, metrics.mesh);
  out.Counter("camphor_admin_requests_total", "Admin requests answered.",
              static_cast<double>(metrics.admin_requests));
  out.Counter("camphor_admin_connections_refused_total",
              "Admin connections refused because too many were open.",
              static_cast<double>(metrics.admin_connections_refused));
  out.Counter("camphor_admin_connections_yielded_total",
              "Admin connections closed for others.",
              static_cast<double>(metrics.admin_connections_yielded));
  out.Counter("camphor_admin_buffers_refused_total",
              "Admin requests refused for lack of buffers.",
              static_cast<double>(metrics.admin_buffers_refused));
  out.Counter("camphor_log_lines_dropped_total",
              "Log lines dropped because the log queue was full.",
              static_cast<double>(metrics.log_dropped));
  return out.text();
}

}  // namespace camphor
