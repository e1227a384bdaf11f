#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "node/settings/settings.h"

// Arbitrary bytes are either read as settings or rejected with at least one
// error.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  camphor::SettingsReader reader;
  if (!reader.Read(text) && reader.errors().empty()) std::abort();
  return 0;
}
