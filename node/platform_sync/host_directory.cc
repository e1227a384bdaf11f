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
  assert(options_.platform && options_.log && options_.found && options_.post);
}

void HostDirectory::Tick(bool alone, MonoTime now) {
  now_ = now;
  if (under_way_ || now < next_) return;
  switch (step_) {
    case Step::kWrite:
      return Write();
    case Step::kReadNext:
      return Read(options_.host.value());
    case Step::kReadFirst:
      return Read("");
    case Step::kDone:
      if (alone) {
        step_ = Step::kReadNext;
        found_dead_ = true;
      }
      next_ = now + options_.read_again;
      return;
  }
}

void HostDirectory::Write() {
  under_way_ = true;
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
  under_way_ = true;
  options_.platform->Page(kTable, std::move(from), options_.rows,
                          [this](const PlatformResponse& answer) {
                            options_.post([this, answer] { OnRead(answer); });
                          });
}

void HostDirectory::OnWritten(const PlatformResponse& answer) {
  under_way_ = false;
  // The row is the same each time: writing it once more settles a lost answer.
  if (answer.status != PlatformStatus::kOk) return OnFailure(answer);
  retry_.Reset();
  failures_ = 0;
  step_ = Step::kReadNext;
}

void HostDirectory::OnRead(const PlatformResponse& answer) {
  under_way_ = false;
  if (answer.status != PlatformStatus::kOk) return OnFailure(answer);
  retry_.Reset();
  failures_ = 0;
  std::vector<Endpoint> meshes;
  for (const TableRow& row : answer.rows) {
    const std::optional<Endpoint> mesh = Endpoint::Parse(row.value);
    if (row.key == options_.host.value()) continue;
    if (mesh) {
      meshes.push_back(*mesh);
      continue;
    }
    options_.log->Log(LogLevel::kWarning, "platform",
                      "a row of the table of hosts is malformed",
                      {{"host", row.key}});
  }
  // The ring goes on at the table's beginning; the mesh knows the others.
  const bool few = found_dead_ || meshes.size() < options_.enough;
  const bool wrap = step_ == Step::kReadNext && !answer.more && few;
  step_ = wrap ? Step::kReadFirst : Step::kDone;
  if (!wrap) next_ = now_ + options_.read_again;
  options_.log->Log(LogLevel::kInfo, "platform", "the table of hosts was read",
                    {{"hosts", meshes.size()}, {"revision", answer.revision}});
  if (!meshes.empty()) options_.found(meshes);
}

void HostDirectory::OnFailure(const PlatformResponse& answer) {
  ++failures_;
  next_ = now_ + retry_.Next(random_);
  options_.log->Log(LogLevel::kWarning, "platform",
                    "the table of hosts can not be used now",
                    {{"reason", answer.reason}, {"failures", failures_}});
}

}  // namespace camphor
