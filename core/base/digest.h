#ifndef CAMPHORHILL_CORE_BASE_DIGEST_H_
#define CAMPHORHILL_CORE_BASE_DIGEST_H_

#include <compare>
#include <memory>
#include <string>
#include <string_view>

namespace camphor {

/// SHA-256 of some bytes, in lower-case hexadecimal. Immutable value type.
class Digest {
 public:
  /// The digest of nothing known; never equal to a computed one.
  Digest() = default;

  /// Computes the digest of the given bytes. Thread safety: any thread.
  static Digest Of(std::string_view bytes);

  /// Computes the digest of bytes that come in pieces. Not thread safe.
  class Stream {
   public:
    Stream();
    ~Stream();
    Stream(const Stream&) = delete;
    Stream& operator=(const Stream&) = delete;

    void Add(std::string_view bytes);

    /// The digest of all that was added. @pre not called before.
    Digest Finish();

   private:
    struct State;
    std::unique_ptr<State> state_;
  };

  /// Wraps a digest that was read from elsewhere. @pre none: a malformed one
  /// simply never matches.
  static Digest FromHex(std::string hex);

  /// The hexadecimal text; empty when nothing is known. Thread safety: value
  /// type.
  const std::string& hex() const { return hex_; }

  auto operator<=>(const Digest&) const = default;

 private:
  std::string hex_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_BASE_DIGEST_H_
