#include "node/platform_sync/host_directory.h"

#include <cassert>
#include <utility>

namespace camphor {
namespace {

constexpr char kTable[] = "mesh_hosts";

}  // namespace

HostDirectory::HostDirectory(Options options)
    : options_(std::move(options)),
      retry_(options_.retry),
      random_(options_.random_seed) {
  assert(options_.platform && options_.log && options_.on_hosts_found &&
         options_.post);
}

void HostDirectory::Tick(bool isolated, MonoTime now) {
  now_ = now;
  if (call_pending_ || now < next_call_) return;
  switch (step_) {
    case Step::kWrite:
      return Write();
    case Step::kReadNext:
      return Read(options_.host.value());
    case Step::kReadFirst:
      return Read("");
    case Step::kDone:
      if (isolated) {
        step_ = Step::kReadNext;
        found_hosts_unreachable_ = true;
      }
      next_call_ = now + options_.reread_interval;
      return;
  }
}

void HostDirectory::Write() {
  call_pending_ = true;
  const TableTransaction transaction{
      .writes = {{.table = kTable,
                  .key = options_.host.value(),
                  .value = options_.mesh.ToString()}}};
  options_.platform->Transact(
      transaction, [this](const PlatformResponse& answer) {
        options_.post([this, answer] { OnWritten(answer); });
      });
}

void HostDirectory::Read(std::string from) {
  call_pending_ = true;
  options_.platform->Page(kTable, std::move(from), options_.page_size,
                          [this](const PlatformResponse& answer) {
                            options_.post([this, answer] { OnRead(answer); });
                          });
}

void HostDirectory::OnWritten(const PlatformResponse& answer) {
  call_pending_ = false;
  // The write is idempotent, so it is retried when the response was lost.
  if (answer.status != PlatformStatus::kOk) return OnFailure(answer);
  retry_.Reset();
  failures_ = 0;
  step_ = Step::kReadNext;
}

void HostDirectory::OnRead(const PlatformResponse& answer) {
  call_pending_ = false;
  if (answer.status != PlatformStatus::kOk) return OnFailure(answer);
  retry_.Reset();
  failures_ = 0;
  std::vector<Endpoint> endpoints;
  for (const TableRow& row : answer.rows) {
    const std::optional<Endpoint> mesh = Endpoint::Parse(row.value);
    if (row.key == options_.host.value()) continue;
    if (mesh) {
      endpoints.push_back(*mesh);
      continue;
    }
    options_.log->Log(LogLevel::kWarning, "platform",
                      "skipping malformed row in the host table",
                      {{"host", row.key}});
  }
  // If there are too few hosts up to the end of the table, continue at its
  // start. Further hosts are learned over the mesh.
  const bool too_few =
      found_hosts_unreachable_ || endpoints.size() < options_.sufficient_hosts;
  const bool wrap = step_ == Step::kReadNext && !answer.more && too_few;
  step_ = wrap ? Step::kReadFirst : Step::kDone;
  if (!wrap) next_call_ = now_ + options_.reread_interval;
  options_.log->Log(
      LogLevel::kInfo, "platform", "host table read",
      {{"hosts", endpoints.size()}, {"revision", answer.revision}});
  if (!endpoints.empty()) options_.on_hosts_found(endpoints);
}

void HostDirectory::OnFailure(const PlatformResponse& answer) {
  ++failures_;
  next_call_ = now_ + retry_.Next(random_);
  options_.log->Log(LogLevel::kWarning, "platform",
                    "host table call failed; will retry",
                    {{"reason", answer.reason}, {"failures", failures_}});
}

}  // namespace camphor
