#include "worker_commands.h"

#include "cactusshelf/base/errors.h"

namespace cactusshelf {
namespace {

using nlohmann::json;

constexpr std::int64_t kDefaultLeaseMs = 15000;
constexpr std::int64_t kFullShare = 1000;

Duration Milliseconds(const json& value) {
  return std::chrono::milliseconds(value.get<std::int64_t>());
}

TaskAttempt DecodeAttempt(const json& value) {
  return {TaskId(value.at("task").get<std::string>()), value.at("attempt").get<std::uint64_t>()};
}

StartTask DecodeStart(const json& value) {
  StartTask start;
  start.attempt = DecodeAttempt(value);
  start.resources.processors_millis = value.at("processors_millis").get<std::int64_t>();
  start.resources.memory_bytes = value.at("memory_bytes").get<std::int64_t>();
  start.resources.accelerators = value.value("accelerators", std::int64_t{0});
  start.lease = std::chrono::milliseconds(value.value("lease_ms", kDefaultLeaseMs));
  if (value.contains("run_ms")) {
    start.run_time = Milliseconds(value.at("run_ms"));
  }
  start.checkpoint = value.value("checkpoint", "");
  return start;
}

RenewLeases DecodeRenewal(const json& value) {
  RenewLeases renewal;
  for (const json& entry : value.at("tasks")) {
    renewal.attempts.push_back(DecodeAttempt(entry));
  }
  renewal.lease = std::chrono::milliseconds(value.value("lease_ms", kDefaultLeaseMs));
  return renewal;
}

decltype(WorkerCommand::body) DecodeBody(const json& value) {
  const std::string type = value.at("type");
  if (type == "install_epoch") {
    return InstallEpoch{};
  }
  if (type == "start_task") {
    return DecodeStart(value);
  }
  if (type == "stop_task") {
    return StopTask{DecodeAttempt(value)};
  }
  if (type == "checkpoint_task") {
    return CheckpointTask{DecodeAttempt(value)};
  }
  if (type == "throttle_task") {
    return ThrottleTask{DecodeAttempt(value), value.value("share_millis", kFullShare)};
  }
  if (type == "renew_leases") {
    return DecodeRenewal(value);
  }
  throw DecodeError("unknown worker command " + type);
}

std::string ToString(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kNone:
      return "";
    case RefusalReason::kStaleEpoch:
      return "stale_epoch";
    case RefusalReason::kEpochNotInstalled:
      return "epoch_not_installed";
    case RefusalReason::kNoCapacity:
      return "no_capacity";
    case RefusalReason::kAttemptNotNew:
      return "attempt_not_new";
    case RefusalReason::kNoSuchTask:
      return "no_such_task";
  }
  return "";
}

}  // namespace

WorkerCommand DecodeWorkerCommand(const json& value) {
  try {
    return {CommandId(value.at("command_id").get<std::string>()),
            value.at("epoch").get<std::uint64_t>(), DecodeBody(value)};
  } catch (const json::exception& e) {
    throw DecodeError(e.what());
  }
}

json EncodeResult(const CommandResult& result) {
  json value = {{"command_id", result.id.str()},
                {"result", result.refusal == RefusalReason::kNone ? "done" : "refused"},
                {"epoch", result.epoch}};
  if (result.refusal != RefusalReason::kNone) {
    value["reason"] = ToString(result.refusal);
  }
  if (!result.checkpoint.empty()) {
    value["checkpoint"] = result.checkpoint;
  }
  return value;
}

json EncodeResources(const Resources& resources) {
  return {{"processors_millis", resources.processors_millis},
          {"memory_bytes", resources.memory_bytes},
          {"accelerators", resources.accelerators}};
}

}  // namespace cactusshelf
