#ifndef CACTUSSHELF_CONNECTION_BENCH_BENCH_NETWORK_H_
#define CACTUSSHELF_CONNECTION_BENCH_BENCH_NETWORK_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <numbers>
#include <unordered_map>
#include <utility>
#include <vector>

#include "../tests/event_loop.h"
#include "cactusshelf/base/random.h"
#include "cactusshelf/base/time.h"

namespace cactusshelf::bench {

// A deployment as described in the design.
struct Deployment {
  const char* name;
  int domains;
  Duration distance;         // One way, between two domains.
  Duration client_distance;  // One way, between client and entry host.
  int endpoints;
};

constexpr int kEntryHosts = 7;
constexpr int kSlots = 8;
constexpr int kConnections = 64;
constexpr Duration kLocalDistance = std::chrono::microseconds(200);
constexpr Duration kServiceMean = std::chrono::milliseconds(60);
constexpr double kServiceSigma = 0.6;  // Of the logarithm. The 99% quantile is 3.4 x the mean.
constexpr Duration kDeadline = std::chrono::seconds(1);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(100);

struct Arrival {
  Time at;
  int entry = 0;
  bool idempotent = false;
};

enum class EndpointState { kUp, kRefusing, kSilent };

enum class AttemptEnd { kAnswered, kNotConnected, kReset };

// Final state of one request.
struct Result {
  enum class Kind { kNone, kAnswered, kNotRun, kUnknown };
  Kind kind = Kind::kNone;
  Time ended{};
  int runs = 0;
};

// Simulated endpoints and links. Every policy is given the same arrivals, and the same service time
// for the same attempt of a request. An endpoint serves kSlots requests at a time and queues
// others.
class Network {
 public:
  using Listener = std::function<void(std::uint64_t attempt, int entry, AttemptEnd end)>;

  Network(const Deployment& deployment, std::uint64_t seed, std::size_t requests)
      : deployment_(deployment),
        seed_(seed),
        endpoints_(static_cast<std::size_t>(deployment.endpoints)),
        results_(requests),
        attempts_(requests) {}

  EventLoop& events() { return events_; }
  const Deployment& deployment() const { return deployment_; }
  int DomainOfEntry(int entry) const { return entry % deployment_.domains; }
  int DomainOfEndpoint(int endpoint) const { return endpoint % deployment_.domains; }

  Duration Distance(int entry, int endpoint) const {
    const bool local = DomainOfEntry(entry) == DomainOfEndpoint(endpoint);
    return local ? kLocalDistance : deployment_.distance;
  }

  void SetListener(Listener listener) { listener_ = std::move(listener); }

  void Send(std::uint64_t attempt, int entry, int endpoint, std::size_t request, Time deadline) {
    ++sent_;
    cross_domain_ += DomainOfEntry(entry) == DomainOfEndpoint(endpoint) ? 0 : 1;
    const Job job{entry, endpoint, request, ServiceTime(request), deadline, false, false};
    jobs_.emplace(attempt, job);
    events_.After(Distance(entry, endpoint), [this, attempt] { OnRequestArrived(attempt); });
  }

  // Closes the connection of an attempt. The listener is not called for the attempt any more.
  void Cancel(std::uint64_t attempt) {
    const auto it = jobs_.find(attempt);
    if (it == jobs_.end()) {
      return;
    }
    const Job job = it->second;
    jobs_.erase(it);
    if (job.running) {
      FreeSlot(job.endpoint);
    }
  }

  // Records the result of a request. Only the first call for a request has an effect.
  void Finish(std::size_t request, Result::Kind kind) {
    Result& result = results_[request];
    if (result.kind == Result::Kind::kNone) {
      result.kind = kind;
      result.ended = events_.now();
    }
  }

  void CountRetry() { ++retries_; }

  // Sets the state of endpoint `n`. Unless the new state is kUp, the attempts at the endpoint are
  // lost: they are reset at once if the endpoint now refuses connections, and get no response in
  // the state kSilent.
  void SetState(int n, EndpointState state) {
    Endpoint& endpoint = EndpointAt(n);
    endpoint.state = state;
    if (state == EndpointState::kUp) {
      return;
    }
    std::vector<std::uint64_t> lost;
    for (auto& [attempt, job] : jobs_) {
      if (job.endpoint == n && job.arrived) {
        lost.push_back(attempt);
      }
    }
    std::ranges::sort(lost);
    endpoint.running = 0;
    endpoint.waiting.clear();
    for (const std::uint64_t attempt : lost) {
      jobs_.at(attempt).running = false;
      if (state == EndpointState::kRefusing) {
        End(attempt, AttemptEnd::kReset);
      }
    }
  }

  void SetSlowdown(int endpoint, double factor) { EndpointAt(endpoint).slowdown = factor; }

  const std::vector<Result>& results() const { return results_; }
  std::uint64_t sent() const { return sent_; }
  std::uint64_t cross_domain() const { return cross_domain_; }
  std::uint64_t retries() const { return retries_; }

 private:
  struct Job {
    int entry = 0;
    int endpoint = 0;
    std::size_t request = 0;
    Duration time{};
    Time deadline{};
    bool arrived = false;
    bool running = false;
  };

  struct Endpoint {
    EndpointState state = EndpointState::kUp;
    double slowdown = 1;
    int running = 0;
    std::deque<std::uint64_t> waiting;
  };

  Endpoint& EndpointAt(int n) { return endpoints_[static_cast<std::size_t>(n)]; }

  void OnRequestArrived(std::uint64_t attempt) {
    const auto it = jobs_.find(attempt);
    if (it == jobs_.end()) {
      return;
    }
    Job& job = it->second;
    Endpoint& endpoint = EndpointAt(job.endpoint);
    if (endpoint.state == EndpointState::kRefusing) {
      End(attempt, AttemptEnd::kNotConnected);
      return;
    }
    if (endpoint.state == EndpointState::kSilent) {
      events_.After(kConnectTimeout, [this, attempt] { End(attempt, AttemptEnd::kNotConnected); });
      return;
    }
    job.arrived = true;
    endpoint.waiting.push_back(attempt);
    StartNext(job.endpoint);
  }

  void StartNext(int n) {
    Endpoint& endpoint = EndpointAt(n);
    while (endpoint.running < kSlots && !endpoint.waiting.empty()) {
      const std::uint64_t attempt = endpoint.waiting.front();
      endpoint.waiting.pop_front();
      const auto it = jobs_.find(attempt);
      if (it == jobs_.end()) {
        continue;  // Cancelled while it waited.
      }
      Job& job = it->second;
      job.running = true;
      ++endpoint.running;
      ++results_[job.request].runs;
      const auto us = static_cast<double>(job.time.count()) * endpoint.slowdown;
      events_.After(Duration(static_cast<Duration::rep>(us)),
                    [this, attempt] { Complete(attempt); });
    }
  }

  void Complete(std::uint64_t attempt) {
    const auto it = jobs_.find(attempt);
    if (it == jobs_.end() || !it->second.running) {
      return;
    }
    const int endpoint = it->second.endpoint;
    it->second.running = false;
    End(attempt, AttemptEnd::kAnswered);
    FreeSlot(endpoint);
  }

  void FreeSlot(int endpoint) {
    --EndpointAt(endpoint).running;
    StartNext(endpoint);
  }

  void End(std::uint64_t attempt, AttemptEnd end) {
    const auto it = jobs_.find(attempt);
    if (it == jobs_.end()) {
      return;
    }
    const Job job = it->second;
    events_.After(Distance(job.entry, job.endpoint), [this, attempt, job, end] {
      if (jobs_.erase(attempt) > 0) {
        listener_(attempt, job.entry, end);
      }
    });
  }

  // Log-normal service time. Each attempt has a separate generator, so that the time is the same
  // for all policies.
  Duration ServiceTime(std::size_t request) {
    Random random(seed_ + request * 8 + attempts_[request]++);
    const double radius = std::sqrt(-2 * std::log(1 - random.Real()));
    const double normal = radius * std::cos(2 * std::numbers::pi * random.Real());
    const double location =
        std::log(static_cast<double>(kServiceMean.count())) - kServiceSigma * kServiceSigma / 2;
    return Duration(static_cast<Duration::rep>(std::exp(location + kServiceSigma * normal)));
  }

  Deployment deployment_;
  std::uint64_t seed_;
  EventLoop events_;
  Listener listener_;
  std::vector<Endpoint> endpoints_;
  std::unordered_map<std::uint64_t, Job> jobs_;
  std::vector<Result> results_;
  std::vector<std::uint8_t> attempts_;
  std::uint64_t sent_ = 0;
  std::uint64_t cross_domain_ = 0;
  std::uint64_t retries_ = 0;
};

// Routing policy under test. Must report the end of each request through Network::Finish.
class Policy {
 public:
  Policy() = default;
  Policy(const Policy&) = delete;
  Policy& operator=(const Policy&) = delete;
  virtual ~Policy() = default;

  virtual void OnArrival(std::size_t request, const Arrival& arrival) = 0;
};

}  // namespace cactusshelf::bench

#endif  // CACTUSSHELF_CONNECTION_BENCH_BENCH_NETWORK_H_
