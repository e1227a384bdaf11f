#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "platform/platform_codec.h"

// Bodies and keys of the platform's API of any bytes are refused with a reason,
// or read back as themselves.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using camphor::PlatformCodec;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  std::string reason;
  const auto rows = PlatformCodec::DecodeRows(text, reason);
  if (!rows && reason.empty()) std::abort();
  if (rows && PlatformCodec::DecodeRows(PlatformCodec::EncodeRows(*rows),
                                        reason) != rows) {
    std::abort();
  }
  const auto transaction = PlatformCodec::DecodeTransaction(text, reason);
  if (transaction && PlatformCodec::DecodeTransaction(
                         PlatformCodec::EncodeTransaction(*transaction),
                         reason) != transaction) {
    std::abort();
  }
  PlatformCodec::DecodeRow(text, reason);
  PlatformCodec::DecodeKey(text);
  if (PlatformCodec::DecodeKey(PlatformCodec::EncodeKey(text)) != text)
    std::abort();
  return 0;
}
