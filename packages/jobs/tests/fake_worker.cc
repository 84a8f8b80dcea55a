#include "fake_worker.h"

#include <algorithm>

namespace cactusshelf::jobs {

WorkerClock FakeWorker::Clock(Time now) const {
  const auto uptime = std::chrono::duration<double, std::milli>(now - started_at_) * clock_rate_;
  return WorkerClock(static_cast<std::int64_t>(uptime.count()) + 1);
}

// A lease is never shortened, and never lasts longer than kLongestLease from now.
void FakeWorker::ExtendLease(WorkerClock lease_end, Time now) {
  lease_end_ = std::max(lease_end_, std::min(lease_end, Clock(now) + kLongestLease));
  next_end_at_ = {};
}

bool FakeWorker::AcceptToken(std::int64_t token) {
  if (token < token_) return false;
  token_ = token;
  return true;
}

// Forgets the ends up to `end` that there are. Later ends are listed, whatever their number is.
void FakeWorker::Acknowledge(std::int64_t end) {
  acknowledged_ = std::max(acknowledged_, end);
  std::erase_if(ended_, [this, end](const EndedRun& it) {
    if (it.number > end) return false;
    if (it.end == RunEnd::kDone && done_.contains(it.task)) done_and_acknowledged_.insert(it.task);
    return true;
  });
}

// `task` is passed by value, since callers pass the key of the entry that is removed.
void FakeWorker::EndRun(TaskRef task, RunEnd end) {  // NOLINT
  const std::int64_t run = running_.at(task).run;
  running_.erase(task);
  highest_ended_[task] = std::max(highest_ended_[task], run);
  ended_.push_back({next_end_++, task, run, end, ""});
  if (end == RunEnd::kDone) done_.insert(task);
  next_end_at_ = {};
}

void FakeWorker::StopRun(ActiveRun& active, const TaskRef& task, Time now) {
  active.stops = std::min(active.stops, now + stop_time_);
  next_end_at_ = {};
  if (active.stops <= now) EndRun(task, RunEnd::kStopped);
}

Time FakeWorker::NextEnd(Time now) const {
  if (running_.empty() && done_.empty()) return Time::max();
  const auto uptime = std::chrono::duration<double, std::milli>(lease_end_) / clock_rate_;
  // A millisecond less than the clock's resolution allows for rounding.
  Time next = started_at_ + std::chrono::duration_cast<Duration>(uptime) - 2 * WorkerClock(1);
  for (const auto& [task, active] : running_) {
    next = std::min(next, active.stops);
    if (hung_since_ > now) next = std::min(next, active.ends);
  }
  return next;
}

bool FakeWorker::Advance(Time now) {
  if (now < next_end_at_) return false;
  std::vector<std::pair<TaskRef, RunEnd>> due;
  for (const auto& [task, active] : running_) {
    if (std::min(now, hung_since_) >= active.ends) {
      due.emplace_back(task, active.end);
    } else if (now >= active.stops) {
      due.emplace_back(task, RunEnd::kStopped);
    }
  }
  for (const auto& [task, end] : due) EndRun(task, end);
  bool ended = !due.empty();
  if (Clock(now) >= lease_end_) {
    done_before_lease_expiry_.insert(done_.begin(), done_.end());
    done_.clear();
    ended = ended || !running_.empty();
    while (!running_.empty()) EndRun(running_.begin()->first, RunEnd::kLeaseExpired);
  }
  next_end_at_ = NextEnd(now);
  return ended;
}

int FakeWorker::ProgressPercentOf(const ActiveRun& active, Time now) const {
  const Duration done = std::max(std::min(now, hung_since_) - active.begins, Duration::zero());
  const Duration all = std::max(active.ends - active.begins, Duration(1));
  return static_cast<int>(100 * done / all);
}

HoldAnswer FakeWorker::Hold(const HoldOrder& order, Time now) {
  Advance(now);
  HoldAnswer answer;
  answer.call = order.call;
  answer.worker = entry_.id;
  if (!AcceptToken(order.token)) {
    answer.outcome = OrderOutcome::kFenced;
    return answer;
  }
  if (order.lease_end) ExtendLease(*order.lease_end, now);
  Acknowledge(order.acknowledged_end);
  answer.outcome = OrderOutcome::kDone;
  answer.report.clock = Clock(now);
  answer.report.incarnation = entry_.incarnation;
  for (const auto& [task, active] : running_) {
    answer.report.running.push_back({task, active.run, "", ProgressPercentOf(active, now), 0});
  }
  answer.report.more_ended = ended_.size() >= kMaxListedEnds;
  const auto listed = static_cast<std::ptrdiff_t>(std::min(ended_.size(), kMaxListedEnds));
  answer.report.ended.assign(ended_.begin(), ended_.begin() + listed);
  return answer;
}

OrderAnswer FakeWorker::Start(const StartOrder& order, Time now) {
  Advance(now);
  OrderAnswer answer{order.call, entry_.id, OrderOutcome::kDone, "", Clock(now)};
  if (!AcceptToken(order.token)) {
    answer.outcome = OrderOutcome::kFenced;
  } else if (rejects_starts_) {
    answer.outcome = OrderOutcome::kRejected;
  } else if (order.lease_end <= Clock(now)) {
    answer.outcome = OrderOutcome::kExpired;
  } else if (running_.contains(order.task)) {
    const bool same = running_.at(order.task).run == order.run;
    answer.outcome = same ? OrderOutcome::kDone : OrderOutcome::kStale;
  } else if (highest_ended_[order.task] >= order.run) {
    answer.outcome = OrderOutcome::kStale;
  } else {
    ExtendLease(order.lease_end, now);
    const RunPlan plan = planner_(order);
    observer_(*this, order);
    cpu_shares_.erase(order.task);
    running_[order.task] = {order.run, now, now + plan.duration, plan.end};
    next_end_at_ = {};
  }
  return answer;
}

OrderAnswer FakeWorker::Stop(const StopOrder& order, Time now) {
  Advance(now);
  OrderAnswer answer{order.call, entry_.id, OrderOutcome::kDone, "", Clock(now)};
  if (!AcceptToken(order.token)) {
    answer.outcome = OrderOutcome::kFenced;
    return answer;
  }
  const auto it = running_.find(order.task);
  if (it != running_.end() && it->second.run <= order.run) StopRun(it->second, order.task, now);
  highest_ended_[order.task] = std::max(highest_ended_[order.task], order.run);
  return answer;
}

OrderAnswer FakeWorker::Pace(const PaceOrder& order, Time now) {
  Advance(now);
  const bool accepted = AcceptToken(order.token);
  if (accepted) SetCpuSharePercent(order.task, order.percent);
  return {order.call, entry_.id, accepted ? OrderOutcome::kDone : OrderOutcome::kFenced, "",
          Clock(now)};
}

void FakeWorker::FailRun(const TaskRef& task, Time now) {
  Advance(now);
  if (running_.contains(task)) EndRun(task, RunEnd::kFailed);
}

void FakeWorker::FailAllRuns(Time now) {
  Advance(now);
  while (!running_.empty()) EndRun(running_.begin()->first, RunEnd::kFailed);
}

void FakeWorker::Crash(Time now) {
  Advance(now);
  running_.clear();
  highest_ended_.clear();
  ended_.clear();
  done_.clear();
  next_end_ = 1;
  acknowledged_ = 0;
  token_ = 0;
  lease_end_ = {};
  started_at_ = now;
  hung_since_ = Time::max();
  next_end_at_ = {};
  ++entry_.incarnation;
}

}  // namespace cactusshelf::jobs
