#ifndef CAMPHORHILL_HARNESS_FUZZ_RESPONSE_STREAM_H_
#define CAMPHORHILL_HARNESS_FUZZ_RESPONSE_STREAM_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "harness/fuzz/request_fuzzer.h"
#include "stand_ins/http/http_message.h"

namespace camphor {

/// How the sending direction of a listener's connection ended.
enum class StreamEnd : std::uint8_t {
  kOpen,    ///< it has not
  kClosed,  ///< the listener closed it
  kReset,   ///< it was reset, so that bytes may be missing
  kCutOff,  ///< this side cut the connection off
};

/// Parses and checks the responses that arrive on one fuzzed connection.
///
/// The response with index N belongs to the request with index N up to the
/// first mutated request; after that only the form of the responses is checked.
/// Must be used from one thread.
class ResponseStream {
 public:
  /// @pre `connection` outlives this object.
  explicit ResponseStream(const FuzzedConnection& connection)
      : connection_(connection) {}

  /// Adds received bytes.
  void Add(std::string_view bytes);

  /// Checks what can only be known at the end of the stream. `sent_all` tells
  /// whether all bytes of the connection were sent.
  void Finish(StreamEnd end, bool sent_all);

  /// Number of final responses so far.
  std::size_t responses() const { return responses_; }

  /// Number of responses of 200 to well-formed requests so far.
  std::size_t answered() const { return answered_; }

  /// Ids of requests that were refused as not run.
  const std::vector<std::string>& refused() const { return refused_; }

  /// Violations found so far. After the first one, nothing else is parsed.
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  bool ParseNext(bool ended);
  void OnResponse(const HttpResponse& response, bool closes);
  void Report(const std::string& what);
  bool has_own_request() const { return responses_ < connection_.well_formed; }

  const FuzzedConnection& connection_;
  std::string bytes_;  // received and not yet parsed
  std::size_t responses_ = 0;
  std::size_t answered_ = 0;
  bool closes_ = false;  // the last response announced a close
  std::vector<std::string> refused_;
  std::vector<std::string> violations_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_HARNESS_FUZZ_RESPONSE_STREAM_H_
