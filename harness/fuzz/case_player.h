#ifndef CAMPHORHILL_HARNESS_FUZZ_CASE_PLAYER_H_
#define CAMPHORHILL_HARNESS_FUZZ_CASE_PLAYER_H_

#include <cstddef>
#include <limits>
#include <string>
#include <vector>

#include "core/base/endpoint.h"
#include "harness/fuzz/request_fuzzer.h"

namespace camphor {

/// What the callers of a fuzz case observed.
struct FuzzObservation {
  std::vector<std::string> violations{};  ///< responses that must not occur
  std::vector<std::string> refused{};  ///< ids of requests refused as not run
  std::size_t responses = 0;           ///< final responses
  std::size_t answered = 0;  ///< responses of 200 to well-formed requests
};

/// Plays the first `steps` steps of a case against a listener, reads the
/// responses and closes all connections. A connection whose end this side does
/// not cut off is read until nothing can be expected any more. Blocks; a
/// listener that neither responds nor closes for 30 seconds where it must is a
/// violation. Thread-safe.
FuzzObservation PlayFuzzCase(
    const FuzzCase& fuzz_case, const Endpoint& listener,
    std::size_t steps = std::numeric_limits<std::size_t>::max());

}  // namespace camphor

#endif  // CAMPHORHILL_HARNESS_FUZZ_CASE_PLAYER_H_
