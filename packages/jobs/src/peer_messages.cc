#include "cactusshelf/jobs/peer_messages.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "cactusshelf/base/cbor.h"
#include "cactusshelf/base/errors.h"

namespace cactusshelf::jobs {
namespace {

using job_event::HoldDone;
using job_event::PaceDone;
using job_event::StartDone;
using job_event::StopDone;
using nlohmann::json;

constexpr int kMaxDepth = 10;
// Bound on the numbers of workers and the amounts in a cell's room.
constexpr std::int64_t kMaxAmount = 1'000'000'000;
constexpr int kOrderBatch = 1;
constexpr int kAnswerBatch = 2;
constexpr int kSubmission = 3;
constexpr int kSubmissionStored = 4;
constexpr int kOwnershipNotice = 5;
constexpr int kOwnershipAnswer = 6;
constexpr int kCellRoom = 7;
constexpr int kHandOverNotice = 8;

// First element of an order or an answer.
enum Kind : std::uint8_t { kHold, kStart, kStop, kPace };

json ToJson(const TaskRef& ref) {
  return json::array({ref.job.str(), ref.task.occurrence, ref.task.step, ref.task.index});
}

TaskRef TaskFromJson(const json& value) {
  return {JobKey(value.at(0).get<std::string>()), {value.at(1), value.at(2), value.at(3)}};
}

// Encodes the fields that all orders begin with.
template <typename Order>
json Head(Kind kind, const Order& order) {
  const WorkerTarget& worker = order.worker;
  return json::array({static_cast<int>(kind), static_cast<std::uint64_t>(order.call), worker.id,
                      worker.address, order.token});
}

constexpr std::size_t kHeadFields = 5;

template <typename Order>
Order OrderFromHead(const json& value) {
  Order order;
  order.call = CallId{value.at(1).get<std::uint64_t>()};
  order.worker.id = value.at(2);
  order.worker.address = value.at(3);
  order.token = value.at(4);
  return order;
}

// Encodes the fields that all orders for a run begin with.
template <typename Order>
json RunHead(Kind kind, const Order& order) {
  json value = Head(kind, order);
  value.push_back(ToJson(order.task));
  value.push_back(order.run);
  return value;
}

constexpr std::size_t kRunHeadFields = kHeadFields + 2;

template <typename Order>
Order OrderFromRunHead(const json& value) {
  auto order = OrderFromHead<Order>(value);
  order.task = TaskFromJson(value.at(kHeadFields));
  order.run = value.at(kHeadFields + 1);
  return order;
}

json ToJson(const HoldOrder& order) {
  json value = Head(kHold, order);
  value.push_back(order.acknowledged_end);
  value.push_back(order.wait.count());
  if (order.incarnation == 0) return value;
  value.push_back(order.lease_end ? json(order.lease_end->count()) : json(nullptr));
  value.push_back(order.incarnation);
  return value;
}

json ToJson(const StartOrder& order) {
  json value = RunHead(kStart, order);
  value.push_back(order.payload);
  value.push_back(order.checkpoint);
  value.push_back(order.lease_end.count());
  value.push_back(order.incarnation);
  return value;
}

json ToJson(const StopOrder& order) { return RunHead(kStop, order); }

json ToJson(const PaceOrder& order) {
  json value = RunHead(kPace, order);
  value.push_back(order.percent);
  return value;
}

WorkerOrder DecodeHold(const json& value) {
  auto order = OrderFromHead<HoldOrder>(value);
  order.acknowledged_end = value.at(kHeadFields);
  order.wait = Duration(value.at(kHeadFields + 1).get<std::int64_t>());
  // Hosts of earlier versions do not name the incarnation. Their leases are not renewed, since
  // another incarnation might take them for longer ones.
  if (value.size() <= kHeadFields + 3) return order;
  const json& lease_end = value.at(kHeadFields + 2);
  if (!lease_end.is_null()) order.lease_end = WorkerClock(lease_end.get<std::int64_t>());
  order.incarnation = value.at(kHeadFields + 3);
  return order;
}

WorkerOrder DecodeStart(const json& value) {
  auto order = OrderFromRunHead<StartOrder>(value);
  order.payload = value.at(kRunHeadFields);
  order.checkpoint = value.at(kRunHeadFields + 1);
  order.lease_end = WorkerClock(value.at(kRunHeadFields + 2).get<std::int64_t>());
  // A start without an incarnation, from a host of an earlier version, is refused when it is sent.
  if (value.size() > kRunHeadFields + 3) order.incarnation = value.at(kRunHeadFields + 3);
  return order;
}

WorkerOrder DecodePace(const json& value) {
  auto order = OrderFromRunHead<PaceOrder>(value);
  order.percent = value.at(kRunHeadFields);
  return order;
}

WorkerOrder DecodeOrder(const json& value) {
  switch (value.at(0).get<int>()) {
    case kHold:
      return DecodeHold(value);
    case kStart:
      return DecodeStart(value);
    case kStop:
      return OrderFromRunHead<StopOrder>(value);
    case kPace:
      return DecodePace(value);
    default:
      throw DecodeError("peer message: unknown order");
  }
}

json ToJson(const HoldReport& report) {
  json running = json::array();
  for (const RunningTask& it : report.running) {
    running.push_back(
        json::array({ToJson(it.task), it.run, it.checkpoint, it.progress_percent, it.load}));
  }
  json ended = json::array();
  for (const EndedRun& it : report.ended) {
    ended.push_back(
        json::array({it.number, ToJson(it.task), it.run, static_cast<int>(it.end), it.checkpoint}));
  }
  return json::array({report.clock.count(), report.incarnation, std::move(running),
                      std::move(ended), report.more_ended});
}

// Decodes an enumerator. Throws DecodeError if it is greater than `last`.
template <typename Enum>
Enum EnumFromJson(const json& value, Enum last) {
  const int n = value.get<int>();
  if (n < 0 || n > static_cast<int>(last)) {
    throw DecodeError("peer message: enumerator out of range");
  }
  return static_cast<Enum>(n);
}

// Number of fields of a report from a host of an earlier version.
constexpr std::size_t kReportFieldsWithoutMore = 4;

HoldReport ReportFromJson(const json& value) {
  HoldReport report;
  report.clock = WorkerClock(value.at(0).get<std::int64_t>());
  report.incarnation = value.at(1);
  for (const json& row : value.at(2)) {
    report.running.push_back({TaskFromJson(row.at(0)), row.at(1), row.at(2), row.at(3), row.at(4)});
  }
  // Relays of earlier versions do not say whether there are more ends.
  report.more_ended = value.size() > kReportFieldsWithoutMore && value.at(kReportFieldsWithoutMore);
  for (const json& row : value.at(3)) {
    report.ended.push_back({row.at(0), TaskFromJson(row.at(1)), row.at(2),
                            EnumFromJson(row.at(3), RunEnd::kGangStartTimedOut), row.at(4)});
  }
  return report;
}

// Encodes the fields that all answers begin with.
template <typename Answer>
json AnswerHead(Kind kind, const Answer& answer) {
  return json::array({static_cast<int>(kind), static_cast<std::uint64_t>(answer.call),
                      answer.worker, static_cast<int>(answer.outcome), answer.reason});
}

json ToJson(const HoldDone& done) {
  json value = AnswerHead(kHold, done.answer);
  if (done.answer.outcome == OrderOutcome::kDone) value.push_back(ToJson(done.answer.report));
  return value;
}

// The worker's clock follows the head if it is known; hosts of earlier versions do not send it.
json OrderAnswerToJson(Kind kind, const OrderAnswer& answer) {
  json value = AnswerHead(kind, answer);
  if (answer.clock) value.push_back(answer.clock->count());
  return value;
}

json ToJson(const StartDone& done) { return OrderAnswerToJson(kStart, done.answer); }
json ToJson(const StopDone& done) { return OrderAnswerToJson(kStop, done.answer); }
json ToJson(const PaceDone& done) { return OrderAnswerToJson(kPace, done.answer); }

template <typename Done>
Done AnswerFromHead(const json& value) {
  Done done;
  done.answer.call = CallId{value.at(1).get<std::uint64_t>()};
  done.answer.worker = value.at(2);
  done.answer.outcome = EnumFromJson(value.at(3), OrderOutcome::kRelaySilent);
  done.answer.reason = value.at(4);
  return done;
}

template <typename Done>
Done OrderAnswerFromJson(const json& value) {
  auto done = AnswerFromHead<Done>(value);
  if (value.size() > kHeadFields) {
    done.answer.clock = WorkerClock(value.at(kHeadFields).get<std::int64_t>());
  }
  return done;
}

WorkerAnswer DecodeAnswer(const json& value) {
  switch (value.at(0).get<int>()) {
    case kHold: {
      auto done = AnswerFromHead<HoldDone>(value);
      if (done.answer.outcome == OrderOutcome::kDone) {
        done.answer.report = ReportFromJson(value.at(kHeadFields));
      }
      return done;
    }
    case kStart:
      return OrderAnswerFromJson<StartDone>(value);
    case kStop:
      return OrderAnswerFromJson<StopDone>(value);
    case kPace:
      return OrderAnswerFromJson<PaceDone>(value);
    default:
      throw DecodeError("peer message: unknown answer");
  }
}

json ToJson(const RelayTimestamp& timestamp) {
  return json::array({timestamp.steady.count(), timestamp.wall.count()});
}

RelayTimestamp TimestampFromJson(const json& value) {
  return {Duration(value.at(0).get<std::int64_t>()),
          std::chrono::milliseconds(value.at(1).get<std::int64_t>())};
}

// Numbers of fields of messages from hosts of earlier versions, which do not name the process that
// has sent a submission.
constexpr std::size_t kSubmissionFieldsWithoutMember = 5;
constexpr std::size_t kSubmissionStoredFieldsWithoutAsker = 4;

Submission DecodeSubmission(const json& value) {
  Submission submission{value.at(1), value.at(2), value.at(3), {}, {}};
  for (const json& row : value.at(4)) {
    const auto& bytes = row.at(1).get_binary();
    submission.records.push_back({row.at(0), std::string(bytes.begin(), bytes.end()), 0});
  }
  if (value.size() > kSubmissionFieldsWithoutMember)
    submission.member = value.at(kSubmissionFieldsWithoutMember);
  return submission;
}

SubmissionStored DecodeSubmissionStored(const json& value) {
  SubmissionStored stored{value.at(1), value.at(2), value.at(3), {}, 0};
  if (value.size() > kSubmissionStoredFieldsWithoutAsker) {
    stored.asker = value.at(kSubmissionStoredFieldsWithoutAsker);
    stored.epoch = value.at(kSubmissionStoredFieldsWithoutAsker + 1);
  }
  return stored;
}

// Sums of such amounts do not overflow.
bool IsPossibleAmount(std::int64_t n) { return n >= 0 && n <= kMaxAmount; }

CellRoom DecodeCellRoom(const json& value) {
  CellRoom room{value.at(1), {}};
  for (const json& row : value.at(2)) {
    PoolRoom& pool = room.pools[row.at(0).get<std::string>()];
    pool.waiting_parts = row.at(1);
    pool.workers_by_free_parts = row.at(2);
    const bool possible = IsPossibleAmount(pool.waiting_parts) &&
                          std::all_of(pool.workers_by_free_parts.begin(),
                                      pool.workers_by_free_parts.end(), IsPossibleAmount);
    if (!possible) throw DecodeError("cell room with an impossible amount");
  }
  return room;
}

Duration DurationFromJson(const json& value) { return Duration(value.get<std::int64_t>()); }

PeerMessageBody DecodeMessage(const json& value) {
  const int type = value.at(0);
  if (type == kOwnershipNotice)
    return OwnershipNotice{value.at(1), value.at(2), value.at(3), DurationFromJson(value.at(4))};
  if (type == kOwnershipAnswer)
    return OwnershipAnswer{value.at(1),
                           value.at(2),
                           value.at(3),
                           value.at(4),
                           DurationFromJson(value.at(5)),
                           DurationFromJson(value.at(6)),
                           DurationFromJson(value.at(7))};
  if (type == kCellRoom) return DecodeCellRoom(value);
  if (type == kHandOverNotice) return HandOverNotice{value.at(1)};
  if (type == kSubmission) return DecodeSubmission(value);
  if (type == kSubmissionStored) return DecodeSubmissionStored(value);
  if (type == kOrderBatch) {
    OrderBatch batch;
    batch.owner_address = value.at(1);
    if (!value.at(2).empty()) batch.echoed_timestamp = TimestampFromJson(value.at(2));
    for (const json& it : value.at(3)) batch.orders.push_back(DecodeOrder(it));
    return batch;
  }
  if (type != kAnswerBatch) throw DecodeError("peer message: unknown type");
  AnswerBatch batch;
  batch.host = value.at(1);
  batch.timestamp = TimestampFromJson(value.at(2));
  batch.leaving = value.at(3);
  for (const json& it : value.at(4)) batch.answers.push_back(DecodeAnswer(it));
  return batch;
}

// Each type of message has to say here how the process that asked is told from others.
struct AskerVisitor {
  using Asker = std::optional<std::string>;

  Asker operator()(const SubmissionStored& stored) const { return stored.asker; }
  // Numbers of calls begin with the cell and the owner's epoch, which one process has for one
  // ownership.
  Asker operator()(const AnswerBatch& /*batch*/) const { return std::nullopt; }
  // Names the epoch that was asked about.
  Asker operator()(const OwnershipAnswer& /*answer*/) const { return std::nullopt; }
  // Requests and reports.
  Asker operator()(const OrderBatch& /*batch*/) const { return std::nullopt; }
  Asker operator()(const Submission& /*submission*/) const { return std::nullopt; }
  Asker operator()(const OwnershipNotice& /*notice*/) const { return std::nullopt; }
  Asker operator()(const CellRoom& /*room*/) const { return std::nullopt; }
  Asker operator()(const HandOverNotice& /*notice*/) const { return std::nullopt; }
};

std::string ToBytes(const json& value) {
  std::string bytes;
  json::to_cbor(value, bytes);
  return bytes;
}

}  // namespace

std::string Encode(const OrderBatch& batch) {
  json orders = json::array();
  for (const WorkerOrder& order : batch.orders) {
    orders.push_back(std::visit([](const auto& it) { return ToJson(it); }, order));
  }
  const json echoed_timestamp =
      batch.echoed_timestamp ? ToJson(*batch.echoed_timestamp) : json::array();
  return ToBytes(
      json::array({kOrderBatch, batch.owner_address, echoed_timestamp, std::move(orders)}));
}

std::string Encode(const AnswerBatch& batch) {
  json answers = json::array();
  for (const WorkerAnswer& answer : batch.answers) {
    answers.push_back(std::visit([](const auto& it) { return ToJson(it); }, answer));
  }
  return ToBytes(json::array(
      {kAnswerBatch, batch.host, ToJson(batch.timestamp), batch.leaving, std::move(answers)}));
}

std::string Encode(const Submission& submission) {
  json records = json::array();
  for (const KeyedRecord& record : submission.records) {
    const std::vector<std::uint8_t> bytes(record.value.begin(), record.value.end());
    records.push_back(json::array({record.key, json::binary(bytes)}));
  }
  return ToBytes(json::array({kSubmission, submission.reply_address, submission.cell, submission.id,
                              std::move(records), submission.member}));
}

std::string Encode(const SubmissionStored& stored) {
  return ToBytes(json::array(
      {kSubmissionStored, stored.cell, stored.id, stored.offset, stored.asker, stored.epoch}));
}

std::string Encode(const OwnershipNotice& notice) {
  return ToBytes(json::array(
      {kOwnershipNotice, notice.reply_address, notice.cell, notice.epoch, notice.sent_at.count()}));
}

std::string Encode(const OwnershipAnswer& answer) {
  return ToBytes(json::array({kOwnershipAnswer, answer.host, answer.member, answer.cell,
                              answer.epoch, answer.uptime.count(),
                              answer.since_earlier_vote.count(), answer.notice_sent_at.count()}));
}

std::string Encode(const CellRoom& room) {
  json pools = json::array();
  for (const auto& [name, pool] : room.pools)
    pools.push_back(json::array({name, pool.waiting_parts, pool.workers_by_free_parts}));
  return ToBytes(json::array({kCellRoom, room.cell, std::move(pools)}));
}

std::string Encode(const HandOverNotice& notice) {
  return ToBytes(json::array({kHandOverNotice, notice.home_cell}));
}

PeerMessageBody DecodePeerMessage(std::string_view bytes) {
  try {
    return DecodeMessage(DecodeCbor(bytes, kMaxDepth));
  } catch (const json::exception& error) {
    throw DecodeError(std::string("malformed peer message: ") + error.what());
  }
}

std::optional<std::string> AskerOf(const PeerMessageBody& message) {
  return std::visit(AskerVisitor{}, message);
}

CallId CallIdOf(const WorkerOrder& order) {
  return std::visit([](const auto& it) { return it.call; }, order);
}

CallId CallIdOf(const WorkerAnswer& answer) {
  return std::visit([](const auto& it) { return it.answer.call; }, answer);
}

const WorkerTarget& TargetWorker(const WorkerOrder& order) {
  return std::visit([](const auto& it) -> const WorkerTarget& { return it.worker; }, order);
}

void SetCallId(WorkerOrder& order, CallId call) {
  std::visit([call](auto& it) { it.call = call; }, order);
}

void SetCallId(WorkerAnswer& answer, CallId call) {
  std::visit([call](auto& it) { it.answer.call = call; }, answer);
}

void SetReason(WorkerAnswer& answer, const std::string& reason) {
  std::visit([&reason](auto& it) { it.answer.reason = reason; }, answer);
}

WorkerAnswer MakeAnswer(const WorkerOrder& order, OrderOutcome outcome, const std::string& reason) {
  const CallId call = CallIdOf(order);
  const std::string& worker = TargetWorker(order).id;
  if (std::holds_alternative<HoldOrder>(order)) {
    return HoldDone{{call, worker, outcome, reason, {}}};
  }
  const OrderAnswer answer{call, worker, outcome, reason, std::nullopt};
  if (std::holds_alternative<StartOrder>(order)) return StartDone{answer};
  if (std::holds_alternative<StopOrder>(order)) return StopDone{answer};
  return PaceDone{answer};
}

}  // namespace cactusshelf::jobs
