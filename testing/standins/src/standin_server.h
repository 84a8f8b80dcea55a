#ifndef CACTUSSHELF_STANDINS_STANDIN_SERVER_H_
#define CACTUSSHELF_STANDINS_STANDIN_SERVER_H_

#include <gio/gio.h>
#include <libsoup/soup.h>

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cxxopts.hpp>
#include <exception>
#include <functional>
#include <string>
#include <unordered_map>

#include "exchange.h"

namespace cactusshelf {

// Splits "address:port". Throws SettingsError.
std::pair<std::string, std::uint16_t> ParseAddress(const std::string& text);

// Accepts TCP connections on `address` ("127.0.0.1:0" for any free port) and writes the port to
// `port_file` unless that is empty. Throws SettingsError.
GSocketService* ListenOn(const std::string& address, const std::string& port_file);

// HTTP server of a stand-in on the default GLib main loop.
class StandinServer {
 public:
  StandinServer(const std::string& address, const std::string& port_file);
  ~StandinServer();
  StandinServer(const StandinServer&) = delete;
  StandinServer& operator=(const StandinServer&) = delete;

  // Called for each request. An exception becomes an answer with status 400.
  void SetHandler(std::function<void(const ExchangePtr&)> handler) {
    handler_ = std::move(handler);
  }

  // Connections beyond this number are closed when they are accepted.
  void SetMaxConnections(std::size_t n) { max_connections_ = n; }
  std::size_t connections() const { return sockets_.size(); }
  std::size_t max_connections_seen() const { return max_connections_seen_; }
  std::size_t connections_refused() const { return connections_refused_; }

 private:
  static gboolean OnIncoming(GSocketService* service, GSocketConnection* connection,
                             GObject* source, gpointer self);
  static void OnRequest(SoupServer* server, SoupServerMessage* message, const char* path,
                        GHashTable* query, gpointer self);
  static void OnConnectionGone(gpointer self, GObject* connection);

  void Accept(GSocketConnection* connection);
  void HandleRequest(SoupServerMessage* message);

  GSocketService* service_;
  SoupServer* server_;
  std::function<void(const ExchangePtr&)> handler_;
  std::size_t max_connections_ = SIZE_MAX;
  std::size_t max_connections_seen_ = 0;
  std::size_t connections_refused_ = 0;
  // By remote port, since libsoup does not report the socket of an accepted stream.
  std::unordered_map<std::uint16_t, GSocketConnection*> sockets_;
};

// Runs the default main loop until SIGTERM or SIGINT.
void RunUntilTerminated();

void AddListenOptions(cxxopts::Options& options);

// Parses the command line, runs an `App(StandinServer&, const cxxopts::ParseResult&)` until SIGTERM
// and returns the exit status.
template <typename App>
int RunStandin(int argc, char** argv, cxxopts::Options options) {
  try {
    AddListenOptions(options);
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
      std::puts(options.help().c_str());
      return 0;
    }
    StandinServer server(arguments["listen"].as<std::string>(),
                         arguments["port-file"].as<std::string>());
    App app(server, arguments);
    RunUntilTerminated();
    return 0;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "level=error event=start_failed message=\"%s\"\n", e.what());
    return 1;
  }
}

}  // namespace cactusshelf

#endif  // CACTUSSHELF_STANDINS_STANDIN_SERVER_H_
