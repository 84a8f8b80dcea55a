#include "host_list_client.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "cactusshelf/base/errors.h"
#include "successful_body.h"

namespace cactusshelf {
namespace {

using nlohmann::json;

node_event::HostState DecodeState(const std::string& text) {
  if (text == "live") return node_event::HostState::kLive;
  if (text == "leaving") return node_event::HostState::kLeaving;
  throw DecodeError("unknown host state \"" + text + "\"");
}

node_event::HostEntry DecodeHost(const json& host) {
  return {host.at("name").get<std::string>(), DecodeState(host.at("state").get<std::string>())};
}

}  // namespace

node_event::HostsRead DecodeHosts(std::string_view text) {
  try {
    const json response = json::parse(text);
    node_event::HostsRead read;
    for (const json& host : response.at("hosts")) read.hosts.push_back(DecodeHost(host));
    return read;
  } catch (const json::exception& error) {
    throw DecodeError(error.what());
  }
}

HostListClient::HostListClient(Options options, EventSink sink)
    : options_(std::move(options)), sink_(std::move(sink)) {}

void HostListClient::Read() {
  HttpCall call;
  call.method = "GET";
  call.url = "http://" + options_.address + "/v1/hosts";
  call.timeout = options_.timeout;
  call.max_response_bytes = options_.max_response_bytes;
  call.on_done = [this](const HttpResult& result) { OnRead(result); };
  http_.Start(std::move(call));
}

void HostListClient::OnRead(const HttpResult& result) {
  NodeEvent event;
  try {
    event = DecodeHosts(SuccessfulBody(result));
  } catch (const Error& error) {
    event = node_event::HostsReadFailed{error.what()};
  }
  sink_(std::move(event));
}

}  // namespace cactusshelf
