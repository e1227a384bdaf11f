#ifndef CAMPHORHILL_CORE_BASE_JSON_FIELDS_H_
#define CAMPHORHILL_CORE_BASE_JSON_FIELDS_H_

#include <boost/json/fwd.hpp>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace camphor {

/// Validation error of one field of a document. Immutable value type.
struct FieldError {
  std::string field;    ///< path of the field, for example "pools[2].name"
  std::string message;  ///< the problem and the permitted values

  auto operator<=>(const FieldError&) const = default;
};

/// Parses JSON text that may contain comments and trailing commas. Returns
/// std::nullopt and sets `reason` if the text is not valid. Thread-safe.
std::optional<boost::json::value> ParseJsonWithComments(std::string_view text,
                                                        std::string& reason);

/// Reads and validates the fields of one JSON object. Collects all errors
/// instead of stopping at the first.
///
/// The scalar readers accept a fallback for a missing key; without a fallback,
/// the key is required. If a value is invalid, a reader reports an error and
/// returns the fallback or a permitted placeholder. Call Finish last: it
/// reports the keys that were not read, unless unknown keys are ignored. Must
/// be used from one thread.
class JsonFields {
 public:
  /// Handling of keys that were not read, here and in nested objects.
  enum class Unknown : std::uint8_t { kReport, kIgnore };

  /// `path` is the path of the object within the document, empty for the root.
  /// @pre `object` and `errors` outlive this.
  JsonFields(const boost::json::object& object, std::string path,
             std::vector<FieldError>& errors,
             Unknown unknown = Unknown::kReport);

  /// Reads a string of 1 to `max_length` bytes without control characters.
  std::string String(std::string_view key,
                     const std::optional<std::string>& fallback = {},
                     std::size_t max_length = 256);

  /// Reads an integer from `min` to `max`.
  std::int64_t Integer(std::string_view key, std::int64_t min, std::int64_t max,
                       std::optional<std::int64_t> fallback = {});

  /// Reads a number from `min` to `max`.
  double Number(std::string_view key, double min, double max,
                std::optional<double> fallback = {});

  /// Reads a number from `min` to `max`; std::nullopt if the key is missing or
  /// the value is invalid.
  std::optional<double> OptionalNumber(std::string_view key, double min,
                                       double max);

  /// Reads a boolean.
  bool Boolean(std::string_view key, std::optional<bool> fallback = {});

  /// Reads a list of strings; empty if the key is missing.
  std::vector<std::string> Strings(std::string_view key);

  /// Calls `read` with the nested object of the key, if there is one.
  void Object(std::string_view key,
              const std::function<void(JsonFields&)>& read);

  /// Calls `read` with each object of a list, if there is one.
  void Objects(std::string_view key,
               const std::function<void(JsonFields&)>& read);

  /// Adds an error for the given key.
  void Report(std::string_view key, std::string message);

  /// Returns the members that were not read, in their order, and counts them as
  /// read.
  boost::json::object TakeUnread();

  /// Reports all keys that were not read, unless unknown keys are ignored.
  void Finish();

  /// Returns the path of the given key, for example "pools[2].name".
  std::string FieldPath(std::string_view key) const;

 private:
  const boost::json::value* Find(std::string_view key, bool required);

  const boost::json::object& object_;
  std::string path_;
  std::vector<FieldError>& errors_;
  Unknown unknown_;
  std::set<std::string, std::less<>> requested_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_BASE_JSON_FIELDS_H_
