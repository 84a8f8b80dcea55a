#ifndef CACTUSSHELF_VERSION_SNAPSHOT_H_
#define CACTUSSHELF_VERSION_SNAPSHOT_H_

#include <chrono>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "cactusshelf/base/time.h"
#include "cactusshelf/version/log_record.h"
#include "cactusshelf/version/log_state.h"

namespace cactusshelf {

// Converts a folded state to and from bytes, for snapshot records and for peers that catch up.
class Snapshot {
 public:
  // A snapshot is due after this many records or this part of the log's retention time.
  static constexpr std::uint64_t kDueRecords = 512;
  static constexpr int kDueRetentionFraction = 5;

  // Equal states give the same bytes.
  static std::string Encode(const LogState& state);

  // Throws DecodeError if the bytes are not a valid state. Parses and checks the whole
  // configuration.
  static LogState Decode(std::string_view bytes);

  // Returns the record to append for `state`.
  static SnapshotRecord Record(const LogState& state, const MemberId& writer);

  // Loads the state of a record. Throws DecodeError if its bytes are invalid or if its offset or
  // chain differs from that of the state.
  static LogState Load(const SnapshotRecord& record);

  // Returns whether a snapshot should be written. A snapshot also becomes due with time alone,
  // since the log trims by age and would lose the last snapshot if nothing is appended.
  static bool IsDue(const LogState& state, Duration retention, WallTime now);

 private:
  static void DecodeMembers(const nlohmann::json& json, LogState& state);
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_VERSION_SNAPSHOT_H_
