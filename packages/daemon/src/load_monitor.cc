#include "load_monitor.h"

#include <sys/resource.h>

#include <utility>

#include "cactusshelf/daemon/clock.h"

namespace cactusshelf {
namespace {

constexpr Duration kPeriod = std::chrono::seconds(5);
constexpr double kMilli = 1000.0;

Duration ToDuration(const timeval& time) {
  return std::chrono::seconds(time.tv_sec) + std::chrono::microseconds(time.tv_usec);
}

Duration ProcessorTime() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return ToDuration(usage.ru_utime) + ToDuration(usage.ru_stime);
}

}  // namespace

LoadMonitor::LoadMonitor(std::function<void(const LogEvent&)> log)
    : log_(std::move(log)),
      used_(ProcessorTime()),
      at_(SystemClock().Read().monotonic),
      timer_([this] { Report(); }) {
  timer_.FireAfter(kPeriod);
}

void LoadMonitor::Report() {
  const Duration used = ProcessorTime();
  const Time now = SystemClock().Read().monotonic;
  const double processors =
      static_cast<double>((used - used_).count()) / static_cast<double>((now - at_).count());
  used_ = used;
  at_ = now;
  log_(LogEvent(LogLevel::kInfo, "load")
           .With("milliprocessors", static_cast<std::int64_t>(processors * kMilli)));
  timer_.FireAfter(kPeriod);
}

}  // namespace cactusshelf
