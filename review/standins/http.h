#ifndef CACTUSSHELF_REVIEW_STANDINS_HTTP_H_
#define CACTUSSHELF_REVIEW_STANDINS_HTTP_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <stdexcept>
#include <string>
#include <thread>

// A minimal HTTP/1.1 server (one thread a connection) and client on loopback addresses.
namespace review {

struct Request {
  std::string method;
  std::string path;  // Without the query.
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  // Names in lower case.
  std::string body;
};

struct Response {
  int status = 200;
  std::string body;
};

inline std::string Unescape(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out.push_back(static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16)));
      i += 2;
    } else {
      out.push_back(text[i]);
    }
  }
  return out;
}

// Buffered reads of one socket.
class SocketReader {
 public:
  explicit SocketReader(int fd) : fd_(fd) {}

  // Reads up to and including the next line break. Nothing at the end of the stream.
  std::optional<std::string> Line() {
    while (true) {
      const std::size_t at = buf_.find("\r\n");
      if (at != std::string::npos) {
        std::string line = buf_.substr(0, at);
        buf_.erase(0, at + 2);
        return line;
      }
      if (!Fill()) return std::nullopt;
    }
  }

  bool Bytes(std::size_t n, std::string& out) {
    while (buf_.size() < n) {
      if (!Fill()) return false;
    }
    out = buf_.substr(0, n);
    buf_.erase(0, n);
    return true;
  }

 private:
  bool Fill() {
    char chunk[65536];
    const ssize_t n = recv(fd_, chunk, sizeof(chunk), 0);
    if (n <= 0) return false;
    buf_.append(chunk, static_cast<std::size_t>(n));
    return true;
  }

  int fd_;
  std::string buf_;
};

inline bool SendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

inline std::map<std::string, std::string> ReadHeaders(SocketReader& reader, bool& complete) {
  std::map<std::string, std::string> headers;
  complete = false;
  while (auto line = reader.Line()) {
    if (line->empty()) {
      complete = true;
      break;
    }
    const std::size_t colon = line->find(':');
    if (colon == std::string::npos) continue;
    std::string name = line->substr(0, colon);
    for (char& c : name) c = static_cast<char>(tolower(c));
    const std::size_t value = line->find_first_not_of(' ', colon + 1);
    headers[name] = value == std::string::npos ? "" : line->substr(value);
  }
  return headers;
}

inline std::optional<Request> ReadRequest(SocketReader& reader) {
  const auto line = reader.Line();
  if (!line) return std::nullopt;
  Request request;
  const std::size_t first = line->find(' ');
  const std::size_t second = line->find(' ', first + 1);
  request.method = line->substr(0, first);
  std::string target = line->substr(first + 1, second - first - 1);
  const std::size_t mark = target.find('?');
  request.path = target.substr(0, mark);
  while (mark != std::string::npos && !target.empty()) {
    target.erase(0, target.find_first_of("?&") + 1);
    const std::string pair = target.substr(0, target.find('&'));
    const std::size_t equals = pair.find('=');
    request.query[pair.substr(0, equals)] =
        equals == std::string::npos ? "" : Unescape(pair.substr(equals + 1));
    if (target.find('&') == std::string::npos) break;
  }
  bool complete = false;
  request.headers = ReadHeaders(reader, complete);
  if (!complete) return std::nullopt;
  const auto length = request.headers.find("content-length");
  const std::size_t n = length == request.headers.end() ? 0 : std::stoul(length->second);
  if (n > 0 && !reader.Bytes(n, request.body)) return std::nullopt;
  return request;
}

inline sockaddr_in LoopbackAddress(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Opens a listening socket on a loopback port. -1: the port is in use.
inline int Listen(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = LoopbackAddress(port);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0 &&
      listen(fd, 512) == 0)
    return fd;
  close(fd);
  return -1;
}

// Opens a listening socket on a free loopback port. The port is below the usual range of ports of
// outgoing connections, so that it stays free while a process that uses it is not running.
inline int ListenOnFreePort(int& port) {
  constexpr int kFirstPort = 15000;
  constexpr int kPorts = 16000;
  constexpr int kAttempts = 200;
  static std::random_device random;
  for (int i = 0; i < kAttempts; ++i) {
    port = kFirstPort + static_cast<int>(random() % kPorts);
    const int fd = Listen(port);
    if (fd >= 0) return fd;
  }
  throw std::runtime_error("cannot listen");
}

// Sends one request on a connection of its own. Status 0: no complete response.
inline Response Call(int port, const std::string& method, const std::string& target,
                     const std::string& host, const std::string& body, int timeout_ms) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval limit{timeout_ms / 1000, (timeout_ms % 1000) * 1000};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  const sockaddr_in address = LoopbackAddress(port);
  Response response;
  response.status = 0;
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0 &&
      SendAll(fd, method + " " + target + " HTTP/1.1\r\nHost: " + host +
                      "\r\nContent-Type: application/json\r\nX-Deadline-Ms: " +
                      std::to_string(timeout_ms) + "\r\nConnection: close\r\nContent-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body)) {
    SocketReader reader(fd);
    if (const auto line = reader.Line()) {
      bool complete = false;
      const auto headers = ReadHeaders(reader, complete);
      const auto length = headers.find("content-length");
      const std::size_t n = length == headers.end() ? 0 : std::stoul(length->second);
      if (complete && (n == 0 || reader.Bytes(n, response.body)))
        response.status = std::stoi(line->substr(9, 3));
    }
  }
  close(fd);
  return response;
}

}  // namespace review

#endif  // CACTUSSHELF_REVIEW_STANDINS_HTTP_H_
