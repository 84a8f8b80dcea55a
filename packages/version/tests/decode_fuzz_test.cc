#include <catch2/catch.hpp>
#include <functional>

#include "cactusshelf/base/random.h"
#include "cactusshelf/base/sha256.h"
#include "cactusshelf/version/snapshot.h"
#include "codec.h"
#include "support.h"

// Feeds damaged and hostile input from the log and from operators to the decoders. Guards against
// crashes, undocumented exceptions, and state that changes although the input was refused.

namespace cactusshelf {
namespace {

constexpr int kRounds = 20'000;
constexpr int kSlowRounds = 3'000;

std::string Mutate(Random& random, std::string bytes) {
  const std::uint64_t edits = 1 + random.Below(4);
  for (std::uint64_t i = 0; i < edits && !bytes.empty(); ++i) {
    const std::size_t at = random.Below(bytes.size());
    const std::size_t length = 1 + random.Below(8);
    switch (random.Below(5)) {
      case 0:
        bytes[at] = static_cast<char>(random.Below(256));
        break;
      case 1:
        bytes.erase(at, length);
        break;
      case 2:
        bytes.insert(at, length, static_cast<char>(random.Below(256)));
        break;
      case 3:
        bytes.insert(at, bytes.substr(random.Below(bytes.size()), length));
        break;
      default:
        bytes[at] = static_cast<char>(bytes[at] ^ (1 << random.Below(8)));
        break;
    }
  }
  return bytes;
}

// Returns a record with a damaged payload in a valid envelope, which the digest does not detect.
std::string MutatePayload(Random& random, const std::string& record) {
  Json envelope = DecodeRecordCbor(record, kMaxRecordDepth);
  const std::string payload = Mutate(random, BytesField(envelope, "payload"));
  envelope["payload"] = ToBinary(payload);
  envelope["sha256"] = Sha256Hex(payload);
  return EncodeCbor(envelope);
}

// Returns a fixture whose state holds customers, a worker, a job, members and a retirement.
LogFixture FilledFixture() {
  LogFixture fixture;
  fixture.Publish({{"c", std::string(kCustomers)}, {"w", std::string(kWorkers)}});
  fixture.Publish({{"j", std::string(kJob)}});
  fixture.Join("a");
  fixture.Join("b");
  fixture.Append(Jobs{MemberId("a/1"), {{JobId("index"), JobEvent::kAssigned, CellId("c1"), ""}}});
  fixture.Append(Remove{MemberId("b/1"), MemberId("a/1"), RemoveReason::kNotListed, MemberId()});
  fixture.Publish({{"r", std::string(kRetirement)}});
  fixture.AttestCell("a/1", "c1");
  fixture.Append(Snapshot::Record(fixture.state, MemberId("a/1")));
  return fixture;
}

bool SameExceptPosition(const LogState& a, const LogState& b) {
  return a.configuration() == b.configuration() && a.revision() == b.revision() &&
         a.members() == b.members() && a.membership_epoch() == b.membership_epoch() &&
         a.jobs() == b.jobs() && a.last_snapshot_offset() == b.last_snapshot_offset();
}

TEST_CASE("a damaged record changes nothing if it is refused, and never throws") {
  Random random(1);
  const LogFixture filled = FilledFixture();
  for (int i = 0; i < kRounds; ++i) {
    const auto& records = filled.log.records();
    const std::string& original = records[random.Below(records.size())].data;
    const std::string bytes =
        random.Chance(0.3) ? Mutate(random, original) : MutatePayload(random, original);
    LogState state = filled.state;
    const LogChange change = state.Apply(state.offset(), records.back().time, bytes);
    CHECK(state.offset() == filled.state.offset() + 1);
    if (As<RecordRefused>(change) || As<PublishRejected>(change)) {
      CHECK(SameExceptPosition(state, filled.state));
    }
  }
}

template <typename Decode>
void CheckDecoder(std::uint64_t seed, int rounds, const std::string& original, Decode decode) {
  Random random(seed);
  for (int i = 0; i < rounds; ++i) {
    try {
      decode(Mutate(random, original));
    } catch (const DecodeError&) {
      // The documented exception. Any other exception fails the test.
    }
  }
}

TEST_CASE("damaged snapshots, answers and evidence are refused with the documented exception") {
  const LogFixture filled = FilledFixture();
  CheckDecoder(2, kSlowRounds, Snapshot::Encode(filled.state),
               [](const std::string& bytes) { Snapshot::Decode(bytes); });
  CheckDecoder(3, kRounds, LogProtocol::EncodeReadReply(filled.log.Read(0, 3)),
               [](const std::string& bytes) { LogProtocol::DecodeReadReply(bytes); });
  CheckDecoder(4, kSlowRounds, Audit::Export(*filled.state.retirements().Find(CustomerId("acme"))),
               [](const std::string& bytes) { Audit::Verify(bytes); });
}

TEST_CASE("damaged configuration files give findings and never an exception") {
  Random random(5);
  const std::string text = std::string(kCustomers) + std::string(kWorkers) + std::string(kJob);
  for (int i = 0; i < kRounds; ++i) {
    const FileSet files({{"f", Mutate(random, text)}});
    Findings findings;
    const auto configuration = Configuration::Make(files, findings);
    CHECK((configuration == nullptr) == !findings.empty());
  }
}

TEST_CASE("a series of updates gives the same result as building the configuration from scratch") {
  Random random(6);
  const std::string texts[] = {std::string(kCustomers), std::string(kWorkers), std::string(kJob),
                               std::string(kRetirement), "[[customer]]\n"};
  auto current = std::make_shared<const Configuration>();
  for (int i = 0; i < 2000; ++i) {
    FileChanges changes;
    for (std::uint64_t n = 1 + random.Below(3); n > 0; --n) {
      changes[std::string(1, static_cast<char>('a' + random.Below(4)))] =
          random.Chance(0.4) ? std::nullopt : std::optional(texts[random.Below(std::size(texts))]);
    }
    const FileSet files = current->files().WithChanges(changes);
    Findings updated;
    Findings built;
    const auto next = current->Update(files, updated);
    const auto anew = Configuration::Make(files, built);
    REQUIRE((next == nullptr) == (anew == nullptr));
    if (next != nullptr) {
      CHECK(next->cells() == anew->cells());
      CHECK(next->CustomerOf({EntryKind::kJob, "index"}) ==
            anew->CustomerOf({EntryKind::kJob, "index"}));
      current = next;
    }
  }
}

}  // namespace
}  // namespace cactusshelf
