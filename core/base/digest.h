#ifndef CAMPHORHILL_CORE_BASE_DIGEST_H_
#define CAMPHORHILL_CORE_BASE_DIGEST_H_

#include <compare>
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
