#ifndef CACTUSSHELF_CLI_SRC_LOG_CLIENT_H_
#define CACTUSSHELF_CLI_SRC_LOG_CLIENT_H_

#include <fmt/format.h>

#include <string>
#include <utility>

#include "cactusshelf/version/log_follower.h"
#include "cactusshelf/version/log_protocol.h"
#include "http_client.h"

namespace cactusshelf {

// The log service cannot be reached, is overloaded or failing, or sent a malformed response.
class LogUnavailableError : public Error {
 public:
  using Error::Error;
};

// The log service rejected a request with a permanent error, so a retry would fail again.
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

  // Appends a record and returns its offset. Throws LogUnavailableError if no valid response
  // arrived or the error may be temporary; the record may have been appended nevertheless. Throws
  // LogRefusedError for other errors.
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
  void ReadToEnd(LogFollower& follower, Visit visit) {
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

  void ReadToEnd(LogFollower& follower) {
    ReadToEnd(follower, [](const LogFollower::AppliedRecord& /*applied*/) {});
  }

 private:
  // A malformed response is reported like a missing one: the request may have taken effect.
  template <typename Decoder>
  static auto Decode(const HttpReply& reply, Decoder decoder) {
    try {
      return decoder(reply.body);
    } catch (const DecodeError& error) {
      throw LogUnavailableError(
          fmt::format("the answer of the log service cannot be read: {}", error.what()));
    }
  }

  static constexpr unsigned kStatusOk = 200;
  static constexpr unsigned kStatusRequestTimeout = 408;
  static constexpr unsigned kStatusTooManyRequests = 429;
  static constexpr unsigned kFirstServerErrorStatus = 500;

  template <typename Request>
  HttpReply Send(Request request) {
    HttpReply reply;
    try {
      reply = request();
    } catch (const HttpError& error) {
      throw LogUnavailableError(fmt::format("the log service does not answer: {}", error.what()));
    }
    if (reply.status == kStatusOk) {
      return reply;
    }
    const std::string text = fmt::format("the log service answers with status {}", reply.status);
    if (reply.status >= kFirstServerErrorStatus || reply.status == kStatusTooManyRequests ||
        reply.status == kStatusRequestTimeout) {
      throw LogUnavailableError(text);
    }
    throw LogRefusedError(text);
  }

  Transport transport_;
  std::string stream_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CLI_SRC_LOG_CLIENT_H_
