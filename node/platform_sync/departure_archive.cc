#include "node/platform_sync/departure_archive.h"

#include <cassert>
#include <optional>
#include <utility>

namespace camphor {
namespace {

constexpr char kTable[] = "target_departures";

}  // namespace

DepartureArchive::DepartureArchive(Options options)
    : options_(std::move(options)),
      retry_(options_.retry),
      random_(options_.random_seed) {
  assert(options_.platform && options_.log && options_.departures &&
         options_.replicated && options_.on_loaded && options_.post);
}

void DepartureArchive::Tick(MonoTime now) {
  now_ = now;
  BeginCall(now);
  NotifyWaiters();
}

void DepartureArchive::OnChanged(MonoTime now) {
  now_ = now;
  ++change_;
  BeginCall(now);
}

void DepartureArchive::AwaitStored(std::function<void(bool)> done,
                                   MonoTime now) {
  now_ = now;
  waiters_.push_back({.change = change_,
                      .platform_deadline = now + options_.max_platform_wait,
                      .deadline = now + options_.max_wait,
                      .done = std::move(done)});
  NotifyWaiters();
}

void DepartureArchive::BeginCall(MonoTime now) {
  if (call_pending_ || now < next_call_) return;
  if (loaded_ && stored_ == change_) return;
  if (loaded_ && revision_known_) return Write();
  Read();
}

void DepartureArchive::Read() {
  call_pending_ = true;
  options_.platform->Read(kTable, options_.host.value(),
                          [this](const PlatformResponse& answer) {
                            options_.post([this, answer] { OnRead(answer); });
                          });
}

void DepartureArchive::Write() {
  call_pending_ = true;
  const TableTransaction transaction{
      .conditions = {{.table = kTable,
                      .key = options_.host.value(),
                      .revision = revision_}},
      .writes = {{.table = kTable,
                  .key = options_.host.value(),
                  .value = EncodeDepartures(options_.departures())}}};
  options_.platform->Transact(
      transaction, [this, change = change_](const PlatformResponse& answer) {
        options_.post([this, change, answer] { OnWritten(change, answer); });
      });
}

void DepartureArchive::OnRead(const PlatformResponse& answer) {
  if (answer.status != PlatformStatus::kOk &&
      answer.status != PlatformStatus::kNotFound) {
    call_pending_ = false;
    return OnFailure("read", answer);
  }
  retry_.Reset();
  failures_ = 0;
  loaded_ = true;
  revision_known_ = true;
  revision_ = answer.rows.empty() ? 0 : answer.rows.front().revision;
  std::optional<std::vector<TargetDeparture>> stored;
  if (!answer.rows.empty())
    stored = DecodeDepartures(answer.rows.front().value);
  if (!answer.rows.empty() && !stored) {
    options_.log->Log(LogLevel::kWarning, "platform",
                      "departures at the platform are malformed",
                      {{"host", options_.host.value()}});
  }
  const std::vector<TargetDeparture> departures =
      stored.value_or(std::vector<TargetDeparture>{});
  options_.on_loaded(departures);
  // What was loaded counts as a change, but needs no write.
  if (options_.departures() == departures) stored_ = change_;
  call_pending_ = false;
  NotifyWaiters();
  BeginCall(now_);
}

void DepartureArchive::OnWritten(std::uint64_t change,
                                 const PlatformResponse& answer) {
  call_pending_ = false;
  revision_known_ = false;
  if (answer.status != PlatformStatus::kOk) return OnFailure("write", answer);
  retry_.Reset();
  failures_ = 0;
  stored_ = change;
  NotifyWaiters();
  BeginCall(now_);
}

void DepartureArchive::OnFailure(std::string_view call,
                                 const PlatformResponse& answer) {
  ++failures_;
  next_call_ = now_ + retry_.Next(random_);
  options_.log->Log(LogLevel::kWarning, "platform",
                    "call for the targets' departures failed; will retry",
                    {{"call", std::string(call)},
                     {"reason", answer.reason},
                     {"failures", failures_}});
  NotifyWaiters();
}

bool DepartureArchive::IsDurable(const Waiter& waiter) const {
  if (waiter.change <= stored_) return true;
  const bool platform_fails = failures_ > 0 || waiter.platform_deadline <= now_;
  return platform_fails && options_.replicated();
}

void DepartureArchive::NotifyWaiters() {
  while (!waiters_.empty()) {
    const Waiter& next = waiters_.front();
    const bool durable = IsDurable(next);
    if (!durable && now_ < next.deadline) return;
    const std::function<void(bool)> done = next.done;
    waiters_.pop_front();
    done(durable);
  }
}

}  // namespace camphor
