#include <catch2/catch.hpp>

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

Outcome OutcomeOf(const FakeCluster& cluster, RequestToken token) {
  const CallerAnswer* answer = cluster.AnswerTo(token);
  REQUIRE(answer != nullptr);
  return answer->answer.outcome;
}

Reason ReasonOf(const FakeCluster& cluster, RequestToken token) {
  return cluster.AnswerTo(token)->answer.reason;
}

TEST_CASE("a repeated id at any entry host gets the answer of the first run") {
  FakeCluster cluster(ClusterOptions{});
  for (int i = 0; i < 50; ++i) {
    const RequestId id = cluster.NewId();
    const RequestToken first = cluster.SendRequest(0, false, id);
    const RequestToken during = cluster.SendRequest(1, false, id);
    const RequestToken same_host = cluster.SendRequest(0, false, id);
    cluster.Run(milliseconds(200));
    const RequestToken after = cluster.SendRequest(2, false, id);
    cluster.Run(milliseconds(200));
    for (const RequestToken token : {first, during, same_host, after}) {
      CHECK(OutcomeOf(cluster, token) == Outcome::kAnswered);
    }
    CHECK(cluster.Runs(id) == 1);
  }
  CheckClean(cluster);
}

TEST_CASE(
    "a repeated id is not run again when the first answer was lost on the way to the caller") {
  FakeCluster cluster(ClusterOptions{});
  const RequestId id = cluster.NewId();
  cluster.DropAnswers(0, true);
  cluster.SendRequest(0, false, id);
  cluster.Run(milliseconds(200));
  const RequestToken repeat = cluster.SendRequest(1, false, id);
  cluster.Run(milliseconds(200));
  CHECK(OutcomeOf(cluster, repeat) == Outcome::kAnswered);
  CHECK(cluster.Runs(id) == 1);
  CheckClean(cluster);
}

TEST_CASE(
    "a repeated id is answered as unknown and not run again when the entry host of the first "
    "died") {
  ClusterOptions options;
  options.deadline = seconds(5);
  options.service_time = milliseconds(100);
  FakeCluster cluster(options);
  for (const Duration wait : {milliseconds(3), milliseconds(20), milliseconds(400)}) {
    FakeCluster case_cluster(options);
    const RequestId id = case_cluster.NewId();
    case_cluster.SendRequest(0, false, id);
    case_cluster.Run(wait);
    case_cluster.Kill(0);
    const RequestToken soon = case_cluster.SendRequest(1, false, id);
    case_cluster.Run(seconds(6));
    const RequestToken late = case_cluster.SendRequest(2, false, id);
    case_cluster.Run(seconds(6));
    CHECK(case_cluster.Runs(id) <= 1);
    CHECK(OutcomeOf(case_cluster, soon) == Outcome::kUnknown);
    CHECK(OutcomeOf(case_cluster, late) == Outcome::kUnknown);
    CheckClean(case_cluster);
  }
}

TEST_CASE("ids issued before a takeover are answered as unknown and later ones run") {
  FakeCluster cluster(ClusterOptions{});
  std::vector<RequestId> before;
  for (int i = 0; i < 60; ++i) {
    before.push_back(cluster.NewId());
    cluster.SendRequest(0, false, before.back());
  }
  cluster.Run(milliseconds(500));
  cluster.Kill(1);
  cluster.Run(seconds(5));
  int unknown = 0;
  for (const RequestId& id : before) {
    const RequestToken token = cluster.SendRequest(2, false, id);
    cluster.Run(milliseconds(50));
    unknown += ReasonOf(cluster, token) == Reason::kBeforeOwnership ? 1 : 0;
    CHECK(cluster.Runs(id) <= 1);
  }
  CHECK(unknown > 0);
  for (int i = 0; i < 30; ++i) {
    const RequestToken token = cluster.SendRequest(2, false);
    cluster.Run(milliseconds(50));
    CHECK(OutcomeOf(cluster, token) == Outcome::kAnswered);
  }
  CheckClean(cluster);
}

TEST_CASE("a request is not sent again when the endpoint reads it and closes") {
  FakeCluster cluster(ClusterOptions{});
  for (int i = 0; i < 6; ++i) {
    cluster.SetMode(i, EndpointMode::kClose);
  }
  const RequestId id = cluster.NewId();
  const RequestToken first = cluster.SendRequest(0, false, id);
  cluster.Run(milliseconds(300));
  const RequestToken repeat = cluster.SendRequest(1, false, id);
  cluster.Run(milliseconds(300));
  CHECK(OutcomeOf(cluster, first) == Outcome::kUnknown);
  CHECK(OutcomeOf(cluster, repeat) == Outcome::kUnknown);
  CHECK(cluster.Runs(id) == 1);
  CheckClean(cluster);
}

TEST_CASE(
    "a request refused by the endpoint is 'not run', and the same id runs when it is repeated") {
  FakeCluster cluster(ClusterOptions{});
  for (int i = 0; i < 6; ++i) {
    cluster.SetMode(i, EndpointMode::kRefuse);
  }
  const RequestId id = cluster.NewId();
  const RequestToken refused = cluster.SendRequest(0, false, id);
  cluster.Run(milliseconds(200));
  CHECK(OutcomeOf(cluster, refused) == Outcome::kNotRun);
  CHECK(ReasonOf(cluster, refused) == Reason::kRefusedByEndpoint);
  CHECK(cluster.AnswerTo(refused)->answer.retry_after);
  for (int i = 0; i < 6; ++i) {
    cluster.SetMode(i, EndpointMode::kNormal);
  }
  const RequestToken repeat = cluster.SendRequest(1, false, id);
  cluster.Run(milliseconds(500));
  CHECK(OutcomeOf(cluster, repeat) == Outcome::kAnswered);
  CHECK(cluster.Runs(id) == 1);
  CheckClean(cluster);
}

TEST_CASE("a timeout after bytes were sent is answered as unknown, not as 'not run'") {
  FakeCluster cluster(ClusterOptions{});
  for (int i = 0; i < 6; ++i) {
    cluster.SetMode(i, EndpointMode::kHang);
  }
  const RequestToken non_idempotent = cluster.SendRequest(0, false);
  const RequestToken idempotent = cluster.SendRequest(0, true);
  cluster.Run(seconds(1));
  CHECK(OutcomeOf(cluster, non_idempotent) == Outcome::kUnknown);
  CHECK(OutcomeOf(cluster, idempotent) == Outcome::kUnknown);
  CHECK(cluster.AnswerTo(non_idempotent)->answer.status == 504);
  CheckClean(cluster);
}

TEST_CASE("without a reply of the owner the request does not run and the outcome is unknown") {
  ClusterOptions options;
  FakeCluster cluster(options);
  cluster.SetMessageLoss(1);
  int unknown = 0;
  for (int i = 0; i < 30; ++i) {
    const RequestId id = cluster.NewId();
    const RequestToken token = cluster.SendRequest(0, false, id);
    cluster.Run(seconds(1));
    const Outcome outcome = OutcomeOf(cluster, token);
    unknown += outcome == Outcome::kUnknown ? 1 : 0;
    CHECK((outcome == Outcome::kAnswered || cluster.Runs(id) == 0));
  }
  CHECK(unknown > 0);
  CheckClean(cluster);
}

TEST_CASE("a lost, duplicated or reordered claim message neither blocks nor repeats a request") {
  ClusterOptions options;
  options.hosts = 5;
  options.message_loss = 0.2;
  options.message_duplication = 0.3;
  options.message_jitter = milliseconds(30);
  FakeCluster cluster(options);
  int answered = 0;
  for (int i = 0; i < 300; ++i) {
    const RequestId id = cluster.NewId();
    const RequestToken first = cluster.SendRequest(i % 5, false, id);
    cluster.SendRequest((i + 1) % 5, false, id);
    cluster.Run(milliseconds(20));
    cluster.SendRequest((i + 2) % 5, false, id);
    cluster.Run(milliseconds(1000));
    const CallerAnswer* answer = cluster.AnswerTo(first);
    answered += answer->answer.outcome == Outcome::kAnswered ? 1 : 0;
  }
  CHECK(answered > 280);
  CheckClean(cluster);
}

TEST_CASE("a non-idempotent request without an id is a bad request") {
  FakeCluster cluster(ClusterOptions{});
  Request request;
  request.service = ServiceId("notices");
  cluster.router(0).OnRequest(cluster.NowAt(0), RequestToken{1'000'000}, request);
  const auto effects = cluster.router(0).TakeEffects();
  REQUIRE(effects.size() == 1);
  const auto& answer = std::get<AnswerCaller>(effects[0]);
  CHECK(answer.reason == Reason::kBadRequest);
  CHECK(answer.status == 400);
}

TEST_CASE("a claim granted after the request ended is released, so that the id can run") {
  ClusterOptions options;
  options.message_jitter = milliseconds(100);
  FakeCluster cluster(options);
  for (int i = 0; i < 50; ++i) {
    const RequestId id = cluster.NewId();
    cluster.SendRequest(0, false, id, milliseconds(20));
    cluster.Run(milliseconds(700));
    const int before = cluster.Runs(id);
    const RequestToken repeat = cluster.SendRequest(1, false, id);
    cluster.Run(seconds(1));
    const bool ran = OutcomeOf(cluster, repeat) == Outcome::kAnswered;
    CHECK((ran || before > 0));
    CHECK(cluster.Runs(id) == 1);
  }
  CheckClean(cluster);
}

}  // namespace
}  // namespace cactusshelf
