#include "cactusshelf/base/distribution.h"

#include <fmt/format.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <vector>

namespace cactusshelf {
namespace {

namespace acc = boost::accumulators;

constexpr double kMedian = 0.5;
constexpr double kP99 = 0.99;
constexpr double kP999 = 0.999;

using Accumulator =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::mean, acc::tag::max,
                                            acc::tag::extended_p_square_quantile>>;

const std::vector<double>& Probabilities() {
  static const std::vector<double> probabilities = {0.25, kMedian, 0.75, 0.9, kP99, kP999};
  return probabilities;
}

Duration ToDuration(double microseconds) {
  return Duration(static_cast<Duration::rep>(microseconds));
}

}  // namespace

struct Distribution::State {
  Duration Quantile(double probability) const {
    if (acc::count(accumulator) == 0) {
      return Duration::zero();
    }
    return ToDuration(acc::quantile(accumulator, acc::quantile_probability = probability));
  }

  Accumulator accumulator{acc::extended_p_square_probabilities = Probabilities()};
};

Distribution::Distribution() : state_(std::make_unique<State>()) {}
Distribution::~Distribution() = default;
Distribution::Distribution(Distribution&&) noexcept = default;
Distribution& Distribution::operator=(Distribution&&) noexcept = default;

void Distribution::Add(Duration value) { state_->accumulator(static_cast<double>(value.count())); }

std::uint64_t Distribution::count() const { return acc::count(state_->accumulator); }

Duration Distribution::Mean() const {
  return count() == 0 ? Duration::zero() : ToDuration(acc::mean(state_->accumulator));
}

Duration Distribution::Max() const {
  return count() == 0 ? Duration::zero() : ToDuration(acc::max(state_->accumulator));
}

Duration Distribution::Median() const { return state_->Quantile(kMedian); }
Duration Distribution::P99() const { return state_->Quantile(kP99); }
Duration Distribution::P999() const { return state_->Quantile(kP999); }

std::string Distribution::Format(std::string_view name) const {
  const auto seconds = [](Duration value) { return std::chrono::duration<double>(value).count(); };
  return fmt::format(
      "# TYPE {0} summary\n{0}{{quantile=\"0.5\"}} {1:.6f}\n{0}{{quantile=\"0.99\"}} {2:.6f}\n"
      "{0}{{quantile=\"0.999\"}} {3:.6f}\n{0}_count {4}\n",
      name, seconds(Median()), seconds(P99()), seconds(P999()), count());
}

}  // namespace cactusshelf
