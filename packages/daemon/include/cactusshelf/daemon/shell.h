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

// Drives one node: reports events to it one at a time and carries out its effects in order.
// The arguments of the constructor outlive the shell. Not thread-safe.
template <Node N, Clock C, Ports P>
class Shell {
 public:
  // `on_stop` runs with the exit code when the node asks the process to end.
  Shell(N& node, const C& clock, P& ports, LogWriter& log, ShellMetrics& metrics,
        std::function<void(int)> on_stop)
      : node_(node),
        clock_(clock),
        ports_(ports),
        log_(log),
        metrics_(metrics),
        on_stop_(std::move(on_stop)),
        timer_([this] { Post(node_event::Timer{}); }) {}

  // Starts the node. Call once.
  void Start() {
    handling_ = true;
    node_.Start(clock_.Read());
    CarryOutEffects();
    handling_ = false;
    HandlePending();
    ArmTimer();
  }

  // Reports `event` now, or after the event in progress when called while an effect is carried
  // out. An exception of the node ends the process, since its state is then unknown.
  void Post(NodeEvent event) noexcept {
    pending_.push_back(std::move(event));
    if (handling_) return;
    HandlePending();
    ArmTimer();
  }

 private:
  void HandlePending() {
    handling_ = true;
    while (!pending_.empty()) {
      const NodeEvent event = std::move(pending_.front());
      pending_.pop_front();
      const Now now = clock_.Read();
      node_.Handle(now, event);
      CarryOutEffects();
      metrics_.event_time.Add(clock_.Read().monotonic - now.monotonic);
    }
    handling_ = false;
  }

  void CarryOutEffects() {
    for (NodeEffect& effect : node_.TakeEffects()) {
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

  // Reports and counts an effect whose authority has ended. The clock is read for each effect,
  // since the process may have been paused after the node emitted it.
  bool IsExpired(const auto& effect) {
    if (!effect.valid_until || clock_.Read().monotonic < *effect.valid_until) return false;
    metrics_.counters.Add("cactusshelf_shell_dropped_effects_total", "expired");
    pending_.push_back(node_event::EffectExpired{effect.token});
    return true;
  }

  void CarryOut(const node_effect::SendAttempt& effect) {
    if (!IsExpired(effect)) ports_.endpoints.Send(effect);
  }
  void CarryOut(const node_effect::CancelAttempt& effect) { ports_.endpoints.Cancel(effect); }
  void CarryOut(const node_effect::RespondToCaller& effect) { ports_.callers.Respond(effect); }
  void CarryOut(node_effect::SendToPeer& effect) {
    ports_.peers.Send(effect.address, std::move(effect.bytes));
  }
  void CarryOut(const node_effect::ReadLog& effect) { ports_.log.Read(effect); }
  void CarryOut(const node_effect::AppendToLog& effect) { ports_.log.Append(effect); }
  void CarryOut(const node_effect::ReadHosts& /*effect*/) { ports_.hosts.Read(); }
  void CarryOut(const node_effect::CallWorker& effect) {
    if (!IsExpired(effect)) ports_.workers.Call(effect);
  }
  void CarryOut(const node_effect::WriteLogEvent& effect) {
    log_.Write(clock_.Read().wall, effect.event);
  }
  void CarryOut(const node_effect::Stop& effect) { on_stop_(effect.exit_code); }

  N& node_;
  const C& clock_;
  P& ports_;
  LogWriter& log_;
  ShellMetrics& metrics_;
  std::function<void(int)> on_stop_;
  WakeupTimer timer_;
  std::deque<NodeEvent> pending_;
  bool handling_ = false;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_SHELL_H_
