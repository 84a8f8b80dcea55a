#ifndef CACTUSSHELF_JOBS_SRC_CELL_CHOICE_H_
#define CACTUSSHELF_JOBS_SRC_CELL_CHOICE_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cactusshelf/base/time.h"
#include "cactusshelf/jobs/cell_room.h"

namespace cactusshelf::jobs {

// The step of a job that takes most of a pool.
struct RoomDemand {
  std::string pool;
  int tasks = 0;
  int parts = 0;  // Of a worker, for each task.

  std::int64_t total_parts() const { return std::int64_t{tasks} * parts; }
};

// Chooses which cell runs a job, by what the owners of the other cells have last reported. Not
// thread-safe.
class CellChoice {
 public:
  enum class Reason { kNoRoom, kUneven };

  struct Choice {
    int cell = 0;
    Reason reason{};
    std::int64_t own_room = 0;    // Tasks of this size that fit in the own cell,
    std::int64_t other_room = 0;  // and in the chosen one.
    Duration report_age{};
  };

  void OnReport(CellRoom room, Time now);

  // Returns the cell that should run the job instead of the cell whose room is `own` now, or
  // nothing if that should keep it: it has room and is about as free as the others, or no other has
  // room. How free the cells are is compared by their reports, the own one's included: what has
  // come since then has come to all of them.
  std::optional<Choice> Choose(const RoomDemand& demand, const CellRoom& own, Time now) const;

  // Records that the job needs room in the cell `to` in place of the cell `from`, which the next
  // reports do not show yet.
  void OnHandedOver(int from, int to, const RoomDemand& demand, Time now);

 private:
  struct Report {
    CellRoom room;
    Time received_at;
  };
  struct HandedOver {
    int from = 0;
    int to = 0;
    std::string pool;
    std::int64_t parts = 0;
    Time at;
  };

  // What another cell is expected to have for a job.
  struct Candidate {
    int cell = 0;
    std::int64_t tasks = 0;  // That fit there.
    double share = 0;        // PoolRoom::FreeShareFor.
    Duration report_age{};
  };

  std::vector<Candidate> FindCandidates(const RoomDemand& demand, int own_cell, Time now) const;
  // Null without a recent report of the pool.
  const PoolRoom* ReportedRoom(int cell, const std::string& pool, Time now) const;
  // The last report of a pool, with what was handed over recently from or to the cell.
  PoolRoom ExpectedRoom(int cell, const std::string& pool, const PoolRoom& reported,
                        Time now) const;

  std::map<int, Report> reports_;       // By cell.
  std::deque<HandedOver> handed_over_;  // Recently, oldest first.
};

std::string_view ToString(CellChoice::Reason reason);

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_SRC_CELL_CHOICE_H_
