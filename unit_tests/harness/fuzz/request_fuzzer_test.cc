#include "harness/fuzz/request_fuzzer.h"

#include <gtest/gtest.h>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace camphor {
namespace {

namespace http = boost::beast::http;

constexpr std::uint64_t kRounds = 200;

// Guards against cases that depend on anything but the seed, which could not
// be replayed.
TEST(MakeFuzzCase, SameSeedAndRound_GivesSameCase) {
  for (std::uint64_t round = 0; round < kRounds; ++round)
    EXPECT_EQ(MakeFuzzCase(7, round, "a"), MakeFuzzCase(7, round, "a"));
  EXPECT_NE(MakeFuzzCase(7, 0, "a"), MakeFuzzCase(7, 1, "a"));
  EXPECT_NE(MakeFuzzCase(7, 0, "a"), MakeFuzzCase(8, 0, "a"));
}

// Guards against requests that are taken for well-formed and are not, so that
// responses would be matched with the wrong requests.
TEST(MakeFuzzCase, RequestsBeforeTheFirstMutation_AreParsedWithTheirIds) {
  std::size_t parsed = 0;
  for (std::uint64_t round = 0; round < kRounds; ++round) {
    for (const FuzzedConnection& connection :
         MakeFuzzCase(7, round, "a").connections) {
      std::string_view rest = connection.bytes;
      for (std::size_t index = 0; index < connection.well_formed; ++index) {
        http::request_parser<http::string_body> parser;
        parser.eager(true);
        parser.header_limit(kFuzzHeaderBytes);
        parser.body_limit(kFuzzBodyBytes);
        while (!parser.is_done()) {
          boost::system::error_code error;
          rest.remove_prefix(
              parser.put(boost::asio::buffer(rest.data(), rest.size()), error));
          ASSERT_FALSE(error) << error.message() << "\n" << connection.bytes;
        }
        const FuzzedRequest& request = connection.requests[index];
        EXPECT_EQ(parser.get()["X-Request-Id"], request.id);
        EXPECT_EQ(parser.get().method() == http::verb::head, request.head);
        ++parsed;
      }
      if (!connection.mutated()) {
        EXPECT_TRUE(rest.empty());
      }
    }
  }
  EXPECT_GT(parsed, kRounds);
}

// Guards against a generator that leaves out a kind of step or of connection.
TEST(MakeFuzzCase, ManyRounds_HoldAllKindsOfStepsAndConnections) {
  std::set<FuzzStep::Kind> kinds;
  std::set<bool> mutated;
  std::set<bool> smuggled;
  std::set<std::string> ids;
  std::size_t requests = 0;
  for (std::uint64_t round = 0; round < kRounds; ++round) {
    const FuzzCase made = MakeFuzzCase(7, round, "a");
    std::vector<std::size_t> sent(made.connections.size());
    for (const FuzzStep& step : made.steps) {
      kinds.insert(step.kind);
      if (step.kind == FuzzStep::Kind::kSend)
        sent[step.connection] += step.count;
    }
    for (std::size_t index = 0; index < sent.size(); ++index) {
      const FuzzedConnection& connection = made.connections[index];
      EXPECT_LE(sent[index], connection.bytes.size());
      mutated.insert(connection.mutated());
      requests += connection.requests.size();
      for (const FuzzedRequest& request : connection.requests) {
        ids.insert(request.id);
        smuggled.insert(!request.smuggled_id.empty());
      }
    }
  }
  EXPECT_EQ(kinds.size(), 5U);
  EXPECT_EQ(mutated.size(), 2U);
  EXPECT_EQ(smuggled.size(), 2U);
  EXPECT_EQ(ids.size(), requests);
}

}  // namespace
}  // namespace camphor
