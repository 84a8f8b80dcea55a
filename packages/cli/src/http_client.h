#ifndef CACTUSSHELF_CLI_SRC_HTTP_CLIENT_H_
#define CACTUSSHELF_CLI_SRC_HTTP_CLIENT_H_

#include <chrono>
#include <concepts>
#include <memory>
#include <string>
#include <string_view>

#include "cactusshelf/base/errors.h"

namespace cactusshelf {

struct HttpReply {
  unsigned status = 0;
  std::string body;
};

// No complete response arrived. The request may have taken effect.
class HttpError : public Error {
 public:
  using Error::Error;
};

// HTTP client for a single server. Both functions block, and throw HttpError on failure.
template <typename T>
concept HttpTransport = requires(T transport, const std::string& path, std::string_view body,
                                 std::string_view content_type) {
  { transport.Get(path) } -> std::same_as<HttpReply>;
  { transport.Post(path, body, content_type) } -> std::same_as<HttpReply>;
};

// HttpTransport that uses a synchronous libsoup session. Not thread-safe.
class HttpClient {
 public:
  // Throws SettingsError unless `address` has the form "<IP address>:<port>".
  HttpClient(const std::string& address, std::chrono::seconds timeout);
  ~HttpClient();
  HttpClient(HttpClient&&) noexcept;
  HttpClient& operator=(HttpClient&&) noexcept;

  HttpReply Get(const std::string& path);
  HttpReply Post(const std::string& path, std::string_view body, std::string_view content_type);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

static_assert(HttpTransport<HttpClient>);

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CLI_SRC_HTTP_CLIENT_H_
