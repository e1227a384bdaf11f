#include "node/node_report.h"

#include <boost/json.hpp>
#include <chrono>
#include <utility>

#include "node/admin/state_view.h"
#include "node/metrics/node_metrics.h"

namespace camphor {

using boost::json::object;

object NodeReport::Status() const {
  const Settings& settings = parts_.settings;
  return {{"host", settings.host.value()},
          {"failure_domain", settings.failure_domain.value()},
          {"incarnation", parts_.incarnation},
          {"program_version", CAMPHOR_VERSION},
          {"uptime_s", parts_.uptime.count()},
          {"ready", parts_.ready},
          {"draining", parts_.draining},
          {"requests_in_flight", parts_.proxy.in_flight()},
          {"platform_reachable", parts_.sync.reachable()},
          {"caller", parts_.proxy.caller_endpoint().ToString()},
          {"forward", parts_.proxy.forward_endpoint().ToString()},
          {"mesh", settings.mesh_listen.ToString()},
          {"admin", parts_.admin.endpoint().ToString()}};
}

object NodeReport::Dump() const {
  boost::json::array rings;
  for (const DecisionThread::RingLoad& load : parts_.decisions.ring_loads()) {
    rings.push_back(object{
        {"name", load.name}, {"depth", load.depth}, {"refused", load.refused}});
  }
  const TickTimes ticks = parts_.decisions.tick_times();
  return {{"node", Status()},
          {"proxy", ParseJsonOrText(parts_.proxy.DumpJson())},
          {"mesh", MeshState()},
          {"quotas", ParseJsonOrText(parts_.controller.quotas().DumpJson(
                         std::chrono::steady_clock::now()))},
          {"platform", PlatformState()},
          {"freshness", parts_.controller.DumpFreshness()},
          {"rings", std::move(rings)},
          {"decisions",
           {{"ticks", ticks.count},
            {"tick_mean_us", ticks.mean_us},
            {"tick_max_us", ticks.max_us}}},
          {"log", {{"dropped", parts_.log.dropped()}}},
          {"admin",
           {{"requests", parts_.admin.requests()},
            {"connections_refused", parts_.admin.connections_refused()},
            {"connections_yielded", parts_.admin.connections_yielded()},
            {"buffers_refused", parts_.admin.buffers_refused()}}}};
}

std::string NodeReport::Metrics() const {
  const Replicator& replicator = parts_.controller.replicator();
  const ConfigSnapshotPtr& snapshot = replicator.snapshot();
  return NodeMetricsText(
             {.ready = parts_.ready && !parts_.draining,
              .config_version =
                  snapshot == nullptr ? 0 : snapshot->head.version,
              .hosts = replicator.hosts(),
              .config_age = parts_.controller.ConfigAge(),
              .platform_reachable = parts_.sync.reachable(),
              .platform = parts_.platform.counters(),
              .rings = parts_.decisions.ring_loads(),
              .ticks = parts_.decisions.tick_times(),
              .mesh = parts_.mesh.counters(),
              .admin_requests = parts_.admin.requests(),
              .admin_connections_refused = parts_.admin.connections_refused(),
              .admin_connections_yielded = parts_.admin.connections_yielded(),
              .admin_buffers_refused = parts_.admin.buffers_refused(),
              .log_dropped = parts_.log.dropped()}) +
         parts_.controller.quotas().MetricsText(
             std::chrono::steady_clock::now()) +
         parts_.controller.availability().Metrics(
             std::chrono::steady_clock::now()) +
         parts_.proxy.MetricsText() + parts_.claims.MetricsText();
}

object NodeReport::MeshState() const {
  const MeshTransport::Counters counters = parts_.mesh.counters();
  object by_purpose;
  for (const auto& [purpose, bytes] : counters.bytes_by_purpose) {
    by_purpose[purpose] = bytes;
  }
  return {{"bytes_sent", counters.bytes_sent},
          {"bytes_received", counters.bytes_received},
          {"handshakes_refused", counters.handshakes_refused},
          {"handshakes_displaced", counters.handshakes_displaced},
          {"handshakes_too_long", counters.handshakes_too_long},
          {"messages_dropped", counters.messages_dropped},
          {"bytes_by_purpose", std::move(by_purpose)}};
}

object NodeReport::PlatformState() const {
  const HttpPlatformClient::Counters counters = parts_.platform.counters();
  object state = parts_.sync.Dump();
  state["calls"] = counters.calls;
  state["unavailable"] = counters.unavailable;
  state["unknown"] = counters.unknown;
  state["bytes_sent"] = counters.bytes_sent;
  state["bytes_received"] = counters.bytes_received;
  return state;
}

}  // namespace camphor
