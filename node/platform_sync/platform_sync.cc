#include "node/platform_sync/platform_sync.h"

#include <boost/json.hpp>
#include <chrono>
#include <utility>

#include "core/base/json_fields.h"
#include "core/config/config_codec.h"

namespace camphor {
namespace {

constexpr char kTable[] = "config";
constexpr char kHeadKey[] = "head";

MonoTime Now() { return std::chrono::steady_clock::now(); }

std::string ObjectKey(const ConfigHead& head) {
  return "config/" + head.digest.hex();
}

std::optional<ConfigHead> ParseHead(const std::string& text) {
  boost::json::error_code error;
  const boost::json::value value = boost::json::parse(text, error);
  if (error || !value.is_object()) return std::nullopt;
  std::vector<FieldError> errors;
  JsonFields fields(value.get_object(), "", errors);
  ConfigHead head{.version = static_cast<ConfigVersion>(
                      fields.Integer("version", 1, INT64_MAX)),
                  .digest = Digest::FromHex(fields.String("digest"))};
  if (!errors.empty()) return std::nullopt;
  return head;
}

}  // namespace

PlatformSync::PlatformSync(Options options)
    : options_(std::move(options)),
      schedule_({.poll = options_.settings.poll,
                 .slow_poll = options_.settings.slow_poll,
                 .random_seed = options_.random_seed}),
      archive_({.platform = options_.platform,
                .post = options_.post,
                .publish = [this](const RolloutRecord& record) {
                  options_.controller->replicator().Publish(record, Now());
                }}) {}

void PlatformSync::Tick(MonoTime now) {
  const Replicator& replicator = options_.controller->replicator();
  const bool poller = replicator.is_platform_poller();
  if (schedule_.Due(now, {.ready = replicator.ready(), .poller = poller})) {
    ReadHead();
  }
  archive_.Tick(replicator.rollouts(), poller, now);
}

void PlatformSync::OnConfigChanged(const ConfigSnapshot& snapshot) {
  archive_.SetConfig(snapshot);
}

void PlatformSync::ReadHead() {
  options_.platform->Read(kTable, kHeadKey,
                          [this](const PlatformAnswer& answer) {
                            options_.post([this, answer] { OnHead(answer); });
                          });
}

void PlatformSync::OnHead(const PlatformAnswer& answer) {
  const MonoTime now = Now();
  const bool answered = answer.status == PlatformStatus::kOk ||
                        answer.status == PlatformStatus::kNotFound;
  const bool was_reachable = reachable();
  schedule_.Finished(answered, now);
  if (!answered) {
    last_reason_ = answer.reason;
    if (was_reachable) {
      options_.log->Log(LogLevel::kWarning, "platform",
                        "the platform does not answer; serving goes on",
                        {{"reason", answer.reason}});
    }
    return;
  }
  if (!was_reachable) {
    options_.log->Log(LogLevel::kInfo, "platform",
                      "the platform answers again");
  }
  if (answer.rows.empty()) {
    return options_.controller->replicator().OnPlatformHead({}, now);
  }
  const std::optional<ConfigHead> head = ParseHead(answer.rows[0].value);
  if (!head.has_value()) {
    options_.log->Log(LogLevel::kError, "platform",
                      "the head row of the configuration is malformed");
    return;
  }
  options_.controller->replicator().OnPlatformHead(*head, now);
}

void PlatformSync::FetchSnapshot(const ConfigHead& head) {
  if (fetching_ == head) return;
  fetching_ = head;
  options_.platform->GetObject(
      ObjectKey(head), [this, head](const PlatformAnswer& answer) {
        options_.post([this, head, answer] { OnSnapshot(head, answer); });
      });
}

void PlatformSync::OnSnapshot(const ConfigHead& head,
                              const PlatformAnswer& answer) {
  if (fetching_ == head) fetching_.reset();
  if (answer.status != PlatformStatus::kOk) {
    options_.log->Log(LogLevel::kWarning, "platform",
                      "a snapshot could not be fetched",
                      {{"version", head.version}, {"reason", answer.reason}});
    return;
  }
  ConfigCodec codec;
  const std::optional<ConfigSnapshot> snapshot =
      codec.DecodeVerified(answer.object, head);
  if (!snapshot.has_value()) {
    options_.log->Log(LogLevel::kError, "platform",
                      "a snapshot at the platform is not what its head names",
                      {{"version", head.version},
                       {"reason", codec.last_reason().ToString()}});
    return;
  }
  options_.controller->replicator().OnPlatformSnapshot(*snapshot, Now());
}

void PlatformSync::Accept(const ConfigEdit& edit,
                          std::function<void(const EditOutcome&)> done) {
  const std::string bytes = ConfigCodec::Encode(edit.tables);
  const ConfigHead head{.version = edit.expected + 1,
                        .digest = Digest::Of(bytes)};
  const std::string row = boost::json::serialize(
      boost::json::object{{"version", head.version},
                          {"digest", head.digest.hex()},
                          {"operation_id", edit.operation_id}});
  PlatformClient* const platform = options_.platform;
  const auto finish = [this, edit, head, done](const PlatformAnswer& answer) {
    options_.post([this, edit, head, done, answer] {
      using Kind = EditOutcome::Kind;
      if (answer.status == PlatformStatus::kConflict) {
        return done(
            {.kind = Kind::kConflict,
             .head = options_.controller->replicator().snapshot() == nullptr
                         ? ConfigHead{}
                         : options_.controller->replicator().snapshot()->head,
             .reason = "another edit was accepted first"});
      }
      if (answer.status != PlatformStatus::kOk) {
        return done({.kind = answer.status == PlatformStatus::kUnavailable
                                 ? Kind::kUnavailable
                                 : Kind::kUnknown,
                     .reason = answer.reason});
      }
      ConfigSnapshot accepted = edit.tables;
      accepted.head = head;
      options_.controller->replicator().OnPlatformHead(head, Now());
      options_.controller->replicator().OnPlatformSnapshot(accepted, Now());
      done({.kind = Kind::kAccepted, .head = head});
    });
  };
  platform->PutObject(
      ObjectKey(head), bytes,
      [platform, edit, row, finish](const PlatformAnswer& put) {
        if (put.status != PlatformStatus::kOk) return finish(put);
        platform->Read(
            kTable, kHeadKey,
            [platform, edit, row, finish](const PlatformAnswer& read) {
              if (read.status != PlatformStatus::kOk &&
                  read.status != PlatformStatus::kNotFound) {
                return finish(read);
              }
              std::uint64_t revision = 0;
              ConfigVersion version = 0;
              if (!read.rows.empty()) {
                revision = read.rows[0].revision;
                version = ParseHead(read.rows[0].value)
                              .value_or(ConfigHead{})
                              .version;
              }
              if (version != edit.expected) {
                return finish({.status = PlatformStatus::kConflict});
              }
              platform->Transact({.conditions = {{.table = kTable,
                                                  .key = kHeadKey,
                                                  .revision = revision}},
                                  .writes = {{.table = kTable,
                                              .key = kHeadKey,
                                              .value = row}}},
                                 finish);
            });
      });
}

boost::json::object PlatformSync::Dump() const {
  return {{"reachable", reachable()},
          {"failures", schedule_.failures()},
          {"last_reason", last_reason_},
          {"fetching", fetching_.has_value() ? fetching_->version : 0},
          {"rollouts_unread", archive_.unread()}};
}

}  // namespace camphor
