#include "ctl/commands/preview_command.h"

#include <gtest/gtest.h>

#include <array>
#include <boost/json.hpp>
#include <optional>
#include <sstream>
#include <string>

#include "ctl/command_list.h"
#include "ctl/commands/preview_request.h"

namespace camphor {
namespace {

// Stands for a key. No message may contain it.
constexpr const char* kSecret = "s3cr3t";

template <typename... Arguments>
std::optional<CtlOptions> Parse(Arguments... arguments) {
  const std::array<const char*, sizeof...(arguments) + 3> argv = {
      "camphorctl", "preview", arguments..., nullptr};
  std::string reason;
  return CtlOptions::Parse(static_cast<int>(argv.size()) - 1,
                           const_cast<const char**>(argv.data()), reason);
}

/// Returns the body, or the reason why there is none.
template <typename... Arguments>
std::string BodyOf(Arguments... arguments) {
  const std::optional<CtlOptions> options = Parse(arguments...);
  if (!options) return "invalid options";
  std::string reason;
  const auto body = MakePreviewBody(*options, reason);
  return body ? boost::json::serialize(*body) : reason;
}

std::string HeadOf(const std::string& text) {
  std::istringstream input(text);
  std::string reason;
  const auto body = ReadRequestHead(input, reason);
  return body ? boost::json::serialize(*body) : reason;
}

TEST(MakePreviewBody, Options_BecomeMembersAndRepeatedHeadersALists) {
  EXPECT_EQ(BodyOf("--host", "shop", "--path", "/a?b=c"),
            R"({"method":"GET","host":"shop","path":"/a?b=c","headers":{}})");
  EXPECT_EQ(
      BodyOf("--method", "POST", "--host", "shop", "--path", "/a", "--header",
             "X-A: 1", "--header", "X-B:  two  ", "--header", "X-A: 3"),
      R"({"method":"POST","host":"shop","path":"/a",)"
      R"("headers":{"X-A":["1","3"],"X-B":"two"}})");
}

TEST(MakePreviewBody, InvalidOption_ReasonNamesItAndHidesValues) {
  EXPECT_EQ(BodyOf("--path", "/a"), "--host: is required");
  EXPECT_EQ(BodyOf("--host", "shop"), "--path: is required");
  EXPECT_NE(BodyOf("--host", "a b", "--path", "/").find("--host"),
            std::string::npos);
  EXPECT_NE(BodyOf("--host", "shop", "--path", "a").find("--path"),
            std::string::npos);
  EXPECT_NE(BodyOf("--host", "shop", "--path", "/", "--method", "G T")
                .find("--method"),
            std::string::npos);
  const std::string header = BodyOf("--host", "shop", "--path", "/", "--header",
                                    "X-A: 1", "--header", kSecret);
  EXPECT_NE(header.find("--header: number 2"), std::string::npos);
  EXPECT_EQ(header.find(kSecret), std::string::npos);
  EXPECT_NE(BodyOf("--host", "shop", "--path", "/", "--header", "Host: other")
                .find("--host"),
            std::string::npos);
}

TEST(ReadRequestHead, Head_IsReadUpToItsEmptyLine) {
  const std::string expected =
      R"({"method":"PUT","host":"shop:80","path":"/a","headers":{"X-A":"1"}})";
  EXPECT_EQ(HeadOf("PUT /a HTTP/1.1\r\nHost: shop:80\r\nX-A: 1\r\n\r\nbody"),
            expected);
  EXPECT_EQ(HeadOf("PUT /a HTTP/1.1\nhost:shop:80\nX-A:1"), expected);
}

TEST(ReadRequestHead, InvalidLine_ReasonHasItsNumberAndNotItsText) {
  const std::string start = "GET / HTTP/1.1\nHost: shop\n";
  const std::pair<std::string, std::string> cases[] = {
      {"", "line 1"},
      {std::string(kSecret) + "\n", "line 1"},
      {"GET /\n", "line 1"},
      {"GET / HTTP/1.0\nHost: shop\n", "line 1"},
      {"GET http://shop/ HTTP/1.1\nHost: shop\n", "line 1"},
      {"GET /a b HTTP/1.1\nHost: shop\n", "line 1"},
      {start + "X-A: 1\n" + kSecret + "\n", "line 4"},
      {start + "X-A: 1\n folded " + kSecret + "\n", "line 4"},
      {start + "X A: " + kSecret + "\n", "line 3"},
      {start + "X-A: \x01" + kSecret + "\n", "line 3"},
      {start + "Host: again\n", "line 3"},
      {"GET / HTTP/1.1\nX-A: 1\n\n", "line 3"},
      {"GET / HTTP/1.1\nHost:\n\n", "line 2"}};
  for (const auto& [text, line] : cases) {
    const std::string reason = HeadOf(text);
    EXPECT_TRUE(reason.starts_with(line + ":")) << text << ": " << reason;
    EXPECT_EQ(reason.find(kSecret), std::string::npos) << reason;
  }
  EXPECT_NE(HeadOf(start + "X-A: " + std::string(70'000, 'x') + "\nX-B: 1\n")
                .find("64 KiB"),
            std::string::npos);
}

class PreviewCommandRun : public testing::Test {
 protected:
  // Runs the command against an address without a listener.
  template <typename... Arguments>
  int Run(Arguments... arguments) {
    const auto options = Parse(arguments...);
    if (!options) return -1;
    NodeClient client({.nodes = {{.address = "127.0.0.1", .port = 1}},
                       .timeout = Milliseconds(2000)});
    CommandContext context{
        *options,
        client,
        {options->arguments.begin() + 1, options->arguments.end()}};
    return FindCommand("preview")->run(context);
  }
};

TEST_F(PreviewCommandRun, InvalidInput_ExitsWith2) {
  EXPECT_EQ(Run("--path", "/"), kCtlInvalid);
  EXPECT_EQ(Run("extra", "--host", "a", "--path", "/"), kCtlInvalid);
  EXPECT_EQ(Run("--file", "/nonexistent/head"), kCtlInvalid);
  EXPECT_EQ(Run("--file", "head", "--path", "/"), kCtlInvalid);
}

TEST_F(PreviewCommandRun, NoHostAnswers_ExitsWith1) {
  EXPECT_EQ(Run("--host", "a", "--path", "/"), kCtlFailed);
}

TEST(PreviewText, RandomChoice_NamesBothDrawnTargetsAndWhatIsNotKnown) {
  const std::string text = PreviewText(boost::json::parse(R"({
    "host": "h1", "failure_domain": "d1", "draining": true,
    "configuration": {"version": 7, "age_ms": null},
    "route": {"name": "r", "public": false},
    "key": {"status": "accepted", "digest": "0123456789ab",
            "keys_accepted_here": true},
    "team": {"name": "red", "priority": 1},
    "quota": {"requests_per_second": 1E1, "burst": 5E0, "allocator": "h9",
              "on_this_host": {"remaining_requests": 2.5E0, "limited": true,
                "requests_per_second": 3E0, "lease_left_ms": null},
              "over_all_hosts": null},
    "pool": {"name": "p", "split": [], "rollout": null,
             "versions": [{"version": "v1", "share_ppm": 1000000,
                           "targets": 2}]},
    "targets": [
      {"id": "t1", "host": "h2", "failure_domain": "d1", "version": "v1",
       "speed": 1.25E0, "speed_age_ms": 40, "slots": 10,
       "slots_in_use_and_queue": 3E0, "load_age_ms": 40,
       "in_flight_from_this_host": 1, "excluded": null},
      {"id": "t2", "host": "h3", "failure_domain": "d2", "version": "v1",
       "excluded": "evacuated"}],
    "attempts": [], "random": true, "drawn": ["t1", "t3"],
    "chosen": {"target": "t1", "host": "h2", "failure_domain": "d1",
               "version": "v1", "on_this_host": false},
    "outcome": {"kind": "sent", "runs_at_once": null}})"));
  for (const char* part :
       {"h1 in d1, draining", "version 7, age unknown", "digest 0123456789ab",
        "2.5 left, limited at 3 a second, no lease",
        "unknown here; the allocator is host h9", "1.25, 40 ms old",
        "3 of 10, 40 ms old", "evacuated", "drawn t1 and t3", "t1 on h2 in d1",
        "whether it waits is not known"}) {
    EXPECT_NE(text.find(part), std::string::npos) << part << "\n" << text;
  }
}

TEST(PreviewText, Refusal_HasStatusReasonAndTime) {
  const std::string text = PreviewText(boost::json::parse(R"({
    "host": "h1", "route": null,
    "outcome": {"kind": "refused", "status": 429, "reason": "over_quota",
                "message": "used up", "retry_after_ms": 250}})"));
  EXPECT_NE(text.find("none matches"), std::string::npos);
  EXPECT_NE(text.find("refused with 429 over_quota: used up; Retry-After 250"),
            std::string::npos)
      << text;
}

// A host of another version may answer with other members.
TEST(PreviewText, MembersMissingOrOfOtherTypes_AreUnknown) {
  for (const char* answer :
       {"{}", "[]", "3", R"({"pool": 3, "targets": {}, "outcome": []})",
        R"({"pool": {}, "targets": [1, {}], "drawn": "x", "key": {}})"}) {
    EXPECT_NE(PreviewText(boost::json::parse(answer)).find("unknown"),
              std::string::npos);
  }
}

}  // namespace
}  // namespace camphor
