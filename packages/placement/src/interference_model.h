#ifndef CACTUSSHELF_PLACEMENT_SRC_INTERFERENCE_MODEL_H_
#define CACTUSSHELF_PLACEMENT_SRC_INTERFERENCE_MODEL_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "cactusshelf/base/time.h"
#include "composition_history.h"
#include "interner.h"

namespace cactusshelf {

// Estimated effect of one task of a class on a service, as the logarithm of the slowdown.
struct PairEffect {
  double mean = 0;
  double deviation = 0;
};

// Estimates how much each job class slows each service on the same worker.
//
// The logarithm of a latency is modelled as the sum of a base of the service, a term for its load
// and one term for each task on the worker. Each term is an estimate with a variance. A measurement
// corrects all terms that it involves in proportion to their variances: if several tasks changed at
// once, the least certain terms are corrected most, and measurements on other workers separate
// their effects. Variances grow with time, since interference changes with load.
// Not thread-safe.
class InterferenceModel {
 public:
  // Adds a latency measurement of the service at `load` requests per second of one endpoint, while
  // the classes in `shares` ran on the worker. `changes` is the number of tasks that changed during
  // the measurement; they make it less certain.
  void Learn(Time now, ServiceIndex service, double load, Duration latency,
             const std::vector<ClassShare>& shares, std::size_t changes);

  // Effect of one unthrottled task at the given load; a load of 0 stands for the typical load.
  // Returns the prior for pairs without samples.
  PairEffect Effect(ServiceIndex service, ClassIndex job_class, double load) const;

  // Sum of the mean effects of `shares`.
  double PredictEffect(ServiceIndex service, const std::vector<ClassShare>& shares,
                       double load) const;

  // Latency divided by the estimated latency without batch tasks at the same load. 1 without
  // samples.
  double Slowdown(ServiceIndex service, double load, Duration latency) const;

 private:
  struct Estimate {
    double mean = 0;
    double variance = 0;
    Time updated_at;
  };
  struct Service {
    Estimate base;         // Logarithm of the latency at the typical load.
    Estimate load_effect;  // Per unit of relative load above the typical load.
    double typical_load = 0;
    std::uint64_t samples = 0;
  };

  const Estimate* Find(ServiceIndex service, ClassIndex job_class) const;
  Estimate& GetOrCreate(Time now, ServiceIndex service, ClassIndex job_class);
  double RelativeLoad(const Service& service, double load) const;

  std::vector<Service> services_;
  std::unordered_map<std::uint64_t, Estimate> pairs_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_PLACEMENT_SRC_INTERFERENCE_MODEL_H_
