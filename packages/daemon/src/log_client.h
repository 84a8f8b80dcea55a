#ifndef CACTUSSHELF_DAEMON_LOG_CLIENT_H_
#define CACTUSSHELF_DAEMON_LOG_CLIENT_H_

#include <string>

#include "cactusshelf/daemon/http_client.h"
#include "cactusshelf/daemon/interfaces.h"

namespace cactusshelf {

// Appends to and reads from one stream of the log service. Not thread-safe.
class LogClient {
 public:
  struct Options {
    std::string address;  // "IP:port".
    std::string stream;
    Duration timeout{};  // Of an append; a read adds its long-poll time.
    std::size_t max_response_bytes = 0;
  };

  LogClient(Options options, EventSink sink);

  void Read(const node_effect::ReadLog& read);
  void Append(const node_effect::AppendToLog& append);

 private:
  void OnRead(Time started, const HttpResult& result);
  void OnAppended(AppendToken token, const HttpResult& result);

  Options options_;
  EventSink sink_;
  HttpClient http_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_LOG_CLIENT_H_
