#ifndef CACTUSSHELF_DAEMON_UNIX_SIGNALS_H_
#define CACTUSSHELF_DAEMON_UNIX_SIGNALS_H_

#include <glib.h>

#include <functional>
#include <initializer_list>
#include <vector>

namespace cactusshelf {

// Runs a callback from the main loop when a Unix signal arrives. At most one object may watch a
// given signal at a time.
// Not thread-safe.
class UnixSignals {
 public:
  // `signals` may contain SIGHUP, SIGINT, SIGTERM, SIGUSR1 and SIGUSR2, which GLib can watch.
  UnixSignals(std::initializer_list<int> signals, std::function<void()> on_signal);
  ~UnixSignals();
  UnixSignals(const UnixSignals&) = delete;
  UnixSignals& operator=(const UnixSignals&) = delete;

 private:
  std::function<void()> on_signal_;
  std::vector<guint> sources_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_UNIX_SIGNALS_H_
