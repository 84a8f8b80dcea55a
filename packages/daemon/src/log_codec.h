#ifndef CACTUSSHELF_DAEMON_LOG_CODEC_H_
#define CACTUSSHELF_DAEMON_LOG_CODEC_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cactusshelf/node/node_event.h"

namespace cactusshelf {

// JSON of the log service's protocol (design, section 8).

// Body of an append: {"data": base64}.
std::string EncodeAppend(std::string_view data);

// Offset in the answer to an append. Throws DecodeError.
std::uint64_t DecodeAppendAnswer(std::string_view json);

struct LogPage {
  std::uint64_t first = 0;
  std::uint64_t next = 0;
  std::vector<node_event::LogEntry> entries;
};

// Answer to a read. Throws DecodeError, also if offsets do not increase or lie outside
// [first, next).
LogPage DecodeReadAnswer(std::string_view json);

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_LOG_CODEC_H_
