#include "job_node_impl.h"

#include <algorithm>
#include <utility>

#include "cactusshelf/base/errors.h"

namespace cactusshelf::jobs {
namespace {

using std::chrono::milliseconds;

constexpr Duration kOwnerWakeupPeriod = milliseconds(15);
constexpr Duration kBusyWakeupPeriod = milliseconds(20);
constexpr Duration kIdleWakeupPeriod = milliseconds(100);
constexpr Duration kConfigurationPeriod = milliseconds(100);
// Interval at which the workers are listed until the number of cells is decided.
constexpr Duration kInitialWorkerListPeriod = milliseconds(150);
// The number of cells is decided once the list of workers has not changed for this time.
constexpr Duration kWorkerListSettleTime = milliseconds(600);
// A count of pending jobs is answered from a view of the log no older than this, or from any view
// after the timeout.
constexpr Duration kMaxPendingCountAge = milliseconds(1200);
constexpr Duration kPendingCountTimeout = milliseconds(500);

// Append ID of this host's announcement, outside the ranges of the cells.
constexpr std::uint64_t kAnnouncementAppendId = ~std::uint64_t{0};
constexpr Duration kAnnouncementRetry = milliseconds(500);

HostRecord LocalHostRecord(const JobNodeOptions& options) {
  return {options.host, options.peer_address, options.domain, options.milliprocessors};
}

int CellCountFor(std::size_t workers, const JobNodeOptions& options) {
  if (workers <= options.single_cell_max_workers) return 1;
  const std::size_t each = options.multi_cell_target_workers;
  const std::size_t cells = (workers + each - 1) / each;
  return std::min(static_cast<int>(cells), Scheduler::kMaxCells);
}

}  // namespace

JobNode::Impl::Impl(const JobNodeOptions& options, std::uint64_t seed)
    : options_(options),
      random_(seed),
      relay_pool_(RelayPoolOptions{}, LocalHostRecord(options)),
      order_relay_(OrderRelayOptions{}, options.host) {
  cells_.push_back(
      std::make_unique<JobCell>(0, options_, random_.Next(), cell_views_, cell_choice_));
}

void JobNode::Impl::Start(const Now& now) {
  started_at_ = now.monotonic;
  configuration_follower_.SetReadTiming(kConfigurationPeriod, options_.configuration_read_wait);
  Advance(now);
}

void JobNode::Impl::Handle(const Now& now, JobEvent event) {
  DetectPause(now);
  std::visit([&](auto& value) { this->OnEvent(value, now); }, event);
  Advance(now);
}

std::vector<JobEffect> JobNode::Impl::TakeEffects() { return std::exchange(effects_, {}); }

std::optional<Time> JobNode::Impl::NextWakeup() const {
  const Time now = last_event_at_.value_or(Time{});
  const std::optional<Time> relay_message_due = order_relay_.NextMessageDue();
  if (is_owner()) {
    const Time next = now + kOwnerWakeupPeriod;
    return std::max(now, std::min({next, relay_message_due.value_or(next),
                                   relay_pool_.NextBatchesDue().value_or(next)}));
  }
  const bool busy = !pending_count_reads_.empty() ||
                    std::any_of(cells_.begin(), cells_.end(),
                                [](const auto& it) { return !it->request_handler().idle(); });
  Time next = now + (busy ? kBusyWakeupPeriod : kIdleWakeupPeriod);
  if (relay_message_due) next = std::min(next, std::max(*relay_message_due, now));
  const auto consider = [&](const StreamFollower& it) {
    if (!it.in_flight()) next = std::min(next, std::max(it.next_read_at(), now));
  };
  consider(configuration_follower_);
  for (const auto& cell : cells_) consider(cell->follower());
  return next;
}

bool JobNode::Impl::ready(Time now) const {
  const bool usable = std::all_of(cells_.begin(), cells_.end(),
                                  [now](const auto& it) { return it->StoreUsable(now); });
  const bool opened = cells_.front()->log_view().cell_count() > 0;
  return node_state_.queues.version() != 0 && opened && usable && !node_state_.draining;
}

// While the process was paused, another may have become the owner. The steady clock does not count
// a suspension of the whole machine, so the wall clock is compared as well.
void JobNode::Impl::DetectPause(const Now& now) {
  const Duration gap = last_event_at_ ? now.monotonic - *last_event_at_ : Duration::zero();
  const Duration wall_gap =
      last_event_at_ ? Duration(now.wall - last_event_wall_) : Duration::zero();
  last_event_wall_ = now.wall;
  last_event_at_ = now.monotonic;
  if (std::max(gap, wall_gap) <= options_.max_event_gap) return;
  Log(LogEvent(LogLevel::kWarning, "paused")
          .With("ms", ToMilliseconds(gap))
          .With("wall_ms", ToMilliseconds(wall_gap)));
  for (const auto& cell : cells_) cell->OnPaused(now);
  relay_pool_.OnPaused(now.monotonic);
}

JobCell* JobNode::Impl::CellOfJob(const std::string& key) {
  const int cells = cells_.front()->log_view().cell_count();
  if (cells == 0) return nullptr;
  return cells_[static_cast<std::size_t>(CellIndexOf(key, cells))].get();
}

JobCell& JobNode::Impl::CellAt(int index) {
  if (index < 0 || static_cast<std::size_t>(index) >= cells_.size()) {
    throw DecodeError("peer message: no cell " + std::to_string(index));
  }
  return *cells_[static_cast<std::size_t>(index)];
}

Scheduler* JobNode::Impl::SchedulerOf(const std::string& worker) {
  JobCell* cell = CellOfJob(worker);
  return cell == nullptr ? nullptr : cell->scheduler();
}

void JobNode::Impl::ReplyImmediately(const job_event::CallerRequest& request, ReplyKind kind,
                                     std::string message) {
  counters_.Add("cactusshelf_replies_total", ToString(kind));
  if (kind == ReplyKind::kNotAccepted) counters_.Add("cactusshelf_refusals_total", message);
  Log(LogEvent(LogLevel::kInfo, "reply")
          .With("path", request.path)
          .With("outcome", std::string(ToString(kind)))
          .With("configuration", node_state_.queues.version())
          .With("detail", message));
  Emit(job_effect::Reply{
      request.caller, kind, {}, 0, JobRequestHandlerOptions{}.retry_after, std::move(message)});
}

void JobNode::Impl::OnEvent(job_event::CallerRequest& request, const Now& now) {
  if (node_state_.queues.version() == 0) {
    ReplyImmediately(request, ReplyKind::kNotAccepted, "no_configuration");
    return;
  }
  const QueueTable::Match match = node_state_.queues.Find(request.host, request.path);
  if (match.route == nullptr) {
    ReplyImmediately(request, ReplyKind::kNoQueue, "no such queue");
    return;
  }
  if (match.rest.empty() && request.verb == Verb::kRead) {
    pending_count_reads_.push_back({request.caller, match.route->policy.name, now.monotonic});
    ReplyToPendingReads(now);
    return;
  }
  const std::string key(match.rest);
  if (!IsJobKey(key)) {
    ReplyImmediately(request, ReplyKind::kMalformed,
                     "path: expected 16 hexadecimal digits after the queue");
    return;
  }
  JobCell* cell = CellOfJob(key);
  if (cell == nullptr) {
    ReplyImmediately(request, ReplyKind::kNotAccepted, "layout_unknown");
    return;
  }
  cell->request_handler().OnRequest(request, *match.route, JobKey(key),
                                    cell->StoreUsable(now.monotonic), now);
}

void JobNode::Impl::OnEvent(const job_event::CallerDisconnected& gone, const Now& /*now*/) {
  for (const auto& cell : cells_) cell->request_handler().OnCallerDisconnected(gone.caller);
  std::erase_if(pending_count_reads_, [&](const auto& it) { return it.caller == gone.caller; });
}

void JobNode::Impl::ReplyToPendingReads(const Now& now) {
  if (pending_count_reads_.empty()) return;
  bool fresh = true;
  for (const auto& cell : cells_) {
    if (now.monotonic - cell->follower().fresh_at() <= kMaxPendingCountAge) continue;
    fresh = false;
    cell->RequestRefresh(now.monotonic);
  }
  std::erase_if(pending_count_reads_, [&](const PendingCountRead& read) {
    if (!fresh && now.monotonic - read.arrived < kPendingCountTimeout) return false;
    const int n = cell_views_.PendingJobCount(read.queue);
    counters_.Add("cactusshelf_replies_total", ToString(ReplyKind::kPending));
    Log(LogEvent(LogLevel::kInfo, "reply")
            .With("queue", read.queue)
            .With("outcome", "pending")
            .With("pending", n)
            .With("configuration", node_state_.queues.version()));
    Emit(job_effect::Reply{read.caller, ReplyKind::kPending, {}, n, {}, ""});
    return true;
  });
}

void JobNode::Impl::OnEvent(job_event::StreamRead& read, const Now& now) {
  for (const std::string& reason : read.unreadable_records) {
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
      cells_[static_cast<std::size_t>(read.cell)]->OnRead(read, node_state_, now);
      return;
    case Stream::kConfiguration:
      if (configuration_follower_.OnRead(read, now.monotonic)) OnConfigurationRead(read);
      return;
    case Stream::kWorkers:
      if (workers_follower_.OnRead(read, now.monotonic)) OnWorkersRead(read, now);
      return;
  }
}

void JobNode::Impl::OnConfigurationRead(job_event::StreamRead& read) {
  if (!read.configuration || read.configuration->version() <= node_state_.queues.version()) return;
  Log(LogEvent(LogLevel::kInfo, "configuration_in_force")
          .With("version", read.configuration->version())
          .With("previous", node_state_.queues.version())
          .With("queues", read.configuration->routes().size()));
  node_state_.queues = std::move(*read.configuration);
  for (const auto& cell : cells_) cell->OnQueuesChanged(node_state_.queues);
}

void JobNode::Impl::OnWorkersRead(const job_event::StreamRead& read, const Now& now) {
  const std::uint64_t listing = workers_follower_.listing();
  for (const WorkerEntry& entry : read.workers) {
    if (listed_workers_.insert_or_assign(entry.id, ListedWorker{entry, listing}).second) {
      worker_list_changed_at_ = now.monotonic;
    }
    AnnounceWorker(entry, now);
  }
  for (const std::string& id : read.unlisted_workers) RemoveWorker(id, now);
  if (read.newest && workers_follower_.loaded()) RemoveWorkersMissingFromListing(now);
}

void JobNode::Impl::RemoveWorker(const std::string& id, const Now& now) {
  listed_workers_.erase(id);
  Scheduler* scheduler = SchedulerOf(id);
  if (scheduler != nullptr) scheduler->OnWorkerUnlisted(id, now);
}

void JobNode::Impl::RemoveWorkersMissingFromListing(const Now& now) {
  std::vector<std::string> missing;
  for (const auto& [id, worker] : listed_workers_) {
    if (worker.listing != workers_follower_.listing()) missing.push_back(id);
  }
  for (const std::string& id : missing) RemoveWorker(id, now);
  Log(LogEvent(LogLevel::kInfo, "workers_listed")
          .With("listing", workers_follower_.listing())
          .With("workers", listed_workers_.size())
          .With("removed", missing.size()));
}

void JobNode::Impl::AnnounceWorker(const WorkerEntry& entry, const Now& now) {
  Scheduler* scheduler = SchedulerOf(entry.id);
  if (scheduler != nullptr) scheduler->OnWorkerListed(entry, now);
}

// A scheduler is told of a worker when its entry is read. Entries that were read before the
// scheduler or the number of cells was there are passed on here.
void JobNode::Impl::AnnounceWorkersToNewOwners(const Now& now) {
  if (cells_.front()->log_view().cell_count() == 0) return;
  bool gained = false;
  for (const auto& cell : cells_) gained = cell->TakeOwnershipGained() || gained;
  if (!gained) return;
  // What was handed over to the cell, and cancelled, is in the logs of the others.
  for (const auto& cell : cells_) {
    if (cell->scheduler() == nullptr) cell->RequestReadAfter(now.monotonic);
  }
  for (const auto& [id, worker] : listed_workers_) AnnounceWorker(worker.entry, now);
  Log(LogEvent(LogLevel::kInfo, "workers_announced")
          .With("owned_cells", node_state_.owned_cells)
          .With("workers", listed_workers_.size()));
}

// The list is followed only while this process owns a cell, so that what was read under an earlier
// ownership may be out of date.
void JobNode::Impl::ForgetWorkerList(const Now& now) {
  listed_workers_.clear();
  workers_follower_.Restart(now.monotonic);
}

void JobNode::Impl::OnEvent(const job_event::AppendDone& done, const Now& now) {
  if (done.append_id == kAnnouncementAppendId) {
    const bool stored = done.outcome == job_event::AppendOutcome::kDone;
    announcement_ = stored ? Announcement::kStored : Announcement::kWanted;
    next_announcement_at_ = now.monotonic + kAnnouncementRetry;
    return;
  }
  for (const auto& cell : cells_) cell->OnAppendDone(done, node_state_, now);
}

void JobNode::Impl::OnEvent(const job_event::HoldDone& done, const Now& now) {
  OnLocalAnswer(done, now);
}

void JobNode::Impl::OnEvent(const job_event::StartDone& done, const Now& now) {
  OnLocalAnswer(done, now);
}

void JobNode::Impl::OnEvent(const job_event::StopDone& done, const Now& now) {
  OnLocalAnswer(done, now);
}

void JobNode::Impl::OnEvent(const job_event::PaceDone& done, const Now& now) {
  OnLocalAnswer(done, now);
}

void JobNode::Impl::OnLocalAnswer(WorkerAnswer answer, const Now& now) {
  if (OrderRelay::IsRelayed(CallIdOf(answer))) {
    order_relay_.OnAnswer(std::move(answer), now.monotonic);
  } else {
    OnOrderAnswer(answer, now);
  }
}

void JobNode::Impl::OnOrderAnswer(const WorkerAnswer& answer, const Now& now) {
  const std::string& worker =
      std::visit([](const auto& it) -> const std::string& { return it.answer.worker; }, answer);
  Scheduler* scheduler = SchedulerOf(worker);
  if (scheduler == nullptr) return;
  if (const auto* hold = std::get_if<job_event::HoldDone>(&answer)) {
    scheduler->OnHoldAnswer(hold->answer, now);
  } else if (const auto* start = std::get_if<job_event::StartDone>(&answer)) {
    scheduler->OnStartAnswer(start->answer, now);
  } else if (const auto* stop = std::get_if<job_event::StopDone>(&answer)) {
    scheduler->OnStopAnswer(stop->answer, now);
  } else if (const auto* pace = std::get_if<job_event::PaceDone>(&answer)) {
    scheduler->OnPaceAnswer(pace->answer, now);
  }
}

void JobNode::Impl::OnEvent(const job_event::PeerMessage& message, const Now& now) {
  try {
    PeerMessageBody decoded = DecodePeerMessage(message.bytes);
    if (IsForOtherProcess(decoded)) return;
    if (auto* orders = std::get_if<OrderBatch>(&decoded)) {
      order_relay_.OnOrders(std::move(*orders), now);
      for (WorkerOrder& order : order_relay_.TakeOrders())
        Emit(job_effect::Order{std::move(order)});
    } else if (auto* answers = std::get_if<AnswerBatch>(&decoded)) {
      for (const WorkerAnswer& answer : relay_pool_.OnAnswers(std::move(*answers))) {
        OnOrderAnswer(answer, now);
      }
    } else if (auto* submission = std::get_if<Submission>(&decoded)) {
      CellAt(submission->cell).OnSubmission(std::move(*submission));
    } else if (const auto* stored = std::get_if<SubmissionStored>(&decoded)) {
      CellAt(stored->cell).OnSubmissionStored(*stored, now);
    } else if (const auto* notice = std::get_if<OwnershipNotice>(&decoded)) {
      OnOwnershipNotice(*notice, now);
    } else if (const auto* answer = std::get_if<OwnershipAnswer>(&decoded)) {
      CellAt(answer->cell).OnOwnershipAnswer(*answer, now);
    } else if (auto* room = std::get_if<CellRoom>(&decoded)) {
      OnCellRoom(std::move(*room), now);
    } else if (const auto* handed_over = std::get_if<HandOverNotice>(&decoded)) {
      CellAt(handed_over->home_cell).RequestReadAfter(now.monotonic);
    }
  } catch (const DecodeError& error) {
    counters_.Add("cactusshelf_unreadable_peer_messages_total", "malformed");
    Log(LogEvent(LogLevel::kWarning, "peer_message_skipped").With("reason", error.what()));
  }
}

bool JobNode::Impl::IsForOtherProcess(const PeerMessageBody& message) {
  const std::optional<std::string> asker = AskerOf(message);
  if (!asker || *asker == options_.member) return false;
  const std::string reason = asker->empty() ? "no_member" : "other_member";
  counters_.Add("cactusshelf_peer_messages_refused_total", reason);
  Log(LogEvent(LogLevel::kInfo, "peer_message_refused")
          .With("reason", reason)
          .With("asked_by", *asker)
          .With("member", options_.member));
  return true;
}

void JobNode::Impl::OnCellRoom(CellRoom room, const Now& now) {
  if (room.cell < 0 || room.cell >= Scheduler::kMaxCells)
    throw DecodeError("cell room: no cell " + std::to_string(room.cell));
  cell_choice_.OnReport(std::move(room), now.monotonic);
}

void JobNode::Impl::OnOwnershipNotice(const OwnershipNotice& notice, const Now& now) {
  if (notice.cell < 0 || notice.cell >= Scheduler::kMaxCells)
    throw DecodeError("ownership notice: no cell " + std::to_string(notice.cell));
  // No vote is given for a cell that this process does not follow yet.
  if (static_cast<std::size_t>(notice.cell) >= cells_.size()) return;
  OwnershipAnswer answer = CellAt(notice.cell).AnswerNotice(notice, now);
  answer.uptime = now.monotonic - started_at_;
  Emit(job_effect::SendToPeer{notice.reply_address, Encode(answer)});
}

void JobNode::Impl::OnEvent(const job_event::Timer& /*timer*/, const Now& /*now*/) {}

void JobNode::Impl::OnEvent(const job_event::DrainRequested& /*drain*/, const Now& now) {
  if (!drain_started_at_) drain_started_at_ = now.monotonic;
  node_state_.draining = true;
}

void JobNode::Impl::Advance(const Now& now) {
  for (const WorkerAnswer& answer : relay_pool_.TakeLostOrders(now.monotonic))
    OnOrderAnswer(answer, now);
  CreateCells();
  node_state_.cell_count = static_cast<int>(cells_.size());
  node_state_.hosts = &cells_.front()->log_view().hosts();
  CheckVersionsOfHosts();
  ChooseCellCount(now);
  node_state_.claimed_cells = static_cast<int>(std::count_if(
      cells_.begin(), cells_.end(), [](const auto& it) { return it->owned_or_claimed(); }));
  for (const auto& cell : cells_) {
    const bool was_claimed = cell->owned_or_claimed();
    cell->Advance(node_state_, now);
    // A claim for one cell delays those for the next ones.
    if (cell->owned_or_claimed() != was_claimed) node_state_.claimed_cells += was_claimed ? -1 : 1;
    CollectEffects(*cell, now);
  }
  ConnectCells(now);
  const bool was_owner = is_owner();
  node_state_.owned_cells = static_cast<int>(std::count_if(
      cells_.begin(), cells_.end(), [](const auto& it) { return it->scheduler() != nullptr; }));
  if (is_owner() != was_owner) ForgetWorkerList(now);
  AnnounceWorkersToNewOwners(now);
  ReplyToPendingReads(now);
  IssueReads(now);
  AdvanceRelaying(now);
  StopIfDrained(now);
}

void JobNode::Impl::CheckVersionsOfHosts() {
  const std::uint64_t announcements = cells_.front()->log_view().host_announcement_count();
  if (std::exchange(announcements_checked_, announcements) == announcements) return;
  const auto& hosts = *node_state_.hosts;
  node_state_.hosts_hand_over_jobs = std::all_of(
      hosts.begin(), hosts.end(), [](const auto& it) { return it.second.hands_over_jobs; });
  node_state_.hosts_read_task_numbers = std::all_of(
      hosts.begin(), hosts.end(), [](const auto& it) { return it.second.reads_task_numbers; });
}

void JobNode::Impl::ConnectCells(const Now& now) {
  if (cells_.size() == 1) return;
  for (std::size_t i = 0; i < cells_.size(); ++i) {
    JobCell& cell = *cells_[i];
    for (const int awaited : cell.request_handler().AwaitedCells(now.monotonic))
      CellAt(awaited).RequestRefresh(now.monotonic);
    for (const int target : cell.TakeCellsToNotify()) NotifyOwner(target, static_cast<int>(i), now);
    if (const auto room = cell.TakeRoomReport(now)) ReportRoom(*room, now);
  }
}

void JobNode::Impl::ReportRoom(const CellRoom& room, const Now& now) {
  cell_choice_.OnReport(room, now.monotonic);
  std::set<std::string> addresses;
  for (const auto& cell : cells_) addresses.insert(cell->OwnerAddress(node_state_));
  for (const std::string& address : addresses) {
    if (!address.empty() && address != options_.peer_address)
      Emit(job_effect::SendToPeer{address, Encode(room)});
  }
}

void JobNode::Impl::NotifyOwner(int cell, int home_cell, const Now& now) {
  const std::string address = CellAt(cell).OwnerAddress(node_state_);
  if (address == options_.peer_address) {
    CellAt(home_cell).RequestReadAfter(now.monotonic);
  } else if (!address.empty()) {
    Emit(job_effect::SendToPeer{address, Encode(HandOverNotice{home_cell})});
  }
}

void JobNode::Impl::CollectEffects(JobCell& cell, const Now& now) {
  for (JobEffect& effect : cell.TakeEffects()) {
    if (auto* order = std::get_if<job_effect::Order>(&effect)) {
      SendOrder(std::move(order->order), now);
    } else {
      effects_.push_back(std::move(effect));
    }
  }
}

void JobNode::Impl::SendOrder(WorkerOrder order, const Now& now) {
  std::optional<WorkerOrder> unrelayed = relay_pool_.Send(std::move(order), now.monotonic);
  if (unrelayed) Emit(job_effect::Order{std::move(*unrelayed)});
}

void JobNode::Impl::AdvanceRelaying(const Now& now) {
  if (options_.peer_address.empty()) return;
  AnnounceHost(now);
  UpdateRelayProbing(now);
  if (uses_relays_) {
    for (WorkerOrder& order : relay_pool_.TakeUnrelayedOrders(now.monotonic))
      Emit(job_effect::Order{std::move(order)});
    for (auto& message : relay_pool_.TakeMessages(now.monotonic)) Emit(std::move(message));
  }
  for (auto& message : order_relay_.TakeMessages(node_state_.draining, now))
    Emit(std::move(message));
  for (LogEvent& event : relay_pool_.TakeLog()) Log(std::move(event));
}

void JobNode::Impl::UpdateRelayProbing(const Now& now) {
  const bool uses_relays = node_state_.claimed_cells > 0;
  const bool began = uses_relays && !uses_relays_;
  if (!uses_relays && uses_relays_) relay_pool_.EndProbing();
  uses_relays_ = uses_relays;
  if (!uses_relays) return;
  const JobLogView& log_view = cells_.front()->log_view();
  const std::uint64_t announcements = log_view.host_announcement_count();
  if (std::exchange(announcements_applied_, announcements) != announcements)
    relay_pool_.SetHosts(log_view.hosts());
  if (began) relay_pool_.BeginProbing(now.monotonic);
}

// Stores this host in the first cell's log, from which owners learn of its relay.
void JobNode::Impl::AnnounceHost(const Now& now) {
  const JobCell& first = *cells_.front();
  const bool due = announcement_ == Announcement::kWanted && now.monotonic >= next_announcement_at_;
  if (!due || !first.follower().loaded() || node_state_.draining) return;
  const HostRecord self = LocalHostRecord(options_);
  const auto& hosts = first.log_view().hosts();
  const auto it = hosts.find(self.host);
  if (it != hosts.end() && it->second == self) {
    announcement_ = Announcement::kStored;
    return;
  }
  announcement_ = Announcement::kInFlight;
  Emit(job_effect::Append{0, kAnnouncementAppendId, {Encode(self)}, "", 0, 0});
}

void JobNode::Impl::CreateCells() {
  const int n = cells_.front()->log_view().cell_count();
  while (static_cast<int>(cells_.size()) < n) {
    cells_.push_back(std::make_unique<JobCell>(static_cast<int>(cells_.size()), options_,
                                               random_.Next(), cell_views_, cell_choice_));
  }
}

// The owner of the first cell decides the number of cells once, from the full list of workers; it
// does not change afterwards.
void JobNode::Impl::ChooseCellCount(const Now& now) {
  JobCell& first = *cells_.front();
  if (first.scheduler() == nullptr || first.log_view().cell_count() > 0 || listed_workers_.empty())
    return;
  if (!workers_follower_.loaded()) return;
  if (now.monotonic - worker_list_changed_at_ < kWorkerListSettleTime) return;
  first.StoreLayout(CellCountFor(listed_workers_.size(), options_));
}

void JobNode::Impl::EmitRead(const std::optional<StreamFollower::Request>& request) {
  if (!request) return;
  std::visit([this](const auto& read) { Emit(read); }, *request);
}

void JobNode::Impl::IssueReads(const Now& now) {
  EmitRead(configuration_follower_.NextRequest(now.monotonic));
  if (!is_owner()) return;
  const bool undecided = cells_.front()->log_view().cell_count() == 0;
  workers_follower_.SetReadTiming(
      undecided ? kInitialWorkerListPeriod : options_.worker_list_period, Duration::zero());
  EmitRead(workers_follower_.NextRequest(now.monotonic));
}

void JobNode::Impl::StopIfDrained(const Now& now) {
  if (!drain_started_at_ || stop_sent_) return;
  const Duration drained = now.monotonic - *drain_started_at_;
  if (drained < options_.min_drain_time) return;
  const bool idle = std::all_of(cells_.begin(), cells_.end(),
                                [](const auto& it) { return it->request_handler().idle(); });
  const bool out_of_time = drained >= options_.min_drain_time * 2;
  if (!out_of_time && (!idle || is_owner())) return;
  stop_sent_ = true;
  Emit(job_effect::Stop{});
}

std::string JobNode::Impl::Metrics() const {
  Counters all = counters_;
  all.Merge(relay_pool_.counters());
  all.Merge(order_relay_.counters());
  for (const auto& cell : cells_) {
    all.Merge(cell->counters());
    all.Merge(cell->request_handler().counters());
    if (cell->scheduler() != nullptr) all.Merge(cell->scheduler()->counters());
  }
  std::string text = all.Format();
  for (std::size_t i = 0; i < cells_.size(); ++i) {
    const std::string name = "cactusshelf_reply_seconds_cell_" + std::to_string(i);
    text += cells_[i]->request_handler().reply_latency().Format(name);
  }
  return text;
}

}  // namespace cactusshelf::jobs
