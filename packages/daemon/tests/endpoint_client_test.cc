#include "endpoint_client.h"

#include <catch2/catch.hpp>

#include "cactusshelf/daemon/clock.h"
#include "test_support.h"

namespace cactusshelf {
namespace {

using node_event::AttemptAnswered;
using node_event::AttemptFailed;
using node_event::AttemptFailure;
using node_event::AttemptSent;
using node_event::EffectExpired;

constexpr std::size_t kMaxResponseBytes = 1000;

struct Fixture {
  ShellMetrics metrics;
  std::vector<NodeEvent> events;
  EndpointClient client{kMaxResponseBytes, metrics,
                        [this](NodeEvent event) { events.push_back(std::move(event)); }};

  static node_effect::SendAttempt Attempt(std::uint64_t token, const std::string& address) {
    node_effect::SendAttempt attempt;
    attempt.token = AttemptToken{token};
    attempt.address = address;
    attempt.path = "/notify?a=%2F1";
    attempt.headers = {{"Cactusshelf-Method", "PUT"}};
    attempt.body = MakeBody("request body");
    attempt.timeout = std::chrono::seconds(15);
    return attempt;
  }

  // Waits for an event of type `T` and returns the first one.
  template <typename T>
  T AwaitEvent() {
    REQUIRE(RunUntil([this] { return !EventsOf<T>(events).empty(); }));
    return EventsOf<T>(events).front();
  }
};

ScriptedServer::Handler RespondWith(const std::string& response, bool close) {
  return [=](RawConnection& connection, const std::string&) {
    connection.Write(response);
    if (close) connection.CloseAfterWrites();
  };
}

}  // namespace

TEST_CASE("an attempt passes method, path, headers and body unchanged and delivers the response") {
  Fixture fixture;
  ScriptedServer server(RespondWith(
      "HTTP/1.1 201 Made\r\nX-One: 1\r\nContent-Encoding: gzip\r\nContent-Length: 3\r\n\r\nabc",
      false));
  fixture.client.Send(Fixture::Attempt(1, server.address()));
  const auto response = fixture.AwaitEvent<AttemptAnswered>();
  CHECK(response.status == 201);
  CHECK(*response.body == "abc");
  REQUIRE(response.headers.size() == 2);
  CHECK(HeaderValue(response.headers, "X-One") == "1");
  CHECK(HeaderValue(response.headers, "Content-Encoding") == "gzip");
  const std::string& request = server.requests().front();
  CHECK(request.starts_with("POST /notify?a=%2F1 HTTP/1.1\r\n"));
  CHECK(request.find("Cactusshelf-Method: PUT\r\n") != std::string::npos);
  CHECK(request.ends_with("\r\n\r\nrequest body"));
  REQUIRE(fixture.events.size() == 2);
  CHECK(std::holds_alternative<AttemptSent>(fixture.events.front()));
}

TEST_CASE("a request is not resent by libsoup when its reused connection is closed") {
  Fixture fixture;
  int served = 0;
  ScriptedServer server([&](RawConnection& connection, const std::string&) {
    if (++served == 1) {
      connection.Write(OkResponse("first"));
    } else {
      connection.Close();
    }
  });
  fixture.client.Send(Fixture::Attempt(1, server.address()));
  fixture.AwaitEvent<AttemptAnswered>();
  fixture.client.Send(Fixture::Attempt(2, server.address()));
  const auto failed = fixture.AwaitEvent<AttemptFailed>();
  CHECK(failed.token == AttemptToken{2});
  CHECK(failed.failure == AttemptFailure::kReset);
  CHECK(failed.sent);
  RunFor(std::chrono::milliseconds(300));
  CHECK(server.requests().size() == 2);
  CHECK(server.connections() == 1);
}

TEST_CASE("connections are reused after chunked responses") {
  Fixture fixture;
  ScriptedServer server(RespondWith(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", false));
  for (std::uint64_t n = 1; n <= 3; ++n) {
    fixture.events.clear();
    auto attempt = Fixture::Attempt(n, server.address());
    attempt.body = MakeBody("");
    fixture.client.Send(attempt);
    CHECK(*fixture.AwaitEvent<AttemptAnswered>().body == "abc");
  }
  CHECK(server.connections() == 1);
}

TEST_CASE("a truncated body is never delivered as complete") {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string response = GENERATE_COPY(
      head + "Content-Length: 10\r\n\r\nabc", head + "\r\nno length", chunked, chunked + "3\r\nab",
      chunked + "3\r\nabc", chunked + "3\r\nabc\r\n", chunked + "3\r\nabc\r\n0\r\n");
  CAPTURE(response);
  Fixture fixture;
  ScriptedServer server(RespondWith(response, true));
  fixture.client.Send(Fixture::Attempt(1, server.address()));
  const auto failed = fixture.AwaitEvent<AttemptFailed>();
  CHECK(failed.failure == AttemptFailure::kTruncated);
  CHECK(failed.sent);
}

TEST_CASE("a refused connection or an invalid address is reported as not sent") {
  Fixture fixture;
  fixture.client.Send(
      Fixture::Attempt(1, GENERATE(as<std::string>(), UnusedAddress(), "not an address", "")));
  const auto failed = fixture.AwaitEvent<AttemptFailed>();
  CHECK(failed.failure == AttemptFailure::kConnect);
  CHECK_FALSE(failed.sent);
  CHECK(EventsOf<AttemptSent>(fixture.events).empty());
}

TEST_CASE("a response over the size limit fails with and without a declared length") {
  const std::string body(kMaxResponseBytes + 1, 'x');
  const std::string response = GENERATE_COPY(
      OkResponse(body),
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n" + body + "\r\n0\r\n\r\n");
  Fixture fixture;
  ScriptedServer server(RespondWith(response, false));
  fixture.client.Send(Fixture::Attempt(1, server.address()));
  CHECK(fixture.AwaitEvent<AttemptFailed>().failure == AttemptFailure::kTooLarge);
}

TEST_CASE(
    "an attempt without a response times out as sent, and a cancelled attempt reports nothing") {
  Fixture fixture;
  ScriptedServer server([](RawConnection&, const std::string&) {});
  auto attempt = Fixture::Attempt(1, server.address());
  fixture.client.Send(Fixture::Attempt(2, server.address()));
  attempt.timeout = std::chrono::milliseconds(200);
  fixture.client.Send(attempt);
  const auto failed = fixture.AwaitEvent<AttemptFailed>();
  CHECK(failed.token == AttemptToken{1});
  CHECK(failed.failure == AttemptFailure::kTimeout);
  CHECK(failed.sent);
  REQUIRE(RunUntil([&] { return server.requests().size() == 2; }));
  fixture.events.clear();
  fixture.client.Cancel({AttemptToken{2}});
  RunFor(std::chrono::milliseconds(200));
  CHECK(fixture.events.empty());
}

TEST_CASE("redirects are not followed") {
  Fixture fixture;
  ScriptedServer server(
      RespondWith("HTTP/1.1 307 Moved\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n", false));
  fixture.client.Send(Fixture::Attempt(1, server.address()));
  CHECK(fixture.AwaitEvent<AttemptAnswered>().status == 307);
  CHECK(server.requests().size() == 1);
}

TEST_CASE("an attempt whose authority ends while it connects is not sent") {
  Fixture fixture;
  ScriptedServer server(RespondWith(OkResponse(""), false));
  auto attempt = Fixture::Attempt(1, server.address());
  attempt.valid_until = SystemClock().Read().monotonic;
  fixture.client.Send(attempt);
  fixture.AwaitEvent<EffectExpired>();
  RunFor(std::chrono::milliseconds(200));
  CHECK(fixture.events.size() == 1);
  CHECK(server.requests().empty());
}

}  // namespace cactusshelf
