#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <set>
#include <string>

#include "cactusshelf/testing/disabled_protection.h"
#include "cell_harness.h"

namespace cactusshelf {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Delivery = CellHarness::Delivery;

constexpr int kWorkers = 4;
constexpr int kOwners = 2;
constexpr Duration kAuthorityLease = seconds(2);
constexpr Duration kTakeoverDelay = milliseconds(2100);

// One random schedule of faults: ownership of the cell alternates between two schedulers while
// messages are lost, delayed and reordered, owners are paused and workers restart. Collects the
// violations of the invariants.
class FaultSchedule {
 public:
  FaultSchedule(std::uint64_t seed, const PlacementProtections& protections);

  // Injects faults, then clears them and runs until all admitted jobs have finished.
  void Run();

  const std::set<std::string>& violations() const { return violations_; }
  bool has_finished() const;

 private:
  struct OwnerModel {
    bool is_owner = false;
    bool is_paused = false;
    bool is_log_readable = true;
    Time learns_removal_at = Time::max();  // When the owner learns of its removal.
    std::set<JobId> cancelled;
    std::map<WorkerId, std::pair<std::uint64_t, WorkerTime>> latest_message;  // From the worker.
    std::map<TaskId, double> reported_progress;  // Of checkpoints, in this epoch.
  };

  void Step();
  void RenewAuthority();
  void ChangeOwner();
  void InjectFaults();
  void AddOrCancelJob();
  void ClearFaults();
  void Admit(const JobSpec& job);
  void PostAdmission(const JobSpec& job);
  void Cancel(const JobId& job);
  void CheckWorkers();
  void CheckCommand(int owner, const WorkerCommand& command);
  void RecordReport(int owner, const WorkerId& worker, const WorkerState& state);
  Delivery ChooseDelivery(int owner, const WorkerId& worker);

  Random random_;
  CellHarness cell_;
  std::array<OwnerModel, kOwners> owners_;
  std::map<std::pair<int, WorkerId>, double> loss_;
  Epoch epoch_ = 1;
  Time takeover_at_ = Time::max();
  int successor_ = 0;
  Time old_authority_end_;
  int next_job_ = 0;
  std::vector<JobSpec> jobs_;
  std::set<JobId> cancelled_;
  std::set<TaskAttempt> executed_;
  std::size_t starts_seen_ = 0;
  std::set<std::string> violations_;
  bool are_faults_cleared_ = false;
};

std::vector<WorkerSpec> CellWorkers() {
  std::vector<WorkerSpec> workers;
  workers.reserve(kWorkers);
  for (int i = 0; i < kWorkers; ++i) {
    workers.push_back(Worker(i, Size(4, 16, 1)));
  }
  return workers;
}

FaultSchedule::FaultSchedule(std::uint64_t seed, const PlacementProtections& protections)
    : random_(seed), cell_(CellWorkers(), 12) {
  CellOptions options;
  options.protections = protections;
  options.starvation_bound = seconds(40);
  for (int i = 0; i < kOwners; ++i) {
    cell_.AddOwner(options, random_.Next());
  }
  for (int i = 0; i < kWorkers; ++i) {
    cell_.worker(i).set_clock_rate(0.97 + 0.06 * random_.Real());
  }
  cell_.delivery_rule = [this](int owner, const WorkerId& worker, const WorkerCommand&) {
    return ChooseDelivery(owner, worker);
  };
  cell_.delay = [this] {
    return random_.Chance(0.2) ? random_.Between(milliseconds(1), milliseconds(1500))
                               : Duration(milliseconds(2));
  };
  cell_.on_command = [this](int owner, const WorkerCommand& command) {
    CheckCommand(owner, command);
  };
  cell_.on_report = [this](int owner, const WorkerId& worker, const WorkerState& state) {
    RecordReport(owner, worker, state);
  };
  cell_.on_result = [this](int owner, const WorkerId& worker, const CommandResult& result) {
    auto& latest_message = owners_[static_cast<std::size_t>(owner)].latest_message[worker];
    latest_message = std::max(latest_message, {result.incarnation, result.worker_time});
  };
  cell_.on_step = [this] { CheckWorkers(); };
  for (int i = 0; i < 3; ++i) {
    AddOrCancelJob();
  }
  owners_[0].is_owner = true;
  RenewAuthority();
  cell_.owner(0).TakeOwnership(cell_.now(), epoch_, cell_.now());
}

void FaultSchedule::Run() {
  for (int i = 0; i < 240; ++i) {
    Step();
  }
  ClearFaults();
  for (int i = 0; i < 600 && !has_finished(); ++i) {
    Step();
  }
}

bool FaultSchedule::has_finished() const {
  return std::all_of(jobs_.begin(), jobs_.end(), [&](const JobSpec& job) {
    return cancelled_.contains(job.id) ||
           std::find(cell_.finished.begin(), cell_.finished.end(), job.id) != cell_.finished.end();
  });
}

void FaultSchedule::Step() {
  RenewAuthority();
  if (!are_faults_cleared_) {
    InjectFaults();
    if (random_.Chance(0.25)) {
      AddOrCancelJob();
    }
  }
  ChangeOwner();
  cell_.RunFor(milliseconds(500));
}

void FaultSchedule::RenewAuthority() {
  for (int i = 0; i < kOwners; ++i) {
    OwnerModel& owner = owners_[static_cast<std::size_t>(i)];
    if (owner.is_owner && !owner.is_paused && owner.is_log_readable) {
      cell_.owner(i).SetAuthority(cell_.now(), cell_.now() + kAuthorityLease);
    }
    if (!owner.is_paused && cell_.now() >= owner.learns_removal_at) {
      owner.learns_removal_at = Time::max();
      cell_.owner(i).LoseOwnership(cell_.now());
    }
  }
}

// Removes the owner at random times. The successor takes over after the authority lease and a
// margin. The old owner learns of its removal later.
void FaultSchedule::ChangeOwner() {
  const Time now = cell_.now();
  if (takeover_at_ == Time::max() && !are_faults_cleared_ && random_.Chance(0.02)) {
    const int old_owner = owners_[0].is_owner ? 0 : 1;
    successor_ = 1 - old_owner;
    owners_[static_cast<std::size_t>(old_owner)].is_owner = false;
    owners_[static_cast<std::size_t>(old_owner)].learns_removal_at =
        now + random_.Between(Duration(0), seconds(25));
    takeover_at_ = now + kTakeoverDelay;
    old_authority_end_ = now + kTakeoverDelay;
  }
  OwnerModel& successor = owners_[static_cast<std::size_t>(successor_)];
  if (now >= takeover_at_ && !successor.is_paused) {
    takeover_at_ = Time::max();
    successor.is_owner = true;
    successor.is_log_readable = true;
    successor.learns_removal_at = Time::max();
    successor.reported_progress.clear();
    cell_.owner(successor_).SetAuthority(now, now + kAuthorityLease);
    cell_.owner(successor_).TakeOwnership(now, ++epoch_, old_authority_end_);
  }
}

void FaultSchedule::InjectFaults() {
  for (int i = 0; i < kOwners; ++i) {
    OwnerModel& owner = owners_[static_cast<std::size_t>(i)];
    if (random_.Chance(owner.is_paused ? 0.15 : 0.03)) {
      owner.is_paused = !owner.is_paused;
      owner.is_paused ? cell_.Pause(i) : cell_.Resume(i);
    }
    if (random_.Chance(owner.is_log_readable ? 0.02 : 0.2)) {
      owner.is_log_readable = !owner.is_log_readable;
    }
    for (int j = 0; j < kWorkers; ++j) {
      if (random_.Chance(0.04)) {
        const std::array<double, 4> rates{0, 0, 0.3, 1};
        loss_[{i, cell_.worker(j).spec().id}] = rates[random_.Below(rates.size())];
      }
    }
  }
  if (random_.Chance(0.01)) {
    cell_.worker(static_cast<int>(random_.Below(kWorkers))).Restart(cell_.now());
  }
}

void FaultSchedule::AddOrCancelJob() {
  if (!jobs_.empty() && random_.Chance(0.2)) {
    const JobSpec job = jobs_[random_.Below(jobs_.size())];
    Cancel(job.id);
    // The log may deliver the record of the admission again.
    PostAdmission(job);
    return;
  }
  JobSpec job =
      MakeJob("job" + std::to_string(next_job_++), 1 + static_cast<std::uint32_t>(random_.Below(3)),
              Size(1 + static_cast<int>(random_.Below(3)), 2));
  job.urgent = random_.Chance(0.3);
  job.job_class = JobClass("class" + std::to_string(random_.Below(4)));
  Admit(job);
}

void FaultSchedule::Admit(const JobSpec& job) {
  jobs_.push_back(job);
  PostAdmission(job);
}

void FaultSchedule::PostAdmission(const JobSpec& job) {
  for (int i = 0; i < kOwners; ++i) {
    cell_.Post(i, [this, i, job] { cell_.owner(i).AdmitJob(cell_.now(), job); });
  }
}

void FaultSchedule::Cancel(const JobId& job) {
  cancelled_.insert(job);
  for (int i = 0; i < kOwners; ++i) {
    cell_.Post(i, [this, i, job] {
      owners_[static_cast<std::size_t>(i)].cancelled.insert(job);
      cell_.owner(i).CancelJob(cell_.now(), job);
    });
  }
}

void FaultSchedule::ClearFaults() {
  are_faults_cleared_ = true;
  loss_.clear();
  for (int i = 0; i < kOwners; ++i) {
    owners_[static_cast<std::size_t>(i)].is_paused = false;
    owners_[static_cast<std::size_t>(i)].is_log_readable = true;
    cell_.Resume(i);
  }
}

Delivery FaultSchedule::ChooseDelivery(int owner, const WorkerId& worker) {
  const auto it = loss_.find({owner, worker});
  if (it == loss_.end() || !random_.Chance(it->second)) {
    return Delivery::kBoth;
  }
  const std::array<Delivery, 3> kinds{Delivery::kCommandOnly, Delivery::kLateCommandOnly,
                                      Delivery::kNone};
  return it->second < 1 ? kinds[random_.Below(kinds.size())] : Delivery::kNone;
}

void FaultSchedule::CheckWorkers() {
  std::map<TaskId, int> run_counts;
  for (int i = 0; i < kWorkers; ++i) {
    if (!Fits(cell_.worker(i).Committed(), cell_.worker(i).spec().capacity)) {
      violations_.insert("capacity");
    }
    for (const auto& [id, task] : cell_.worker(i).running()) {
      if (++run_counts[id.task] > 1) {
        violations_.insert("two places");
      }
    }
  }
  for (; starts_seen_ < cell_.starts.size(); ++starts_seen_) {
    if (!executed_.insert(cell_.starts[starts_seen_].task).second) {
      violations_.insert("attempt executed twice");
    }
  }
}

void FaultSchedule::CheckCommand(int i, const WorkerCommand& command) {
  const auto* const start = std::get_if<StartTask>(&command);
  if (start == nullptr) {
    return;
  }
  const OwnerModel& owner = owners_[static_cast<std::size_t>(i)];
  const std::string& text = start->task.task.str();
  if (owner.cancelled.contains(JobId(text.substr(0, text.rfind('/'))))) {
    violations_.insert("start after cancellation");
  }
  const auto it = owner.reported_progress.find(start->task.task);
  if (it != owner.reported_progress.end() && ProgressOf(start->checkpoint) < it->second) {
    violations_.insert("checkpoint dropped");
  }
}

void FaultSchedule::RecordReport(int i, const WorkerId& worker, const WorkerState& state) {
  OwnerModel& owner = owners_[static_cast<std::size_t>(i)];
  auto& latest_message = owner.latest_message[worker];
  const std::pair produced{state.incarnation, state.worker_time};
  if (produced < latest_message) {
    return;  // The owner ignores a report that is older than its latest message.
  }
  latest_message = produced;
  // Only running tasks, since an owner may learn of an end after it has started the next attempt.
  for (const RunningTask& task : state.running) {
    if (state.epoch_held == epoch_ && task.task.attempt.epoch == epoch_ && owner.is_owner) {
      double& progress = owner.reported_progress[task.task.task];
      progress = std::max(progress, ProgressOf(task.checkpoint));
    }
  }
}

PlacementProtections ProtectionsUnderTest() {
  PlacementProtections protections;
  protections.count_unconfirmed_starts = !IsProtectionDisabled("count-unconfirmed-starts");
  protections.wait_for_old_leases = !IsProtectionDisabled("wait-for-old-leases");
  protections.keep_checkpoints = !IsProtectionDisabled("keep-checkpoints");
  return protections;
}

// 400 schedules. The seed reproduces a failing one.
TEST_CASE("no fault schedule breaks an invariant, and all work ends once faults are over") {
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    FaultSchedule schedule(seed, ProtectionsUnderTest());
    schedule.Run();
    INFO("seed " << seed);
    for (const std::string& violation : schedule.violations()) {
      UNSCOPED_INFO(violation);
    }
    CHECK(schedule.violations().empty());
    CHECK(schedule.has_finished());
  }
}

// Returns true if one of the schedules has the expected violation.
bool FindsViolation(const std::string& expected, const PlacementProtections& protections) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    FaultSchedule schedule(seed, protections);
    schedule.Run();
    if (schedule.violations().contains(expected)) {
      return true;
    }
  }
  return false;
}

TEST_CASE("the fault schedules do not miss a disabled protection") {
  PlacementProtections protections;
  SECTION("starts without an answer are not counted") {
    protections.count_unconfirmed_starts = false;
    CHECK(FindsViolation("capacity", protections));
    CHECK(FindsViolation("two places", protections));
  }
  SECTION("a new owner does not wait for old leases") {
    protections.wait_for_old_leases = false;
    CHECK(FindsViolation("two places", protections));
  }
  SECTION("a task moves before its stop is confirmed") {
    protections.confirm_stop_before_move = false;
    CHECK(FindsViolation("two places", protections));
  }
  SECTION("an owner acts without authority") {
    protections.require_authority = false;
    CHECK(FindsViolation("two places", protections));
  }
  SECTION("stale reports are applied") {
    protections.drop_stale_states = false;
    CHECK(FindsViolation("two places", protections));
  }
  SECTION("checkpoints are dropped") {
    protections.keep_checkpoints = false;
    CHECK(FindsViolation("checkpoint dropped", protections));
  }
  SECTION("cancellations are not recorded") {
    protections.remember_cancellations = false;
    CHECK(FindsViolation("start after cancellation", protections));
  }
}

}  // namespace
}  // namespace cactusshelf
