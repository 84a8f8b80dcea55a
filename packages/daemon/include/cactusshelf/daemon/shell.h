#ifndef CACTUSSHELF_DAEMON_SHELL_H_
#define CACTUSSHELF_DAEMON_SHELL_H_

#include <deque>
#include <functional>
#include <utility>
#include <variant>

#include "cactusshelf/daemon/clock.h"
#include "cactusshelf/daemon/interfaces.h"
#include "cactusshelf/daemon/log_writer.h"
#include "cactusshelf/daemon/node_concept.h"
#include "cactusshelf/daemon/shell_metrics.h"
#include "cactusshelf/daemon/wakeup_timer.h"

namespace cactusshelf {

// I/O layer around the state machine of one node: passes events to it one at a time and executes
// the effects that it emits, in order. The constructor's reference arguments must outlive the
// shell. Not thread-safe.
template <Node N, Clock C, Ports P>
class Shell {
 public:
  // `on_stop` runs with the exit code of the process when the node emits a Stop effect.
  Shell(N& node, const C& clock, P& ports, LogWriter& log, ShellMetrics& metrics,
        std::function<void(int)> on_stop)
      : node_(node),
        clock_(clock),
        ports_(ports),
        log_(log),
        metrics_(metrics),
        on_stop_(std::move(on_stop)),
        timer_([this] { Post(node_event::Timer{}); }) {}

  // Starts the node. Must be called exactly once.
  void Start() {
    handling_event_ = true;
    node_.Start(clock_.Read());
    ExecuteEffects();
    handling_event_ = false;
    HandlePendingEvents();
    ArmTimer();
  }

  // Passes `event` to the node. A call made during the handling of another event queues the event,
  // which is then handled after all effects of the current one. An exception from the node
  // terminates the process, since the state of the node is then unknown.
  void Post(NodeEvent event) noexcept {
    pending_events_.push_back(std::move(event));
    if (handling_event_) return;
    HandlePendingEvents();
    ArmTimer();
  }

 private:
  void HandlePendingEvents() {
    handling_event_ = true;
    while (!pending_events_.empty()) {
      const NodeEvent event = std::move(pending_events_.front());
      pending_events_.pop_front();
      const Now now = clock_.Read();
      node_.Handle(now, event);
      ExecuteEffects();
      metrics_.event_time.Add(clock_.Read().monotonic - now.monotonic);
    }
    handling_event_ = false;
  }

  void ExecuteEffects() {
    for (NodeEffect& effect : node_.TakeEffects()) {
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

  // Returns whether the authority behind `effect` has ended; if so, counts the effect as dropped
  // and reports it to the node. The clock is read for each effect, since the process may have been
  // paused after the node emitted it.
  bool IsExpired(const auto& effect) {
    if (!effect.valid_until || clock_.Read().monotonic < *effect.valid_until) return false;
    metrics_.counters.Add("cactusshelf_shell_dropped_effects_total", "expired");
    pending_events_.push_back(node_event::EffectExpired{effect.token});
    return true;
  }

  void Execute(const node_effect::SendAttempt& effect) {
    if (!IsExpired(effect)) ports_.endpoints.Send(effect);
  }
  void Execute(const node_effect::CancelAttempt& effect) { ports_.endpoints.Cancel(effect); }
  void Execute(const node_effect::RespondToCaller& effect) { ports_.callers.Respond(effect); }
  void Execute(node_effect::SendToPeer& effect) {
    ports_.peers.Send(effect.address, std::move(effect.bytes));
  }
  void Execute(const node_effect::ReadLog& effect) { ports_.log.Read(effect); }
  void Execute(const node_effect::AppendToLog& effect) { ports_.log.Append(effect); }
  void Execute(const node_effect::ReadHosts& /*effect*/) { ports_.hosts.Read(); }
  void Execute(const node_effect::CallWorker& effect) {
    if (!IsExpired(effect)) ports_.workers.Call(effect);
  }
  void Execute(const node_effect::WriteLogEvent& effect) {
    log_.Write(clock_.Read().wall, effect.event);
  }
  void Execute(const node_effect::Stop& effect) { on_stop_(effect.exit_code); }

  N& node_;
  const C& clock_;
  P& ports_;
  LogWriter& log_;
  ShellMetrics& metrics_;
  std::function<void(int)> on_stop_;
  WakeupTimer timer_;
  std::deque<NodeEvent> pending_events_;
  bool handling_event_ = false;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_SHELL_H_
