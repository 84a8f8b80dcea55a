#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "cactusshelf/base/errors.h"
#include "cactusshelf/jobs/job_log_view.h"

// Encoding of the progress of wide jobs, which every host reads.
namespace cactusshelf::jobs {
namespace {

constexpr char kJob[] = "00000000000000aa";

ProgressRecord DecodedProgress(const KeyedRecord& record) {
  return std::get<ProgressRecord>(DecodeJobLogRecord(record));
}

KeyedRecord RecordOf(const nlohmann::json& value) {
  KeyedRecord record;
  record.key = std::string("p/") + kJob;
  nlohmann::json::to_cbor(value, record.value);
  return record;
}

}  // namespace

TEST_CASE("records of earlier versions are taken for those of hosts that bind their orders") {
  // Guards against tasks that run twice: an earlier version gave leases, and passed orders on, to
  // whichever incarnation of a worker answered.
  KeyedRecord leases{"leases", "", 0};
  nlohmann::json::to_cbor(nlohmann::json::array({4000, {{"w0", 7}}}), leases.value);
  const auto old_leases = std::get<LeaseRecord>(DecodeJobLogRecord(leases));
  CHECK_FALSE(old_leases.bound);
  CHECK(old_leases.lease == std::chrono::seconds(4));
  CHECK(old_leases.incarnations.at("w0") == 7);
  KeyedRecord host{"h/a", "", 0};
  nlohmann::json::to_cbor(nlohmann::json::array({"a:1", "north", 250}), host.value);
  CHECK_FALSE(std::get<HostRecord>(DecodeJobLogRecord(host)).binds_orders);

  const LeaseRecord present{std::chrono::seconds(4), {}, true, 7};
  CHECK(std::get<LeaseRecord>(DecodeJobLogRecord(Encode(present))).bound);
  const HostRecord announced{"a", "a:1", "north", 250};
  CHECK(std::get<HostRecord>(DecodeJobLogRecord(Encode(announced))) == announced);
}

TEST_CASE("the record of a wide job grows by many bytes with each task that is done") {
  // Guards against a log that grows with the square of the width of a step: each end of a task
  // stored, and every host read, a row for each earlier one.
  constexpr int kWidth = 400;
  ProgressRecord record{JobKey(kJob), {JobState::kRunning, {}}};
  for (int i = 0; i < kWidth; i += 2) record.progress.tasks.push_back({{0, 1, i}, true, 7, {}});
  CHECK(Encode(record).value.size() <= 100);
  const ProgressRecord decoded = DecodedProgress(Encode(record));
  CHECK(decoded.progress.state == JobState::kRunning);
  REQUIRE(decoded.progress.tasks.size() == kWidth / 2);
  for (std::size_t i = 0; i < decoded.progress.tasks.size(); ++i) {
    const TaskProgress& task = decoded.progress.tasks[i];
    CHECK(task.id == TaskId{0, 1, 2 * static_cast<int>(i)});
    CHECK(task.done);
  }
}

TEST_CASE("records of voting hosts lose no field when they are encoded and decoded") {
  const VotingHostsRecord record{4, {{"h0", "h0/1"}, {"h1", "h1/7"}}};
  const auto decoded = std::get<VotingHostsRecord>(DecodeJobLogRecord(Encode(record)));
  CHECK(decoded.generation == record.generation);
  CHECK(decoded.members == record.members);
  OwnerRecord owner;
  owner.host = "h0";
  owner.host_votes_since = 3;
  CHECK(std::get<OwnerRecord>(DecodeJobLogRecord(Encode(owner))).host_votes_since == 3);
}

TEST_CASE("voting hosts are in force although an owner since then does not need their votes") {
  // Guards against two owners that grant leases: one of an earlier version goes on without the
  // votes of which its successor has the quorum.
  JobLogView view;
  OwnerRecord owner;
  owner.generation = 5;
  owner.host = "h0";
  owner.host_votes_since = 4;
  view.Apply(VotingHostsRecord{4, {{"h0", "h0/1"}}}, 0);
  view.Apply(owner, 1);
  CHECK(view.VotingHosts().members.size() == 1);
  owner.host_votes_since = 5;
  view.Apply(owner, 2);
  CHECK(view.VotingHosts().members.empty());
}

TEST_CASE("a record keeps the runs of tasks that have failed") {
  ProgressRecord record{JobKey(kJob), {JobState::kRunning, {}}};
  record.progress.tasks = {{{0, 0, 3}, false, 9, {8, 9}}, {{2, 1, 0}, true, 5, {4}}};
  CHECK(DecodedProgress(Encode(record)).progress == record.progress);
}

TEST_CASE("records with one row for each task, of earlier versions, can be read") {
  const auto row = nlohmann::json::array({0, 0, 5, 1, 2, nlohmann::json::array()});
  const auto rows = nlohmann::json::array({row});
  const ProgressRecord decoded = DecodedProgress(RecordOf(nlohmann::json::array({1, rows})));
  REQUIRE(decoded.progress.tasks.size() == 1);
  CHECK(decoded.progress.tasks.front() == TaskProgress{{0, 0, 5}, true, 2, {}});
}

TEST_CASE("the record of a job with many occurrences outgrows what the store takes") {
  // Guards against an owner that can store nothing any more: it repeated an append with a record
  // that the store refuses for its size, and so did each owner after it.
  constexpr int kOccurrences = 50'000;
  ProgressRecord record{JobKey(kJob), {JobState::kRunning, {}, {1, 2, 1}}};
  // Every second task of each occurrence is done, which is the worst case.
  for (int k = 0; k < kOccurrences; ++k) {
    record.progress.tasks.push_back({{k, 0, 0}, true, 0, {}});
    record.progress.tasks.push_back({{k, 1, 1}, true, 0, {}});
  }
  CHECK(Encode(record).value.size() <= kOccurrences * 4 / 8 + 100);
  CHECK(DecodedProgress(Encode(record)).progress == record.progress);
  // Tasks that are done up to some occurrence take no room.
  record.progress.tasks.clear();
  for (int k = 0; k < kOccurrences; ++k) {
    for (const TaskId& id : {TaskId{k, 0, 0}, TaskId{k, 1, 0}, TaskId{k, 1, 1}, TaskId{k, 2, 0}})
      record.progress.tasks.push_back({id, true, 0, {}});
  }
  CHECK(Encode(record).value.size() <= 50);
  CHECK(DecodedProgress(Encode(record)).progress == record.progress);
}

TEST_CASE("a record with task numbers loses the failures of a task that is not done") {
  ProgressRecord record{JobKey(kJob), {JobState::kRunning, {}, {2, 3}}};
  record.progress.tasks = {{{4, 1, 2}, false, 9, {8, 9}},
                           {{0, 0, 0}, true, 0, {}},
                           {{0, 0, 1}, true, 0, {}},
                           {{0, 1, 1}, true, 0, {}},
                           {{7, 1, 2}, true, 0, {}}};
  CHECK(DecodedProgress(Encode(record)).progress == record.progress);
  // A done task is stored without its runs.
  record.progress.tasks = {{{0, 0, 0}, true, 7, {6}}};
  CHECK(DecodedProgress(Encode(record)).progress.tasks.front() ==
        TaskProgress{{0, 0, 0}, true, 0, {}});
}

TEST_CASE("a record with impossible task numbers is accepted") {
  using nlohmann::json;
  const json bitmap = json::binary({1});
  const json negative = json::array({json::array({-1}), 0, bitmap});
  const json none = json::array({json::array(), 0, bitmap});
  const json many = json::array({json::array({1}), 2'000'000'000, bitmap});
  for (const json& numbers : {negative, none, many}) {
    const json value = json::array({1, json::array(), numbers});
    CHECK_THROWS_AS(DecodeJobLogRecord(RecordOf(value)), DecodeError);
  }
}

TEST_CASE("a record with a malformed row is rejected") {
  for (const auto& row : {nlohmann::json::array({0, 0, 5}), nlohmann::json::array({0, 0, "text"}),
                          nlohmann::json::array({0, 0}), nlohmann::json::array({0, 0, 5, 1})}) {
    const auto rows = nlohmann::json::array({row});
    CHECK_THROWS_AS(DecodeJobLogRecord(RecordOf(nlohmann::json::array({1, rows}))), DecodeError);
  }
}

}  // namespace cactusshelf::jobs
