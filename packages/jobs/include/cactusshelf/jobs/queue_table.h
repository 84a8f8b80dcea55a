#ifndef CACTUSSHELF_JOBS_QUEUE_TABLE_H_
#define CACTUSSHELF_JOBS_QUEUE_TABLE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cactusshelf/jobs/job.h"

namespace cactusshelf::jobs {

// Where callers reach a queue.
struct QueueRoute {
  std::string host;
  std::string path_prefix;
  QueuePolicy policy;
};

// The queues of one version of the configuration. Immutable after construction.
class QueueTable {
 public:
  struct Match {
    const QueueRoute* route = nullptr;  // Null: no such queue.
    std::string_view rest;              // Of the path, after the prefix.
  };

  QueueTable() = default;
  QueueTable(std::int64_t version, std::vector<QueueRoute> routes);

  // Zero if no configuration was read.
  std::int64_t version() const { return version_; }
  const std::vector<QueueRoute>& routes() const { return routes_; }

  // The route of `host` with the longest prefix of `path`. A port in `host` is ignored.
  // Thread-safe.
  Match Find(std::string_view host, std::string_view path) const;

 private:
  std::int64_t version_ = 0;
  std::vector<QueueRoute> routes_;  // By host, then longest prefix first.
};

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_QUEUE_TABLE_H_
