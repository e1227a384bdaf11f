#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "core/config/config_codec.h"

// Arbitrary bytes are either rejected with an error or decoded into a snapshot
// that survives an encode and decode round trip unchanged.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  camphor::ConfigCodec codec;
  const auto snapshot = codec.Decode(text, 1);
  if (!snapshot) {
    if (codec.errors().empty()) std::abort();
    return 0;
  }
  const auto decoded = codec.DecodeVerified(
      camphor::ConfigCodec::Encode(*snapshot), snapshot->head);
  if (decoded != snapshot) std::abort();
  return 0;
}
