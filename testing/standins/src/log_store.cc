#include "log_store.h"

#include <algorithm>
#include <utility>

namespace cactusshelf {

std::uint64_t LogStore::Append(std::string data, WallTime now) {
  const std::uint64_t offset = end();
  const WallTime time = records_.empty() ? now : std::max(now, records_.back().time);
  records_.push_back({offset, time, std::move(data)});
  return offset;
}

std::vector<LogStore::Record> LogStore::Read(std::uint64_t from, std::size_t limit) const {
  const std::uint64_t begin = std::clamp(from, first_, end());
  const std::size_t n = std::min<std::size_t>(limit, end() - begin);
  const auto it = records_.begin() + static_cast<std::ptrdiff_t>(begin - first_);
  return {it, it + static_cast<std::ptrdiff_t>(n)};
}

void LogStore::TrimTo(std::uint64_t offset) {
  while (first_ < offset && !records_.empty()) {
    records_.pop_front();
    ++first_;
  }
}

void LogStore::ApplyRetention(std::size_t max_count, Duration max_age, WallTime now) {
  if (records_.size() > max_count) {
    TrimTo(end() - max_count);
  }
  while (max_age > Duration::zero() && !records_.empty() && now - records_.front().time > max_age) {
    TrimTo(first_ + 1);
  }
}

}  // namespace cactusshelf
