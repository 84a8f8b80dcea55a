#include <list>
#include <string>

#include "cactusshelf/base/errors.h"
#include "cactusshelf/placement/worker_messages.h"
#include "control_handler.h"
#include "standin_server.h"
#include "timer.h"
#include "worker_model.h"

namespace cactusshelf {
namespace {

constexpr Duration kAdvancePeriod = std::chrono::milliseconds(50);
constexpr Duration kUsageMeasurementPeriod = std::chrono::seconds(1);

WorkerTime WorkerNow() {
  const Duration now = MonotonicNow().time_since_epoch();
  return {std::chrono::duration_cast<std::chrono::milliseconds>(now).count()};
}

std::string ToString(TaskEvent::Kind kind) {
  switch (kind) {
    case TaskEvent::Kind::kStarted:
      return "started";
    case TaskEvent::Kind::kFinished:
      return "finished";
    case TaskEvent::Kind::kFailed:
      return "failed";
    case TaskEvent::Kind::kStopped:
      return "stopped";
    case TaskEvent::Kind::kLeaseExpired:
      return "lease_expired";
  }
  return "";
}

nlohmann::json Encode(const TaskEvent& event) {
  return {{"time_ms", event.time.ms},
          {"event", ToString(event.kind)},
          {"task", event.task.task.str()},
          {"attempt_epoch", event.task.attempt.epoch},
          {"attempt_number", event.task.attempt.number},
          {"customer", event.customer.str()},
          {"epoch", event.epoch}};
}

class WorkerStandin {
 public:
  WorkerStandin(StandinServer& server, const cxxopts::ParseResult& arguments)
      : name_(arguments["name"].as<std::string>()),
        rack_(arguments["rack"].as<std::string>()),
        model_({arguments["milliprocessors"].as<std::int64_t>(),
                arguments["memory-bytes"].as<std::int64_t>(),
                arguments["accelerators"].as<std::int64_t>()},
               static_cast<std::uint64_t>(WallNow().time_since_epoch().count())) {
    model_.usage_lag = std::chrono::milliseconds(arguments["usage-lag-ms"].as<std::int64_t>());
    RegisterSettings();
    server.SetHandler([this](const ExchangePtr& exchange) { Handle(exchange); });
    RunEvery(kAdvancePeriod, [this] { model_.Advance(WorkerNow()); });
    RunEvery(kUsageMeasurementPeriod, [this] { model_.MeasureUsage(WorkerNow()); });
  }

 private:
  void RegisterSettings() {
    control_handler_.AddSetting("fail_everything", model_.fail_tasks_on_start);
    control_handler_.AddSetting("usage_factor", model_.usage_factor);
    control_handler_.AddDurationSetting("usage_lag_ms", model_.usage_lag);
    control_handler_.AddDurationSetting("slow_ms", response_delay_);
    control_handler_.AddSetting("hang", hang_);
    control_handler_.AddSetting("drop_answers", drop_answers_);
    // Value: {"<job class>": <ms>}
    control_handler_.AddSetter("run_times_ms", [this](const nlohmann::json& value) {
      for (const auto& item : value.items()) {
        model_.run_times[item.key()] = std::chrono::milliseconds(item.value().get<std::int64_t>());
      }
    });
    // Value: [{"service": <name>, "p99_us": <n>, "requests_per_second": <n>}]
    control_handler_.AddSetter("services",
                               [this](const nlohmann::json& value) { SetServices(value); });
  }

  void SetServices(const nlohmann::json& value) {
    std::vector<ServiceMeasurement> services;
    for (const nlohmann::json& entry : value) {
      services.push_back({ServiceId(entry.at("service").get<std::string>()),
                          Duration(entry.at("p99_us").get<std::int64_t>()),
                          entry.at("requests_per_second").get<std::uint32_t>(), WorkerNow()});
    }
    model_.services = std::move(services);
  }

  void Handle(const ExchangePtr& exchange) {
    if (control_handler_.Handle(exchange)) {
      return;
    }
    if (exchange->Path() == "/control/history") {
      exchange->Respond(SOUP_STATUS_OK, History());
      return;
    }
    if (hang_) {
      unanswered_exchanges_.push_back(exchange);
      return;
    }
    const nlohmann::json response = ExecuteRequest(*exchange);
    if (drop_answers_ > 0) {
      --drop_answers_;
      exchange->Close();
      return;
    }
    RunAfter(response_delay_,
             [exchange, response] { exchange->Respond(SOUP_STATUS_OK, response); });
  }

  nlohmann::json ExecuteRequest(const Exchange& exchange) {
    if (exchange.Method() == "GET" && exchange.Path() == "/v1/state") {
      return model_.State(WorkerNow());
    }
    if (exchange.Method() != "POST" || exchange.Path() != "/v1/commands") {
      throw Error("unknown path " + exchange.Path());
    }
    const auto command = exchange.JsonBody().get<WorkerCommand>();
    if (std::holds_alternative<ReadState>(command)) {
      return model_.State(WorkerNow());
    }
    return model_.Execute(command, WorkerNow());
  }

  nlohmann::json History() const {
    nlohmann::json events = nlohmann::json::array();
    for (const TaskEvent& event : model_.history()) {
      events.push_back(Encode(event));
    }
    const Resources committed = model_.Committed();
    const WorkerCounts& counts = model_.counts();
    return {{"worker", name_},
            {"rack", rack_},
            {"events", events},
            {"committed",
             {{"milliprocessors", committed.milliprocessors},
              {"memory_bytes", committed.memory_bytes},
              {"accelerators", committed.accelerators}}},
            {"overcommit_attempts", counts.overcommit_attempts},
            {"double_starts", counts.double_starts},
            {"wrong_epochs", counts.wrong_epochs},
            {"repeated_commands", counts.repeated_commands},
            {"used_attempts", counts.used_attempts}};
  }

  std::string name_;
  std::string rack_;
  ControlHandler control_handler_;
  WorkerModel model_;
  Duration response_delay_ = Duration::zero();
  bool hang_ = false;
  std::uint64_t drop_answers_ = 0;
  // Requests received while "hang" was set; they never get a response.
  std::list<ExchangePtr> unanswered_exchanges_;
};

}  // namespace
}  // namespace cactusshelf

int main(int argc, char** argv) {
  cxxopts::Options options("standin_worker", "Stand-in for a worker of the platform");
  options.add_options()("name", "name of the worker",
                        cxxopts::value<std::string>()->default_value("worker"))(
      "rack", "rack of the worker", cxxopts::value<std::string>()->default_value("rack"))(
      "milliprocessors", "CPU capacity in thousandths of a processor",
      cxxopts::value<std::int64_t>()->default_value("16000"))(
      "memory-bytes", "memory capacity in bytes",
      cxxopts::value<std::int64_t>()->default_value("60000000000"))(
      "accelerators", "number of accelerators", cxxopts::value<std::int64_t>()->default_value("0"))(
      "usage-lag-ms", "delay before a usage measurement is reported",
      cxxopts::value<std::int64_t>()->default_value("10000"));
  return cactusshelf::RunStandin<cactusshelf::WorkerStandin>(argc, argv, options);
}
