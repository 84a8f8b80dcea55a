#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "job_simulation.h"

// Schedules that lose or cut off owners together with most workers. Each ends with a calm time and
// checks both that no task runs twice and that every long-running task runs again in time.
namespace cactusshelf::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Milliprocessors of tasks. One worker holds all long-running tasks twice over.
constexpr std::int64_t kLongNeed = 300;
constexpr std::int64_t kShortNeed = 200;
constexpr int kMaxLongRunningTasks = 12;
// Milliprocessors of a task that leaves room for one long-running task on its worker.
constexpr std::int64_t kFillingNeed = 7500;
constexpr char kFillingTime[] = "duration=3000";  // In milliseconds.
// Workers that are never lost for good.
constexpr int kRemainingWorkers = 2;
constexpr int kFailureDomains = 3;
// Longer than all waits after a disturbance.
constexpr Duration kCalmTime = seconds(40);
// Time within which the faults of one disturbance begin.
constexpr Duration kMaxFaultDelay = milliseconds(500);
constexpr Duration kMaxWorkerPartition = seconds(15);
constexpr Duration kMaxStoreOutage = seconds(6);

// A simulation, with functions for what schedules consist of.
class LossPlay {
 public:
  // Starts long-running tasks, at first each on a worker of its own.
  LossPlay(std::uint64_t seed, int nodes, int workers);

  JobSimulation& simulation() { return *simulation_; }
  Random& random() { return simulation_->random(); }

  void SubmitShortTasks() { simulation_->Submit(SimpleJob(4, kShortNeed)); }

  // The faults of one disturbance, in any order. The next owner may be disturbed too.
  void Disturb();
  // Cuts off a random group, often with the owner.
  void PartitionRandomGroup();
  // A random worker restarts, or a random node ends or stands still.
  void DisturbOne();
  // Ends all faults and checks both rules.
  void Finish(std::uint64_t seed);

 private:
  // Runs for a random part of the time that the faults of a disturbance may take.
  void Pause() { simulation_->RunFor(random().Between(milliseconds(0), kMaxFaultDelay / 3)); }
  // The owner, or any node if there is none.
  int OwnerOrAny();
  std::set<int> DrawWorkers();
  void DisturbOwner();
  void DisturbWorkers();
  void DisturbOthers();
  // As many nodes as may be lost for good leave half of those that have voted.
  bool MayLoseNode() const { return lost_nodes_ + 1 <= (nodes_ - 1) / 2; }
  void LoseForGood(const std::set<int>& workers);
  void CutOffStore();

  int nodes_;
  int workers_;
  int lost_nodes_ = 0;
  std::set<int> lost_workers_;
  std::unique_ptr<JobSimulation> simulation_;
};

LossPlay::LossPlay(std::uint64_t seed, int nodes, int workers) : nodes_(nodes), workers_(workers) {
  SimulationOptions options;
  options.long_polls = seed % 4 == 0;
  simulation_ = std::make_unique<JobSimulation>(seed, nodes, workers, SimulationFaults{}, options);
  simulation_->RunFor(seconds(3));
  JobSpec filling = SimpleJob(workers, kFillingNeed);
  filling.payload = kFillingTime;
  simulation_->Submit(filling);
  simulation_->RunFor(seconds(1));
  const int tasks = std::min(workers, kMaxLongRunningTasks);
  simulation_->Submit(LongRunningJob(tasks, kLongNeed));
  simulation_->RunFor(seconds(8));
  REQUIRE(simulation_->running_tasks() == tasks);
}

int LossPlay::OwnerOrAny() {
  const int owner = simulation_->OwnerIndex();
  return owner >= 0 ? owner : static_cast<int>(random().Below(static_cast<std::uint64_t>(nodes_)));
}

// More than half of the workers, those of one failure domain, or all but one.
std::set<int> LossPlay::DrawWorkers() {
  const std::uint64_t kind = random().Below(4);
  const int domain = static_cast<int>(random().Below(kFailureDomains));
  const int spared = static_cast<int>(random().Below(static_cast<std::uint64_t>(workers_)));
  const double part = 0.55 + 0.4 * random().Real();
  std::set<int> drawn;
  for (int i = 0; i < workers_; ++i) {
    const bool in_domain = i % kFailureDomains == domain;
    const bool is_drawn = kind < 2 ? random().Chance(part) : kind == 2 ? in_domain : i != spared;
    if (is_drawn) drawn.insert(i);
  }
  return drawn;
}

void LossPlay::DisturbOwner() {
  const int owner = OwnerOrAny();
  switch (random().Below(4)) {
    case 0:
      if (MayLoseNode()) {
        ++lost_nodes_;
        simulation_->LoseNode(owner);
        return;
      }
      [[fallthrough]];
    case 1:
      simulation_->KillNode(owner);
      return;
    case 2:
      simulation_->FreezeNode(owner, random().Between(seconds(1), seconds(6)));
      return;
    default:
      for (int i = 0; i < nodes_; ++i) {
        if (i == owner || random().Chance(0.6)) simulation_->KillNode(i);
      }
  }
}

void LossPlay::LoseForGood(const std::set<int>& workers) {
  const Duration unlisted_after = random().Between(milliseconds(0), seconds(3));
  for (int i : workers) {
    const bool is_last = workers_ - static_cast<int>(lost_workers_.size()) <= kRemainingWorkers;
    if (is_last || !lost_workers_.insert(i).second) continue;
    simulation_->LoseWorker(i, unlisted_after);
  }
}

void LossPlay::DisturbWorkers() {
  const std::set<int> drawn = DrawWorkers();
  const std::uint64_t kind = random().Below(3);
  const Duration duration = random().Between(seconds(1), kMaxWorkerPartition);
  if (kind == 0) {
    LoseForGood(drawn);
    return;
  }
  for (int i : drawn) {
    if (lost_workers_.contains(i)) continue;
    if (kind == 1) {
      simulation_->PartitionWorker(i, duration);
    } else {
      simulation_->CrashWorker(i);
    }
  }
}

void LossPlay::CutOffStore() {
  const Duration duration = random().Between(seconds(1), kMaxStoreOutage);
  for (int i = 0; i < nodes_; ++i) simulation_->PartitionNodeFromStore(i, duration);
}

void LossPlay::DisturbOthers() {
  if (random().Chance(0.2)) CutOffStore();
  if (random().Chance(0.2)) PartitionRandomGroup();
}

void LossPlay::Disturb() {
  const bool workers_first = random().Chance(0.5);
  if (workers_first) DisturbWorkers();
  Pause();
  DisturbOwner();
  Pause();
  if (!workers_first) DisturbWorkers();
  if (random().Chance(0.25)) {
    simulation_->RunFor(random().Between(seconds(1), seconds(5)));
    DisturbOwner();
  }
  Pause();
  DisturbOthers();
}

void LossPlay::PartitionRandomGroup() {
  using StoreAccess = GroupPartition::StoreAccess;
  GroupPartition group;
  const double node_part = 0.2 + 0.5 * random().Real();
  const double worker_part = random().Real();
  for (int i = 0; i < nodes_; ++i) {
    if (random().Chance(node_part)) group.nodes.insert(i);
  }
  if (random().Chance(0.7)) group.nodes.insert(OwnerOrAny());
  for (int i = 0; i < workers_; ++i) {
    if (random().Chance(worker_part)) group.workers.insert(i);
  }
  const std::uint64_t kind = random().Below(4);
  if (kind == 0) group.store_access = StoreAccess::kGroup;
  if (kind == 1) group.store_access = StoreAccess::kAll;
  simulation_->PartitionGroup(group, random().Between(seconds(1), seconds(14)));
}

void LossPlay::DisturbOne() {
  const int node = static_cast<int>(random().Below(static_cast<std::uint64_t>(nodes_)));
  const int worker = static_cast<int>(random().Below(static_cast<std::uint64_t>(workers_)));
  if (random().Chance(0.4)) simulation_->CrashWorker(worker);
  if (random().Chance(0.2)) simulation_->KillNode(node);
  if (random().Chance(0.2)) simulation_->FreezeNode(node, random().Between(seconds(1), seconds(4)));
}

void LossPlay::Finish(std::uint64_t seed) {
  simulation_->StopFaults();
  simulation_->RunFor(kCalmTime);
  CheckScheduleEnd(*simulation_, seed);
}

LossPlay DrawPlay(std::uint64_t seed) {
  Random random(seed);
  const int nodes = 3 + static_cast<int>(random.Below(4));
  const int workers = 6 + static_cast<int>(random.Below(10));
  return {seed, nodes, workers};
}

}  // namespace

TEST_CASE("seeded schedules of owners lost with most workers leave tasks stopped") {
  // Guards against a pool that stands still for minutes, since a new owner awaits workers that no
  // longer exist, and against tasks that run twice because it awaits them no longer. Most workers
  // are lost, restart or are cut off together with the owner, or with most nodes.
  const std::uint64_t seeds = SeedCount(40);
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    LossPlay play = DrawPlay(seed);
    if (seed % 2 == 0) play.simulation().SetFaults(CallFaults());
    const std::uint64_t rounds = 1 + play.random().Below(3);
    for (std::uint64_t i = 0; i < rounds; ++i) {
      play.SubmitShortTasks();
      play.simulation().RunFor(play.random().Between(milliseconds(100), milliseconds(800)));
      play.Disturb();
      play.simulation().RunFor(play.random().Between(milliseconds(100), seconds(8)));
    }
    play.Finish(seed);
  }
}

TEST_CASE("seeded schedules of groups of hosts cut off with workers run tasks twice") {
  // Guards against tasks that run twice: an owner is cut off together with other hosts, which vote
  // for it, and with some of the workers, while hosts and workers restart and forget whom they
  // have accepted. Either side, or both, may reach the store.
  const std::uint64_t seeds = SeedCount(40);
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    LossPlay play = DrawPlay(seed);
    if (seed % 2 == 0) play.simulation().SetFaults(CallFaults());
    for (int i = 0; i < 10; ++i) {
      play.PartitionRandomGroup();
      if (i % 3 == 0) play.SubmitShortTasks();
      play.simulation().RunFor(play.random().Between(milliseconds(500), seconds(6)));
      play.DisturbOne();
    }
    play.Finish(seed);
  }
}

}  // namespace cactusshelf::jobs
