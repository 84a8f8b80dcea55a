#include "log_reader.h"

#include <utility>

#include "cactusshelf/base/errors.h"
#include "cactusshelf/version/snapshot.h"

namespace cactusshelf {
namespace {

ReadReply ToReadReply(const node_event::LogRead& read) {
  ReadReply reply;
  reply.first = read.first;
  reply.next = read.next;
  for (const auto& it : read.entries) {
    reply.records.push_back({it.offset, it.time, it.data});
  }
  return reply;
}

}  // namespace

std::optional<node_effect::ReadLog> LogReader::Poll(Time now) {
  if (read_pending_ || now < next_read_) {
    return std::nullopt;
  }
  read_pending_ = true;
  const Duration wait = loaded_ && follower_.caught_up() ? kLongPollTimeout : Duration::zero();
  return node_effect::ReadLog{follower_.next_read(), wait};
}

LogReader::Result LogReader::OnRead(Time now, const node_event::LogRead& read,
                                    const AppliedCallback& on_applied) {
  read_pending_ = false;
  last_read_success_ = now;
  Result result = ApplyReply(ToReadReply(read), on_applied);
  if (!result.error.empty()) {
    counters_.Add("cactusshelf_log_reads_total", "unusable");
    next_read_ = now + kReadRetryDelay;
    return result;
  }
  counters_.Add("cactusshelf_log_reads_total", "done");
  result.reached_end = follower_.loaded() && follower_.caught_up();
  loaded_ = loaded_ || result.reached_end;
  next_read_ = now;
  return result;
}

void LogReader::OnReadFailed(Time now) {
  read_pending_ = false;
  next_read_ = now + kReadRetryDelay;
  counters_.Add("cactusshelf_log_reads_total", "failed");
}

LogReader::Result LogReader::ApplyReply(const ReadReply& reply, const AppliedCallback& on_applied) {
  Result result;
  try {
    if (reply.records.empty() || reply.first > follower_.next_read()) {
      ApplyToFollower(reply, on_applied, result);
      return result;
    }
    for (const StoredRecord& it : reply.records) {
      ApplyToFollower({reply.first, reply.next, {it}}, on_applied, result);
    }
  } catch (const Error& exception) {
    result.error = exception.what();
  }
  return result;
}

void LogReader::ApplyToFollower(const ReadReply& reply, const AppliedCallback& on_applied,
                                Result& result) {
  const Offset offset_before = state().offset();
  const auto applied = follower_.Consume(reply);
  if (state().offset() - offset_before != applied.size()) {
    result.records_skipped = true;
    record_cache_.Clear();
  }
  for (const StoredRecord& it : reply.records) {
    if (it.offset + applied.size() >= state().offset() && it.offset < state().offset()) {
      record_cache_.Add({it.offset, it.time, it.data});
    }
  }
  for (const LogFollower::AppliedRecord& it : applied) {
    on_applied(it);
  }
}

bool LogReader::ShouldRequestCatchUp(Time now, Offset peer_offset) {
  const bool log_unavailable = now - last_read_success_ > kCatchUpInterval;
  if (!log_unavailable || now < next_catch_up_request_ || peer_offset <= state().offset()) {
    return false;
  }
  next_catch_up_request_ = now + kCatchUpInterval;
  counters_.Add("cactusshelf_catch_up_total", "asked");
  return true;
}

CatchUpReply LogReader::MakeCatchUpReply(const CatchUpRequest& request) const {
  CatchUpReply reply;
  if (request.from >= state().offset()) {
    reply.next = request.from;
    return reply;
  }
  auto records = record_cache_.RecordsFrom(request.from);
  if (!records) {
    reply.snapshot = Snapshot::Encode(state());
    reply.next = state().offset();
    reply.chain = state().chain();
    return reply;
  }
  reply.next = records->back().offset + 1;
  reply.chain = state().ChainAt(reply.next).value_or("");
  reply.records = std::move(*records);
  return reply;
}

LogReader::Result LogReader::OnCatchUpReply(const CatchUpReply& reply,
                                            const AppliedCallback& on_applied) {
  if (reply.next <= state().offset()) {
    return {};
  }
  // The reply is applied to a copy first, so that records which do not lead to the sender's chain
  // leave the state unchanged.
  LogFollower candidate = follower_;
  ReadReply read;
  read.first = reply.records.empty() ? reply.next : reply.records.front().offset;
  read.next = reply.next;
  for (const CatchUpRecord& it : reply.records) {
    read.records.push_back({it.offset, it.time, it.data});
  }
  Result result;
  try {
    if (reply.snapshot) {
      candidate = LogFollower(Snapshot::Decode(*reply.snapshot));
    } else {
      candidate.Consume(read);
    }
  } catch (const Error& exception) {
    result.error = exception.what();
  }
  const bool matches_sender = candidate.loaded() && candidate.state().offset() == reply.next &&
                              candidate.state().chain() == reply.chain;
  if (!result.error.empty() || !matches_sender) {
    counters_.Add("cactusshelf_catch_up_total", "refused");
    result.error =
        result.error.empty() ? "offset or chain does not match the sender's" : result.error;
    return result;
  }
  counters_.Add("cactusshelf_catch_up_total", "applied");
  if (!reply.snapshot) {
    return ApplyReply(read, on_applied);
  }
  follower_ = std::move(candidate);
  record_cache_.Clear();
  result.records_skipped = true;
  return result;
}

std::optional<Time> LogReader::NextWakeup() const {
  if (read_pending_) {
    return std::nullopt;
  }
  return next_read_;
}

}  // namespace cactusshelf
