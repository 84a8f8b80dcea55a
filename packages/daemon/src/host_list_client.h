#ifndef CACTUSSHELF_DAEMON_HOST_LIST_CLIENT_H_
#define CACTUSSHELF_DAEMON_HOST_LIST_CLIENT_H_

#include <string>
#include <string_view>

#include "cactusshelf/daemon/http_client.h"
#include "cactusshelf/daemon/interfaces.h"

namespace cactusshelf {

// Decodes {"hosts": [{"name": "...", "state": "live" or "leaving"}]}. Throws DecodeError if `json`
// does not have this form.
node_event::HostsRead DecodeHosts(std::string_view json);

// Reads the platform's host list. Not thread-safe.
class HostListClient {
 public:
  struct Options {
    std::string address;  // "IP:port".
    Duration timeout{};
    std::size_t max_response_bytes = 0;
  };

  HostListClient(Options options, EventSink sink);

  void Read();

 private:
  void OnRead(const HttpResult& result);

  Options options_;
  EventSink sink_;
  HttpClient http_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_HOST_LIST_CLIENT_H_
