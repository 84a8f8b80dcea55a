#ifndef CACTUSSHELF_STANDINS_EXCHANGE_H_
#define CACTUSSHELF_STANDINS_EXCHANGE_H_

#include <libsoup/soup.h>

#include <cstddef>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace cactusshelf {

// One HTTP request and its response. If the handler returns without a response, the exchange stays
// paused until Respond(), RespondTruncated() or Close() is called. Exactly one of these functions
// may be called, and only once.
class Exchange {
 public:
  // `socket` is the connection of the request.
  Exchange(SoupServerMessage* message, GSocket* socket);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  std::string Method() const;
  std::string Path() const;
  // Returns the value of a request header, or an empty string if absent.
  std::string Header(const char* name) const;
  // Returns the value of a query parameter, or `default_value` if absent. Throws
  // std::invalid_argument if the value is not a number, std::out_of_range if it is too large.
  std::int64_t QueryNumber(const char* name, std::int64_t default_value) const;
  std::string Body() const;
  // Throws nlohmann::json::exception if the body is not valid JSON.
  nlohmann::json JsonBody() const { return nlohmann::json::parse(Body()); }

  void AddResponseHeader(const char* name, const std::string& value);
  void Respond(unsigned status, const nlohmann::json& body);
  // Sends a Content-Length for the whole of `body` but only its first `sent_bytes` bytes, and
  // closes the connection.
  void RespondTruncated(unsigned status, const nlohmann::json& body, std::size_t sent_bytes);
  // Closes the connection without a response.
  void Close();

  // Pauses the processing of the request until there is a response.
  void Pause();
  bool responded() const { return responded_; }

 private:
  void Resume();

  SoupServerMessage* message_;
  GSocket* socket_;
  bool paused_ = false;
  bool responded_ = false;
};

using ExchangePtr = std::shared_ptr<Exchange>;

}  // namespace cactusshelf

#endif  // CACTUSSHELF_STANDINS_EXCHANGE_H_
