#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "mesh/message_codec.h"

// Arbitrary bytes are either rejected with a reason or decoded into a mesh
// message that survives an encode and decode round trip unchanged.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  std::string reason;
  const auto message = camphor::DecodeMeshMessage(bytes, reason);
  if (!message) {
    if (reason.empty()) std::abort();
    return 0;
  }
  const auto decoded =
      camphor::DecodeMeshMessage(camphor::EncodeMeshMessage(*message), reason);
  if (decoded != message) std::abort();
  return 0;
}
