#ifndef CAMPHORHILL_HARNESS_FUZZ_REQUEST_FUZZER_H_
#define CAMPHORHILL_HARNESS_FUZZ_REQUEST_FUZZER_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace camphor {

/// One request of a fuzzed connection. Immutable value type.
struct FuzzedRequest {
  std::string id{};           ///< value of X-Request-Id
  std::string smuggled_id{};  ///< id of a request that is embedded in the body
                              ///< and must not run; empty: none
  bool head = false;          ///< its method is HEAD
  bool expects_continue = false;   ///< sends Expect: 100-continue
  std::uint64_t answer_bytes = 0;  ///< length of the target's response body

  auto operator<=>(const FuzzedRequest&) const = default;
};

/// What one fuzzed connection sends. Immutable value type.
struct FuzzedConnection {
  std::string bytes{};                    ///< all bytes to send
  std::vector<FuzzedRequest> requests{};  ///< in the order sent
  std::size_t well_formed = 0;  ///< requests before the first mutated one;
                                ///< their number if none is mutated
  bool reads_late = false;      ///< reads nothing until all steps were played

  bool mutated() const { return well_formed < requests.size(); }
  auto operator<=>(const FuzzedConnection&) const = default;
};

/// One step of a fuzz case. Immutable value type.
struct FuzzStep {
  enum class Kind : std::uint8_t {
    kSend,       ///< send the next `count` bytes of the connection
    kPause,      ///< wait for `count` milliseconds
    kHalfClose,  ///< send no more, but read on
    kClose,      ///< close the connection
    kReset,      ///< abort the connection
  };
  Kind kind = Kind::kSend;
  std::size_t connection = 0;  ///< index of the connection; unused by kPause
  std::size_t count = 0;       ///< bytes or milliseconds

  auto operator<=>(const FuzzStep&) const = default;
};

/// Connections of one round and the order in which they are driven. Immutable
/// value type.
struct FuzzCase {
  std::vector<FuzzedConnection> connections{};
  std::vector<FuzzStep> steps{};

  auto operator<=>(const FuzzCase&) const = default;
};

/// Paths of the routes that a fuzz case is made for.
inline constexpr char kFuzzServedPath[] = "/served";  ///< repeatable, public
inline constexpr char kFuzzOncePath[] = "/once";      ///< at most once, public
inline constexpr char kFuzzKeyedPath[] = "/keyed";    ///< needs a team's key

/// Largest header and body that the operator's limits of a fuzzed host should
/// allow, in bytes. Some mutations exceed them.
inline constexpr std::size_t kFuzzHeaderBytes = 16'384;
inline constexpr std::size_t kFuzzBodyBytes = 65'536;

/// Makes the case with number `round` of a seed: HTTP/1.1 requests, valid and
/// mutated, split into pieces at arbitrary offsets, some cut off, interleaved
/// over several connections. Request ids begin with `prefix` and the round, and
/// are unique. Equal arguments give equal cases. Thread-safe.
FuzzCase MakeFuzzCase(std::uint64_t seed, std::uint64_t round,
                      const std::string& prefix);

/// Describes the first `steps` steps for failure reports. Thread-safe.
std::string DescribeFuzzCase(const FuzzCase& fuzz_case, std::size_t steps);

}  // namespace camphor

#endif  // CAMPHORHILL_HARNESS_FUZZ_REQUEST_FUZZER_H_
