#ifndef CACTUSSHELF_STANDINS_EXCHANGE_H_
#define CACTUSSHELF_STANDINS_EXCHANGE_H_

#include <libsoup/soup.h>

#include <cstddef>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace cactusshelf {

// One HTTP request and its answer. An exchange that is not answered by the handler is held until
// one of the answering functions is called. Each exchange is answered once.
class Exchange {
 public:
  // `socket` is the connection of the request.
  Exchange(SoupServerMessage* message, GSocket* socket);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  std::string Method() const;
  std::string Path() const;
  // Empty if absent.
  std::string Header(const char* name) const;
  // `fallback` if absent. Throws std::invalid_argument if not a number.
  std::int64_t QueryNumber(const char* name, std::int64_t fallback) const;
  std::string Body() const;
  // Throws nlohmann::json::exception.
  nlohmann::json JsonBody() const { return nlohmann::json::parse(Body()); }

  void AddAnswerHeader(const char* name, const std::string& value);
  void Answer(unsigned status, const nlohmann::json& body);
  // Announces the whole of `body`, sends its first `n` bytes and closes the connection.
  void AnswerCut(unsigned status, const nlohmann::json& body, std::size_t n);
  // Closes the connection without an answer.
  void Close();

  // Stops processing of the request until it is answered.
  void Hold();
  bool answered() const { return answered_; }

 private:
  void Resume();

  SoupServerMessage* message_;
  GSocket* socket_;
  bool held_ = false;
  bool answered_ = false;
};

using ExchangePtr = std::shared_ptr<Exchange>;

}  // namespace cactusshelf

#endif  // CACTUSSHELF_STANDINS_EXCHANGE_H_
