#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "core/config/config_codec.h"

// Tables of any bytes are refused with a reason, or read into a snapshot that
// encodes and reads back as itself.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  camphor::ConfigCodec codec;
  const auto snapshot = codec.Decode(text, 1);
  if (!snapshot) {
    if (codec.errors().empty()) std::abort();
    return 0;
  }
  const auto again = codec.DecodeVerified(
      camphor::ConfigCodec::Encode(*snapshot), snapshot->head);
  if (again != snapshot) std::abort();
  return 0;
}
