#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <string>

#include "cactusshelf/version/log_state.h"
#include "cactusshelf/version/snapshot.h"

// Measures the time to apply one record of each type, and to encode and load snapshots, by size of
// the configuration. The argument is the number of workers; the numbers of teams and jobs are
// proportional to it, as in the target size (130 teams, 5,200 workers, 26,000 jobs a day).

namespace cactusshelf {
namespace {

constexpr std::int64_t kSmall = 65;      // Size of the current deployment.
constexpr std::int64_t kTarget = 5'200;  // Expected in two years.
constexpr std::int64_t kWorkersPerFile = 40;
constexpr std::int64_t kJobsPerWorker = 5;
constexpr std::int64_t kWorkersPerCell = 200;

std::string WorkerText(std::int64_t n) {
  return fmt::format(
      "[[worker]]\nname = \"w{0}\"\naddress = \"10.{1}.{2}.{3}:9000\"\ndomain = \"d{4}\"\n"
      "rack = \"r{5}\"\ncell = \"c{6}\"\ncapacity = {{ processors = 32, memory = \"125GB\" }}\n",
      n, n / 65536, n / 256 % 256, n % 256, n % 7, n / 8, n / kWorkersPerCell);
}

std::string JobText(std::int64_t file, std::int64_t n) {
  return fmt::format(
      "[[job]]\nname = \"j{1}\"\nteam = \"t{0}\"\nclass = \"k{0}\"\ntasks = 2\nprocessors = 1\n"
      "memory = \"2GiB\"\nexpected_run_time = \"10min\"\n",
      file, n);
}

// Returns the file of one team, with its jobs and some workers.
std::string FileText(std::int64_t file, std::int64_t workers, std::int64_t revision) {
  std::string text = fmt::format(
      "# {1}\n[[team]]\nname = \"t{0}\"\ncustomer = \"acme\"\n"
      "quota = {{ processors = 1000, memory = \"4TB\" }}\n",
      file, revision);
  const std::int64_t end = std::min(workers, (file + 1) * kWorkersPerFile);
  for (std::int64_t n = file * kWorkersPerFile; n < end; ++n) {
    text += WorkerText(n);
    for (std::int64_t i = 0; i < kJobsPerWorker; ++i) {
      text += JobText(file, n * kJobsPerWorker + i);
    }
  }
  return text;
}

class LogStateBuilder {
 public:
  explicit LogStateBuilder(std::int64_t workers) {
    FileChanges changes{{"customers", "[[customer]]\nname = \"acme\"\npriority = 1\n"}};
    for (std::int64_t file = 0; file * kWorkersPerFile < workers; ++file) {
      changes[fmt::format("f{}", file)] = FileText(file, workers, 0);
    }
    Check(Apply(Publish{"first", std::nullopt, std::move(changes)}), 2);
    Apply(Join{MemberId("a/1"), 1, DomainId("d"), "10.0.0.1:1", "10.0.0.1:2", 0});
    Jobs jobs{MemberId("a/1"), {}};
    for (std::int64_t n = 0; n < workers * kJobsPerWorker; ++n) {
      jobs.updates.push_back({JobId(fmt::format("j{}", n)), JobEvent::kAssigned, CellId("c0"), {}});
      if (jobs.updates.size() == 1000 || n + 1 == workers * kJobsPerWorker) {
        Apply(jobs);
        jobs.updates.clear();
      }
    }
  }

  // Applies `bytes` to `state`, which is a copy of state() that benchmarks may change.
  static LogChange Apply(LogState& state, const std::string& bytes) {
    return state.Apply(state.offset(), WallTime(std::chrono::seconds(state.offset())), bytes);
  }

  LogChange Apply(const LogRecord& record) { return Apply(state_, EncodeRecord(record)); }

  // Throws Error if the change is not the alternative `index` of LogChange.
  static void Check(const LogChange& change, std::size_t index) {
    if (change.index() != index) {
      throw Error("the record did not have the effect that the benchmark measures");
    }
  }

  const LogState& state() const { return state_; }

 private:
  LogState state_;
};

const LogState& StateOf(std::int64_t workers) {
  static std::map<std::int64_t, LogStateBuilder> builders;
  return builders.try_emplace(workers, workers).first->second.state();
}

void Sizes(benchmark::internal::Benchmark* bench) {
  bench->Arg(kSmall)->Arg(kTarget / 4)->Arg(kTarget)->Unit(benchmark::kMicrosecond);
}

// Measures a publish that changes one file.
void ApplyPublish(benchmark::State& bench) {
  LogState state = StateOf(bench.range(0));
  std::int64_t n = 0;
  for (auto it : bench) {
    bench.PauseTiming();
    const std::string bytes = EncodeRecord(Publish{
        fmt::format("id-{}", ++n), state.revision(), {{"f0", FileText(0, bench.range(0), n)}}});
    bench.ResumeTiming();
    LogStateBuilder::Check(LogStateBuilder::Apply(state, bytes), 2);
  }
}
BENCHMARK(ApplyPublish)->Apply(Sizes);

// Measures the parsing of the file that ApplyPublish changes, as a lower bound for ApplyPublish.
void ParseOneFile(benchmark::State& bench) {
  const std::string text = FileText(0, bench.range(0), 0);
  for (auto it : bench) {
    benchmark::DoNotOptimize(ConfigFile::Parse("f0", text));
  }
}
BENCHMARK(ParseOneFile)->Apply(Sizes);

void ApplyJoinAndLeave(benchmark::State& bench) {
  LogState state = StateOf(bench.range(0));
  std::uint64_t n = 1;
  for (auto it : bench) {
    bench.PauseTiming();
    const MemberId member(fmt::format("b/{}", ++n));
    const std::string join =
        EncodeRecord(Join{member, n, DomainId("d"), "10.0.0.1:1", "10.0.0.1:2", 0});
    const std::string leave = EncodeRecord(Leave{member});
    bench.ResumeTiming();
    LogStateBuilder::Apply(state, join);
    LogStateBuilder::Check(LogStateBuilder::Apply(state, leave), 6);
  }
}
BENCHMARK(ApplyJoinAndLeave)->Apply(Sizes);

void ApplyJobs(benchmark::State& bench) {
  const LogState& base = StateOf(bench.range(0));
  const std::string bytes =
      EncodeRecord(Jobs{MemberId("a/1"), {{JobId("j7"), JobEvent::kFinished, CellId("c0"), {}}}});
  LogState state = base;
  for (auto it : bench) {
    benchmark::DoNotOptimize(LogStateBuilder::Apply(state, bytes));
  }
}
BENCHMARK(ApplyJobs)->Apply(Sizes);

void ApplyAttest(benchmark::State& bench) {
  LogState state = StateOf(bench.range(0));
  LogStateBuilder::Check(
      LogStateBuilder::Apply(
          state,
          EncodeRecord(Publish{
              "retire", state.revision(), {{"r", "[[retirement]]\ncustomer = \"acme\"\n"}}})),
      2);
  const std::string bytes =
      EncodeRecord(Attest{CustomerId("acme"), MemberId("a/1"), state.offset(), 0, {}});
  for (auto it : bench) {
    benchmark::DoNotOptimize(LogStateBuilder::Apply(state, bytes));
  }
}
BENCHMARK(ApplyAttest)->Apply(Sizes);

void ApplySnapshotRecord(benchmark::State& bench) {
  LogState state = StateOf(bench.range(0));
  const std::string bytes = EncodeRecord(Snapshot::Record(state, MemberId("a/1")));
  for (auto it : bench) {
    benchmark::DoNotOptimize(LogStateBuilder::Apply(state, bytes));
  }
  bench.counters["bytes"] = static_cast<double>(bytes.size());
}
BENCHMARK(ApplySnapshotRecord)->Apply(Sizes);

void EncodeSnapshot(benchmark::State& bench) {
  const LogState& state = StateOf(bench.range(0));
  for (auto it : bench) {
    benchmark::DoNotOptimize(Snapshot::Encode(state));
  }
}
BENCHMARK(EncodeSnapshot)->Apply(Sizes);

void LoadSnapshot(benchmark::State& bench) {
  const SnapshotRecord record = Snapshot::Record(StateOf(bench.range(0)), MemberId("a/1"));
  for (auto it : bench) {
    benchmark::DoNotOptimize(Snapshot::Load(record));
  }
}
BENCHMARK(LoadSnapshot)->Apply(Sizes);

}  // namespace
}  // namespace cactusshelf

BENCHMARK_MAIN();
