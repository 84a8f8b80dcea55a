#include "cactusshelf/jobs/job_record.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "cactusshelf/base/cbor.h"

namespace cactusshelf::jobs {
namespace {

using nlohmann::json;

constexpr char kRosterKey[] = "roster";
constexpr char kRosterTasksKey[] = "roster_tasks";
constexpr char kRosterLeasesKey[] = "roster_leases";
constexpr char kLeaseKey[] = "leases";
constexpr char kCellCountKey[] = "layout";
constexpr char kInterferenceKey[] = "neighbours";
constexpr char kVotingHostsKey[] = "voting_hosts";
// Record types, the first character of a key. The name of a host follows in records of owners and
// hosts, the key of a job in all others.
constexpr char kOwnerPrefix = 'o';
constexpr char kHostPrefix = 'h';
constexpr char kSubmitPrefix = 'j';
constexpr char kCancelPrefix = 'c';
constexpr char kHandOverPrefix = 'm';
constexpr char kProgressPrefix = 'p';
constexpr char kSeparator = '/';
constexpr int kMaxDepth = 8;
// Workers truncate leases far below this.
constexpr Duration kMaxRemainingLease = std::chrono::minutes(10);

constexpr unsigned kCheckpointing = 1U << 0;
constexpr unsigned kGang = 1U << 1;
constexpr unsigned kSameRack = 1U << 2;
constexpr unsigned kSpeculative = 1U << 3;
constexpr unsigned kLongRunning = 1U << 4;
constexpr unsigned kBestEffort = 1U << 5;

std::string KeyOf(char prefix, const std::string& name) {
  std::string text(1, prefix);
  text += kSeparator;
  text += name;
  return text;
}

std::string ToBytes(const json& value) {
  std::string bytes;
  json::to_cbor(value, bytes);
  return bytes;
}

unsigned FlagsOf(const StepSpec& step) {
  return (step.checkpointing ? kCheckpointing : 0) | (step.gang ? kGang : 0) |
         (step.same_rack ? kSameRack : 0) | (step.speculative ? kSpeculative : 0) |
         (step.long_running ? kLongRunning : 0) | (step.best_effort ? kBestEffort : 0);
}

json ToJson(const StepSpec& step) {
  return json::array({step.count, step.need.milliprocessors, step.need.memory_bytes,
                      step.need.accelerators, step.estimate.count(), step.depends_on, FlagsOf(step),
                      step.required_label, step.preferred_rack, step.max_per_worker, step.image,
                      step.latency_target.count(), step.max_unavailable});
}

StepSpec StepFromJson(const json& value) {
  StepSpec step;
  step.count = value.at(0);
  step.need = {value.at(1), value.at(2), value.at(3)};
  step.estimate = Duration(value.at(4).get<std::int64_t>());
  step.depends_on = value.at(5).get<std::vector<int>>();
  const unsigned flags = value.at(6);
  step.checkpointing = (flags & kCheckpointing) != 0;
  step.gang = (flags & kGang) != 0;
  step.same_rack = (flags & kSameRack) != 0;
  step.speculative = (flags & kSpeculative) != 0;
  step.long_running = (flags & kLongRunning) != 0;
  step.best_effort = (flags & kBestEffort) != 0;
  step.required_label = value.at(7);
  step.preferred_rack = value.at(8);
  step.max_per_worker = value.at(9);
  step.image = value.at(10);
  step.latency_target = Duration(value.at(11).get<std::int64_t>());
  step.max_unavailable = value.at(12);
  return step;
}

json ToJson(const QueuePolicy& queue) {
  return json::array({queue.name, queue.service, queue.priority, queue.max_attempts, queue.stretch,
                      queue.latency_target.count()});
}

QueuePolicy QueueFromJson(const json& value) {
  QueuePolicy queue;
  queue.name = value.at(0);
  queue.service = value.at(1);
  queue.priority = value.at(2);
  queue.max_attempts = value.at(3);
  queue.stretch = value.at(4);
  queue.latency_target = Duration(value.at(5).get<std::int64_t>());
  return queue;
}

SubmittedJob DecodeSubmitted(const JobKey& key, const json& value) {
  SubmittedJob job;
  job.key = key;
  job.queue = QueueFromJson(value.at(0));
  job.spec.payload = value.at(1);
  job.spec.occurrences = value.at(2);
  job.spec.first_due = WallTime(std::chrono::milliseconds(value.at(3).get<std::int64_t>()));
  job.spec.period = Duration(value.at(4).get<std::int64_t>());
  job.accepted = WallTime(std::chrono::milliseconds(value.at(5).get<std::int64_t>()));
  for (const json& step : value.at(6)) job.spec.steps.push_back(StepFromJson(step));
  if (value.size() > 7) job.home_cell = value.at(7).get<int>();
  return job;
}

// Done tasks of one step of one occurrence as a bitmap, by the index of the task. All hosts read
// the progress of all jobs, and a wide step would otherwise make a row of each task in each record.
using DoneTasks = std::map<std::pair<int, int>, std::vector<std::uint8_t>>;
constexpr std::size_t kBitsPerByte = 8;
// Number of fields of a row that holds a bitmap. A row with one task has more.
constexpr std::size_t kDoneTasksRowSize = 3;
// Number of fields of a progress record without JobProgress::step_counts.
constexpr std::size_t kProgressFieldsWithoutNumbers = 2;

bool IsDoneWithoutFailure(const TaskProgress& task) {
  return task.done && task.failed_runs.empty();
}

void AddDoneTask(const TaskId& id, DoneTasks& done) {
  std::vector<std::uint8_t>& bitmap = done[{id.occurrence, id.step}];
  const auto n = static_cast<std::size_t>(id.index);
  if (bitmap.size() <= n / kBitsPerByte) bitmap.resize(n / kBitsPerByte + 1);
  bitmap[n / kBitsPerByte] |= static_cast<std::uint8_t>(1U << (n % kBitsPerByte));
}

void DecodeDoneTasks(const json& row, std::vector<TaskProgress>& tasks) {
  const auto& bitmap = row.at(2).get_binary();
  for (std::size_t n = 0; n < bitmap.size() * kBitsPerByte; ++n) {
    if ((bitmap[n / kBitsPerByte] >> (n % kBitsPerByte) & 1U) == 0) continue;
    tasks.push_back({{row.at(0), row.at(1), static_cast<int>(n)}, true, 0, {}});
  }
}

// Numbers the tasks of all occurrences of a job one after the other.
class TaskNumbering {
 public:
  // Precondition: `counts` is not empty and has positive numbers only.
  explicit TaskNumbering(const std::vector<int>& counts) {
    for (const int count : counts) {
      first_of_step_.push_back(tasks_per_occurrence_);
      tasks_per_occurrence_ += static_cast<std::size_t>(count);
    }
  }

  std::size_t NumberOf(const TaskId& id) const {
    return static_cast<std::size_t>(id.occurrence) * tasks_per_occurrence_ +
           first_of_step_[static_cast<std::size_t>(id.step)] + static_cast<std::size_t>(id.index);
  }

  TaskId IdOf(std::size_t number) const {
    const std::size_t in_occurrence = number % tasks_per_occurrence_;
    const auto after =
        std::upper_bound(first_of_step_.begin(), first_of_step_.end(), in_occurrence);
    const auto step = std::prev(after);
    return {static_cast<int>(number / tasks_per_occurrence_),
            static_cast<int>(step - first_of_step_.begin()),
            static_cast<int>(in_occurrence - *step)};
  }

 private:
  std::vector<std::size_t> first_of_step_;
  std::size_t tasks_per_occurrence_ = 0;
};

// Done tasks as the number of those before the first that is not done, and a bitmap from there on.
struct DoneNumbers {
  std::size_t first_open = 0;
  std::vector<std::uint8_t> bitmap;
};

// Precondition: `numbers` is in order.
DoneNumbers PackNumbers(const std::vector<std::size_t>& numbers) {
  DoneNumbers done;
  for (const std::size_t n : numbers) {
    if (n == done.first_open && done.bitmap.empty()) {
      ++done.first_open;
      continue;
    }
    const std::size_t bit = n - done.first_open;
    done.bitmap.resize(bit / kBitsPerByte + 1);
    done.bitmap[bit / kBitsPerByte] |= static_cast<std::uint8_t>(1U << (bit % kBitsPerByte));
  }
  return done;
}

// Bound on the numbers of tasks in a record, which may be damaged: a job has at most 200,000.
constexpr std::size_t kMaxTaskNumber = 1'000'000;

void DecodeDoneNumbers(const json& value, JobProgress& progress) {
  progress.step_counts = value.at(0).get<std::vector<int>>();
  const std::vector<int>& counts = progress.step_counts;
  const auto first_open = value.at(1).get<std::size_t>();
  const auto& bitmap = value.at(2).get_binary();
  const bool possible =
      !counts.empty() && std::all_of(counts.begin(), counts.end(), [](int n) { return n > 0; }) &&
      first_open <= kMaxTaskNumber && bitmap.size() * kBitsPerByte <= kMaxTaskNumber;
  if (!possible) throw DecodeError("progress record with impossible tasks");
  const TaskNumbering numbering(counts);
  for (std::size_t n = 0; n < first_open; ++n)
    progress.tasks.push_back({numbering.IdOf(n), true, 0, {}});
  for (std::size_t bit = 0; bit < bitmap.size() * kBitsPerByte; ++bit) {
    if ((bitmap[bit / kBitsPerByte] >> (bit % kBitsPerByte) & 1U) != 0)
      progress.tasks.push_back({numbering.IdOf(first_open + bit), true, 0, {}});
  }
}

json EncodeDoneNumbers(const JobProgress& progress) {
  const TaskNumbering numbering(progress.step_counts);
  std::vector<std::size_t> numbers;
  for (const TaskProgress& task : progress.tasks) {
    if (task.done) numbers.push_back(numbering.NumberOf(task.id));
  }
  std::sort(numbers.begin(), numbers.end());
  DoneNumbers done = PackNumbers(numbers);
  return json::array({progress.step_counts, done.first_open, json::binary(std::move(done.bitmap))});
}

TaskProgress DecodeTask(const json& row) {
  TaskProgress task;
  task.id = {row.at(0), row.at(1), row.at(2)};
  task.done = row.at(3).get<int>() != 0;
  task.last_run = row.at(4);
  task.failed_runs = row.at(5).get<std::vector<std::int64_t>>();
  return task;
}

ProgressRecord DecodeProgress(const JobKey& key, const json& value) {
  ProgressRecord record{key, {}};
  record.progress.state = static_cast<JobState>(value.at(0).get<int>());
  if (record.progress.state > JobState::kCancelled) throw DecodeError("unknown job state");
  for (const json& row : value.at(1)) {
    if (row.size() == kDoneTasksRowSize) {
      DecodeDoneTasks(row, record.progress.tasks);
    } else {
      record.progress.tasks.push_back(DecodeTask(row));
    }
  }
  if (value.size() > kProgressFieldsWithoutNumbers)
    DecodeDoneNumbers(value.at(kProgressFieldsWithoutNumbers), record.progress);
  return record;
}

OwnerRecord DecodeOwner(const json& value) {
  OwnerRecord owner;
  owner.epoch = value.at(0);
  owner.generation = value.at(1);
  owner.member = value.at(2);
  owner.host = value.at(3);
  owner.released = value.at(4);
  if (value.size() > 5) owner.bound_since = value.at(5);
  if (value.size() > 6) owner.limits_since = value.at(6);
  if (value.size() > 7) owner.host_votes_since = value.at(7);
  return owner;
}

InterferenceRecord DecodeInterference(const json& value) {
  InterferenceRecord record;
  for (const json& row : value) {
    record.effects.push_back({row.at(0), row.at(1), row.at(2), row.at(3)});
  }
  return record;
}

HostRecord DecodeHost(const std::string& host, const json& value) {
  HostRecord record{host, value.at(0), value.at(1), value.at(2)};
  record.binds_orders = value.size() > 3 && value.at(3).get<bool>();
  record.hands_over_jobs = value.size() > 4 && value.at(4).get<bool>();
  record.reads_task_numbers = value.size() > 5 && value.at(5).get<bool>();
  return record;
}

LeaseRecord DecodeLeases(const json& value) {
  LeaseRecord record;
  record.lease = std::chrono::milliseconds(value.at(0).get<std::int64_t>());
  record.incarnations = value.at(1).get<std::map<std::string, std::int64_t>>();
  record.bound = value.size() > 2 && value.at(2).get<bool>();
  if (value.size() > 3) record.generation = value.at(3);
  if (record.lease < Duration::zero()) throw DecodeError("lease record with a negative lease");
  return record;
}

RosterTasksRecord DecodeRosterTasks(const json& value) {
  RosterTasksRecord record;
  for (const auto& [worker, names] : value.items()) {
    std::vector<TaskRef>& tasks = record.tasks[worker];
    for (const auto& name : names) tasks.push_back(ParseTaskRef(name.get<std::string>()));
  }
  return record;
}

RosterLeasesRecord DecodeRosterLeases(const json& value) {
  RosterLeasesRecord record;
  record.generation = value.at(0);
  for (const auto& [worker, ms] : value.at(1).items()) {
    const std::chrono::milliseconds remaining(ms.get<std::int64_t>());
    if (remaining < Duration::zero() || remaining > kMaxRemainingLease)
      throw DecodeError("roster leases record with an impossible lease");
    record.remaining[worker] = remaining;
  }
  record.exclusive = value.at(2).get<std::set<std::string>>();
  return record;
}

VotingHostsRecord DecodeVotingHosts(const json& value) {
  return {value.at(0), value.at(1).get<std::map<std::string, std::string>>()};
}

HandOverRecord DecodeHandOver(const JobKey& key, const json& value) {
  HandOverRecord record{key, value.get<int>()};
  if (record.cell < 0) throw DecodeError("hand-over record without a cell");
  return record;
}

JobLogRecord DecodeValue(const std::string& record_key, const json& value) {
  if (record_key == kRosterKey) return RosterRecord{value.get<std::vector<std::string>>()};
  if (record_key == kRosterTasksKey) return DecodeRosterTasks(value);
  if (record_key == kRosterLeasesKey) return DecodeRosterLeases(value);
  if (record_key == kLeaseKey) return DecodeLeases(value);
  if (record_key == kInterferenceKey) return DecodeInterference(value);
  if (record_key == kVotingHostsKey) return DecodeVotingHosts(value);
  if (record_key == kCellCountKey) return CellCountRecord{value.get<int>()};
  const JobKey key(record_key.substr(2));
  switch (record_key.front()) {
    case kOwnerPrefix:
      return DecodeOwner(value);
    case kHostPrefix:
      return DecodeHost(key.str(), value);
    case kSubmitPrefix:
      return DecodeSubmitted(key, value);
    case kCancelPrefix:
      return CancelRecord{key};
    case kHandOverPrefix:
      return DecodeHandOver(key, value);
    case kProgressPrefix:
      return DecodeProgress(key, value);
    default:
      throw DecodeError("job log record with an unknown key");
  }
}

}  // namespace

KeyedRecord Encode(const OwnerRecord& record) {
  return {KeyOf(kOwnerPrefix, record.host),
          ToBytes(json::array({record.epoch, record.generation, record.member, record.host,
                               record.released, record.bound_since, record.limits_since,
                               record.host_votes_since}))};
}

KeyedRecord Encode(const RosterRecord& record) { return {kRosterKey, ToBytes(record.workers)}; }

KeyedRecord Encode(const RosterTasksRecord& record) {
  json workers = json::object();
  for (const auto& [worker, tasks] : record.tasks) {
    json names = json::array();
    for (const TaskRef& it : tasks) names.push_back(ToString(it));
    workers[worker] = std::move(names);
  }
  return {kRosterTasksKey, ToBytes(workers), 0};
}

KeyedRecord Encode(const RosterLeasesRecord& record) {
  json workers = json::object();
  for (const auto& [worker, remaining] : record.remaining)
    workers[worker] = std::chrono::ceil<std::chrono::milliseconds>(remaining).count();
  return {kRosterLeasesKey, ToBytes(json::array({record.generation, workers, record.exclusive})),
          0};
}

KeyedRecord Encode(const LeaseRecord& record) {
  const auto lease = std::chrono::ceil<std::chrono::milliseconds>(record.lease).count();
  return {kLeaseKey,
          ToBytes(json::array({lease, record.incarnations, record.bound, record.generation})), 0};
}

KeyedRecord Encode(const CellCountRecord& record) {
  return {kCellCountKey, ToBytes(record.cells), 0};
}

KeyedRecord Encode(const InterferenceRecord& record) {
  json rows = json::array();
  for (const InterferenceEffect& it : record.effects) {
    rows.push_back(json::array({it.serving_image, it.best_effort_image, it.mean, it.deviation}));
  }
  return {kInterferenceKey, ToBytes(rows), 0};
}

KeyedRecord Encode(const VotingHostsRecord& record) {
  return {kVotingHostsKey, ToBytes(json::array({record.generation, record.members})), 0};
}

KeyedRecord Encode(const HostRecord& record) {
  return {KeyOf(kHostPrefix, record.host),
          ToBytes(json::array({record.peer_address, record.domain, record.milliprocessors,
                               record.binds_orders, record.hands_over_jobs,
                               record.reads_task_numbers}))};
}

KeyedRecord Encode(const SubmittedJob& record) {
  json steps = json::array();
  for (const StepSpec& step : record.spec.steps) steps.push_back(ToJson(step));
  json value =
      json::array({ToJson(record.queue), record.spec.payload, record.spec.occurrences,
                   record.spec.first_due.time_since_epoch().count(), record.spec.period.count(),
                   record.accepted.time_since_epoch().count(), steps});
  if (record.home_cell) value.push_back(*record.home_cell);
  return {KeyOf(kSubmitPrefix, record.key.str()), ToBytes(value)};
}

KeyedRecord Encode(const CancelRecord& record) {
  return {KeyOf(kCancelPrefix, record.key.str()), ToBytes(json::array())};
}

KeyedRecord Encode(const HandOverRecord& record) {
  return {KeyOf(kHandOverPrefix, record.key.str()), ToBytes(record.cell)};
}

KeyedRecord Encode(const ProgressRecord& record) {
  json rows = json::array();
  DoneTasks done;
  const bool numbered = !record.progress.step_counts.empty();
  for (const TaskProgress& task : record.progress.tasks) {
    if (numbered && task.done) continue;
    if (IsDoneWithoutFailure(task)) {
      AddDoneTask(task.id, done);
    } else {
      rows.push_back(json::array({task.id.occurrence, task.id.step, task.id.index,
                                  task.done ? 1 : 0, task.last_run, task.failed_runs}));
    }
  }
  for (auto& [step, bitmap] : done) {
    rows.push_back(json::array({step.first, step.second, json::binary(std::move(bitmap))}));
  }
  json value = json::array({static_cast<int>(record.progress.state), rows});
  if (numbered) value.push_back(EncodeDoneNumbers(record.progress));
  return {KeyOf(kProgressPrefix, record.key.str()), ToBytes(value)};
}

std::vector<KeyedRecord> EncodeDrop(const JobKey& key) {
  // The submission is removed last, since a reader may stop between two records.
  return {{KeyOf(kProgressPrefix, key.str()), ""},
          {KeyOf(kCancelPrefix, key.str()), ""},
          {KeyOf(kHandOverPrefix, key.str()), ""},
          {KeyOf(kSubmitPrefix, key.str()), ""}};
}

JobLogRecord DecodeJobLogRecord(const KeyedRecord& record) {
  const std::string& key = record.key;
  const bool of_job = key.size() > 2 && key[1] == kSeparator;
  const bool of_owner = key == kRosterKey || key == kRosterTasksKey || key == kRosterLeasesKey ||
                        key == kLeaseKey || key == kCellCountKey || key == kVotingHostsKey;
  if (!of_job && !of_owner && key != kInterferenceKey) {
    throw DecodeError("job log record with an unknown key");
  }
  if (record.value.empty()) {
    if (!of_job) throw DecodeError("job log record without a value");
    return DropRecord{JobKey(key.substr(2))};
  }
  try {
    return DecodeValue(key, DecodeCbor(record.value, kMaxDepth));
  } catch (const nlohmann::json::exception& error) {
    throw DecodeError(std::string("malformed job log record: ") + error.what());
  }
}

}  // namespace cactusshelf::jobs
