#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>
#include <vector>

#include "core/membership/target_announcement.h"

// Arbitrary bytes are either parsed as an announcement or rejected with at
// least one error.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  std::vector<camphor::FieldError> errors;
  const auto announcement = camphor::TargetAnnouncement::Parse(text, errors);
  if (!announcement && errors.empty()) std::abort();
  return 0;
}
