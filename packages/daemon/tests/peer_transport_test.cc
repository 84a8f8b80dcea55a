#include "peer_transport.h"

#include <catch2/catch.hpp>
#include <cstring>

#include "test_support.h"

namespace cactusshelf {
namespace {

constexpr std::size_t kMaxMessageBytes = 200'000;
constexpr char kDroppedMetric[] = "cactusshelf_shell_peer_dropped_messages_total";
constexpr char kConnectionsMetric[] = "cactusshelf_shell_peer_connections_total";

struct Peer {
  explicit Peer(const std::string& address = "127.0.0.1:0")
      : transport(MakeOptions(address), counters,
                  [this](std::string bytes) { received.push_back(std::move(bytes)); }) {}

  static PeerTransport::Options MakeOptions(const std::string& address) {
    PeerTransport::Options options;
    options.address = address;
    options.max_message_bytes = kMaxMessageBytes;
    options.max_queued_messages = 8;
    options.max_queued_bytes = 4 * kMaxMessageBytes;
    options.min_backoff = std::chrono::milliseconds(10);
    options.max_backoff = std::chrono::milliseconds(100);
    options.handshake_timeout = std::chrono::seconds(15);
    options.seed = 1;
    return options;
  }

  // Sends repeatedly until `done` holds, since messages are lost while there is no connection.
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

// Returns a client frame with an all-zero mask, which leaves the payload readable.
std::string Frame(char first_byte, const std::string& payload) {
  std::string frame{first_byte, static_cast<char>(0x80 | payload.size())};
  return frame + std::string(4, '\0') + payload;
}

}  // namespace

TEST_CASE("binary messages up to the size limit arrive complete and in order") {
  Peer a;
  Peer b;
  const std::string binary("\0\xff\n\x80", 4);
  const std::string large(kMaxMessageBytes, 'x');
  a.transport.Send(b.transport.address(), binary);
  a.transport.Send(b.transport.address(), large);
  a.transport.Send(b.transport.address(), "");
  b.transport.Send(a.transport.address(), "back");
  REQUIRE(RunUntil([&] { return b.received.size() == 3 && a.received.size() == 1; }));
  CHECK(b.received == std::vector<std::string>{binary, large, ""});
  CHECK(a.received == std::vector<std::string>{"back"});
  CHECK(a.counters.Get(kConnectionsMetric, "opened") == 1);
}

TEST_CASE("a peer that sends malformed data is disconnected and other peers are not affected") {
  Peer peer;
  const std::string garbage =
      GENERATE(as<std::string>(), std::string(64, '\xff') + "\r\n\r\n", "GET / HTTP/1.1\r\n\r\n",
               "GET /other HTTP/1.1\r\n" + std::string(std::strstr(kHandshakeText, "Host")),
               std::string(kHandshakeText) + std::string(64, '\xff'),
               std::string(kHandshakeText) + Frame('\x81', "text"),
               std::string(kHandshakeText) + std::string("\x82\x05hello", 7));
  RawConnection invalid_client(peer.transport.address());
  invalid_client.Write(garbage);
  REQUIRE(RunUntil([&] { return invalid_client.ended; }));
  CHECK(peer.received.empty());
  Peer valid_client;
  valid_client.transport.Send(peer.transport.address(), "fine");
  CHECK(RunUntil([&] { return peer.received == std::vector<std::string>{"fine"}; }));
}

TEST_CASE("an oversized frame is refused from its header, before its payload arrives") {
  Peer peer;
  RawConnection invalid_client(peer.transport.address());
  const std::string terabyte("\x82\xff\0\0\1\0\0\0\0\0\0\0\0\0", 14);
  invalid_client.Write(std::string(kHandshakeText) + terabyte);
  CHECK(RunUntil([&] { return invalid_client.ended; }));
  CHECK(peer.received.empty());
}

TEST_CASE("a fragmented message over the limit is refused") {
  Peer peer;
  RawConnection invalid_client(peer.transport.address());
  invalid_client.Write(std::string(kHandshakeText) + Frame('\x02', std::string(100, 'x')));
  const std::string fragment = Frame('\x00', std::string(100, 'x'));
  for (std::size_t n = 0; n < kMaxMessageBytes; n += 100) invalid_client.Write(fragment);
  CHECK(RunUntil([&] { return invalid_client.ended; }));
  CHECK(peer.received.empty());
}

TEST_CASE("a fragmented message within the limit is reassembled") {
  Peer peer;
  RawConnection valid_client(peer.transport.address());
  valid_client.Write(std::string(kHandshakeText) + Frame('\x02', "one ") +
                     Frame('\x80', "message"));
  REQUIRE(RunUntil([&] { return !peer.received.empty(); }));
  CHECK(peer.received == std::vector<std::string>{"one message"});
}

TEST_CASE("the transport reconnects to a peer that restarts at its address") {
  Peer a;
  auto b = std::make_unique<Peer>();
  const std::string address = b->transport.address();
  REQUIRE(a.SendUntil(address, "one", [&] { return !b->received.empty(); }));
  b.reset();
  REQUIRE(a.SendUntil(address, "lost",
                      [&] { return a.counters.Get(kDroppedMetric, "unreachable") > 0; }));
  b = std::make_unique<Peer>(address);
  REQUIRE(a.SendUntil(address, "two",
                      [&] { return !b->received.empty() && b->received.back() == "two"; }));
  CHECK(a.counters.Get(kConnectionsMetric, "opened") == 2);
}

TEST_CASE("reconnects to a peer that accepts and closes at once are delayed by the backoff") {
  ScriptedServer closing([](RawConnection& connection, const std::string&) { connection.Close(); });
  Peer a;
  const gint64 start = g_get_monotonic_time();
  REQUIRE(a.SendUntil(closing.address(), "x", [&] { return closing.connections() >= 6; }));
  // Six connections have backoffs of at least 5, 10, 20, 40 and 50 ms between them.
  CHECK(g_get_monotonic_time() - start >= 125'000);
}

TEST_CASE("a full queue drops its oldest messages and counts them") {
  ScriptedServer silent([](RawConnection&, const std::string&) {});
  Peer a;
  for (int n = 0; n < 11; ++n) a.transport.Send(silent.address(), std::to_string(n));
  CHECK(a.counters.Get(kDroppedMetric, "queue_full") == 3);
  Peer b;
  for (int n = 0; n < 11; ++n) a.transport.Send(b.transport.address(), std::to_string(n));
  REQUIRE(RunUntil([&] { return b.received.size() == 8; }));
  CHECK(b.received.front() == "3");
  CHECK(b.received.back() == "10");
  const std::string large(kMaxMessageBytes, 'x');
  for (int n = 0; n < 5; ++n) a.transport.Send(silent.address(), large);
  CHECK(a.counters.Get(kDroppedMetric, "queue_full") >= 6 + 8);
}

TEST_CASE("messages that can never be sent are dropped and counted") {
  Peer a;
  a.transport.Send("nowhere", "x");
  a.transport.Send(UnusedAddress(), std::string(kMaxMessageBytes + 1, 'x'));
  a.transport.Send(UnusedAddress(), "x");
  CHECK(a.counters.Get(kDroppedMetric, "bad_address") == 1);
  CHECK(a.counters.Get(kDroppedMetric, "too_large") == 1);
  CHECK(RunUntil([&] { return a.counters.Get(kDroppedMetric, "unreachable") == 1; }));
}

}  // namespace cactusshelf
