#ifndef CACTUSSHELF_JOBS_SRC_INTERFERENCE_MODEL_H_
#define CACTUSSHELF_JOBS_SRC_INTERFERENCE_MODEL_H_

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cactusshelf/base/time.h"
#include "cactusshelf/jobs/job_record.h"

namespace cactusshelf::jobs {

// How busy a serving task is, from its tail latency: 0 when idle, 1 when saturated. The tail of a
// queue grows as 1 / (1 - pressure), so pressures of neighbours add up where latencies do not.
double TailLatencyPressure(Duration tail, Duration target);

// Pressure at which a task just meets its latency target.
inline constexpr double kPressureAtTarget = 0.8;

// Effects of one image on another below this are taken for noise.
inline constexpr double kMinSignificantEffect = 0.012;

// Processors that best-effort tasks use on one worker, by image.
using BestEffortUsage = std::map<int, double>;

// Learns by how much a processor used by one best-effort image raises the pressure of one serving
// image on the same worker. Only changes between two reports are compared, since the load of a
// serving task differs between jobs and moves slowly. Not thread-safe.
class InterferenceModel {
 public:
  // Number of an image, the same for each use of its name.
  int ImageIndex(const std::string& image);

  // Between two reports the use by best-effort tasks changed from `before` to `after`, and the
  // pressure of a serving task of image `serving` by `change`.
  void Learn(int serving_image, const BestEffortUsage& before, const BestEffortUsage& after,
             double change);

  // Expected rise of pressure by one processor.
  double EffectPerProcessor(int serving_image, int best_effort_image) const;

  // What was learned, for the next owner.
  NeighbourRecord Export() const;
  // Precondition: nothing was learned yet.
  void Import(const NeighbourRecord& record);

  // Sum of the effects of `use`.
  double PredictPressure(int serving_image, const BestEffortUsage& use) const;

 private:
  // Linear estimate with its covariance (Kalman filter), by position in `images`.
  struct Estimate {
    std::vector<int> images;
    std::vector<double> mean;
    std::vector<double> covariance;  // Rows of images.size() values.

    std::size_t PositionOf(int image);
  };

  Estimate& EstimateOf(int serving_image);

  std::unordered_map<std::string, int> image_indexes_;
  std::vector<std::string> image_names_;  // By index.
  std::vector<Estimate> estimates_;       // By serving image.
};

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_SRC_INTERFERENCE_MODEL_H_
