#include "cactusshelf/placement/worker_messages.h"

#include <array>
#include <string_view>
#include <utility>

#include "json_reader.h"

namespace cactusshelf {
namespace {

using Json = nlohmann::json;

constexpr std::uint32_t kFullRatePermille = 1000;

template <typename Enum, std::size_t size>
using EnumNames = std::array<std::pair<Enum, std::string_view>, size>;

constexpr EnumNames<CommandStatus, 7> kStatusNames{{
    {CommandStatus::kDone, "done"},
    {CommandStatus::kWrongEpoch, "wrong_epoch"},
    {CommandStatus::kWrongIncarnation, "wrong_incarnation"},
    {CommandStatus::kAttemptUsed, "attempt_used"},
    {CommandStatus::kExpired, "expired"},
    {CommandStatus::kNoCapacity, "no_capacity"},
    {CommandStatus::kUnknownTask, "unknown_task"},
}};

constexpr EnumNames<TaskPhase, 2> kPhaseNames{{
    {TaskPhase::kRunning, "running"},
    {TaskPhase::kThrottled, "throttled"},
}};

constexpr EnumNames<TaskEnd, 4> kEndNames{{
    {TaskEnd::kFinished, "finished"},
    {TaskEnd::kFailed, "failed"},
    {TaskEnd::kStopped, "stopped"},
    {TaskEnd::kLeaseExpired, "lease_expired"},
}};

template <typename Enum, std::size_t size>
std::string EncodeEnum(const EnumNames<Enum, size>& names, Enum value) {
  for (const auto& [known, name] : names) {
    if (known == value) {
      return std::string(name);
    }
  }
  return {};
}

template <typename Enum, std::size_t size>
Enum DecodeEnum(JsonReader& reader, const std::string& field, const EnumNames<Enum, size>& names) {
  const std::string text = reader.String(field);
  for (const auto& [value, name] : names) {
    if (name == text) {
      return value;
    }
  }
  reader.Fail(field, "unknown value");
}

Json Encode(const Resources& amount) {
  return {{"milliprocessors", amount.milliprocessors},
          {"memory_bytes", amount.memory_bytes},
          {"accelerators", amount.accelerators}};
}

Resources DecodeResources(const Json& json) {
  JsonReader reader(json, "resources");
  Resources amount;
  amount.milliprocessors = reader.Signed("milliprocessors");
  amount.memory_bytes = reader.Signed("memory_bytes");
  amount.accelerators = reader.Signed("accelerators");
  reader.RejectUnknownFields();
  return amount;
}

Json Encode(const TaskAttempt& task) {
  return {{"task", task.task.str()},
          {"attempt_epoch", task.attempt.epoch},
          {"attempt_number", task.attempt.number}};
}

TaskAttempt DecodeTaskAttempt(const Json& json) {
  JsonReader reader(json, "task_attempt");
  TaskAttempt task;
  task.task = TaskId(reader.String("task"));
  task.attempt.epoch = reader.Unsigned("attempt_epoch");
  task.attempt.number = reader.Unsigned32("attempt_number");
  reader.RejectUnknownFields();
  return task;
}

Json Encode(const std::vector<TaskAttempt>& tasks) {
  Json array = Json::array();
  for (const TaskAttempt& task : tasks) {
    array.push_back(Encode(task));
  }
  return array;
}

std::vector<TaskAttempt> DecodeTaskAttempts(const Json& array) {
  std::vector<TaskAttempt> tasks;
  tasks.reserve(array.size());
  for (const Json& item : array) {
    tasks.push_back(DecodeTaskAttempt(item));
  }
  return tasks;
}

Json Encode(const RunningTask& task) {
  return {{"task", Encode(task.task)},
          {"class", task.job_class.str()},
          {"customer", task.customer.str()},
          {"phase", EncodeEnum(kPhaseNames, task.phase)},
          {"size", Encode(task.size)},
          {"usage", Encode(task.usage)},
          {"measured_at_ms", task.measured_at.ms},
          {"checkpoint", task.checkpoint}};
}

RunningTask DecodeRunningTask(const Json& json) {
  JsonReader reader(json, "running_task");
  RunningTask task;
  task.task = DecodeTaskAttempt(reader.Field("task"));
  task.job_class = JobClass(reader.String("class"));
  task.customer = CustomerId(reader.String("customer"));
  task.phase = DecodeEnum(reader, "phase", kPhaseNames);
  task.size = DecodeResources(reader.Field("size"));
  task.usage = DecodeResources(reader.Field("usage"));
  task.measured_at.ms = reader.Signed("measured_at_ms");
  task.checkpoint = reader.String("checkpoint");
  reader.RejectUnknownFields();
  return task;
}

Json Encode(const EndedTask& task) {
  return {{"task", Encode(task.task)},
          {"class", task.job_class.str()},
          {"end", EncodeEnum(kEndNames, task.end)},
          {"checkpoint", task.checkpoint}};
}

EndedTask DecodeEndedTask(const Json& json) {
  JsonReader reader(json, "ended_task");
  EndedTask task;
  task.task = DecodeTaskAttempt(reader.Field("task"));
  task.job_class = JobClass(reader.String("class"));
  task.end = DecodeEnum(reader, "end", kEndNames);
  task.checkpoint = reader.String("checkpoint");
  reader.RejectUnknownFields();
  return task;
}

Json Encode(const ServiceMeasurement& measurement) {
  return {{"service", measurement.service.str()},
          {"p99_us", measurement.p99.count()},
          {"requests_per_second", measurement.requests_per_second},
          {"measured_at_ms", measurement.measured_at.ms}};
}

ServiceMeasurement DecodeServiceMeasurement(const Json& json) {
  JsonReader reader(json, "service_measurement");
  ServiceMeasurement measurement;
  measurement.service = ServiceId(reader.String("service"));
  measurement.p99 = Duration(reader.Signed("p99_us"));
  measurement.requests_per_second = reader.Unsigned32("requests_per_second");
  measurement.measured_at.ms = reader.Signed("measured_at_ms");
  reader.RejectUnknownFields();
  return measurement;
}

// Encodes the common header and the fields of each command type.
class CommandEncoder {
 public:
  explicit CommandEncoder(Json& json) : json_(json) {}

  void operator()(const InstallEpoch& command) { WriteHeader("install_epoch", command.header); }
  void operator()(const StartTask& command) {
    WriteHeader("start", command.header);
    json_["task"] = Encode(command.task);
    json_["class"] = command.job_class.str();
    json_["customer"] = command.customer.str();
    json_["size"] = Encode(command.size);
    json_["checkpoint"] = command.checkpoint;
    json_["lease_until_ms"] = command.lease_until.ms;
  }
  void operator()(const StopTask& command) {
    WriteHeader("stop", command.header);
    json_["task"] = Encode(command.task);
  }
  void operator()(const CheckpointTask& command) {
    WriteHeader("checkpoint", command.header);
    json_["task"] = Encode(command.task);
  }
  void operator()(const ThrottleTask& command) {
    WriteHeader("throttle", command.header);
    json_["task"] = Encode(command.task);
    json_["permille"] = command.permille;
  }
  void operator()(const RenewLeases& command) {
    WriteHeader("renew", command.header);
    json_["tasks"] = Encode(command.tasks);
    json_["lease_until_ms"] = command.lease_until.ms;
    json_["forget"] = Encode(command.forget);
  }
  void operator()(const ReadState& command) { WriteHeader("state", command.header); }

 private:
  void WriteHeader(std::string_view type, const CommandHeader& header) {
    json_ = {{"type", type},
             {"id", header.id.str()},
             {"epoch", header.epoch},
             {"incarnation", header.incarnation}};
  }

  Json& json_;
};

WorkerCommand DecodeStart(JsonReader& reader, CommandHeader header) {
  StartTask command{std::move(header), {}, {}, {}, {}, {}, {}};
  command.task = DecodeTaskAttempt(reader.Field("task"));
  command.job_class = JobClass(reader.String("class"));
  command.customer = CustomerId(reader.String("customer"));
  command.size = DecodeResources(reader.Field("size"));
  command.checkpoint = reader.String("checkpoint");
  command.lease_until.ms = reader.Signed("lease_until_ms");
  return command;
}

WorkerCommand DecodeThrottle(JsonReader& reader, CommandHeader header) {
  ThrottleTask command{std::move(header), {}, 0};
  command.task = DecodeTaskAttempt(reader.Field("task"));
  command.permille = static_cast<std::uint32_t>(reader.Unsigned("permille", kFullRatePermille));
  if (command.permille == 0) {
    reader.Fail("permille", "zero");
  }
  return command;
}

WorkerCommand DecodeRenew(JsonReader& reader, CommandHeader header) {
  RenewLeases command{std::move(header), {}, {}, {}};
  command.tasks = DecodeTaskAttempts(reader.Array("tasks"));
  command.lease_until.ms = reader.Signed("lease_until_ms");
  command.forget = DecodeTaskAttempts(reader.Array("forget"));
  return command;
}

WorkerCommand DecodeCommand(JsonReader& reader, const std::string& type, CommandHeader header) {
  if (type == "install_epoch") {
    return InstallEpoch{std::move(header)};
  }
  if (type == "start") {
    return DecodeStart(reader, std::move(header));
  }
  if (type == "stop") {
    return StopTask{std::move(header), DecodeTaskAttempt(reader.Field("task"))};
  }
  if (type == "checkpoint") {
    return CheckpointTask{std::move(header), DecodeTaskAttempt(reader.Field("task"))};
  }
  if (type == "throttle") {
    return DecodeThrottle(reader, std::move(header));
  }
  if (type == "renew") {
    return DecodeRenew(reader, std::move(header));
  }
  if (type == "state") {
    return ReadState{std::move(header)};
  }
  reader.Fail("type", "unknown value");
}

}  // namespace

const CommandHeader& HeaderOf(const WorkerCommand& command) {
  return std::visit([](const auto& any) -> const CommandHeader& { return any.header; }, command);
}

void to_json(Json& json, const WorkerCommand& command) {
  std::visit(CommandEncoder(json), command);
}

void from_json(const Json& json, WorkerCommand& command) {
  JsonReader reader(json, "command");
  const std::string type = reader.String("type");
  CommandHeader header;
  header.id = CommandId(reader.String("id"));
  header.epoch = reader.Unsigned("epoch");
  header.incarnation = reader.Unsigned("incarnation");
  command = DecodeCommand(reader, type, std::move(header));
  reader.RejectUnknownFields();
}

void to_json(Json& json, const CommandResult& result) {
  json = {{"status", EncodeEnum(kStatusNames, result.status)},
          {"epoch_held", result.epoch_held},
          {"incarnation", result.incarnation},
          {"worker_time_ms", result.worker_time.ms}};
}

void from_json(const Json& json, CommandResult& result) {
  JsonReader reader(json, "result");
  result.status = DecodeEnum(reader, "status", kStatusNames);
  result.epoch_held = reader.Unsigned("epoch_held");
  result.incarnation = reader.Unsigned("incarnation");
  result.worker_time.ms = reader.Signed("worker_time_ms");
  reader.RejectUnknownFields();
}

void to_json(Json& json, const WorkerState& state) {
  json = {{"epoch_held", state.epoch_held},
          {"incarnation", state.incarnation},
          {"worker_time_ms", state.worker_time.ms},
          {"running", Json::array()},
          {"ended", Json::array()},
          {"services", Json::array()}};
  for (const RunningTask& task : state.running) {
    json["running"].push_back(Encode(task));
  }
  for (const EndedTask& task : state.ended) {
    json["ended"].push_back(Encode(task));
  }
  for (const ServiceMeasurement& measurement : state.services) {
    json["services"].push_back(Encode(measurement));
  }
}

void from_json(const Json& json, WorkerState& state) {
  JsonReader reader(json, "state");
  state = {};
  state.epoch_held = reader.Unsigned("epoch_held");
  state.incarnation = reader.Unsigned("incarnation");
  state.worker_time.ms = reader.Signed("worker_time_ms");
  for (const Json& item : reader.Array("running")) {
    state.running.push_back(DecodeRunningTask(item));
  }
  for (const Json& item : reader.Array("ended")) {
    state.ended.push_back(DecodeEndedTask(item));
  }
  for (const Json& item : reader.Array("services")) {
    state.services.push_back(DecodeServiceMeasurement(item));
  }
  reader.RejectUnknownFields();
}

}  // namespace cactusshelf
