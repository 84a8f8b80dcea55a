#include "cactusshelf/daemon/shell.h"

#include <catch2/catch.hpp>

#include "test_support.h"

namespace cactusshelf {
namespace {

using node_event::EffectExpired;
using std::chrono::seconds;

// Advances by `step` at each reading, as if the process were paused between readings.
struct FakeClock {
  mutable Time time{seconds(1000)};
  Duration step{};
  Now Read() const {
    time += step;
    return {time, {}};
  }
};

// Records the effects that the shell executes. `on_send` runs during Send(), for tests that post an
// event there.
struct FakePorts {
  struct RecordingPort {
    std::vector<std::string>& calls;
    std::function<void()> on_send;
    void Respond(const node_effect::RespondToCaller&) { calls.emplace_back("respond"); }
    void Send(const node_effect::SendAttempt&) {
      calls.emplace_back("attempt");
      if (on_send) on_send();
    }
    void Cancel(const node_effect::CancelAttempt&) { calls.emplace_back("cancel"); }
    void Read(const node_effect::ReadLog&) { calls.emplace_back("read_log"); }
    void Append(const node_effect::AppendToLog&) { calls.emplace_back("append"); }
    void Read() { calls.emplace_back("read_hosts"); }
    void Call(const node_effect::CallWorker&) { calls.emplace_back("worker"); }
    void Send(const std::string&, const std::string&) { calls.emplace_back("peer"); }
  };
  std::vector<std::string> calls;
  RecordingPort callers{calls, {}}, endpoints{calls, {}}, log{calls, {}}, hosts{calls, {}},
      workers{calls, {}}, peers{calls, {}};
};

struct Fixture {
  FakeNode node;
  FakeClock clock;
  FakePorts ports;
  LogWriter log{LogLevel::kError, stderr};
  ShellMetrics metrics;
  bool stopped = false;
  Shell<FakeNode, FakeClock, FakePorts> shell{
      node, clock, ports, log, metrics, [this](int /*code*/) { stopped = true; }};
};

node_effect::SendAttempt Attempt(std::uint64_t token, std::optional<Time> valid_until) {
  node_effect::SendAttempt attempt;
  attempt.token = AttemptToken{token};
  attempt.valid_until = valid_until;
  return attempt;
}

node_effect::CallWorker Call(std::uint64_t token, std::optional<Time> valid_until) {
  node_effect::CallWorker call;
  call.token = WorkerCallToken{token};
  call.valid_until = valid_until;
  return call;
}

}  // namespace

TEST_CASE("effects are executed in order and each event gets a new clock reading") {
  Fixture fixture;
  fixture.clock.step = seconds(1);
  fixture.node.effects = {node_effect::ReadLog{}, node_effect::ReadHosts{}};
  fixture.shell.Start();
  fixture.node.effects = {node_effect::SendToPeer{}, node_effect::AppendToLog{},
                          Attempt(1, std::nullopt),  node_effect::CancelAttempt{},
                          Call(1, std::nullopt),     node_effect::RespondToCaller{},
                          node_effect::Stop{}};
  fixture.shell.Post(node_event::Timer{});
  fixture.shell.Post(node_event::Timer{});
  CHECK(fixture.ports.calls == std::vector<std::string>{"read_log", "read_hosts", "peer", "append",
                                                        "attempt", "cancel", "worker", "respond"});
  CHECK(fixture.stopped);
  CHECK(fixture.node.times[0].monotonic < fixture.node.times[1].monotonic);
}

TEST_CASE("effects whose authority ended before their execution are dropped and reported") {
  Fixture fixture;
  const Time now = fixture.clock.time;
  fixture.node.effects = {Attempt(1, now), Attempt(2, now + seconds(1)), Call(3, now - seconds(1)),
                          Call(4, now + seconds(1)), Attempt(5, std::nullopt)};
  fixture.shell.Start();
  CHECK(fixture.ports.calls == std::vector<std::string>{"attempt", "worker", "attempt"});
  const auto expired = EventsOf<EffectExpired>(fixture.node.events);
  REQUIRE(expired.size() == 2);
  CHECK(std::get<AttemptToken>(expired[0].token) == AttemptToken{1});
  CHECK(std::get<WorkerCallToken>(expired[1].token) == WorkerCallToken{3});
  CHECK(fixture.metrics.counters.Get("cactusshelf_shell_dropped_effects_total", "expired") == 2);
}

TEST_CASE("a process pause between two effects of one event expires the second") {
  Fixture fixture;
  fixture.clock.step = seconds(3);
  const Time limit = fixture.clock.time + seconds(8);
  fixture.node.effects = {Attempt(1, limit), Attempt(2, limit)};
  fixture.shell.Start();
  CHECK(fixture.ports.calls.size() == 1);
  CHECK(EventsOf<EffectExpired>(fixture.node.events).size() == 1);
}

TEST_CASE("an event posted during an effect is handled after all effects of the current event") {
  Fixture fixture;
  std::vector<std::string> seen;
  fixture.ports.endpoints.on_send = [&] { fixture.shell.Post(node_event::AttemptSent{}); };
  fixture.node.on_event = [&](const NodeEvent&) { seen = fixture.ports.calls; };
  fixture.node.effects = {Attempt(1, std::nullopt), node_effect::ReadHosts{}};
  fixture.shell.Start();
  CHECK(seen == std::vector<std::string>{"attempt", "read_hosts"});
}

TEST_CASE("the timer fires at the node's wakeup time") {
  Fixture fixture;
  const auto fired = [&] { return EventsOf<node_event::Timer>(fixture.node.events).size(); };
  fixture.node.wakeup = fixture.clock.time + std::chrono::milliseconds(20);
  fixture.node.on_event = [&](const NodeEvent&) { fixture.node.wakeup.reset(); };
  fixture.shell.Start();
  REQUIRE(RunUntil([&] { return fired() == 1; }));
  RunFor(std::chrono::milliseconds(100));
  CHECK(fired() == 1);
  fixture.node.wakeup = fixture.clock.time - seconds(1);
  fixture.node.on_event = [&](const NodeEvent& event) {
    if (std::holds_alternative<node_event::Timer>(event)) fixture.node.wakeup.reset();
  };
  fixture.shell.Post(node_event::AttemptSent{});
  CHECK(RunUntil([&] { return fired() == 2; }));
}

}  // namespace cactusshelf
