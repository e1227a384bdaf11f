#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "node/settings/settings.h"

// Settings of any bytes are read, or refused with at least one reason.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  camphor::SettingsReader reader;
  if (!reader.Read(text) && reader.errors().empty()) std::abort();
  return 0;
}
