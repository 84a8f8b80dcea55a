#include "cactusshelf/placement/worker_messages.h"

#include <catch2/catch.hpp>

#include "cactusshelf/base/errors.h"

namespace cactusshelf {
namespace {

using Json = nlohmann::json;

CommandHeader Header() {
  CommandHeader header;
  header.id = CommandId("c-1");
  header.epoch = 7;
  header.incarnation = 3;
  return header;
}

std::vector<WorkerCommand> AllCommands() {
  const TaskAttempt task{TaskId("job/0"), {7, 2}};
  return {InstallEpoch{Header()},
          StartTask{Header(), task, JobClass("c"), CustomerId("u"), {500, 1 << 20, 1}, "cp", {99}},
          StopTask{Header(), task},
          CheckpointTask{Header(), task},
          ThrottleTask{Header(), task, 400},
          RenewLeases{Header(), {task}, {1500}, {task, task}},
          ReadState{Header()}};
}

WorkerState State() {
  const TaskAttempt task{TaskId("job/0"), {7, 2}};
  WorkerState state{7, 3, {1234}, {}, {}, {}};
  state.running.push_back({task,
                           JobClass("c"),
                           CustomerId("u"),
                           TaskPhase::kThrottled,
                           {500, 1 << 20, 0},
                           {250, 1 << 19, 0},
                           {1000},
                           "cp"});
  state.ended.push_back({task, JobClass("c"), TaskEnd::kLeaseExpired, "cp"});
  state.services.push_back({ServiceId("s"), Duration(1500), 80, {900}});
  return state;
}

TEST_CASE("no field of a command is lost in its encoding") {
  for (const WorkerCommand& command : AllCommands()) {
    const Json json = command;
    const auto decoded = json.get<WorkerCommand>();
    CHECK(decoded.index() == command.index());
    CHECK(Json(decoded) == json);
    CHECK(HeaderOf(decoded).id == CommandId("c-1"));
  }
}

TEST_CASE("no field of a result or a state is lost in its encoding") {
  const CommandResult result{CommandStatus::kAttemptUsed, 7, 3, {55}};
  CHECK(Json(result).get<CommandResult>() == result);
  CHECK(Json(State()).get<WorkerState>() == State());
}

TEST_CASE("a command with a missing or an unknown field is not decoded") {
  for (const WorkerCommand& command : AllCommands()) {
    const Json json = command;
    for (const auto& item : json.items()) {
      Json broken = json;
      broken.erase(item.key());
      CHECK_THROWS_AS(broken.get<WorkerCommand>(), DecodeError);
      broken[item.key()] = nullptr;
      CHECK_THROWS_AS(broken.get<WorkerCommand>(), DecodeError);
    }
    Json broken = json;
    broken["extra"] = 1;
    CHECK_THROWS_AS(broken.get<WorkerCommand>(), DecodeError);
  }
}

TEST_CASE("a state with a wrong nested field is not decoded as that of an idle worker") {
  Json json = State();
  json["running"][0].erase("size");
  CHECK_THROWS_AS(json.get<WorkerState>(), DecodeError);
  json = State();
  json["ended"][0]["end"] = "gone";
  CHECK_THROWS_AS(json.get<WorkerState>(), DecodeError);
  json = State();
  json["services"] = Json::object();
  CHECK_THROWS_AS(json.get<WorkerState>(), DecodeError);
}

TEST_CASE("numbers out of range are refused rather than wrapped around") {
  Json json = WorkerCommand(ThrottleTask{Header(), {TaskId("j/0"), {1, 1}}, 400});
  json["permille"] = 0;
  CHECK_THROWS_AS(json.get<WorkerCommand>(), DecodeError);
  json["permille"] = 1001;
  CHECK_THROWS_AS(json.get<WorkerCommand>(), DecodeError);
  json["permille"] = 400;
  json["epoch"] = -1;
  CHECK_THROWS_AS(json.get<WorkerCommand>(), DecodeError);
  json["epoch"] = 1.5;
  CHECK_THROWS_AS(json.get<WorkerCommand>(), DecodeError);
}

}  // namespace
}  // namespace cactusshelf
