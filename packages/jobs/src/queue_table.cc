#include "cactusshelf/jobs/queue_table.h"

#include <algorithm>
#include <utility>

namespace cactusshelf::jobs {

QueueTable::QueueTable(std::int64_t version, std::vector<QueueRoute> routes)
    : version_(version), routes_(std::move(routes)) {
  std::sort(routes_.begin(), routes_.end(), [](const QueueRoute& left, const QueueRoute& right) {
    if (left.host != right.host) return left.host < right.host;
    return left.path_prefix.size() > right.path_prefix.size();
  });
}

QueueTable::Match QueueTable::Find(std::string_view host, std::string_view path) const {
  const std::string_view name = host.substr(0, host.find(':'));
  const auto [begin, end] = std::equal_range(
      routes_.begin(), routes_.end(), QueueRoute{std::string(name), "", {}},
      [](const QueueRoute& left, const QueueRoute& right) { return left.host < right.host; });
  for (auto it = begin; it != end; ++it) {
    if (path.starts_with(it->path_prefix)) return {&*it, path.substr(it->path_prefix.size())};
  }
  return {};
}

}  // namespace cactusshelf::jobs
