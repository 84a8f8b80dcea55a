#ifndef CACTUSSHELF_DAEMON_SRC_LOG_LEVEL_READER_H_
#define CACTUSSHELF_DAEMON_SRC_LOG_LEVEL_READER_H_

#include "cactusshelf/base/findings.h"
#include "cactusshelf/base/log_event.h"
#include "cactusshelf/daemon/table_reader.h"

namespace cactusshelf {

// Reads the key "log_level". An unknown level adds a finding and leaves `target` unchanged.
void ReadLogLevel(TableReader& reader, Findings& findings, LogLevel& target);

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_SRC_LOG_LEVEL_READER_H_
