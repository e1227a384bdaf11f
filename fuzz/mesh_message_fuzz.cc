#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "mesh/message_codec.h"

// Mesh messages of any bytes are refused with a reason, or read into a message
// that encodes and reads back as itself.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  std::string reason;
  const auto message = camphor::DecodeMeshMessage(bytes, reason);
  if (!message) {
    if (reason.empty()) std::abort();
    return 0;
  }
  const auto again =
      camphor::DecodeMeshMessage(camphor::EncodeMeshMessage(*message), reason);
  if (again != message) std::abort();
  return 0;
}
