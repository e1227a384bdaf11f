#include "store/accept_task.h"

#include <fmt/format.h>

#include <utility>

#include "core/config/config_codec.h"
#include "store/config_rows.h"

namespace camphor {

AcceptTask::AcceptTask(const ConfigRepository::Options& options,
                       std::uint64_t seed, ConfigEdit edit,
                       std::function<void(const AcceptResult&)> done)
    : options_(options),
      edit_(std::move(edit)),
      encoded_tables_(ConfigCodec::Encode(edit_.tables)),
      head_{.version = edit_.base_version + 1,
            .digest = Digest::Of(encoded_tables_)},
      done_(std::move(done)),
      random_(seed),
      backoff_({.initial_delay = options.initial_delay,
                .max_delay = options.max_delay}),
      machine_(
          {.base_version = edit_.base_version,
           .max_failures = options.max_attempts,
           .read_head = [this] { SetNextStep(&AcceptTask::ReadHead); },
           .store_object = [this] { SetNextStep(&AcceptTask::StoreObject); },
           .commit = [this] { SetNextStep(&AcceptTask::Commit); },
           .read_operation =
               [this] { SetNextStep(&AcceptTask::ReadOperation); },
           .schedule_retry = [this] { SetNextStep(&AcceptTask::Wait); },
           .finish =
               [this](AcceptOutcome outcome) {
                 outcome_ = outcome;
                 SetNextStep(&AcceptTask::Finish);
               }}) {}

template <typename Event>
void AcceptTask::Advance(const Event& event) {
  Step step = nullptr;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    event(machine_);
    step = std::exchange(next_step_, nullptr);
  }
  if (step != nullptr) (this->*step)();
}

void AcceptTask::Start() {
  Advance([](AcceptStateMachine& machine) { machine.Start(); });
}

void AcceptTask::ReadHead() {
  options_.client->Read(
      kConfigTable, kHeadKey,
      [self = shared_from_this()](const PlatformResponse& response) {
        self->OnHead(response);
      });
}

void AcceptTask::OnHead(const PlatformResponse& response) {
  if (response.status == PlatformStatus::kOk && !response.rows.empty()) {
    const auto head = DecodeHead(response.rows.front().value);
    if (head) {
      revision_ = response.rows.front().revision;
      current_head_ = *head;
      Advance(
          [&](AcceptStateMachine& machine) { machine.OnHead(head->version); });
      return;
    }
  }
  if (response.status == PlatformStatus::kNotFound) {
    revision_ = 0;
    Advance([](AcceptStateMachine& machine) { machine.OnHead(0); });
    return;
  }
  OnStepFailure(response);
}

void AcceptTask::StoreObject() {
  options_.client->PutObject(
      ObjectKey(head_.digest), encoded_tables_,
      [self = shared_from_this()](const PlatformResponse& response) {
        if (response.status != PlatformStatus::kOk) {
          self->OnStepFailure(response);
          return;
        }
        self->Advance(
            [](AcceptStateMachine& machine) { machine.OnObjectStored(); });
      });
}

void AcceptTask::Commit() {
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
      [self = shared_from_this()](const PlatformResponse& response) {
        self->OnCommit(response);
      });
}

void AcceptTask::OnCommit(const PlatformResponse& response) {
  switch (response.status) {
    case PlatformStatus::kOk:
      Advance([](AcceptStateMachine& machine) { machine.OnCommitted(); });
      return;
    case PlatformStatus::kConflict:
      Advance([](AcceptStateMachine& machine) { machine.OnCommitConflict(); });
      return;
    case PlatformStatus::kUnknown:
      failure_reason_ = response.reason;
      Advance(
          [](AcceptStateMachine& machine) { machine.OnCommitResponseLost(); });
      return;
    case PlatformStatus::kNotFound:
    case PlatformStatus::kCompacted:
    case PlatformStatus::kUnavailable:
      OnStepFailure(response);
      return;
  }
}

void AcceptTask::ReadOperation() {
  options_.client->Read(
      kOperationsTable, edit_.operation_id,
      [self = shared_from_this()](const PlatformResponse& response) {
        self->OnOperation(response);
      });
}

void AcceptTask::OnOperation(const PlatformResponse& response) {
  if (response.status == PlatformStatus::kNotFound) {
    Advance([](AcceptStateMachine& machine) { machine.OnOperationMissing(); });
    return;
  }
  std::optional<ConfigHead> head;
  if (response.status == PlatformStatus::kOk && !response.rows.empty())
    head = DecodeHead(response.rows.front().value);
  if (!head) {
    OnStepFailure(response);
    return;
  }
  head_ = *head;
  Advance([](AcceptStateMachine& machine) { machine.OnOperationFound(); });
}

void AcceptTask::OnStepFailure(const PlatformResponse& response) {
  failure_reason_ = response.reason;
  Advance([](AcceptStateMachine& machine) { machine.OnStepFailed(); });
}

void AcceptTask::Wait() {
  options_.schedule(backoff_.Next(random_), [self = shared_from_this()] {
    self->Advance([](AcceptStateMachine& machine) { machine.Retry(); });
  });
}

void AcceptTask::Finish() {
  switch (outcome_) {
    case AcceptOutcome::kAccepted:
      done_({.status = AcceptStatus::kAccepted, .head = head_});
      return;
    case AcceptOutcome::kConflict:
      ReadCurrentHead();
      return;
    case AcceptOutcome::kUnavailable:
      done_({.status = AcceptStatus::kUnavailable,
             .reason = "platform unavailable; nothing was written: " +
                       failure_reason_});
      return;
    case AcceptOutcome::kUnknown:
      done_({.status = AcceptStatus::kUnknown,
             .reason = "no response from the platform, the edit may or may not "
                       "have been accepted; retry with the same operation "
                       "id: " +
                       failure_reason_});
      return;
  }
}

// The following reads only add details to a reported conflict. Details that
// cannot be read are omitted.
void AcceptTask::ReadCurrentHead() {
  options_.client->Read(
      kConfigTable, kHeadKey,
      [self = shared_from_this()](const PlatformResponse& response) {
        if (!response.rows.empty()) {
          const auto head = DecodeHead(response.rows.front().value);
          if (head) self->current_head_ = *head;
        }
        self->FetchTables(self->current_head_, &self->current_tables_,
                          &AcceptTask::ReadBaseVersion);
      });
}

void AcceptTask::ReadBaseVersion() {
  options_.client->Read(
      kVersionsTable, VersionKey(edit_.base_version),
      [self = shared_from_this()](const PlatformResponse& response) {
        std::optional<ConfigHead> base;
        if (!response.rows.empty())
          base = DecodeHead(response.rows.front().value);
        self->FetchTables(base.value_or(ConfigHead{}), &self->base_tables_,
                          &AcceptTask::FinishConflict);
      });
}

void AcceptTask::FetchTables(const ConfigHead& head,
                             std::optional<ConfigSnapshot>* tables, Step next) {
  if (head.version == 0) {
    *tables = ConfigSnapshot{};
    (this->*next)();
    return;
  }
  options_.client->GetObject(
      ObjectKey(head.digest), [self = shared_from_this(), head, tables,
                               next](const PlatformResponse& response) {
        ConfigCodec codec;
        if (response.status == PlatformStatus::kOk)
          *tables = codec.DecodeVerified(response.object, head);
        (self.get()->*next)();
      });
}

void AcceptTask::FinishConflict() {
  AcceptResult result{
      .status = AcceptStatus::kConflict,
      .head = current_head_,
      .reason = fmt::format("the current version is {}, but the edit is based "
                            "on version {}",
                            current_head_.version, edit_.base_version)};
  if (base_tables_ && current_tables_)
    result.changed_since_base =
        TableDiff::Between(*base_tables_, *current_tables_);
  done_(result);
}

}  // namespace camphor
