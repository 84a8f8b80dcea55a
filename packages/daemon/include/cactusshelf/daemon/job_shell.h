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

// External interfaces of a job node: its callers, the platform's record store and the workers. Each
// call returns without waiting; its result is reported to the shell as an event.
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

// Best-effort messages to other job service processes.
template <typename T>
concept JobPeerPort = requires(T& peers, const std::string& address, std::string bytes) {
  peers.Send(address, std::move(bytes));
};

// I/O layer around the state machine of one job node: passes events to it one at a time and
// executes the effects that it emits, in order. The constructor's reference arguments must outlive
// the shell. Not thread-safe.
template <Clock C, JobPorts P, JobPeerPort Q>
class JobShell {
 public:
  // `on_stop` runs when the node emits a Stop effect.
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

  // Starts the node. Must be called exactly once.
  void Start() {
    node_.Start(clock_.Read());
    ExecuteEffects();
    ArmTimer();
  }

  // Passes `event` to the node. A call made during the handling of another event queues the event,
  // which is then handled after all effects of the current one. An exception from the node
  // terminates the process, since the state of the node is then unknown.
  void Post(jobs::JobEvent event) noexcept {
    pending_events_.push_back(std::move(event));
    if (handling_event_) return;
    handling_event_ = true;
    while (!pending_events_.empty()) HandleNextEvent();
    handling_event_ = false;
    ArmTimer();
    log_.Flush();
  }

 private:
  void HandleNextEvent() {
    jobs::JobEvent event = std::move(pending_events_.front());
    pending_events_.pop_front();
    const Now now = clock_.Read();
    node_.Handle(now, std::move(event));
    ExecuteEffects();
    metrics_.event_time.Add(clock_.Read().monotonic - now.monotonic);
  }

  void ExecuteEffects() {
    for (jobs::JobEffect& effect : node_.TakeEffects()) {
      std::visit([this](auto& value) { this->Execute(value); }, effect);
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

  void Execute(const jobs::job_effect::Reply& effect) { ports_.Reply(effect); }
  void Execute(const jobs::job_effect::ReadRecords& effect) { ports_.Read(effect); }
  void Execute(const jobs::job_effect::ReadNewest& effect) { ports_.Read(effect); }
  void Execute(const jobs::job_effect::Append& effect) { ports_.Append(effect); }
  void Execute(const jobs::job_effect::Order& effect) { ports_.Send(effect.order); }
  void Execute(jobs::job_effect::SendToPeer& effect) {
    peers_.Send(effect.address, std::move(effect.bytes));
  }
  void Execute(const jobs::job_effect::WriteLogEvent& effect) {
    log_.Write(clock_.Read().wall, effect.event);
  }
  void Execute(const jobs::job_effect::Stop& /*effect*/) { on_stop_(); }

  jobs::JobNode& node_;
  const C& clock_;
  P& ports_;
  Q& peers_;
  BoundedLog& log_;
  ShellMetrics& metrics_;
  std::function<void()> on_stop_;
  WakeupTimer timer_;
  std::deque<jobs::JobEvent> pending_events_;
  bool handling_event_ = false;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_JOB_SHELL_H_
