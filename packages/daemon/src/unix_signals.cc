#include "cactusshelf/daemon/unix_signals.h"

#include <glib-unix.h>

#include <utility>

namespace cactusshelf {

UnixSignals::UnixSignals(std::initializer_list<int> signals, std::function<void()> on_signal)
    : on_signal_(std::move(on_signal)) {
  const auto report = [](gpointer data) -> gboolean {
    static_cast<UnixSignals*>(data)->on_signal_();
    return G_SOURCE_CONTINUE;
  };
  for (const int it : signals) sources_.push_back(g_unix_signal_add(it, report, this));
}

UnixSignals::~UnixSignals() {
  for (const guint source : sources_) g_source_remove(source);
}

}  // namespace cactusshelf
