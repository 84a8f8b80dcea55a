#ifndef CACTUSSHELF_JOBS_QUEUE_TABLE_H_
#define CACTUSSHELF_JOBS_QUEUE_TABLE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cactusshelf/jobs/job.h"

namespace cactusshelf::jobs {

// Host and path at which callers reach a queue.
struct QueueRoute {
  std::string host;
  std::string path_prefix;
  QueuePolicy policy;
};

// The queues of one version of the configuration. Immutable after construction.
class QueueTable {
 public:
  struct Match {
    const QueueRoute* route = nullptr;  // Null if no queue matches.
    std::string_view rest;              // The path after the prefix.
  };

  QueueTable() = default;
  QueueTable(std::int64_t version, std::vector<QueueRoute> routes);

  // 0 until a configuration has been read.
  std::int64_t version() const { return version_; }
  const std::vector<QueueRoute>& routes() const { return routes_; }

  // Finds the route of `host` with the longest prefix that matches `path`. A port in `host` is
  // ignored.
  // Thread-safe.
  Match Find(std::string_view host, std::string_view path) const;

 private:
  std::int64_t version_ = 0;
  std::vector<QueueRoute> routes_;  // Sorted by host, then by descending length of the prefix.
};

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_QUEUE_TABLE_H_
