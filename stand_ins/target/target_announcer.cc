#include "stand_ins/target/target_announcer.h"

#include <optional>
#include <utility>

#include "stand_ins/http/http_connection.h"

namespace camphor {
namespace {

constexpr Milliseconds kRetryDelay{50};
constexpr int kLeaveAttempts = 20;

bool Succeeded(const std::optional<HttpResponse>& answer) {
  return answer && answer->status >= 200 && answer->status < 300;
}

}  // namespace

TargetAnnouncer::TargetAnnouncer(Options options)
    : options_(std::move(options)) {}

TargetAnnouncer::~TargetAnnouncer() { Leave(); }

void TargetAnnouncer::Start() {
  thread_ = std::thread([this] { Run(); });
}

void TargetAnnouncer::Leave() {
  if (!thread_.joinable()) return;
  {
    const std::lock_guard lock(mutex_);
    leaving_ = true;
  }
  leaving_changed_.notify_all();
  thread_.join();
}

bool TargetAnnouncer::WaitForLeave(Milliseconds time) {
  std::unique_lock lock(mutex_);
  return leaving_changed_.wait_for(lock, time, [this] { return leaving_; });
}

void TargetAnnouncer::Run() {
  HttpConnection node(options_.node);
  const std::string path = "/v1/targets/" + options_.id;
  const MonoTime warm_at =
      std::chrono::steady_clock::now() + options_.cold_start;
  bool announced = false;
  bool announced_warm = false;
  bool leaving = false;
  while (!leaving) {
    // Announce again if the node no longer has this target, and once it is
    // warm.
    const bool warm =
        options_.warming.empty() || std::chrono::steady_clock::now() >= warm_at;
    if (announced && announced_warm == warm) {
      announced =
          Succeeded(node.Call({.method = "POST", .target = path + "/renew"}));
    } else {
      announced = Succeeded(
          node.Call({.method = "POST",
                     .target = "/v1/targets",
                     .fields = {{"Content-Type", "application/json"}},
                     .body = warm ? options_.announcement : options_.warming}));
      announced_warm = warm;
      if (announced) options_.log("announced to the node");
    }
    leaving = WaitForLeave(announced ? options_.renew_interval : kRetryDelay);
  }
  for (int attempt = 0; attempt < kLeaveAttempts; ++attempt) {
    const auto answer = node.Call({.method = "DELETE", .target = path});
    // A node that is down or has no record of the target sends it no requests.
    if (Succeeded(answer) || (answer && answer->status == 404)) return;
    if (node.nothing_sent()) return;
  }
  options_.log("the node did not confirm the withdrawal of the target");
}

}  // namespace camphor
