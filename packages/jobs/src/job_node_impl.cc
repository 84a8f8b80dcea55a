#include "job_node_impl.h"

#include <algorithm>
#include <utility>

namespace cactusshelf::jobs {
namespace {

using std::chrono::milliseconds;

constexpr Duration kOwnerTick = milliseconds(15);
constexpr Duration kBusyTick = milliseconds(20);
constexpr Duration kIdleTick = milliseconds(100);
constexpr Duration kConfigurationPeriod = milliseconds(100);
// While the number of cells is not decided, the workers are listed this often.
constexpr Duration kFirstListPeriod = milliseconds(150);
// The number of workers that decides it has not changed for this time.
constexpr Duration kWorkersSettled = milliseconds(600);
// One owner schedules so many workers well; beyond that there are several cells of fewer.
constexpr std::size_t kWorkersOfOneCell = 100;
constexpr std::size_t kWorkersOfEachCell = 60;
constexpr int kMaxCells = 32;
// A count of pending jobs may be this old, and is answered without an update after the second time.
constexpr Duration kPendingAge = milliseconds(1200);
constexpr Duration kPendingPatience = milliseconds(500);

int CellsFor(std::size_t workers) {
  if (workers <= kWorkersOfOneCell) return 1;
  const std::size_t cells = (workers + kWorkersOfEachCell - 1) / kWorkersOfEachCell;
  return std::min(static_cast<int>(cells), kMaxCells);
}

}  // namespace

JobNode::Impl::Impl(const JobNodeOptions& options, std::uint64_t seed)
    : options_(options), random_(seed) {
  cells_.push_back(std::make_unique<JobCell>(0, options_, random_.Next()));
}

void JobNode::Impl::Start(const Now& now) {
  configuration_.SetPace(kConfigurationPeriod, options_.configuration_read_wait);
  Decide(now);
}

void JobNode::Impl::Handle(const Now& now, JobEvent event) {
  DetectPause(now);
  std::visit([&](auto& value) { this->On(value, now); }, event);
  Decide(now);
}

std::vector<JobEffect> JobNode::Impl::TakeEffects() { return std::exchange(effects_, {}); }

std::optional<Time> JobNode::Impl::NextWakeup() const {
  const Time now = last_event_.value_or(Time{});
  if (owner()) return now + kOwnerTick;
  const bool busy =
      !pending_readers_.empty() ||
      std::any_of(cells_.begin(), cells_.end(), [](const auto& it) { return !it->desk().idle(); });
  Time next = now + (busy ? kBusyTick : kIdleTick);
  const auto consider = [&](const StreamFollower& it) {
    if (!it.in_flight()) next = std::min(next, std::max(it.next_read(), now));
  };
  consider(configuration_);
  for (const auto& cell : cells_) consider(cell->follower());
  return next;
}

bool JobNode::Impl::ready(Time now) const {
  const bool usable = std::all_of(cells_.begin(), cells_.end(),
                                  [now](const auto& it) { return it->StoreUsable(now); });
  const bool opened = cells_.front()->ledger().layout() > 0;
  return state_.queues.version() != 0 && opened && usable && !state_.draining;
}

// While the process stood still, another may have become the owner. The steady clock does not count
// a suspension of the whole machine, so the time of day is compared as well.
void JobNode::Impl::DetectPause(const Now& now) {
  const Duration gap = last_event_ ? now.monotonic - *last_event_ : Duration::zero();
  const Duration wall_gap = last_event_ ? Duration(now.wall - last_wall_) : Duration::zero();
  last_wall_ = now.wall;
  last_event_ = now.monotonic;
  if (std::max(gap, wall_gap) <= options_.longest_pause) return;
  Log(LogEvent(LogLevel::kWarning, "paused")
          .With("ms", std::chrono::duration_cast<milliseconds>(gap).count())
          .With("wall_ms", std::chrono::duration_cast<milliseconds>(wall_gap).count()));
  for (const auto& cell : cells_) cell->OnPaused(now);
}

JobCell* JobNode::Impl::CellOfJob(const std::string& key) {
  const int cells = cells_.front()->ledger().layout();
  if (cells == 0) return nullptr;
  return cells_[static_cast<std::size_t>(CellOf(key, cells))].get();
}

Scheduler* JobNode::Impl::SchedulerOf(const std::string& worker) {
  JobCell* cell = CellOfJob(worker);
  return cell == nullptr ? nullptr : cell->scheduler();
}

void JobNode::Impl::ReplyAtOnce(const job_event::CallerRequest& request, ReplyKind kind,
                                std::string message) {
  counters_.Add("cactusshelf_replies_total", ToString(kind));
  if (kind == ReplyKind::kNotAccepted) counters_.Add("cactusshelf_refusals_total", message);
  Log(LogEvent(LogLevel::kInfo, "reply")
          .With("path", request.path)
          .With("outcome", std::string(ToString(kind)))
          .With("configuration", state_.queues.version())
          .With("detail", message));
  Emit(job_effect::Reply{
      request.caller, kind, {}, 0, EntryOptions{}.retry_after, std::move(message)});
}

void JobNode::Impl::On(job_event::CallerRequest& request, const Now& now) {
  if (state_.queues.version() == 0) {
    ReplyAtOnce(request, ReplyKind::kNotAccepted, "no_configuration");
    return;
  }
  const QueueTable::Match match = state_.queues.Find(request.host, request.path);
  if (match.route == nullptr) {
    ReplyAtOnce(request, ReplyKind::kNoQueue, "no such queue");
    return;
  }
  if (match.rest.empty() && request.verb == Verb::kRead) {
    pending_readers_.push_back({request.caller, match.route->policy.name, now.monotonic});
    AnswerPending(now);
    return;
  }
  const std::string key(match.rest);
  if (!IsJobKey(key)) {
    ReplyAtOnce(request, ReplyKind::kMalformed,
                "path: expected 16 hexadecimal digits after the queue");
    return;
  }
  JobCell* cell = CellOfJob(key);
  if (cell == nullptr) {
    ReplyAtOnce(request, ReplyKind::kNotAccepted, "layout_unknown");
    return;
  }
  cell->desk().OnRequest(request, *match.route, JobKey(key), cell->StoreUsable(now.monotonic), now);
}

void JobNode::Impl::On(const job_event::CallerGone& gone, const Now& /*now*/) {
  for (const auto& cell : cells_) cell->desk().OnCallerGone(gone.caller);
  std::erase_if(pending_readers_, [&](const auto& it) { return it.caller == gone.caller; });
}

void JobNode::Impl::AnswerPending(const Now& now) {
  if (pending_readers_.empty()) return;
  bool fresh = true;
  for (const auto& cell : cells_) {
    if (now.monotonic - cell->follower().fresh_at() <= kPendingAge) continue;
    fresh = false;
    cell->Refresh(now.monotonic);
  }
  std::erase_if(pending_readers_, [&](const PendingReader& reader) {
    if (!fresh && now.monotonic - reader.arrived < kPendingPatience) return false;
    int n = 0;
    for (const auto& cell : cells_) n += cell->ledger().PendingJobs(reader.queue);
    counters_.Add("cactusshelf_replies_total", ToString(ReplyKind::kPending));
    Log(LogEvent(LogLevel::kInfo, "reply")
            .With("queue", reader.queue)
            .With("outcome", "pending")
            .With("pending", n)
            .With("configuration", state_.queues.version()));
    Emit(job_effect::Reply{reader.caller, ReplyKind::kPending, {}, n, {}, ""});
    return true;
  });
}

void JobNode::Impl::On(job_event::StreamRead& read, const Now& now) {
  for (const std::string& reason : read.unreadable) {
    counters_.Add("cactusshelf_unreadable_records_total", ToString(read.stream));
    Log(LogEvent(LogLevel::kWarning, "record_skipped")
            .With("stream", std::string(ToString(read.stream)))
            .With("reason", reason));
  }
  if (read.outcome != ReadOutcome::kDone) {
    counters_.Add("cactusshelf_read_failures_total", ToString(read.stream));
    Log(LogEvent(LogLevel::kInfo, "read_failed")
            .With("stream", std::string(ToString(read.stream)))
            .With("cell", read.cell)
            .With("reason", read.reason));
  }
  switch (read.stream) {
    case Stream::kJobs:
      cells_[static_cast<std::size_t>(read.cell)]->OnRead(read, state_, now);
      return;
    case Stream::kConfiguration:
      configuration_.OnRead(read, now.monotonic);
      OnConfigurationRead(read);
      return;
    case Stream::kWorkers:
      workers_.OnRead(read, now.monotonic);
      OnWorkersRead(read, now);
      return;
  }
}

void JobNode::Impl::OnConfigurationRead(job_event::StreamRead& read) {
  if (!read.configuration || read.configuration->version() <= state_.queues.version()) return;
  Log(LogEvent(LogLevel::kInfo, "configuration_in_force")
          .With("version", read.configuration->version())
          .With("previous", state_.queues.version())
          .With("queues", read.configuration->routes().size()));
  state_.queues = std::move(*read.configuration);
  for (const auto& cell : cells_) cell->OnQueuesChanged(state_.queues);
}

void JobNode::Impl::OnWorkersRead(job_event::StreamRead& read, const Now& now) {
  for (WorkerEntry& entry : read.workers) {
    if (listed_workers_.insert(entry.id).second) workers_changed_ = now.monotonic;
    Scheduler* scheduler = SchedulerOf(entry.id);
    if (scheduler != nullptr) scheduler->OnWorkerListed(std::move(entry), now);
  }
  for (const std::string& id : read.unlisted_workers) {
    listed_workers_.erase(id);
    Scheduler* scheduler = SchedulerOf(id);
    if (scheduler != nullptr) scheduler->OnWorkerUnlisted(id, now);
  }
}

void JobNode::Impl::On(const job_event::AppendDone& done, const Now& now) {
  for (const auto& cell : cells_) cell->OnAppendDone(done, state_, now);
}

void JobNode::Impl::On(const job_event::HoldDone& done, const Now& now) {
  Scheduler* scheduler = SchedulerOf(done.answer.worker);
  if (scheduler != nullptr) scheduler->OnHoldAnswer(done.answer, now);
}

void JobNode::Impl::On(const job_event::StartDone& done, const Now& now) {
  Scheduler* scheduler = SchedulerOf(done.answer.worker);
  if (scheduler != nullptr) scheduler->OnStartAnswer(done.answer, now);
}

void JobNode::Impl::On(const job_event::StopDone& done, const Now& now) {
  Scheduler* scheduler = SchedulerOf(done.answer.worker);
  if (scheduler != nullptr) scheduler->OnStopAnswer(done.answer, now);
}

void JobNode::Impl::On(const job_event::PaceDone& done, const Now& now) {
  Scheduler* scheduler = SchedulerOf(done.answer.worker);
  if (scheduler != nullptr) scheduler->OnPaceAnswer(done.answer, now);
}

void JobNode::Impl::On(const job_event::Timer& /*timer*/, const Now& /*now*/) {}

void JobNode::Impl::On(const job_event::DrainRequested& /*drain*/, const Now& now) {
  if (!drain_started_) drain_started_ = now.monotonic;
  state_.draining = true;
}

void JobNode::Impl::Decide(const Now& now) {
  OpenCells();
  state_.cells = static_cast<int>(cells_.size());
  DecideLayout(now);
  for (const auto& cell : cells_) {
    cell->Decide(state_, now);
    CollectEffects(*cell);
    // All workers are listed to a new owner.
    if (cell->TakeGained()) workers_.Restart(now.monotonic);
  }
  state_.owned_cells = static_cast<int>(std::count_if(
      cells_.begin(), cells_.end(), [](const auto& it) { return it->scheduler() != nullptr; }));
  AnswerPending(now);
  DecideReads(now);
  DecideEnd(now);
}

void JobNode::Impl::CollectEffects(JobCell& cell) {
  for (JobEffect& effect : cell.TakeEffects()) Emit(std::move(effect));
}

void JobNode::Impl::OpenCells() {
  const int n = cells_.front()->ledger().layout();
  while (static_cast<int>(cells_.size()) < n) {
    cells_.push_back(
        std::make_unique<JobCell>(static_cast<int>(cells_.size()), options_, random_.Next()));
  }
}

// The owner of the first cell decides once for all how many cells there are.
void JobNode::Impl::DecideLayout(const Now& now) {
  JobCell& first = *cells_.front();
  if (first.scheduler() == nullptr || first.ledger().layout() > 0 || listed_workers_.empty())
    return;
  if (now.monotonic - workers_changed_ < kWorkersSettled) return;
  first.StoreLayout(CellsFor(listed_workers_.size()));
}

void JobNode::Impl::EmitRead(const std::optional<StreamFollower::Request>& request) {
  if (!request) return;
  std::visit([this](const auto& read) { Emit(read); }, *request);
}

void JobNode::Impl::DecideReads(const Now& now) {
  EmitRead(configuration_.Next(now.monotonic));
  if (!owner()) return;
  const bool undecided = cells_.front()->ledger().layout() == 0;
  workers_.SetPace(undecided ? kFirstListPeriod : options_.worker_list_period, Duration::zero());
  EmitRead(workers_.Next(now.monotonic));
}

void JobNode::Impl::DecideEnd(const Now& now) {
  if (!drain_started_ || stop_sent_) return;
  const Duration drained = now.monotonic - *drain_started_;
  if (drained < options_.drain) return;
  const bool idle =
      std::all_of(cells_.begin(), cells_.end(), [](const auto& it) { return it->desk().idle(); });
  const bool out_of_time = drained >= options_.drain * 2;
  if (!out_of_time && (!idle || owner())) return;
  stop_sent_ = true;
  Emit(job_effect::Stop{});
}

std::string JobNode::Impl::Metrics() const {
  Counters all = counters_;
  for (const auto& cell : cells_) {
    all.Merge(cell->counters());
    all.Merge(cell->desk().counters());
    if (cell->scheduler() != nullptr) all.Merge(cell->scheduler()->counters());
  }
  std::string text = all.Format();
  for (std::size_t i = 0; i < cells_.size(); ++i) {
    const std::string name = "cactusshelf_reply_seconds_cell_" + std::to_string(i);
    text += cells_[i]->desk().reply_time().Format(name);
  }
  return text;
}

}  // namespace cactusshelf::jobs
