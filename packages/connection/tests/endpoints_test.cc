#include <catch2/catch.hpp>
#include <set>

#include "cactusshelf/connection/endpoint_ejector.h"
#include "cactusshelf/connection/request_queue.h"
#include "fake_cluster.h"

namespace cactusshelf {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kEndpoints = 10;

ClusterOptions ManyEndpoints(const RouterProtections& protections = {}) {
  ClusterOptions options;
  options.endpoints = kEndpoints;
  options.slots = 6;
  options.router.protections = protections;
  return options;
}

void SendRequests(FakeCluster& cluster, int requests, Duration gap, bool idempotent = true) {
  for (int i = 0; i < requests; ++i) {
    cluster.SendRequest(i % 3, idempotent);
    cluster.Run(gap);
  }
}

TEST_CASE("all hosts stop sending to a leaving endpoint soon after one host is told") {
  FakeCluster cluster(ManyEndpoints());
  SendRequests(cluster, 300, milliseconds(3));
  cluster.SetLeaving(0, 4);
  SendRequests(cluster, 300, milliseconds(3));
  const std::uint64_t sent = cluster.Sent(4);
  SendRequests(cluster, 600, milliseconds(3));
  CHECK(cluster.Sent(4) == sent);
  CHECK(cluster.violations.empty());
}

double RetryShare(const RouterProtections& protections) {
  FakeCluster cluster(ManyEndpoints(protections));
  SendRequests(cluster, 500, milliseconds(3));
  for (int i = 0; i < kEndpoints; ++i) {
    cluster.SetMode(i, EndpointMode::kClose);
  }
  SendRequests(cluster, 1000, milliseconds(3));
  const Counters counters = cluster.TotalCounters();
  return static_cast<double>(counters.Total("cactusshelf_retries_total")) /
         static_cast<double>(counters.Total("cactusshelf_requests_total"));
}

TEST_CASE("retries do not multiply the load when all endpoints fail") {
  CHECK(RetryShare({}) <= 0.1);
  RouterProtections protections;
  protections.retry_budget = false;
  CHECK(RetryShare(protections) > 0.1);
}

std::uint64_t TotalSent(const FakeCluster& cluster) {
  std::uint64_t sent = 0;
  for (int i = 0; i < kEndpoints; ++i) {
    sent += cluster.Sent(i);
  }
  return sent;
}

// Returns how many of 100 requests are sent to an endpoint after all endpoints failed for a while.
std::uint64_t SentWhileAllFail(const RouterProtections& protections) {
  FakeCluster cluster(ManyEndpoints(protections));
  for (int i = 0; i < kEndpoints; ++i) {
    cluster.SetMode(i, EndpointMode::kClose);
  }
  SendRequests(cluster, 300, milliseconds(3));
  const std::uint64_t before = TotalSent(cluster);
  SendRequests(cluster, 100, milliseconds(3));
  return TotalSent(cluster) - before;
}

TEST_CASE("a fault of all endpoints does not eject all of them") {
  CHECK(SentWhileAllFail({}) >= 90);
  RouterProtections protections;
  protections.ejection_floor = false;
  CHECK(SentWhileAllFail(protections) < 90);
}

TEST_CASE("a failed endpoint receives only probes and is readmitted after it recovered") {
  FakeCluster cluster(ManyEndpoints());
  SendRequests(cluster, 300, milliseconds(3));
  cluster.SetMode(2, EndpointMode::kDead);
  SendRequests(cluster, 300, milliseconds(3));
  const std::uint64_t sent = cluster.Sent(2);
  SendRequests(cluster, 600, milliseconds(3));
  CHECK(cluster.Sent(2) - sent <= 12);  // A few attempts of each host, then only probes.
  cluster.SetMode(2, EndpointMode::kNormal);
  SendRequests(cluster, 2000, milliseconds(3));
  const std::uint64_t recovered = cluster.Sent(2);
  SendRequests(cluster, 1000, milliseconds(3));
  CHECK(cluster.Sent(2) - recovered > 30);
  CHECK(cluster.violations.empty());
}

TEST_CASE("an endpoint ten times slower than its peers gets a small share of the requests") {
  FakeCluster cluster(ManyEndpoints());
  cluster.SetServiceTime(3, milliseconds(200));
  SendRequests(cluster, 1000, milliseconds(3));
  const std::uint64_t sent = cluster.Sent(3);
  SendRequests(cluster, 2000, milliseconds(3));
  CHECK(cluster.Sent(3) - sent < 2000 / kEndpoints / 4);
}

struct OverloadResult {
  int in_time = 0;
  int refused = 0;
  int expired = 0;
};

// Applies a load of twice the capacity of the endpoints for three seconds.
OverloadResult RunOverload(const RouterProtections& protections) {
  ClusterOptions options;
  options.slots = 2;
  options.service_time = milliseconds(40);
  options.deadline = milliseconds(400);
  options.router.protections = protections;
  FakeCluster cluster(options);
  std::vector<RequestToken> tokens;
  for (int i = 0; i < 1500; ++i) {
    tokens.push_back(cluster.SendRequest(i % 3, true));
    cluster.Run(milliseconds(2));
  }
  cluster.Run(seconds(1));
  cluster.CheckAllAnswered();
  CHECK(cluster.violations.empty());
  OverloadResult served;
  for (const RequestToken token : tokens) {
    const CallerAnswer& answer = *cluster.AnswerTo(token);
    const bool soon = answer.at - answer.sent_at <= milliseconds(300);
    served.in_time += answer.answer.outcome == Outcome::kAnswered ? 1 : 0;
    served.refused += answer.answer.outcome == Outcome::kNotRun && soon ? 1 : 0;
    served.expired += answer.answer.outcome != Outcome::kAnswered && !soon ? 1 : 0;
  }
  return served;
}

TEST_CASE("under overload excess requests are refused early and the others are served in time") {
  const OverloadResult served = RunOverload({});
  // 12 slots with 50 ms per request serve 240 requests per second.
  CHECK(served.in_time > 500);
  CHECK(served.refused > 500);
  CHECK(served.expired < 150);
  RouterProtections protections;
  protections.admission = false;
  CHECK(RunOverload(protections).expired > 150);
}

TEST_CASE("under overload a customer of higher priority is served first") {
  ClusterOptions options;
  options.service_time = milliseconds(40);
  options.deadline = milliseconds(400);
  FakeCluster cluster(options);
  int answered = 0;
  std::vector<RequestToken> tokens;
  for (int i = 0; i < 1500; ++i) {
    const bool is_high_priority = i % 4 == 0;
    const RequestToken token =
        cluster.SendRequest(i % 3, true, {}, {}, is_high_priority ? "c2" : "c0");
    if (is_high_priority) {
      tokens.push_back(token);
    }
    cluster.Run(milliseconds(2));
  }
  cluster.Run(seconds(1));
  for (const RequestToken token : tokens) {
    answered += cluster.AnswerTo(token)->answer.outcome == Outcome::kAnswered ? 1 : 0;
  }
  CHECK(answered > static_cast<int>(tokens.size()) * 9 / 10);
}

TEST_CASE("a full queue drops the request that would be served last") {
  RequestQueue queue(2);
  const Time now{seconds(1)};
  CHECK_FALSE(queue.Push({RequestToken{1}, 0, now, now + milliseconds(300)}));
  CHECK_FALSE(queue.Push({RequestToken{2}, 1, now, now + milliseconds(900)}));
  CHECK(queue.Push({RequestToken{3}, 0, now, now + milliseconds(200)})->token == RequestToken{1});
  CHECK(queue.Push({RequestToken{4}, 0, now, now + milliseconds(999)})->token == RequestToken{4});
  CHECK(queue.Front(now)->token == RequestToken{2});
}

TEST_CASE("a queue that stays non-empty serves the newest request first") {
  RequestQueue queue(10);
  const Time start{seconds(1)};
  queue.Push({RequestToken{1}, 0, start, start + seconds(9)});
  const Time later = start + milliseconds(600);
  queue.Push({RequestToken{2}, 0, later, later + seconds(9)});
  CHECK(queue.Front(start)->token == RequestToken{1});
  CHECK(queue.Front(later)->token == RequestToken{2});
}

TEST_CASE("each consecutive ejection lasts longer, and one probe at a time is sent") {
  EndpointEjector ejector(0.5);
  ejector.Add(0);
  ejector.Add(1);
  Time now{seconds(100)};
  for (int i = 0; i < 3; ++i) {
    ejector.OnFailure(now, 0);
  }
  CHECK(ejector.AccessTo(now, 0) == EndpointAccess::kClosed);
  now += seconds(1);
  ejector.OnProbeSent(now, 0);
  CHECK(ejector.AccessTo(now, 0) == EndpointAccess::kClosed);
  ejector.OnFailure(now, 0);
  CHECK(ejector.AccessTo(now + seconds(1), 0) == EndpointAccess::kClosed);
  CHECK(ejector.AccessTo(now + seconds(2), 0) == EndpointAccess::kProbe);
  ejector.OnProbeSent(now + seconds(2), 0);
  ejector.OnSuccess(now + seconds(2), 0);
  CHECK(ejector.AccessTo(now + seconds(2), 0) == EndpointAccess::kOpen);
}

}  // namespace
}  // namespace cactusshelf
