#include "job_simulation.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>

#include "cactusshelf/jobs/peer_messages.h"
#include "job_cell.h"
#include "order_relay.h"

namespace cactusshelf::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kHost[] = "queue.example";
// Payload of a task that runs for the milliseconds that follow.
constexpr char kDurationPayload[] = "duration=";
constexpr char kPrefix[] = "/q/";
constexpr int kAttempts = 3;
constexpr int kMaxTries = 5;
constexpr std::int64_t kWorkerMemory = std::int64_t{32} << 30;
// Time after a partition from the store within which a node may not have read all new records.
constexpr Duration kStoreCatchUpTime = seconds(3);
// Maximum delay of orders that were sent just before the end of a run was processed.
constexpr Duration kMaxEndNoticeDelay = seconds(1);
// Maximum delay of starts that were ordered before the owner knew of a cancellation.
constexpr Duration kMaxCancelDelay = seconds(3);

// Interval between two samples of the running tasks.
constexpr Duration kRestartCheckPeriod = milliseconds(50);
// Duration of each run on a worker that fails all its runs.
constexpr Duration kFailingRunTime = milliseconds(100);

QueueTable MakeQueues() {
  QueueRoute route;
  route.host = kHost;
  route.path_prefix = kPrefix;
  route.policy = {"q", "pool", 0, kAttempts, 2.0, milliseconds(500)};
  return {1, {route}};
}

// Incarnation that alone carries the order out; 0 for any.
std::int64_t BoundIncarnation(const StartOrder& order) { return order.incarnation; }
std::int64_t BoundIncarnation(const HoldOrder& order) { return order.incarnation; }
std::int64_t BoundIncarnation(const StopOrder& /*order*/) { return 0; }
std::int64_t BoundIncarnation(const PaceOrder& /*order*/) { return 0; }

bool IsBound(const StartOrder& /*order*/) { return true; }
bool IsBound(const HoldOrder& order) { return order.lease_end || order.acknowledged_end > 0; }
bool IsBound(const StopOrder& /*order*/) { return false; }
bool IsBound(const PaceOrder& /*order*/) { return false; }

// The hold that proves a connection for the order, or that replaces it.
template <typename Order>
HoldOrder HoldWithoutLease(const Order& order) {
  HoldOrder hold;
  hold.call = order.call;
  hold.worker = order.worker;
  hold.token = order.token;
  return hold;
}

}  // namespace

void CheckNoViolations(const JobSimulation& simulation) {
  for (const std::string& it : simulation.violations()) FAIL_CHECK(it);
}

std::uint64_t SeedCount(std::uint64_t n) {
  const char* text = std::getenv("CACTUSSHELF_SEEDS");
  return text == nullptr ? n : std::strtoull(text, nullptr, 10);
}

SimulationFaults CallFaults() {
  SimulationFaults faults;
  faults.lost_store_answer = 0.02;
  faults.late_append = 0.01;
  faults.lost_worker_answer = 0.02;
  faults.late_order = 0.02;
  faults.failed_run = 0.05;
  return faults;
}

void CheckScheduleEnd(const JobSimulation& simulation, std::uint64_t seed) {
  for (const TaskRef& it : simulation.AbsentLongRunningTasks())
    FAIL_CHECK("seed " << seed << ": " << ToString(it) << " does not run");
  for (const std::string& it : simulation.violations()) FAIL_CHECK("seed " << seed << ": " << it);
}

Now NowAt(Time time) {
  return {time, WallTime(std::chrono::duration_cast<milliseconds>(time.time_since_epoch()))};
}

JobSpec SimpleJob(int count, std::int64_t milliprocessors) {
  StepSpec step;
  step.count = count;
  step.need.milliprocessors = milliprocessors;
  step.estimate = milliseconds(800);
  JobSpec spec;
  spec.payload = "p";
  spec.steps = {step};
  return spec;
}

JobSpec LongRunningJob(int count, std::int64_t milliprocessors) {
  JobSpec spec = SimpleJob(count, milliprocessors);
  spec.steps.front().long_running = true;
  return spec;
}

void StartLongRunningTasks(JobSimulation& simulation, int count, std::int64_t milliprocessors) {
  simulation.RunFor(seconds(3));
  simulation.Submit(LongRunningJob(count, milliprocessors));
  simulation.RunFor(seconds(12));
  REQUIRE(simulation.running_tasks() == count);
}

void AwaitOwner(JobSimulation& simulation) {
  for (int n = 0; n < 600 && simulation.OwnerIndex() < 0; ++n) simulation.RunFor(milliseconds(10));
  REQUIRE(simulation.OwnerIndex() >= 0);
}

void DrainUntilIdle(JobSimulation& simulation, int worker) {
  simulation.DrainWorker(worker);
  for (int n = 0; n < 300 && !simulation.worker(worker).running().empty(); ++n)
    simulation.RunFor(milliseconds(10));
  REQUIRE(simulation.worker(worker).running().empty());
}

Duration TimeUntilRunning(JobSimulation& simulation, int count) {
  const Time begin = simulation.now();
  while (simulation.running_tasks() < count && simulation.now() < begin + seconds(20))
    simulation.RunFor(milliseconds(10));
  return simulation.now() - begin;
}

std::unique_ptr<JobSimulation> FilledSimulation() {
  auto simulation = std::make_unique<JobSimulation>(21, 2, 2, SimulationFaults{});
  simulation->RunFor(seconds(3));
  for (int i = 0; i < 16; ++i) simulation->Submit(LongRunningJob(1, 1000));
  simulation->RunFor(seconds(5));
  return simulation;
}

JobSimulation::JobSimulation(std::uint64_t seed, int nodes, int workers,
                             const SimulationFaults& faults, const SimulationOptions& options)
    : random_(seed), faults_(faults), options_(options) {
  store_.SetConfiguration(MakeQueues());
  for (int i = 0; i < workers; ++i) {
    WorkerEntry entry;
    entry.id = "w" + std::to_string(i);
    entry.address = entry.id;
    entry.pool = "pool";
    entry.capacity = {options_.worker_milliprocessors, kWorkerMemory, 0};
    entry.incarnation = 1;
    const double rate = 0.98 + 0.04 * random_.Real();
    workers_.push_back(std::make_unique<FakeWorker>(
        entry, rate,
        [this](const StartOrder& order) {
          const auto job = jobs_.find(order.task.job);
          const bool long_running =
              job != jobs_.end() &&
              job->second.spec.steps[static_cast<std::size_t>(order.task.task.step)].long_running;
          FakeWorker::RunPlan plan;
          plan.duration =
              long_running ? seconds(1'000'000) : random_.Between(milliseconds(200), seconds(2));
          if (random_.Chance(faults_.failed_run)) {
            plan.end = RunEnd::kFailed;
            if (long_running) plan.duration = random_.Between(milliseconds(200), seconds(10));
          }
          if (order.payload.starts_with(kDurationPayload)) {
            const std::string ms = order.payload.substr(std::string_view(kDurationPayload).size());
            plan.duration = milliseconds(std::stoll(ms));
          }
          if (failing_workers_.contains(order.worker.id)) plan = {kFailingRunTime, RunEnd::kFailed};
          return plan;
        },
        [this](const FakeWorker& worker, const StartOrder& order) { CheckStart(worker, order); }));
    store_.ListWorker(entry);
    workers_by_id_[entry.id] = workers_.back().get();
  }
  nodes_.resize(static_cast<std::size_t>(nodes));
  for (int i = 0; i < nodes; ++i) {
    nodes_[static_cast<std::size_t>(i)].host = "h" + std::to_string(i);
    StartNode(i);
  }
  ScheduleFaults();
  ScheduleRestartCheck();
}

JobSimulation::~JobSimulation() = default;

void JobSimulation::Schedule(Time at, std::function<void()> action) {
  events_.push({at, next_order_++, std::move(action)});
}

Duration JobSimulation::Delay() { return random_.Between(milliseconds(1), milliseconds(12)); }

Now JobSimulation::Clock() const { return NowAt(now_); }

void JobSimulation::RecordViolation(const std::string& text) {
  const auto ms = ToMilliseconds(now_.time_since_epoch());
  violations_.push_back(std::to_string(ms) + " ms: " + text);
}

FakeWorker* JobSimulation::FindWorker(const std::string& id) {
  const auto it = workers_by_id_.find(id);
  return it == workers_by_id_.end() ? nullptr : it->second;
}

void JobSimulation::StartNode(int i) {
  Node& node = nodes_[static_cast<std::size_t>(i)];
  ++node.incarnation;
  JobNodeOptions options = options_.node;
  options.host = node.host;
  if (options_.relays) options.peer_address = node.host;
  options.member = node.host + "/" + std::to_string(node.incarnation);
  node.node = std::make_unique<JobNode>(options, random_.Next());
  node.held_events.clear();
  node.frozen_until = {};
  node.busy_until = {};
  restart_check_.NoteDisturbance(now_);
  node.node->Start(Clock());
  PerformEffects(i);
  ArmTimer(i);
}

void JobSimulation::LoseNode(int i) {
  Node& node = nodes_[static_cast<std::size_t>(i)];
  node.node.reset();
  node.inbox.clear();
  node.timer_set = false;
  ++node.incarnation;
  restart_check_.NoteDisturbance(now_);
}

void JobSimulation::KillNode(int i) {
  const Node& node = nodes_[static_cast<std::size_t>(i)];
  if (node.node != nullptr) RestartNode(i, random_.Between(milliseconds(50), seconds(2)));
}

void JobSimulation::RestartNode(int i, Duration pause) {
  LoseNode(i);
  const int incarnation = nodes_[static_cast<std::size_t>(i)].incarnation;
  Schedule(now_ + pause, [this, i, incarnation] {
    if (nodes_[static_cast<std::size_t>(i)].incarnation == incarnation) StartNode(i);
  });
}

void JobSimulation::KillAllNodes() {
  for (int i = 0; i < static_cast<int>(nodes_.size()); ++i) KillNode(i);
}

void JobSimulation::Deliver(int i, int incarnation, JobEvent event) {
  Node& node = nodes_[static_cast<std::size_t>(i)];
  if (node.node == nullptr || node.incarnation != incarnation) return;
  if (now_ < node.frozen_until) {
    Schedule(node.frozen_until, [this, i, incarnation, event] { Deliver(i, incarnation, event); });
    return;
  }
  if (now_ >= node.busy_until && node.inbox.empty()) {
    Handle(i, std::move(event));
    return;
  }
  node.inbox.push_back(std::move(event));
  if (node.inbox.size() == 1) ScheduleInbox(i);
}

void JobSimulation::ScheduleInbox(int i) {
  const Node& node = nodes_[static_cast<std::size_t>(i)];
  Schedule(std::max(node.busy_until, node.frozen_until), [this, i, incarnation = node.incarnation] {
    Node& idle = nodes_[static_cast<std::size_t>(i)];
    if (idle.incarnation != incarnation || idle.inbox.empty()) return;
    if (now_ < std::max(idle.busy_until, idle.frozen_until)) {
      ScheduleInbox(i);
      return;
    }
    JobEvent event = std::move(idle.inbox.front());
    idle.inbox.pop_front();
    Handle(i, std::move(event));
    if (!idle.inbox.empty()) ScheduleInbox(i);
  });
}

void JobSimulation::Handle(int i, JobEvent event) {
  Node& node = nodes_[static_cast<std::size_t>(i)];
  if (std::holds_alternative<job_event::Timer>(event)) node.timer_set = false;
  const auto& costs = options_.processor_costs;
  const Duration busy = costs ? CostOf(event, *costs) : Duration::zero();
  node.node->Handle(Clock(), std::move(event));
  if (costs) {
    PerformEffectsSlowly(i, busy);
  } else {
    PerformEffects(i);
  }
  ArmTimer(i);
}

void JobSimulation::PerformEffectsSlowly(int i, Duration busy) {
  Node& node = nodes_[static_cast<std::size_t>(i)];
  for (JobEffect& effect : node.node->TakeEffects()) {
    busy += CostOf(effect, *options_.processor_costs);
    Schedule(now_ + busy, [this, i, incarnation = node.incarnation, effect = std::move(effect)] {
      if (nodes_[static_cast<std::size_t>(i)].incarnation != incarnation) return;
      std::visit([&](const auto& value) { this->Perform(i, value); }, effect);
    });
  }
  node.busy_until = now_ + busy;
  node.busy_time += busy;
  node.longest_busy_time = std::max(node.longest_busy_time, busy);
}

void JobSimulation::ArmTimer(int i) {
  Node& node = nodes_[static_cast<std::size_t>(i)];
  if (node.node == nullptr || node.timer_set) return;
  const auto wakeup = node.node->NextWakeup();
  if (!wakeup) return;
  node.timer_set = true;
  const int incarnation = node.incarnation;
  Schedule(std::max(*wakeup, now_ + milliseconds(1)), [this, i, incarnation] {
    // The timer of a process ends with it.
    Deliver(i, incarnation, job_event::Timer{});
  });
}

void JobSimulation::PerformEffects(int i) {
  for (const JobEffect& effect : nodes_[static_cast<std::size_t>(i)].node->TakeEffects()) {
    std::visit([&](const auto& value) { this->Perform(i, value); }, effect);
  }
}

void JobSimulation::RecordSentStart(int i, const WorkerOrder& order) {
  const auto* start = std::get_if<StartOrder>(&order);
  if (start == nullptr) return;
  const bool partitioned =
      now_ < nodes_[static_cast<std::size_t>(i)].store_partitioned_until + kStoreCatchUpTime;
  sent_starts_.try_emplace({start->task, start->run}, SentStart{now_, !partitioned});
}

void JobSimulation::Perform(int i, const job_effect::SendToPeer& message) {
  const PeerMessageBody decoded = DecodePeerMessage(message.bytes);
  if (const auto* batch = std::get_if<OrderBatch>(&decoded)) {
    for (const WorkerOrder& order : batch->orders) RecordSentStart(i, order);
  }
  if (random_.Chance(faults_.lost_peer_message)) {
    restart_check_.NoteDisturbance(now_);
    return;
  }
  const auto to = std::find_if(nodes_.begin(), nodes_.end(),
                               [&](const Node& it) { return it.host == message.address; });
  if (to == nodes_.end()) return;
  const auto peer = static_cast<int>(to - nodes_.begin());
  Schedule(now_ + Delay(), [this, i, peer, bytes = message.bytes] {
    if (IsPeerPartitioned(i, peer)) return;
    Deliver(peer, nodes_[static_cast<std::size_t>(peer)].incarnation,
            job_event::PeerMessage{bytes});
  });
}

void JobSimulation::DeliverPeerMessage(int i, const std::string& bytes) {
  Deliver(i, nodes_[static_cast<std::size_t>(i)].incarnation, job_event::PeerMessage{bytes});
}

void JobSimulation::Perform(int i, const job_effect::WriteLogEvent& event) {
  const auto ms = ToMilliseconds(now_.time_since_epoch());
  log_.push_back(std::to_string(ms) + " " + nodes_[static_cast<std::size_t>(i)].host + " " +
                 event.event.Format());
}

void JobSimulation::Perform(int /*i*/, const job_effect::Stop& /*stop*/) {}

void JobSimulation::Perform(int i, const job_effect::ReadRecords& read) {
  const int incarnation = nodes_[static_cast<std::size_t>(i)].incarnation;
  // A read without new records waits, and returns at the end of the wait at the latest.
  const Duration wait = std::min(read.wait, Duration(milliseconds(30)));
  Schedule(now_ + Delay() + wait, [this, i, incarnation, read] {
    const bool partitioned = now_ < nodes_[static_cast<std::size_t>(i)].store_partitioned_until;
    if (partitioned || random_.Chance(faults_.lost_store_answer)) {
      restart_check_.NoteDisturbance(now_);
      job_event::StreamRead failed;
      failed.stream = read.stream;
      failed.cell = read.cell;
      Schedule(now_ + seconds(1),
               [this, i, incarnation, failed] { Deliver(i, incarnation, failed); });
      return;
    }
    const job_event::StreamRead result = store_.Read(read);
    Schedule(now_ + Delay(), [this, i, incarnation, result] { Deliver(i, incarnation, result); });
  });
}

void JobSimulation::Perform(int i, const job_effect::ReadNewest& read) {
  const int incarnation = nodes_[static_cast<std::size_t>(i)].incarnation;
  Schedule(now_ + Delay(), [this, i, incarnation, read] {
    job_event::StreamRead result = store_.Read(read);
    if (now_ < nodes_[static_cast<std::size_t>(i)].store_partitioned_until) {
      result = {};
      result.stream = read.stream;
      result.cell = read.cell;
      result.newest = true;
    }
    Schedule(now_ + Delay(), [this, i, incarnation, result] { Deliver(i, incarnation, result); });
  });
}

void JobSimulation::Perform(int i, const job_effect::Append& append) {
  const int incarnation = nodes_[static_cast<std::size_t>(i)].incarnation;
  Schedule(now_ + Delay(), [this, i, incarnation, append] {
    job_event::AppendDone unanswered;
    unanswered.append_id = append.append_id;
    unanswered.reason = "no answer";
    const auto no_answer = [this, i, incarnation, unanswered] {
      Deliver(i, incarnation, unanswered);
    };
    if (now_ < nodes_[static_cast<std::size_t>(i)].store_partitioned_until) {
      Schedule(now_ + seconds(1), no_answer);
      return;
    }
    if (random_.Chance(faults_.late_append)) {
      Schedule(now_ + random_.Between(milliseconds(500), seconds(3)), [this, append] {
        restart_check_.NoteDisturbance(now_);
        AppendNow(append);
      });
      restart_check_.NoteDisturbance(now_);
      Schedule(now_ + seconds(1), no_answer);
      return;
    }
    const job_event::AppendDone done = AppendNow(append);
    if (random_.Chance(faults_.lost_store_answer)) {
      restart_check_.NoteDisturbance(now_);
      Schedule(now_ + seconds(1), no_answer);
      return;
    }
    Schedule(now_ + Delay(), [this, i, incarnation, done] { Deliver(i, incarnation, done); });
  });
}

job_event::AppendDone JobSimulation::AppendNow(const job_effect::Append& append) {
  const auto first = static_cast<std::int64_t>(store_.log(append.cell).size());
  job_event::AppendDone done = store_.Append(append);
  const auto end = static_cast<std::int64_t>(store_.log(append.cell).size());
  for (std::int64_t i = first; i < end; ++i) {
    const auto offset = static_cast<std::size_t>(i);
    NoteStoredRecord(append.cell, store_.log(append.cell)[offset]);
    const std::string& key = store_.log(append.cell)[offset].key;
    stored_at_[{append.cell, i}] = now_;
    record_offsets_[{append.cell, key.substr(key.find('/') + 1)}].push_back(offset);
  }
  return done;
}

void JobSimulation::NoteStoredRecord(int cell, const KeyedRecord& record) {
  const bool of_roster = record.key.starts_with("roster") || record.key.starts_with("o/");
  if (of_roster) stored_rosters_[cell].Apply(DecodeJobLogRecord(record), record.offset);
}

bool JobSimulation::IsListedElsewhere(const FakeWorker& worker, const TaskRef& task) const {
  return std::any_of(stored_rosters_.begin(), stored_rosters_.end(), [&](const auto& it) {
    const auto leases = it.second.RosterLeases();
    const auto& listed = it.second.roster_tasks();
    return std::any_of(leases.begin(), leases.end(), [&](const auto& lease) {
      const auto tasks = listed.find(lease.first);
      const bool other = lease.second.exclusive && lease.first != worker.entry().id;
      return other && tasks != listed.end() &&
             std::find(tasks->second.begin(), tasks->second.end(), task) != tasks->second.end();
    });
  });
}

// Sends the order as the daemon does: one that names an incarnation is written only on a connection
// on which this incarnation has answered. Returns the answer of the sender or of the worker.
template <typename Order, typename Call>
auto JobSimulation::CallWorker(FakeWorker& worker, const Order& order, const Call& call) {
  const bool refused = IsBound(order) && BoundIncarnation(order) != worker.entry().incarnation;
  if constexpr (std::is_same_v<Order, StartOrder>) {
    if (refused) {
      worker.Hold(HoldWithoutLease(order), now_);
      return OrderAnswer{order.call, order.worker.id, OrderOutcome::kOtherInstance, "", {}};
    }
  }
  if constexpr (std::is_same_v<Order, HoldOrder>) {
    if (refused) return call(worker, HoldWithoutLease(order), now_);
  }
  return call(worker, order, now_);
}

template <typename Order, typename Call, typename Done>
void JobSimulation::PerformOrder(int i, const Order& order, Call call, Done done) {
  const int incarnation = nodes_[static_cast<std::size_t>(i)].incarnation;
  RecordSentStart(i, order);
  SentStart sent_start{now_, true};
  if constexpr (std::is_same_v<Order, StartOrder>)
    sent_start = sent_starts_.at({order.task, order.run});
  Schedule(now_ + Delay(), [this, i, incarnation, order, call, done, sent = sent_start.at,
                            store_reachable = sent_start.store_reachable] {
    FakeWorker* worker = FindWorker(order.worker.id);
    const auto no_answer = [this, i, incarnation, order, done] {
      Deliver(i, incarnation, done(order, std::nullopt));
    };
    const bool unreachable = IsWorkerPartitioned(order.worker.id, i) || worker == nullptr ||
                             order.worker.address != worker->entry().address;
    if (unreachable) {
      Schedule(now_ + milliseconds(600), no_answer);
      return;
    }
    const OrderDelay& order_delay = order_delays_[order.worker.id];
    if (now_ < order_delay.until) {
      const std::int64_t connected_to = worker->entry().incarnation;
      restart_check_.NoteDisturbance(now_);
      Schedule(now_ + order_delay.delay,
               [this, worker, order, call, sent, store_reachable, connected_to] {
                 restart_check_.NoteDisturbance(now_);
                 if (gone_workers_.contains(worker->entry().id)) return;
                 if (IsBound(order) && (BoundIncarnation(order) != connected_to ||
                                        worker->entry().incarnation != connected_to))
                   return;
                 current_order_sent_at_ = sent;
                 sender_store_reachable_ = store_reachable;
                 call(*worker, order, now_);
               });
      Schedule(now_ + milliseconds(600), no_answer);
      return;
    }
    if (random_.Chance(faults_.late_order)) {
      restart_check_.NoteDisturbance(now_);
      Schedule(now_ + random_.Between(milliseconds(500), seconds(5)),
               [this, worker, order, call, sent, store_reachable,
                incarnation = worker->entry().incarnation] {
                 // An order is addressed to one incarnation of a worker; later ones refuse it.
                 restart_check_.NoteDisturbance(now_);
                 if (worker->entry().incarnation != incarnation) return;
                 current_order_sent_at_ = sent;
                 sender_store_reachable_ = store_reachable;
                 CallWorker(*worker, order, call);
               });
      Schedule(now_ + milliseconds(600), no_answer);
      return;
    }
    current_order_sent_at_ = sent;
    sender_store_reachable_ = store_reachable;
    const auto answer = CallWorker(*worker, order, call);
    if (random_.Chance(faults_.lost_worker_answer)) {
      restart_check_.NoteDisturbance(now_);
      Schedule(now_ + milliseconds(600), no_answer);
      return;
    }
    if constexpr (std::is_same_v<Order, HoldOrder>) {
      const bool waits = options_.long_polls && answer.outcome == OrderOutcome::kDone &&
                         order.wait > Duration::zero() && !worker->running().empty() &&
                         worker->ended().empty();
      if (waits) {
        const auto answer_later = [this, i, incarnation, order, call, done, no_answer, worker,
                                   worker_incarnation = worker->entry().incarnation] {
          if (worker->entry().incarnation != worker_incarnation ||
              IsWorkerPartitioned(order.worker.id, i)) {
            Schedule(now_ + milliseconds(100), no_answer);
            return;
          }
          const auto report = call(*worker, order, now_);
          Schedule(now_ + Delay(), [this, i, incarnation, order, done, report] {
            Deliver(i, incarnation, done(order, std::optional(report)));
          });
        };
        AddWaitingHold(*worker, order.wait, answer_later);
        return;
      }
    }
    Schedule(now_ + Delay(), [this, i, incarnation, order, done, answer] {
      Deliver(i, incarnation, done(order, std::optional(answer)));
    });
  });
}

void JobSimulation::AddWaitingHold(const FakeWorker& worker, Duration wait,
                                   std::function<void()> answer) {
  const std::string id = worker.entry().id;
  const std::uint64_t n = next_waiting_hold_++;
  waiting_holds_[id][n] = std::move(answer);
  Schedule(now_ + wait, [this, id, n] {
    const auto hold = waiting_holds_[id].extract(n);
    if (!hold.empty()) hold.mapped()();
  });
}

void JobSimulation::AnswerWaitingHolds(const FakeWorker& worker) {
  const auto it = waiting_holds_.find(worker.entry().id);
  if (it == waiting_holds_.end()) return;
  for (const auto& [n, answer] : std::exchange(it->second, {})) answer();
}

void JobSimulation::Perform(int i, const job_effect::Order& effect) {
  const bool relayed = OrderRelay::IsRelayed(CallIdOf(effect.order));
  if (!relayed) ++nodes_[static_cast<std::size_t>(i)].direct_orders;
  const auto order_done = []<typename Event>(const auto& order,
                                             const std::optional<OrderAnswer>& answer) -> JobEvent {
    return Event{
        answer.value_or(OrderAnswer{order.call, order.worker.id, OrderOutcome::kNoAnswer, "", {}})};
  };
  if (const auto* hold = std::get_if<HoldOrder>(&effect.order)) {
    PerformOrder(
        i, *hold, [](FakeWorker& w, const HoldOrder& o, Time t) { return w.Hold(o, t); },
        [](const HoldOrder& o, const std::optional<HoldAnswer>& a) -> JobEvent {
          return job_event::HoldDone{
              a.value_or(HoldAnswer{o.call, o.worker.id, OrderOutcome::kNoAnswer, "", {}})};
        });
  } else if (const auto* start = std::get_if<StartOrder>(&effect.order)) {
    PerformOrder(
        i, *start, [](FakeWorker& w, const StartOrder& o, Time t) { return w.Start(o, t); },
        [order_done](const StartOrder& o, const std::optional<OrderAnswer>& a) {
          return order_done.template operator()<job_event::StartDone>(o, a);
        });
  } else if (const auto* stop = std::get_if<StopOrder>(&effect.order)) {
    PerformOrder(
        i, *stop, [](FakeWorker& w, const StopOrder& o, Time t) { return w.Stop(o, t); },
        [order_done](const StopOrder& o, const std::optional<OrderAnswer>& a) {
          return order_done.template operator()<job_event::StopDone>(o, a);
        });
  } else if (const auto* pace = std::get_if<PaceOrder>(&effect.order)) {
    PerformOrder(
        i, *pace, [](FakeWorker& w, const PaceOrder& o, Time t) { return w.Pace(o, t); },
        [order_done](const PaceOrder& o, const std::optional<OrderAnswer>& a) {
          return order_done.template operator()<job_event::PaceDone>(o, a);
        });
  }
}

JobKey JobSimulation::NewKey() {
  std::string digits = "0000000000000000";
  for (char& c : digits) c = "0123456789abcdef"[random_.Below(16)];
  return JobKey(digits);
}

JobKey JobSimulation::NewJob(JobSpec spec) {
  JobKey key = NewKey();
  AddJob(key, std::move(spec));
  return key;
}

void JobSimulation::AddJob(const JobKey& key, JobSpec spec) {
  const bool long_running = std::any_of(spec.steps.begin(), spec.steps.end(),
                                        [](const StepSpec& it) { return it.long_running; });
  if (long_running) long_running_jobs_.push_back(key);
  jobs_[key].spec = std::move(spec);
}

JobKey JobSimulation::Submit(JobSpec spec) {
  JobKey key = NewJob(std::move(spec));
  SendRequest(key, Verb::kSubmit, 1);
  return key;
}

JobKey JobSimulation::SubmitInCell(int cell, JobSpec spec) {
  JobKey key = NewKey();
  while (CellIndexOf(key.str(), CellCount()) != cell) key = NewKey();
  AddJob(key, std::move(spec));
  SendRequest(key, Verb::kSubmit, 1);
  return key;
}

int JobSimulation::WorkersOfCell(int cell) {
  const int cells = CellCount();
  return static_cast<int>(std::count_if(workers_.begin(), workers_.end(), [&](const auto& it) {
    const std::string& id = it->entry().id;
    return store_.IsListed(id) && CellIndexOf(id, cells) == cell;
  }));
}

int JobSimulation::RunningTasksOfCell(int cell) {
  const int cells = CellCount();
  int n = 0;
  for (const auto& it : workers_) {
    if (CellIndexOf(it->entry().id, cells) == cell) n += static_cast<int>(it->running().size());
  }
  return n;
}

JobKey JobSimulation::SubmitTo(int i, JobSpec spec) {
  JobKey key = NewJob(std::move(spec));
  SendRequestTo(i, key, Verb::kSubmit, kMaxTries);
  return key;
}

void JobSimulation::Cancel(const JobKey& key) {
  jobs_.at(key).cancel_sent = true;
  SendRequest(key, Verb::kCancel, 1);
}

void JobSimulation::CancelAt(int i, const JobKey& key) {
  jobs_.at(key).cancel_sent = true;
  SendRequestTo(i, key, Verb::kCancel, kMaxTries);
}

void JobSimulation::SendRequest(const JobKey& key, Verb verb, int tries) {
  SendRequestTo(static_cast<int>(random_.Below(nodes_.size())), key, verb, tries);
}

void JobSimulation::SendRequestTo(int i, const JobKey& key, Verb verb, int tries) {
  Node& node = nodes_[static_cast<std::size_t>(i)];
  if (node.node == nullptr) {
    if (tries < kMaxTries) {
      Schedule(now_ + milliseconds(300),
               [this, key, verb, tries] { SendRequest(key, verb, tries + 1); });
    }
    return;
  }
  job_event::CallerRequest request;
  request.caller = CallerId{next_caller_++};
  request.verb = verb;
  request.host = kHost;
  request.path = std::string(kPrefix) + key.str();
  request.timeout = seconds(3);
  if (verb == Verb::kSubmit) request.body = jobs_.at(key).spec;
  pending_requests_[request.caller] = {key, verb, tries};
  const CallerId caller = request.caller;
  Deliver(i, node.incarnation, std::move(request));
  Schedule(now_ + seconds(4), [this, caller] {
    const auto it = pending_requests_.find(caller);
    if (it == pending_requests_.end()) return;
    const PendingRequest pending = it->second;
    pending_requests_.erase(it);
    if (pending.verb == Verb::kSubmit) jobs_.at(pending.key).refused_only = false;
    if (pending.tries < kMaxTries) SendRequest(pending.key, pending.verb, pending.tries + 1);
  });
}

void JobSimulation::Perform(int /*i*/, const job_effect::Reply& reply) {
  const auto it = pending_requests_.find(reply.caller);
  if (it == pending_requests_.end()) return;
  const PendingRequest pending = it->second;
  pending_requests_.erase(it);
  Submitted& job = jobs_.at(pending.key);
  if (pending.verb == Verb::kSubmit) {
    if (reply.kind == ReplyKind::kAccepted) {
      accepted_[pending.key] = true;
      CheckAcceptance(pending.key);
    }
    if (reply.kind != ReplyKind::kNotAccepted) job.refused_only = false;
    const bool again = reply.kind == ReplyKind::kNotAccepted || reply.kind == ReplyKind::kUnknown;
    if (again && pending.tries < kMaxTries) {
      Schedule(now_ + seconds(1),
               [this, pending] { SendRequest(pending.key, pending.verb, pending.tries + 1); });
    }
  } else if (pending.verb == Verb::kCancel) {
    if (reply.kind == ReplyKind::kCancelled) {
      job.cancelled = now_;
      CheckCancellation(pending.key);
    }
  } else if (reply.kind == ReplyKind::kState) {
    states_[pending.key] = reply.state;
  } else if (reply.kind == ReplyKind::kNoJob && accepted(pending.key)) {
    RecordViolation(pending.key.str() + ": accepted, but reported to a caller as unknown");
  }
}

JobState JobSimulation::StateOf(const JobKey& key) {
  states_.erase(key);
  for (int i = 0; i < kMaxTries && !states_.contains(key); ++i) {
    SendRequest(key, Verb::kRead, kMaxTries);
    RunFor(seconds(2));
  }
  const auto it = states_.find(key);
  if (it == states_.end()) {
    RecordViolation(key.str() + ": no node reported its state");
    return JobState::kQueued;
  }
  return it->second;
}

std::vector<JobKey> JobSimulation::accepted_jobs() const {
  std::vector<JobKey> keys;
  for (const auto& [key, unused] : accepted_) keys.push_back(key);
  return keys;
}

int JobSimulation::owners() const {
  return static_cast<int>(std::count_if(nodes_.begin(), nodes_.end(), [](const Node& it) {
    return it.node != nullptr && it.node->is_owner();
  }));
}

std::vector<TaskRef> JobSimulation::AbsentLongRunningTasks() const {
  std::vector<TaskRef> absent;
  for (const auto& [key, submitted] : jobs_) {
    if (!accepted(key) || submitted.cancel_sent) continue;
    for (std::size_t s = 0; s < submitted.spec.steps.size(); ++s) {
      const StepSpec& step = submitted.spec.steps[s];
      if (!step.long_running) continue;
      for (int i = 0; i < step.count; ++i) {
        const TaskRef task{key, {0, static_cast<int>(s), i}};
        const bool runs = std::any_of(workers_.begin(), workers_.end(),
                                      [&](const auto& it) { return it->running().contains(task); });
        if (!runs) absent.push_back(task);
      }
    }
  }
  return absent;
}

int JobSimulation::running_tasks() const {
  int n = 0;
  for (const auto& worker : workers_) n += static_cast<int>(worker->running().size());
  return n;
}

bool JobSimulation::IsRunning(const TaskRef& task) const {
  return std::any_of(workers_.begin(), workers_.end(),
                     [&](const auto& it) { return it->running().contains(task); });
}

void JobSimulation::RunFor(Duration duration) {
  const Time end = now_ + duration;
  while (!events_.empty() && events_.top().at <= end) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    for (const auto& worker : workers_) {
      if (worker->Advance(now_)) AnswerWaitingHolds(*worker);
    }
    event.action();
  }
  now_ = end;
}

void JobSimulation::ScheduleRepeating(Duration SimulationFaults::*period,
                                      const std::function<void()>& action) {
  const Duration next = faults_.*period;
  if (next <= Duration::zero()) return;
  const auto delay =
      std::chrono::duration<double, Duration::period>(next) * random_.Exponential(1.0);
  Schedule(now_ + std::chrono::duration_cast<Duration>(delay), [this, period, action] {
    if (faults_.*period <= Duration::zero()) return;
    action();
    ScheduleRepeating(period, action);
  });
}

void JobSimulation::ScheduleFaults() {
  const auto any_node = [this] { return static_cast<std::size_t>(random_.Below(nodes_.size())); };
  const auto any_worker = [this] { return static_cast<int>(random_.Below(workers_.size())); };
  ScheduleRepeating(&SimulationFaults::node_kill_period,
                    [this, any_node] { KillNode(static_cast<int>(any_node())); });
  ScheduleRepeating(&SimulationFaults::node_freeze_period, [this, any_node] {
    nodes_[any_node()].frozen_until = now_ + random_.Between(milliseconds(300), seconds(5));
  });
  ScheduleRepeating(&SimulationFaults::store_partition_period, [this, any_node] {
    nodes_[any_node()].store_partitioned_until = now_ + random_.Between(seconds(1), seconds(5));
  });
  ScheduleRepeating(&SimulationFaults::worker_crash_period,
                    [this, any_worker] { CrashWorker(any_worker()); });
  ScheduleRepeating(&SimulationFaults::worker_partition_period, [this, any_worker] {
    PartitionWorker(any_worker(), random_.Between(milliseconds(500), seconds(6)));
  });
}

void JobSimulation::CrashWorker(int i) {
  if (IsGone(i)) return;
  restart_check_.NoteDisturbance(now_);
  worker(i).Crash(now_);
  store_.ListWorker(worker(i).entry());
}

void JobSimulation::LoseWorker(int i, Duration unlisted_after) {
  const std::string id = worker(i).entry().id;
  restart_check_.NoteDisturbance(now_);
  gone_workers_.insert(id);
  worker(i).Crash(now_);
  worker(i).RejectStarts();
  worker_partitioned_until_[id] = Time::max();
  Schedule(now_ + unlisted_after, [this, id] { store_.UnlistWorker(id); });
}

void JobSimulation::RetireWorker(int i, Duration drain_time) {
  DrainWorker(i);
  Schedule(now_ + drain_time, [this, i] { LoseWorker(i, Duration::zero()); });
}

// What lasts is a disturbance until it ends. A worker that is lost for good disturbs only when it
// is lost, since nothing changes after that; a worker that is drained, while it still has runs, and
// when it leaves. A run that fails by its own fault is no disturbance.
bool JobSimulation::IsDisturbed() {
  const auto lasts = [this](const auto& it) { return it.second > now_; };
  const auto link_lasts = [this](const auto& it) {
    return it.second > now_ && !gone_workers_.contains(it.first);
  };
  const bool nodes = std::any_of(nodes_.begin(), nodes_.end(), [this](const Node& it) {
    return it.frozen_until > now_ || it.store_partitioned_until > now_;
  });
  const bool sound_workers =
      std::none_of(workers_.begin(), workers_.end(), [](const auto& it) { return it->hung(); });
  const bool draining =
      std::any_of(draining_workers_.begin(), draining_workers_.end(),
                  [this](const auto& it) { return !FindWorker(it)->running().empty(); });
  return nodes || !sound_workers || draining || !failing_workers_.empty() ||
         std::any_of(worker_partitioned_until_.begin(), worker_partitioned_until_.end(),
                     link_lasts) ||
         std::any_of(link_partitioned_until_.begin(), link_partitioned_until_.end(), lasts) ||
         std::any_of(peers_partitioned_until_.begin(), peers_partitioned_until_.end(), lasts) ||
         std::any_of(order_delays_.begin(), order_delays_.end(),
                     [this](const auto& it) { return it.second.until > now_; });
}

std::vector<RestartCheck::Task> JobSimulation::DueLongRunningTasks() const {
  std::set<TaskRef> running;
  for (const auto& worker : workers_) {
    for (const auto& [task, active] : worker->running()) running.insert(task);
  }
  std::vector<RestartCheck::Task> tasks;
  for (const JobKey& key : long_running_jobs_) {
    const Submitted& submitted = jobs_.at(key);
    if (!accepted(key) || submitted.cancel_sent) continue;
    for (std::size_t s = 0; s < submitted.spec.steps.size(); ++s) {
      const StepSpec& step = submitted.spec.steps[s];
      // A task that has run and is in `tasks` has had its turn, whatever it depends on.
      if (!step.long_running) continue;
      for (int i = 0; i < step.count; ++i) {
        const TaskRef task{key, {0, static_cast<int>(s), i}};
        tasks.push_back({task, step.need, running.contains(task)});
      }
    }
  }
  return tasks;
}

std::vector<Resources> JobSimulation::UsableCapacity() {
  std::vector<Resources> capacity;
  for (const auto& worker : workers_) {
    const std::string& id = worker->entry().id;
    const bool usable = !gone_workers_.contains(id) && !draining_workers_.contains(id) &&
                        !failing_workers_.contains(id) && !worker->rejects_starts() &&
                        !worker->hung() && worker_partitioned_until_[id] <= now_ &&
                        store_.IsListed(id);
    if (!usable) continue;
    Resources free = worker->entry().capacity;
    for (const auto& [task, active] : worker->running()) {
      free -= jobs_.at(task.job).spec.steps[static_cast<std::size_t>(task.task.step)].need;
    }
    capacity.push_back(free);
  }
  return capacity;
}

void JobSimulation::CheckRestarts() {
  if (IsDisturbed()) restart_check_.NoteDisturbance(now_);
  for (const std::string& it : restart_check_.Sample(now_, DueLongRunningTasks(), UsableCapacity()))
    RecordViolation(it);
}

void JobSimulation::ScheduleRestartCheck() {
  Schedule(now_ + kRestartCheckPeriod, [this] {
    CheckRestarts();
    ScheduleRestartCheck();
  });
}

void JobSimulation::StartFailingRuns(int i) {
  failing_workers_.insert(worker(i).entry().id);
  worker(i).FailAllRuns(now_);
}

void JobSimulation::StopFailingRuns(int i) { failing_workers_.erase(worker(i).entry().id); }

void JobSimulation::FreezeNode(int i, Duration duration) {
  nodes_[static_cast<std::size_t>(i)].frozen_until = now_ + duration;
}

void JobSimulation::PartitionNodeFromStore(int i, Duration duration) {
  nodes_[static_cast<std::size_t>(i)].store_partitioned_until = now_ + duration;
}

int JobSimulation::BusyWorker(int first) {
  int i = first;
  while (worker(i).running().empty()) ++i;
  return i;
}

int JobSimulation::OwnerIndex() const {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i].node != nullptr && nodes_[i].node->is_owner()) return static_cast<int>(i);
  }
  return -1;
}

void JobSimulation::PartitionWorker(int i, Duration duration) {
  worker_partitioned_until_[worker(i).entry().id] = now_ + duration;
}

void JobSimulation::PartitionWorkerFromNode(int worker_index, int node, Duration duration) {
  link_partitioned_until_[{worker(worker_index).entry().id, node}] = now_ + duration;
}

void JobSimulation::PartitionNodes(int a, int b, Duration duration) {
  peers_partitioned_until_[{a, b}] = now_ + duration;
  peers_partitioned_until_[{b, a}] = now_ + duration;
}

void JobSimulation::PartitionNodeWithWorkers(int node, const std::set<int>& side,
                                             Duration duration) {
  PartitionGroup({{node}, side, GroupPartition::StoreAccess::kOthers}, duration);
}

void JobSimulation::PartitionGroup(const GroupPartition& group, Duration duration) {
  using StoreAccess = GroupPartition::StoreAccess;
  const int nodes = static_cast<int>(nodes_.size());
  const int workers = static_cast<int>(workers_.size());
  const auto end_of_cut = [&](bool same_side) { return same_side ? now_ : now_ + duration; };
  for (int n = 0; n < nodes; ++n) {
    const bool in_group = group.nodes.contains(n);
    const StoreAccess without_store = in_group ? StoreAccess::kOthers : StoreAccess::kGroup;
    if (group.store_access == without_store) PartitionNodeFromStore(n, duration);
    for (int peer = 0; peer < nodes; ++peer)
      peers_partitioned_until_[{n, peer}] = end_of_cut(group.nodes.contains(peer) == in_group);
    for (int i = 0; i < workers; ++i) {
      link_partitioned_until_[{worker(i).entry().id, n}] =
          end_of_cut(group.workers.contains(i) == in_group);
    }
  }
}

bool JobSimulation::IsPeerPartitioned(int from, int to) const {
  const auto it = peers_partitioned_until_.find({from, to});
  return it != peers_partitioned_until_.end() && now_ < it->second;
}

bool JobSimulation::IsWorkerPartitioned(const std::string& worker, int node) const {
  const auto all = worker_partitioned_until_.find(worker);
  if (all != worker_partitioned_until_.end() && now_ < all->second) return true;
  const auto link = link_partitioned_until_.find({worker, node});
  return link != link_partitioned_until_.end() && now_ < link->second;
}

void JobSimulation::DelayOrdersTo(int i, Duration duration, Duration delay) {
  order_delays_[worker(i).entry().id] = {now_ + duration, delay};
}

void JobSimulation::DrainWorker(int i) {
  WorkerEntry entry = worker(i).entry();
  entry.draining = true;
  draining_workers_.insert(entry.id);
  restart_check_.NoteDisturbance(now_);
  store_.ListWorker(entry);
}

int JobSimulation::CellCount() {
  JobLogView log_view;
  for (std::size_t offset : record_offsets_[{0, "layout"}]) {
    const KeyedRecord& record = store_.log(0)[offset];
    log_view.Apply(DecodeJobLogRecord(record), record.offset);
  }
  return log_view.cell_count();
}

// An end is processed once it is stored, unless the lease of its worker had expired before; then a
// start that was sent just before the end was stored may still arrive.
bool JobSimulation::IsCompletionProcessed(const StartOrder& order) {
  const int cells = std::max(CellCount(), 1);
  for (int cell = 0; cell < cells; ++cell) {
    if (IsCompletionProcessed(order, cell)) return true;
  }
  return false;
}

bool JobSimulation::IsCompletionProcessed(const StartOrder& order, int cell) {
  for (const KeyedRecord& record : store_.log(cell)) {
    if (record.key != "p/" + order.task.job.str()) continue;
    const auto progress = std::get<ProgressRecord>(DecodeJobLogRecord(record)).progress;
    const bool done =
        std::any_of(progress.tasks.begin(), progress.tasks.end(),
                    [&](const auto& it) { return it.id == order.task.task && it.done; });
    if (!done) continue;
    return !HasExpiredLeaseSinceDone(order.task) ||
           current_order_sent_at_ - stored_at_[{cell, record.offset}] > kMaxEndNoticeDelay;
  }
  return false;
}

bool JobSimulation::HasExpiredLeaseSinceDone(const TaskRef& task) const {
  return std::any_of(workers_.begin(), workers_.end(),
                     [&](const auto& it) { return it->LeaseExpiredSinceDone(task); });
}

bool JobSimulation::WasDropped(const JobKey& job) {
  const std::vector<KeyedRecord>& log = store_.log(CellIndexOf(job.str(), CellCount()));
  return std::any_of(log.begin(), log.end(), [&job](const KeyedRecord& it) {
    return it.value.empty() && it.key == "j/" + job.str();
  });
}

void JobSimulation::CheckStart(const FakeWorker& worker, const StartOrder& order) {
  ++starts_;
  restart_check_.NoteStart(order.task, now_);
  const auto job = jobs_.find(order.task.job);
  const std::string name = jobs::ToString(order.task) + " on " + worker.entry().id;
  if (job == jobs_.end()) {
    RecordViolation(name + ": started, but never submitted");
    return;
  }
  const Submitted& submitted = job->second;
  const StepSpec& step = submitted.spec.steps[static_cast<std::size_t>(order.task.task.step)];
  if (submitted.refused_only && !accepted(order.task.job)) {
    // A request in flight may be stored before it is answered.
    const bool in_flight =
        std::any_of(pending_requests_.begin(), pending_requests_.end(),
                    [&](const auto& it) { return it.second.key == order.task.job; });
    if (!in_flight) RecordViolation(name + ": started after every submission was refused");
  }
  // An owner that cannot reach the store does not learn of cancellations through other hosts.
  if (sender_store_reachable_ && submitted.cancelled != Time{} &&
      current_order_sent_at_ > submitted.cancelled + kMaxCancelDelay) {
    RecordViolation(name + ": started after the job was cancelled");
  }
  Resources used = step.need;
  for (const auto& [task, active] : worker.running()) {
    const Submitted& other = jobs_.at(task.job);
    used += other.spec.steps[static_cast<std::size_t>(task.task.step)].need;
  }
  if (!Fits(used, worker.entry().capacity))
    RecordViolation(name + ": started beyond the worker's capacity");
  if (IsListedElsewhere(worker, order.task))
    RecordViolation(name + ": started while the stored roster lists it on a lost worker only");
  for (const auto& it : workers_) {
    if (it->running().contains(order.task)) {
      RecordViolation(name + ": started while it runs on " + it->entry().id);
    }
    // A submission that is repeated after the job's records were dropped is a new job.
    if (it->DoneAndAcknowledged(order.task) && !WasDropped(order.task.job)) {
      RecordViolation(name + ": started after its end as done was acknowledged to " +
                      it->entry().id);
    }
  }
  // The stored progress shows which ends were processed.
  const StoredJob stored = ReadStoredJob(order.task.job);
  const JobLogView::Entry* entry = stored.log_view.Find(order.task.job);
  if (entry == nullptr) {
    RecordViolation(name + ": started, but its submission is not stored");
    return;
  }
  const int cells = std::max(CellCount(), 1);
  const int home_cell = CellIndexOf(order.task.job.str(), cells);
  if (CellIndexOf(worker.entry().id, cells) != entry->handed_over_to.value_or(home_cell))
    RecordViolation(name + ": started in a cell that does not run the job");
  // A start that was sent before the job ended may arrive late. An end that was noted after the
  // lease of its worker had expired binds only owners that can reach the store.
  const bool over = IsFinal(entry->progress.state);
  const bool binding = sender_store_reachable_ || !HasExpiredLeaseSinceDone(order.task);
  const bool sent_after = current_order_sent_at_ > stored.last_stored_at && binding;
  if (over && sent_after && entry->progress.state != JobState::kCancelled) {
    RecordViolation(name + ": started after the job ended");
  }
  for (const TaskProgress& progress : entry->progress.tasks) {
    if (progress.id != order.task.task) continue;
    if (progress.done && IsCompletionProcessed(order))
      RecordViolation(name + ": started after it was done");
    if (static_cast<int>(progress.failed_runs.size()) >= kAttempts && !step.long_running) {
      RecordViolation(name + ": started after all its attempts failed");
    }
  }
}

JobSimulation::StoredJob JobSimulation::ReadStoredJob(const JobKey& key) {
  StoredJob stored;
  const int cells = std::max(CellCount(), 1);
  for (int cell = 0; cell < cells; ++cell) {
    for (std::size_t offset : record_offsets_[{cell, key.str()}]) {
      const KeyedRecord& record = store_.log(cell)[offset];
      stored.log_view.Apply(DecodeJobLogRecord(record), record.offset);
      stored.last_stored_at = std::max(stored.last_stored_at, stored_at_[{cell, record.offset}]);
    }
  }
  return stored;
}

void JobSimulation::CheckAcceptance(const JobKey& key) {
  const StoredJob stored = ReadStoredJob(key);
  if (stored.log_view.Find(key) == nullptr && !WasDropped(key))
    RecordViolation(key.str() + ": accepted, but not stored");
}

void JobSimulation::CheckCancellation(const JobKey& key) {
  const StoredJob stored = ReadStoredJob(key);
  const JobLogView::Entry* entry = stored.log_view.Find(key);
  const bool over = entry == nullptr ? WasDropped(key) : IsFinal(JobLogView::StateOf(*entry));
  if (!over) RecordViolation(key.str() + ": cancelled, but the cancellation is not stored");
}

std::string JobSimulation::LogLines(const std::string& part) const {
  std::string text;
  for (const std::string& line : log_) {
    if (line.find(part) != std::string::npos) text += line + "\n";
  }
  return text;
}

}  // namespace cactusshelf::jobs
