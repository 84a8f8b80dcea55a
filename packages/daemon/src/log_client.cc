#include "log_client.h"

#include <fmt/format.h>

#include <memory>
#include <utility>

#include "cactusshelf/base/errors.h"
#include "cactusshelf/daemon/clock.h"
#include "log_codec.h"
#include "successful_body.h"

namespace cactusshelf {

LogClient::LogClient(Options options, EventSink sink)
    : options_(std::move(options)),
      records_url_(
          fmt::format("http://{}/v1/streams/{}/records", options_.address, options_.stream)),
      sink_(std::move(sink)) {}

void LogClient::Read(const node_effect::ReadLog& read) {
  const auto wait = std::chrono::ceil<std::chrono::milliseconds>(read.wait);
  // Read before the request is sent, since the node's authority counts from this time.
  const Time started = SystemClock().Read().monotonic;
  HttpCall call;
  call.method = "GET";
  call.url = fmt::format("{}?from={}&wait_ms={}", records_url_, read.from, wait.count());
  call.timeout = read.wait + options_.timeout;
  call.max_answer_bytes = options_.max_answer_bytes;
  call.on_done = [this, started](const HttpResult& result) { OnRead(started, result); };
  http_.Start(std::move(call));
}

void LogClient::OnRead(Time started, const HttpResult& result) {
  NodeEvent event;
  try {
    LogPage page = DecodeReadAnswer(SuccessfulBody(result));
    event = node_event::LogRead{started, page.first, page.next, std::move(page.entries)};
  } catch (const Error& error) {
    event = node_event::LogReadFailed{error.what()};
  }
  sink_(std::move(event));
}

void LogClient::Append(const node_effect::AppendToLog& append) {
  const AppendToken token = append.token;
  HttpCall call;
  call.url = records_url_;
  call.headers = {{"Content-Type", "application/json"}};
  call.body = std::make_shared<const std::string>(EncodeAppend(append.data));
  call.timeout = options_.timeout;
  call.max_answer_bytes = options_.max_answer_bytes;
  call.on_done = [this, token](const HttpResult& result) { OnAppended(token, result); };
  http_.Start(std::move(call));
}

void LogClient::OnAppended(AppendToken token, const HttpResult& result) {
  NodeEvent event;
  try {
    event = node_event::AppendDone{token, DecodeAppendAnswer(SuccessfulBody(result))};
  } catch (const Error& error) {
    event = node_event::AppendFailed{token, error.what()};
  }
  sink_(std::move(event));
}

}  // namespace cactusshelf
