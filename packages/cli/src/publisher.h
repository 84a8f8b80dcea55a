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

// It is not known whether the publish took effect.
class OutcomeUnknownError : public Error {
 public:
  using Error::Error;
};

template <typename T>
concept SleepingClock = requires(T clock, Duration duration) {
  { clock.Now() } -> std::same_as<Time>;
  clock.Sleep(duration);
};

// Publishes a change and reads the log until the change is accepted or rejected. Not thread-safe.
template <HttpTransport Transport, SleepingClock Clock>
class Publisher {
 public:
  // No retry starts later than `timeout` after construction.
  Publisher(LogClient<Transport>& log, Clock& clock, Duration timeout)
      : log_(log), clock_(clock), deadline_(clock.Now() + timeout) {}

  // Reads the log and publishes `changes` against `base`, by default the revision just read. The
  // response to an append can be lost, so the same record is appended again until its verdict has
  // been read from the log; duplicates are recognized by their publication id. Returns
  // PublishAccepted, PublishRepeated or PublishRejected. Throws LogUnavailableError if nothing was
  // appended, OutcomeUnknownError if an append may have taken effect, and the exceptions of
  // LogClient.
  LogChange Publish(std::string publication_id, std::optional<Revision> base, FileChanges changes) {
    ReadToEndWithRetries();
    const cactusshelf::Publish publish{
        std::move(publication_id), base.value_or(follower_.state().revision()), std::move(changes)};
    for (;;) {
      // Also recognizes an earlier append of this publication that precedes the snapshot from which
      // the state was loaded.
      LogChange expected = follower_.state().Check(publish);
      if (!std::holds_alternative<PublishAccepted>(expected)) {
        return expected;
      }
      if (auto verdict = AppendAndRead(publish)) {
        return std::move(*verdict);
      }
      if (!SleepBeforeRetry()) {
        throw OutcomeUnknownError(
            fmt::format("it is not known whether the publish took effect; publish again with "
                        "--publication-id {}",
                        publish.publication_id));
      }
    }
  }

  const LogState& state() const { return follower_.state(); }

 private:
  static constexpr Duration kInitialBackoff = std::chrono::milliseconds(100);
  static constexpr Duration kMaxBackoff = std::chrono::seconds(2);

  // Sleeps for the backoff time and doubles it. False, without sleeping, if the sleep would not end
  // before the deadline.
  bool SleepBeforeRetry() {
    if (clock_.Now() + backoff_ >= deadline_) {
      return false;
    }
    clock_.Sleep(backoff_);
    backoff_ = std::min(backoff_ * 2, kMaxBackoff);
    return true;
  }

  void ReadToEndWithRetries() {
    for (;;) {
      try {
        log_.ReadToEnd(follower_);
        return;
      } catch (const LogUnavailableError&) {
        if (!SleepBeforeRetry()) {
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
      // The record may have been appended nevertheless; the read below finds it.
    }
    try {
      log_.ReadToEnd(follower_, [&](const LogFollower::AppliedRecord& applied) {
        if (!verdict && IsVerdict(applied.change, publish.publication_id)) {
          verdict = applied.change;
        }
      });
    } catch (const LogUnavailableError&) {
      // The verdict may have been read before the failure; if not, the caller retries.
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
  Duration backoff_ = kInitialBackoff;
  LogFollower follower_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CLI_SRC_PUBLISHER_H_
