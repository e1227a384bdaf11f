#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "platform/base64.h"
#include "platform/operator_tables.h"
#include "platform/platform_codec.h"

// Arbitrary bytes as bodies and keys of the platform's API are either rejected
// with a reason or survive an encode and decode round trip unchanged.
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
  camphor::DecodeOperatorTables(
      {{"config", {.key = "config", .value = std::string(text)}}}, reason);
  const auto bytes = camphor::DecodeBase64(text);
  if (bytes && camphor::DecodeBase64(camphor::EncodeBase64(*bytes)) != bytes)
    std::abort();
  PlatformCodec::DecodeKey(text);
  if (PlatformCodec::DecodeKey(PlatformCodec::EncodeKey(text)) != text)
    std::abort();
  return 0;
}
