#ifndef REVIEW_STANDINS_2_HTTP_H_
#define REVIEW_STANDINS_2_HTTP_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "event_loop.h"

// HTTP/1.1 over TCP with bodies of known length: a server and a client for stand-ins.
namespace review {

struct Address {
  std::string ip;
  int port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in ToSockaddr(const Address& address) {
  sockaddr_in socket_address{};
  socket_address.sin_family = AF_INET;
  socket_address.sin_port = htons(static_cast<std::uint16_t>(address.port));
  inet_pton(AF_INET, address.ip.c_str(), &socket_address.sin_addr);
  return socket_address;
}

struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  // Names in lower case.
  std::string body;

  std::string Query(const std::string& name) const {
    const auto it = query.find(name);
    return it == query.end() ? "" : it->second;
  }
  std::string Header(const std::string& name) const {
    const auto it = headers.find(name);
    return it == headers.end() ? "" : it->second;
  }
};

inline std::string Unescape(std::string_view text) {
  std::string plain;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      plain += static_cast<char>(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16));
      i += 2;
    } else {
      plain += text[i];
    }
  }
  return plain;
}

// Splits off one message from the start of `buffer`. Returns false if it is not complete yet.
inline bool TakeMessage(std::string& buffer, std::string& first_line,
                        std::map<std::string, std::string>& headers, std::string& body) {
  const std::size_t head_end = buffer.find("\r\n\r\n");
  if (head_end == std::string::npos) return false;
  headers.clear();
  std::size_t at = buffer.find("\r\n");
  first_line = buffer.substr(0, at);
  while (at < head_end) {
    const std::size_t begin = at + 2;
    at = buffer.find("\r\n", begin);
    const std::string line = buffer.substr(begin, at - begin);
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    headers[name] = value == std::string::npos ? "" : line.substr(value);
  }
  const auto length = headers.find("content-length");
  const std::size_t size = length == headers.end() ? 0 : std::stoul(length->second);
  if (buffer.size() < head_end + 4 + size) return false;
  body = buffer.substr(head_end + 4, size);
  buffer.erase(0, head_end + 4 + size);
  return true;
}

inline void SetUpSocket(int fd) {
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
  fcntl(fd, F_SETFD, FD_CLOEXEC);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

// One accepted connection. Handles one request at a time.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  using Handler =
      std::function<void(const Request&, const std::shared_ptr<ServerConnection>& connection)>;

  ServerConnection(EventLoop& loop, int fd, Handler handler)
      : loop_(loop), fd_(fd), handler_(std::move(handler)) {}
  ~ServerConnection() { Close(); }

  void Start() {
    const auto self = shared_from_this();
    loop_.Watch(fd_, EPOLLIN, [self](std::uint32_t events) { self->OnReady(events); });
  }

  bool open() const { return fd_ >= 0; }

  void Respond(int status, const std::string& body) {
    if (!open()) return;
    output_ += "HTTP/1.1 " + std::to_string(status) +
               " Answer\r\nContent-Type: application/json\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n\r\n" + body;
    busy_ = false;
    Flush();
    HandleNext();
  }

  void Close() {
    if (fd_ < 0) return;
    const int fd = std::exchange(fd_, -1);
    loop_.Unwatch(fd);
    close(fd);
  }

 private:
  void OnReady(std::uint32_t events) {
    const auto self = shared_from_this();
    if (events & (EPOLLERR | EPOLLHUP)) return Close();
    if (events & EPOLLOUT) Flush();
    if (!open() || !(events & EPOLLIN)) return;
    char bytes[65536];
    const ssize_t n = recv(fd_, bytes, sizeof bytes, 0);
    if (n == 0 || (n < 0 && errno != EAGAIN)) return Close();
    if (n > 0) input_.append(bytes, static_cast<std::size_t>(n));
    HandleNext();
  }

  void HandleNext() {
    if (busy_ || !open()) return;
    std::string line;
    Request request;
    if (!TakeMessage(input_, line, request.headers, request.body)) return;
    busy_ = true;
    const std::size_t space = line.find(' ');
    request.method = line.substr(0, space);
    std::string target = line.substr(space + 1, line.rfind(' ') - space - 1);
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
    handler_(request, shared_from_this());
  }

  void Flush() {
    while (!output_.empty()) {
      const ssize_t n = send(fd_, output_.data(), output_.size(), MSG_NOSIGNAL);
      if (n < 0) {
        if (errno != EAGAIN) return Close();
        loop_.SetEvents(fd_, EPOLLIN | EPOLLOUT);
        return;
      }
      output_.erase(0, static_cast<std::size_t>(n));
    }
    loop_.SetEvents(fd_, EPOLLIN);
  }

  EventLoop& loop_;
  int fd_;
  Handler handler_;
  std::string input_;
  std::string output_;
  bool busy_ = false;
};

using ConnectionPtr = std::shared_ptr<ServerConnection>;

class HttpServer {
 public:
  HttpServer(EventLoop& loop, Address address, ServerConnection::Handler handler)
      : loop_(loop), address_(std::move(address)), handler_(std::move(handler)) {}
  ~HttpServer() { Stop(); }

  const Address& address() const { return address_; }

  // Throws std::runtime_error if the address is not free.
  void Start() {
    fd_ = socket(AF_INET, SOCK_STREAM, 0);
    SetUpSocket(fd_);
    const int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in socket_address = ToSockaddr(address_);
    const auto* raw = reinterpret_cast<const sockaddr*>(&socket_address);
    if (bind(fd_, raw, sizeof socket_address) != 0 || listen(fd_, SOMAXCONN) != 0)
      throw std::runtime_error("cannot listen on " + address_.Text());
    loop_.Watch(fd_, EPOLLIN, [this](std::uint32_t) { Accept(); });
  }

  // Closes the listening socket and all connections.
  void Stop() {
    if (fd_ < 0) return;
    loop_.Unwatch(fd_);
    close(std::exchange(fd_, -1));
    for (const auto& it : connections_) {
      if (const auto connection = it.lock()) connection->Close();
    }
    connections_.clear();
  }

 private:
  void Accept() {
    const int fd = accept(fd_, nullptr, nullptr);
    if (fd < 0) return;
    SetUpSocket(fd);
    const auto connection = std::make_shared<ServerConnection>(loop_, fd, handler_);
    std::erase_if(connections_, [](const auto& it) { return it.expired(); });
    connections_.push_back(connection);
    connection->Start();
  }

  EventLoop& loop_;
  Address address_;
  ServerConnection::Handler handler_;
  int fd_ = -1;
  std::vector<std::weak_ptr<ServerConnection>> connections_;
};

struct Response {
  int status = 0;  // 0: no answer, or a broken connection.
  std::string body;
};

// Sends one request on a connection of its own.
class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
 public:
  using Done = std::function<void(const Response&)>;

  static void Send(EventLoop& loop, const Address& address, const std::string& method,
                   const std::string& path, const std::string& host, const std::string& body,
                   Millis timeout, Done done) {
    const auto exchange = std::make_shared<HttpExchange>(loop, std::move(done));
    exchange->output_ = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                        "\r\nX-Deadline-Ms: " + std::to_string(timeout.count()) +
                        "\r\nConnection: close\r\n";
    if (!body.empty()) {
      exchange->output_ +=
          "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
          "\r\n";
    }
    exchange->output_ += "\r\n" + body;
    exchange->Start(address, timeout);
  }

  HttpExchange(EventLoop& loop, Done done) : loop_(loop), done_(std::move(done)) {}
  ~HttpExchange() {
    if (fd_ >= 0) close(fd_);
  }

 private:
  void Start(const Address& address, Millis timeout) {
    fd_ = socket(AF_INET, SOCK_STREAM, 0);
    SetUpSocket(fd_);
    const sockaddr_in socket_address = ToSockaddr(address);
    const auto* raw = reinterpret_cast<const sockaddr*>(&socket_address);
    const auto self = shared_from_this();
    if (connect(fd_, raw, sizeof socket_address) != 0 && errno != EINPROGRESS) {
      loop_.After(Millis(0), [self] { self->Finish({}); });
      return;
    }
    loop_.Watch(fd_, EPOLLIN | EPOLLOUT, [self](std::uint32_t events) { self->OnReady(events); });
    loop_.After(timeout, [self] { self->Finish({}); });
  }

  void OnReady(std::uint32_t events) {
    const auto self = shared_from_this();
    if ((events & (EPOLLERR | EPOLLHUP)) && !(events & EPOLLIN)) return Finish({});
    if ((events & EPOLLOUT) && !output_.empty()) {
      const ssize_t n = send(fd_, output_.data(), output_.size(), MSG_NOSIGNAL);
      if (n < 0 && errno != EAGAIN) return Finish({});
      if (n > 0) output_.erase(0, static_cast<std::size_t>(n));
      if (output_.empty()) loop_.SetEvents(fd_, EPOLLIN);
    }
    if (!(events & EPOLLIN)) return;
    char bytes[65536];
    const ssize_t n = recv(fd_, bytes, sizeof bytes, 0);
    if (n == 0 || (n < 0 && errno != EAGAIN)) return Finish({});
    if (n > 0) input_.append(bytes, static_cast<std::size_t>(n));
    std::string line;
    std::map<std::string, std::string> headers;
    Response response;
    if (!TakeMessage(input_, line, headers, response.body)) return;
    response.status = std::stoi(line.substr(line.find(' ') + 1));
    Finish(response);
  }

  void Finish(const Response& response) {
    if (finished_) return;
    finished_ = true;
    loop_.Unwatch(fd_);
    close(std::exchange(fd_, -1));
    done_(response);
  }

  EventLoop& loop_;
  Done done_;
  int fd_ = -1;
  std::string input_;
  std::string output_;
  bool finished_ = false;
};

}  // namespace review

#endif  // REVIEW_STANDINS_2_HTTP_H_
