#include "core/base/http_syntax.h"

#include <algorithm>

namespace camphor {
namespace {

/// Characters of a token besides letters and digits.
constexpr std::string_view kTokenMarks = "!#$%&'*+-.^_`|~";

}  // namespace

bool IsHttpToken(std::string_view text) {
  return !text.empty() && std::ranges::all_of(text, [](unsigned char letter) {
    return (letter >= 'a' && letter <= 'z') ||
           (letter >= 'A' && letter <= 'Z') ||
           (letter >= '0' && letter <= '9') ||
           kTokenMarks.find(static_cast<char>(letter)) !=
               std::string_view::npos;
  });
}

bool IsHttpFieldValue(std::string_view text) {
  return std::ranges::all_of(text, [](unsigned char letter) {
    return letter == '\t' || (letter >= ' ' && letter != 127);
  });
}

bool IsVisibleText(std::string_view text) {
  return std::ranges::all_of(
      text, [](unsigned char letter) { return letter > ' ' && letter != 127; });
}

bool IsHostFieldName(std::string_view name) {
  return std::ranges::equal(
      name, std::string_view("host"), {},
      [](unsigned char letter) { return static_cast<char>(letter | 0x20U); });
}

}  // namespace camphor
