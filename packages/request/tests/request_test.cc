#include <catch2/catch.hpp>
#include <set>

#include "cactusshelf/request/answer_store.h"
#include "cactusshelf/request/claim_table.h"
#include "cactusshelf/request/hedge_policy.h"
#include "cactusshelf/request/latency_histogram.h"
#include "cactusshelf/request/outcome.h"
#include "cactusshelf/request/rate_limiter.h"
#include "cactusshelf/request/request_id.h"
#include "cactusshelf/request/retry_budget.h"

namespace cactusshelf {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr WallTime kEpoch{milliseconds(1'800'000'000'000)};
constexpr ClaimTableOptions kOptions{milliseconds(500), minutes(10), 3, true};
const MemberId host_a("a/1");
const MemberId host_b("b/1");

TEST_CASE("text that is not a UUIDv7 is rejected, since its time of issue would be wrong") {
  CHECK(RequestId::Parse("018f3c2a-7b10-7abc-8def-0123456789ab"));
  CHECK(RequestId::Parse("018F3C2A-7B10-7ABC-8DEF-0123456789AB"));
  CHECK_FALSE(RequestId::Parse("018f3c2a-7b10-4abc-8def-0123456789ab"));
  CHECK_FALSE(RequestId::Parse("018f3c2a-7b10-7abc-0def-0123456789ab"));
  CHECK_FALSE(RequestId::Parse("018f3c2a-7b10-7abc-8def-0123456789a"));
  CHECK_FALSE(RequestId::Parse("018f3c2a-7b10-7abc-8def-0123456789ag"));
  CHECK_FALSE(RequestId::Parse("018f3c2a07b10-7abc-8def-0123456789ab"));
}

TEST_CASE("a formatted id parses back to the same id with the same time of issue") {
  Random random(1);
  for (int i = 0; i < 100; ++i) {
    const WallTime issued = kEpoch + milliseconds(random.Below(1'000'000'000));
    const RequestId id = RequestId::Make(issued, random);
    CHECK(id.IssuedAt() == issued);
    CHECK(RequestId::Parse(id.ToString()) == id);
  }
}

TEST_CASE("each reason has a unique name, so that no two refusal reasons share a counter") {
  std::set<std::string_view> names;
  const int count = static_cast<int>(Reason::kCallerGone) + 1;
  for (int i = 0; i < count; ++i) {
    names.insert(ToString(static_cast<Reason>(i)));
  }
  CHECK(names.size() == static_cast<std::size_t>(count));
  CHECK(ToString(Reason::kCallerGone) == "caller_gone");
}

TEST_CASE(
    "retries stay within their fraction of recent requests, also after a time without requests") {
  RetryBudget budget(0.1);
  const Time start{seconds(100)};
  for (int i = 0; i < 100; ++i) {
    budget.OnRequest(start);
  }
  int retries = 0;
  while (budget.TrySpend(start + seconds(5))) {
    ++retries;
  }
  CHECK(retries == 10);
  CHECK_FALSE(budget.TrySpend(start + seconds(60)));
}

TEST_CASE("no hedge is sent with too few latency samples; later the delay is the 95% quantile") {
  HedgePolicy policy;
  for (int i = 0; i < 39; ++i) {
    policy.OnLatency(milliseconds(10));
  }
  CHECK_FALSE(policy.HedgeAfter());
  for (int i = 0; i < 300; ++i) {
    policy.OnLatency(milliseconds(i % 10 == 0 ? 100 : 10));
  }
  CHECK(policy.HedgeAfter() > milliseconds(80));
  CHECK(policy.HedgeAfter() < milliseconds(120));
}

TEST_CASE("old latencies do not dominate the quantiles after the latency changes") {
  LatencyHistogram histogram(64);
  for (int i = 0; i < 1000; ++i) {
    histogram.Add(seconds(1));
  }
  for (int i = 0; i < 500; ++i) {
    histogram.Add(milliseconds(10));
  }
  CHECK(histogram.Quantile(0.9) < milliseconds(15));
}

TEST_CASE("a limiter does not exceed its rate and reports when to retry") {
  RateLimiter limiter(10, Time{});
  int accepted = 0;
  for (int i = 0; i < 1000; ++i) {
    accepted += limiter.TryTake(Time{milliseconds(i)}) ? 1 : 0;
  }
  CHECK(accepted >= 19);
  CHECK(accepted <= 20);
  CHECK(limiter.RetryAfter() <= milliseconds(100));
}

TEST_CASE("an id is not granted twice unless the holder of the claim releases it") {
  Random random(2);
  ClaimTable table(kOptions);
  table.SetMembers({host_a, host_b});
  const RequestId id = RequestId::Make(kEpoch, random);
  const WallTime ownership_start = kEpoch - seconds(10);
  const auto decide = [&](const MemberId& from, ClaimNumber number) {
    return table.Decide(kEpoch, from, Claim{id, number}, ownership_start, std::nullopt);
  };
  CHECK(decide(host_a, 1).verdict == ClaimVerdict::kGranted);
  CHECK(decide(host_a, 1).verdict == ClaimVerdict::kGranted);
  CHECK(decide(host_a, 2).verdict == ClaimVerdict::kRunning);
  CHECK(decide(host_b, 1).runner == host_a);
  table.OnClaimDone(host_b, ClaimDone{id, 1, Outcome::kNotRun});
  table.OnClaimDone(host_a, ClaimDone{id, 2, Outcome::kNotRun});
  CHECK(decide(host_b, 1).verdict == ClaimVerdict::kRunning);
  table.OnClaimDone(host_a, ClaimDone{id, 1, Outcome::kNotRun});
  CHECK(decide(host_b, 1).verdict == ClaimVerdict::kGranted);
  table.OnClaimDone(host_b, ClaimDone{id, 1, Outcome::kAnswered});
  table.OnClaimDone(host_b, ClaimDone{id, 1, Outcome::kNotRun});
  CHECK(decide(host_a, 3).verdict == ClaimVerdict::kDone);
}

TEST_CASE("an id whose claim is held by a departed member is unknown and not granted again") {
  Random random(3);
  ClaimTable table(kOptions);
  table.SetMembers({host_a, host_b});
  const RequestId id = RequestId::Make(kEpoch, random);
  table.Decide(kEpoch, host_a, Claim{id, 1}, kEpoch - seconds(10), std::nullopt);
  table.SetMembers({host_b});
  const ClaimReply reply =
      table.Decide(kEpoch, host_b, Claim{id, 1}, kEpoch - seconds(10), std::nullopt);
  CHECK(reply.verdict == ClaimVerdict::kUnknown);
  CHECK(reply.reason == Reason::kRunnerGone);
}

TEST_CASE("the checks on a claim are applied in their defined order") {
  Random random(4);
  ClaimTable table(kOptions);
  table.SetMembers({host_a});
  const WallTime ownership_start = kEpoch - seconds(10);
  const auto decide = [&](WallTime issued, std::optional<WallTime> authority_end) {
    const Claim claim{RequestId::Make(issued, random), 1};
    return table.Decide(kEpoch, host_a, claim, ownership_start, authority_end);
  };
  CHECK(decide(kEpoch + milliseconds(501), {}).verdict == ClaimVerdict::kRefused);
  CHECK(decide(kEpoch - minutes(10) - milliseconds(1), {}).reason == Reason::kIdTooOld);
  CHECK(decide(ownership_start + milliseconds(499), {}).verdict == ClaimVerdict::kUnknown);
  CHECK(decide(ownership_start + milliseconds(500), {}).verdict == ClaimVerdict::kGranted);
  CHECK(decide(kEpoch - seconds(2), kEpoch - seconds(1)).verdict == ClaimVerdict::kRefused);
  CHECK(decide(kEpoch, kEpoch - seconds(1)).verdict == ClaimVerdict::kNoAuthority);
  CHECK(decide(kEpoch, {}).verdict == ClaimVerdict::kGranted);
  CHECK(decide(kEpoch, {}).verdict == ClaimVerdict::kGranted);
  CHECK(decide(kEpoch, {}).reason == Reason::kClaimTableFull);
}

TEST_CASE("a clock that is set back does not grant an id again whose claim was dropped by age") {
  Random random(5);
  ClaimTable table(kOptions);
  table.SetMembers({host_a});
  const Claim claim{RequestId::Make(kEpoch, random), 1};
  const WallTime ownership_start = kEpoch - minutes(60);
  CHECK(table.Decide(kEpoch, host_a, claim, ownership_start, {}).verdict == ClaimVerdict::kGranted);
  const Claim later{RequestId::Make(kEpoch + minutes(11), random), 2};
  table.Decide(kEpoch + minutes(11), host_a, later, ownership_start, {});
  CHECK(table.size() == 1);
  const Claim repeated{claim.id, 3};
  CHECK(table.Decide(kEpoch, host_a, repeated, ownership_start, {}).verdict ==
        ClaimVerdict::kUnknown);
}

TEST_CASE("stored answers stay within their memory and age bounds") {
  Random random(6);
  AnswerStore store(10'000, minutes(1));
  const RequestId first = RequestId::Make(kEpoch, random);
  const auto body = std::make_shared<const std::string>(std::string(500, 'x'));
  const StoredAnswer answer{1, Outcome::kAnswered, Reason::kNone, Response{200, {}, body}};
  store.Put(Time{}, first, answer);
  store.Put(Time{}, first, answer);
  CHECK(store.Find(first)->response.status == 200);
  for (int i = 0; i < 100; ++i) {
    store.Put(Time{}, RequestId::Make(kEpoch, random), answer);
    CHECK(store.bytes() <= 10'000);
  }
  CHECK(store.Find(first) == nullptr);
  store.Put(Time{minutes(2)}, first, answer);
  CHECK(store.size() == 1);
}

}  // namespace
}  // namespace cactusshelf
