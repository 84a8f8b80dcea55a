#ifndef CACTUSSHELF_VERSION_LOG_PROTOCOL_H_
#define CACTUSSHELF_VERSION_LOG_PROTOCOL_H_

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "cactusshelf/base/errors.h"
#include "cactusshelf/base/time.h"
#include "cactusshelf/version/offset.h"

namespace cactusshelf {

// One record as the log service returns it.
struct StoredRecord {
  Offset offset = 0;
  WallTime time{};
  std::string data;

  friend bool operator==(const StoredRecord&, const StoredRecord&) = default;
};

// Reply of the log service to a read.
struct ReadReply {
  // Offset of the oldest record that the log retains; equal to `next` if there is none.
  Offset first = 0;
  // Offset that the next appended record will get, which is the end of the log, not of this reply.
  Offset next = 0;
  // Consecutive, starting at the requested offset or, if that was trimmed, at `first`. May be fewer
  // than the log holds.
  std::vector<StoredRecord> records;

  friend bool operator==(const ReadReply&, const ReadReply&) = default;
};

// Encodes and decodes the messages of the log service, without side effects. The decoders throw
// DecodeError.
class LogProtocol {
 public:
  // The body of an append is the record itself; everything else is JSON.
  static constexpr std::string_view kAppendContentType = "application/octet-stream";
  static constexpr std::string_view kDefaultStream = "cactusshelf";

  // AppendPath() is the path for POST, ReadPath() the path and query for GET. `stream` consists of
  // letters, digits, '-' and '_'.
  static std::string AppendPath(std::string_view stream);
  static std::string ReadPath(std::string_view stream, Offset from, std::chrono::milliseconds wait);

  // {"offset": n}
  static std::string EncodeAppendReply(Offset offset);
  static Offset DecodeAppendReply(std::string_view body);

  // {"first": n, "next": n, "records": [{"offset": n, "time_ms": t, "data": base64}]}
  static std::string EncodeReadReply(const ReadReply& reply);
  static ReadReply DecodeReadReply(std::string_view body);
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_VERSION_LOG_PROTOCOL_H_
