#include "store/accept_run.h"

#include <fmt/format.h>

#include <utility>

#include "core/config/config_codec.h"
#include "store/config_rows.h"

namespace camphor {

AcceptRun::AcceptRun(const ConfigRepository::Options& options,
                     std::uint64_t seed, ConfigEdit edit,
                     std::function<void(const AcceptResult&)> done)
    : options_(options),
      edit_(std::move(edit)),
      bytes_(ConfigCodec::Encode(edit_.tables)),
      head_{.version = edit_.base_version + 1, .digest = Digest::Of(bytes_)},
      done_(std::move(done)),
      random_(seed),
      backoff_({.initial_delay = options.first_delay,
                .max_delay = options.longest_delay}),
      machine_({.base_version = edit_.base_version,
                .most_failures = options.most_attempts,
                .read_head = [this] { Ask(&AcceptRun::ReadHead); },
                .store_object = [this] { Ask(&AcceptRun::StoreObject); },
                .commit = [this] { Ask(&AcceptRun::Commit); },
                .read_operation = [this] { Ask(&AcceptRun::ReadOperation); },
                .wait = [this] { Ask(&AcceptRun::Wait); },
                .finish =
                    [this](AcceptOutcome outcome) {
                      outcome_ = outcome;
                      Ask(&AcceptRun::Finish);
                    }}) {}

template <typename Answer>
void AcceptRun::Feed(const Answer& answer) {
  Step step = nullptr;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    answer(machine_);
    step = std::exchange(next_, nullptr);
  }
  if (step != nullptr) (this->*step)();
}

void AcceptRun::Begin() {
  Feed([](AcceptMachine& machine) { machine.Start(); });
}

void AcceptRun::ReadHead() {
  options_.client->Read(
      kConfigTable, kHeadKey,
      [self = shared_from_this()](const PlatformAnswer& answer) {
        self->OnHead(answer);
      });
}

void AcceptRun::OnHead(const PlatformAnswer& answer) {
  if (answer.status == PlatformStatus::kOk && !answer.rows.empty()) {
    const auto head = DecodeHead(answer.rows.front().value);
    if (head) {
      revision_ = answer.rows.front().revision;
      winner_ = *head;
      Feed([&](AcceptMachine& machine) { machine.OnHead(head->version); });
      return;
    }
  }
  if (answer.status == PlatformStatus::kNotFound) {
    revision_ = 0;
    Feed([](AcceptMachine& machine) { machine.OnHead(0); });
    return;
  }
  FailStep(answer);
}

void AcceptRun::StoreObject() {
  options_.client->PutObject(
      ObjectKey(head_.digest), bytes_,
      [self = shared_from_this()](const PlatformAnswer& answer) {
        if (answer.status != PlatformStatus::kOk) {
          self->FailStep(answer);
          return;
        }
        self->Feed([](AcceptMachine& machine) { machine.OnObjectStored(); });
      });
}

void AcceptRun::Commit() {
  TableTransaction transaction;
  transaction.conditions = {
      {.table = kConfigTable, .key = kHeadKey, .revision = revision_},
      {.table = kOperationsTable, .key = edit_.operation_id}};
  transaction.writes = {
      {.table = kConfigTable, .key = kHeadKey, .value = EncodeHead(head_)},
      {.table = kOperationsTable,
       .key = edit_.operation_id,
       .value = EncodeHead(head_)},
      {.table = kVersionsTable,
       .key = VersionKey(head_.version),
       .value = EncodeHead(head_)}};
  options_.client->Transact(
      std::move(transaction),
      [self = shared_from_this()](const PlatformAnswer& answer) {
        self->OnCommit(answer);
      });
}

void AcceptRun::OnCommit(const PlatformAnswer& answer) {
  switch (answer.status) {
    case PlatformStatus::kOk:
      Feed([](AcceptMachine& machine) { machine.OnCommitted(); });
      return;
    case PlatformStatus::kConflict:
      Feed([](AcceptMachine& machine) { machine.OnCommitConflict(); });
      return;
    case PlatformStatus::kUnknown:
      reason_ = answer.reason;
      Feed([](AcceptMachine& machine) { machine.OnCommitLost(); });
      return;
    case PlatformStatus::kNotFound:
    case PlatformStatus::kCompacted:
    case PlatformStatus::kUnavailable:
      FailStep(answer);
      return;
  }
}

void AcceptRun::ReadOperation() {
  options_.client->Read(
      kOperationsTable, edit_.operation_id,
      [self = shared_from_this()](const PlatformAnswer& answer) {
        self->OnOperation(answer);
      });
}

void AcceptRun::OnOperation(const PlatformAnswer& answer) {
  if (answer.status == PlatformStatus::kNotFound) {
    Feed([](AcceptMachine& machine) { machine.OnOperationMissing(); });
    return;
  }
  std::optional<ConfigHead> head;
  if (answer.status == PlatformStatus::kOk && !answer.rows.empty())
    head = DecodeHead(answer.rows.front().value);
  if (!head) {
    FailStep(answer);
    return;
  }
  head_ = *head;
  Feed([](AcceptMachine& machine) { machine.OnOperationFound(); });
}

void AcceptRun::FailStep(const PlatformAnswer& answer) {
  reason_ = answer.reason;
  Feed([](AcceptMachine& machine) { machine.OnStepFailed(); });
}

void AcceptRun::Wait() {
  options_.schedule(backoff_.Next(random_), [self = shared_from_this()] {
    self->Feed([](AcceptMachine& machine) { machine.Retry(); });
  });
}

void AcceptRun::Finish() {
  switch (outcome_) {
    case AcceptOutcome::kAccepted:
      done_({.status = AcceptStatus::kAccepted, .head = head_});
      return;
    case AcceptOutcome::kConflict:
      ReadWinner();
      return;
    case AcceptOutcome::kUnavailable:
      done_(
          {.status = AcceptStatus::kUnavailable,
           .reason = "the platform refused, nothing was written: " + reason_});
      return;
    case AcceptOutcome::kUnknown:
      done_({.status = AcceptStatus::kUnknown,
             .reason = "the platform did not say whether the edit was "
                       "accepted; send it again with the same operation "
                       "id: " +
                       reason_});
      return;
  }
}

// The rest only explains the conflict: what fails here is left out.
void AcceptRun::ReadWinner() {
  options_.client->Read(
      kConfigTable, kHeadKey,
      [self = shared_from_this()](const PlatformAnswer& answer) {
        if (!answer.rows.empty()) {
          const auto head = DecodeHead(answer.rows.front().value);
          if (head) self->winner_ = *head;
        }
        self->FetchTables(self->winner_, &self->after_, &AcceptRun::ReadBase);
      });
}

void AcceptRun::ReadBase() {
  options_.client->Read(
      kVersionsTable, VersionKey(edit_.base_version),
      [self = shared_from_this()](const PlatformAnswer& answer) {
        std::optional<ConfigHead> base;
        if (!answer.rows.empty()) base = DecodeHead(answer.rows.front().value);
        self->FetchTables(base.value_or(ConfigHead{}), &self->before_,
                          &AcceptRun::FinishConflict);
      });
}

void AcceptRun::FetchTables(const ConfigHead& head,
                            std::optional<ConfigSnapshot>* tables, Step next) {
  if (head.version == 0) {
    *tables = ConfigSnapshot{};
    (this->*next)();
    return;
  }
  options_.client->GetObject(
      ObjectKey(head.digest), [self = shared_from_this(), head, tables,
                               next](const PlatformAnswer& answer) {
        ConfigCodec codec;
        if (answer.status == PlatformStatus::kOk)
          *tables = codec.DecodeVerified(answer.object, head);
        (self.get()->*next)();
      });
}

void AcceptRun::FinishConflict() {
  AcceptResult result{
      .status = AcceptStatus::kConflict,
      .head = winner_,
      .reason = fmt::format("the head is version {}, not the version {} "
                            "that the edit started from",
                            winner_.version, edit_.base_version)};
  if (before_ && after_)
    result.changed_since_base = TableDiff::Between(*before_, *after_);
  done_(result);
}

}  // namespace camphor
