#include "peer_transport.h"

#include <catch2/catch.hpp>
#include <cstring>

#include "test_support.h"

namespace cactusshelf {
namespace {

constexpr std::size_t kMaxMessage = 200'000;
constexpr char kDropped[] = "cactusshelf_shell_peer_dropped_messages_total";
constexpr char kConnections[] = "cactusshelf_shell_peer_connections_total";

struct Peer {
  explicit Peer(const std::string& address = "127.0.0.1:0")
      : transport(MakeOptions(address), counters,
                  [this](std::string bytes) { received.push_back(std::move(bytes)); }) {}

  static PeerTransport::Options MakeOptions(const std::string& address) {
    PeerTransport::Options options;
    options.address = address;
    options.max_message_bytes = kMaxMessage;
    options.max_queued_messages = 8;
    options.max_queued_bytes = 4 * kMaxMessage;
    options.min_backoff = std::chrono::milliseconds(10);
    options.max_backoff = std::chrono::milliseconds(100);
    options.handshake_timeout = std::chrono::seconds(15);
    options.seed = 1;
    return options;
  }

  // Sends until `done`, since messages are lost while there is no connection.
  bool SendUntil(const std::string& address, const std::string& bytes,
                 const std::function<bool()>& done) {
    return RunUntil([&] {
      transport.Send(address, bytes);
      return done();
    });
  }

  Counters counters;
  std::vector<std::string> received;
  PeerTransport transport;
};

constexpr char kHandshakeText[] =
    "GET /v1/peers HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
    "Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";

// Masked client frame with a zero mask, so that the payload stays readable.
std::string Frame(char first_byte, const std::string& payload) {
  std::string frame{first_byte, static_cast<char>(0x80 | payload.size())};
  return frame + std::string(4, '\0') + payload;
}

}  // namespace

TEST_CASE("messages of any bytes and size up to the limit arrive whole and in order") {
  Peer a;
  Peer b;
  const std::string binary("\0\xff\n\x80", 4);
  const std::string large(kMaxMessage, 'x');
  a.transport.Send(b.transport.address(), binary);
  a.transport.Send(b.transport.address(), large);
  a.transport.Send(b.transport.address(), "");
  b.transport.Send(a.transport.address(), "back");
  REQUIRE(RunUntil([&] { return b.received.size() == 3 && a.received.size() == 1; }));
  CHECK(b.received == std::vector<std::string>{binary, large, ""});
  CHECK(a.received == std::vector<std::string>{"back"});
  CHECK(a.counters.Get(kConnections, "opened") == 1);
}

TEST_CASE("a peer that sends garbage is disconnected and others are not affected") {
  Peer peer;
  const std::string garbage =
      GENERATE(as<std::string>(), std::string(64, '\xff') + "\r\n\r\n", "GET / HTTP/1.1\r\n\r\n",
               "GET /other HTTP/1.1\r\n" + std::string(std::strstr(kHandshakeText, "Host")),
               std::string(kHandshakeText) + std::string(64, '\xff'),
               std::string(kHandshakeText) + Frame('\x81', "text"),
               std::string(kHandshakeText) + std::string("\x82\x05hello", 7));
  RawConnection bad(peer.transport.address());
  bad.Write(garbage);
  REQUIRE(RunUntil([&] { return bad.ended; }));
  CHECK(peer.received.empty());
  Peer good;
  good.transport.Send(peer.transport.address(), "fine");
  CHECK(RunUntil([&] { return peer.received == std::vector<std::string>{"fine"}; }));
}

TEST_CASE("an oversized frame is refused from its header, before its payload arrives") {
  Peer peer;
  RawConnection bad(peer.transport.address());
  const std::string terabyte("\x82\xff\0\0\1\0\0\0\0\0\0\0\0\0", 14);
  bad.Write(std::string(kHandshakeText) + terabyte);
  CHECK(RunUntil([&] { return bad.ended; }));
  CHECK(peer.received.empty());
}

TEST_CASE("a fragmented message over the limit is refused") {
  Peer peer;
  RawConnection bad(peer.transport.address());
  bad.Write(std::string(kHandshakeText) + Frame('\x02', std::string(100, 'x')));
  const std::string fragment = Frame('\x00', std::string(100, 'x'));
  for (std::size_t n = 0; n < kMaxMessage; n += 100) bad.Write(fragment);
  CHECK(RunUntil([&] { return bad.ended; }));
  CHECK(peer.received.empty());
}

TEST_CASE("a fragmented message within the limit is delivered whole") {
  Peer peer;
  RawConnection good(peer.transport.address());
  good.Write(std::string(kHandshakeText) + Frame('\x02', "one ") + Frame('\x80', "message"));
  REQUIRE(RunUntil([&] { return !peer.received.empty(); }));
  CHECK(peer.received == std::vector<std::string>{"one message"});
}

TEST_CASE("the transport reconnects to a peer that restarts at its address") {
  Peer a;
  auto b = std::make_unique<Peer>();
  const std::string address = b->transport.address();
  REQUIRE(a.SendUntil(address, "one", [&] { return !b->received.empty(); }));
  b.reset();
  REQUIRE(
      a.SendUntil(address, "lost", [&] { return a.counters.Get(kDropped, "unreachable") > 0; }));
  b = std::make_unique<Peer>(address);
  REQUIRE(a.SendUntil(address, "two",
                      [&] { return !b->received.empty() && b->received.back() == "two"; }));
  CHECK(a.counters.Get(kConnections, "opened") == 2);
}

TEST_CASE("a peer that accepts and closes at once is not reconnected to without a pause") {
  ScriptServer closing([](RawConnection& connection, const std::string&) { connection.Close(); });
  Peer a;
  const gint64 start = g_get_monotonic_time();
  REQUIRE(a.SendUntil(closing.address(), "x", [&] { return closing.connections() >= 6; }));
  // Backoffs of at least 5, 10, 20, 40 and 50 ms lie between six connections.
  CHECK(g_get_monotonic_time() - start >= 125'000);
}

TEST_CASE("a full queue drops its oldest messages and counts them") {
  ScriptServer silent([](RawConnection&, const std::string&) {});
  Peer a;
  for (int n = 0; n < 11; ++n) a.transport.Send(silent.address(), std::to_string(n));
  CHECK(a.counters.Get(kDropped, "queue_full") == 3);
  Peer b;
  for (int n = 0; n < 11; ++n) a.transport.Send(b.transport.address(), std::to_string(n));
  REQUIRE(RunUntil([&] { return b.received.size() == 8; }));
  CHECK(b.received.front() == "3");
  CHECK(b.received.back() == "10");
  const std::string large(kMaxMessage, 'x');
  for (int n = 0; n < 5; ++n) a.transport.Send(silent.address(), large);
  CHECK(a.counters.Get(kDropped, "queue_full") >= 6 + 8);
}

TEST_CASE("messages that can never be sent are dropped and counted") {
  Peer a;
  a.transport.Send("nowhere", "x");
  a.transport.Send(ClosedAddress(), std::string(kMaxMessage + 1, 'x'));
  a.transport.Send(ClosedAddress(), "x");
  CHECK(a.counters.Get(kDropped, "bad_address") == 1);
  CHECK(a.counters.Get(kDropped, "too_large") == 1);
  CHECK(RunUntil([&] { return a.counters.Get(kDropped, "unreachable") == 1; }));
}

}  // namespace cactusshelf
