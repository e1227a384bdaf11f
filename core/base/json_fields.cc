#include "core/base/json_fields.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

namespace camphor {

std::optional<boost::json::value> ParseJsonWithComments(std::string_view text,
                                                        std::string& reason) {
  boost::json::parse_options options;
  options.allow_comments = true;
  options.allow_trailing_commas = true;
  // Unlike boost::json::parse, the stream parser gives the position of the
  // first error.
  boost::json::stream_parser parser({}, options);
  boost::json::error_code error;
  const std::size_t read = parser.write_some(text.data(), text.size(), error);
  if (!error) parser.finish(error);
  if (!error && read < text.size()) {
    error = boost::json::error::extra_data;
  }
  if (!error) return parser.release();
  std::size_t line = 1;
  for (const char character : text.substr(0, read)) {
    if (character == '\n') ++line;
  }
  reason =
      fmt::format("not valid JSON near line {}: {}", line, error.message());
  return std::nullopt;
}

namespace {

// Control characters would break a log line, or terminate a text in a message
// between hosts.
bool HasControlCharacter(std::string_view text) {
  return std::ranges::any_of(text, [](unsigned char character) {
    return character < 0x20 || character == 0x7f;
  });
}

}  // namespace

JsonFields::JsonFields(const boost::json::object& object, std::string path,
                       std::vector<FieldError>& errors, Unknown unknown)
    : object_(object),
      path_(std::move(path)),
      errors_(errors),
      unknown_(unknown) {}

std::string JsonFields::String(std::string_view key,
                               const std::optional<std::string>& fallback,
                               std::size_t max_length) {
  const boost::json::value* value = Find(key, !fallback.has_value());
  if (value == nullptr) return fallback.value_or("");
  const boost::json::string* text = value->if_string();
  if (text == nullptr || text->empty() || text->size() > max_length ||
      HasControlCharacter({text->data(), text->size()})) {
    Report(key, fmt::format("must be a string of 1 to {} characters, without "
                            "control characters",
                            max_length));
    return fallback.value_or("");
  }
  return {text->data(), text->size()};
}

std::int64_t JsonFields::Integer(std::string_view key, std::int64_t min,
                                 std::int64_t max,
                                 std::optional<std::int64_t> fallback) {
  const boost::json::value* value = Find(key, !fallback.has_value());
  if (value == nullptr) return fallback.value_or(min);
  boost::json::error_code error;
  const auto number =
      value->is_number() ? value->to_number<std::int64_t>(error) : 0;
  if (!value->is_number() || error || number < min || number > max) {
    Report(key, fmt::format("must be a whole number from {} to {}", min, max));
    return fallback.value_or(min);
  }
  return number;
}

double JsonFields::Number(std::string_view key, double min, double max,
                          std::optional<double> fallback) {
  const boost::json::value* value = Find(key, !fallback.has_value());
  if (value == nullptr) return fallback.value_or(min);
  const double number = value->is_number() ? value->to_number<double>() : 0;
  if (!value->is_number() || number < min || number > max) {
    Report(key, fmt::format("must be a number from {} to {}", min, max));
    return fallback.value_or(min);
  }
  return number;
}

std::optional<double> JsonFields::OptionalNumber(std::string_view key,
                                                 double min, double max) {
  if (Find(key, false) == nullptr) return std::nullopt;
  const std::size_t errors = errors_.size();
  const double number = Number(key, min, max, min);
  return errors_.size() == errors ? std::optional(number) : std::nullopt;
}

bool JsonFields::Boolean(std::string_view key, std::optional<bool> fallback) {
  const boost::json::value* value = Find(key, !fallback.has_value());
  if (value == nullptr) return fallback.value_or(false);
  if (!value->is_bool()) {
    Report(key, "must be true or false");
    return fallback.value_or(false);
  }
  return value->get_bool();
}

std::vector<std::string> JsonFields::Strings(std::string_view key) {
  std::vector<std::string> strings;
  const boost::json::value* value = Find(key, false);
  if (value == nullptr) return strings;
  const boost::json::array* list = value->if_array();
  if (list == nullptr) {
    Report(key, "must be a list of strings");
    return strings;
  }
  for (const boost::json::value& item : *list) {
    if (!item.is_string() || HasControlCharacter({item.get_string().data(),
                                                  item.get_string().size()})) {
      Report(key, "must be a list of strings without control characters");
      return {};
    }
    strings.emplace_back(item.get_string().data(), item.get_string().size());
  }
  return strings;
}

void JsonFields::Object(std::string_view key,
                        const std::function<void(JsonFields&)>& read) {
  const boost::json::value* value = Find(key, false);
  if (value == nullptr) return;
  if (!value->is_object()) {
    Report(key, "must be an object");
    return;
  }
  JsonFields fields(value->get_object(), FieldPath(key), errors_, unknown_);
  read(fields);
  fields.Finish();
}

void JsonFields::Objects(std::string_view key,
                         const std::function<void(JsonFields&)>& read) {
  const boost::json::value* value = Find(key, false);
  if (value == nullptr) return;
  const boost::json::array* list = value->if_array();
  if (list == nullptr) {
    Report(key, "must be a list of objects");
    return;
  }
  for (std::size_t index = 0; index < list->size(); ++index) {
    const std::string path = fmt::format("{}[{}]", FieldPath(key), index);
    const boost::json::object* item = (*list)[index].if_object();
    if (item == nullptr) {
      errors_.push_back({.field = path, .message = "must be an object"});
      continue;
    }
    JsonFields fields(*item, path, errors_, unknown_);
    read(fields);
    fields.Finish();
  }
}

void JsonFields::Report(std::string_view key, std::string message) {
  errors_.push_back({.field = FieldPath(key), .message = std::move(message)});
}

boost::json::object JsonFields::TakeUnread() {
  boost::json::object unread;
  for (const auto& member : object_) {
    const std::string_view key(member.key().data(), member.key().size());
    if (requested_.contains(key)) continue;
    unread.emplace(member.key(), member.value());
    requested_.emplace(key);
  }
  return unread;
}

void JsonFields::Finish() {
  if (unknown_ == Unknown::kIgnore) return;
  for (const auto& member : object_) {
    const std::string_view key(member.key().data(), member.key().size());
    if (!requested_.contains(key)) Report(key, "is not a known key");
  }
}

std::string JsonFields::FieldPath(std::string_view key) const {
  return path_.empty() ? std::string(key) : fmt::format("{}.{}", path_, key);
}

const boost::json::value* JsonFields::Find(std::string_view key,
                                           bool required) {
  requested_.emplace(key);
  const boost::json::value* value =
      object_.if_contains({key.data(), key.size()});
  if (value == nullptr && required) Report(key, "is required");
  return value;
}

}  // namespace camphor
