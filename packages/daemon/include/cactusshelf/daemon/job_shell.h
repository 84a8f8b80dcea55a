#ifndef CACTUSSHELF_DAEMON_JOB_SHELL_H_
#define CACTUSSHELF_DAEMON_JOB_SHELL_H_

#include <concepts>
#include <deque>
#include <functional>
#include <string>
#include <utility>
#include <variant>

#include "cactusshelf/daemon/bounded_log.h"
#include "cactusshelf/daemon/clock.h"
#include "cactusshelf/daemon/shell_metrics.h"
#include "cactusshelf/daemon/wakeup_timer.h"
#include "cactusshelf/jobs/job_node.h"

namespace cactusshelf {

// The outside of a job node: its callers, the platform's store and the workers. Each call returns
// at once; what comes of it is reported to the shell as an event.
template <typename T>
concept JobPorts = requires(T& ports, const jobs::job_effect::Reply& reply,
                            const jobs::job_effect::ReadRecords& records,
                            const jobs::job_effect::ReadNewest& newest,
                            const jobs::job_effect::Append& append,
                            const jobs::WorkerOrder& order) {
  ports.Reply(reply);
  ports.Read(records);
  ports.Read(newest);
  ports.Append(append);
  ports.Send(order);
};

// Messages to other processes of the job service, best effort.
template <typename T>
concept JobPeerPort = requires(T& peers, const std::string& address, std::string bytes) {
  peers.Send(address, std::move(bytes));
};

// Drives one job node: reports events to it one at a time and carries out its effects in order.
// The arguments of the constructor outlive the shell. Not thread-safe.
template <Clock C, JobPorts P, JobPeerPort Q>
class JobShell {
 public:
  // `on_stop` runs when the node asks the process to end.
  JobShell(jobs::JobNode& node, const C& clock, P& ports, Q& peers, BoundedLog& log,
           ShellMetrics& metrics, std::function<void()> on_stop)
      : node_(node),
        clock_(clock),
        ports_(ports),
        peers_(peers),
        log_(log),
        metrics_(metrics),
        on_stop_(std::move(on_stop)),
        timer_([this] { Post(jobs::job_event::Timer{}); }) {}

  // Starts the node. Call once.
  void Start() {
    node_.Start(clock_.Read());
    CarryOutEffects();
    ArmTimer();
  }

  // Reports `event` now, or after the event in progress when called while an effect is carried
  // out. An exception of the node ends the process, since its state is then unknown.
  void Post(jobs::JobEvent event) noexcept {
    pending_.push_back(std::move(event));
    if (handling_) return;
    handling_ = true;
    while (!pending_.empty()) HandleNext();
    handling_ = false;
    ArmTimer();
    log_.Flush();
  }

 private:
  void HandleNext() {
    jobs::JobEvent event = std::move(pending_.front());
    pending_.pop_front();
    const Now now = clock_.Read();
    node_.Handle(now, std::move(event));
    CarryOutEffects();
    metrics_.event_time.Add(clock_.Read().monotonic - now.monotonic);
  }

  void CarryOutEffects() {
    for (jobs::JobEffect& effect : node_.TakeEffects()) {
      std::visit([this](auto& value) { this->CarryOut(value); }, effect);
    }
  }

  void ArmTimer() {
    const std::optional<Time> wakeup = node_.NextWakeup();
    if (wakeup) {
      timer_.FireAfter(*wakeup - clock_.Read().monotonic);
    } else {
      timer_.Clear();
    }
  }

  void CarryOut(const jobs::job_effect::Reply& effect) { ports_.Reply(effect); }
  void CarryOut(const jobs::job_effect::ReadRecords& effect) { ports_.Read(effect); }
  void CarryOut(const jobs::job_effect::ReadNewest& effect) { ports_.Read(effect); }
  void CarryOut(const jobs::job_effect::Append& effect) { ports_.Append(effect); }
  void CarryOut(const jobs::job_effect::Order& effect) { ports_.Send(effect.order); }
  void CarryOut(jobs::job_effect::SendToPeer& effect) {
    peers_.Send(effect.address, std::move(effect.bytes));
  }
  void CarryOut(const jobs::job_effect::WriteLogEvent& effect) {
    log_.Write(clock_.Read().wall, effect.event);
  }
  void CarryOut(const jobs::job_effect::Stop& /*effect*/) { on_stop_(); }

  jobs::JobNode& node_;
  const C& clock_;
  P& ports_;
  Q& peers_;
  BoundedLog& log_;
  ShellMetrics& metrics_;
  std::function<void()> on_stop_;
  WakeupTimer timer_;
  std::deque<jobs::JobEvent> pending_;
  bool handling_ = false;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_JOB_SHELL_H_
