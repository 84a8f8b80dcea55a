#include <catch2/catch.hpp>

#include "host_list.h"
#include "log_store.h"
#include "worker_model.h"

namespace cactusshelf {
namespace {

using std::chrono::seconds;

constexpr Time kStart{seconds(100)};

constexpr std::uint64_t kIncarnation = 7;
constexpr WorkerTime kWorkerStart{100000};

WorkerTime After(seconds time) {
  return {kWorkerStart.ms + std::chrono::milliseconds(time).count()};
}

CommandHeader Header(const std::string& command, Epoch epoch) {
  CommandHeader header;
  header.id = CommandId(command);
  header.epoch = epoch;
  header.incarnation = kIncarnation;
  return header;
}

TaskAttempt AttemptOf(std::uint32_t number) { return {TaskId("j/0"), {1, number}}; }

StartTask Start(const std::string& command, Epoch epoch, std::uint32_t number) {
  StartTask start;
  start.header = Header(command, epoch);
  start.task = AttemptOf(number);
  start.job_class = JobClass("c");
  start.size = {600, 10, 0};
  start.lease_until = After(seconds(15));
  return start;
}

WorkerModel MakeWorker() {
  WorkerModel worker({1000, 100, 0}, kIncarnation);
  worker.Execute(InstallEpoch{Header("install", 1)}, kWorkerStart);
  return worker;
}

TEST_CASE("a worker refuses commands of another epoch or for an earlier incarnation") {
  WorkerModel worker = MakeWorker();
  worker.Execute(InstallEpoch{Header("next", 2)}, kWorkerStart);
  CHECK(worker.Execute(Start("c", 1, 1), kWorkerStart).status == CommandStatus::kWrongEpoch);
  CHECK(worker.Execute(Start("d", 3, 1), kWorkerStart).status == CommandStatus::kWrongEpoch);
  StartTask other = Start("e", 2, 1);
  other.header.incarnation = kIncarnation - 1;
  CHECK(worker.Execute(other, kWorkerStart).status == CommandStatus::kWrongIncarnation);
  CHECK(worker.history().empty());
}

TEST_CASE("a repeated command or attempt does not start a task twice") {
  WorkerModel worker = MakeWorker();
  const CommandResult first = worker.Execute(Start("c", 1, 1), kWorkerStart);
  CHECK(first.status == CommandStatus::kDone);
  CHECK(worker.Execute(Start("c", 1, 1), After(seconds(1))) == first);
  CHECK(worker.Execute(Start("d", 1, 1), kWorkerStart).status == CommandStatus::kAttemptUsed);
  CHECK(worker.Execute(Start("e", 1, 2), kWorkerStart).status == CommandStatus::kAttemptUsed);
  CHECK(worker.history().size() == 1);
}

TEST_CASE("a start that arrives after the stop of the same attempt is refused") {
  WorkerModel worker = MakeWorker();
  worker.Execute(StopTask{Header("s", 1), AttemptOf(1)}, kWorkerStart);
  CHECK(worker.Execute(Start("c", 1, 1), kWorkerStart).status == CommandStatus::kAttemptUsed);
}

TEST_CASE(
    "a task ends when its lease expires and is reported until the owner lets the worker forget "
    "it") {
  WorkerModel worker = MakeWorker();
  worker.Execute(Start("c", 1, 1), kWorkerStart);
  CHECK(worker.State(After(seconds(14))).running.size() == 1);
  const WorkerState state = worker.State(After(seconds(15)));
  CHECK(state.running.empty());
  REQUIRE(state.ended.size() == 1);
  CHECK(state.ended[0].end == TaskEnd::kLeaseExpired);
  worker.Execute(RenewLeases{Header("r", 1), {}, {}, {AttemptOf(1)}}, After(seconds(15)));
  CHECK(worker.State(After(seconds(15))).ended.empty());
}

TEST_CASE("a start whose lease has already expired is refused") {
  WorkerModel worker = MakeWorker();
  CHECK(worker.Execute(Start("c", 1, 1), After(seconds(15))).status == CommandStatus::kExpired);
}

TEST_CASE(
    "a task that is started from a checkpoint does not repeat the work before the checkpoint") {
  WorkerModel worker = MakeWorker();
  worker.run_times["c"] = seconds(10);
  worker.Execute(Start("c", 1, 1), kWorkerStart);
  worker.Execute(CheckpointTask{Header("k", 1), AttemptOf(1)}, After(seconds(8)));
  worker.Execute(StopTask{Header("s", 1), AttemptOf(1)}, After(seconds(8)));
  StartTask again = Start("e", 1, 2);
  again.checkpoint = worker.State(After(seconds(8))).ended.at(0).checkpoint;
  worker.Execute(again, After(seconds(10)));
  CHECK(worker.State(After(seconds(11))).running.size() == 1);
  CHECK(worker.State(After(seconds(12))).ended.back().end == TaskEnd::kFinished);
}

TEST_CASE("usage is not reported before the usage lag has passed") {
  WorkerModel worker = MakeWorker();
  worker.Execute(Start("c", 1, 1), kWorkerStart);
  worker.MeasureUsage(After(seconds(1)));
  CHECK(worker.State(After(seconds(10))).running.at(0).measured_at.ms == 0);
  CHECK(worker.State(After(seconds(11))).running.at(0).usage.milliprocessors == 360);
}

TEST_CASE("dropping records by count or age does not change the offsets of the others") {
  LogStore log;
  const WallTime start{};
  for (int i = 0; i < 5; ++i) {
    log.Append("r", start + seconds(i));
  }
  log.ApplyRetention(4, Duration::zero(), start);
  CHECK(log.first() == 1);
  log.ApplyRetention(4, seconds(2), start + seconds(5));
  CHECK(log.first() == 3);
  CHECK(log.Read(0, 10).front().offset == 3);
  CHECK(log.end() == 5);
}

TEST_CASE("a change of the host list is not visible before the lag has passed") {
  HostList hosts;
  hosts.Set("h", HostState::kLive, kStart);
  hosts.Remove("h", kStart + seconds(5));
  CHECK(hosts.Read(seconds(1), kStart).empty());
  CHECK(hosts.Read(seconds(1), kStart + seconds(5)).size() == 1);
  CHECK(hosts.Read(seconds(1), kStart + seconds(6)).empty());
}

}  // namespace
}  // namespace cactusshelf
