#ifndef CAMPHORHILL_UNIT_TESTS_STORE_FAKE_PLATFORM_H_
#define CAMPHORHILL_UNIT_TESTS_STORE_FAKE_PLATFORM_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "core/base/time.h"
#include "store/platform_client.h"

namespace camphor {

/// In-memory platform. Calls are queued until Step completes one of them, with
/// or without a fault. Must be used from one thread.
class FakePlatform final : public PlatformClient {
 public:
  enum class Fault {
    kNone,          ///< call is applied and gets its response
    kRefused,       ///< call is not applied and ends as kUnavailable
    kRequestLost,   ///< call is not applied and ends as kUnknown
    kResponseLost,  ///< call is applied, but ends as kUnknown
  };

  void Read(std::string table, std::string key,
            PlatformCallback done) override {
    Enqueue(std::move(done), [this, table, key] { return DoRead(table, key); });
  }
  void Scan(std::string table, std::string prefix,
            PlatformCallback done) override {
    Enqueue(std::move(done), [this, table, prefix] {
      PlatformResponse response = DoPage(table, prefix, rows_.size() + 1);
      std::erase_if(response.rows, [&prefix](const TableRow& row) {
        return !row.key.starts_with(prefix);
      });
      return response;
    });
  }
  void Page(std::string table, std::string from, std::size_t limit,
            PlatformCallback done) override {
    Enqueue(std::move(done),
            [this, table, from, limit] { return DoPage(table, from, limit); });
  }
  void Watch(std::string table, std::uint64_t after, Milliseconds wait,
             PlatformCallback done) override {
    last_watch_wait_ = wait;
    Enqueue(std::move(done),
            [this, table, after] { return DoWatch(table, after); });
  }
  void Transact(TableTransaction transaction, PlatformCallback done) override {
    Enqueue(std::move(done),
            [this, transaction] { return DoTransact(transaction); });
  }
  void PutObject(std::string key, std::string bytes,
                 PlatformCallback done) override {
    Enqueue(std::move(done), [this, key, bytes] {
      objects_[key] = bytes;
      return PlatformResponse{.status = PlatformStatus::kOk};
    });
  }
  void GetObject(std::string key, PlatformCallback done) override {
    Enqueue(std::move(done), [this, key] {
      const auto found = objects_.find(key);
      if (found == objects_.end())
        return PlatformResponse{.status = PlatformStatus::kNotFound};
      return PlatformResponse{.status = PlatformStatus::kOk,
                              .object = found->second};
    });
  }

  /// Writes a row at once, as another client of the platform would.
  void Put(const std::string& table, const std::string& key,
           const std::string& value) {
    rows_[{table, key}] = {
        .table = table, .key = key, .value = value, .revision = ++revision_};
  }

  /// Removes a row at once, as another client of the platform would.
  void Remove(const std::string& table, const std::string& key) {
    rows_.erase({table, key});
    removed_[{table, key}] = {
        .table = table, .key = key, .revision = ++revision_, .removed = true};
  }

  /// Drops the change history, so that earlier revisions are compacted.
  void DropHistory() { compacted_revision_ = revision_; }

  /// From now on, reads of a table return its rows as they are now.
  void HoldReads() { held_ = {rows_, revision_}; }
  /// Ends the effect of HoldReads.
  void ReleaseReads() { held_.reset(); }

  /// Queues a function, as a timer would.
  void Schedule(std::function<void()> run) {
    waiting_.push_back([run = std::move(run)](Fault) { run(); });
  }

  std::size_t waiting() const { return waiting_.size(); }

  /// The maximum duration that the last watch asked for.
  Milliseconds last_watch_wait() const { return last_watch_wait_; }

  /// Completes one queued call. @pre index < waiting().
  void Step(Fault fault, std::size_t index = 0) {
    const auto run = std::move(waiting_[index]);
    waiting_.erase(waiting_.begin() + static_cast<std::ptrdiff_t>(index));
    run(fault);
  }

  /// Completes all calls without faults, also those issued meanwhile.
  void Run() {
    while (!waiting_.empty()) Step(Fault::kNone);
  }

  /// The value of a row; empty if there is none.
  std::string Value(const std::string& table, const std::string& key) const {
    const auto found = rows_.find({table, key});
    return found == rows_.end() ? "" : found->second.value;
  }
  std::size_t CountRows(const std::string& table) const {
    std::size_t count = 0;
    for (const auto& [key, row] : rows_)
      if (key.first == table) ++count;
    return count;
  }

 private:
  using Rows = std::map<std::pair<std::string, std::string>, TableRow>;

  void Enqueue(PlatformCallback done, std::function<PlatformResponse()> apply) {
    waiting_.push_back(
        [done = std::move(done), apply = std::move(apply)](Fault fault) {
          if (fault == Fault::kRefused) {
            done({.status = PlatformStatus::kUnavailable, .reason = "refused"});
            return;
          }
          PlatformResponse response{.status = PlatformStatus::kUnknown,
                                    .reason = "lost"};
          if (fault == Fault::kNone) response = apply();
          if (fault == Fault::kResponseLost) apply();
          done(response);
        });
  }

  PlatformResponse DoRead(const std::string& table, const std::string& key) {
    const auto found = rows_.find({table, key});
    if (found == rows_.end()) return {.status = PlatformStatus::kNotFound};
    return {.status = PlatformStatus::kOk, .rows = {found->second}};
  }

  PlatformResponse DoPage(const std::string& table, const std::string& from,
                          std::size_t limit) {
    const Rows& rows = held_ ? held_->first : rows_;
    PlatformResponse response{.status = PlatformStatus::kOk,
                              .revision = held_ ? held_->second : revision_};
    for (auto row = rows.lower_bound({table, from});
         row != rows.end() && row->first.first == table; ++row) {
      response.more = response.rows.size() == limit;
      if (response.more) break;
      response.rows.push_back(row->second);
    }
    return response;
  }

  PlatformResponse DoWatch(const std::string& table, std::uint64_t after) {
    if (after < compacted_revision_)
      return {.status = PlatformStatus::kCompacted};
    PlatformResponse response{.status = PlatformStatus::kOk,
                              .revision = revision_};
    for (const auto& [key, row] : rows_) {
      if (key.first == table && row.revision > after)
        response.rows.push_back(row);
    }
    for (const auto& [key, row] : removed_) {
      if (key.first == table && row.revision > after && !rows_.contains(key))
        response.rows.push_back(row);
    }
    return response;
  }

  PlatformResponse DoTransact(const TableTransaction& transaction) {
    for (const RowCondition& condition : transaction.conditions) {
      const auto found = rows_.find({condition.table, condition.key});
      const std::uint64_t revision =
          found == rows_.end() ? 0 : found->second.revision;
      if (revision != condition.revision)
        return {.status = PlatformStatus::kConflict};
    }
    for (const RowWrite& write : transaction.writes) {
      rows_[{write.table, write.key}] = {.table = write.table,
                                         .key = write.key,
                                         .value = *write.value,
                                         .revision = ++revision_};
    }
    return {.status = PlatformStatus::kOk};
  }

  std::deque<std::function<void(Fault)>> waiting_;
  Rows rows_;
  Rows removed_;  ///< the latest removal of each row
  std::optional<std::pair<Rows, std::uint64_t>> held_;
  std::map<std::string, std::string> objects_;
  std::uint64_t revision_ = 0;
  std::uint64_t compacted_revision_ = 0;
  Milliseconds last_watch_wait_{0};
};

}  // namespace camphor

#endif  // CAMPHORHILL_UNIT_TESTS_STORE_FAKE_PLATFORM_H_
