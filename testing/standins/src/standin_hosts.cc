#include <string>

#include "cactusshelf/base/errors.h"
#include "control_handler.h"
#include "host_list.h"
#include "standin_server.h"
#include "timer.h"

namespace cactusshelf {
namespace {

HostState ParseState(const std::string& text) {
  if (text == "live") {
    return HostState::kLive;
  }
  if (text == "leaving") {
    return HostState::kLeaving;
  }
  throw Error("unknown host state " + text);
}

class HostsStandin {
 public:
  HostsStandin(StandinServer& server, const cxxopts::ParseResult& arguments)
      : lag_(std::chrono::milliseconds(arguments["lag-ms"].as<std::int64_t>())) {
    control_handler_.AddDurationSetting("lag_ms", lag_);
    control_handler_.AddSetting("outage", outage_);
    control_handler_.AddSetter("hosts", [this](const nlohmann::json& value) { Replace(value); });
    control_handler_.AddSetter("update", [this](const nlohmann::json& value) { Update(value); });
    server.SetHandler([this](const ExchangePtr& exchange) { Handle(exchange); });
  }

 private:
  void Replace(const nlohmann::json& entries) {
    HostList::Hosts hosts;
    for (const nlohmann::json& entry : entries) {
      hosts[entry.at("name")] = ParseState(entry.at("state"));
    }
    hosts_.Replace(std::move(hosts), MonotonicNow());
  }

  // Changes the listed hosts only; the state "gone" removes a host.
  void Update(const nlohmann::json& entries) {
    for (const nlohmann::json& entry : entries) {
      if (entry.at("state") == "gone") {
        hosts_.Remove(entry.at("name"), MonotonicNow());
      } else {
        hosts_.Set(entry.at("name"), ParseState(entry.at("state")), MonotonicNow());
      }
    }
  }

  void Handle(const ExchangePtr& exchange) {
    if (control_handler_.Handle(exchange)) {
      return;
    }
    if (exchange->Method() != "GET" || exchange->Path() != "/v1/hosts") {
      throw Error("unknown path " + exchange->Path());
    }
    if (outage_) {
      exchange->Respond(SOUP_STATUS_SERVICE_UNAVAILABLE, {{"error", "outage"}});
      return;
    }
    nlohmann::json hosts = nlohmann::json::array();
    for (const auto& [name, state] : hosts_.Read(lag_, MonotonicNow())) {
      hosts.push_back({{"name", name}, {"state", state == HostState::kLive ? "live" : "leaving"}});
    }
    exchange->Respond(SOUP_STATUS_OK, {{"hosts", hosts}});
  }

  ControlHandler control_handler_;
  HostList hosts_;
  Duration lag_;
  bool outage_ = false;
};

}  // namespace
}  // namespace cactusshelf

int main(int argc, char** argv) {
  cxxopts::Options options("standin_hosts", "Stand-in for the platform's host list");
  options.add_options()("lag-ms", "delay before a change of the list becomes visible",
                        cxxopts::value<std::int64_t>()->default_value("1000"));
  return cactusshelf::RunStandin<cactusshelf::HostsStandin>(argc, argv, options);
}
