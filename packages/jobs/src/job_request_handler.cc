#include "job_request_handler.h"

#include <algorithm>
#include <utility>

namespace cactusshelf::jobs {
namespace {

constexpr std::size_t kKeyDigits = 16;

}  // namespace

bool IsJobKey(std::string_view text) {
  return text.size() == kKeyDigits && std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
         });
}

void JobRequestHandler::OnRequest(job_event::CallerRequest request, const QueueRoute& route,
                                  const JobKey& key, bool store_usable, const Now& now) {
  store_usable_ = store_usable;
  request.timeout = std::min(request.timeout, options_.longest_wait);
  if (request.verb == Verb::kSubmit) {
    Submit(request, route, key, now);
  } else {
    Read(request, key, now);
  }
}

void JobRequestHandler::Submit(const job_event::CallerRequest& request, const QueueRoute& route,
                               const JobKey& key, const Now& now) {
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
  effects_.emplace_back(job_effect::WriteLogEvent{LogEvent(LogLevel::kInfo, "submission")
                                                      .With("job", key.str())
                                                      .With("queue", route.policy.name)
                                                      .With("steps", spec->steps.size())});
  SubmittedJob job;
  job.key = key;
  job.queue = route.policy;
  job.spec = *spec;
  job.accepted = now.wall;
  Waiter waiter;
  waiter.caller = request.caller;
  waiter.key = key;
  waiter.verb = Verb::kSubmit;
  waiter.arrived = arrived;
  waiter.deadline = arrived + request.timeout - options_.answer_margin;
  waiter.record = Encode(job);
  Store(std::move(waiter), now);
}

void JobRequestHandler::Read(const job_event::CallerRequest& request, const JobKey& key,
                             const Now& now) {
  const Reader reader{request.caller, key, request.verb, now.monotonic,
                      now.monotonic + request.timeout - options_.answer_margin};
  const JobLogView::Entry* entry = log_view_.Find(key);
  const bool over = entry != nullptr && IsFinal(JobLogView::StateOf(*entry));
  const bool known = entry != nullptr && (request.verb == Verb::kCancel || over);
  if (known || !store_usable_) {
    AnswerReader(reader, now);
  } else {
    readers_.push_back(reader);
  }
}

void JobRequestHandler::AnswerReader(const Reader& reader, const Now& now) {
  const JobLogView::Entry* entry = log_view_.Find(reader.key);
  if (entry == nullptr) {
    // Without a fresh ledger the job may well be known elsewhere.
    const bool fresh = store_usable_;
    Reply(reader.caller, reader.key, fresh ? ReplyKind::kNoJob : ReplyKind::kNotAccepted,
          reader.arrived, now.monotonic, fresh ? "" : "store_unreachable");
    return;
  }
  const JobState state = JobLogView::StateOf(*entry);
  if (reader.verb == Verb::kRead) {
    Reply(reader.caller, reader.key, ReplyKind::kState, reader.arrived, now.monotonic, "", state);
    return;
  }
  if (IsFinal(state)) {
    Reply(reader.caller, reader.key, ReplyKind::kCancelled, reader.arrived, now.monotonic, "over");
    return;
  }
  Cancel(reader, now);
}

void JobRequestHandler::Cancel(const Reader& reader, const Now& now) {
  if (!CanStore(now.monotonic)) {
    Reply(reader.caller, reader.key, ReplyKind::kNotAccepted, reader.arrived, now.monotonic,
          "store_unreachable");
    return;
  }
  Waiter waiter;
  waiter.caller = reader.caller;
  waiter.key = reader.key;
  waiter.verb = Verb::kCancel;
  waiter.arrived = reader.arrived;
  waiter.deadline = reader.deadline;
  waiter.record = Encode(CancelRecord{reader.key});
  Store(std::move(waiter), now);
}

bool JobRequestHandler::StoreBlocked(Time now) const {
  return writer_.unanswered() && now - writer_.started() > options_.store_patience;
}

void JobRequestHandler::Store(Waiter waiter, const Now& now) {
  if (StoreBlocked(now.monotonic) && !OwnerUsable(now.monotonic)) {
    Reply(waiter.caller, waiter.key, ReplyKind::kNotAccepted, waiter.arrived, now.monotonic,
          "store_blocked");
    return;
  }
  if (waiting_.size() >= options_.max_waiting) {
    Reply(waiter.caller, waiter.key, ReplyKind::kNotAccepted, waiter.arrived, now.monotonic,
          "too_many_waiting");
    return;
  }
  waiting_.push_back(std::move(waiter));
}

void JobRequestHandler::OnCallerDisconnected(CallerId caller) {
  const auto of_caller = [caller](const auto& it) { return it.caller == caller; };
  std::erase_if(waiting_, of_caller);
  std::erase_if(readers_, of_caller);
  std::erase_if(stored_, of_caller);
  for (auto& [id, handed] : submitted_) std::erase_if(handed.waiters, of_caller);
}

void JobRequestHandler::SetOwner(const std::string& member) {
  if (owner_ == member) return;
  owner_ = member;
  owner_doubted_until_ = {};
}

void JobRequestHandler::HandToOwner(Time now) {
  Submission submission;
  submission.id = next_submission_++;
  Handed handed;
  handed.at = now;
  std::size_t bytes = 0;
  std::erase_if(waiting_, [&](Waiter& it) {
    if (it.may_be_stored || bytes >= options_.max_batch_bytes) return false;
    bytes += it.record.value.size();
    submission.records.push_back(it.record);
    handed.waiters.push_back(std::move(it));
    return true;
  });
  if (submission.records.empty()) return;
  submitted_.emplace(submission.id, std::move(handed));
  submissions_.push_back(std::move(submission));
}

void JobRequestHandler::TakeBackUnconfirmed(Time now) {
  for (auto it = submitted_.begin(); it != submitted_.end();) {
    if (now - it->second.at < options_.owner_patience) {
      ++it;
      continue;
    }
    effects_.emplace_back(
        job_effect::WriteLogEvent{LogEvent(LogLevel::kWarning, "submission_not_confirmed")
                                      .With("owner", owner_)
                                      .With("requests", it->second.waiters.size())});
    counters_.Add("cactusshelf_submissions_not_confirmed_total", "owner_silent");
    owner_doubted_until_ = now + options_.owner_doubt;
    for (Waiter& waiter : it->second.waiters) {
      waiter.may_be_stored = true;
      waiting_.push_back(std::move(waiter));
    }
    it = submitted_.erase(it);
  }
}

void JobRequestHandler::OnSubmissionStored(const SubmissionStored& stored, const Now& now) {
  const auto it = submitted_.find(stored.id);
  if (it == submitted_.end()) return;
  for (const Waiter& waiter : it->second.waiters) ReplyStored(waiter, stored.offset, now.monotonic);
  submitted_.erase(it);
}

void JobRequestHandler::ReplyStored(const Waiter& waiter, std::int64_t offset, Time now) {
  const bool submitted = waiter.verb == Verb::kSubmit;
  if (!submitted) cancelled_.push_back(waiter.key);
  Reply(waiter.caller, waiter.key, submitted ? ReplyKind::kAccepted : ReplyKind::kCancelled,
        waiter.arrived, now, "offset " + std::to_string(offset));
}

void JobRequestHandler::OnLogViewFresh(Time fresh_at, Time now) {
  store_usable_ = true;
  std::vector<Reader> ready;
  std::erase_if(readers_, [&](const Reader& reader) {
    if (reader.arrived > fresh_at) return false;
    ready.push_back(reader);
    return true;
  });
  for (const Reader& reader : ready) AnswerReader(reader, {now, {}});
}

void JobRequestHandler::OnLogViewStale(Time now) {
  store_usable_ = false;
  for (const Reader& reader : std::exchange(readers_, {})) AnswerReader(reader, {now, {}});
}

void JobRequestHandler::BeginBatch(const Now& now) {
  std::vector<KeyedRecord> records;
  std::size_t bytes = 0;
  std::size_t n = 0;
  while (n < waiting_.size() && bytes < options_.max_batch_bytes) {
    bytes += waiting_[n].record.value.size();
    records.push_back(waiting_[n].record);
    stored_.push_back(std::move(waiting_[n]));
    ++n;
  }
  waiting_.erase(waiting_.begin(), waiting_.begin() + static_cast<std::ptrdiff_t>(n));
  writer_.Begin(std::move(records), now.monotonic);
}

void JobRequestHandler::OnAppendDone(const job_event::AppendDone& done, const Now& now) {
  const BatchWriter::Result result = writer_.OnDone(done, now.monotonic);
  if (result == BatchWriter::Result::kRetry) {
    counters_.Add("cactusshelf_append_retries_total", done.reason);
    effects_.emplace_back(job_effect::WriteLogEvent{LogEvent(LogLevel::kWarning, "append_retry")
                                                        .With("reason", done.reason)
                                                        .With("requests", stored_.size())});
    return;
  }
  if (result == BatchWriter::Result::kRefused) {
    next_batch_ = now.monotonic + options_.append_retry_delay;
  }
  for (Waiter& waiter : std::exchange(stored_, {})) {
    if (result == BatchWriter::Result::kStored) {
      ReplyStored(waiter, done.offset, now.monotonic);
    } else if (waiter.may_be_stored) {
      waiting_.push_back(std::move(waiter));
    } else {
      Reply(waiter.caller, waiter.key, ReplyKind::kNotAccepted, waiter.arrived, now.monotonic,
            "store_refused");
    }
  }
}

void JobRequestHandler::AnswerLate(Time now) {
  const auto answer = [&](auto& waiters, const auto& kind_of) {
    std::erase_if(waiters, [&](const auto& it) {
      if (now < it.deadline) return false;
      Reply(it.caller, it.key, kind_of(it), it.arrived, now, "timeout");
      return true;
    });
  };
  const auto unknown = [](const Waiter&) { return ReplyKind::kUnknown; };
  answer(waiting_, [](const Waiter& it) {
    return it.may_be_stored ? ReplyKind::kUnknown : ReplyKind::kNotAccepted;
  });
  answer(stored_, unknown);
  for (auto& [id, handed] : submitted_) answer(handed.waiters, unknown);
  answer(readers_, [](const Reader&) { return ReplyKind::kNotAccepted; });
}

void JobRequestHandler::Decide(const Now& now) {
  const Time time = now.monotonic;
  AnswerLate(time);
  TakeBackUnconfirmed(time);
  if (OwnerUsable(time)) {
    HandToOwner(time);
  } else if (StoreBlocked(time)) {
    std::erase_if(waiting_, [&](const Waiter& it) {
      if (it.may_be_stored) return false;
      Reply(it.caller, it.key, ReplyKind::kNotAccepted, it.arrived, time, "store_blocked");
      return true;
    });
  }
  if (!writer_.busy() && !waiting_.empty() && time >= next_batch_) BeginBatch(now);
  if (auto append = writer_.Next(time)) effects_.emplace_back(std::move(*append));
}

void JobRequestHandler::Reply(CallerId caller, const JobKey& key, ReplyKind kind, Time arrived,
                              Time now, std::string message, JobState state) {
  counters_.Add("cactusshelf_replies_total", ToString(kind));
  if (kind == ReplyKind::kNotAccepted) counters_.Add("cactusshelf_refusals_total", message);
  reply_time_.Add(now - arrived);
  LogEvent event(LogLevel::kInfo, "reply");
  event.With("job", key.str()).With("outcome", std::string(ToString(kind)));
  event.With("ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - arrived).count());
  if (kind == ReplyKind::kState) event.With("state", std::string(ToString(state)));
  if (!message.empty()) event.With("detail", message);
  effects_.emplace_back(job_effect::WriteLogEvent{std::move(event)});
  effects_.emplace_back(
      job_effect::Reply{caller, kind, state, 0, options_.retry_after, std::move(message)});
}

std::vector<JobEffect> JobRequestHandler::TakeEffects() { return std::exchange(effects_, {}); }

}  // namespace cactusshelf::jobs
