#include "core/config/config_codec.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <set>
#include <utility>

#include "core/base/json_fields.h"

namespace camphor {
namespace {

template <typename Row>
void CheckUnique(const std::vector<Row>& rows, std::string_view table,
                 std::vector<ConfigError>& errors) {
  for (std::size_t index = 1; index < rows.size(); ++index) {
    if (rows[index].name != rows[index - 1].name) continue;
    errors.push_back({.kind = ConfigError::Kind::kDuplicate,
                      .field = std::string(table),
                      .message = fmt::format("duplicate name {}",
                                             rows[index].name.value())});
  }
}

void CheckPoolReferences(const ConfigSnapshot& snapshot,
                         std::vector<ConfigError>& errors) {
  const auto check = [&](const RouteRule& rule, const PoolName& pool) {
    if (snapshot.FindPool(pool) != nullptr) return;
    errors.push_back(
        {.kind = ConfigError::Kind::kMissingPool,
         .field = "routes",
         .message = fmt::format("route {} refers to pool {}, which is not in "
                                "the pools table",
                                rule.name.value(), pool.value())});
  };
  for (const RouteRule& rule : snapshot.routes) {
    if (rule.split.empty()) check(rule, rule.pool);
    for (const PoolShare& share : rule.split) check(rule, share.pool);
  }
}

/// Sorts and validates the tables. Sorting makes the encoding canonical and
/// makes duplicate names adjacent, as CheckUnique() requires.
void SortAndValidate(ConfigSnapshot& snapshot,
                     std::vector<ConfigError>& errors) {
  std::ranges::sort(snapshot.routes, {}, &RouteRule::name);
  std::ranges::sort(snapshot.pools, {}, &PoolSpec::name);
  CheckUnique(snapshot.routes, "routes", errors);
  CheckUnique(snapshot.pools, "pools", errors);
  CheckUnique(snapshot.teams.teams(), "teams", errors);
  CheckPoolReferences(snapshot, errors);
  if (const TeamSpec* team = snapshot.teams.FindAmbiguousTeam()) {
    errors.push_back(
        {.kind = ConfigError::Kind::kDuplicate,
         .field = "teams",
         .message = fmt::format("an API key of team {} is listed twice",
                                team->name.value())});
  }
  std::ranges::sort(snapshot.evacuated_domains);
  // Not std::ranges::unique, whose result clang 14 cannot use.
  std::vector<FailureDomain>& domains = snapshot.evacuated_domains;
  domains.erase(std::unique(domains.begin(), domains.end()), domains.end());
}

/// Passes the canonical encoding to `write` in pieces, one row at a time. A
/// JSON document of the whole snapshot would need more memory than the tables.
template <typename Write>
void WriteCanonical(const ConfigSnapshot& snapshot, const Write& write) {
  const auto write_rows = [&write](const auto& rows, const auto& to_json) {
    bool first = true;
    for (const auto& row : rows) {
      if (!std::exchange(first, false)) write(",");
      write(boost::json::serialize(to_json(row)));
    }
  };
  write(R"({"routes":[)");
  write_rows(snapshot.routes, WriteRoute);
  write(R"(],"pools":[)");
  write_rows(snapshot.pools, WritePool);
  write("]");
  if (!snapshot.teams.empty()) {
    write(R"(,"teams":[)");
    write_rows(snapshot.teams.teams(), WriteTeam);
    write("]");
  }
  if (!snapshot.evacuated_domains.empty()) {
    write(R"(,"evacuated_domains":)");
    write(boost::json::serialize(WriteNames(snapshot.evacuated_domains)));
  }
  if (snapshot.limits != CallerLimits{}) {
    write(R"(,"limits":)");
    write(boost::json::serialize(snapshot.limits.Write()));
  }
  write("}");
}

}  // namespace

std::optional<ConfigSnapshot> ConfigCodec::Decode(std::string_view text,
                                                  ConfigVersion version) {
  return Read(text, version, UnknownFields::kReport);
}

std::optional<ConfigSnapshot> ConfigCodec::Read(std::string_view text,
                                                ConfigVersion version,
                                                UnknownFields unknown) {
  errors_.clear();
  std::string syntax;
  const std::optional<boost::json::value> document =
      ParseJsonWithComments(text, syntax);
  if (!document || !document->is_object()) {
    errors_.push_back(
        {.kind = ConfigError::Kind::kSyntax,
         .message =
             document
                 ? "the document must be a JSON object with routes and pools"
                 : syntax});
    return Fail();
  }

  // Read all tables before failing, so that every invalid field is reported.
  ConfigSnapshot snapshot;
  std::vector<FieldError> field_errors;
  JsonFields fields(document->get_object(), "", field_errors);
  fields.Objects("routes", [&](JsonFields& row) {
    snapshot.routes.push_back(ReadRoute(row, unknown));
  });
  fields.Objects("pools", [&](JsonFields& row) {
    snapshot.pools.push_back(ReadPool(row));
  });
  std::vector<TeamSpec> teams;
  fields.Objects("teams",
                 [&](JsonFields& row) { teams.push_back(ReadTeam(row)); });
  snapshot.teams = TeamTable(std::move(teams));
  snapshot.evacuated_domains =
      ReadNames<FailureDomain>(fields.Strings("evacuated_domains"));
  fields.Object("limits", [&](JsonFields& row) {
    snapshot.limits = CallerLimits::Read(row);
  });
  fields.Finish();
  for (FieldError& error : field_errors) {
    errors_.push_back({.kind = ConfigError::Kind::kField,
                       .field = std::move(error.field),
                       .message = std::move(error.message)});
  }

  SortAndValidate(snapshot, errors_);
  if (!errors_.empty()) return Fail();
  snapshot.head = {.version = version, .digest = ComputeDigest(snapshot)};
  return snapshot;
}

std::optional<ConfigSnapshot> ConfigCodec::BuildSnapshot(
    ConfigSnapshot tables, ConfigVersion version) {
  errors_.clear();
  SortAndValidate(tables, errors_);
  if (!errors_.empty()) return Fail();
  tables.head = {.version = version, .digest = ComputeDigest(tables)};
  return tables;
}

std::optional<ConfigSnapshot> ConfigCodec::DecodeVerified(
    std::string_view text, const ConfigHead& head) {
  return Verify(Read(text, head.version, UnknownFields::kKeep), head);
}

std::optional<ConfigSnapshot> ConfigCodec::BuildVerifiedSnapshot(
    ConfigSnapshot tables, const ConfigHead& head) {
  return Verify(BuildSnapshot(std::move(tables), head.version), head);
}

std::optional<ConfigSnapshot> ConfigCodec::Verify(
    std::optional<ConfigSnapshot> snapshot, const ConfigHead& head) {
  if (!snapshot || snapshot->head.digest == head.digest) return snapshot;
  errors_.push_back(
      {.kind = ConfigError::Kind::kDigestMismatch,
       .message = fmt::format("digest of version {} does not match its head",
                              head.version)});
  return Fail();
}

std::string ConfigCodec::Encode(const ConfigSnapshot& snapshot) {
  std::string text;
  WriteCanonical(snapshot, [&text](std::string_view piece) { text += piece; });
  return text;
}

Digest ConfigCodec::ComputeDigest(const ConfigSnapshot& snapshot) {
  Digest::Stream stream;
  WriteCanonical(snapshot,
                 [&stream](std::string_view piece) { stream.Add(piece); });
  return stream.Finish();
}

std::optional<ConfigSnapshot> ConfigCodec::Fail() {
  last_reason_ = errors_.front();
  return std::nullopt;
}

}  // namespace camphor
