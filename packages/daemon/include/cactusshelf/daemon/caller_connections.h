#ifndef CACTUSSHELF_DAEMON_CALLER_CONNECTIONS_H_
#define CACTUSSHELF_DAEMON_CALLER_CONNECTIONS_H_

#include <libsoup/soup.h>

#include <memory>
#include <string>
#include <unordered_map>

#include "cactusshelf/daemon/acceptor.h"
#include "cactusshelf/daemon/gobject_ptr.h"

namespace cactusshelf {

// Accepts the connections of callers and hands each to a SoupServer for one request at a time.
//
// SoupServer could listen itself, but libsoup 3.2.3 then never closes the socket of a caller that
// closes an idle connection, and its only way to stop listening breaks off requests in flight. A
// connection handed to it from outside is closed after one response unless it is taken back in
// time, which this class does. Not thread-safe.
class CallerConnections {
 public:
  // Listens at `address` ("IP:port"). Throws Error. `server` outlives the connections.
  CallerConnections(const std::string& address, SoupServer* server);
  ~CallerConnections();
  CallerConnections(const CallerConnections&) = delete;
  CallerConnections& operator=(const CallerConnections&) = delete;

  // Address at which the connections are accepted.
  const std::string& address() const { return address_; }

  // Socket over which `message` arrived.
  static GSocket* SocketOf(SoupServerMessage* message);

  // Keeps the connection of `message` for the next request. To be called when the response has
  // been written. Does nothing if request or response ask for the connection to be closed.
  void TakeBack(SoupServerMessage* message);

  // Stops listening and closes the idle connections.
  void Stop();

  // Number of idle connections.
  std::size_t idle() const { return idle_.size(); }

 private:
  struct Connection;

  void Accept(GSocketConnection* stream);
  void WaitForRequest(std::unique_ptr<Connection> connection);
  void OnReadable(Connection* connection);
  void Submit(std::unique_ptr<Connection> connection);

  SoupServer* server_;
  std::string address_;
  std::unique_ptr<Acceptor> acceptor_;
  std::unordered_map<Connection*, std::unique_ptr<Connection>> idle_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_CALLER_CONNECTIONS_H_
