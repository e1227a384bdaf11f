#include "node/admin/admin_api.h"

#include <boost/json.hpp>
#include <charconv>
#include <chrono>
#include <memory>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "core/config/config_codec.h"
#include "core/routing/routing_builder.h"
#include "node/admin/preview_message.h"
#include "node/admin/state_view.h"
#include "node/json/record_json.h"

namespace camphor {
namespace {

using boost::json::object;

MonoTime Now() { return std::chrono::steady_clock::now(); }

WallTime WallNow() {
  return std::chrono::time_point_cast<Milliseconds>(
      std::chrono::system_clock::now());
}

AdminResponse Json(const boost::json::value& value, unsigned status = 200) {
  return {.status = status, .body = boost::json::serialize(value) + "\n"};
}

AdminResponse PlainText(std::string text, unsigned status = 200) {
  return {.status = status,
          .content_type = "text/plain; version=0.0.4",
          .body = std::move(text)};
}

/// Parses the version in an If-Match header, with or without quotes.
std::optional<ConfigVersion> ParseVersion(std::string_view text) {
  if (text.size() >= 2 && text.front() == '"' && text.back() == '"') {
    text = text.substr(1, text.size() - 2);
  }
  ConfigVersion version = 0;
  const char* const end = text.data() + text.size();
  const auto [parsed_end, error] = std::from_chars(text.data(), end, version);
  if (error != std::errc() || parsed_end != end) return std::nullopt;
  return version;
}

std::string NewOperationId() {
  std::random_device entropy;
  return std::to_string((static_cast<std::uint64_t>(entropy()) << 32U) |
                        entropy());
}

std::vector<FieldError> ToFieldErrors(const std::vector<ConfigError>& errors) {
  std::vector<FieldError> fields;
  fields.reserve(errors.size());
  for (const ConfigError& error : errors) {
    fields.push_back({.field = error.field, .message = error.message});
  }
  return fields;
}

std::string SummarizeErrors(const std::vector<FieldError>& errors) {
  if (errors.empty()) return "the body is invalid";
  const FieldError& first = errors.front();
  return first.field.empty() ? first.message
                             : first.field + ": " + first.message;
}

AdminResponse Invalid(const std::vector<FieldError>& errors) {
  return AdminError(400, "invalid", SummarizeErrors(errors), errors);
}

AdminResponse Accepted(const ConfigHead& head,
                       const std::string& operation_id) {
  AdminResponse response = Json(object{{"version", head.version},
                                       {"digest", head.digest.hex()},
                                       {"operation_id", operation_id}});
  response.etag = '"' + std::to_string(head.version) + '"';
  return response;
}

AdminResponse UnknownTarget() {
  return AdminError(404, "not_found",
                    "unknown target: it must be announced first");
}

AdminResponse ToResponse(const AcceptResult& result,
                         const std::string& operation_id) {
  object error{{"message", result.reason}, {"operation_id", operation_id}};
  unsigned status = 503;
  switch (result.status) {
    case AcceptStatus::kAccepted:
      return Accepted(result.head, operation_id);
    case AcceptStatus::kConflict:
      status = 409;
      error["kind"] = "conflict";
      error["version"] = result.head.version;
      error["changed"] = ParseJsonOrText(result.changed_since_base.ToJson());
      break;
    case AcceptStatus::kUnavailable:
      error["kind"] = "unavailable";
      break;
    case AcceptStatus::kUnknown:
      status = 504;
      error["kind"] = "unknown";
      break;
  }
  return Json(object{{"error", std::move(error)}}, status);
}

}  // namespace

AdminApi::AdminApi(Options options)
    : options_(std::move(options)), router_(options_.settings.operator_token) {
  AddProbes();
  AddViews();
  AddTargets();
  AddRollouts();
  AddOperations();
}

void AdminApi::AddProbes() {
  const auto probe = [](std::function<bool()> check) {
    return [check = std::move(check)](const AdminRouter::Call&,
                                      const AdminRespond& respond) {
      const bool ok = check();
      respond(PlainText(ok ? "ok\n" : "not ok\n", ok ? 200 : 503));
    };
  };
  router_.Add("GET", "/healthz", AdminAccess::kAnyone, probe(options_.alive));
  router_.Add("GET", "/readyz", AdminAccess::kAnyone, probe(options_.ready));
  router_.Add("GET", "/metrics", AdminAccess::kAnyone,
              [this](const AdminRouter::Call&, const AdminRespond& respond) {
                PostToDecisions(respond, [this, respond] {
                  respond(PlainText(options_.metrics()));
                });
              });
}

void AdminApi::AddViews() {
  const auto add = [this](std::string_view path, View view) {
    router_.Add("GET", path, AdminAccess::kAnyone,
                ViewHandler(std::move(view)));
  };
  add("/v1/config", [](HostController& controller) {
    return ConfigView(controller.replicator().snapshot());
  });
  for (const char* const table : {"routes", "pools"}) {
    add(std::string("/v1/") + table, [table](HostController& controller) {
      object view = ConfigView(controller.replicator().snapshot());
      return object{{"version", view["version"]}, {table, view[table]}};
    });
  }
  add("/v1/hosts", [](HostController& controller) {
    return object{{"hosts", HostsView(controller.replicator())}};
  });
  add("/v1/targets", [](HostController& controller) {
    return object{{"targets", TargetsView(controller.replicator())},
                  {"routing_pending", controller.routing_pending()}};
  });
  add("/v1/teams", [](HostController& controller) {
    const ConfigSnapshotPtr& snapshot = controller.replicator().snapshot();
    return object{
        {"version", snapshot == nullptr ? 0 : snapshot->head.version},
        {"freshness", controller.DumpFreshness()},
        {"teams",
         TeamsView(snapshot, ParseJsonOrText(controller.quotas().DumpJson(
                                 std::chrono::steady_clock::now())))}};
  });
  add("/v1/rollouts", [](HostController& controller) {
    return object{
        {"rollouts", RolloutsView(controller.replicator())},
        {"manager", ParseJsonOrText(controller.rollouts().DumpJson())}};
  });
  add("/v1/status", [this](HostController& controller) {
    object view = options_.status();
    const ConfigSnapshotPtr& snapshot = controller.replicator().snapshot();
    view["version"] = snapshot == nullptr ? 0 : snapshot->head.version;
    view["digest"] = snapshot == nullptr ? "" : snapshot->head.digest.hex();
    view["hosts"] = HostCountsView(controller.replicator());
    controller.availability().AddTo(view, std::chrono::steady_clock::now());
    return view;
  });
  add("/v1/dump", [this](HostController& controller) {
    object view = options_.dump();
    view["replicator"] = ParseJsonOrText(controller.replicator().DumpJson());
    view["rollouts"] = ParseJsonOrText(controller.rollouts().DumpJson());
    view["targets"] = TargetsView(controller.replicator());
    object availability;
    controller.availability().AddTo(availability,
                                    std::chrono::steady_clock::now());
    view["availability"] = std::move(availability);
    return view;
  });
}

void AdminApi::AddTargets() {
  router_.Add("POST", "/v1/targets", AdminAccess::kLoopback,
              [this](const AdminRouter::Call& call,
                     const AdminRespond& respond) { Announce(call, respond); });
  router_.Add("POST", "/v1/targets/{}/report", AdminAccess::kLoopback,
              [this](const AdminRouter::Call& call,
                     const AdminRespond& respond) { Report(call, respond); });
  // Unlike DELETE, responds with success even if the target is not registered.
  router_.Add(
      "POST", "/v1/targets/{}/leave", AdminAccess::kLoopback,
      [this](const AdminRouter::Call& call, const AdminRespond& respond) {
        PostToDecisions(respond,
                        [this, respond,
                         departure = TargetDeparture::Parse(
                             TargetId(call.captures[0]), call.request.body)] {
                          options_.controller->Leave(departure, Now());
                          RespondOnceStored(respond);
                        });
      });
  const auto change = [this](std::function<bool(const TargetId&)> apply) {
    return [this, apply = std::move(apply)](const AdminRouter::Call& call,
                                            const AdminRespond& respond) {
      PostToDecisions(respond,
                      [apply, respond, id = TargetId(call.captures[0])] {
                        if (apply(id)) return respond(Json(object{}));
                        respond(UnknownTarget());
                      });
    };
  };
  router_.Add("POST", "/v1/targets/{}/renew", AdminAccess::kLoopback,
              change([this](const TargetId& id) {
                return options_.controller->Renew(id, Now());
              }));
  router_.Add(
      "DELETE", "/v1/targets/{}", AdminAccess::kLoopback,
      [this](const AdminRouter::Call& call, const AdminRespond& respond) {
        PostToDecisions(respond,
                        [this, respond, id = TargetId(call.captures[0])] {
                          if (!options_.controller->Leave({.id = id}, Now()))
                            return respond(UnknownTarget());
                          RespondOnceStored(respond);
                        });
      });
}

void AdminApi::RespondOnceStored(const AdminRespond& respond) const {
  options_.await_departures_stored([respond](bool stored) {
    if (stored) return respond(Json(object{}));
    respond(AdminError(503, "not_stored",
                       "the target receives no new requests, but neither the "
                       "platform nor another host has stored that yet"));
  });
}

void AdminApi::AddRollouts() {
  router_.Add(
      "GET", "/v1/rollouts/{*}", AdminAccess::kAnyone,
      [this](const AdminRouter::Call& call, const AdminRespond& respond) {
        PostToDecisions(respond, [this, respond, id = call.captures[0]] {
          for (const auto& row :
               RolloutsView(options_.controller->replicator())) {
            if (row.at("id").as_string() == id) return respond(Json(row));
          }
          respond(AdminError(404, "not_found", "unknown rollout"));
        });
      });
  const auto change = [this](std::function<bool(const RolloutId&)> apply) {
    return [this, apply = std::move(apply)](const AdminRouter::Call& call,
                                            const AdminRespond& respond) {
      PostToDecisions(
          respond, [apply, respond, id = RolloutId(call.captures[0])] {
            if (apply(id)) return respond(Json(object{{"id", id.value()}}));
            respond(AdminError(404, "not_found", "unknown rollout"));
          });
    };
  };
  router_.Add("POST", "/v1/rollouts/{*}/abort", AdminAccess::kOperator,
              change([this](const RolloutId& id) {
                return options_.controller->rollouts().Abort(id, WallNow());
              }));
  router_.Add("POST", "/v1/rollouts/{*}/hurry", AdminAccess::kOperator,
              change([this](const RolloutId& id) {
                return options_.controller->rollouts().Hurry(id);
              }));
}

void AdminApi::AddOperations() {
  router_.Add(
      "PUT", "/v1/config", AdminAccess::kOperator,
      [this](const AdminRouter::Call& call, const AdminRespond& respond) {
        PutConfig(call, respond);
      });
  router_.Add(
      "PUT", "/v1/log_level", AdminAccess::kOperator,
      [this](const AdminRouter::Call& call, const AdminRespond& respond) {
        PutLogLevel(call, respond);
      });
  // It changes nothing, but it tells whose a key is, and takes time of the
  // proxy thread.
  router_.Add("POST", "/v1/preview", AdminAccess::kOperator,
              [this](const AdminRouter::Call& call,
                     const AdminRespond& respond) { Preview(call, respond); });
  router_.Add("POST", "/v1/drain", AdminAccess::kOperator,
              [this](const AdminRouter::Call&, const AdminRespond& respond) {
                options_.drain();
                respond(Json(object{{"draining", true}}, 202));
              });
}

AdminRouter::Handler AdminApi::ViewHandler(View view) const {
  return [this, view = std::move(view)](const AdminRouter::Call&,
                                        const AdminRespond& respond) {
    PostToDecisions(respond, [this, view, respond] {
      boost::json::value shown = view(*options_.controller);
      AdminResponse response = Json(shown);
      // Clients pass this version in If-Match when they edit the tables.
      if (const boost::json::value* version =
              shown.as_object().if_contains("version")) {
        response.etag = '"' + boost::json::serialize(*version) + '"';
      }
      respond(std::move(response));
    });
  };
}

void AdminApi::PostToDecisions(const AdminRespond& respond,
                               DecisionThread::Task task) const {
  if (options_.decisions->Post(DecisionThread::Source::kAdmin,
                               std::move(task))) {
    return;
  }
  respond(AdminError(503, "stopping", "the process is shutting down"));
}

void AdminApi::PutConfig(const AdminRouter::Call& call,
                         const AdminRespond& respond) {
  const std::optional<ConfigVersion> expected =
      ParseVersion(call.request.if_match);
  if (!expected.has_value()) {
    return respond(AdminError(
        428, "version_required",
        "If-Match must contain the version that the edit is based on"));
  }
  ConfigCodec codec;
  std::optional<ConfigSnapshot> tables = codec.Decode(call.request.body, 0);
  if (!tables.has_value())
    return respond(Invalid(ToFieldErrors(codec.errors())));

  const std::string& given = call.request.operation_id;
  ConfigEdit edit{.tables = std::move(*tables),
                  .base_version = *expected,
                  .operation_id = given.empty() ? NewOperationId() : given};
  PostToDecisions(respond, [this, respond, edit = std::move(edit)] {
    options_.accept(edit, [this, respond, edit](const AcceptResult& result) {
      options_.log->Log(LogLevel::kInfo, "admin",
                        result.status == AcceptStatus::kAccepted
                            ? "configuration edit accepted"
                            : "configuration edit rejected",
                        {{"version", result.head.version},
                         {"base", edit.base_version},
                         {"operation", edit.operation_id},
                         {"reason", result.reason}});
      respond(ToResponse(result, edit.operation_id));
    });
  });
}

void AdminApi::Announce(const AdminRouter::Call& call,
                        const AdminRespond& respond) {
  std::vector<FieldError> errors;
  const std::optional<TargetAnnouncement> announcement =
      TargetAnnouncement::Parse(call.request.body, errors);
  if (!announcement.has_value()) return respond(Invalid(errors));
  PostToDecisions(respond, [this, respond, announcement = *announcement] {
    if (!options_.controller->Announce(announcement, Now())) {
      return respond(
          AdminError(503, "too_many_targets",
                     "too many targets are registered on this host"));
    }
    const auto lease = options_.settings.targets.lease.count();
    respond(Json(object{{"id", announcement.id.value()}, {"lease_ms", lease}}));
  });
}

void AdminApi::Report(const AdminRouter::Call& call,
                      const AdminRespond& respond) {
  std::vector<FieldError> errors;
  const std::optional<TargetAnnouncement> report =
      TargetAnnouncement::ParseReport(TargetId(call.captures[0]),
                                      call.request.body, errors);
  if (!report.has_value()) {
    options_.log->Log(
        LogLevel::kWarning, "targets", "malformed target report",
        {{"target", call.captures[0]}, {"reason", SummarizeErrors(errors)}});
    return respond(Invalid(errors));
  }
  PostToDecisions(respond, [this, respond, report = *report] {
    if (!options_.controller->Report(report, Now())) {
      return respond(
          AdminError(503, "too_many_targets",
                     "too many targets are registered on this host"));
    }
    if (!report.leaving) return respond(Json(object{}));
    RespondOnceStored(respond);
  });
}

void AdminApi::Preview(const AdminRouter::Call& call,
                       const AdminRespond& respond) {
  std::vector<FieldError> errors;
  std::optional<PreviewRequest> request =
      ParsePreviewRequest(call.request.body, errors);
  if (!request.has_value()) return respond(Invalid(errors));
  const bool posted = options_.preview(
      std::move(*request), [this, respond](const PlacementPreview& preview) {
        // The rest is known to the decisions thread. The proxy thread must not
        // wait for it.
        const bool accepted = options_.decisions->TryPost(
            DecisionThread::Source::kProxy,
            [this, respond, preview] { respond(MakePreview(preview)); });
        if (!accepted) {
          respond(AdminError(503, "busy",
                             "the host is busy or shutting down; try again"));
        }
      });
  if (!posted) {
    respond(AdminError(503, "stopping", "the process is shutting down"));
  }
}

AdminResponse AdminApi::MakePreview(const PlacementPreview& preview) const {
  if (!preview.routing || preview.routing->head.version == 0) {
    return AdminError(503, "not_ready", "this host has no configuration yet");
  }
  HostController& controller = *options_.controller;
  PreviewSurroundings surroundings{
      .host = options_.settings.host,
      .domain = options_.settings.failure_domain,
      .hosts = controller.replicator().hosts(),
      .rollouts = controller.replicator().rollouts(),
      .config_age = controller.ConfigAge()};
  if (preview.team) {
    const TeamHash team = HashTeam(preview.team->name);
    surroundings.allocator = controller.quotas().AllocatorOf(team);
    surroundings.allocated = controller.quotas().AllocatedState(team);
  }
  return Json(PreviewView(preview, surroundings));
}

void AdminApi::PutLogLevel(const AdminRouter::Call& call,
                           const AdminRespond& respond) {
  std::string reason;
  const std::optional<boost::json::value> body =
      ParseJsonWithComments(call.request.body, reason);
  if (!body.has_value() || !body->is_object()) {
    return respond(
        Invalid({{.message = body.has_value() ? "the body must be an object"
                                              : reason}}));
  }
  std::vector<FieldError> errors;
  LogSettings log;
  JsonFields fields(body->get_object(), "", errors);
  ReadLogLevels(fields, log);
  fields.Finish();
  if (!errors.empty()) return respond(Invalid(errors));
  options_.log->SetLevels(log.level, log.parts);
  respond(Json(object{{"level", std::string(LogLevelName(log.level))}}));
}

}  // namespace camphor
