#include <list>
#include <string>

#include "cactusshelf/base/sha256.h"
#include "control_handler.h"
#include "endpoint_model.h"
#include "standin_server.h"
#include "timer.h"

namespace cactusshelf {
namespace {

constexpr int kNoCut = -1;

// Endpoint of a service. Every POST outside /control is work.
class EndpointStandin {
 public:
  EndpointStandin(StandinServer& server, const cxxopts::ParseResult& arguments)
      : server_(server),
        name_(arguments["name"].as<std::string>()),
        model_(arguments["slots"].as<unsigned>()),
        service_time_(std::chrono::milliseconds(arguments["service-time-ms"].as<std::int64_t>())) {
    server.SetMaxConnections(arguments["connections"].as<std::size_t>());
    AddControls();
    server.SetHandler([this](const ExchangePtr& exchange) { Handle(exchange); });
  }

 private:
  void AddControls() {
    control_.AddMilliseconds("service_time_ms", service_time_);
    control_.Add("leaving", model_.leaving);
    control_.Add("slow", slow_factor_);
    control_.Add("fail", fail_);
    control_.Add("cut_body_at", cut_body_at_);
    control_.Add("close_after_reading", close_after_reading_);
    control_.AddAction("hold_answers", [this](const nlohmann::json& value) {
      hold_answers_ = value.get<bool>();
      ReleaseHeld();
    });
  }

  void Handle(const ExchangePtr& exchange) {
    if (control_.Handle(exchange)) {
      return;
    }
    if (exchange->Path() == "/control/executions") {
      exchange->Answer(SOUP_STATUS_OK, Statistics());
      return;
    }
    if (exchange->Method() != "POST") {
      exchange->Answer(SOUP_STATUS_METHOD_NOT_ALLOWED, {{"error", "only POST is work"}});
      return;
    }
    Work(exchange);
  }

  void Work(const ExchangePtr& exchange) {
    const std::string request_id = exchange->Header("Cactusshelf-Request-Id");
    if (!model_.Start(request_id)) {
      exchange->AddAnswerHeader("Cactusshelf-Refused", "true");
      exchange->Answer(SOUP_STATUS_SERVICE_UNAVAILABLE, {{"error", "refused"}});
      return;
    }
    const auto time = std::chrono::duration_cast<Duration>(service_time_ * slow_factor_);
    RunAfter(time, [this, exchange] { FinishWork(exchange); });
  }

  void FinishWork(const ExchangePtr& exchange) {
    model_.Finish();
    if (hold_answers_) {
      held_.push_back(exchange);
      return;
    }
    AnswerWork(exchange);
  }

  void AnswerWork(const ExchangePtr& exchange) {
    const std::string request_id = exchange->Header("Cactusshelf-Request-Id");
    const nlohmann::json answer = {{"request_id", request_id},
                                   {"digest", Sha256Hex(exchange->Body())},
                                   {"path", exchange->Path()},
                                   {"method", exchange->Header("Cactusshelf-Method")},
                                   {"endpoint", name_}};
    if (close_after_reading_) {
      exchange->Close();
    } else if (cut_body_at_ != kNoCut) {
      exchange->AnswerCut(SOUP_STATUS_OK, answer, static_cast<std::size_t>(cut_body_at_));
    } else {
      exchange->Answer(fail_ ? SOUP_STATUS_INTERNAL_SERVER_ERROR : SOUP_STATUS_OK, answer);
    }
  }

  void ReleaseHeld() {
    if (hold_answers_) {
      return;
    }
    for (const ExchangePtr& exchange : held_) {
      AnswerWork(exchange);
    }
    held_.clear();
  }

  nlohmann::json Statistics() const {
    return {{"executions", model_.executions()},
            {"busy", model_.busy()},
            {"max_busy", model_.max_busy()},
            {"refused_busy", model_.refused_busy()},
            {"refused_leaving", model_.refused_leaving()},
            {"connections", server_.connections()},
            {"max_connections", server_.max_connections_seen()},
            {"connections_refused", server_.connections_refused()}};
  }

  StandinServer& server_;
  std::string name_;
  Control control_;
  EndpointModel model_;
  Duration service_time_;
  double slow_factor_ = 1;
  bool fail_ = false;
  // Number of bytes of each answer that are sent before the connection is closed.
  int cut_body_at_ = kNoCut;
  bool close_after_reading_ = false;
  bool hold_answers_ = false;
  std::list<ExchangePtr> held_;
};

}  // namespace
}  // namespace cactusshelf

int main(int argc, char** argv) {
  cxxopts::Options options("standin_endpoint", "Stand-in for an endpoint of a service");
  options.add_options()("name", "name in answers",
                        cxxopts::value<std::string>()->default_value("endpoint"))(
      "slots", "requests executed at a time", cxxopts::value<unsigned>()->default_value("8"))(
      "connections", "open connections", cxxopts::value<std::size_t>()->default_value("64"))(
      "service-time-ms", "time that one request takes",
      cxxopts::value<std::int64_t>()->default_value("5"));
  return cactusshelf::RunStandin<cactusshelf::EndpointStandin>(argc, argv, options);
}
