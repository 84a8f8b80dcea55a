#ifndef CACTUSSHELF_STANDINS_ENDPOINT_MODEL_H_
#define CACTUSSHELF_STANDINS_ENDPOINT_MODEL_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

namespace cactusshelf {

// State of an endpoint: request slots in use and executions by request id.
class EndpointModel {
 public:
  explicit EndpointModel(unsigned slots) : slots_(slots) {}

  // Occupies a slot and counts an execution of `request_id`. Returns false if the endpoint refuses
  // the request because the endpoint is leaving or all slots are occupied.
  bool StartRequest(const std::string& request_id);
  // Frees the slot of a request for which StartRequest() returned true.
  void FinishRequest() { --busy_; }

  // While true, all requests are refused.
  bool leaving = false;

  unsigned busy() const { return busy_; }
  unsigned max_busy() const { return max_busy_; }
  std::uint64_t refused_busy() const { return refused_busy_; }
  std::uint64_t refused_leaving() const { return refused_leaving_; }
  const std::map<std::string, std::uint64_t>& executions() const { return executions_; }

 private:
  unsigned slots_;
  unsigned busy_ = 0;
  unsigned max_busy_ = 0;
  std::uint64_t refused_busy_ = 0;
  std::uint64_t refused_leaving_ = 0;
  std::map<std::string, std::uint64_t> executions_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_STANDINS_ENDPOINT_MODEL_H_
