#include "cell_choice.h"

#include <catch2/catch.hpp>

#include "cactusshelf/base/errors.h"
#include "cactusshelf/jobs/peer_messages.h"

// Which cell runs a job, by the room that the owners report to each other.
namespace cactusshelf::jobs {
namespace {

using std::chrono::milliseconds;

constexpr Time kNow{std::chrono::seconds(100)};
constexpr Resources kCapacity{16000, 1 << 30, 0};
constexpr char kPool[] = "pool";

// `free` of the workers are idle, all others are full.
CellRoom Room(int cell, int workers, int free) {
  CellRoom room;
  room.cell = cell;
  for (int i = 0; i < workers; ++i)
    room.pools[kPool].AddWorker(i < free ? kCapacity : Resources{}, kCapacity);
  return room;
}

// Tasks of which one fits on a worker.
RoomDemand WholeWorkers(int tasks) { return {kPool, tasks, PoolRoom::kPartsPerWorker}; }

}  // namespace

TEST_CASE("a job goes to the cell with room if its own cell is full") {
  CellChoice choice;
  choice.OnReport(Room(1, 100, 10), kNow);
  choice.OnReport(Room(2, 100, 20), kNow);
  const auto chosen = choice.Choose(WholeWorkers(5), Room(0, 100, 3), kNow);
  REQUIRE(chosen);
  CHECK(chosen->cell == 2);
  CHECK(chosen->reason == CellChoice::Reason::kNoRoom);
  CHECK(chosen->own_room == 3);
  CHECK(chosen->other_room == 20);
}

TEST_CASE("a job goes to a cell with workers of its pool if its own cell has none") {
  // Guards against a small pool of which a cell has no worker: its jobs would wait for ever.
  CellChoice choice;
  choice.OnReport(Room(1, 3, 0), kNow);
  CHECK(choice.Choose(WholeWorkers(5), CellRoom{}, kNow));
  CHECK_FALSE(choice.Choose(WholeWorkers(5), Room(0, 1, 0), kNow));
}

TEST_CASE("a job stays in a cell that is about as free as the others") {
  CellChoice choice;
  choice.OnReport(Room(1, 100, 24), kNow);
  choice.OnReport(Room(0, 100, 20), kNow);
  CHECK_FALSE(choice.Choose(WholeWorkers(5), Room(0, 100, 20), kNow));
  choice.OnReport(Room(0, 100, 10), kNow);
  const auto chosen = choice.Choose(WholeWorkers(5), Room(0, 100, 10), kNow);
  REQUIRE(chosen);
  CHECK(chosen->reason == CellChoice::Reason::kUneven);
}

TEST_CASE("a job stays if all cells are full, or if a report is old") {
  CellChoice choice;
  choice.OnReport(Room(1, 100, 2), kNow);
  CHECK_FALSE(choice.Choose(WholeWorkers(5), Room(0, 100, 0), kNow));
  choice.OnReport(Room(1, 100, 50), kNow);
  CHECK(choice.Choose(WholeWorkers(5), Room(0, 100, 0), kNow));
  CHECK_FALSE(choice.Choose(WholeWorkers(5), Room(0, 100, 0), kNow + milliseconds(600)));
}

TEST_CASE("a job goes to the cell with room for most of it if none has room for all") {
  // Guards against a job that waits in a full cell while others have room for nearly all its tasks.
  CellChoice choice;
  choice.OnReport(Room(1, 100, 3), kNow);
  choice.OnReport(Room(2, 100, 4), kNow);
  const auto chosen = choice.Choose(WholeWorkers(5), Room(0, 100, 1), kNow);
  REQUIRE(chosen);
  CHECK(chosen->cell == 2);
  CHECK_FALSE(choice.Choose(WholeWorkers(5), Room(0, 100, 2), kNow));
}

TEST_CASE("a job does not leave a full cell for another full one") {
  // Guards against a job that is handed over to a full cell and can't leave it any more.
  CellChoice choice;
  choice.OnReport(Room(1, 100, 1), kNow);
  CellRoom own = Room(0, 100, 0);
  own.pools[kPool].waiting_parts = std::int64_t{50} * PoolRoom::kPartsPerWorker;
  CHECK_FALSE(choice.Choose(WholeWorkers(5), own, kNow));
}

TEST_CASE("jobs that were handed over count against the room until a report shows them") {
  // Guards against a burst of jobs that all go to the cell that had room before the first of them.
  CellChoice choice;
  choice.OnReport(Room(1, 100, 30), kNow);
  int handed_over = 0;
  while (choice.Choose(WholeWorkers(5), Room(0, 100, 0), kNow) && handed_over < 100) {
    choice.OnHandedOver(0, 1, WholeWorkers(5), kNow);
    ++handed_over;
  }
  CHECK(handed_over == 6);
  CHECK(choice.Choose(WholeWorkers(5), Room(0, 100, 0), kNow + milliseconds(400)));
}

TEST_CASE("cells that get jobs at the same time keep them until a report shows a difference") {
  // Guards against a burst of which each owner hands over what it has got, because it knows what
  // has come to its own cell and not what has come to the others.
  CellChoice choice;
  for (int cell = 0; cell < 3; ++cell) choice.OnReport(Room(cell, 100, 100), kNow);
  CHECK_FALSE(choice.Choose(WholeWorkers(5), Room(0, 100, 70), kNow));
  choice.OnReport(Room(0, 100, 70), kNow);
  choice.OnReport(Room(1, 100, 85), kNow);
  choice.OnReport(Room(2, 100, 70), kNow);
  int handed_over = 0;
  while (choice.Choose(WholeWorkers(1), Room(0, 100, 70), kNow) && handed_over < 100) {
    choice.OnHandedOver(0, 1, WholeWorkers(1), kNow);
    ++handed_over;
  }
  // Until the difference without the job is at most 5% of the workers.
  CHECK(handed_over == 5);
}

TEST_CASE("the room of a worker is that of the resource of which least is free") {
  PoolRoom room;
  room.AddWorker({8000, kCapacity.memory_bytes, 0}, kCapacity);
  room.AddWorker({16000, kCapacity.memory_bytes / 4, 0}, kCapacity);
  CHECK(room.workers() == 2);
  CHECK(room.RoomFor(PartsOf({4000, 0, 0}, kCapacity)) == 3);
  CHECK(room.RoomFor(PartsOf({8000, 0, 0}, kCapacity)) == 1);
  CHECK(PartsOf({16001, 0, 0}, kCapacity) > PoolRoom::kPartsPerWorker);
  room.waiting_parts = PoolRoom::kPartsPerWorker / 2;
  CHECK(room.RoomFor(PartsOf({8000, 0, 0}, kCapacity)) == 0);
}

TEST_CASE("the room of a cell is decoded as it was encoded") {
  CellRoom room = Room(3, 7, 2);
  room.pools[kPool].waiting_parts = 12;
  CHECK(std::get<CellRoom>(DecodePeerMessage(Encode(room))) == room);
  room.pools[kPool].waiting_parts = -1;
  CHECK_THROWS_AS(DecodePeerMessage(Encode(room)), DecodeError);
}

}  // namespace cactusshelf::jobs
