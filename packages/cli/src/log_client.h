#ifndef CACTUSSHELF_CLI_SRC_LOG_CLIENT_H_
#define CACTUSSHELF_CLI_SRC_LOG_CLIENT_H_

#include <fmt/format.h>

#include <string>
#include <utility>

#include "cactusshelf/version/log_follower.h"
#include "cactusshelf/version/log_protocol.h"
#include "http_client.h"

namespace cactusshelf {

// The log cannot be read, or what it returns cannot be used.
class LogUnavailableError : public Error {
 public:
  using Error::Error;
};

// The log service refused a request for good; sending it again cannot help.
class LogRefusedError : public Error {
 public:
  using Error::Error;
};

// Reads and appends to one stream of the log service. Not thread-safe.
template <HttpTransport Transport>
class LogClient {
 public:
  LogClient(Transport transport, std::string stream)
      : transport_(std::move(transport)), stream_(std::move(stream)) {}

  // Throws LogUnavailableError if no answer arrived or it is an error that may pass; the record may
  // have been appended all the same. Throws LogRefusedError for other errors.
  Offset Append(std::string_view record) {
    const HttpReply reply = Send([&] {
      return transport_.Post(LogProtocol::AppendPath(stream_), record,
                             LogProtocol::kAppendContentType);
    });
    return Decode(reply, &LogProtocol::DecodeAppendReply);
  }

  // Reads to the end of the log, starting from the latest snapshot if the log is trimmed, and calls
  // `visit` with each LogFollower::AppliedRecord. Throws LogUnavailableError, LogRefusedError and
  // the exceptions of LogFollower::Consume().
  template <typename Visit>
  void Follow(LogFollower& follower, Visit visit) {
    do {
      const HttpReply reply = Send([&] {
        return transport_.Get(
            LogProtocol::ReadPath(stream_, follower.next_read(), std::chrono::milliseconds(0)));
      });
      for (const LogFollower::AppliedRecord& it :
           follower.Consume(Decode(reply, &LogProtocol::DecodeReadReply))) {
        visit(it);
      }
    } while (!follower.caught_up());
  }

  void Follow(LogFollower& follower) {
    Follow(follower, [](const LogFollower::AppliedRecord& /*applied*/) {});
  }

 private:
  // A damaged answer is as good as a lost one.
  template <typename Decoder>
  static auto Decode(const HttpReply& reply, Decoder decoder) {
    try {
      return decoder(reply.body);
    } catch (const DecodeError& error) {
      throw LogUnavailableError(
          fmt::format("the answer of the log service cannot be read: {}", error.what()));
    }
  }

  static constexpr unsigned kOk = 200;
  static constexpr unsigned kTimeout = 408;
  static constexpr unsigned kTooManyRequests = 429;
  static constexpr unsigned kServerErrors = 500;

  template <typename Request>
  HttpReply Send(Request request) {
    HttpReply reply;
    try {
      reply = request();
    } catch (const HttpError& error) {
      throw LogUnavailableError(fmt::format("the log service does not answer: {}", error.what()));
    }
    if (reply.status == kOk) {
      return reply;
    }
    const std::string text = fmt::format("the log service answers with status {}", reply.status);
    if (reply.status >= kServerErrors || reply.status == kTooManyRequests ||
        reply.status == kTimeout) {
      throw LogUnavailableError(text);
    }
    throw LogRefusedError(text);
  }

  Transport transport_;
  std::string stream_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CLI_SRC_LOG_CLIENT_H_
