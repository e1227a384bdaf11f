#include "node/settings/settings.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <limits>

namespace camphor {
namespace {

constexpr std::int64_t kDayMs = 24LL * 60 * 60 * 1000;
constexpr std::size_t kMaxSecretLength = 1024;
/// Enough for one request at the usual limits on each listener.
constexpr std::int64_t kMinBufferBytes = 1024 * 1024;
constexpr std::int64_t kMaxBufferBytes = 1LL << 40;
constexpr std::int64_t kMaxConnections = 1'000'000;
/// Four times what a host sends.
constexpr std::int64_t kMinHandshakeBytes = 4 * 1024;
constexpr std::int64_t kMaxHeaderFields = 1'000'000;

/// All arrivals beyond the first of each request, retries included, may be at
/// most 0.2 x the requests of a pool.
constexpr double kMaxHedgeShare = 0.2;

/// Below this, the ticks of 100 ms and the queries over the mesh take too large
/// a part of the bound.
constexpr Milliseconds kMinRevokeWithin{2000};

Milliseconds ReadMilliseconds(JsonFields& fields, std::string_view key,
                              std::int64_t minimum, Milliseconds fallback) {
  return Milliseconds(fields.Integer(key, minimum, kDayMs, fallback.count()));
}

/// Whether port 0 (any free port) is allowed.
enum class PortRule { kFixed, kAny };

Endpoint ReadEndpoint(JsonFields& fields, std::string_view key, PortRule rule) {
  const std::string text = fields.String(key);
  if (text.empty()) return {};
  const std::optional<Endpoint> endpoint = Endpoint::Parse(text);
  if (!endpoint.has_value()) {
    fields.Report(key,
                  "must be an IP address with a port, such as 10.0.0.1:7001");
    return {};
  }
  if (rule == PortRule::kFixed && endpoint->port == 0) {
    fields.Report(key, "must have a port from 1 to 65535");
  }
  return *endpoint;
}

/// Rejects wildcard addresses: other hosts connect to the advertised address.
void CheckReachable(JsonFields& fields, std::string_view key,
                    const Endpoint& endpoint) {
  if (endpoint.address == "0.0.0.0" || endpoint.address == "::") {
    fields.Report(
        key, "must be an address that other hosts can reach, not a wildcard");
  }
}

/// Reads an advertised address. Returns port 0 if the key is missing.
Endpoint ReadAdvertised(JsonFields& fields, std::string_view key) {
  const std::string text = fields.String(key, "");
  if (text.empty()) return {};
  const std::optional<Endpoint> endpoint = Endpoint::Parse(text);
  if (!endpoint.has_value() || endpoint->port == 0) {
    fields.Report(key,
                  "must be an IP address with a port from 1 to 65535, such as "
                  "10.0.0.1:7001");
    return {};
  }
  CheckReachable(fields, key, *endpoint);
  return *endpoint;
}

LogLevel ReadLevel(JsonFields& fields, std::string_view key,
                   LogLevel fallback) {
  const std::string text =
      fields.String(key, std::string(LogLevelName(fallback)));
  const std::optional<LogLevel> level = ParseLogLevel(text);
  if (!level.has_value()) {
    fields.Report(key, "must be one of debug, info, warning, error");
  }
  return level.value_or(fallback);
}

void ReadMeshSeeds(JsonFields& fields, Settings& settings) {
  for (const std::string& text : fields.Strings("mesh_seeds")) {
    const std::optional<Endpoint> seed = Endpoint::Parse(text);
    if (!seed.has_value() || seed->port == 0) {
      fields.Report("mesh_seeds",
                    fmt::format("contains {}, which is not an IP address "
                                "with a port",
                                text));
      continue;
    }
    settings.mesh_seeds.push_back(*seed);
  }
}

void ReadAddresses(JsonFields& fields, Settings& settings) {
  settings.caller_listen =
      ReadEndpoint(fields, "caller_listen", PortRule::kAny);
  settings.forward_listen =
      ReadEndpoint(fields, "forward_listen", PortRule::kAny);
  CheckReachable(fields, "forward_listen", settings.forward_listen);
  settings.mesh_listen = ReadEndpoint(fields, "mesh_listen", PortRule::kFixed);
  CheckReachable(fields, "mesh_listen", settings.mesh_listen);
  settings.forward_advertise = ReadAdvertised(fields, "forward_advertise");
  settings.mesh_advertise = ReadAdvertised(fields, "mesh_advertise");
  if (settings.mesh_advertise.port == 0)
    settings.mesh_advertise = settings.mesh_listen;
  settings.admin_listen = ReadEndpoint(fields, "admin_listen", PortRule::kAny);
  for (const std::string& text : fields.Strings("admin_also")) {
    const std::optional<Endpoint> endpoint = Endpoint::Parse(text);
    if (endpoint.has_value()) {
      settings.admin_also.push_back(*endpoint);
    } else {
      fields.Report("admin_also",
                    text +
                        " is not an IP address with a port, such as "
                        "10.0.0.1:7001");
    }
  }
  settings.platform = ReadEndpoint(fields, "platform", PortRule::kFixed);
  ReadMeshSeeds(fields, settings);
}

InterfaceKind ReadInterface(JsonFields& fields) {
  const std::string text = fields.String("interface", "own");
  if (text == "platform") return InterfaceKind::kPlatform;
  if (text != "own") fields.Report("interface", "must be own or platform");
  return InterfaceKind::kOwn;
}

DisseminationMode ReadMode(JsonFields& fields, std::string_view key) {
  const std::string text = fields.String(key, "full");
  if (text == "poll_only") return DisseminationMode::kPollOnly;
  if (text == "push_only") return DisseminationMode::kPushOnly;
  if (text != "full") {
    fields.Report(key, "must be one of full, poll_only, push_only");
  }
  return DisseminationMode::kFull;
}

void ReadReplication(JsonFields& fields, ReplicatorSettings& replication) {
  replication.mode = ReadMode(fields, "mode");
  replication.heartbeat_period = ReadMilliseconds(fields, "heartbeat_ms", 10,
                                                  replication.heartbeat_period);
  replication.suspect_after = ReadMilliseconds(fields, "suspect_after_ms", 10,
                                               replication.suspect_after);
  replication.refute_within = ReadMilliseconds(fields, "refute_within_ms", 10,
                                               replication.refute_within);
  replication.suspicions_needed = static_cast<std::uint32_t>(fields.Integer(
      "suspicions_needed", 1, 16, replication.suspicions_needed));
  replication.pollers_per_domain = static_cast<std::uint32_t>(fields.Integer(
      "pollers_per_domain", 1, 100, replication.pollers_per_domain));
}

void ReadOptionalParts(JsonFields& fields, Settings& settings) {
  fields.Object("log", [&](JsonFields& part) {
    settings.log.history = part.Boolean("history", settings.log.history);
    ReadLogLevels(part, settings.log);
  });
  fields.Object("drain", [&](JsonFields& part) {
    DrainSettings& drain = settings.drain;
    drain.notice = ReadMilliseconds(part, "notice_ms", 0, drain.notice);
    drain.limit = ReadMilliseconds(part, "limit_ms", 0, drain.limit);
    drain.grace = Seconds(part.Integer("grace_s", 0, kDayMs / 1000, 0));
  });
  fields.Object("targets", [&](JsonFields& part) {
    TargetSettings& targets = settings.targets;
    targets.lease = ReadMilliseconds(part, "lease_ms", 100, targets.lease);
    targets.warming_limit =
        ReadMilliseconds(part, "warming_limit_ms", 0, targets.warming_limit);
  });
  fields.Object("teams", [&](JsonFields& part) {
    TeamSettings& teams = settings.teams;
    teams.revoke_within =
        ReadMilliseconds(part, "revoke_within_ms", 0, teams.revoke_within);
    if (teams.revoke_within.count() > 0 &&
        teams.revoke_within < kMinRevokeWithin) {
      part.Report("revoke_within_ms", fmt::format("must be 0 or at least {}",
                                                  kMinRevokeWithin.count()));
    }
  });
  fields.Object("polling", [&](JsonFields& part) {
    PlatformSettings& polling = settings.polling;
    polling.poll = ReadMilliseconds(part, "poll_ms", 50, polling.poll);
    polling.slow_poll =
        ReadMilliseconds(part, "slow_poll_ms", 50, polling.slow_poll);
  });
  fields.Object("admin", [&](JsonFields& part) {
    AdminSettings& admin = settings.admin;
    admin.connections = static_cast<std::uint32_t>(
        part.Integer("connections", 1, 10000, admin.connections));
    admin.body_bytes = static_cast<std::uint32_t>(
        part.Integer("body_bytes", 1024, 64 * 1024 * 1024, admin.body_bytes));
    admin.timeout = ReadMilliseconds(part, "timeout_ms", 100, admin.timeout);
  });
  fields.Object("mesh", [&](JsonFields& part) {
    MeshSettings& mesh = settings.mesh;
    mesh.pending_handshakes = static_cast<std::uint32_t>(part.Integer(
        "pending_handshakes", 1, kMaxConnections, mesh.pending_handshakes));
    mesh.handshake_bytes = static_cast<std::uint32_t>(
        part.Integer("handshake_bytes", kMinHandshakeBytes, 8 * 1024 * 1024,
                     mesh.handshake_bytes));
  });
  fields.Object("replication", [&](JsonFields& part) {
    ReadReplication(part, settings.replication);
  });
  fields.Object("proxy", [&](JsonFields& part) {
    settings.proxy.debug_headers =
        part.Boolean("debug_headers", settings.proxy.debug_headers);
    settings.proxy.load_reports =
        part.Boolean("load_reports", settings.proxy.load_reports);
    settings.proxy.retry_budget =
        part.Boolean("retry_budget", settings.proxy.retry_budget);
    settings.proxy.retry_ratio =
        part.Number("retry_ratio", 0, 1, settings.proxy.retry_ratio);
    settings.proxy.retry_burst =
        part.Number("retry_burst", 0, 1e6, settings.proxy.retry_burst);
    settings.proxy.link_mbps =
        part.Number("link_mbps", 0, 1e6, settings.proxy.link_mbps);
    settings.proxy.hedge_share = part.Number("hedge_share", 0, kMaxHedgeShare,
                                             settings.proxy.hedge_share);
    settings.proxy.buffer_bytes = static_cast<std::uint64_t>(
        part.Integer("buffer_bytes", kMinBufferBytes, kMaxBufferBytes,
                     static_cast<std::int64_t>(settings.proxy.buffer_bytes)));
    settings.proxy.caller_connections = static_cast<std::uint32_t>(
        part.Integer("caller_connections", 1, kMaxConnections,
                     settings.proxy.caller_connections));
    settings.proxy.forward_connections = static_cast<std::uint32_t>(
        part.Integer("forward_connections", 1, kMaxConnections,
                     settings.proxy.forward_connections));
    settings.proxy.pending_handshakes = static_cast<std::uint32_t>(
        part.Integer("pending_handshakes", 1, kMaxConnections,
                     settings.proxy.pending_handshakes));
    settings.proxy.handshake_timeout = ReadMilliseconds(
        part, "handshake_ms", 100, settings.proxy.handshake_timeout);
    settings.proxy.header_fields = static_cast<std::uint32_t>(part.Integer(
        "header_fields", 0, kMaxHeaderFields, settings.proxy.header_fields));
  });
  fields.Object("rollout", [&](JsonFields& part) {
    RolloutSettings& rollout = settings.rollout;
    rollout.evaluation_interval =
        ReadMilliseconds(part, "period_ms", 50, rollout.evaluation_interval);
    rollout.owner_warmup =
        ReadMilliseconds(part, "settle_ms", 0, rollout.owner_warmup);
    rollout.min_canary_duration = ReadMilliseconds(
        part, "shortest_canary_ms", 0, rollout.min_canary_duration);
    rollout.min_step_duration = ReadMilliseconds(part, "shortest_step_ms", 0,
                                                 rollout.min_step_duration);
  });
}

}  // namespace

void ReadLogLevels(JsonFields& fields, LogSettings& log) {
  log.level = ReadLevel(fields, "level", LogLevel::kInfo);
  fields.Object("parts", [&log](JsonFields& parts) {
    for (const std::string_view part : kLogParts) {
      log.parts[std::string(part)] = ReadLevel(parts, part, log.level);
    }
  });
}

std::optional<Settings> SettingsReader::Read(std::string_view text) {
  errors_.clear();
  std::string reason;
  const std::optional<boost::json::value> document =
      ParseJsonWithComments(text, reason);
  if (!document.has_value() || !document->is_object()) {
    errors_.push_back({.field = {},
                       .message = document.has_value()
                                      ? "the document must be an object"
                                      : reason});
    return std::nullopt;
  }

  Settings settings;
  JsonFields fields(document->get_object(), "", errors_);
  settings.host = HostId(fields.String("host"));
  settings.failure_domain = FailureDomain(fields.String("failure_domain"));
  ReadAddresses(fields, settings);
  settings.interface = ReadInterface(fields);
  settings.caller_pool = fields.String("caller_pool", "");
  settings.mesh_key = fields.String("mesh_key", {}, kMaxSecretLength);
  settings.operator_token =
      fields.String("operator_token", {}, kMaxSecretLength);
  ReadOptionalParts(fields, settings);
  fields.Finish();
  if (!errors_.empty()) return std::nullopt;
  return settings;
}

}  // namespace camphor
