#include "cactusshelf/daemon/bound_client.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "test_support.h"

// Calls for one incarnation of a server, against a server whose incarnation changes.
namespace cactusshelf {
namespace {

constexpr std::size_t kMaxResponseBytes = 1000;

// A server that answers "/proof" with its incarnation, and everything else with an empty body.
struct Fixture {
  Fixture()
      : server([this](RawConnection& connection, const std::string& request) {
          if (on_request && on_request(connection, request)) return;
          const bool proof = request.starts_with("POST /proof");
          connection.Write(OkResponse(proof ? std::to_string(incarnation) : ""));
        }) {}

  HttpCall Call(const std::string& path) {
    HttpCall call;
    call.url = "http://" + server.address() + path;
    call.body = MakeBody("body of " + path);
    call.timeout = std::chrono::seconds(5);
    call.max_response_bytes = kMaxResponseBytes;
    call.on_done = [this](HttpResult result) { results.push_back(std::move(result)); };
    return call;
  }

  void SendBound(const std::string& path, std::int64_t to) {
    BoundClient::BoundCall bound;
    bound.call = Call(path);
    bound.incarnation = to;
    bound.proof = Call("/proof");
    bound.incarnation_of = [](const HttpResponse& response) { return std::stoll(*response.body); };
    bound.on_other_incarnation = [this](const HttpResponse&) { ++other_incarnations; };
    client.SendBound(server.address(), std::move(bound));
  }

  // Waits until `n` calls have ended, with or without a response.
  void AwaitEnded(std::size_t n) {
    REQUIRE(RunUntil([this, n] { return results.size() + other_incarnations >= n; }));
  }

  int CountRequests(const std::string& path) const {
    return static_cast<int>(std::ranges::count_if(
        server.requests(), [&](const auto& it) { return it.starts_with("POST " + path + " "); }));
  }

  const HttpError& ErrorOf(std::size_t i) const { return std::get<HttpError>(results.at(i)); }

  std::int64_t incarnation = 7;
  // Returns true if it has dealt with the request.
  std::function<bool(RawConnection&, const std::string&)> on_request;
  std::vector<HttpResult> results;
  std::size_t other_incarnations = 0;
  ScriptedServer server;
  Counters counters;
  HttpClient http_client;
  BoundClient client{http_client, counters};
};

}  // namespace

TEST_CASE("a bound call is written to a connection that has not answered") {
  // Guards against orders that reach another incarnation: nothing is known of a new connection.
  Fixture fixture;
  fixture.SendBound("/start", 7);
  fixture.AwaitEnded(1);
  CHECK(std::holds_alternative<HttpResponse>(fixture.results.at(0)));
  REQUIRE(fixture.server.requests().size() == 2);
  CHECK(fixture.server.requests()[0].starts_with("POST /proof "));
  CHECK(fixture.server.requests()[1].ends_with("body of /start"));
  CHECK(fixture.server.connections() == 1);
}

TEST_CASE("a proof is sent although a proven connection is idle") {
  // Guards against a second call for each order to a worker.
  Fixture fixture;
  for (std::size_t n = 1; n <= 5; ++n) {
    fixture.SendBound("/start", 7);
    fixture.AwaitEnded(n);
  }
  CHECK(fixture.CountRequests("/start") == 5);
  CHECK(fixture.CountRequests("/proof") == 1);
  CHECK(fixture.server.connections() == 1);
}

TEST_CASE("bound calls at the same time share one proven connection or go unproven") {
  // Guards against a call on a new connection that was opened since the proven one is busy.
  Fixture fixture;
  std::set<const RawConnection*> proven;
  bool unproven = false;
  fixture.on_request = [&](RawConnection& connection, const std::string& request) {
    if (request.starts_with("POST /proof ")) proven.insert(&connection);
    if (request.starts_with("POST /start ") && !proven.contains(&connection)) unproven = true;
    return false;
  };
  for (int i = 0; i < 20; ++i) {
    fixture.SendBound("/start", 7);
    if (i % 3 == 0) fixture.client.Send(fixture.server.address(), fixture.Call("/stop"));
    if (i % 4 == 0) RunFor(std::chrono::milliseconds(2));
  }
  fixture.AwaitEnded(27);
  CHECK_FALSE(unproven);
  CHECK(fixture.CountRequests("/start") == 20);
}

TEST_CASE("a server that restarted on the same address gets a call for its earlier incarnation") {
  // Guards against tasks that run twice: the new incarnation takes the lease for the longest one.
  Fixture fixture;
  fixture.SendBound("/start", 7);
  fixture.AwaitEnded(1);
  SECTION("its connections are closed, as those of a process that ends") {
    fixture.incarnation = 8;
    fixture.server.CloseConnections();
    // With and without time for the client to see that the connection is closed.
    if (GENERATE(true, false)) RunFor(std::chrono::milliseconds(50));
    fixture.SendBound("/start", 7);
    fixture.AwaitEnded(2);
    RunFor(std::chrono::milliseconds(100));
    CHECK(fixture.CountRequests("/start") == 1);
    // The call for the new incarnation is sent.
    fixture.SendBound("/start", 8);
    fixture.AwaitEnded(3);
    CHECK(fixture.CountRequests("/start") == 2);
  }
  SECTION("the connection closes when the call is on its way") {
    fixture.on_request = [&](RawConnection& connection, const std::string& request) {
      if (!request.starts_with("POST /start ")) return false;
      fixture.incarnation = 8;
      connection.Close();
      return true;
    };
    fixture.SendBound("/start", 7);
    fixture.AwaitEnded(2);
    RunFor(std::chrono::milliseconds(300));
    // It may have been carried out; the library does not send it again on a new connection.
    CHECK(fixture.ErrorOf(1).sent);
    CHECK(fixture.CountRequests("/start") == 2);
    CHECK(fixture.server.connections() == 1);
  }
}

TEST_CASE("a call is sent on an idle connection that no incarnation has been named on") {
  // Guards against a connection that a call without a proof has opened to another incarnation.
  Fixture fixture;
  fixture.client.Send(fixture.server.address(), fixture.Call("/stop"));
  fixture.AwaitEnded(1);
  fixture.incarnation = 8;
  fixture.SendBound("/start", 7);
  fixture.AwaitEnded(2);
  CHECK(fixture.other_incarnations == 1);
  CHECK(fixture.CountRequests("/start") == 0);
  CHECK(fixture.counters.Get("cactusshelf_bound_calls_total", "other_incarnation") == 1);
}

TEST_CASE("a call that was not sent counts as one that may have been carried out") {
  // Guards against tasks that wait for a start that reached nobody.
  Fixture fixture;
  SECTION("the proof gets no answer") {
    fixture.on_request = [](RawConnection& connection, const std::string&) {
      connection.Close();
      return true;
    };
    fixture.SendBound("/start", 7);
    fixture.AwaitEnded(1);
    CHECK(fixture.counters.Get("cactusshelf_bound_calls_total", "proof_unanswered") == 1);
  }
  SECTION("the call names no incarnation") {
    fixture.SendBound("/start", 0);
    fixture.AwaitEnded(1);
  }
  SECTION("the server names no incarnation") {
    fixture.incarnation = 0;
    fixture.SendBound("/start", 7);
    fixture.AwaitEnded(1);
  }
  CHECK_FALSE(fixture.ErrorOf(0).sent);
  CHECK(fixture.CountRequests("/start") == 0);
}

TEST_CASE("a refusal of the proof is lost") {
  // Guards against an owner that does not learn that a worker has seen a higher token.
  Fixture fixture;
  fixture.on_request = [](RawConnection& connection, const std::string&) {
    connection.Write("HTTP/1.1 409 Conflict\r\nContent-Length: 3\r\n\r\nwhy");
    return true;
  };
  fixture.SendBound("/start", 7);
  fixture.AwaitEnded(1);
  CHECK(std::get<HttpResponse>(fixture.results.at(0)).status == 409);
  CHECK(fixture.CountRequests("/start") == 0);
}

}  // namespace cactusshelf
