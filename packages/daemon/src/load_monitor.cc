#include "load_monitor.h"

#include <sys/resource.h>

#include <utility>

#include "cactusshelf/daemon/clock.h"

namespace cactusshelf {
namespace {

constexpr Duration kReportPeriod = std::chrono::seconds(5);
constexpr double kMilliPerUnit = 1000.0;

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
      last_processor_time_(ProcessorTime()),
      last_report_time_(SystemClock().Read().monotonic),
      timer_([this] { Report(); }) {
  timer_.FireAfter(kReportPeriod);
}

void LoadMonitor::Report() {
  const Duration processor_time = ProcessorTime();
  const Time now = SystemClock().Read().monotonic;
  const double processors = static_cast<double>((processor_time - last_processor_time_).count()) /
                            static_cast<double>((now - last_report_time_).count());
  last_processor_time_ = processor_time;
  last_report_time_ = now;
  log_(LogEvent(LogLevel::kInfo, "load")
           .With("milliprocessors", static_cast<std::int64_t>(processors * kMilliPerUnit)));
  timer_.FireAfter(kReportPeriod);
}

}  // namespace cactusshelf
