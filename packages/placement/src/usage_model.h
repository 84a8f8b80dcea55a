#ifndef CACTUSSHELF_PLACEMENT_SRC_USAGE_MODEL_H_
#define CACTUSSHELF_PLACEMENT_SRC_USAGE_MODEL_H_

#include <vector>

#include "cactusshelf/base/resources.h"
#include "cactusshelf/base/time.h"
#include "interner.h"

namespace cactusshelf {

// Learns for each job class how much its tasks use in relation to what they declare. Old samples
// lose weight, so that a class that changes is learned again. Not thread-safe.
class UsageModel {
 public:
  // One measurement of a running task of the class. Amounts in `declared` that are 0 are skipped.
  void Learn(Time now, ClassIndex job_class, const Resources& declared, const Resources& used);

  // Expected use of a task that declares `declared`: the mean plus one deviation. Without samples
  // it is the declared size.
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
