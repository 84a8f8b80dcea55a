#include <list>
#include <string>

#include "cactusshelf/base/sha256.h"
#include "control_handler.h"
#include "endpoint_model.h"
#include "standin_server.h"
#include "timer.h"

namespace cactusshelf {
namespace {

constexpr int kNotTruncated = -1;

// Endpoint of a service. Executes every POST request whose path is not /control.
class EndpointStandin {
 public:
  EndpointStandin(StandinServer& server, const cxxopts::ParseResult& arguments)
      : server_(server),
        name_(arguments["name"].as<std::string>()),
        model_(arguments["slots"].as<unsigned>()),
        service_time_(std::chrono::milliseconds(arguments["service-time-ms"].as<std::int64_t>())) {
    server.SetMaxConnections(arguments["connections"].as<std::size_t>());
    RegisterSettings();
    server.SetHandler([this](const ExchangePtr& exchange) { Handle(exchange); });
  }

 private:
  void RegisterSettings() {
    control_handler_.AddDurationSetting("service_time_ms", service_time_);
    control_handler_.AddSetting("leaving", model_.leaving);
    control_handler_.AddSetting("slow", slow_factor_);
    control_handler_.AddSetting("fail", fail_);
    control_handler_.AddSetting("cut_body_at", cut_body_at_);
    control_handler_.AddSetting("close_after_reading", close_after_reading_);
    control_handler_.AddSetter("hold_answers", [this](const nlohmann::json& value) {
      hold_answers_ = value.get<bool>();
      ReleaseHeldResponses();
    });
  }

  void Handle(const ExchangePtr& exchange) {
    if (control_handler_.Handle(exchange)) {
      return;
    }
    if (exchange->Path() == "/control/executions") {
      exchange->Respond(SOUP_STATUS_OK, Statistics());
      return;
    }
    if (exchange->Method() != "POST") {
      exchange->Respond(SOUP_STATUS_METHOD_NOT_ALLOWED,
                        {{"error", "only POST requests are executed"}});
      return;
    }
    ExecuteRequest(exchange);
  }

  void ExecuteRequest(const ExchangePtr& exchange) {
    const std::string request_id = exchange->Header("Cactusshelf-Request-Id");
    if (!model_.StartRequest(request_id)) {
      exchange->AddResponseHeader("Cactusshelf-Refused", "true");
      exchange->Respond(SOUP_STATUS_SERVICE_UNAVAILABLE, {{"error", "refused"}});
      return;
    }
    const auto time = std::chrono::duration_cast<Duration>(service_time_ * slow_factor_);
    RunAfter(time, [this, exchange] { FinishRequest(exchange); });
  }

  void FinishRequest(const ExchangePtr& exchange) {
    model_.FinishRequest();
    if (hold_answers_) {
      held_exchanges_.push_back(exchange);
      return;
    }
    RespondToRequest(exchange);
  }

  void RespondToRequest(const ExchangePtr& exchange) {
    const std::string request_id = exchange->Header("Cactusshelf-Request-Id");
    const nlohmann::json response = {{"request_id", request_id},
                                     {"digest", Sha256Hex(exchange->Body())},
                                     {"path", exchange->Path()},
                                     {"method", exchange->Header("Cactusshelf-Method")},
                                     {"endpoint", name_}};
    if (close_after_reading_) {
      exchange->Close();
    } else if (cut_body_at_ != kNotTruncated) {
      exchange->RespondTruncated(SOUP_STATUS_OK, response, static_cast<std::size_t>(cut_body_at_));
    } else {
      exchange->Respond(fail_ ? SOUP_STATUS_INTERNAL_SERVER_ERROR : SOUP_STATUS_OK, response);
    }
  }

  void ReleaseHeldResponses() {
    if (hold_answers_) {
      return;
    }
    for (const ExchangePtr& exchange : held_exchanges_) {
      RespondToRequest(exchange);
    }
    held_exchanges_.clear();
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
  ControlHandler control_handler_;
  EndpointModel model_;
  Duration service_time_;
  double slow_factor_ = 1;
  bool fail_ = false;
  // Number of bytes of each response body that are sent before the connection is closed.
  int cut_body_at_ = kNotTruncated;
  bool close_after_reading_ = false;
  bool hold_answers_ = false;
  std::list<ExchangePtr> held_exchanges_;
};

}  // namespace
}  // namespace cactusshelf

int main(int argc, char** argv) {
  cxxopts::Options options("standin_endpoint", "Stand-in for an endpoint of a service");
  options.add_options()("name", "name of the endpoint in its responses",
                        cxxopts::value<std::string>()->default_value("endpoint"))(
      "slots", "maximum number of concurrent requests",
      cxxopts::value<unsigned>()->default_value("8"))(
      "connections", "maximum number of open connections",
      cxxopts::value<std::size_t>()->default_value("64"))(
      "service-time-ms", "execution time of a request",
      cxxopts::value<std::int64_t>()->default_value("5"));
  return cactusshelf::RunStandin<cactusshelf::EndpointStandin>(argc, argv, options);
}
