#include "log_client.h"

#include <memory>
#include <utility>

#include "cactusshelf/base/errors.h"
#include "cactusshelf/daemon/clock.h"
#include "cactusshelf/version/log_protocol.h"
#include "successful_body.h"

namespace cactusshelf {

LogClient::LogClient(Options options, EventSink sink)
    : options_(std::move(options)), sink_(std::move(sink)) {}

void LogClient::Read(const node_effect::ReadLog& read) {
  const auto wait = std::chrono::ceil<std::chrono::milliseconds>(read.wait);
  const std::string path = LogProtocol::ReadPath(options_.stream, read.from, wait);
  // The clock is read before the request is sent, since the node's authority lease starts at this
  // time.
  const Time started = SystemClock().Read().monotonic;
  HttpCall call;
  call.method = "GET";
  call.url = "http://" + options_.address + path;
  call.timeout = read.wait + options_.timeout;
  call.max_response_bytes = options_.max_response_bytes;
  call.on_done = [this, started](const HttpResult& result) { OnRead(started, result); };
  http_.Start(std::move(call));
}

void LogClient::OnRead(Time started, const HttpResult& result) {
  NodeEvent event;
  try {
    ReadReply reply = LogProtocol::DecodeReadReply(SuccessfulBody(result));
    node_event::LogRead read{started, reply.first, reply.next, {}};
    for (StoredRecord& record : reply.records) {
      read.entries.push_back({record.offset, record.time, std::move(record.data)});
    }
    event = std::move(read);
  } catch (const Error& error) {
    event = node_event::LogReadFailed{error.what()};
  }
  sink_(std::move(event));
}

void LogClient::Append(const node_effect::AppendToLog& append) {
  const AppendToken token = append.token;
  HttpCall call;
  call.url = "http://" + options_.address + LogProtocol::AppendPath(options_.stream);
  call.headers = {{"Content-Type", std::string(LogProtocol::kAppendContentType)}};
  call.body = std::make_shared<const std::string>(append.data);
  call.timeout = options_.timeout;
  call.max_response_bytes = options_.max_response_bytes;
  call.on_done = [this, token](const HttpResult& result) { OnAppended(token, result); };
  http_.Start(std::move(call));
}

void LogClient::OnAppended(AppendToken token, const HttpResult& result) {
  NodeEvent event;
  try {
    event = node_event::AppendDone{token, LogProtocol::DecodeAppendReply(SuccessfulBody(result))};
  } catch (const Error& error) {
    event = node_event::AppendFailed{token, error.what()};
  }
  sink_(std::move(event));
}

}  // namespace cactusshelf
