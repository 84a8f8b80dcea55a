#include "sim/scenario.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>

#include "cactusshelf/base/random.h"

namespace cactusshelf::sim {
namespace {

using std::chrono::seconds;

// Effects on the logarithm of the latency at the typical load. Most job classes are harmless, some
// interfere strongly.
constexpr std::array<double, kClasses> kEffects{0.0, 0.01, 0.02, 0.04, 0.06, 0.15, 0.3, 0.45};
constexpr std::array<double, kClasses> kClassShares{0.22, 0.2, 0.18, 0.14, 0.1, 0.08, 0.05, 0.03};
constexpr std::array<int, kClasses> kClassProcessors{1, 2, 1, 3, 2, 2, 1, 2};
constexpr std::array<int, kClasses> kClassMemoryGib{2, 4, 8, 6, 3, 5, 4, 8};
constexpr int kNoisyClass = 7;

constexpr Time kBegin{std::chrono::hours(1)};
constexpr Duration kLoadShiftAt = seconds(500);
constexpr Duration kWaveBegin = seconds(300);
constexpr Duration kWaveEnd = seconds(600);
constexpr Duration kCancelFloodAt = seconds(500);

constexpr int kEndpointProcessors = 4;
constexpr int kEndpointMemoryGib = 8;
// Offered batch load as a share of the capacity, by declared sizes.
constexpr double kOfferedShare = 0.85;

Resources Size(double processors, double gib) {
  constexpr double kGib = 1 << 30;
  return {static_cast<std::int64_t>(processors * 1000), static_cast<std::int64_t>(gib * kGib), 0};
}

int DrawClass(Random& random) {
  double draw = random.Real();
  for (int i = 0; i < kClasses; ++i) {
    draw -= kClassShares[static_cast<std::size_t>(i)];
    if (draw < 0) {
      return i;
    }
  }
  return 0;
}

// Adds jobs with their ground truth to a scenario.
class ArrivalBuilder {
 public:
  ArrivalBuilder(Scenario& scenario, Random& random) : scenario_(scenario), random_(random) {}

  Arrival& Add(Time at, int job_class, int tasks, double seconds_of_work, bool is_urgent) {
    const auto index = static_cast<std::size_t>(job_class);
    Arrival arrival;
    arrival.at = at;
    JobSpec& job = arrival.job;
    job.id = JobId("j" + std::to_string(scenario_.arrivals.size()));
    job.team = scenario_.teams[random_.Below(scenario_.teams.size())].id;
    job.customer = CustomerId("customer");
    job.job_class = JobClass("class" + std::to_string(job_class));
    job.tasks = static_cast<std::uint32_t>(tasks);
    job.size = Size(kClassProcessors[index], kClassMemoryGib[index]);
    job.expected_run_time = seconds(static_cast<int>(seconds_of_work));
    job.urgent = is_urgent;
    for (int i = 0; i < tasks; ++i) {
      TaskTruth truth;
      truth.job_class = job_class;
      truth.work_seconds = seconds_of_work * (0.7 + 0.6 * random_.Real());
      const double ratio = UsageRatio(job_class);
      truth.processors = kClassProcessors[index] * ratio;
      truth.memory_gib = kClassMemoryGib[index] * ratio;
      scenario_.truth[TaskId(job.id.str() + "/" + std::to_string(i))] = truth;
    }
    scenario_.arrivals.push_back(std::move(arrival));
    return scenario_.arrivals.back();
  }

 private:
  // Ratio of used to declared resources. With kWrongSizes a class uses a quarter of its declared
  // size, or four times as much.
  double UsageRatio(int job_class) {
    const double scatter = 0.85 + 0.3 * random_.Real();
    if (scenario_.kind != ScenarioKind::kWrongSizes) {
      return 0.8 * scatter;
    }
    constexpr std::array<double, kClasses> kRatios{0.25, 0.25, 0.25, 0.25, 4, 0.25, 4, 0.25};
    return kRatios[static_cast<std::size_t>(job_class)] * scatter;
  }

  Scenario& scenario_;
  Random& random_;
};

void AddBatch(Scenario& scenario, Random& random, ArrivalBuilder& builder) {
  double mean_processors = 0;
  for (std::size_t i = 0; i < kClasses; ++i) {
    mean_processors += kClassShares[i] * kClassProcessors[i];
  }
  constexpr double kMeanTasks = 2.5;
  constexpr double kMeanWork = 150;
  const double capacity =
      scenario.site.workers * static_cast<double>(scenario.site.processors - kEndpointProcessors);
  const double gap = kMeanTasks * kMeanWork * mean_processors / (capacity * kOfferedShare);
  for (double at = 0; at < std::chrono::duration<double>(kScenarioLength).count();
       at += random.Exponential(gap)) {
    builder.Add(kBegin + Duration(static_cast<std::int64_t>(at * 1e6)), DrawClass(random),
                1 + static_cast<int>(random.Below(4)), 50 + random.Real() * 200, false);
  }
}

void AddUrgent(Random& random, ArrivalBuilder& builder) {
  for (Duration at = seconds(60); at < kScenarioLength;
       at += random.Between(seconds(5), seconds(15))) {
    builder.Add(kBegin + at, 1, 1 + static_cast<int>(random.Below(2)), 40, true);
  }
}

}  // namespace

const char* ToString(ScenarioKind kind) {
  switch (kind) {
    case ScenarioKind::kSteady:
      return "steady";
    case ScenarioKind::kLoadShift:
      return "load shift";
    case ScenarioKind::kNoisyWave:
      return "noisy wave";
    case ScenarioKind::kWrongSizes:
      return "sizes off by 4x";
    case ScenarioKind::kRackLost:
      return "rack lost";
    case ScenarioKind::kCancelFlood:
      return "cancel flood";
  }
  return "";
}

Scenario MakeScenario(const Site& site, ScenarioKind kind, std::uint64_t seed) {
  Scenario scenario{kind, site, {}, {}, {}, {}};
  for (int i = 0; i < site.workers; ++i) {
    const int rack = i / kWorkersPerRack;
    scenario.workers.push_back(
        {WorkerId("w" + std::to_string(i)),
         DomainId("d" + std::to_string(rack % site.domains)),
         RackId("r" + std::to_string(rack)),
         Size(site.processors, site.memory_gib),
         {{ServiceId("service"), 1, Size(kEndpointProcessors, kEndpointMemoryGib)}}});
  }
  for (int i = 0; i < 5; ++i) {
    scenario.teams.push_back({TeamId("team" + std::to_string(i)), CustomerId("customer"), 0,
                              Size(site.workers * site.processors, 1e6)});
  }
  Random random(seed);
  ArrivalBuilder builder(scenario, random);
  AddBatch(scenario, random, builder);
  AddUrgent(random, builder);
  if (kind == ScenarioKind::kNoisyWave) {
    for (Duration at = kWaveBegin; at < kWaveEnd; at += seconds(6)) {
      builder.Add(kBegin + at, kNoisyClass, 3, 120, false);
    }
  }
  if (kind == ScenarioKind::kCancelFlood) {
    for (int i = 0; i < 1500; ++i) {
      const Time at = kBegin + kCancelFloodAt + std::chrono::milliseconds(10 * i);
      builder.Add(at, DrawClass(random), 2, 150, false).cancel_at =
          kBegin + kCancelFloodAt + seconds(30) + std::chrono::milliseconds(i);
    }
  }
  std::stable_sort(scenario.arrivals.begin(), scenario.arrivals.end(),
                   [](const Arrival& left, const Arrival& right) { return left.at < right.at; });
  return scenario;
}

double LoadAt(ScenarioKind kind, Time now) {
  const double minutes = std::chrono::duration<double, std::ratio<60>>(now - kBegin).count();
  const double wave = 1 + 0.1 * std::sin(minutes);
  return kind == ScenarioKind::kLoadShift && now >= kBegin + kLoadShiftAt ? 1.6 * wave : wave;
}

double TrueEffect(ScenarioKind kind, int job_class, Time now) {
  // Together with the load, the effects of classes 3 and 5 are exchanged.
  const bool is_shifted = kind == ScenarioKind::kLoadShift && now >= kBegin + kLoadShiftAt;
  if (is_shifted && (job_class == 3 || job_class == 5)) {
    job_class = 8 - job_class;
  }
  return kEffects[static_cast<std::size_t>(job_class)] * std::pow(LoadAt(kind, now), 1.2);
}

}  // namespace cactusshelf::sim
