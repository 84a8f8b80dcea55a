#include <catch2/catch.hpp>
#include <set>

#include "cactusshelf/base/errors.h"
#include "job_simulation.h"
#include "order_relay.h"
#include "relay_pool.h"

// Tests of orders that owners send through relays on other entry hosts.
namespace cactusshelf::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart{seconds(100)};

HostRecord Host(const std::string& name, const std::string& domain, int milliprocessors = 500) {
  return {name, name + ":1", domain, milliprocessors};
}

HoldOrder HoldOf(const std::string& worker, std::uint64_t call) {
  HoldOrder order;
  order.call = CallId{call};
  order.worker = {worker, worker + ":2", "north"};
  order.token = 7;
  order.lease_end = WorkerClock(1234);
  order.incarnation = 17;
  order.wait = milliseconds(500);
  return order;
}

StartOrder StartOf(const std::string& worker, std::uint64_t call) {
  StartOrder order;
  order.call = CallId{call};
  order.worker = {worker, worker + ":2", "north"};
  order.token = 7;
  order.task = {JobKey("00000000000000aa"), {0, 1, 2}};
  order.run = 1001;
  order.payload = "payload";
  order.checkpoint = "c";
  order.lease_end = WorkerClock(99);
  order.incarnation = 17;
  return order;
}

AnswerBatch SignOfLife(const std::string& host) {
  AnswerBatch batch;
  batch.host = host;
  return batch;
}

// The pool of an owner in failure domain "north", with one relay there and one in "south".
struct PoolFixture {
  PoolFixture() : pool({}, Host("self", "north", 0)) {
    pool.SetHosts({{"north-1", Host("north-1", "north")}, {"south-1", Host("south-1", "south")}});
  }

  // Returns the addresses to which batches with orders are sent.
  std::vector<std::string> Addresses(Time now) {
    std::vector<std::string> addresses;
    for (const auto& message : pool.TakeMessages(now + RelayPoolOptions{}.batching_delay)) {
      const PeerMessageBody decoded = DecodePeerMessage(message.bytes);
      if (!std::get<OrderBatch>(decoded).orders.empty()) addresses.push_back(message.address);
    }
    return addresses;
  }

  RelayPool pool;
};

}  // namespace

TEST_CASE("a relay grants a lease without the incarnation that it is for") {
  // Guards against tasks that run twice: the order comes from a host of an earlier version, and
  // another incarnation of the worker would take the end of the lease for the longest one.
  HoldOrder hold = HoldOf("w", 1);
  hold.incarnation = 0;
  OrderBatch orders{"o:1", std::nullopt, {hold}};
  const auto read = std::get<OrderBatch>(DecodePeerMessage(Encode(orders)));
  CHECK_FALSE(std::get<HoldOrder>(read.orders.at(0)).lease_end.has_value());
}

TEST_CASE("orders go through a relay of an earlier version") {
  // Guards against tasks that run twice: such a relay writes orders on any connection, whichever
  // incarnation they name.
  PoolFixture fixture;
  HostRecord old_host = Host("north-1", "north");
  old_host.binds_orders = false;
  fixture.pool.SetHosts({{"north-1", old_host}});
  fixture.pool.OnAnswers(SignOfLife("north-1"));
  CHECK(fixture.pool.Send(StartOf("w", 1), Time{}).has_value());
}

TEST_CASE("peer messages lose no field when they are encoded and decoded") {
  OrderBatch orders{"o:1", RelayTimestamp{seconds(3), milliseconds(4)}, {}};
  orders.orders = {HoldOf("w", 1), StartOf("w", 2)};
  const auto read_orders = std::get<OrderBatch>(DecodePeerMessage(Encode(orders)));
  CHECK(read_orders.owner_address == "o:1");
  CHECK(read_orders.echoed_timestamp == orders.echoed_timestamp);
  REQUIRE(read_orders.orders.size() == 2);
  const auto& hold = std::get<HoldOrder>(read_orders.orders[0]);
  CHECK(hold.lease_end == WorkerClock(1234));
  CHECK(hold.wait == milliseconds(500));
  CHECK(hold.incarnation == 17);
  const auto& start = std::get<StartOrder>(read_orders.orders[1]);
  CHECK(start.task == StartOf("w", 2).task);
  CHECK(start.payload == "payload");
  CHECK(start.worker.address == "w:2");
  CHECK(start.incarnation == 17);

  AnswerBatch answers = SignOfLife("h");
  answers.leaving = true;
  HoldAnswer answer{CallId{1}, "w", OrderOutcome::kDone, "", {}};
  answer.report.clock = WorkerClock(5);
  answer.report.running = {{StartOf("w", 2).task, 1001, "c", 40, 77}};
  answer.report.ended = {{3, StartOf("w", 2).task, 1000, RunEnd::kFailed, "d"}};
  answers.answers = {job_event::HoldDone{answer},
                     job_event::StopDone{{CallId{2}, "w", OrderOutcome::kFenced, "why"}}};
  const auto read = std::get<AnswerBatch>(DecodePeerMessage(Encode(answers)));
  CHECK(read.leaving);
  const HoldReport& report = std::get<job_event::HoldDone>(read.answers.at(0)).answer.report;
  CHECK(report.running.at(0).load == 77);
  CHECK(report.ended.at(0).end == RunEnd::kFailed);
  CHECK(std::get<job_event::StopDone>(read.answers.at(1)).answer.reason == "why");
}

TEST_CASE("notices of an owner and their answers lose no field when they are encoded and decoded") {
  const auto notice = std::get<OwnershipNotice>(
      DecodePeerMessage(Encode(OwnershipNotice{"o:1", 2, 7, milliseconds(1234)})));
  CHECK(notice.reply_address == "o:1");
  CHECK(notice.cell == 2);
  CHECK(notice.epoch == 7);
  CHECK(notice.sent_at == milliseconds(1234));
  const auto answer = std::get<OwnershipAnswer>(DecodePeerMessage(Encode(
      OwnershipAnswer{"h", "h/1", 2, 8, milliseconds(55), milliseconds(44), milliseconds(1234)})));
  CHECK(answer.host == "h");
  CHECK(answer.member == "h/1");
  CHECK(answer.cell == 2);
  CHECK(answer.epoch == 8);
  CHECK(answer.uptime == milliseconds(55));
  CHECK(answer.since_earlier_vote == milliseconds(44));
  CHECK(answer.notice_sent_at == milliseconds(1234));
}

TEST_CASE("a truncated peer message is reported as a decode error") {
  const std::string bytes = Encode(OrderBatch{"o:1", std::nullopt, {StartOf("w", 2)}});
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    CHECK_THROWS_AS(DecodePeerMessage(bytes.substr(0, n)), DecodeError);
  }
}

TEST_CASE("an owner sends orders itself until a relay has answered") {
  // Guards against: orders were sent to relays that had announced themselves and ended since, and
  // waited there until they timed out.
  PoolFixture fixture;
  CHECK(fixture.pool.Send(HoldOf("w", 1), kStart).has_value());
  fixture.pool.OnAnswers(SignOfLife("north-1"));
  CHECK_FALSE(fixture.pool.Send(HoldOf("w", 2), kStart).has_value());
}

TEST_CASE("relays in the worker's failure domain are preferred") {
  // Guards against: all orders and reports crossed failure domains.
  PoolFixture fixture;
  fixture.pool.OnAnswers(SignOfLife("north-1"));
  fixture.pool.OnAnswers(SignOfLife("south-1"));
  for (std::uint64_t i = 0; i < 20; ++i) {
    fixture.pool.Send(HoldOf("w" + std::to_string(i), i), kStart);
  }
  CHECK(fixture.Addresses(kStart) == std::vector<std::string>{"north-1:1"});
}

TEST_CASE(
    "orders of an unresponsive relay are answered as lost, and later orders use another relay") {
  // Guards against: orders stayed with an unresponsive relay until the leases of its workers had
  // expired.
  PoolFixture fixture;
  fixture.pool.OnAnswers(SignOfLife("north-1"));
  fixture.pool.Send(HoldOf("w", 1), kStart);
  CHECK(fixture.Addresses(kStart) == std::vector<std::string>{"north-1:1"});
  const Time later = kStart + milliseconds(800);
  fixture.pool.OnAnswers(SignOfLife("south-1"));
  const std::vector<WorkerAnswer> overdue = fixture.pool.TakeLostOrders(later);
  REQUIRE(overdue.size() == 1);
  CHECK(std::get<job_event::HoldDone>(overdue[0]).answer.outcome == OrderOutcome::kRelaySilent);
  fixture.pool.Send(HoldOf("w", 2), later);
  CHECK(fixture.Addresses(later) == std::vector<std::string>{"south-1:1"});
}

TEST_CASE(
    "an owner without another relay in its failure domain sends that domain's orders itself") {
  // Guards against an owner that is replaced while it is alive: its predecessor was the only other
  // large host of the domain, so it got a quarter of all workers to call itself.
  RelayPool pool({}, Host("self", "north"));
  pool.SetHosts({{"south-1", Host("south-1", "south")}, {"weak", Host("weak", "north", 20)}});
  pool.OnAnswers(SignOfLife("south-1"));
  pool.OnAnswers(SignOfLife("weak"));
  int direct = 0;
  for (std::uint64_t i = 0; i < 100; ++i) {
    if (pool.Send(HoldOf("w" + std::to_string(i), i), kStart)) ++direct;
  }
  CHECK(direct < 10);
}

TEST_CASE("the last relay of a failure domain gets the orders of all its workers") {
  // Guards against a relay that cannot keep up: its domain has half as many relays as the others,
  // since the owner is one of the domain's hosts.
  RelayPool pool({}, Host("self", "north"));
  std::map<std::string, HostRecord> hosts{{"north-1", Host("north-1", "north")}};
  for (const std::string domain : {"south", "east", "west"}) {
    for (const char* suffix : {"-1", "-2"}) hosts[domain + suffix] = Host(domain + suffix, domain);
  }
  pool.SetHosts(hosts);
  for (const auto& [name, host] : hosts) pool.OnAnswers(SignOfLife(name));
  constexpr int kOrders = 400;
  for (std::uint64_t i = 0; i < kOrders; ++i) pool.Send(HoldOf("w" + std::to_string(i), i), kStart);
  int of_north = 0;
  for (const auto& message : pool.TakeMessages(kStart + RelayPoolOptions{}.batching_delay)) {
    const auto batch = std::get<OrderBatch>(DecodePeerMessage(message.bytes));
    if (message.address == "north-1:1") of_north = static_cast<int>(batch.orders.size());
  }
  // Four sevenths of the domain's workers are its part, and a sixth of the others' fall to each.
  CHECK(of_north > kOrders * 2 / 5);
  CHECK(of_north < kOrders * 4 / 5);
}

TEST_CASE("small hosts relay only if there is no larger one") {
  // Guards against: with every host of a large site as a relay, the owner received many small
  // messages, and small hosts delayed the starts that they relayed.
  RelayPool pool({}, Host("self", "south"));
  pool.SetHosts({{"strong", Host("strong", "north", 500)}, {"weak", Host("weak", "north", 120)}});
  pool.OnAnswers(SignOfLife("strong"));
  pool.OnAnswers(SignOfLife("weak"));
  const auto relay_of_each = [&pool](std::uint64_t first) {
    std::set<std::string> addresses;
    for (std::uint64_t i = first; i < first + 20; ++i) {
      pool.Send(HoldOf("w" + std::to_string(i), i), kStart);
    }
    for (const auto& message : pool.TakeMessages(kStart + RelayPoolOptions{}.batching_delay)) {
      const auto batch = std::get<OrderBatch>(DecodePeerMessage(message.bytes));
      if (!batch.orders.empty()) addresses.insert(message.address);
    }
    return addresses;
  };
  CHECK(relay_of_each(0) == std::set<std::string>{"strong:1"});
  AnswerBatch leaving = SignOfLife("strong");
  leaving.leaving = true;
  pool.OnAnswers(leaving);
  CHECK(relay_of_each(100) == std::set<std::string>{"weak:1"});
}

TEST_CASE("a relay that is shutting down answers its orders and gets no new ones") {
  // Guards against: in a rolling restart, each host lost the orders that it was relaying.
  PoolFixture fixture;
  fixture.pool.OnAnswers(SignOfLife("north-1"));
  fixture.pool.Send(StartOf("w", 1), kStart);
  AnswerBatch leaving = SignOfLife("north-1");
  leaving.leaving = true;
  fixture.pool.OnAnswers(leaving);
  CHECK(fixture.pool.TakeLostOrders(kStart + milliseconds(100)).empty());
  CHECK(fixture.pool.Send(HoldOf("w", 2), kStart).has_value());
  leaving.answers = {job_event::StartDone{{CallId{1}, "w", OrderOutcome::kDone, ""}}};
  CHECK(fixture.pool.OnAnswers(leaving).size() == 1);
}

TEST_CASE("queued orders are not sent to a host that has announced a new address") {
  // Guards against: the orders were answered as lost and still sent once the host answered again.
  PoolFixture fixture;
  fixture.pool.OnAnswers(SignOfLife("north-1"));
  fixture.pool.Send(StartOf("w", 1), kStart);
  HostRecord moved = Host("north-1", "north");
  moved.peer_address = "elsewhere:1";
  fixture.pool.SetHosts({{"north-1", moved}});
  CHECK(fixture.pool.TakeLostOrders(kStart).size() == 1);
  fixture.pool.OnAnswers(SignOfLife("north-1"));
  CHECK(fixture.Addresses(kStart).empty());
}

TEST_CASE("a duplicate answer of a relay is dropped") {
  PoolFixture fixture;
  fixture.pool.OnAnswers(SignOfLife("north-1"));
  fixture.pool.Send(StartOf("w", 1), kStart);
  AnswerBatch batch = SignOfLife("north-1");
  batch.answers = {job_event::StartDone{{CallId{1}, "w", OrderOutcome::kDone, ""}}};
  CHECK(fixture.pool.OnAnswers(batch).size() == 1);
  CHECK(fixture.pool.OnAnswers(batch).empty());
}

TEST_CASE("a relay rejects starts that waited while its host was suspended") {
  // Guards against: a relay forwards a start after a suspension of its host, when the owner has
  // already started the task on another worker; the first worker has been restarted and no longer
  // refuses the stale start.
  OrderRelay relay({}, "relay");
  const RelayTimestamp timestamp{
      kStart.time_since_epoch(),
      std::chrono::duration_cast<milliseconds>(kStart.time_since_epoch())};
  relay.OnOrders({"o:1", timestamp, {StartOf("w", 1)}}, NowAt(kStart + milliseconds(900)));
  REQUIRE(relay.TakeOrders().size() == 1);
  // Only the wall clock counts the suspension.
  Now woken = NowAt(kStart + milliseconds(950));
  woken.wall += seconds(4);
  relay.OnOrders({"o:1", timestamp, {StartOf("w", 2), HoldOf("w", 3)}}, woken);
  const std::vector<WorkerOrder> passed = relay.TakeOrders();
  REQUIRE(passed.size() == 1);
  CHECK(std::holds_alternative<HoldOrder>(passed[0]));
  const auto messages = relay.TakeMessages(false, NowAt(kStart + seconds(1)));
  REQUIRE(messages.size() == 1);
  const auto batch = std::get<AnswerBatch>(DecodePeerMessage(messages[0].bytes));
  REQUIRE(batch.answers.size() == 1);
  CHECK(CallIdOf(batch.answers[0]) == CallId{2});
  CHECK(std::get<job_event::StartDone>(batch.answers[0]).answer.outcome == OrderOutcome::kRejected);
}

TEST_CASE("long-running tasks fill all workers, whatever their division into cells") {
  // Guards against: with workers divided into cells of 60, a task was not started because its cell
  // was full while another had free workers; 6 tasks were lost.
  constexpr int kWorkers = 150;
  JobSimulation simulation(21, 6, kWorkers, {});
  simulation.RunFor(seconds(4));
  for (int i = 0; i < kWorkers; ++i) {
    JobSpec spec = SimpleJob(1, 8000);
    spec.steps.front().long_running = true;
    simulation.Submit(spec);
    simulation.RunFor(milliseconds(20));
  }
  simulation.RunFor(seconds(4));
  CHECK(simulation.running_tasks() == kWorkers);
  for (const std::string& it : simulation.violations()) FAIL_CHECK(it);
}

TEST_CASE("a new owner sends the first orders to all workers itself") {
  // Guards against an owner that is replaced while it is alive: before any relay had answered it
  // opened a connection to each worker, and stood still for so long that it stored nothing.
  constexpr int kNodes = 6;
  constexpr int kWorkers = 120;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    JobSimulation simulation(seed, kNodes, kWorkers, {});
    simulation.RunFor(seconds(4));
    simulation.Submit(LongRunningJob(kWorkers));
    simulation.RunFor(seconds(3));
    simulation.LoseNode(simulation.OwnerIndex());
    const Time lost_at = simulation.now();
    while (simulation.OwnerIndex() < 0) simulation.RunFor(milliseconds(10));
    const int owner = simulation.OwnerIndex();
    simulation.RunFor(seconds(1));
    CHECK(simulation.direct_orders(owner) < kWorkers / 4);
    // The relays are waited for only briefly.
    CHECK(simulation.LogLines("event=leases_renewed").find("unreachable=0") != std::string::npos);
    CHECK(simulation.running_tasks() == kWorkers);
    CHECK(simulation.now() - lost_at < seconds(4));
    CheckNoViolations(simulation);
  }
}

TEST_CASE("orders of a new owner wait for a host that does not answer") {
  // Guards against leases that are not renewed: one of the announced hosts has always ended when
  // the owner changes.
  PoolFixture fixture;
  fixture.pool.BeginProbing(kStart);
  CHECK_FALSE(fixture.pool.Send(HoldOf("w", 1), kStart).has_value());
  fixture.pool.OnAnswers(SignOfLife("south-1"));
  CHECK(fixture.pool.TakeUnrelayedOrders(kStart + milliseconds(100)).empty());
  CHECK(fixture.Addresses(kStart + milliseconds(100)).empty());
  const Time end = kStart + RelayPoolOptions{}.max_probing_time;
  CHECK(fixture.pool.TakeUnrelayedOrders(end).empty());
  CHECK(fixture.Addresses(end) == std::vector<std::string>{"south-1:1"});
}

TEST_CASE("orders of a new owner stay in the pool if no host answers") {
  PoolFixture fixture;
  fixture.pool.BeginProbing(kStart);
  CHECK_FALSE(fixture.pool.Send(HoldOf("w", 1), kStart).has_value());
  const Time end = kStart + RelayPoolOptions{}.max_probing_time;
  CHECK(fixture.pool.TakeUnrelayedOrders(end).size() == 1);
  CHECK(fixture.pool.Send(HoldOf("w", 2), end).has_value());
}

TEST_CASE("orders of a former owner are sent when the process owns a cell again") {
  PoolFixture fixture;
  fixture.pool.BeginProbing(kStart);
  fixture.pool.Send(StartOf("w", 1), kStart);
  fixture.pool.EndProbing();
  fixture.pool.BeginProbing(kStart + seconds(1));
  CHECK(fixture.pool.TakeUnrelayedOrders(kStart + seconds(2)).empty());
}

TEST_CASE("running tasks keep their leases when all relays freeze") {
  // Guards against: lease renewals were sent through relays that no longer answered, so that the
  // leases expired.
  JobSimulation simulation(22, 5, 20, {});
  simulation.RunFor(seconds(4));
  JobSpec spec = SimpleJob(40, 1000);
  spec.steps.front().long_running = true;
  simulation.Submit(spec);
  simulation.RunFor(seconds(2));
  REQUIRE(simulation.running_tasks() == 40);
  const std::uint64_t starts = simulation.starts();
  const int owner = simulation.OwnerIndex();
  for (int i = 0; i < 5; ++i) {
    if (i != owner) simulation.FreezeNode(i, seconds(6));
  }
  simulation.RunFor(seconds(10));
  CHECK(simulation.running_tasks() == 40);
  CHECK(simulation.starts() == starts);
  CHECK(simulation.LogLines("relay_lost").find("silent") != std::string::npos);
  for (const std::string& it : simulation.violations()) FAIL_CHECK(it);
}

}  // namespace cactusshelf::jobs
