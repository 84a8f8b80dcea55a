#include <algorithm>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "cactusshelf/request/request_id.h"
#include "cactusshelf/testing/disabled_protection.h"
#include "fake_deployment.h"

namespace cactusshelf {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr char kServicesToml[] = R"(
[[customer]]
name = "andina"
priority = 5
[[account]]
name = "crews"
customer = "andina"
request_rate = "1000/s"
[[service]]
name = "notices"
customer = "andina"
slots = 8
connections = 64
default_deadline = "5s"
endpoints = [
  { address = "10.0.0.1:80", domain = "domain-1", rack = "r1" },
  { address = "10.0.0.2:80", domain = "domain-2", rack = "r1" },
]
)";

constexpr char kRetirementToml[] = "[[retirement]]\ncustomer = \"andina\"\n";

std::string HostName(int n) { return "entry" + std::to_string(n); }

class TestDeployment : public FakeDeployment {
 public:
  TestDeployment(std::uint64_t seed, int nodes) : FakeDeployment(seed) {
    protections.finish_before_stop = !IsProtectionDisabled("finish-before-stop");
    protections.attest_only_when_idle = !IsProtectionDisabled("attest-only-when-idle");
    protections.catch_up_from_peers = !IsProtectionDisabled("catch-up-from-peers");
    for (int i = 1; i <= nodes; ++i) {
      StartNode(HostName(i));
    }
    REQUIRE(RunUntil([&] { return AllReady(nodes); }, seconds(10)));
  }

  bool AllReady(int nodes) {
    for (int i = 1; i <= nodes; ++i) {
      if (!IsRunning(HostName(i)) || !node(HostName(i)).ready()) {
        return false;
      }
    }
    return true;
  }

  nlohmann::json StatusOf(const std::string& name) { return nlohmann::json::parse(Status(name)); }

  void PublishServices() {
    Publish("entry1", "first", {{"services.toml", kServicesToml}});
    REQUIRE(RunUntil([&] { return !StatusOf("entry1").at("revision").is_null(); }, seconds(7)));
  }

  std::string NewRequestId() { return RequestId::Make(wall(), random()).ToString(); }

  Answer SendAndWait(const std::string& host, const std::string& id, bool idempotent) {
    const auto request = Send(host, "notices", id, idempotent);
    REQUIRE(RunUntil([&] { return AnswerTo(request).has_value(); }, seconds(40)));
    UNSCOPED_INFO("reason: " << AnswerTo(request)->reason);
    return *AnswerTo(request);
  }

  bool IsRetirementComplete(const std::string& host) {
    const auto retirements = StatusOf(host).at("retirements");
    return !retirements.empty() && retirements[0].at("complete").get<bool>();
  }
};

TEST_CASE("an accepted configuration is in force on all seven members within 7 s") {
  TestDeployment deployment(1, 7);
  deployment.Publish("entry1", "first", {{"services.toml", kServicesToml}});
  const auto in_force = [&] {
    for (int i = 1; i <= 7; ++i) {
      if (deployment.StatusOf(HostName(i)).at("revision").is_null()) {
        return false;
      }
    }
    return true;
  };
  CHECK(deployment.RunUntil(in_force, seconds(7)));
}

TEST_CASE("a member cut off from the log gets the configuration from its peers") {
  TestDeployment deployment(2, 3);
  deployment.hosts_without_log.insert("entry3");
  deployment.RunFor(seconds(2));
  deployment.Publish("entry1", "first", {{"services.toml", kServicesToml}});
  const auto in_force = [&] { return !deployment.StatusOf("entry3").at("revision").is_null(); };
  CHECK(deployment.RunUntil(in_force, seconds(7)));
  CHECK(deployment.StatusOf("entry3").at("chain") == deployment.StatusOf("entry1").at("chain"));
}

TEST_CASE("a request gets the complete answer of the endpoint") {
  TestDeployment deployment(3, 3);
  deployment.PublishServices();
  deployment.RunFor(seconds(5));
  const std::string id = deployment.NewRequestId();
  const auto answer = deployment.SendAndWait("entry2", id, true);
  CHECK(answer.outcome == "answered");
  CHECK(answer.body == "answer to " + id);
}

TEST_CASE("a non-idempotent request that is repeated at every member runs once") {
  TestDeployment deployment(4, 7);
  deployment.PublishServices();
  deployment.RunFor(seconds(5));
  for (int n = 0; n < 20; ++n) {
    const std::string id = deployment.NewRequestId();
    for (int i = 1; i <= 7; ++i) {
      const auto answer = deployment.SendAndWait(HostName(i), id, false);
      CHECK(answer.outcome == "answered");
      CHECK(answer.body == "answer to " + id);
    }
    CHECK(deployment.Executions(id) == 1);
  }
}

TEST_CASE("a log outage does not stop requests, including non-idempotent ones") {
  TestDeployment deployment(5, 3);
  deployment.PublishServices();
  deployment.RunFor(seconds(5));
  deployment.log_outage = true;
  deployment.RunFor(minutes(10));
  const std::string id = deployment.NewRequestId();
  CHECK(deployment.SendAndWait("entry1", id, false).outcome == "answered");
  CHECK(deployment.SendAndWait("entry2", id, false).outcome == "answered");
  CHECK(deployment.Executions(id) == 1);
}

TEST_CASE("a request whose answer is lost is reported as unknown and is not sent again") {
  TestDeployment deployment(6, 3);
  deployment.PublishServices();
  deployment.RunFor(seconds(5));
  deployment.drop_endpoint_answers = true;
  const std::string id = deployment.NewRequestId();
  for (int i = 1; i <= 3; ++i) {
    CHECK(deployment.SendAndWait(HostName(i), id, false).outcome == "unknown");
  }
  CHECK(deployment.Executions(id) == 1);
}

TEST_CASE("a member that dies between a request and its repeat causes no second execution") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    TestDeployment deployment(seed, 5);
    deployment.PublishServices();
    deployment.RunFor(seconds(5));
    std::vector<std::string> ids;
    for (int n = 0; n < 20; ++n) {
      ids.push_back(deployment.NewRequestId());
      deployment.Send("entry1", "notices", ids.back(), false);
    }
    deployment.RunFor(Duration(deployment.random().Below(60'000)));
    deployment.Kill("entry1");
    for (int second = 0; second < 20; ++second) {
      for (const std::string& id : ids) {
        deployment.Send(HostName(2 + second % 4), "notices", id, false);
      }
      deployment.RunFor(seconds(1));
    }
    for (const std::string& id : ids) {
      CHECK(deployment.Executions(id) <= 1);
    }
  }
}

TEST_CASE("a paused member is removed and exits when it resumes instead of running requests") {
  TestDeployment deployment(7, 5);
  deployment.PublishServices();
  deployment.RunFor(seconds(5));
  deployment.Pause("entry2");
  const auto removed = [&] { return deployment.StatusOf("entry1").at("members").size() == 4; };
  REQUIRE(deployment.RunUntil(removed, seconds(30)));
  std::vector<std::string> ids(20);
  std::ranges::generate(ids, [&] { return deployment.NewRequestId(); });
  deployment.RunFor(seconds(5));
  for (const std::string& id : ids) {
    deployment.Send("entry1", "notices", id, false);
  }
  deployment.RunFor(seconds(1));
  deployment.Resume("entry2");
  for (const std::string& id : ids) {
    deployment.Send("entry2", "notices", id, false);
  }
  deployment.RunFor(seconds(40));
  for (const std::string& id : ids) {
    CHECK(deployment.Executions(id) <= 1);
  }
  CHECK(deployment.ExitCode("entry2") == node_effect::kExitRemoved);
}

TEST_CASE("a graceful stop finishes requests in flight and leaves") {
  TestDeployment deployment(8, 3);
  deployment.PublishServices();
  deployment.RunFor(seconds(5));
  deployment.service_time = seconds(3);
  const auto request = deployment.Send("entry1", "notices", deployment.NewRequestId(), true);
  deployment.RunFor(std::chrono::milliseconds(100));
  deployment.Drain("entry1");
  CHECK_FALSE(deployment.node("entry1").ready());
  REQUIRE(
      deployment.RunUntil([&] { return deployment.ExitCode("entry1").has_value(); }, seconds(10)));
  CHECK(deployment.AnswerTo(request).value().outcome == "answered");
  CHECK(deployment.ExitCode("entry1") == 0);
  const auto left = [&] { return deployment.StatusOf("entry2").at("members").size() == 2; };
  CHECK(deployment.RunUntil(left, seconds(2)));
}

TEST_CASE(
    "a retirement is certified once all members have attested, and its requests are refused") {
  TestDeployment deployment(9, 5);
  deployment.PublishServices();
  deployment.RunFor(seconds(5));
  deployment.Publish("entry1", "retire",
                     {{"services.toml", std::nullopt}, {"retirement.toml", kRetirementToml}});
  CHECK(
      deployment.RunUntil([&] { return deployment.IsRetirementComplete("entry2"); }, seconds(10)));
  CHECK(deployment.SendAndWait("entry3", deployment.NewRequestId(), true).outcome == "not-run");
}

TEST_CASE("the certificate is withheld while a request of the customer is in flight") {
  TestDeployment deployment(15, 3);
  deployment.PublishServices();
  deployment.RunFor(seconds(5));
  deployment.service_time = seconds(4);
  const auto request = deployment.Send("entry2", "notices", deployment.NewRequestId(), true);
  deployment.RunFor(std::chrono::milliseconds(100));
  deployment.Publish("entry1", "retire",
                     {{"services.toml", std::nullopt}, {"retirement.toml", kRetirementToml}});
  deployment.RunFor(seconds(2));
  CHECK_FALSE(deployment.IsRetirementComplete("entry1"));
  CHECK(
      deployment.RunUntil([&] { return deployment.IsRetirementComplete("entry1"); }, seconds(20)));
  CHECK(deployment.AnswerTo(request).value().outcome == "answered");
}

TEST_CASE("the certificate is withheld while a paused member may still act") {
  TestDeployment deployment(10, 5);
  deployment.PublishServices();
  deployment.RunFor(seconds(5));
  deployment.Pause("entry4");
  deployment.Publish("entry1", "retire",
                     {{"services.toml", std::nullopt}, {"retirement.toml", kRetirementToml}});
  const auto removed = [&] { return deployment.StatusOf("entry1").at("members").size() == 4; };
  REQUIRE(deployment.RunUntil(removed, seconds(30)));
  CHECK_FALSE(deployment.IsRetirementComplete("entry1"));
  const auto missing = deployment.StatusOf("entry1").at("retirements")[0].at("missing");
  REQUIRE(missing.size() == 1);
  CHECK(missing[0].get<std::string>().find("entry4") != std::string::npos);
  CHECK(
      deployment.RunUntil([&] { return deployment.IsRetirementComplete("entry1"); }, seconds(50)));
}

TEST_CASE("the configuration survives a rolling restart of all members after the log was trimmed") {
  TestDeployment deployment(11, 3);
  deployment.PublishServices();
  deployment.RunFor(seconds(3));
  const auto revision = deployment.StatusOf("entry1").at("revision");
  for (int n = 0; n < 600; ++n) {
    deployment.log.Append(deployment.wall(), "not a record");
  }
  deployment.RunFor(seconds(60));
  deployment.log.TrimTo(deployment.log.next() - 20);
  for (int i = 1; i <= 3; ++i) {
    deployment.Drain(HostName(i));
    REQUIRE(deployment.RunUntil([&] { return !deployment.IsRunning(HostName(i)); }, seconds(10)));
    deployment.StartNode(HostName(i));
    REQUIRE(deployment.RunUntil([&] { return deployment.AllReady(i); }, seconds(10)));
    CHECK(deployment.StatusOf(HostName(i)).at("revision") == revision);
  }
}

TEST_CASE("a join that is appended after a newer retirement is refused and retried") {
  bool any_refused = false;
  for (int ms = 1; ms <= 12; ++ms) {
    TestDeployment deployment(16, 1);
    deployment.PublishServices();
    deployment.StartNode("entry2");
    deployment.RunFor(std::chrono::milliseconds(ms));
    deployment.Publish("entry1", "retire",
                       {{"services.toml", std::nullopt}, {"retirement.toml", kRetirementToml}});
    deployment.RunFor(std::chrono::seconds(1));
    any_refused = any_refused || !deployment.node("entry2").ready();
    CHECK(deployment.RunUntil([&] { return deployment.AllReady(2); }, seconds(20)));
  }
  CHECK(any_refused);
}

TEST_CASE("a restarted only member replaces its earlier process") {
  TestDeployment deployment(12, 1);
  deployment.PublishServices();
  deployment.Kill("entry1");
  deployment.StartNode("entry1");
  REQUIRE(deployment.RunUntil([&] { return deployment.AllReady(1); }, seconds(10)));
  // Requests of the earlier process may occupy slots until the longest request timeout has passed.
  deployment.RunFor(seconds(40));
  CHECK(deployment.StatusOf("entry1").at("members").size() == 1);
  CHECK(deployment.SendAndWait("entry1", deployment.NewRequestId(), false).outcome == "answered");
}

TEST_CASE("lost append answers do not lead to duplicate members") {
  FakeDeployment deployment(13);
  deployment.drop_append_answers = true;
  deployment.StartNode("entry1");
  REQUIRE(deployment.RunUntil([&] { return deployment.node("entry1").ready(); }, seconds(10)));
  deployment.RunFor(seconds(10));
  const auto status = nlohmann::json::parse(deployment.Status("entry1"));
  CHECK(status.at("members").size() == 1);
}

TEST_CASE("runs with the same seed are identical") {
  const auto run = [] {
    TestDeployment deployment(14, 3);
    deployment.PublishServices();
    deployment.RunFor(seconds(20));
    return deployment.Status("entry1");
  };
  CHECK(run() == run());
}

}  // namespace
}  // namespace cactusshelf
