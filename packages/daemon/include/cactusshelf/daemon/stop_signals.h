#ifndef CACTUSSHELF_DAEMON_STOP_SIGNALS_H_
#define CACTUSSHELF_DAEMON_STOP_SIGNALS_H_

#include <glib.h>

#include <array>
#include <functional>

namespace cactusshelf {

// Reports SIGTERM and SIGINT from the main loop. At most one object may exist at a time.
class StopSignals {
 public:
  explicit StopSignals(std::function<void()> on_signal);
  ~StopSignals();
  StopSignals(const StopSignals&) = delete;
  StopSignals& operator=(const StopSignals&) = delete;

 private:
  std::function<void()> on_signal_;
  std::array<guint, 2> sources_{};
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_STOP_SIGNALS_H_
