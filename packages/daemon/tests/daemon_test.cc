#include "daemon.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <cstdio>
#include <filesystem>

#include "test_support.h"

namespace cactusshelf {
namespace {

using node_event::CallerDisconnected;
using node_event::CallerRequest;
using node_event::DrainRequested;

constexpr std::size_t kMaxBodyBytes = 1000;

Settings TestSettings() {
  Settings settings;
  settings.node.http_address = "127.0.0.1:0";
  settings.node.peer_address = "127.0.0.1:0";
  settings.node.max_body_bytes = kMaxBodyBytes;
  settings.log_address = UnusedAddress();
  settings.host_list_address = UnusedAddress();
  return settings;
}

struct Fixture {
  FakeNode node;
  LogWriter log{LogLevel::kError, stderr};
  Daemon<FakeNode> daemon{TestSettings(), 1, node, log};

  Fixture() { daemon.Start(); }

  std::size_t requests() const { return EventsOf<CallerRequest>(node.events).size(); }

  // Makes the daemon execute `effect`: the event of a request lets the node emit it.
  void Emit(NodeEffect effect) {
    node.effects.push_back(std::move(effect));
    RawConnection trigger(daemon.http_address());
    trigger.Write("GET /v1/services/trigger HTTP/1.1\r\nHost: a\r\n\r\n");
    REQUIRE(RunUntil([this] { return node.effects.empty(); }));
    trigger.Close();
  }

  void Respond(CallerToken token, const std::string& body) {
    Emit(node_effect::RespondToCaller{
        token, 200, {{"Cactusshelf-Outcome", "answered"}}, MakeBody(body)});
  }

  // Sends `request` and returns what is received until `terminator` arrives or the connection ends.
  std::string SendRequest(const std::string& request, const std::string& terminator) {
    RawConnection caller(daemon.http_address());
    caller.Write(request);
    RunUntil([&] { return caller.received.find(terminator) != std::string::npos || caller.ended; });
    caller.Close();
    return caller.received;
  }
};

std::string Post(const std::string& path, const std::string& body) {
  return "POST " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

}  // namespace

TEST_CASE("a caller's request reaches the node and its response reaches the caller") {
  Fixture fixture;
  RawConnection caller(fixture.daemon.http_address());
  caller.Write(Post("/v1/services/notices/a%20%3F%25b?x=%2F", "hello"));
  REQUIRE(RunUntil([&] { return fixture.requests() == 1; }));
  const auto request = EventsOf<CallerRequest>(fixture.node.events).front();
  CHECK(request.method == "POST");
  CHECK(request.path == "/v1/services/notices/a%20%3F%25b?x=%2F");
  CHECK(*request.body == "hello");
  fixture.Respond(request.token, "answer");
  REQUIRE(RunUntil([&] { return caller.received.ends_with("answer"); }));
  CHECK(caller.received.starts_with("HTTP/1.1 200 "));
  CHECK(caller.received.find("Cactusshelf-Outcome: answered") != std::string::npos);
}

TEST_CASE("a response without a body ends the request and leaves the connection usable") {
  Fixture fixture;
  RawConnection caller(fixture.daemon.http_address());
  caller.Write(Post("/v1/services/a/b", ""));
  REQUIRE(RunUntil([&] { return fixture.requests() == 1; }));
  fixture.Respond(EventsOf<CallerRequest>(fixture.node.events).front().token, "");
  REQUIRE(RunUntil([&] { return caller.received.ends_with("\r\n\r\n"); }));
  CHECK(caller.received.find("Content-Length: 0\r\n") != std::string::npos);
  caller.received.clear();
  caller.Write("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK(RunUntil([&] { return caller.received.ends_with("ok\n"); }));
}

TEST_CASE("operator pages are served and /readyz reports the node's readiness") {
  Fixture fixture;
  const auto get = [&](const std::string& path, const std::string& terminator) {
    return fixture.SendRequest("GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n", terminator);
  };
  CHECK(get("/healthz", "ok\n").starts_with("HTTP/1.1 200 "));
  CHECK(get("/readyz", "ready\n").starts_with("HTTP/1.1 200 "));
  CHECK(get("/v1/status", "}").ends_with("{\"fake\":true}"));
  const std::string metrics = get("/metrics", "cactusshelf_shell_event_seconds_count");
  CHECK(metrics.find("fake_metric 1\n") != std::string::npos);
  fixture.node.is_ready = false;
  CHECK(get("/readyz", "ready\n").starts_with("HTTP/1.1 503 "));
  CHECK(get("/other", "not_found").starts_with("HTTP/1.1 404 "));
}

TEST_CASE("a body over the limit is refused as not run, whether or not its length is declared") {
  Fixture fixture;
  const std::string head = "POST /v1/services/a/b HTTP/1.1\r\nHost: a\r\n";
  const std::string body(kMaxBodyBytes + 1, 'x');
  const std::string request =
      GENERATE_COPY(Post("/v1/services/a/b", body),
                    head + "Content-Length: 5000000000\r\nExpect: 100-continue\r\n\r\n",
                    head + "Transfer-Encoding: chunked\r\n\r\n3e9\r\n" + body + "\r\n0\r\n\r\n");
  const std::string response = fixture.SendRequest(request, "\r\n\r\n");
  CHECK(response.starts_with("HTTP/1.1 413 "));
  CHECK(response.find("Cactusshelf-Outcome: not-run\r\n") != std::string::npos);
  CHECK(response.find("Cactusshelf-Reason: body_too_large\r\n") != std::string::npos);
  CHECK(fixture.requests() == 0);
}

TEST_CASE("a truncated request body is never passed to the node") {
  Fixture fixture;
  const std::string head = "POST /v1/services/a/b HTTP/1.1\r\nHost: a\r\n";
  const std::string request = GENERATE_COPY(head + "Content-Length: 5\r\n\r\nabc",
                                            head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
                                            head + "Transfer-Encoding: chunked\r\n\r\n");
  RawConnection caller(fixture.daemon.http_address());
  caller.Write(request);
  caller.CloseAfterWrites();
  REQUIRE(RunUntil([&] { return caller.ended; }));
  CHECK(fixture.requests() == 0);
}

TEST_CASE("a caller's disconnect is reported to the node and the late response is dropped") {
  Fixture fixture;
  RawConnection caller(fixture.daemon.http_address());
  caller.Write(Post("/v1/services/a/b", "x"));
  REQUIRE(RunUntil([&] { return fixture.requests() == 1; }));
  caller.Close();
  REQUIRE(RunUntil([&] { return !EventsOf<CallerDisconnected>(fixture.node.events).empty(); }));
  const auto token = EventsOf<CallerRequest>(fixture.node.events).front().token;
  CHECK(EventsOf<CallerDisconnected>(fixture.node.events).front().token == token);
  fixture.Respond(token, "late");
  CHECK(fixture.SendRequest("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n", "ok\n").ends_with("ok\n"));
}

TEST_CASE("a pipelined request is neither lost nor mistaken for a disconnect of the caller") {
  Fixture fixture;
  RawConnection caller(fixture.daemon.http_address());
  caller.Write(Post("/v1/services/a/1", "x"));
  REQUIRE(RunUntil([&] { return fixture.requests() == 1; }));
  caller.Write(Post("/v1/services/a/2", "y"));
  RunFor(std::chrono::milliseconds(100));
  CHECK(EventsOf<CallerDisconnected>(fixture.node.events).empty());
  fixture.Respond(EventsOf<CallerRequest>(fixture.node.events)[0].token, "first");
  REQUIRE(RunUntil([&] {
    for (const auto& request : EventsOf<CallerRequest>(fixture.node.events)) {
      if (request.path == "/v1/services/a/2") return true;
    }
    return false;
  }));
}

TEST_CASE("a connection serves successive and pipelined requests") {
  Fixture fixture;
  const std::string get = "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n";
  RawConnection caller(fixture.daemon.http_address());
  for (const int batch_size : {1, 1, 3}) {
    caller.received.clear();
    for (int n = 0; n < batch_size; ++n) caller.Write(get);
    const auto response_count = [&] {
      int n = 0;
      for (std::size_t position = 0;
           (position = caller.received.find("ok\n", position)) != std::string::npos; ++position)
        ++n;
      return n;
    };
    CHECK(RunUntil([&] { return response_count() == batch_size; }));
  }
  CHECK_FALSE(caller.ended);
}

TEST_CASE("a connection is closed after its response when the request asks for it") {
  Fixture fixture;
  RawConnection caller(fixture.daemon.http_address());
  caller.Write(GENERATE("GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
                        "GET /healthz HTTP/1.0\r\n\r\n"));
  REQUIRE(RunUntil([&] { return caller.ended; }));
  CHECK(caller.received.ends_with("ok\n"));
}

TEST_CASE("the sockets of callers that closed their connections are closed") {
  Fixture fixture;
  const auto open_files = [] {
    return std::distance(std::filesystem::directory_iterator("/proc/self/fd"), {});
  };
  const auto before = open_files();
  for (int n = 0; n < 50; ++n) {
    RawConnection silent(fixture.daemon.http_address());
    fixture.SendRequest("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n", "ok\n");
    RawConnection partial(fixture.daemon.http_address());
    partial.Write("POST /v1/services/a/b HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab");
  }
  CHECK(RunUntil([&] { return open_files() <= before; }));
}

TEST_CASE("a caller that sends its body slowly does not delay other callers") {
  Fixture fixture;
  RawConnection slow(fixture.daemon.http_address());
  slow.Write("POST /v1/services/a/b HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab");
  RawConnection quick(fixture.daemon.http_address());
  quick.Write(Post("/v1/services/a/quick", ""));
  REQUIRE(RunUntil([&] { return fixture.requests() == 1; }));
  slow.Write("cde");
  REQUIRE(RunUntil([&] { return fixture.requests() == 2; }));
  CHECK(*EventsOf<CallerRequest>(fixture.node.events).back().body == "abcde");
}

TEST_CASE("SIGTERM and SIGINT finish the requests in flight before the exit with code 0") {
  Fixture fixture;
  RawConnection caller(fixture.daemon.http_address());
  caller.Write(Post("/v1/services/a/b", "x"));
  REQUIRE(RunUntil([&] { return fixture.requests() == 1; }));
  const auto token = EventsOf<CallerRequest>(fixture.node.events).front().token;
  std::raise(GENERATE(SIGTERM, SIGINT));
  REQUIRE(RunUntil([&] { return !EventsOf<DrainRequested>(fixture.node.events).empty(); }));
  const std::string page =
      fixture.SendRequest("GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n", "ready\n");
  CHECK(page.starts_with("HTTP/1.1 503 "));
  CHECK_FALSE(fixture.daemon.exit_code());

  const std::string body(300'000, 'z');
  fixture.node.effects.push_back(node_effect::RespondToCaller{token, 200, {}, MakeBody(body)});
  fixture.Emit(node_effect::Stop{});
  REQUIRE(RunUntil([&] { return fixture.daemon.exit_code().has_value(); }));
  CHECK(fixture.daemon.exit_code() == 0);
  REQUIRE(RunUntil([&] { return caller.ended || caller.received.ends_with(body); }));
  CHECK(caller.received.ends_with(body));
  CHECK(caller.received.find("Connection: close\r\n") != std::string::npos);
}

TEST_CASE(
    "a request that is still being received when the node stops gets a response before the exit") {
  Fixture fixture;
  RawConnection caller(fixture.daemon.http_address());
  caller.Write("POST /v1/services/a/b HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab");
  RunFor(std::chrono::milliseconds(100));
  fixture.Emit(node_effect::Stop{});
  RunFor(std::chrono::milliseconds(100));
  CHECK_FALSE(fixture.daemon.exit_code());
  fixture.node.on_event = [&](const NodeEvent& event) {
    const auto* request = std::get_if<CallerRequest>(&event);
    if (request == nullptr) return;
    fixture.node.effects.push_back(
        node_effect::RespondToCaller{request->token, 503, {}, MakeBody("")});
  };
  caller.Write("cde");
  REQUIRE(RunUntil([&] { return fixture.daemon.exit_code().has_value(); }));
  CHECK(RunUntil([&] { return caller.received.starts_with("HTTP/1.1 503 "); }));
}

TEST_CASE("a second signal exits with code 1 without waiting for requests in flight") {
  Fixture fixture;
  std::raise(SIGTERM);
  REQUIRE(RunUntil([&] { return !EventsOf<DrainRequested>(fixture.node.events).empty(); }));
  std::raise(SIGINT);
  REQUIRE(RunUntil([&] { return fixture.daemon.exit_code().has_value(); }));
  CHECK(fixture.daemon.exit_code() == 1);
}

}  // namespace cactusshelf
