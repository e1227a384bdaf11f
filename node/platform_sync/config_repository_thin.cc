// Stands in for platform/config_repository.cc until that one is merged.
#include <boost/json.hpp>
#include <memory>
#include <utility>

#include "core/config/config_codec.h"
#include "platform/config_repository.h"

namespace camphor {
namespace {

constexpr char kTable[] = "config";
constexpr char kHeadKey[] = "head";

std::string ObjectKey(const ConfigHead& head) {
  return "config/" + head.digest.hex();
}

ConfigHead ParseHead(const std::string& text) {
  boost::json::error_code error;
  const boost::json::value value = boost::json::parse(text, error);
  if (error || !value.is_object()) return {};
  return {
      .version = value.at("version").to_number<ConfigVersion>(),
      .digest = Digest::FromHex(std::string(value.at("digest").as_string()))};
}

HeadResult ToHead(const PlatformAnswer& answer) {
  if (answer.status == PlatformStatus::kNotFound) {
    return {.head = ConfigHead{}};
  }
  if (answer.status != PlatformStatus::kOk) return {.reason = answer.reason};
  return {.head = ParseHead(answer.rows.at(0).value)};
}

AcceptResult Failed(const PlatformAnswer& answer) {
  return {.status = answer.status == PlatformStatus::kUnavailable
                        ? AcceptStatus::kUnavailable
                        : AcceptStatus::kUnknown,
          .reason = answer.reason};
}

}  // namespace

struct ConfigRepository::State {
  Options options;
};

ConfigRepository::ConfigRepository(Options options)
    : state_(std::make_shared<State>(State{std::move(options)})) {}
ConfigRepository::~ConfigRepository() = default;

void ConfigRepository::Accept(ConfigEdit edit,
                              std::function<void(const AcceptResult&)> done) {
  PlatformClient* const client = state_->options.client;
  const std::string bytes = ConfigCodec::Encode(edit.tables);
  const ConfigHead head{.version = edit.base_version + 1,
                        .digest = Digest::Of(bytes)};
  const auto write = [client, edit, head, done](const PlatformAnswer& read) {
    const HeadResult now = ToHead(read);
    if (!now.head.has_value()) return done(Failed(read));
    if (now.head->version != edit.base_version) {
      return done({.status = AcceptStatus::kConflict,
                   .head = *now.head,
                   .reason = "another edit was accepted first"});
    }
    const std::string row = boost::json::serialize(
        boost::json::object{{"version", head.version},
                            {"digest", head.digest.hex()},
                            {"operation_id", edit.operation_id}});
    client->Transact(
        {.conditions = {{.table = kTable,
                         .key = kHeadKey,
                         .revision =
                             read.rows.empty() ? 0 : read.rows[0].revision}},
         .writes = {{.table = kTable, .key = kHeadKey, .value = row}}},
        [head, done](const PlatformAnswer& written) {
          if (written.status == PlatformStatus::kOk) {
            return done({.status = AcceptStatus::kAccepted, .head = head});
          }
          if (written.status == PlatformStatus::kConflict) {
            return done({.status = AcceptStatus::kConflict,
                         .reason = "another edit was accepted first"});
          }
          done(Failed(written));
        });
  };
  client->PutObject(ObjectKey(head), bytes,
                    [client, write, done](const PlatformAnswer& put) {
                      if (put.status != PlatformStatus::kOk) {
                        return done(Failed(put));
                      }
                      client->Read(kTable, kHeadKey, write);
                    });
}

void ConfigRepository::ReadHead(std::function<void(const HeadResult&)> done) {
  state_->options.client->Read(
      kTable, kHeadKey,
      [done](const PlatformAnswer& answer) { done(ToHead(answer)); });
}

void ConfigRepository::FetchSnapshot(
    const ConfigHead& head, std::function<void(const SnapshotResult&)> done) {
  state_->options.client->GetObject(
      ObjectKey(head), [head, done](const PlatformAnswer& answer) {
        if (answer.status != PlatformStatus::kOk) {
          return done({.reason = answer.reason});
        }
        ConfigCodec codec;
        SnapshotResult result{.snapshot =
                                  codec.DecodeVerified(answer.object, head)};
        if (!result.snapshot.has_value()) {
          result.reason = codec.last_reason().ToString();
        }
        done(result);
      });
}

}  // namespace camphor
