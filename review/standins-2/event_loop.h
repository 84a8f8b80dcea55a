#ifndef REVIEW_STANDINS_2_EVENT_LOOP_H_
#define REVIEW_STANDINS_2_EVENT_LOOP_H_

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

// A single-threaded event loop: file descriptors and timers on the steady clock.
namespace review {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using Millis = std::chrono::milliseconds;

class EventLoop {
 public:
  using Callback = std::function<void()>;
  using IoCallback = std::function<void(std::uint32_t)>;

  EventLoop() : epoll_(epoll_create1(EPOLL_CLOEXEC)), began_(Clock::now()) {}
  ~EventLoop() { close(epoll_); }
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Time since the loop was made.
  std::int64_t ElapsedMs() const {
    return std::chrono::duration_cast<Millis>(Clock::now() - began_).count();
  }

  void Watch(int fd, std::uint32_t events, IoCallback callback) {
    const bool known = watched_.contains(fd);
    watched_[fd] = std::make_shared<IoCallback>(std::move(callback));
    epoll_event event{};
    event.events = events;
    event.data.fd = fd;
    epoll_ctl(epoll_, known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, fd, &event);
  }

  void SetEvents(int fd, std::uint32_t events) {
    epoll_event event{};
    event.events = events;
    event.data.fd = fd;
    epoll_ctl(epoll_, EPOLL_CTL_MOD, fd, &event);
  }

  void Unwatch(int fd) {
    if (watched_.erase(fd) > 0) epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, nullptr);
  }

  void After(Millis delay, Callback callback) {
    timers_.emplace(Clock::now() + delay, std::move(callback));
  }

  // Runs `callback` every `period` until the loop ends, the first time at once.
  void Every(Millis period, const Callback& callback) {
    callback();
    After(period, [this, period, callback] { Every(period, callback); });
  }

  void Stop() { stopped_ = true; }

  void Run() {
    while (!stopped_) RunOnce();
  }

 private:
  static constexpr int kMaxEvents = 256;
  static constexpr int kMaxWaitMs = 100;

  void RunOnce() {
    int wait_ms = kMaxWaitMs;
    if (!timers_.empty()) {
      const auto left = std::chrono::ceil<Millis>(timers_.begin()->first - Clock::now()).count();
      wait_ms = static_cast<int>(std::clamp<std::int64_t>(left, 0, kMaxWaitMs));
    }
    epoll_event events[kMaxEvents];
    const int n = epoll_wait(epoll_, events, kMaxEvents, wait_ms);
    for (int i = 0; i < n && !stopped_; ++i) {
      const auto it = watched_.find(events[i].data.fd);
      if (it == watched_.end()) continue;
      const std::shared_ptr<IoCallback> callback = it->second;
      (*callback)(events[i].events);
    }
    while (!stopped_ && !timers_.empty() && timers_.begin()->first <= Clock::now()) {
      const Callback callback = std::move(timers_.begin()->second);
      timers_.erase(timers_.begin());
      callback();
    }
  }

  int epoll_;
  Time began_;
  bool stopped_ = false;
  std::map<int, std::shared_ptr<IoCallback>> watched_;
  std::multimap<Time, Callback> timers_;
};

}  // namespace review

#endif  // REVIEW_STANDINS_2_EVENT_LOOP_H_
