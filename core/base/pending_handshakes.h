#ifndef CAMPHORHILL_CORE_BASE_PENDING_HANDSHAKES_H_
#define CAMPHORHILL_CORE_BASE_PENDING_HANDSHAKES_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace camphor {

/// Limits the connections whose peer has not proved its identity yet.
///
/// A new connection always gets a place. If too many are taken, the oldest
/// connection of the address that holds the most places is closed for it: a
/// handshake takes a few round trips, so a peer that can authenticate is done
/// before that, unless the other peers of its address connect faster than
/// `places` in that time. Designed for a few hundred places, all of which may
/// be held by peers that never authenticate and connect again at once; taking a
/// place takes time proportional to the number of addresses. Must be used from
/// one thread.
class PendingHandshakes {
 public:
  /// Place of one connection, given back on destruction. Must not outlive the
  /// PendingHandshakes that it was taken from.
  class Place {
   public:
    Place() = default;
    Place(Place&& other) noexcept
        : owner_(std::exchange(other.owner_, nullptr)), id_(other.id_) {}
    Place& operator=(Place&& other) noexcept {
      std::swap(owner_, other.owner_);
      std::swap(id_, other.id_);
      return *this;
    }
    Place(const Place&) = delete;
    Place& operator=(const Place&) = delete;
    ~Place() {
      if (owner_ != nullptr) owner_->Remove(id_);
    }

   private:
    friend class PendingHandshakes;
    Place(PendingHandshakes* owner, std::uint64_t id)
        : owner_(owner), id_(id) {}

    PendingHandshakes* owner_ = nullptr;
    std::uint64_t id_ = 0;
  };

  PendingHandshakes() = default;
  PendingHandshakes(const PendingHandshakes&) = delete;
  PendingHandshakes& operator=(const PendingHandshakes&) = delete;

  /// Returns how many places a listener for `all` connections has while
  /// `authenticated` of them have authenticated: at most `most` and at most
  /// half of all. A sixteenth is always there, in addition to `all`, so that
  /// more peers can authenticate. Thread-safe.
  static std::size_t PlacesBeside(std::size_t authenticated, std::size_t all,
                                  std::size_t most);

  /// Sets the maximum number of places. Applies to the next Take().
  /// @pre places > 0
  void SetPlaces(std::size_t places);

  /// Takes a place for a connection from `address`. `displace` is called once
  /// at most, when the connection has lost its place to a newer one and must be
  /// closed. It may destroy the Place, and must not take another one.
  [[nodiscard]] Place Take(const std::string& address,
                           std::function<void()> displace);

  /// Number of places taken.
  std::size_t size() const { return connections_.size(); }

 private:
  struct Connection {
    std::string address;
    std::function<void()> displace;
  };

  std::uint64_t FindDisplaced() const;
  void Remove(std::uint64_t id);

  std::size_t places_ = 1;
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, Connection> connections_;  ///< oldest first
  std::map<std::string, std::set<std::uint64_t>>
      by_address_;  ///< the same connections
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_BASE_PENDING_HANDSHAKES_H_
