#include "cactusshelf/daemon/wakeup_timer.h"

#include <catch2/catch.hpp>
#include <memory>

#include "test_support.h"

namespace cactusshelf {
namespace {

using std::chrono::milliseconds;

Time SteadyNow() { return Time{Duration(g_get_monotonic_time())}; }

}  // namespace

TEST_CASE("a timer that is set to a later time fires at that time only") {
  int fired = 0;
  WakeupTimer timer([&fired] { ++fired; });
  timer.FireAfter(milliseconds(20));
  timer.FireAfter(milliseconds(200));
  RunFor(milliseconds(100));
  CHECK(fired == 0);
  RunFor(milliseconds(200));
  CHECK(fired == 1);
}

TEST_CASE("a timer that is set to an earlier time fires at that time") {
  int fired = 0;
  WakeupTimer timer([&fired] { ++fired; });
  timer.FireAfter(std::chrono::hours(1));
  timer.FireAfter(milliseconds(10));
  CHECK(RunUntil([&fired] { return fired == 1; }));
  timer.FireAfter(Duration::zero());
  CHECK(RunUntil([&fired] { return fired == 2; }));
}

TEST_CASE("a timer that is cleared does not fire, and can be set again") {
  int fired = 0;
  WakeupTimer timer([&fired] { ++fired; });
  timer.FireAfter(milliseconds(20));
  timer.Clear();
  RunFor(milliseconds(100));
  CHECK(fired == 0);
  timer.FireAfter(milliseconds(10));
  CHECK(RunUntil([&fired] { return fired == 1; }));
}

TEST_CASE("the callback of a timer may destroy it") {
  int fired = 0;
  std::unique_ptr<WakeupTimer> timer;
  timer = std::make_unique<WakeupTimer>([&] {
    ++fired;
    timer.reset();
  });
  timer->FireAfter(milliseconds(10));
  CHECK(RunUntil([&fired] { return fired == 1; }));
  CHECK(timer == nullptr);
}

TEST_CASE("setting a timer to a later time wakes the main loop up") {
  // Guards against several system calls for each event of a process: those for the wakeup of the
  // main loop, and an iteration that finds nothing to do.
  WakeupTimer timer([] {});
  timer.FireAfter(milliseconds(300));
  while (g_main_context_iteration(nullptr, FALSE) != FALSE) {
  }
  const Time start = SteadyNow();
  timer.FireAfter(milliseconds(400));
  g_main_context_iteration(nullptr, TRUE);
  CHECK(SteadyNow() - start >= milliseconds(200));
}

}  // namespace cactusshelf
