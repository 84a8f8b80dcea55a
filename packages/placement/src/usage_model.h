#ifndef CACTUSSHELF_PLACEMENT_SRC_USAGE_MODEL_H_
#define CACTUSSHELF_PLACEMENT_SRC_USAGE_MODEL_H_

#include <vector>

#include "cactusshelf/base/resources.h"
#include "cactusshelf/base/time.h"
#include "interner.h"

namespace cactusshelf {

// Estimates for each job class the ratio of used to declared resources. The weight of old samples
// decays, so that the estimates follow a class that changes. Not thread-safe.
class UsageModel {
 public:
  // Adds a measurement of a running task of the class. Skips resources of which `declared` is 0.
  void Learn(Time now, ClassIndex job_class, const Resources& declared, const Resources& used);

  // Expected usage of a task that declares `declared`: the mean plus one standard deviation.
  // Returns the declared size without samples.
  Resources ExpectedUsage(ClassIndex job_class, const Resources& declared) const;

 private:
  // Discounted mean and variance of used / declared for one resource.
  struct Ratio {
    double weight = 0;
    double mean = 0;
    double variance = 0;
    Time updated_at;

    void Add(Time now, double sample);
    double UpperEstimate() const;
  };
  struct ClassUsage {
    Ratio processors;
    Ratio memory;
  };

  std::vector<ClassUsage> classes_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_PLACEMENT_SRC_USAGE_MODEL_H_
