#include <catch2/catch.hpp>
#include <chrono>
#include <cmath>

#include "cactusshelf/base/random.h"
#include "interference_model.h"
#include "usage_model.h"
#include "worker_index.h"

namespace cactusshelf {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr Time kBegin{std::chrono::hours(1)};
constexpr ServiceIndex kService = 0;
constexpr double kLoad = 100;

Duration Latency(double effect) {
  return Duration(static_cast<std::int64_t>(40000 * std::exp(effect)));
}

TEST_CASE(
    "an interfering class is not confused with a harmless one that starts at the same times") {
  constexpr ClassIndex kHarmless = 0;
  constexpr ClassIndex kNoisy = 1;
  InterferenceModel model;
  Random random(5);
  for (int i = 0; i < 2000; ++i) {
    // Both run together most of the time. Few measurements show only one of them.
    const double harmless = random.Chance(0.9) ? 1 : 0;
    const double noisy = random.Chance(0.9) ? harmless : 1 - harmless;
    const double noise = 0.1 * (random.Real() - 0.5);
    model.Learn(kBegin + seconds(i), kService, kLoad, Latency(0.4 * noisy + noise),
                {{kHarmless, harmless}, {kNoisy, noisy}}, 0);
  }
  const PairEffect harmless = model.Effect(kService, kHarmless, kLoad);
  const PairEffect noisy = model.Effect(kService, kNoisy, kLoad);
  CHECK(harmless.mean < 0.1);
  CHECK(noisy.mean == Approx(0.4).margin(0.1));
  CHECK(noisy.deviation < model.Effect(kService, 7, kLoad).deviation / 2);
}

TEST_CASE("a measurement during which tasks changed does not count as much as a steady one") {
  InterferenceModel steady;
  InterferenceModel blurred;
  for (InterferenceModel* model : {&steady, &blurred}) {
    for (int i = 0; i < 50; ++i) {
      model->Learn(kBegin, kService, kLoad, Latency(0), {}, 0);
    }
    model->Learn(kBegin, kService, kLoad, Latency(0.5), {{0, 1}}, model == &steady ? 0 : 3);
  }
  CHECK(blurred.Effect(kService, 0, kLoad).mean < steady.Effect(kService, 0, kLoad).mean);
  CHECK(blurred.Effect(kService, 0, kLoad).deviation > steady.Effect(kService, 0, kLoad).deviation);
}

TEST_CASE("a late measurement is not attributed to tasks that started after it was taken") {
  CompositionHistory history;
  history.Add({1000}, 3, 1);
  history.Add({2000}, 3, 1);
  history.Add({3000}, 3, -0.6);
  CHECK(history.SharesAt({500}).empty());
  CHECK(history.SharesAt({1500}).at(0).share == Approx(1));
  CHECK(history.SharesAt({2500}).at(0).share == Approx(2));
  CHECK(history.current().at(0).share == Approx(1.4));
  CHECK(history.ChangesBetween({1000}, {3000}) == 2);
}

TEST_CASE(
    "expected usage starts at the declared size and does not lag behind a class that changes") {
  UsageModel model;
  const Resources declared{1000, 1000, 1};
  CHECK(model.ExpectedUsage(0, declared) == declared);
  for (int i = 0; i < 100; ++i) {
    model.Learn(kBegin, 0, declared, {250, 250, 1});
  }
  CHECK(model.ExpectedUsage(0, declared).milliprocessors < 300);
  for (int i = 0; i < 100; ++i) {
    model.Learn(kBegin + minutes(90), 0, declared, {1000, 1000, 1});
  }
  CHECK(model.ExpectedUsage(0, declared).milliprocessors > 900);
}

TEST_CASE("the worker index neither misses a slot with enough resources nor finds any other") {
  WorkerIndex index;
  Random random(3);
  std::vector<Resources> amounts(300);
  for (int round = 0; round < 2000; ++round) {
    const auto slot = static_cast<WorkerSlot>(random.Below(amounts.size()));
    amounts[slot] = {static_cast<std::int64_t>(random.Below(100)),
                     static_cast<std::int64_t>(random.Below(100)), 0};
    index.Set(slot, amounts[slot]);
  }
  const Resources need{60, 60, 0};
  const std::vector<WorkerSlot> found = index.Find(need, 150, amounts.size());
  std::size_t expected = 0;
  for (const Resources& amount : amounts) {
    expected += Fits(need, amount) ? 1 : 0;
  }
  CHECK(found.size() == expected);
  for (const WorkerSlot slot : found) {
    CHECK(Fits(need, amounts[slot]));
  }
  CHECK(found.front() >= 150);
  CHECK_FALSE(index.Contains({100, 0, 0}));
}

}  // namespace
}  // namespace cactusshelf
