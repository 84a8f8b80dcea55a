#include "restart_check.h"

#include <catch2/catch.hpp>

// Tests of the check itself, with samples in place of a system.
namespace cactusshelf::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kPeriod = milliseconds(50);
constexpr Resources kNeed{1000, 1, 0};
constexpr Resources kRoomForTwo{2000, 2, 0};
constexpr Resources kRoomForOne{1999, 2, 0};

TaskRef TestTask() { return {JobKey("0123456789abcdef"), {0, 0, 0}}; }

// Samples a task that ran until 1 s and a worker with `free`. Returns the number of violations.
std::size_t SampleFor(RestartCheck& check, Time& now, Duration duration, bool running,
                      const std::vector<Resources>& free) {
  std::size_t n = 0;
  for (const Time end = now + duration; now < end; now += kPeriod)
    n += check.Sample(now, {{TestTask(), kNeed, running}}, free).size();
  return n;
}

}  // namespace

TEST_CASE("a stopped task is reported once, after 9 s with room and without a disturbance") {
  RestartCheck check;
  Time now{seconds(1)};
  CHECK(SampleFor(check, now, seconds(1), true, {kRoomForTwo}) == 0);
  CHECK(SampleFor(check, now, milliseconds(8900), false, {kRoomForTwo}) == 0);
  CHECK(SampleFor(check, now, milliseconds(200), false, {kRoomForTwo}) == 1);
  CHECK(SampleFor(check, now, seconds(20), false, {kRoomForTwo}) == 0);
  // After another run it is reported again.
  check.NoteStart(TestTask(), now);
  CHECK(SampleFor(check, now, seconds(20), false, {kRoomForTwo}) == 1);
}

TEST_CASE("a task that has never run is not reported") {
  RestartCheck check;
  Time now{seconds(1)};
  CHECK(SampleFor(check, now, seconds(30), false, {kRoomForTwo}) == 0);
}

TEST_CASE("a disturbance delays the report of a stopped task by 7 s") {
  RestartCheck check;
  Time now{seconds(1)};
  SampleFor(check, now, seconds(1), true, {kRoomForTwo});
  SampleFor(check, now, seconds(8), false, {kRoomForTwo});
  check.NoteDisturbance(now);
  CHECK(SampleFor(check, now, milliseconds(6950), false, {kRoomForTwo}) == 0);
  CHECK(SampleFor(check, now, milliseconds(200), false, {kRoomForTwo}) == 1);
}

TEST_CASE("a stopped task is reported only if there was room for it twice over for 3 s") {
  RestartCheck check;
  Time now{seconds(1)};
  SampleFor(check, now, seconds(1), true, {kRoomForOne});
  CHECK(SampleFor(check, now, seconds(20), false, {kRoomForOne}) == 0);
  // Once on each of two workers is room twice over.
  CHECK(SampleFor(check, now, milliseconds(2950), false, {kRoomForOne, kRoomForOne}) == 0);
  CHECK(SampleFor(check, now, milliseconds(100), false, {kRoomForOne}) == 0);
  CHECK(SampleFor(check, now, milliseconds(2950), false, {kRoomForOne, kRoomForOne}) == 0);
  CHECK(SampleFor(check, now, milliseconds(200), false, {kRoomForTwo}) == 1);
}

}  // namespace cactusshelf::jobs
