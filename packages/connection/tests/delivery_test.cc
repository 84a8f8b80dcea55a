#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>

#include "fake_cluster.h"

namespace cactusshelf {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

void CheckClean(FakeCluster& cluster) {
  cluster.CheckAllAnswered();
  for (const std::string& violation : cluster.violations) {
    FAIL_CHECK(violation);
  }
}

TEST_CASE("a truncated body is never delivered as complete") {
  FakeCluster cluster(ClusterOptions{});
  for (int i = 0; i < 6; ++i) {
    cluster.SetMode(i, EndpointMode::kTruncate);
  }
  const RequestToken non_idempotent = cluster.SendRequest(0, false);
  const RequestToken idempotent = cluster.SendRequest(1, true);
  cluster.Run(seconds(1));
  CHECK(cluster.AnswerTo(non_idempotent)->answer.outcome == Outcome::kUnknown);
  CHECK(cluster.AnswerTo(non_idempotent)->answer.reason == Reason::kTruncated);
  CHECK(cluster.AnswerTo(idempotent)->answer.outcome == Outcome::kUnknown);
  CheckClean(cluster);
}

// Runs many requests that end just before or after their deadline.
std::unique_ptr<FakeCluster> RunLateAnswers(const RouterProtections& protections) {
  ClusterOptions options;
  options.deadline = milliseconds(60);
  options.service_time = milliseconds(40);
  options.router.protections = protections;
  auto cluster = std::make_unique<FakeCluster>(options);
  for (int i = 0; i < 600; ++i) {
    cluster->SendRequest(i % 3, i % 2 == 0);
    cluster->Run(milliseconds(8));
  }
  cluster->Run(seconds(2));
  return cluster;
}

TEST_CASE("late answers are dropped and counted, and every caller gets its own answer") {
  const auto cluster = RunLateAnswers({});
  CHECK(cluster->TotalCounters().Total("cactusshelf_late_answers_total") > 0);
  CheckClean(*cluster);
}

TEST_CASE("when late answers are delivered, a caller is answered twice") {
  RouterProtections protections;
  protections.drop_late_answers = false;
  const auto cluster = RunLateAnswers(protections);
  CHECK(std::ranges::count(cluster->violations, "a caller was answered twice") > 0);
}

TEST_CASE(
    "events of an attempt that has ended are ignored, so that a duplicate answer is dropped") {
  FakeCluster cluster(ClusterOptions{});
  const RequestToken token = cluster.SendRequest(0, true);
  cluster.Run(milliseconds(200));
  REQUIRE(cluster.AnswerTo(token) != nullptr);
  for (std::uint64_t attempt = 0; attempt < 10; ++attempt) {
    cluster.router(0).OnAttemptEvent(cluster.NowAt(0), AttemptId{attempt},
                                     AttemptAnswered{Response{200, {}, nullptr}});
  }
  for (const RouterEffect& effect : cluster.router(0).TakeEffects()) {
    CHECK_FALSE(std::holds_alternative<AnswerCaller>(effect));
  }
  CHECK(cluster.router(0).counters().Get("cactusshelf_late_answers_total", "after_end") == 10);
}

TEST_CASE("a caller that disconnects is not answered, and its request does not stay in flight") {
  FakeCluster cluster(ClusterOptions{});
  std::vector<RequestId> ids;
  for (int i = 0; i < 60; ++i) {
    ids.push_back(cluster.NewId());
    const RequestToken token = cluster.SendRequest(0, i % 2 == 0, ids.back());
    cluster.Run(milliseconds(i % 25));
    cluster.DisconnectCaller(0, token);
  }
  cluster.Run(seconds(3));
  CHECK(cluster.router(0).in_flight() == 0);
  CheckClean(cluster);
}

TEST_CASE(
    "a non-idempotent request continues when its caller disconnects, for a repeat of the id") {
  FakeCluster cluster(ClusterOptions{});
  const RequestId id = cluster.NewId();
  const RequestToken token = cluster.SendRequest(0, false, id);
  cluster.Run(milliseconds(8));
  REQUIRE(cluster.Runs(id) == 1);
  cluster.DisconnectCaller(0, token);
  const RequestToken repeat = cluster.SendRequest(1, false, id);
  cluster.Run(milliseconds(300));
  CHECK(cluster.AnswerTo(repeat)->answer.outcome == Outcome::kAnswered);
  CHECK(cluster.Runs(id) == 1);
  CheckClean(cluster);
}

TEST_CASE("draining refuses new requests, finishes the running ones, and transfers all slots") {
  FakeCluster cluster(ClusterOptions{});
  std::vector<RequestToken> running;
  running.reserve(3);
  for (int i = 0; i < 3; ++i) {
    running.push_back(cluster.SendRequest(0, i % 2 == 0));
  }
  cluster.Run(milliseconds(5));
  cluster.Drain(0);
  const RequestToken refused = cluster.SendRequest(0, true);
  cluster.Run(seconds(4));
  CHECK(cluster.router(0).drained());
  CHECK(cluster.AnswerTo(refused)->answer.reason == Reason::kDraining);
  for (const RequestToken token : running) {
    CHECK(cluster.AnswerTo(token)->answer.outcome == Outcome::kAnswered);
  }
  cluster.Remove(0);
  cluster.Run(seconds(1));
  // The transferred slots are usable at once: 10 of 12 slots are used at the same time.
  std::vector<RequestToken> after;
  after.reserve(10);
  for (int i = 0; i < 10; ++i) {
    after.push_back(cluster.SendRequest(1 + i % 2, true));
  }
  cluster.Run(milliseconds(500));
  for (const RequestToken token : after) {
    CHECK(cluster.AnswerTo(token)->answer.outcome == Outcome::kAnswered);
  }
  CheckClean(cluster);
}

TEST_CASE("no request of a retired customer starts, and its running requests finish") {
  ClusterOptions options;
  options.endpoints = 3;
  FakeCluster cluster(options);
  for (int i = 0; i < 60; ++i) {
    cluster.SendRequest(i % 3, i % 2 == 0, {}, {}, i % 3 == 0 ? "c1" : "c0");
  }
  cluster.Run(milliseconds(10));
  CHECK(cluster.router(0).in_flight(CustomerId("c1")) > 0);
  cluster.Retire("c1");
  const RequestToken refused = cluster.SendRequest(0, true, {}, {}, "c1");
  cluster.Run(seconds(2));
  CHECK(cluster.AnswerTo(refused)->answer.reason == Reason::kCustomerRetired);
  CHECK(cluster.router(0).in_flight(CustomerId("c1")) == 0);
  CheckClean(cluster);
}

TEST_CASE("a request for an unconfigured account or service is refused with a specific reason") {
  FakeCluster cluster(ClusterOptions{});
  Request request;
  request.service = ServiceId("notices");
  request.account = AccountId("a-c0");
  request.customer = CustomerId("c1");
  request.idempotent = true;
  cluster.router(0).OnRequest(cluster.NowAt(0), RequestToken{1'000'000}, request);
  request.service = ServiceId("other");
  cluster.router(0).OnRequest(cluster.NowAt(0), RequestToken{1'000'001}, request);
  const auto effects = cluster.router(0).TakeEffects();
  REQUIRE(effects.size() == 2);
  CHECK(std::get<AnswerCaller>(effects[0]).reason == Reason::kUnknownAccount);
  CHECK(std::get<AnswerCaller>(effects[1]).reason == Reason::kUnknownService);
}

}  // namespace
}  // namespace cactusshelf
