#include "node/settings/settings.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace camphor {
namespace {

constexpr char kMinimalSettings[] = R"({
  // a comment
  "host": "h1", "failure_domain": "d1",
  "caller_listen": "127.0.0.1:0", "forward_listen": "127.0.0.1:0",
  "mesh_listen": "127.0.0.1:7001", "admin_listen": "127.0.0.1:0",
  "mesh_key": "secret", "mesh_seeds": ["127.0.0.1:7001"],
  "platform": "127.0.0.1:9000", "operator_token": "token",
})";

/// The minimal settings with one text replaced by another.
std::string With(const std::string& from, const std::string& to) {
  std::string text = kMinimalSettings;
  text.replace(text.find(from), from.size(), to);
  return text;
}

bool HasError(const SettingsReader& reader, const std::string& field) {
  return std::ranges::any_of(reader.errors(), [&](const FieldError& error) {
    return error.field == field;
  });
}

TEST(SettingsReaderRead, MinimalSettings_UseDefaults) {
  SettingsReader reader;
  const std::optional<Settings> settings = reader.Read(kMinimalSettings);
  ASSERT_TRUE(settings.has_value());
  EXPECT_EQ(settings->host, HostId("h1"));
  EXPECT_EQ(settings->mesh_seeds.size(), 1U);
  EXPECT_EQ(settings->log.level, LogLevel::kInfo);
  EXPECT_EQ(settings->targets.lease, Milliseconds(6000));
}

TEST(SettingsReaderRead, SeveralErrors_AllReported) {
  SettingsReader reader;
  EXPECT_FALSE(reader
                   .Read(R"({"host": 7, "failure_domain": "d1", "colour": 1,
      "caller_listen": "localhost:1", "forward_listen": "0.0.0.0:0",
      "mesh_listen": "127.0.0.1:0", "admin_listen": "127.0.0.1:0",
      "mesh_key": "k", "platform": "127.0.0.1:9000",
      "targets": {"lease_ms": 1}, "log": {"level": "loud"}})")
                   .has_value());
  for (const char* const field :
       {"host", "colour", "caller_listen", "forward_listen", "mesh_listen",
        "operator_token", "targets.lease_ms", "log.level"}) {
    EXPECT_TRUE(HasError(reader, field)) << field;
  }
}

TEST(SettingsReaderRead, PartLevel_OverridesLevel) {
  SettingsReader reader;
  const std::optional<Settings> settings = reader.Read(With(
      "\"host\"",
      R"("log": {"level": "warning", "parts": {"mesh": "debug"}}, "host")"));
  ASSERT_TRUE(settings.has_value());
  EXPECT_EQ(settings->log.parts.at("mesh"), LogLevel::kDebug);
  EXPECT_EQ(settings->log.parts.at("node"), LogLevel::kWarning);
}

TEST(SettingsReaderRead, NotJson_ReportsLine) {
  SettingsReader reader;
  EXPECT_FALSE(reader.Read("{\n\"host\": }").has_value());
  ASSERT_EQ(reader.errors().size(), 1U);
  EXPECT_NE(reader.errors()[0].message.find("line 2"), std::string::npos);
}

TEST(SettingsReaderRead, RetryBudget_EnabledByDefault) {
  SettingsReader reader;
  EXPECT_TRUE(reader.Read(kMinimalSettings)->proxy.retry_budget);
  const auto unlimited = reader.Read(With(
      "\"mesh_key\"", "\"proxy\": {\"retry_budget\": false}, \"mesh_key\""));
  ASSERT_TRUE(unlimited.has_value());
  EXPECT_FALSE(unlimited->proxy.retry_budget);
}

// Guards against second copies that no operator asked for, and against a share
// beyond what retries and hedges together may add.
TEST(SettingsReaderRead, HedgeShare_IsZeroByDefaultAndAtMostAFifth) {
  const auto with_share = [](const std::string& share) {
    return With("\"mesh_key\"",
                "\"proxy\": {\"hedge_share\": " + share + "}, \"mesh_key\"");
  };
  SettingsReader reader;
  EXPECT_EQ(reader.Read(kMinimalSettings)->proxy.hedge_share, 0);
  const auto largest = reader.Read(with_share("0.2"));
  ASSERT_TRUE(largest.has_value());
  EXPECT_EQ(largest->proxy.hedge_share, 0.2);
  EXPECT_FALSE(reader.Read(with_share("0.21")).has_value());
  EXPECT_FALSE(reader.Read(with_share("-0.1")).has_value());
}

TEST(SettingsReaderRead, RevocationBound_IsAbsentByDefaultAndNotTooShort) {
  const auto with_bound = [](const std::string& bound) {
    return With("\"mesh_key\"", "\"teams\": {\"revoke_within_ms\": " + bound +
                                    "}, \"mesh_key\"");
  };
  SettingsReader reader;
  EXPECT_EQ(reader.Read(kMinimalSettings)->teams.revoke_within,
            Milliseconds(0));
  EXPECT_EQ(reader.Read(with_bound("0"))->teams.revoke_within, Milliseconds(0));
  EXPECT_EQ(reader.Read(with_bound("5000"))->teams.revoke_within,
            Milliseconds(5000));
  EXPECT_FALSE(reader.Read(with_bound("1999")));
  EXPECT_TRUE(HasError(reader, "teams.revoke_within_ms"));
}

TEST(SettingsReaderRead, AdvertisedAddresses_OverrideListeners) {
  SettingsReader reader;
  const auto plain = reader.Read(kMinimalSettings);
  EXPECT_EQ(plain->mesh_advertise, plain->mesh_listen);
  EXPECT_EQ(plain->forward_advertise.port, 0);
  const auto translated =
      reader.Read(With("\"mesh_key\"",
                       "\"mesh_advertise\": \"10.0.0.1:7\", "
                       "\"forward_advertise\": \"10.0.0.1:8\", "
                       "\"mesh_key\""));
  ASSERT_TRUE(translated.has_value());
  EXPECT_EQ(translated->mesh_advertise.ToString(), "10.0.0.1:7");
  EXPECT_EQ(translated->forward_advertise.ToString(), "10.0.0.1:8");
  EXPECT_FALSE(reader.Read(With(
      "\"mesh_key\"", "\"mesh_advertise\": \"10.0.0.1:0\", \"mesh_key\"")));
  EXPECT_TRUE(HasError(reader, "mesh_advertise"));
}

TEST(SettingsReaderRead, HandshakeLimits_ReadAndChecked) {
  SettingsReader reader;
  const auto defaults = reader.Read(kMinimalSettings);
  ASSERT_TRUE(defaults.has_value());
  EXPECT_EQ(defaults->mesh.handshake_bytes, 16384U);
  EXPECT_EQ(defaults->proxy.handshake_timeout, Milliseconds(15'000));
  const auto lowered = reader.Read(
      With("\"mesh_key\"",
           "\"mesh\": {\"pending_handshakes\": 7, \"handshake_bytes\": 4096}, "
           "\"proxy\": {\"pending_handshakes\": 9, \"handshake_ms\": 100}, "
           "\"mesh_key\""));
  ASSERT_TRUE(lowered.has_value());
  EXPECT_EQ(lowered->mesh.pending_handshakes, 7U);
  EXPECT_EQ(lowered->mesh.handshake_bytes, 4096U);
  EXPECT_EQ(lowered->proxy.pending_handshakes, 9U);
  EXPECT_EQ(lowered->proxy.handshake_timeout, Milliseconds(100));
  EXPECT_FALSE(reader.Read(With(
      "\"mesh_key\"", "\"mesh\": {\"handshake_bytes\": 4095}, \"mesh_key\"")));
  ASSERT_EQ(reader.errors().size(), 1U);
  EXPECT_EQ(reader.errors().front().field, "mesh.handshake_bytes");
}

// Guards against a time limit of the admin listener that cannot be lowered, or
// is so low that no request arrives in time.
TEST(SettingsAdmin, Timeout_IsReadAndBounded) {
  SettingsReader reader;
  const auto defaults = reader.Read(kMinimalSettings);
  ASSERT_TRUE(defaults.has_value());
  EXPECT_EQ(defaults->admin.timeout, Milliseconds(30'000));
  const auto lowered = reader.Read(
      With("\"mesh_key\"", "\"admin\": {\"timeout_ms\": 100}, \"mesh_key\""));
  ASSERT_TRUE(lowered.has_value());
  EXPECT_EQ(lowered->admin.timeout, Milliseconds(100));
  EXPECT_FALSE(reader.Read(
      With("\"mesh_key\"", "\"admin\": {\"timeout_ms\": 99}, \"mesh_key\"")));
  ASSERT_EQ(reader.errors().size(), 1U);
  EXPECT_EQ(reader.errors().front().field, "admin.timeout_ms");
}

}  // namespace
}  // namespace camphor
