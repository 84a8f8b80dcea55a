#include "endpoint_model.h"

namespace cactusshelf {

bool EndpointModel::StartRequest(const std::string& request_id) {
  if (leaving) {
    ++refused_leaving_;
    return false;
  }
  if (busy_ >= slots_) {
    ++refused_busy_;
    return false;
  }
  ++busy_;
  max_busy_ = std::max(max_busy_, busy_);
  ++executions_[request_id];
  return true;
}

}  // namespace cactusshelf
