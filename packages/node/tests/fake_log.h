#ifndef CACTUSSHELF_NODE_TESTS_FAKE_LOG_H_
#define CACTUSSHELF_NODE_TESTS_FAKE_LOG_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <string>
#include <utility>

#include "cactusshelf/node/node_event.h"

namespace cactusshelf {

// In-memory log service that supports trimming.
class FakeLog {
 public:
  std::uint64_t Append(WallTime time, std::string data) {
    records_.push_back({next(), time, std::move(data)});
    return records_.back().offset;
  }

  node_event::LogRead Read(Time started, std::uint64_t from) const {
    node_event::LogRead read;
    read.started = started;
    read.first = first_;
    read.next = next();
    const std::uint64_t start = std::max(from, first_);
    for (std::uint64_t it = start; it < next(); ++it) {
      read.entries.push_back(records_[it - first_]);
    }
    return read;
  }

  void TrimTo(std::uint64_t offset) {
    while (first_ < offset && !records_.empty()) {
      records_.pop_front();
      ++first_;
    }
  }

  std::uint64_t next() const { return first_ + records_.size(); }

 private:
  std::uint64_t first_ = 0;
  std::deque<node_event::LogEntry> records_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_NODE_TESTS_FAKE_LOG_H_
