#ifndef CACTUSSHELF_DAEMON_CALLER_CONNECTIONS_H_
#define CACTUSSHELF_DAEMON_CALLER_CONNECTIONS_H_

#include <libsoup/soup.h>

#include <memory>
#include <string>
#include <unordered_map>

#include "cactusshelf/daemon/acceptor.h"
#include "cactusshelf/daemon/gobject_ptr.h"

namespace cactusshelf {

// Accepts connections from callers and passes each one to a SoupServer for one request at a time.
//
// SoupServer does not listen itself for two reasons: libsoup 3.2.3 then never closes the socket of
// a caller that closes an idle connection, and its only way to stop listening aborts the requests
// in flight. libsoup closes a connection passed to soup_server_accept_iostream() after one response
// unless the connection is stolen from the message first; ReclaimConnection() does so.
// Not thread-safe.
class CallerConnections {
 public:
  // Listens at `address` ("IP:port"). Throws Error on failure. `server` must outlive this object.
  CallerConnections(const std::string& address, SoupServer* server);
  ~CallerConnections();
  CallerConnections(const CallerConnections&) = delete;
  CallerConnections& operator=(const CallerConnections&) = delete;

  // Local address of the listening socket.
  const std::string& address() const { return address_; }

  // Returns the socket over which `message` arrived.
  static GSocket* GetSocket(SoupServerMessage* message);

  // Takes the connection of `message` back from libsoup and keeps it for the next request. Must be
  // called when the response has been written. Does nothing if the request or the response has
  // "Connection: close", if the request is not HTTP/1.1, or after Stop().
  void ReclaimConnection(SoupServerMessage* message);

  // Stops listening and closes the idle connections. Requests in flight are not affected.
  void Stop();

  // Number of connections that wait for their next request.
  std::size_t idle_connections() const { return idle_connections_.size(); }

 private:
  struct Connection;

  void Accept(GSocketConnection* stream);
  void WaitForRequest(std::unique_ptr<Connection> connection);
  void OnReadable(Connection* connection);
  void SubmitToServer(std::unique_ptr<Connection> connection);

  SoupServer* server_;
  std::string address_;
  std::unique_ptr<Acceptor> acceptor_;
  std::unordered_map<Connection*, std::unique_ptr<Connection>> idle_connections_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_CALLER_CONNECTIONS_H_
