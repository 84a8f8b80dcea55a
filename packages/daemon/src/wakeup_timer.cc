#include "cactusshelf/daemon/wakeup_timer.h"

#include <limits>
#include <utility>

namespace cactusshelf {
namespace {

constexpr gint64 kNever = std::numeric_limits<gint64>::max();
// Ready time of a source that waits for nothing.
constexpr gint64 kSourceNever = -1;

gboolean Dispatch(GSource* /*source*/, GSourceFunc function, gpointer data) {
  return function(data);
}

GSourceFuncs source_functions = {nullptr, nullptr, Dispatch, nullptr, nullptr, nullptr};

}  // namespace

WakeupTimer::WakeupTimer(std::function<void()> callback)
    : callback_(std::make_shared<const std::function<void()>>(std::move(callback))),
      source_(g_source_new(&source_functions, sizeof(GSource))),
      due_(kNever),
      source_ready_(kNever) {
  g_source_set_ready_time(source_, kSourceNever);
  g_source_set_callback(source_, Fire, this, nullptr);
  g_source_attach(source_, nullptr);
}

WakeupTimer::~WakeupTimer() {
  g_source_destroy(source_);
  g_source_unref(source_);
}

void WakeupTimer::SetSource(gint64 ready_time) {
  source_ready_ = ready_time;
  g_source_set_ready_time(source_, ready_time == kNever ? kSourceNever : ready_time);
}

gboolean WakeupTimer::Fire(gpointer data) {
  auto* timer = static_cast<WakeupTimer*>(data);
  if (g_get_monotonic_time() < timer->due_) {
    timer->SetSource(timer->due_);
    return G_SOURCE_CONTINUE;
  }
  timer->due_ = kNever;
  timer->SetSource(kNever);
  // Copies the pointer, since the callback may destroy the timer.
  const std::shared_ptr<const std::function<void()>> callback = timer->callback_;
  (*callback)();
  return G_SOURCE_CONTINUE;
}

void WakeupTimer::FireAfter(Duration delay) {
  // GLib dispatches a source with ready time 0 immediately.
  const bool due_now = delay <= Duration::zero();
  due_ = due_now ? 0 : g_get_monotonic_time() + delay.count();
  if (due_ < source_ready_) SetSource(due_);
}

void WakeupTimer::Clear() { due_ = kNever; }

}  // namespace cactusshelf
