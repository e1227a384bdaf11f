#ifndef CAMPHORHILL_CORE_BASE_DIGEST_H_
#define CAMPHORHILL_CORE_BASE_DIGEST_H_

#include <compare>
#include <memory>
#include <string>
#include <string_view>

namespace camphor {

/// SHA-256 digest in lower-case hexadecimal. Immutable value type.
class Digest {
 public:
  /// Creates an unset digest, which never equals a computed one.
  Digest() = default;

  /// Computes the digest of the given bytes. Thread-safe.
  static Digest Of(std::string_view bytes);

  /// Computes a digest incrementally. Not thread-safe.
  class Stream {
   public:
    Stream();
    ~Stream();
    Stream(const Stream&) = delete;
    Stream& operator=(const Stream&) = delete;

    void Add(std::string_view bytes);

    /// Returns the digest of all added bytes. @pre Has not been called before.
    Digest Finish();

   private:
    struct State;
    std::unique_ptr<State> state_;
  };

  /// Wraps a digest in text form without validation; a malformed one never
  /// matches a computed one.
  static Digest FromHex(std::string hex);

  /// Returns the hexadecimal text; empty if unset.
  const std::string& hex() const { return hex_; }

  auto operator<=>(const Digest&) const = default;

 private:
  std::string hex_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_BASE_DIGEST_H_
