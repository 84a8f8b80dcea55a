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

// Conversion of a folded state to and from bytes, for snapshot records and for peers that catch up.
class Snapshot {
 public:
  // A snapshot is due after this many records or this part of the log's retention time.
  static constexpr std::uint64_t kDueRecords = 512;
  static constexpr int kDueRetentionFraction = 5;

  // The same bytes for equal states.
  static std::string Encode(const LogState& state);

  // Throws DecodeError if the bytes are not a valid state. The configuration is parsed and checked
  // as a whole.
  static LogState Decode(std::string_view bytes);

  // The record to append for `state`.
  static SnapshotRecord Record(const LogState& state, const MemberId& by);

  // Loads the state of a record. Throws DecodeError if its bytes are invalid or if offset or chain
  // are not those of the state.
  static LogState Load(const SnapshotRecord& record);

  // Whether a snapshot should be written. `now` matters even if nothing is appended, since the log
  // trims by age and would lose the last snapshot.
  static bool IsDue(const LogState& state, Duration retention, WallTime now);

 private:
  static void DecodeMembers(const nlohmann::json& json, LogState& state);
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_VERSION_SNAPSHOT_H_
