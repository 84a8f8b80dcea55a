#include <catch2/catch.hpp>

#include "host_list.h"
#include "log_store.h"
#include "worker_model.h"

namespace cactusshelf {
namespace {

using std::chrono::seconds;

constexpr Time kStart{seconds(100)};

WorkerCommand Start(const std::string& command, std::uint64_t epoch, std::uint64_t attempt) {
  StartTask start;
  start.attempt = {TaskId("j/0"), attempt};
  start.resources = {600, 10, 0};
  start.run_time = seconds(10);
  return {CommandId(command), epoch, start};
}

WorkerModel MakeWorker() {
  WorkerModel worker({1000, 100, 0});
  worker.Execute({CommandId("install"), 1, InstallEpoch{}}, kStart);
  return worker;
}

TEST_CASE("a worker does not accept commands of an earlier owner") {
  WorkerModel worker = MakeWorker();
  worker.Execute({CommandId("next"), 2, InstallEpoch{}}, kStart);
  CHECK(worker.Execute(Start("c", 1, 1), kStart).refusal == RefusalReason::kStaleEpoch);
  CHECK(worker.Execute(Start("d", 3, 1), kStart).refusal == RefusalReason::kEpochNotInstalled);
  CHECK(worker.tasks().empty());
}

TEST_CASE("a repeated command or attempt does not start a task twice") {
  WorkerModel worker = MakeWorker();
  const CommandResult first = worker.Execute(Start("c", 1, 1), kStart);
  CHECK(first.refusal == RefusalReason::kNone);
  CHECK(worker.Execute(Start("c", 1, 1), kStart + seconds(1)) == first);
  CHECK(worker.Execute(Start("d", 1, 1), kStart).refusal == RefusalReason::kAttemptNotNew);
  CHECK(worker.history().size() == 1);
}

TEST_CASE("a task ends when its lease is not renewed") {
  WorkerModel worker = MakeWorker();
  worker.Execute(Start("c", 1, 1), kStart);
  worker.Execute({CommandId("r"), 1, ThrottleTask{{TaskId("j/0"), 1}, 100}}, kStart);
  worker.Advance(kStart + seconds(14));
  CHECK(worker.tasks().size() == 1);
  worker.Advance(kStart + seconds(15));
  REQUIRE(worker.tasks().empty());
  CHECK(worker.history().back().kind == TaskEventKind::kLeaseExpired);
}

TEST_CASE("a task that is started from a checkpoint does not repeat its work") {
  WorkerModel worker = MakeWorker();
  worker.Execute(Start("c", 1, 1), kStart);
  const CommandResult checkpoint =
      worker.Execute({CommandId("k"), 1, CheckpointTask{{TaskId("j/0"), 1}}}, kStart + seconds(8));
  worker.Execute({CommandId("s"), 1, StopTask{{TaskId("j/0"), 1}}}, kStart + seconds(8));
  WorkerCommand again = Start("e", 1, 2);
  std::get<StartTask>(again.body).checkpoint = checkpoint.checkpoint;
  worker.Execute(again, kStart + seconds(20));
  worker.Advance(kStart + seconds(21));
  CHECK(worker.tasks().size() == 1);
  worker.Advance(kStart + seconds(22));
  CHECK(worker.history().back().kind == TaskEventKind::kFinished);
}

TEST_CASE("the log drops records by count and age and keeps offsets") {
  LogStore log;
  const WallTime start{};
  for (int i = 0; i < 5; ++i) {
    log.Append("r", start + seconds(i));
  }
  log.Retain(4, Duration::zero(), start);
  CHECK(log.first() == 1);
  log.Retain(4, seconds(2), start + seconds(5));
  CHECK(log.first() == 3);
  CHECK(log.Read(0, 10).front().offset == 3);
  CHECK(log.end() == 5);
}

TEST_CASE("the host list shows changes only after its lag") {
  HostList hosts;
  hosts.Set("h", HostState::kLive, kStart);
  hosts.Remove("h", kStart + seconds(5));
  CHECK(hosts.Read(seconds(1), kStart).empty());
  CHECK(hosts.Read(seconds(1), kStart + seconds(5)).size() == 1);
  CHECK(hosts.Read(seconds(1), kStart + seconds(6)).empty());
}

}  // namespace
}  // namespace cactusshelf
