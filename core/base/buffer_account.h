#ifndef CAMPHORHILL_CORE_BASE_BUFFER_ACCOUNT_H_
#define CAMPHORHILL_CORE_BASE_BUFFER_ACCOUNT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <utility>

#include "core/base/buffer_budget.h"
#include "core/base/time.h"

namespace camphor {

/// What one connection holds of a BufferBudget. Must be used from the thread of
/// the budget.
class BufferAccount {
 public:
  /// Why a connection yields.
  enum class Yield : std::uint8_t {
    kBuffers,  ///< others need its buffers
    kPlace,    ///< others need its place among the open connections
  };

  struct Options {
    BufferBudget* budget = nullptr;     ///< must outlive the account
    std::uint32_t group = 0;            ///< kind of the connection's peer
    std::function<bool()> may_yield{};  ///< returns true while the connection
                                        ///< waits for its peer
    std::function<void(Yield)>
        yield{};  ///< closes the connection or refuses its request. Called once
                  ///< at most; must not destroy the account before it returns
  };

  /// Bytes of an account that are given back on destruction. Must not outlive
  /// the account.
  class Charge {
   public:
    Charge() = default;
    explicit Charge(BufferAccount& account) : account_(&account) {}
    Charge(Charge&& other) noexcept
        : account_(std::exchange(other.account_, nullptr)),
          bytes_(std::exchange(other.bytes_, 0)) {}
    Charge& operator=(Charge&& other) noexcept {
      std::swap(account_, other.account_);
      std::swap(bytes_, other.bytes_);
      return *this;
    }
    Charge(const Charge&) = delete;
    Charge& operator=(const Charge&) = delete;
    ~Charge() {
      if (account_ != nullptr) account_->Shrink(bytes_);
    }

    /// Takes bytes. Returns false and takes none if the budget is short.
    bool Grow(std::uint64_t bytes, MonoTime now) {
      if (account_ == nullptr || !account_->Grow(bytes, now)) return false;
      bytes_ += bytes;
      return true;
    }

    /// Takes or gives back bytes so that `bytes` are held. Returns false and
    /// changes nothing if the budget is short.
    bool Resize(std::uint64_t bytes, MonoTime now);

    std::uint64_t bytes() const { return bytes_; }

   private:
    BufferAccount* account_ = nullptr;
    std::uint64_t bytes_ = 0;
  };

  /// @pre every option is set.
  explicit BufferAccount(Options options);

  /// Gives back all bytes.
  ~BufferAccount();
  BufferAccount(const BufferAccount&) = delete;
  BufferAccount& operator=(const BufferAccount&) = delete;

  /// Takes bytes of the budget; other connections may have to yield. Returns
  /// false and takes none if the budget is short, or after this one yielded.
  bool Grow(std::uint64_t bytes, MonoTime now);

  /// Gives back bytes. @pre they are held.
  void Shrink(std::uint64_t bytes);

  /// Records that the connection starts to wait for a request or a part of one.
  void BeginHold(MonoTime now) { since_ = now; }

  /// Records that bytes were received from or sent to the peer.
  void OnProgress(std::uint64_t bytes) { moved_ += bytes; }

  /// From now on, connections of this group do not yield their buffers to this
  /// one.
  void SpareGroup(std::uint32_t group) { spared_group_ = group; }

  /// Changes the group, for a peer that has proved its identity. It then spares
  /// no group any more.
  void SetGroup(std::uint32_t group) {
    options_.group = group;
    spared_group_.reset();
  }

  /// Bytes held now; 0 after the connection yielded.
  std::uint64_t held() const { return held_; }

  bool yielded() const { return yielded_; }

 private:
  friend class BufferBudget;

  double Rank(MonoTime now) const;
  void YieldNow(Yield reason);

  Options options_;
  std::optional<std::uint32_t> spared_group_{};
  std::uint64_t held_ = 0;
  std::uint64_t moved_ = 0;  ///< bytes received or sent since the connection
                             ///< was accepted
  MonoTime since_{};         ///< see BeginHold
  bool yielded_ = false;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_BASE_BUFFER_ACCOUNT_H_
