#ifndef CACTUSSHELF_VERSION_TESTS_SUPPORT_H_
#define CACTUSSHELF_VERSION_TESTS_SUPPORT_H_

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "cactusshelf/version/log_follower.h"
#include "cactusshelf/version/log_protocol.h"
#include "cactusshelf/version/log_record.h"
#include "cactusshelf/version/log_state.h"

namespace cactusshelf {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

inline constexpr std::string_view kCustomers = R"([[customer]]
name = "acme"
priority = 10
[[customer]]
name = "globex"
priority = 20
[[team]]
name = "batch"
customer = "acme"
quota = { processors = 100, memory = "1TiB" }
)";

inline constexpr std::string_view kWorkers = R"([[worker]]
name = "w1"
address = "10.0.0.1:9000"
domain = "ambato"
rack = "r1"
cell = "c1"
capacity = { processors = 16, memory = "60GB" }
)";

inline constexpr std::string_view kJob = R"([[job]]
name = "index"
team = "batch"
class = "indexing"
tasks = 4
processors = 0.5
memory = "512MiB"
expected_run_time = "30s"
)";

inline constexpr std::string_view kRetirement = "[[retirement]]\ncustomer = \"acme\"\n";

// In-memory log whose clock advances by one second for each record.
class FakeLog {
 public:
  Offset Append(const LogRecord& record) { return AppendBytes(EncodeRecord(record)); }

  Offset AppendBytes(std::string bytes) {
    time_ += 1s;
    records_.push_back({next(), time_, std::move(bytes)});
    return records_.back().offset;
  }

  void Trim(Offset first) {
    std::erase_if(records_, [first](const StoredRecord& it) { return it.offset < first; });
    first_ = std::max(first_, first);
  }

  void AdvanceClock(std::chrono::milliseconds by) { time_ += by; }

  ReadReply Read(Offset from, std::size_t limit = 1000) const {
    ReadReply reply{first_, next(), {}};
    for (const StoredRecord& it : records_) {
      if (it.offset >= from && reply.records.size() < limit) {
        reply.records.push_back(it);
      }
    }
    return reply;
  }

  Offset first() const { return first_; }
  Offset next() const { return records_.empty() ? first_ : records_.back().offset + 1; }
  const std::vector<StoredRecord>& records() const { return records_; }

 private:
  Offset first_ = 0;
  WallTime time_{1'700'000'000s};
  std::vector<StoredRecord> records_;
};

// A log with one fold, which applies each record when it is appended.
struct LogFixture {
  LogChange Append(const LogRecord& record) {
    log.Append(record);
    return Follow();
  }

  LogChange AppendBytes(std::string bytes) {
    log.AppendBytes(std::move(bytes));
    return Follow();
  }

  LogChange Publish(FileChanges changes, const std::string& id = {}) {
    const std::string publication = id.empty() ? "p" + std::to_string(log.next()) : id;
    return Append(cactusshelf::Publish{publication, state.revision(), std::move(changes)});
  }

  LogChange Join(const std::string& host, std::uint64_t incarnation = 1) {
    return Append(cactusshelf::Join{MemberId(host + '/' + std::to_string(incarnation)), incarnation,
                                    DomainId("ambato"), "10.0.1.1:7000", "10.0.1.1:8080",
                                    state.offset()});
  }

  LogChange AttestMember(const std::string& member) {
    return Append(Attest{CustomerId("acme"), MemberId(member), state.offset(), 0, {}});
  }

  LogChange AttestCell(const std::string& member, const std::string& cell) {
    return Append(Attest{CustomerId("acme"), MemberId(member), state.offset(), 0,
                         Attest::Cell{CellId(cell), state.membership_epoch(), 0, true}});
  }

  LogChange Follow() {
    const StoredRecord& it = log.records().back();
    return state.Apply(it.offset, it.time, it.data);
  }

  FakeLog log;
  LogState state;
};

template <typename T>
const T* As(const LogChange& change) {
  return std::get_if<T>(&change);
}

}  // namespace cactusshelf

#endif  // CACTUSSHELF_VERSION_TESTS_SUPPORT_H_
