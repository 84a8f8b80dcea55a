#include "cactusshelf/daemon/wakeup_timer.h"

#include <utility>

namespace cactusshelf {
namespace {

constexpr gint64 kNever = -1;

gboolean Dispatch(GSource* source, GSourceFunc function, gpointer data) {
  g_source_set_ready_time(source, kNever);
  return function(data);
}

GSourceFuncs source_functions = {nullptr, nullptr, Dispatch, nullptr, nullptr, nullptr};

using Callback = std::shared_ptr<const std::function<void()>>;

gboolean Fire(gpointer data) {
  // Copies the pointer, since the callback may destroy the timer.
  const Callback callback = *static_cast<Callback*>(data);
  (*callback)();
  return G_SOURCE_CONTINUE;
}

}  // namespace

WakeupTimer::WakeupTimer(std::function<void()> callback)
    : callback_(std::make_shared<const std::function<void()>>(std::move(callback))),
      source_(g_source_new(&source_functions, sizeof(GSource))) {
  g_source_set_ready_time(source_, kNever);
  g_source_set_callback(source_, Fire, &callback_, nullptr);
  g_source_attach(source_, nullptr);
}

WakeupTimer::~WakeupTimer() {
  g_source_destroy(source_);
  g_source_unref(source_);
}

void WakeupTimer::FireAfter(Duration delay) {
  // GLib dispatches a source with ready time 0 immediately.
  const bool due = delay <= Duration::zero();
  g_source_set_ready_time(source_, due ? 0 : g_get_monotonic_time() + delay.count());
}

void WakeupTimer::Clear() { g_source_set_ready_time(source_, kNever); }

}  // namespace cactusshelf
