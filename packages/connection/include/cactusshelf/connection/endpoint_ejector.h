#ifndef CACTUSSHELF_CONNECTION_ENDPOINT_EJECTOR_H_
#define CACTUSSHELF_CONNECTION_ENDPOINT_EJECTOR_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "cactusshelf/base/time.h"

namespace cactusshelf {

enum class EndpointAccess : std::uint8_t {
  kOpen,
  kProbe,  // One request may be sent to find out whether the endpoint recovered.
  kClosed,
};

// Ejects endpoints of one service that fail or are far slower than their peers, for a time that
// doubles with each ejection in a row, and readmits them through a single probe.
// Endpoints are numbered by the caller. Not thread-safe.
class EndpointEjector {
 public:
  // At most `max_ejected_fraction` of the endpoints are ejected at a time. Precondition: 0 <=
  // max_ejected_fraction <= 1.
  explicit EndpointEjector(double max_ejected_fraction);

  // Adds endpoint `n`, or forgets what was known of it.
  void Add(std::size_t n);
  void Remove(std::size_t n);

  void OnSuccess(Time now, std::size_t n);
  // A failure of an attempt. Returns true if the endpoint is ejected by it.
  bool OnFailure(Time now, std::size_t n);
  // The endpoint is far slower than its peers. Returns true if it is ejected by it.
  bool OnSlow(Time now, std::size_t n);
  // The probe ended without a verdict on the endpoint.
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
