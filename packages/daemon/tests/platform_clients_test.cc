#include <catch2/catch.hpp>

#include "cactusshelf/base/errors.h"
#include "cactusshelf/version/log_follower.h"
#include "cactusshelf/version/log_protocol.h"
#include "host_list_client.h"
#include "log_client.h"
#include "test_support.h"
#include "worker_client.h"

namespace cactusshelf {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMaxResponseBytes = 10'000;

// Waits for the next event in `events`, removes it and returns it.
NodeEvent AwaitEvent(std::vector<NodeEvent>& events) {
  REQUIRE(RunUntil([&] { return !events.empty(); }));
  NodeEvent event = std::move(events.front());
  events.erase(events.begin());
  return event;
}

template <typename T>
T AwaitEventOf(std::vector<NodeEvent>& events) {
  const NodeEvent event = AwaitEvent(events);
  REQUIRE(std::holds_alternative<T>(event));
  return std::get<T>(event);
}

EventSink AppendTo(std::vector<NodeEvent>& events) {
  return [&events](NodeEvent event) { events.push_back(std::move(event)); };
}

}  // namespace

TEST_CASE("the log protocol preserves arbitrary bytes and rejects malformed responses") {
  const std::string bytes("\0\xff\x80 text", 8);
  const ReadReply reply = LogProtocol::DecodeReadReply(
      R"({"first":3,"next":9,"records":[{"offset":7,"time_ms":1500,"data":"AP+AIHRleHQ="},)"
      R"({"offset":8,"time_ms":1501,"data":""}]})");
  CHECK(reply.first == 3);
  CHECK(reply.next == 9);
  REQUIRE(reply.records.size() == 2);
  CHECK(reply.records[0].data == bytes);
  CHECK(reply.records[0].time == WallTime(milliseconds(1500)));
  CHECK(LogProtocol::DecodeAppendReply(R"({"offset":12})") == 12);
  CHECK_THROWS_AS(LogProtocol::DecodeAppendReply(R"({"offset":-1})"), DecodeError);
  CHECK_THROWS_AS(LogProtocol::DecodeAppendReply("[]"), DecodeError);
  const std::string record =
      GENERATE(as<std::string>(), R"({"offset":4,"time_ms":1,"data":"A"})",
               R"({"offset":4,"time_ms":1,"data":"A===" })",
               R"({"offset":4,"time_ms":1,"data":"AB*="})", R"({"offset":4,"time_ms":1})");
  CHECK_THROWS_AS(
      LogProtocol::DecodeReadReply(R"({"first":3,"next":9,"records":[)" + record + "]}"),
      DecodeError);
}

TEST_CASE("records whose offsets contradict the response are rejected") {
  const std::string records =
      GENERATE(as<std::string>(), R"({"offset":9,"time_ms":1,"data":""})",
               R"({"offset":4,"time_ms":1,"data":""},{"offset":4,"time_ms":1,"data":""})",
               R"({"offset":0,"time_ms":1,"data":""},{"offset":2,"time_ms":1,"data":""})");
  LogFollower follower;
  const ReadReply reply =
      LogProtocol::DecodeReadReply(R"({"first":0,"next":9,"records":[)" + records + "]}");
  CHECK_THROWS_AS(follower.Consume(reply), Error);
}

TEST_CASE("log client appends, reads with a long poll, and reports failures") {
  std::string response = OkResponse(R"({"offset":5})");
  ScriptedServer server(
      [&](RawConnection& connection, const std::string&) { connection.Write(response); });
  std::vector<NodeEvent> events;
  LogClient client({server.address(), "main", seconds(15), kMaxResponseBytes}, AppendTo(events));

  client.Append({AppendToken{1}, "data"});
  CHECK(AwaitEventOf<node_event::AppendDone>(events).offset == 5);
  CHECK(server.requests()[0].starts_with("POST /v1/streams/main/records HTTP/1.1\r\n"));
  CHECK(server.requests()[0].ends_with("\r\n\r\ndata"));

  response =
      OkResponse(R"({"first":0,"next":1,"records":[{"offset":0,"time_ms":7,"data":"YQ=="}]})");
  const Time before{Duration(g_get_monotonic_time())};
  client.Read({0, milliseconds(250)});
  const auto read = AwaitEventOf<node_event::LogRead>(events);
  CHECK(read.started >= before);
  CHECK(read.entries[0].data == "a");
  CHECK(server.requests()[1].starts_with(
      "GET /v1/streams/main/records?from=0&wait_ms=250 HTTP/1.1\r\n"));

  response = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
  client.Append({AppendToken{2}, ""});
  CHECK(AwaitEventOf<node_event::AppendFailed>(events).token == AppendToken{2});
  client.Read({0, seconds(0)});
  CHECK(AwaitEventOf<node_event::LogReadFailed>(events).reason == "status 503");
  response = OkResponse("not JSON");
  client.Read({0, seconds(0)});
  AwaitEventOf<node_event::LogReadFailed>(events);
}

TEST_CASE("a read from an unresponsive log service fails after its wait time plus the timeout") {
  ScriptedServer server([](RawConnection&, const std::string&) {});
  std::vector<NodeEvent> events;
  LogClient client({server.address(), "main", milliseconds(100), kMaxResponseBytes},
                   AppendTo(events));
  const gint64 start = g_get_monotonic_time();
  client.Read({0, milliseconds(100)});
  AwaitEventOf<node_event::LogReadFailed>(events);
  CHECK(g_get_monotonic_time() - start >= 200'000);
}

TEST_CASE("host list client reads the hosts and reports malformed lists") {
  std::string response =
      OkResponse(R"({"hosts":[{"name":"a","state":"live"},{"name":"b","state":"leaving"}]})");
  ScriptedServer server(
      [&](RawConnection& connection, const std::string&) { connection.Write(response); });
  std::vector<NodeEvent> events;
  HostListClient client({server.address(), seconds(15), kMaxResponseBytes}, AppendTo(events));
  client.Read();
  const auto read = AwaitEventOf<node_event::HostsRead>(events);
  REQUIRE(read.hosts.size() == 2);
  CHECK(read.hosts[1].name == "b");
  CHECK(read.hosts[1].state == node_event::HostState::kLeaving);
  CHECK(server.requests()[0].starts_with("GET /v1/hosts HTTP/1.1\r\n"));
  response = OkResponse(R"({"hosts":[{"name":"a","state":"asleep"}]})");
  client.Read();
  AwaitEventOf<node_event::HostsReadFailed>(events);
}

TEST_CASE("worker client sends commands, reads the state and reports whether a command was sent") {
  ScriptedServer server([&](RawConnection& connection, const std::string& request) {
    if (request.find("hang up") != std::string::npos) {
      connection.Close();
    } else {
      connection.Write(OkResponse("state"));
    }
  });
  ShellMetrics metrics;
  std::vector<NodeEvent> events;
  WorkerClient client(kMaxResponseBytes, metrics, AppendTo(events));
  const auto call = [](std::uint64_t token, const std::string& address, const std::string& body) {
    return node_effect::CallWorker{WorkerCallToken{token}, address, body, seconds(15), {}};
  };
  client.Call(call(1, server.address(), "{}"));
  CHECK(AwaitEventOf<node_event::WorkerAnswered>(events).body == "state");
  CHECK(server.requests()[0].starts_with("POST /v1/commands HTTP/1.1\r\n"));
  client.Call(call(2, server.address(), ""));
  AwaitEventOf<node_event::WorkerAnswered>(events);
  CHECK(server.requests()[1].starts_with("GET /v1/state HTTP/1.1\r\n"));
  client.Call(call(3, server.address(), "hang up"));
  CHECK(AwaitEventOf<node_event::WorkerFailed>(events).sent);
  client.Call(call(4, UnusedAddress(), "{}"));
  CHECK_FALSE(AwaitEventOf<node_event::WorkerFailed>(events).sent);
  auto expired = call(5, server.address(), "{}");
  expired.valid_until = Time{Duration(g_get_monotonic_time())};
  client.Call(expired);
  AwaitEventOf<node_event::EffectExpired>(events);
  CHECK(server.requests().size() == 3);
}

}  // namespace cactusshelf
