#include "cactusshelf/daemon/stop_signals.h"

#include <glib-unix.h>

#include <csignal>
#include <utility>

namespace cactusshelf {

StopSignals::StopSignals(std::function<void()> on_signal) : on_signal_(std::move(on_signal)) {
  const auto report = [](gpointer data) -> gboolean {
    static_cast<StopSignals*>(data)->on_signal_();
    return G_SOURCE_CONTINUE;
  };
  sources_ = {g_unix_signal_add(SIGTERM, report, this), g_unix_signal_add(SIGINT, report, this)};
}

StopSignals::~StopSignals() {
  for (const guint source : sources_) g_source_remove(source);
}

}  // namespace cactusshelf
