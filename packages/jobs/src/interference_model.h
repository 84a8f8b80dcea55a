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

// Utilization of a serving task as derived from its tail latency: 0 when idle, 1 when saturated.
// The tail latency of a queue grows as 1 / (1 - pressure), so the pressures that neighbours cause
// add up, while latencies do not.
double TailLatencyPressure(Duration tail, Duration target);

// Pressure of a task whose tail latency equals its target.
inline constexpr double kPressureAtTarget = 0.8;

// Smaller effects of one image on another are treated as noise.
inline constexpr double kMinSignificantEffect = 0.012;

// Processors used by best-effort tasks on one worker, by image index.
using BestEffortUsage = std::map<int, double>;

// Learns by how much one processor used by a best-effort image raises the pressure of a serving
// image on the same worker. The model learns only from changes between two reports, since the load
// of serving tasks differs between jobs and changes slowly. Not thread-safe.
class InterferenceModel {
 public:
  // Index of an image; the same name always gets the same index.
  int ImageIndex(const std::string& image);

  // Updates the model: between two reports the usage of best-effort tasks changed from `before` to
  // `after`, and the pressure of `serving_image` by `change`.
  void Learn(int serving_image, const BestEffortUsage& before, const BestEffortUsage& after,
             double change);

  // Expected rise in the pressure of `serving_image` for each processor that `best_effort_image`
  // uses. Not negative.
  double EffectPerProcessor(int serving_image, int best_effort_image) const;

  // Estimates to be stored for the next owner.
  InterferenceRecord Export() const;
  // Loads the estimates of an earlier owner. Precondition: Learn was not called before.
  void Import(const InterferenceRecord& record);

  // Expected pressure that `use` adds to `serving_image`.
  double PredictPressure(int serving_image, const BestEffortUsage& use) const;

 private:
  // Linear estimate with its covariance (Kalman filter). Vectors are in the order of `images`.
  struct Estimate {
    std::vector<int> images;
    std::vector<double> mean;
    std::vector<double> covariance;  // Row-major, images.size() squared.

    // Position of `image` in `images`. Appends an unknown image with the prior estimate.
    std::size_t PositionOf(int image);
  };

  // Adds an empty estimate for an unknown image.
  Estimate& EstimateOf(int serving_image);

  std::unordered_map<std::string, int> image_indexes_;
  std::vector<std::string> image_names_;  // By image index.
  std::vector<Estimate> estimates_;       // By index of the serving image.
};

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_SRC_INTERFERENCE_MODEL_H_
