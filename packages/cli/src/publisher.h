#ifndef CACTUSSHELF_CLI_SRC_PUBLISHER_H_
#define CACTUSSHELF_CLI_SRC_PUBLISHER_H_

#include <algorithm>
#include <concepts>
#include <optional>
#include <string>
#include <utility>

#include "cactusshelf/base/time.h"
#include "log_client.h"

namespace cactusshelf {

// Whether the publish took effect is not known.
class OutcomeUnknownError : public Error {
 public:
  using Error::Error;
};

template <typename T>
concept WaitingClock = requires(T clock, Duration duration) {
  { clock.Now() } -> std::same_as<Time>;
  clock.Sleep(duration);
};

// Publishes a change and waits for the verdict of the fold. Not thread-safe.
template <HttpTransport Transport, WaitingClock Clock>
class Publisher {
 public:
  // Gives up after `timeout`.
  Publisher(LogClient<Transport>& log, Clock& clock, Duration timeout)
      : log_(log), clock_(clock), deadline_(clock.Now() + timeout) {}

  // Reads the log and publishes `changes` against `base`, or against the revision just read. The
  // same record is appended again until its verdict is in the log, since the answer to an append
  // can be lost; the fold recognizes the publication id. Returns PublishAccepted, PublishRepeated
  // or PublishRejected. Throws LogUnavailableError if nothing was appended, OutcomeUnknownError if
  // an append may have taken effect, and the exceptions of LogClient.
  LogChange Publish(std::string publication_id, std::optional<Revision> base, FileChanges changes) {
    FollowWithRetries();
    const cactusshelf::Publish publish{
        std::move(publication_id), base.value_or(follower_.state().revision()), std::move(changes)};
    for (;;) {
      // Also recognizes an earlier append that lies before the snapshot this state started from.
      LogChange expected = follower_.state().Check(publish);
      if (!std::holds_alternative<PublishAccepted>(expected)) {
        return expected;
      }
      if (auto verdict = AppendAndRead(publish)) {
        return std::move(*verdict);
      }
      if (!Wait()) {
        throw OutcomeUnknownError(
            fmt::format("it is not known whether the publish took effect; publish again with "
                        "--publication-id {}",
                        publish.publication_id));
      }
    }
  }

  const LogState& state() const { return follower_.state(); }

 private:
  static constexpr Duration kFirstBackoff = std::chrono::milliseconds(100);
  static constexpr Duration kLongestBackoff = std::chrono::seconds(2);

  // False once the deadline has passed.
  bool Wait() {
    if (clock_.Now() + backoff_ >= deadline_) {
      return false;
    }
    clock_.Sleep(backoff_);
    backoff_ = std::min(backoff_ * 2, kLongestBackoff);
    return true;
  }

  void FollowWithRetries() {
    for (;;) {
      try {
        log_.Follow(follower_);
        return;
      } catch (const LogUnavailableError&) {
        if (!Wait()) {
          throw;
        }
      }
    }
  }

  std::optional<LogChange> AppendAndRead(const cactusshelf::Publish& publish) {
    std::optional<LogChange> verdict;
    try {
      log_.Append(EncodeRecord(publish));
    } catch (const LogUnavailableError&) {
      // The record may be in the log; the read below shows it.
    }
    try {
      log_.Follow(follower_, [&](const LogFollower::AppliedRecord& applied) {
        if (!verdict && IsVerdict(applied.change, publish.publication_id)) {
          verdict = applied.change;
        }
      });
    } catch (const LogUnavailableError&) {
      // The verdict may have been read before the failure; otherwise the caller tries again.
    }
    return verdict;
  }

  static bool IsVerdict(const LogChange& change, const std::string& id) {
    return std::visit(
        [&id](const auto& it) {
          if constexpr (requires { it.publication_id; }) {
            return it.publication_id == id;
          }
          return false;
        },
        change);
  }

  LogClient<Transport>& log_;
  Clock& clock_;
  Time deadline_;
  Duration backoff_ = kFirstBackoff;
  LogFollower follower_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CLI_SRC_PUBLISHER_H_
