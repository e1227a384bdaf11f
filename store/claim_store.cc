#include "store/claim_store.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <cassert>
#include <chrono>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

namespace camphor {
namespace {

constexpr std::string_view kTable = "claims";
constexpr Milliseconds kMinDelay{1};

std::string EncodeClaim(const std::string& owner, std::uint64_t fingerprint) {
  const auto at = std::chrono::time_point_cast<Milliseconds>(
      std::chrono::system_clock::now());
  return boost::json::serialize(
      boost::json::object{{"owner", owner},
                          {"fingerprint", fmt::format("{:016x}", fingerprint)},
                          {"at_ms", at.time_since_epoch().count()}});
}

/// Returns the owner stored in a row; empty if the row's value is malformed.
std::string ParseOwner(const TableRow& row) {
  boost::system::error_code error;
  const boost::json::value value = boost::json::parse(row.value, error);
  if (error || !value.is_object()) return {};
  const boost::json::value* owner = value.get_object().if_contains("owner");
  return owner != nullptr && owner->is_string()
             ? std::string(owner->get_string())
             : std::string();
}

BatchResult ToBatchResult(const PlatformResponse& response) {
  switch (response.status) {
    case PlatformStatus::kOk:
      return {.kind = BatchResult::Kind::kCommitted};
    case PlatformStatus::kConflict: {
      BatchResult result{.kind = BatchResult::Kind::kConflict};
      for (const TableRow& row : response.rows) {
        if (row.revision > 0) result.held[row.key] = ParseOwner(row);
      }
      return result;
    }
    case PlatformStatus::kCompacted:
    case PlatformStatus::kUnavailable:
      return {.kind = BatchResult::Kind::kNotApplied};
    case PlatformStatus::kNotFound:
    case PlatformStatus::kUnknown:
      break;
  }
  return {.kind = BatchResult::Kind::kNoResponse};
}

ClaimStatus ToClaimStatus(ClaimMachine::State state) {
  switch (state) {
    case ClaimMachine::State::kGranted:
      return ClaimStatus::kGranted;
    case ClaimMachine::State::kHeld:
      return ClaimStatus::kAlreadyClaimed;
    case ClaimMachine::State::kNotMade:
      return ClaimStatus::kNotMade;
    default:
      return ClaimStatus::kUnknown;
  }
}

TableTransaction MakeTransaction(const ClaimBatcher::Batch& batch) {
  TableTransaction transaction;
  for (const ClaimRequest& claim : batch.claims) {
    transaction.conditions.push_back(
        {.table = std::string(kTable), .key = claim.key, .revision = 0});
    transaction.writes.push_back(
        {.table = std::string(kTable), .key = claim.key, .value = claim.value});
  }
  return transaction;
}

}  // namespace

struct ClaimStore::State : std::enable_shared_from_this<ClaimStore::State> {
  using Callback = std::function<void(ClaimStatus)>;

  explicit State(Options store_options)
      : options(std::move(store_options)), batcher(options.batching) {}

  void Advance();
  void Write(const ClaimBatcher::Batch& batch);
  void Complete(const std::vector<ClaimDecision>& decisions);
  void ScheduleLocked(MonoTime now);
  bool IsOwnedByThisProcess(const TableRow& row) const {
    return ParseOwner(row).starts_with(options.owner + "/");
  }

  Options options;
  mutable std::mutex mutex;
  ClaimBatcher batcher;
  std::map<std::uint64_t, Callback> pending;
  std::uint64_t next_id = 1;
  MonoTime next_timer = MonoTime::max();
};

/// Sends the batches that are due and completes expired claims. @pre the mutex
/// is not held.
void ClaimStore::State::Advance() {
  std::vector<ClaimBatcher::Batch> batches;
  std::vector<ClaimDecision> decisions;
  {
    const std::scoped_lock lock(mutex);
    const MonoTime now = std::chrono::steady_clock::now();
    decisions = batcher.Expire(now);
    while (auto batch = batcher.NextBatch(now)) {
      batches.push_back(std::move(*batch));
    }
    ScheduleLocked(now);
  }
  for (const ClaimBatcher::Batch& batch : batches) Write(batch);
  Complete(decisions);
}

void ClaimStore::State::Write(const ClaimBatcher::Batch& batch) {
  options.client->Transact(
      MakeTransaction(batch),
      [self = shared_from_this(),
       number = batch.number](const PlatformResponse& response) {
        std::vector<ClaimDecision> decisions;
        {
          const std::scoped_lock lock(self->mutex);
          decisions = self->batcher.OnResult(number, ToBatchResult(response),
                                             std::chrono::steady_clock::now());
        }
        self->Complete(decisions);
        self->Advance();
      });
}

void ClaimStore::State::Complete(const std::vector<ClaimDecision>& decisions) {
  for (const ClaimDecision& decision : decisions) {
    Callback done;
    {
      const std::scoped_lock lock(mutex);
      const auto found = pending.find(decision.id);
      if (found == pending.end()) continue;
      done = std::move(found->second);
      pending.erase(found);
    }
    done(ToClaimStatus(decision.state));
  }
}

void ClaimStore::State::ScheduleLocked(MonoTime now) {
  const std::optional<MonoTime> wake = batcher.NextWakeTime();
  if (!wake || (next_timer > now && next_timer <= *wake)) return;
  next_timer = std::max(*wake, now + kMinDelay);
  const auto delay = std::chrono::ceil<Milliseconds>(next_timer - now);
  options.schedule(delay, [self = shared_from_this()] {
    {
      const std::scoped_lock lock(self->mutex);
      self->next_timer = MonoTime::max();
    }
    self->Advance();
  });
}

ClaimStore::ClaimStore(Options options)
    : state_(std::make_shared<State>(std::move(options))) {
  assert(state_->options.client && state_->options.schedule &&
         !state_->options.owner.empty());
}

ClaimStore::~ClaimStore() = default;

void ClaimStore::Claim(std::string key, std::uint64_t fingerprint,
                       const std::function<void(ClaimStatus)>& done) {
  bool accepted = false;
  {
    const std::scoped_lock lock(state_->mutex);
    const std::uint64_t id = state_->next_id++;
    const std::string owner = fmt::format("{}/{}", state_->options.owner, id);
    accepted =
        state_->batcher.Submit({.id = id,
                                .key = std::move(key),
                                .owner = owner,
                                .value = EncodeClaim(owner, fingerprint)},
                               std::chrono::steady_clock::now());
    if (accepted) state_->pending.emplace(id, done);
  }
  if (accepted) {
    state_->Advance();
  } else {
    done(ClaimStatus::kNotMade);
  }
}

void ClaimStore::Release(const std::string& key,
                         const std::function<void(bool)>& done) {
  const auto self = state_;
  PlatformClient* const client = self->options.client;
  client->Read(
      std::string(kTable), key,
      [self, client, key, done](const PlatformResponse& response) {
        if (response.status == PlatformStatus::kNotFound) return done(true);
        if (response.status != PlatformStatus::kOk ||
            response.rows.size() != 1 ||
            !self->IsOwnedByThisProcess(response.rows.front())) {
          return done(false);
        }
        // The condition on the revision keeps a newer claim of the same key.
        TableTransaction deletion;
        deletion.conditions.push_back(
            {.table = std::string(kTable),
             .key = key,
             .revision = response.rows.front().revision});
        deletion.writes.push_back(
            {.table = std::string(kTable), .key = key, .value = std::nullopt});
        client->Transact(
            std::move(deletion),
            [done](const PlatformResponse& deletion_response) {
              done(deletion_response.status == PlatformStatus::kOk);
            });
      });
}

ClaimBatcher::Counters ClaimStore::counters() const {
  const std::scoped_lock lock(state_->mutex);
  return state_->batcher.counters();
}

std::string ClaimStore::MetricsText() const {
  const std::scoped_lock lock(state_->mutex);
  const ClaimBatcher::Counters& counters = state_->batcher.counters();
  return fmt::format(
      "# TYPE camphor_claims_total counter\n"
      "camphor_claims_total {}\n"
      "# TYPE camphor_claim_writes_total counter\n"
      "camphor_claim_writes_total {}\n"
      "# TYPE camphor_claims_refused_total counter\n"
      "camphor_claims_refused_total {}\n"
      "# TYPE camphor_claims_waiting gauge\n"
      "camphor_claims_waiting {}\n"
      "# TYPE camphor_claim_write_pause_seconds gauge\n"
      "camphor_claim_write_pause_seconds {:.3f}\n",
      counters.claims, counters.writes, counters.refused,
      state_->batcher.waiting(),
      static_cast<double>(state_->batcher.pause().count()) / 1000.0);
}

}  // namespace camphor
