#include "job_request_handler.h"

#include <algorithm>
#include <utility>

namespace cactusshelf::jobs {
namespace {

constexpr std::size_t kJobKeyDigits = 16;

// What the record of a job grows by at most if it is copied into the log of another cell.
constexpr std::size_t kMaxCopyBytes = 9;

std::string TooLargeMessage(const KeyedRecord& record) {
  return "body: the job takes " + std::to_string(record.value.size()) +
         " bytes to store, more than a record of " + std::to_string(kMaxRecordBytes) + " holds";
}

}  // namespace

bool IsJobKey(std::string_view text) {
  return text.size() == kJobKeyDigits && std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
         });
}

void JobRequestHandler::OnRequest(job_event::CallerRequest request, const QueueRoute& route,
                                  const JobKey& key, bool store_usable, const Now& now) {
  store_usable_ = store_usable;
  request.timeout = std::min(request.timeout, options_.max_request_timeout);
  if (request.verb == Verb::kSubmit) {
    HandleSubmit(request, route, key, now);
  } else {
    HandleRead(request, key, now);
  }
}

void JobRequestHandler::HandleSubmit(const job_event::CallerRequest& request,
                                     const QueueRoute& route, const JobKey& key, const Now& now) {
  const Time arrived = now.monotonic;
  if (const auto* malformed = std::get_if<MalformedBody>(&request.body)) {
    Reply(request.caller, key, ReplyKind::kMalformed, arrived, arrived, malformed->message);
    return;
  }
  const auto* spec = std::get_if<JobSpec>(&request.body);
  if (spec == nullptr) {
    Reply(request.caller, key, ReplyKind::kMalformed, arrived, arrived, "body: expected a job");
    return;
  }
  if (log_view_.Find(key) != nullptr) {
    Reply(request.caller, key, ReplyKind::kAccepted, arrived, arrived, "known");
    return;
  }
  if (!CanStore(arrived)) {
    Reply(request.caller, key, ReplyKind::kNotAccepted, arrived, arrived, "store_unreachable");
    return;
  }
  SubmittedJob job;
  job.key = key;
  job.queue = route.policy;
  job.spec = *spec;
  job.accepted = now.wall;
  KeyedRecord record = Encode(job);
  if (!IsStorable(record, kMaxCopyBytes)) {
    Reply(request.caller, key, ReplyKind::kMalformed, arrived, arrived, TooLargeMessage(record));
    return;
  }
  effects_.emplace_back(job_effect::WriteLogEvent{LogEvent(LogLevel::kInfo, "submission")
                                                      .With("job", key.str())
                                                      .With("queue", route.policy.name)
                                                      .With("steps", spec->steps.size())});
  PendingWrite write;
  write.caller = request.caller;
  write.key = key;
  write.verb = Verb::kSubmit;
  write.arrived = arrived;
  write.deadline = arrived + request.timeout - options_.reply_margin;
  write.record = std::move(record);
  EnqueueWrite(std::move(write), now);
}

void JobRequestHandler::HandleRead(const job_event::CallerRequest& request, const JobKey& key,
                                   const Now& now) {
  const PendingRead read{request.caller, key, request.verb, now.monotonic,
                         now.monotonic + request.timeout - options_.reply_margin};
  const JobLogView::Entry* entry = log_view_.Find(key);
  const bool is_final = entry != nullptr && IsFinal(cells_.StateOf(key, *entry));
  const bool known = entry != nullptr && (request.verb == Verb::kCancel || is_final);
  if (known || !store_usable_) {
    ReplyToRead(read, now);
  } else {
    pending_reads_.push_back(read);
  }
}

void JobRequestHandler::ReplyToRead(const PendingRead& read, const Now& now) {
  const JobLogView::Entry* entry = log_view_.Find(read.key);
  if (entry == nullptr) {
    // While the store is unreachable, the job may exist without being in this host's view.
    const bool fresh = store_usable_;
    Reply(read.caller, read.key, fresh ? ReplyKind::kNoJob : ReplyKind::kNotAccepted, read.arrived,
          now.monotonic, fresh ? "" : "store_unreachable");
    return;
  }
  const JobState state = cells_.StateOf(read.key, *entry);
  if (read.verb == Verb::kRead) {
    Reply(read.caller, read.key, ReplyKind::kState, read.arrived, now.monotonic, "", state);
    return;
  }
  if (IsFinal(state)) {
    Reply(read.caller, read.key, ReplyKind::kCancelled, read.arrived, now.monotonic, "over");
    return;
  }
  HandleCancel(read, now);
}

void JobRequestHandler::HandleCancel(const PendingRead& read, const Now& now) {
  if (!CanStore(now.monotonic)) {
    Reply(read.caller, read.key, ReplyKind::kNotAccepted, read.arrived, now.monotonic,
          "store_unreachable");
    return;
  }
  PendingWrite write;
  write.caller = read.caller;
  write.key = read.key;
  write.verb = Verb::kCancel;
  write.arrived = read.arrived;
  write.deadline = read.deadline;
  write.record = Encode(CancelRecord{read.key});
  EnqueueWrite(std::move(write), now);
}

bool JobRequestHandler::AppendStalled(Time now) const {
  return writer_.has_unanswered_append() &&
         now - writer_.batch_started_at() > options_.append_timeout;
}

void JobRequestHandler::EnqueueWrite(PendingWrite write, const Now& now) {
  if (AppendStalled(now.monotonic) && !OwnerAvailable(now.monotonic)) {
    Reply(write.caller, write.key, ReplyKind::kNotAccepted, write.arrived, now.monotonic,
          "store_blocked");
    return;
  }
  if (queued_writes_.size() >= options_.max_queued_writes) {
    Reply(write.caller, write.key, ReplyKind::kNotAccepted, write.arrived, now.monotonic,
          "too_many_waiting");
    return;
  }
  queued_writes_.push_back(std::move(write));
}

void JobRequestHandler::OnCallerDisconnected(CallerId caller) {
  const auto of_caller = [caller](const auto& it) { return it.caller == caller; };
  std::erase_if(queued_writes_, of_caller);
  std::erase_if(pending_reads_, of_caller);
  std::erase_if(appending_writes_, of_caller);
  for (auto& [id, batch] : submitted_batches_) std::erase_if(batch.writes, of_caller);
}

void JobRequestHandler::SetOwner(const std::string& member) {
  if (owner_ == member) return;
  owner_ = member;
  owner_backoff_until_ = {};
}

void JobRequestHandler::SubmitToOwner(Time now) {
  Submission submission;
  submission.id = next_submission_++;
  SubmittedBatch batch;
  batch.submitted_at = now;
  std::size_t bytes = 0;
  std::erase_if(queued_writes_, [&](PendingWrite& it) {
    if (it.may_be_stored || bytes >= options_.max_batch_bytes) return false;
    bytes += it.record.value.size();
    submission.records.push_back(it.record);
    batch.writes.push_back(std::move(it));
    return true;
  });
  if (submission.records.empty()) return;
  submitted_batches_.emplace(submission.id, std::move(batch));
  submissions_.push_back(std::move(submission));
}

void JobRequestHandler::RequeueUnconfirmed(Time now) {
  for (auto it = submitted_batches_.begin(); it != submitted_batches_.end();) {
    if (now - it->second.submitted_at < options_.owner_confirm_timeout) {
      ++it;
      continue;
    }
    effects_.emplace_back(
        job_effect::WriteLogEvent{LogEvent(LogLevel::kWarning, "submission_not_confirmed")
                                      .With("owner", owner_)
                                      .With("requests", it->second.writes.size())});
    counters_.Add("cactusshelf_submissions_not_confirmed_total", "owner_silent");
    owner_backoff_until_ = now + options_.owner_backoff;
    for (PendingWrite& write : it->second.writes) {
      write.may_be_stored = true;
      queued_writes_.push_back(std::move(write));
    }
    it = submitted_batches_.erase(it);
  }
}

void JobRequestHandler::OnSubmissionStored(const SubmissionStored& stored, const Now& now) {
  const auto it = submitted_batches_.find(stored.id);
  const bool known = it != submitted_batches_.end();
  effects_.emplace_back(
      job_effect::WriteLogEvent{LogEvent(LogLevel::kInfo, "submission_confirmed")
                                    .With("submission", stored.id)
                                    .With("asked_by", stored.asker)
                                    .With("epoch", stored.epoch)
                                    .With("offset", stored.offset)
                                    .With("requests", known ? it->second.writes.size() : 0)});
  if (!known) return;
  for (const PendingWrite& write : it->second.writes)
    ReplyStored(write, stored.offset, now.monotonic);
  submitted_batches_.erase(it);
}

void JobRequestHandler::ReplyStored(const PendingWrite& write, std::int64_t offset, Time now) {
  const bool submitted = write.verb == Verb::kSubmit;
  if (!submitted) cancelled_jobs_.push_back(write.key);
  Reply(write.caller, write.key, submitted ? ReplyKind::kAccepted : ReplyKind::kCancelled,
        write.arrived, now, "offset " + std::to_string(offset));
}

void JobRequestHandler::OnLogViewFresh(Time fresh_at, Time now) {
  store_usable_ = true;
  log_view_fresh_at_ = fresh_at;
  ReplyToFreshReads({now, {}});
}

void JobRequestHandler::ReplyToFreshReads(const Now& now) {
  std::vector<PendingRead> ready;
  std::erase_if(pending_reads_, [&](const PendingRead& read) {
    if (read.arrived > log_view_fresh_at_ || AwaitedCell(read, now.monotonic)) return false;
    ready.push_back(read);
    return true;
  });
  for (const PendingRead& read : ready) ReplyToRead(read, now);
}

bool JobRequestHandler::needs_fresh_log_view() const {
  return std::any_of(pending_reads_.begin(), pending_reads_.end(),
                     [this](const PendingRead& it) { return it.arrived > log_view_fresh_at_; });
}

std::optional<int> JobRequestHandler::AwaitedCell(const PendingRead& read, Time now) const {
  const JobLogView::Entry* entry = log_view_.Find(read.key);
  if (entry == nullptr || !entry->handed_over_to) return std::nullopt;
  const int cell = *entry->handed_over_to;
  const bool known = cells_.FreshAt(cell) >= read.arrived ||
                     IsFinal(cells_.StateOf(read.key, *entry)) ||
                     cells_.IsUnreadableFor(cell, options_.other_log_timeout, now);
  return known ? std::nullopt : std::optional(cell);
}

std::set<int> JobRequestHandler::AwaitedCells(Time now) const {
  std::set<int> cells;
  for (const PendingRead& read : pending_reads_) {
    if (const auto cell = AwaitedCell(read, now)) cells.insert(*cell);
  }
  return cells;
}

void JobRequestHandler::OnLogViewStale(Time now) {
  store_usable_ = false;
  for (const PendingRead& read : std::exchange(pending_reads_, {})) ReplyToRead(read, {now, {}});
}

void JobRequestHandler::BeginAppend(const Now& now) {
  std::vector<KeyedRecord> records;
  std::size_t bytes = 0;
  std::size_t n = 0;
  while (n < queued_writes_.size() && bytes < options_.max_batch_bytes) {
    bytes += queued_writes_[n].record.value.size();
    records.push_back(queued_writes_[n].record);
    appending_writes_.push_back(std::move(queued_writes_[n]));
    ++n;
  }
  queued_writes_.erase(queued_writes_.begin(),
                       queued_writes_.begin() + static_cast<std::ptrdiff_t>(n));
  writer_.Begin(std::move(records), now.monotonic);
}

void JobRequestHandler::OnAppendDone(const job_event::AppendDone& done, const Now& now) {
  const BatchWriter::Result result = writer_.OnDone(done, now.monotonic);
  if (result == BatchWriter::Result::kRetry) {
    counters_.Add("cactusshelf_append_retries_total", done.reason);
    effects_.emplace_back(
        job_effect::WriteLogEvent{LogEvent(LogLevel::kWarning, "append_retry")
                                      .With("reason", done.reason)
                                      .With("requests", appending_writes_.size())});
    return;
  }
  if (result == BatchWriter::Result::kRefused) {
    next_append_at_ = now.monotonic + options_.append_retry_delay;
  }
  for (PendingWrite& write : std::exchange(appending_writes_, {})) {
    if (result == BatchWriter::Result::kStored) {
      ReplyStored(write, done.offset, now.monotonic);
    } else if (write.may_be_stored) {
      queued_writes_.push_back(std::move(write));
    } else {
      Reply(write.caller, write.key, ReplyKind::kNotAccepted, write.arrived, now.monotonic,
            "store_refused");
    }
  }
}

void JobRequestHandler::ReplyToExpired(Time now) {
  const auto expire = [&](auto& requests, const auto& kind_of) {
    std::erase_if(requests, [&](const auto& it) {
      if (now < it.deadline) return false;
      Reply(it.caller, it.key, kind_of(it), it.arrived, now, "timeout");
      return true;
    });
  };
  const auto reply_unknown = [](const PendingWrite&) { return ReplyKind::kUnknown; };
  expire(queued_writes_, [](const PendingWrite& it) {
    return it.may_be_stored ? ReplyKind::kUnknown : ReplyKind::kNotAccepted;
  });
  expire(appending_writes_, reply_unknown);
  for (auto& [id, batch] : submitted_batches_) expire(batch.writes, reply_unknown);
  expire(pending_reads_, [](const PendingRead&) { return ReplyKind::kNotAccepted; });
}

void JobRequestHandler::Advance(const Now& now) {
  const Time time = now.monotonic;
  if (!pending_reads_.empty()) ReplyToFreshReads(now);
  ReplyToExpired(time);
  RequeueUnconfirmed(time);
  if (OwnerAvailable(time)) {
    SubmitToOwner(time);
  } else if (AppendStalled(time)) {
    std::erase_if(queued_writes_, [&](const PendingWrite& it) {
      if (it.may_be_stored) return false;
      Reply(it.caller, it.key, ReplyKind::kNotAccepted, it.arrived, time, "store_blocked");
      return true;
    });
  }
  if (!writer_.busy() && !queued_writes_.empty() && time >= next_append_at_) BeginAppend(now);
  if (auto append = writer_.NextAppend(time)) effects_.emplace_back(std::move(*append));
}

void JobRequestHandler::Reply(CallerId caller, const JobKey& key, ReplyKind kind, Time arrived,
                              Time now, std::string message, JobState state) {
  counters_.Add("cactusshelf_replies_total", ToString(kind));
  if (kind == ReplyKind::kNotAccepted) counters_.Add("cactusshelf_refusals_total", message);
  reply_latency_.Add(now - arrived);
  LogEvent event(LogLevel::kInfo, "reply");
  event.With("job", key.str()).With("outcome", std::string(ToString(kind)));
  event.With("ms", ToMilliseconds(now - arrived));
  if (kind == ReplyKind::kState) event.With("state", std::string(ToString(state)));
  if (!message.empty()) event.With("detail", message);
  effects_.emplace_back(job_effect::WriteLogEvent{std::move(event)});
  effects_.emplace_back(
      job_effect::Reply{caller, kind, state, 0, options_.retry_after, std::move(message)});
}

std::vector<JobEffect> JobRequestHandler::TakeEffects() { return std::exchange(effects_, {}); }

}  // namespace cactusshelf::jobs
