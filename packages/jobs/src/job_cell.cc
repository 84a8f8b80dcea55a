#include "job_cell.h"

#include <algorithm>
#include <utility>

#include "cactusshelf/base/errors.h"
#include "cactusshelf/base/random.h"
#include "cactusshelf/base/rendezvous.h"

namespace cactusshelf::jobs {
namespace {

constexpr char kOwnerProducer[] = "owner";
// Append IDs are made of the cell's index, the owner's epoch and a counter, from the highest bits
// to the lowest. The request handler uses epoch 0 and claims use the upper half of the epochs.
constexpr int kCellShift = 50;
constexpr int kEpochShift = 20;
constexpr std::uint64_t kFirstClaimAppendId = std::uint64_t{1} << (kCellShift - 1);
// Interval between two reads of the log by the owner. Each read may return many records.
constexpr Duration kOwnerReadPeriod = std::chrono::milliseconds(40);
// Least interval between two reads of a cell's log by other processes if there are several cells.
constexpr Duration kMultiCellFollowPeriod = std::chrono::milliseconds(700);
constexpr std::size_t kMaxDropRecordsPerAppend = 64;
// Limit on the submitted records in one append of the owner.
constexpr std::size_t kMaxSubmittedBytesPerAppend = std::size_t{1} << 20;
// Time between two notices of the ownership, and while the votes of the other hosts are needed.
constexpr Duration kNoticePeriod = std::chrono::milliseconds(1000);
constexpr Duration kUrgentNoticePeriod = std::chrono::milliseconds(150);
// Cells are spread over the processes: a process that already owns or claims cells, or that ranks
// low in the cell's rendezvous order of hosts, claims later. An owner reads the logs more often
// than others, so it leaves them the time to read that a cell has no owner and to claim it.
constexpr Duration kClaimDelayPerCell = std::chrono::milliseconds(2000);
constexpr Duration kMaxClaimDelayByRank = std::chrono::milliseconds(300);

ElectionOptions ElectionOptionsOf(const JobNodeOptions& options, int index) {
  ElectionOptions election;
  election.owner_silence = options.owner_silence;
  election.claim_jitter = options.election_jitter;
  election.max_read_gap = std::max(options.follow_period, kMultiCellFollowPeriod) * 3;
  const double rank = ToUnitInterval(RendezvousWeight(options.host, std::to_string(index)));
  const auto by_rank = std::chrono::duration<double, Duration::period>(kMaxClaimDelayByRank) * rank;
  election.claim_delay = options.standby_delay + std::chrono::duration_cast<Duration>(by_rank);
  return election;
}

std::uint64_t FirstAppendId(int index) {
  return (static_cast<std::uint64_t>(index) << kCellShift) + 1;
}

}  // namespace

int CellIndexOf(const std::string& name, int cells) {
  if (cells <= 1) return 0;
  return static_cast<int>(RendezvousWeight("cell", name) % static_cast<std::uint64_t>(cells));
}

JobCell::JobCell(int index, const JobNodeOptions& options, std::uint64_t seed, CellViews& cells,
                 CellChoice& cell_choice)
    : index_(index),
      options_(options),
      cells_(cells),
      cell_choice_(cell_choice),
      first_append_id_(FirstAppendId(index)),
      follower_(Stream::kJobs),
      election_(ElectionOptionsOf(options, index), options.member, options.host, seed),
      request_handler_(JobRequestHandlerOptions{}, options.member, first_append_id_, log_view_,
                       cells),
      next_claim_append_id_(first_append_id_ + kFirstClaimAppendId) {
  cells_.Add(log_view_, follower_);
}

void JobCell::Log(LogEvent event) {
  event.With("cell", index_);
  Emit(job_effect::WriteLogEvent{std::move(event)});
}

void JobCell::EmitAppend(job_effect::Append append) {
  append.cell = index_;
  Emit(std::move(append));
}

std::vector<JobEffect> JobCell::TakeEffects() { return std::exchange(effects_, {}); }

bool JobCell::StoreUsable(Time now) const {
  return follower_.loaded() && follower_.UnansweredFor(now) <= options_.store_read_timeout;
}

void JobCell::RequestRefresh(Time now) {
  refresh_requested_ = true;
  if (follower_.loaded()) follower_.ScheduleReadNow(now);
}

void JobCell::OnPaused(const Now& now) {
  follower_.ScheduleReadNow(now.monotonic);
  if (scheduler_) scheduler_->OnPaused(now);
}

void JobCell::OnQueuesChanged(const QueueTable& queues) {
  if (!scheduler_) return;
  for (const QueueRoute& route : queues.routes()) {
    scheduler_->SetQueueService(route.policy.name, route.policy.service);
  }
}

void JobCell::OnRead(job_event::StreamRead& read, const NodeState& state, const Now& now) {
  const bool current = follower_.OnRead(read, now.monotonic);
  log_view_.SetListing(follower_.listing());
  log_view_.SetReadTime(now.monotonic);
  if (!current) return;
  bool owner_active = false;
  for (const KeyedRecord& record : read.job_records) {
    const RecordWriter writer = ApplyRecord(record, now);
    if (writer == RecordWriter::kOwner) last_other_owner_record_at_ = now.monotonic;
    owner_active = owner_active || (writer != RecordWriter::kHost && !read.newest);
  }
  if (!follower_.loaded()) return;
  if (read.newest) DropJobsMissingFromListing();
  if (!read.has_more) refresh_requested_ = false;
  if (needed_at_ && follower_.fresh_at() >= *needed_at_) needed_at_.reset();
  // The rest of the log may hold records of the owner.
  if (owner_active || !read.has_more) election_.OnRead(owner_active, now.monotonic);
  voter_.OnLogRead(follower_.fresh_at(), follower_.next_offset(), log_view_.owner().epoch);
  if (scheduler_ && log_view_.owner().epoch > ownership_.epoch) StepDown("replaced", now);
  if (scheduler_) scheduler_->ConfirmOwnership(follower_.fresh_at());
  AdvanceCandidacy(state, now);
  request_handler_.OnLogViewFresh(follower_.fresh_at(), now.monotonic);
}

void JobCell::DropJobsMissingFromListing() {
  const std::vector<JobKey> missing = log_view_.DropJobsMissingFromListing();
  for (const JobKey& key : missing) ForgetDroppedJob(key);
  Log(LogEvent(LogLevel::kInfo, "jobs_listed")
          .With("listing", follower_.listing())
          .With("jobs", log_view_.entries().size())
          .With("dropped", missing.size()));
}

void JobCell::ForgetDroppedJob(const JobKey& key) {
  finished_at_.erase(key);
  if (scheduler_) scheduler_->OnJobDropped(key);
}

JobCell::RecordWriter JobCell::ApplyRecord(const KeyedRecord& record, const Now& now) {
  try {
    JobLogRecord decoded = DecodeJobLogRecord(record);
    const auto* submitted = std::get_if<SubmittedJob>(&decoded);
    const auto* cancelled = std::get_if<CancelRecord>(&decoded);
    const auto* progress = std::get_if<ProgressRecord>(&decoded);
    const auto* dropped = std::get_if<DropRecord>(&decoded);
    if (progress != nullptr && IsFinal(progress->progress.state)) {
      finished_at_.try_emplace(progress->key, now.monotonic);
    }
    if (dropped != nullptr) ForgetDroppedJob(dropped->key);
    const bool of_host = std::holds_alternative<HostRecord>(decoded);
    const auto* claim = std::get_if<OwnerRecord>(&decoded);
    // An owner's own record has its epoch.
    const bool claimant_or_self =
        claim != nullptr && (claim->epoch == 0 || claim->member == options_.member);
    const JobKey submitted_key = submitted != nullptr ? submitted->key : JobKey();
    const JobKey cancelled_key = cancelled != nullptr ? cancelled->key : JobKey();
    log_view_.Apply(std::move(decoded), record.offset);
    if (scheduler_ && !submitted_key.empty()) {
      const JobLogView::Entry* entry = log_view_.Find(submitted_key);
      const bool runs_here = entry != nullptr && !entry->handed_over_to;
      if (runs_here && !IsFinal(JobLogView::StateOf(*entry))) {
        scheduler_->OnJob(entry->job, now);
        if (IsCancelledAtHome(*entry)) scheduler_->OnCancel(submitted_key, now);
      }
    }
    if (scheduler_ && !cancelled_key.empty()) OnCancelStored(cancelled_key, now);
    if (!submitted_key.empty() || !cancelled_key.empty() || of_host) return RecordWriter::kHost;
    return claimant_or_self ? RecordWriter::kClaimantOrSelf : RecordWriter::kOwner;
  } catch (const DecodeError& error) {
    counters_.Add("cactusshelf_unreadable_records_total", "jobs");
    Log(LogEvent(LogLevel::kWarning, "record_skipped")
            .With("stream", "jobs")
            .With("reason", record.key + ": " + error.what()));
    return RecordWriter::kHost;
  }
}

void JobCell::OnAppendDone(const job_event::AppendDone& done, const NodeState& state,
                           const Now& now) {
  if (request_handler_.OwnsAppend(done.append_id)) {
    request_handler_.OnAppendDone(done, now);
    // The owner applies a cancellation that it has stored without reading it back from the log,
    // because it may lose the store before that read.
    for (const JobKey& key : request_handler_.TakeCancelledJobs()) {
      if (scheduler_) OnCancelStored(key, now);
    }
  } else if (done.append_id == claim_append_id_) {
    OnClaimDone(done, state, now);
  } else if (owner_writer_ && owner_writer_->OwnsAppend(done.append_id)) {
    OnOwnerAppendDone(done, now);
  }
}

void JobCell::OnOwnerAppendDone(const job_event::AppendDone& done, const Now& now) {
  switch (owner_writer_->OnDone(done, now.monotonic)) {
    case BatchWriter::Result::kStored:
      last_owner_append_at_ = now.monotonic;
      ConfirmSubmissions(done.offset, now);
      if (candidacy_ == Candidacy::kFencing) {
        awaited_offset_ = done.offset;
        candidacy_ = Candidacy::kReading;
        RequestRefresh(now.monotonic);
      } else if (releasing_) {
        StepDown("released", now);
      } else {
        ConfirmStoredBatch();
        if (batch_in_flight_ != 0) scheduler_->OnStored(std::exchange(batch_in_flight_, 0), now);
        cells_to_notify_.merge(targets_of_batch_);
        targets_of_batch_.clear();
      }
      return;
    case BatchWriter::Result::kFenced:
      if (scheduler_) {
        StepDown("fenced_by_store", now);
      } else {
        AbandonCandidacy("fenced_by_store", now);
      }
      return;
    case BatchWriter::Result::kRefused:
    case BatchWriter::Result::kRetry:
      counters_.Add("cactusshelf_append_retries_total", done.reason);
      Log(LogEvent(LogLevel::kInfo, "owner_append_retry").With("reason", done.reason));
      return;
  }
}

void JobCell::ConfirmStoredBatch() {
  const Time started_at = owner_writer_->batch_started_at();
  if (started_at == last_heartbeat_at_) {
    scheduler_->ConfirmHeartbeat(started_at);
  } else {
    scheduler_->ConfirmOwnership(started_at);
  }
}

void JobCell::UpdateStoreAvailability(const Now& now) {
  const bool usable = StoreUsable(now.monotonic);
  if (usable == store_was_usable_) return;
  store_was_usable_ = usable;
  Log(LogEvent(usable ? LogLevel::kInfo : LogLevel::kWarning,
               usable ? "store_regained" : "store_lost"));
  if (!usable) request_handler_.OnLogViewStale(now.monotonic);
}

void JobCell::Advance(const NodeState& state, const Now& now) {
  multiple_cells_ = state.cell_count > 1;
  UpdateStoreAvailability(now);
  if (scheduler_ && scheduler_->fenced()) StepDown("fenced_by_worker", now);
  AdvanceElection(state, now);
  SendOwnershipNotices(state, now);
  if (scheduler_) {
    const bool may_hand_over = multiple_cells_ && state.hosts_hand_over_jobs;
    scheduler_->SetOtherCells(may_hand_over ? &cell_choice_ : nullptr);
    scheduler_->StoreTaskNumbers(state.hosts_read_task_numbers);
    TakeOverJobs(now);
    if (!releasing_) scheduler_->Decide(now);
    for (WorkerOrder& order : scheduler_->TakeOrders()) Emit(job_effect::Order{std::move(order)});
    for (LogEvent& event : scheduler_->TakeLog()) Log(std::move(event));
    AdvanceOwnerWrites(state, now);
  }
  request_handler_.Advance(now);
  RouteSubmissions(state);
  for (JobEffect& effect : request_handler_.TakeEffects()) {
    if (auto* append = std::get_if<job_effect::Append>(&effect)) append->cell = index_;
    Emit(std::move(effect));
  }
  IssueReads(now);
}

void JobCell::IssueReads(const Now& now) {
  if (request_handler_.needs_fresh_log_view() || refresh_requested_ || needed_at_) {
    follower_.SetReadTiming(Duration::zero(), Duration::zero());
    if (follower_.loaded()) follower_.ScheduleReadNow(now.monotonic);
  } else if (scheduler_) {
    follower_.SetReadTiming(kOwnerReadPeriod, options_.owner_read_wait);
  } else {
    follower_.SetReadTiming(FollowPeriod(), Duration::zero());
  }
  const auto request = follower_.NextRequest(now.monotonic);
  if (!request) return;
  if (const auto* records = std::get_if<job_effect::ReadRecords>(&*request)) {
    Emit(job_effect::ReadRecords{Stream::kJobs, index_, records->from, records->wait});
  } else if (const auto* newest = std::get_if<job_effect::ReadNewest>(&*request)) {
    Emit(job_effect::ReadNewest{Stream::kJobs, index_, newest->after_key});
  }
}

// If there are several cells, other processes own most of them, and each log is read less often.
Duration JobCell::FollowPeriod() const {
  return multiple_cells_ ? std::max(options_.follow_period, kMultiCellFollowPeriod)
                         : options_.follow_period;
}

void JobCell::AdvanceElection(const NodeState& state, const Now& now) {
  if (scheduler_ || state.draining || !follower_.loaded() || state.queues.version() == 0) return;
  const Duration claim_delay = kClaimDelayPerCell * state.claimed_cells;
  if (candidacy_ == Candidacy::kNone && election_.ShouldClaim(log_view_.owner(), claim_delay))
    ClaimOwnership();
  if (candidacy_ != Candidacy::kFencing) return;
  if (auto append = owner_writer_->NextAppend(now.monotonic)) EmitAppend(std::move(*append));
}

void JobCell::ClaimOwnership() {
  const OwnerRecord& last = log_view_.owner();
  predecessor_ended_ = last.released || last.host == options_.host;
  claim_ = {};
  claim_.generation = last.generation + 1;
  const auto kept_since = [this](std::int64_t earlier) {
    return earlier != 0 ? earlier : claim_.generation;
  };
  claim_.bound_since = kept_since(last.bound_since);
  claim_.limits_since = kept_since(last.limits_since);
  claim_.host_votes_since = kept_since(last.host_votes_since);
  claim_.member = options_.member;
  claim_.host = options_.host;
  claim_append_id_ = next_claim_append_id_++;
  candidacy_ = Candidacy::kClaiming;
  Log(LogEvent(LogLevel::kInfo, "owner_claim")
          .With("generation", claim_.generation)
          .With("previous", last.member));
  EmitAppend({index_, claim_append_id_, {Encode(claim_)}, "", 0, 0});
}

void JobCell::OnClaimDone(const job_event::AppendDone& done, const NodeState& state,
                          const Now& now) {
  claim_append_id_ = 0;
  if (candidacy_ != Candidacy::kClaiming) return;
  RequestRefresh(now.monotonic);
  if (done.outcome == job_event::AppendOutcome::kDone) {
    awaited_offset_ = done.offset;
    candidacy_ = Candidacy::kClaimStored;
    AdvanceCandidacy(state, now);
  } else {
    // A claim without an answer may still be stored; it is then found when the log is read.
    AbandonCandidacy(done.reason, now);
  }
}

void JobCell::AdvanceCandidacy(const NodeState& state, const Now& now) {
  if (scheduler_ || state.draining) return;
  const OwnerRecord& owner = log_view_.owner();
  const bool is_owner =
      owner.member == options_.member && !owner.released && owner.epoch >= voter_.epoch();
  const bool caught_up = follower_.next_offset() > awaited_offset_;
  switch (candidacy_) {
    case Candidacy::kNone:
      if (is_owner) BeginFencing(now);
      return;
    case Candidacy::kClaimStored:
      if (!caught_up) return;
      if (is_owner) {
        BeginFencing(now);
      } else {
        AbandonCandidacy("another_was_first", now);
      }
      return;
    case Candidacy::kReading:
      if (!is_owner || owner.epoch != claim_.epoch) {
        AbandonCandidacy("replaced", now);
      } else if (caught_up) {
        BecomeOwner(state, now);
      }
      return;
    case Candidacy::kClaiming:
    case Candidacy::kFencing:
      return;
  }
}

void JobCell::BeginFencing(const Now& now) {
  claim_ = log_view_.owner();
  const std::uint64_t first =
      first_append_id_ + (static_cast<std::uint64_t>(claim_.epoch) << kEpochShift);
  owner_writer_ = std::make_unique<BatchWriter>(kOwnerProducer, claim_.epoch, 0, first,
                                                BatchWriter::RetryPolicy::kRetryUntilStored);
  owner_writer_->Begin({Encode(claim_)}, now.monotonic);
  candidacy_ = Candidacy::kFencing;
}

void JobCell::BeginVoting(const Now& now) {
  OnEpochNoticed(claim_.epoch, now);
  host_votes_ = std::make_unique<HostVotes>(options_.host, options_.member, claim_.epoch,
                                            voter_.last_earlier_vote_at(), now.monotonic);
  last_notice_at_.reset();
}

void JobCell::AbandonCandidacy(std::string_view reason, const Now& now) {
  Log(LogEvent(LogLevel::kInfo, "owner_claim_failed")
          .With("generation", claim_.generation)
          .With("reason", std::string(reason)));
  candidacy_ = Candidacy::kNone;
  owner_writer_.reset();
  election_.Reset();
  RequestRefresh(now.monotonic);
}

void JobCell::BecomeOwner(const NodeState& state, const Now& now) {
  ownership_ = claim_;
  candidacy_ = Candidacy::kNone;
  releasing_ = false;
  ownership_gained_ = true;
  ownership_gained_at_ = now.monotonic;
  next_hand_over_check_ = {};
  BeginVoting(now);
  scheduler_ = std::make_unique<Scheduler>(
      options_.scheduler, index_, ownership_.epoch, ownership_.generation,
      EarlierOwners{predecessor_ended_, last_other_owner_record_at_, host_votes_.get()}, log_view_,
      now);
  scheduler_->ConfirmOwnership(follower_.fresh_at());
  // The append of the claim under its epoch.
  scheduler_->ConfirmHeartbeat(owner_writer_->batch_started_at());
  OnQueuesChanged(state.queues);
  counters_.Add("cactusshelf_ownership_changes_total", "gained");
  Log(LogEvent(LogLevel::kInfo, "owner_gained")
          .With("epoch", ownership_.epoch)
          .With("generation", ownership_.generation)
          .With("jobs", log_view_.entries().size()));
}

void JobCell::StepDown(std::string_view reason, const Now& now) {
  Log(LogEvent(LogLevel::kWarning, "owner_lost")
          .With("epoch", ownership_.epoch)
          .With("reason", std::string(reason))
          .With("newest_epoch", log_view_.owner().epoch));
  counters_.Add("cactusshelf_ownership_changes_total", reason);
  for (LogEvent& event : scheduler_->TakeLog()) Log(std::move(event));
  counters_.Merge(scheduler_->counters());
  scheduler_.reset();
  owner_writer_.reset();
  host_votes_.reset();
  voter_.Vote(ownership_.epoch, now.monotonic);
  batch_in_flight_ = 0;
  queued_submissions_.clear();
  submissions_in_flight_.clear();
  copies_in_flight_.clear();
  targets_of_batch_.clear();
  releasing_ = false;
  cell_count_to_store_ = 0;
  election_.Reset();
  RequestRefresh(now.monotonic);
}

void JobCell::AdvanceOwnerWrites(const NodeState& state, const Now& now) {
  if (!owner_writer_->busy()) BeginOwnerWrite(state, now);
  if (auto append = owner_writer_->NextAppend(now.monotonic)) EmitAppend(std::move(*append));
}

void JobCell::BeginOwnerWrite(const NodeState& state, const Now& now) {
  const Duration since_last_append = now.monotonic - last_owner_append_at_;
  std::vector<KeyedRecord> records;
  if (state.draining) {
    OwnerRecord record = ownership_;
    record.released = true;
    if (auto batch = scheduler_->TakeChanges(now)) records = std::move(batch->records);
    AddQueuedSubmissions(records);
    records.push_back(Encode(record));
    releasing_ = true;
  } else if (cell_count_to_store_ > 0 && log_view_.cell_count() == 0) {
    records.push_back(Encode(CellCountRecord{std::exchange(cell_count_to_store_, 0)}));
  } else if ((scheduler_->has_changes() || !queued_submissions_.empty()) &&
             since_last_append >= options_.store_period) {
    if (auto batch = scheduler_->TakeChanges(now)) {
      batch_in_flight_ = batch->id;
      records = std::move(batch->records);
      targets_of_batch_ = scheduler_->TakeHandOverTargets();
    }
    // Callers' requests alone are no sign of this owner.
    const bool heartbeat_due = now.monotonic - last_heartbeat_at_ >= options_.heartbeat_period;
    if (records.empty() && heartbeat_due) records.push_back(Encode(ownership_));
    if (!records.empty()) last_heartbeat_at_ = now.monotonic;
    AddQueuedSubmissions(records);
  } else if (since_last_append >= HeartbeatPeriod()) {
    records = DropRecordsOfExpiredJobs(now);
    if (records.empty()) records.push_back(Encode(ownership_));
    last_heartbeat_at_ = now.monotonic;
  }
  if (!records.empty()) owner_writer_->Begin(std::move(records), now.monotonic);
}

Duration JobCell::HeartbeatPeriod() const {
  return scheduler_->awaits_confirmation() ? options_.store_period : options_.heartbeat_period;
}

void JobCell::OnSubmission(Submission submission) {
  if (!scheduler_ || releasing_) return;
  const bool storable = std::all_of(submission.records.begin(), submission.records.end(),
                                    [](const KeyedRecord& it) { return IsStorable(it); });
  if (!storable) {
    counters_.Add("cactusshelf_submissions_refused_total", "record_too_large");
    Log(LogEvent(LogLevel::kWarning, "submission_refused")
            .With("submission", submission.id)
            .With("asked_by", submission.member)
            .With("reason", "record_too_large"));
    return;
  }
  queued_submissions_.push_back(std::move(submission));
}

void JobCell::OnSubmissionStored(const SubmissionStored& stored, const Now& now) {
  request_handler_.OnSubmissionStored(stored, now);
}

void JobCell::SendOwnershipNotices(const NodeState& state, const Now& now) {
  const bool can_ask = scheduler_ != nullptr && !options_.peer_address.empty();
  if (!can_ask || releasing_) return;
  const Duration period = scheduler_->needs_host_votes() ? kUrgentNoticePeriod : kNoticePeriod;
  if (last_notice_at_ && now.monotonic - *last_notice_at_ < period) return;
  last_notice_at_ = now.monotonic;
  const OwnershipNotice notice{options_.peer_address, index_, claim_.epoch,
                               now.monotonic.time_since_epoch()};
  const std::string bytes = Encode(notice);
  for (const auto& [name, host] : *state.hosts) {
    if (name != options_.host) Emit(job_effect::SendToPeer{host.peer_address, bytes});
  }
}

void JobCell::OnOwnershipAnswer(const OwnershipAnswer& answer, const Now& now) {
  OnEpochNoticed(answer.epoch, now);
  if (host_votes_) host_votes_->OnAnswer(answer, now.monotonic);
}

void JobCell::OnEpochNoticed(std::int64_t epoch, const Now& now) {
  const bool is_owner = scheduler_ != nullptr;
  const bool is_later = voter_.OnEpochNoticed(epoch, is_owner, now.monotonic);
  if (is_owner && is_later) StepDown("told_by_successor", now);
}

OwnershipAnswer JobCell::AnswerNotice(const OwnershipNotice& notice, const Now& now) {
  OnEpochNoticed(notice.epoch, now);
  voter_.Vote(notice.epoch, now.monotonic);
  OwnershipAnswer answer{options_.host, options_.member, index_, voter_.epoch()};
  answer.notice_sent_at = notice.sent_at;
  answer.since_earlier_vote = now.monotonic - voter_.last_earlier_vote_at();
  return answer;
}

// Passes the submissions of this host to the owner, which is this or another process.
void JobCell::RouteSubmissions(const NodeState& state) {
  const std::string owner_address = OwnerAddress(state);
  const bool known = !owner_address.empty();
  request_handler_.SetOwner(known && !options_.peer_address.empty() ? log_view_.owner().member
                                                                    : "");
  for (Submission& submission : request_handler_.TakeSubmissions()) {
    submission.cell = index_;
    submission.member = options_.member;
    if (scheduler_) {
      OnSubmission(std::move(submission));
    } else if (known) {
      submission.reply_address = options_.peer_address;
      Emit(job_effect::SendToPeer{owner_address, Encode(submission)});
    }
  }
}

std::string JobCell::OwnerAddress(const NodeState& state) const {
  const OwnerRecord& owner = log_view_.owner();
  const auto host = state.hosts->find(owner.host);
  const bool known = owner.epoch != 0 && !owner.released && host != state.hosts->end();
  return known ? host->second.peer_address : "";
}

void JobCell::AddQueuedSubmissions(std::vector<KeyedRecord>& records) {
  records_before_submissions_ = records.size();
  std::size_t bytes = 0;
  std::size_t n = 0;
  for (; n < queued_submissions_.size() && bytes < kMaxSubmittedBytesPerAppend; ++n) {
    for (const KeyedRecord& record : queued_submissions_[n].records) {
      bytes += record.value.size();
      records.push_back(record);
    }
  }
  const auto end = queued_submissions_.begin() + static_cast<std::ptrdiff_t>(n);
  submissions_in_flight_.assign(std::move_iterator(queued_submissions_.begin()),
                                std::move_iterator(end));
  queued_submissions_.erase(queued_submissions_.begin(), end);
}

// Applies the stored submissions without reading them back from the log, and confirms them.
void JobCell::ConfirmSubmissions(std::int64_t offset, const Now& now) {
  std::int64_t next = offset + static_cast<std::int64_t>(records_before_submissions_);
  for (Submission& submission : std::exchange(submissions_in_flight_, {})) {
    const SubmissionStored stored{index_, submission.id, next, submission.member, ownership_.epoch};
    for (KeyedRecord& record : submission.records) {
      record.offset = next++;
      ApplyRecord(record, now);
    }
    if (submission.reply_address.empty()) {
      request_handler_.OnSubmissionStored(stored, now);
    } else {
      Emit(job_effect::SendToPeer{submission.reply_address, Encode(stored)});
    }
  }
}

std::vector<KeyedRecord> JobCell::DropRecordsOfExpiredJobs(const Now& now) {
  std::vector<KeyedRecord> records;
  for (const auto& [key, finished_at] : finished_at_) {
    if (now.monotonic - finished_at < options_.status_retention || !MayDrop(key)) continue;
    for (KeyedRecord& record : EncodeDrop(key)) records.push_back(std::move(record));
    if (records.size() >= kMaxDropRecordsPerAppend) break;
  }
  return records;
}

}  // namespace cactusshelf::jobs
