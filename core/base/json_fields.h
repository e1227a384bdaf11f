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

/// What is wrong with one field of a document. Immutable value type.
struct FieldError {
  std::string field;    ///< path of the field, for example "pools[2].name"
  std::string message;  ///< what is wrong and what is allowed

  auto operator<=>(const FieldError&) const = default;
};

/// Parses JSON text that may hold comments and trailing commas. Returns nothing
/// and sets `reason` when the text is not JSON. Thread safety: any thread.
std::optional<boost::json::value> ParseJsonWithComments(std::string_view text,
                                                        std::string& reason);

/// Reads the fields of one JSON object and collects every fault instead of
/// stopping at the first.
///
/// Each reader takes a default that stands when the key is not there; without
/// one the key is required. Call Finish last: it reports the keys that nothing
/// asked for, unless they are to be passed over.
class JsonFields {
 public:
  /// What becomes of keys that nothing asked for, here and in inner objects.
  enum class Unknown : std::uint8_t { kReport, kIgnore };

  /// @pre `object` and `errors` outlive this.
  JsonFields(const boost::json::object& object, std::string path,
             std::vector<FieldError>& errors,
             Unknown unknown = Unknown::kReport);

  /// A string of 1 to `longest` characters, none of them a control character.
  /// Thread safety: one thread.
  std::string String(std::string_view key,
                     const std::optional<std::string>& fallback = {},
                     std::size_t longest = 256);

  /// A whole number from `least` to `most`. Thread safety: one thread.
  std::int64_t Integer(std::string_view key, std::int64_t least,
                       std::int64_t most,
                       std::optional<std::int64_t> fallback = {});

  /// A number from `least` to `most`. Thread safety: one thread.
  double Number(std::string_view key, double least, double most,
                std::optional<double> fallback = {});

  /// True or false. Thread safety: one thread.
  bool Boolean(std::string_view key, std::optional<bool> fallback = {});

  /// A list of strings; an absent key gives an empty one. Thread safety: one
  /// thread.
  std::vector<std::string> Strings(std::string_view key);

  /// Calls `read` with the object under the key, if there is one. Thread
  /// safety: one thread.
  void Object(std::string_view key,
              const std::function<void(JsonFields&)>& read);

  /// Calls `read` with each object of the list under the key. Thread safety:
  /// one thread.
  void Objects(std::string_view key,
               const std::function<void(JsonFields&)>& read);

  /// Reports a fault of the given key. Thread safety: one thread.
  void Report(std::string_view key, std::string message);

  /// Reports every key that no reader asked for. Thread safety: one thread.
  void Finish();

  /// Path of the given key. Thread safety: one thread.
  std::string PathOf(std::string_view key) const;

 private:
  const boost::json::value* Find(std::string_view key, bool required);

  const boost::json::object& object_;
  std::string path_;
  std::vector<FieldError>& errors_;
  Unknown unknown_;
  std::set<std::string, std::less<>> known_;
};

}  // namespace camphor

#endif  // CAMPHORHILL_CORE_BASE_JSON_FIELDS_H_
