#include <list>
#include <string>

#include "cactusshelf/base/errors.h"
#include "control.h"
#include "standin_server.h"
#include "timer.h"
#include "worker_commands.h"
#include "worker_model.h"

namespace cactusshelf {
namespace {

constexpr Duration kAdvancePeriod = std::chrono::milliseconds(50);
constexpr Duration kSamplePeriod = std::chrono::seconds(1);

std::int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

std::string ToString(TaskEventKind kind) {
  switch (kind) {
    case TaskEventKind::kStarted:
      return "started";
    case TaskEventKind::kStopped:
      return "stopped";
    case TaskEventKind::kFinished:
      return "finished";
    case TaskEventKind::kFailed:
      return "failed";
    case TaskEventKind::kLeaseExpired:
      return "lease_expired";
  }
  return "";
}

class WorkerStandin {
 public:
  WorkerStandin(StandinServer& server, const cxxopts::ParseResult& arguments)
      : name_(arguments["name"].as<std::string>()),
        rack_(arguments["rack"].as<std::string>()),
        model_({arguments["processors-millis"].as<std::int64_t>(),
                arguments["memory-bytes"].as<std::int64_t>(),
                arguments["accelerators"].as<std::int64_t>()}),
        usage_lag_(std::chrono::milliseconds(arguments["usage-lag-ms"].as<std::int64_t>())) {
    control_.Add("fail_everything", model_.fail_everything);
    control_.Add("usage_factor", model_.usage_factor);
    control_.AddMilliseconds("usage_lag_ms", usage_lag_);
    control_.AddMilliseconds("slow_ms", delay_);
    control_.Add("hang", hang_);
    server.SetHandler([this](const ExchangePtr& exchange) { Handle(exchange); });
    RunEvery(kAdvancePeriod, [this] { model_.Advance(MonotonicNow()); });
    RunEvery(kSamplePeriod, [this] { model_.SampleUsage(MonotonicNow()); });
  }

 private:
  void Handle(const ExchangePtr& exchange) {
    if (control_.Handle(exchange)) {
      return;
    }
    if (exchange->Path() == "/control/history") {
      exchange->Answer(SOUP_STATUS_OK, History());
      return;
    }
    if (hang_) {
      hung_.push_back(exchange);
      return;
    }
    RunAfter(delay_,
             [exchange, answer = Serve(*exchange)] { exchange->Answer(SOUP_STATUS_OK, answer); });
  }

  nlohmann::json Serve(const Exchange& exchange) {
    if (exchange.Method() == "POST" && exchange.Path() == "/v1/commands") {
      const WorkerCommand command = DecodeWorkerCommand(exchange.JsonBody());
      return EncodeResult(model_.Execute(command, MonotonicNow()));
    }
    if (exchange.Method() == "GET" && exchange.Path() == "/v1/state") {
      return State();
    }
    throw Error("unknown path " + exchange.Path());
  }

  nlohmann::json State() {
    const Time now = MonotonicNow();
    model_.Advance(now);
    nlohmann::json tasks = nlohmann::json::array();
    for (const auto& [id, task] : model_.tasks()) {
      tasks.push_back({{"task", id.str()},
                       {"attempt", task.attempt.attempt},
                       {"resources", EncodeResources(task.resources)},
                       {"share_millis", task.share_millis},
                       {"lease_remaining_ms", Milliseconds(task.lease_end - now)}});
    }
    nlohmann::json usage = nlohmann::json::array();
    for (const UsageSample& sample : model_.Usage(usage_lag_, now)) {
      usage.push_back({{"task", sample.attempt.task.str()},
                       {"attempt", sample.attempt.attempt},
                       {"age_ms", Milliseconds(now - sample.time)},
                       {"used", EncodeResources(sample.used)}});
    }
    nlohmann::json ended = nlohmann::json::array();
    for (const TaskEvent& event : model_.history()) {
      if (event.kind != TaskEventKind::kStarted) {
        ended.push_back(EncodeEvent(event));
      }
    }
    return {{"worker", name_},
            {"rack", rack_},
            {"epoch", model_.epoch()},
            {"capacity", EncodeResources(model_.capacity())},
            {"committed", EncodeResources(model_.Committed())},
            {"tasks", tasks},
            {"usage", usage},
            {"ended", ended}};
  }

  static nlohmann::json EncodeEvent(const TaskEvent& event) {
    return {{"time_ms", Milliseconds(event.time.time_since_epoch())},
            {"event", ToString(event.kind)},
            {"task", event.attempt.task.str()},
            {"attempt", event.attempt.attempt},
            {"epoch", event.epoch}};
  }

  nlohmann::json History() const {
    nlohmann::json events = nlohmann::json::array();
    for (const TaskEvent& event : model_.history()) {
      events.push_back(EncodeEvent(event));
    }
    const WorkerCounts& counts = model_.counts();
    return {{"events", events},
            {"overcommit_attempts", counts.overcommit_attempts},
            {"stale_epochs", counts.stale_epochs},
            {"repeated_commands", counts.repeated_commands},
            {"repeated_attempts", counts.repeated_attempts}};
  }

  std::string name_;
  std::string rack_;
  Control control_;
  WorkerModel model_;
  Duration usage_lag_;
  Duration delay_ = Duration::zero();
  bool hang_ = false;
  // Requests that are never answered.
  std::list<ExchangePtr> hung_;
};

}  // namespace
}  // namespace cactusshelf

int main(int argc, char** argv) {
  cxxopts::Options options("standin_worker", "Stand-in for a worker of the platform");
  options.add_options()("name", "name of the worker",
                        cxxopts::value<std::string>()->default_value("worker"))(
      "rack", "rack of the worker", cxxopts::value<std::string>()->default_value("rack"))(
      "processors-millis", "processors in thousandths",
      cxxopts::value<std::int64_t>()->default_value("16000"))(
      "memory-bytes", "memory", cxxopts::value<std::int64_t>()->default_value("60000000000"))(
      "accelerators", "accelerators", cxxopts::value<std::int64_t>()->default_value("0"))(
      "usage-lag-ms", "delay of usage reports",
      cxxopts::value<std::int64_t>()->default_value("10000"));
  return cactusshelf::RunStandin<cactusshelf::WorkerStandin>(argc, argv, options);
}
