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

LogReader::Result LogReader::OnRead(Time now, const node_event::LogRead& read) {
  reading_ = false;
  last_success_ = now;
  const ReadReply reply = ToReply(read);
  Result result = Consume(follower_, reply);
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

LogReader::Result LogReader::Consume(LogFollower& follower, const ReadReply& reply) {
  Result result;
  const Offset before = follower.state().offset();
  try {
    result.applied = follower.Consume(reply);
  } catch (const Error& ec) {
    result.fault = ec.what();
  }
  const Offset after = follower.state().offset();
  result.skipped = after - before != result.applied.size();
  if (result.skipped) {
    cache_.Clear();
  }
  Remember(reply, after - result.applied.size());
  return result;
}

// `before` is the offset of the first record that was applied.
void LogReader::Remember(const ReadReply& reply, Offset before) {
  const Offset after = follower_.state().offset();
  for (const StoredRecord& it : reply.records) {
    if (it.offset >= before && it.offset < after) {
      cache_.Add({it.offset, it.time, it.data});
    }
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

LogReader::Result LogReader::OnCatchUpReply(const CatchUpReply& reply) {
  if (reply.next <= state().offset()) {
    return {};
  }
  Result result;
  // Applied to a copy first: records that do not give the sender's chain change nothing.
  LogFollower candidate = follower_;
  try {
    if (reply.snapshot) {
      LogState loaded = Snapshot::Decode(*reply.snapshot);
      candidate = LogFollower(std::move(loaded));
      result.skipped = true;
    } else {
      ReadReply read;
      read.first = reply.records.empty() ? reply.next : reply.records.front().offset;
      read.next = reply.next;
      for (const CatchUpRecord& it : reply.records) {
        read.records.push_back({it.offset, it.time, it.data});
      }
      result.applied = candidate.Consume(read);
    }
  } catch (const Error& ec) {
    result.fault = ec.what();
  }
  const bool agrees = candidate.loaded() && candidate.state().offset() == reply.next &&
                      candidate.state().chain() == reply.chain;
  if (!result.fault.empty() || !agrees) {
    counters_.Add("cactusshelf_catch_up_total", "refused");
    return {{}, false, false, result.fault.empty() ? "chain differs" : result.fault};
  }
  follower_ = std::move(candidate);
  for (const CatchUpRecord& it : reply.records) {
    if (it.offset + result.applied.size() >= reply.next) {
      cache_.Add(it);
    }
  }
  if (result.skipped) {
    cache_.Clear();
  }
  counters_.Add("cactusshelf_catch_up_total", "applied");
  return result;
}

std::optional<Time> LogReader::NextWakeup() const {
  if (reading_) {
    return std::nullopt;
  }
  return next_read_;
}

}  // namespace cactusshelf
