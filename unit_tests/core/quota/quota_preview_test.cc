#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <vector>

#include "core/quota/quota_limiter.h"

namespace camphor {
namespace {

constexpr MonoTime kStart{Seconds(1000)};

class QuotaLimiterPreview : public testing::Test {
 protected:
  QuotaLimiterPreview() { Configure(limiter_); }

  static void Configure(QuotaLimiter& limiter) {
    limiter.SetTeams(TeamTable(
        {{.name = TeamName("red"),
          .key_digests = {Digest::Of("key")},
          .requests_per_second = 10,
          .burst = 10},
         {.name = TeamName("free"), .key_digests = {Digest::Of("other")}}}));
    limiter.SetHosts(4);
  }

  static void Grant(QuotaLimiter& limiter, float rate, MonoTime now) {
    QuotaGrants grants{.lease_ms = 1500};
    grants.teams.push_back(
        {.team = HashTeam(TeamName("red")), .limited = true, .rate = rate});
    limiter.OnGrants(grants, {}, now);
  }

  const TeamName red_{"red"};
  QuotaLimiter limiter_{{}};
};

// Guards against a preview that takes a token, counts as demand, promises a
// place to nobody, or tells something else than the next request gets.
TEST_F(QuotaLimiterPreview,
       AnyRequestsAndGrants_TellsTheNextAndChangesNothing) {
  EXPECT_TRUE(rc::check([this] {
    QuotaLimiter plain{{}};
    QuotaLimiter previewed{{}};
    Configure(plain);
    Configure(previewed);
    MonoTime now = kStart;
    const auto steps =
        *rc::gen::container<std::vector<int>>(100, rc::gen::inRange(0, 20));
    for (const int step : steps) {
      now += Milliseconds(step * step);
      if (step == 7) {
        Grant(plain, 3, now);
        Grant(previewed, 3, now);
      }
      if (step == 11) {
        RC_ASSERT(plain.TakeUsage(plain.ReportableTeams(), now) ==
                  previewed.TakeUsage(previewed.ReportableTeams(), now));
      }
      previewed.PreviewAdmit(red_, now);
      const auto preview = previewed.PreviewAdmit(red_, now);
      RC_ASSERT(preview.has_value());
      const auto expected = plain.Admit(red_, now);
      RC_ASSERT(previewed.Admit(red_, now) == expected);
      RC_ASSERT(preview->retry_after == expected);
      RC_ASSERT((preview->remaining >= 1) == !expected);
    }
    RC_ASSERT(plain.refused() == previewed.refused());
  }));
}

TEST_F(QuotaLimiterPreview, Lease_IsShownUntilItExpires) {
  limiter_.Admit(red_, kStart);
  Grant(limiter_, 3, kStart);
  const auto leased = limiter_.PreviewAdmit(red_, kStart + Milliseconds(500));
  EXPECT_EQ(leased->lease_left, Milliseconds(1000));
  EXPECT_EQ(leased->rate, 3);
  EXPECT_TRUE(leased->limited);
  EXPECT_FALSE(
      limiter_.PreviewAdmit(red_, kStart + Milliseconds(1600))->lease_left);
}

TEST_F(QuotaLimiterPreview, TeamWithoutRate_HasNone) {
  EXPECT_FALSE(limiter_.PreviewAdmit(TeamName("free"), kStart));
  EXPECT_FALSE(limiter_.PreviewAdmit(TeamName("nobody"), kStart));
}

}  // namespace
}  // namespace camphor
