#include "log_reader.h"

#include <utility>

#include "cactusshelf/base/errors.h"
#include "cactusshelf/version/snapshot.h"

namespace cactusshelf {
namespace {

ReadReply ToReply(const node_event::LogRead& read) {
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
  if (reading_ || now < next_read_) {
    return std::nullopt;
  }
  reading_ = true;
  const Duration wait = loaded_ && follower_.caught_up() ? kReadWait : Duration::zero();
  return node_effect::ReadLog{follower_.next_read(), wait};
}

LogReader::Result LogReader::OnRead(Time now, const node_event::LogRead& read,
                                    const OnApplied& on_applied) {
  reading_ = false;
  last_success_ = now;
  Result result = Consume(ToReply(read), on_applied);
  if (!result.fault.empty()) {
    counters_.Add("cactusshelf_log_reads_total", "unusable");
    next_read_ = now + kRetryDelay;
    return result;
  }
  counters_.Add("cactusshelf_log_reads_total", "done");
  result.reached_end = follower_.loaded() && follower_.caught_up();
  loaded_ = loaded_ || result.reached_end;
  next_read_ = now;
  return result;
}

void LogReader::OnReadFailed(Time now) {
  reading_ = false;
  next_read_ = now + kRetryDelay;
  counters_.Add("cactusshelf_log_reads_total", "failed");
}

LogReader::Result LogReader::Consume(const ReadReply& reply, const OnApplied& on_applied) {
  Result result;
  try {
    if (reply.records.empty() || reply.first > follower_.next_read()) {
      ConsumeOne(reply, on_applied, result);
      return result;
    }
    for (const StoredRecord& it : reply.records) {
      ConsumeOne({reply.first, reply.next, {it}}, on_applied, result);
    }
  } catch (const Error& ec) {
    result.fault = ec.what();
  }
  return result;
}

void LogReader::ConsumeOne(const ReadReply& reply, const OnApplied& on_applied, Result& result) {
  const Offset before = state().offset();
  const auto applied = follower_.Consume(reply);
  if (state().offset() - before != applied.size()) {
    result.skipped = true;
    cache_.Clear();
  }
  for (const StoredRecord& it : reply.records) {
    if (it.offset + applied.size() >= state().offset() && it.offset < state().offset()) {
      cache_.Add({it.offset, it.time, it.data});
    }
  }
  for (const LogFollower::AppliedRecord& it : applied) {
    on_applied(it);
  }
}

bool LogReader::WantsCatchUp(Time now, Offset peer_offset) {
  const bool log_silent = now - last_success_ > kCatchUpAfter;
  if (!log_silent || now < next_catch_up_ || peer_offset <= state().offset()) {
    return false;
  }
  next_catch_up_ = now + kCatchUpAfter;
  counters_.Add("cactusshelf_catch_up_total", "asked");
  return true;
}

CatchUpReply LogReader::Answer(const CatchUp& request) const {
  CatchUpReply reply;
  if (request.from >= state().offset()) {
    reply.next = request.from;
    return reply;
  }
  auto records = cache_.From(request.from);
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
                                            const OnApplied& on_applied) {
  if (reply.next <= state().offset()) {
    return {};
  }
  // Applied to a copy first: records that do not give the sender's chain change nothing.
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
  } catch (const Error& ec) {
    result.fault = ec.what();
  }
  const bool agrees = candidate.loaded() && candidate.state().offset() == reply.next &&
                      candidate.state().chain() == reply.chain;
  if (!result.fault.empty() || !agrees) {
    counters_.Add("cactusshelf_catch_up_total", "refused");
    result.fault = result.fault.empty() ? "chain differs" : result.fault;
    return result;
  }
  counters_.Add("cactusshelf_catch_up_total", "applied");
  if (!reply.snapshot) {
    return Consume(read, on_applied);
  }
  follower_ = std::move(candidate);
  cache_.Clear();
  result.skipped = true;
  return result;
}

std::optional<Time> LogReader::NextWakeup() const {
  if (reading_) {
    return std::nullopt;
  }
  return next_read_;
}

}  // namespace cactusshelf
