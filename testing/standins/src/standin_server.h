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

// Splits "address:port". Throws SettingsError if the port is missing or out of range, and
// std::invalid_argument or std::out_of_range if it cannot be converted to a number.
std::pair<std::string, std::uint16_t> ParseAddress(const std::string& text);

// Creates a service that listens for TCP connections on `address` ("127.0.0.1:0" for any free port)
// and writes the port to `port_file` unless `port_file` is empty. The caller starts and owns the
// service. Throws SettingsError.
GSocketService* ListenOn(const std::string& address, const std::string& port_file);

// HTTP server of a stand-in on the default GLib main loop.
class StandinServer {
 public:
  StandinServer(const std::string& address, const std::string& port_file);
  ~StandinServer();
  StandinServer(const StandinServer&) = delete;
  StandinServer& operator=(const StandinServer&) = delete;

  // `handler` is called for each request. If it throws, the response has status 400. Its body holds
  // the message of the exception.
  void SetHandler(std::function<void(const ExchangePtr&)> handler) {
    handler_ = std::move(handler);
  }

  // Connections beyond this number are closed as soon as they are accepted. Default: no limit.
  void SetMaxConnections(std::size_t max_connections) { max_connections_ = max_connections; }
  std::size_t connections() const { return connections_by_port_.size(); }
  std::size_t max_connections_seen() const { return max_connections_seen_; }
  std::size_t connections_refused() const { return connections_refused_; }

 private:
  static gboolean OnIncoming(GSocketService* service, GSocketConnection* connection,
                             GObject* source, gpointer self);
  static void OnRequest(SoupServer* server, SoupServerMessage* message, const char* path,
                        GHashTable* query, gpointer self);
  static void OnConnectionFinalized(gpointer self, GObject* connection);

  void Accept(GSocketConnection* connection);
  void HandleRequest(SoupServerMessage* message);

  GSocketService* service_;
  SoupServer* server_;
  std::function<void(const ExchangePtr&)> handler_;
  std::size_t max_connections_ = SIZE_MAX;
  std::size_t max_connections_seen_ = 0;
  std::size_t connections_refused_ = 0;
  // Keyed by remote port, because libsoup does not report the socket of an accepted stream.
  std::unordered_map<std::uint16_t, GSocketConnection*> connections_by_port_;
};

// Runs the default GLib main loop until SIGTERM or SIGINT.
void RunUntilTerminated();

// Adds --listen, --port-file and --help.
void AddListenOptions(cxxopts::Options& options);

// Parses the command line, constructs a `Standin(StandinServer&, const cxxopts::ParseResult&)`,
// runs it until SIGTERM or SIGINT, and returns the exit status of the process.
template <typename Standin>
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
    Standin standin(server, arguments);
    RunUntilTerminated();
    return 0;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "level=error event=start_failed message=\"%s\"\n", e.what());
    return 1;
  }
}

}  // namespace cactusshelf

#endif  // CACTUSSHELF_STANDINS_STANDIN_SERVER_H_
