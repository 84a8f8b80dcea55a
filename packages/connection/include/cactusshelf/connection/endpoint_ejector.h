#ifndef CACTUSSHELF_CONNECTION_ENDPOINT_EJECTOR_H_
#define CACTUSSHELF_CONNECTION_ENDPOINT_EJECTOR_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "cactusshelf/base/time.h"

namespace cactusshelf {

enum class EndpointAccess : std::uint8_t {
  kOpen,
  kProbe,  // One request may be sent to check whether the endpoint has recovered.
  kClosed,
};

// Ejects endpoints of one service that fail or are far slower than the other endpoints. The
// ejection time doubles with each consecutive ejection. An endpoint is readmitted after one
// successful probe request. The caller assigns the endpoint numbers. Not thread-safe.
class EndpointEjector {
 public:
  // At most this fraction of the endpoints is ejected at a time.
  // Precondition: 0 <= max_ejected_fraction <= 1.
  explicit EndpointEjector(double max_ejected_fraction);

  // Adds endpoint `n`, or resets its state if it is present.
  void Add(std::size_t n);
  void Remove(std::size_t n);

  void OnSuccess(Time now, std::size_t n);
  // Records a failed attempt. Returns true if the failure ejects the endpoint.
  bool OnFailure(Time now, std::size_t n);
  // Records that the endpoint is far slower than the others. Returns true if this ejects the
  // endpoint.
  bool OnSlow(Time now, std::size_t n);
  // The probe ended without showing whether the endpoint works; another one may be sent.
  void OnProbeAbandoned(std::size_t n);

  EndpointAccess AccessTo(Time now, std::size_t n) const;

  // Precondition: AccessTo(now, n) is kProbe.
  void OnProbeSent(Time now, std::size_t n);

  std::size_t ejected() const { return ejected_count_; }

 private:
  struct State {
    bool present = false;
    bool ejected = false;
    bool probing = false;
    std::uint32_t failures = 0;
    std::uint32_t backoff_level = 0;
    Time ejected_until{};
    Time readmitted_at{};
  };

  bool Eject(Time now, State& state);
  void Readmit(Time now, State& state);

  double max_ejected_fraction_;
  std::size_t present_count_ = 0;
  std::size_t ejected_count_ = 0;
  std::vector<State> states_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_CONNECTION_ENDPOINT_EJECTOR_H_
