#include "store/config_repository.h"

#include <mutex>
#include <random>
#include <utility>

#include "core/config/config_codec.h"
#include "store/accept_task.h"
#include "store/config_rows.h"

namespace camphor {

struct ConfigRepository::State {
  explicit State(Options initial_options)
      : options(std::move(initial_options)), random(options.random_seed) {}

  Options options;
  std::mutex mutex{};  // guards random
  std::minstd_rand random;
};

ConfigRepository::ConfigRepository(Options options)
    : state_(std::make_shared<State>(std::move(options))) {}

ConfigRepository::~ConfigRepository() = default;

void ConfigRepository::Accept(ConfigEdit edit,
                              std::function<void(const AcceptResult&)> done) {
  std::uint64_t seed = 0;
  {
    const std::lock_guard<std::mutex> lock(state_->mutex);
    seed = state_->random();
  }
  std::make_shared<AcceptTask>(state_->options, seed, std::move(edit),
                               std::move(done))
      ->Start();
}

void ConfigRepository::ReadHead(std::function<void(const HeadResult&)> done) {
  state_->options.client->Read(
      kConfigTable, kHeadKey,
      [done = std::move(done)](const PlatformResponse& response) {
        if (response.status == PlatformStatus::kNotFound) {
          done({.head = ConfigHead{}});
          return;
        }
        HeadResult result{.reason = response.reason};
        if (response.status == PlatformStatus::kOk && !response.rows.empty()) {
          result.head = DecodeHead(response.rows.front().value);
          if (!result.head) result.reason = "the head row is malformed";
        }
        done(result);
      });
}

void ConfigRepository::FetchSnapshot(
    const ConfigHead& head, std::function<void(const SnapshotResult&)> done) {
  state_->options.client->GetObject(
      ObjectKey(head.digest),
      [head, done = std::move(done)](const PlatformResponse& response) {
        if (response.status != PlatformStatus::kOk) {
          done({.reason = response.reason.empty()
                              ? "the snapshot object was not found"
                              : response.reason});
          return;
        }
        ConfigCodec codec;
        SnapshotResult result{.snapshot =
                                  codec.DecodeVerified(response.object, head)};
        if (!result.snapshot) result.reason = codec.last_reason().ToString();
        done(result);
      });
}

}  // namespace camphor
