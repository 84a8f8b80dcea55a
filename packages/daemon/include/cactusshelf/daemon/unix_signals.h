#ifndef CACTUSSHELF_DAEMON_UNIX_SIGNALS_H_
#define CACTUSSHELF_DAEMON_UNIX_SIGNALS_H_

#include <glib.h>

#include <functional>
#include <initializer_list>
#include <vector>

namespace cactusshelf {

// Reports Unix signals from the main loop. At most one object may watch a signal at a time.
// Not thread-safe.
class UnixSignals {
 public:
  // `signals` are of those that GLib can watch: SIGHUP, SIGINT, SIGTERM, SIGUSR1, SIGUSR2.
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
