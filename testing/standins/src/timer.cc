#include "timer.h"

#include <glib.h>

#include <utility>

namespace cactusshelf {
namespace {

using Action = std::function<void()>;

guint Milliseconds(Duration duration) {
  return static_cast<guint>(std::chrono::ceil<std::chrono::milliseconds>(duration).count());
}

gboolean RunOnce(gpointer data) {
  (*static_cast<Action*>(data))();
  return G_SOURCE_REMOVE;
}

gboolean RunRepeatedly(gpointer data) {
  (*static_cast<Action*>(data))();
  return G_SOURCE_CONTINUE;
}

void DeleteAction(gpointer data) { delete static_cast<Action*>(data); }

}  // namespace

void RunAfter(Duration delay, std::function<void()> action) {
  if (delay <= Duration::zero()) {
    action();
    return;
  }
  g_timeout_add_full(G_PRIORITY_DEFAULT, Milliseconds(delay), RunOnce,
                     new Action(std::move(action)), DeleteAction);
}

void RunEvery(Duration period, std::function<void()> action) {
  g_timeout_add_full(G_PRIORITY_DEFAULT, Milliseconds(period), RunRepeatedly,
                     new Action(std::move(action)), DeleteAction);
}

Time MonotonicNow() { return Time(Duration(g_get_monotonic_time())); }

WallTime WallNow() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

}  // namespace cactusshelf
