#ifndef CACTUSSHELF_DAEMON_SETTINGS_H_
#define CACTUSSHELF_DAEMON_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cactusshelf/base/findings.h"
#include "cactusshelf/base/log_event.h"
#include "cactusshelf/node/entry_node.h"

namespace cactusshelf {

// Settings of one entry node process. docs/operations.md lists the keys with their defaults and
// ranges.
struct Settings {
  NodeOptions node;
  LogLevel log_level = LogLevel::kInfo;
  std::optional<std::uint64_t> seed;

  std::string log_address;
  std::string log_stream = "cactusshelf";
  Duration log_timeout = std::chrono::seconds(5);

  std::string host_list_address;
  Duration host_list_timeout = std::chrono::seconds(2);

  std::size_t max_response_bytes = std::size_t{4} << 20;
  std::size_t max_log_response_bytes = std::size_t{64} << 20;
  std::size_t max_peer_message_bytes = std::size_t{8} << 20;
  std::size_t peer_queue_bytes = std::size_t{16} << 20;
  std::size_t peer_queue_messages = 4096;
  Duration stop_timeout = std::chrono::seconds(5);
};

// Parses TOML `text` of the file named `file`. All errors are added to `findings`; the result is
// valid only if there are none. The incarnation is left at 0.
Settings ParseSettings(std::string_view text, const std::string& file, Findings& findings);

// Returns the contents of the file `path`. Throws SettingsError if it cannot be read.
std::string ReadSettingsFile(const std::string& path);

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_SETTINGS_H_
