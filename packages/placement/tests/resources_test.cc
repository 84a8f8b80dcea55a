#include "cactusshelf/base/resources.h"

#include <catch2/catch.hpp>

#include "cactusshelf/placement/cell_scheduler.h"

namespace cactusshelf {
namespace {

TEST_CASE("a size that exceeds only one resource is not accepted as fitting") {
  const Resources available{1000, 1000, 1};
  CHECK(Fits({1000, 1000, 1}, available));
  CHECK(FirstExceeded({1001, 0, 0}, available) == ResourceKind::kProcessors);
  CHECK(FirstExceeded({0, 1001, 0}, available) == ResourceKind::kMemory);
  CHECK(FirstExceeded({0, 0, 2}, available) == ResourceKind::kAccelerators);
}

}  // namespace
}  // namespace cactusshelf
