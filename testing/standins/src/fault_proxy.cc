#include <list>
#include <memory>
#include <string>

#include "cactusshelf/base/random.h"
#include "control_handler.h"
#include "proxy_connection.h"
#include "standin_server.h"
#include "timer.h"

namespace cactusshelf {
namespace {

// TCP proxy that injects faults. The options --listen and --port-file apply to the HTTP control
// interface, --proxy-listen and --proxy-port-file to the proxy itself.
class FaultProxy {
 public:
  FaultProxy(StandinServer& server, const cxxopts::ParseResult& arguments)
      : random_(arguments["seed"].as<std::uint64_t>()),
        service_(ListenOn(arguments["proxy-listen"].as<std::string>(),
                          arguments["proxy-port-file"].as<std::string>())) {
    const auto [host, port] = ParseAddress(arguments["target"].as<std::string>());
    target_ = g_inet_socket_address_new_from_string(host.c_str(), port);
    RegisterSettings();
    server.SetHandler([this](const ExchangePtr& exchange) { Handle(exchange); });
    g_signal_connect(service_, "incoming", G_CALLBACK(OnIncoming), this);
    g_socket_service_start(service_);
  }

  ~FaultProxy() {
    g_socket_service_stop(service_);
    g_object_unref(service_);
    g_object_unref(target_);
  }
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

 private:
  void RegisterSettings() {
    control_handler_.AddDurationSetting("delay_ms", faults_.delay);
    control_handler_.AddDurationSetting("variation_ms", faults_.variation);
    control_handler_.AddSetting("stall_probability", faults_.stall_probability);
    control_handler_.AddDurationSetting("stall_ms", faults_.stall);
    control_handler_.AddSetting("cut_after_bytes", faults_.cut_after_bytes);
    control_handler_.AddSetting("half_open", faults_.half_open);
    control_handler_.AddSetting("bytes_per_second", faults_.bytes_per_second);
    control_handler_.AddSetting("swallow_answer", faults_.swallow_answer);
  }

  void Handle(const ExchangePtr& exchange) {
    if (!control_handler_.Handle(exchange)) {
      exchange->Respond(SOUP_STATUS_OK, {{"accepted", accepted_}});
    }
  }

  static gboolean OnIncoming(GSocketService* /*service*/, GSocketConnection* client,
                             GObject* /*source*/, gpointer data) {
    auto& self = *static_cast<FaultProxy*>(data);
    ++self.accepted_;
    std::make_shared<ProxyConnection>(client, self.faults_, self.random_)->ConnectTo(self.target_);
    return TRUE;
  }

  ControlHandler control_handler_;
  ProxyFaults faults_;
  Random random_;
  GSocketService* service_;
  GSocketAddress* target_ = nullptr;
  std::uint64_t accepted_ = 0;
};

}  // namespace
}  // namespace cactusshelf

int main(int argc, char** argv) {
  cxxopts::Options options("fault_proxy", "TCP proxy that injects faults");
  options.add_options()("target", "address and port to connect to", cxxopts::value<std::string>())(
      "proxy-listen", "address and port of the proxy",
      cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
      "proxy-port-file", "file to write the port of the proxy to",
      cxxopts::value<std::string>()->default_value(""))(
      "seed", "seed of the random delays and stalls",
      cxxopts::value<std::uint64_t>()->default_value("1"));
  return cactusshelf::RunStandin<cactusshelf::FaultProxy>(argc, argv, options);
}
