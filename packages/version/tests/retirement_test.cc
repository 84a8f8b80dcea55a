#include "cactusshelf/version/retirement.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "cactusshelf/version/snapshot.h"
#include "support.h"

namespace cactusshelf {
namespace {

CustomerId Acme() { return CustomerId("acme"); }

// Two members and one cell; acme is retired.
struct RetirementFixture : LogFixture {
  RetirementFixture() {
    Publish({{"c", std::string(kCustomers)}, {"w", std::string(kWorkers)}});
    Publish({{"j", std::string(kJob)}});
    Join("a");
    Join("b");
    before_retirement = state.offset();
    REQUIRE(As<PublishAccepted>(Publish({{"r", std::string(kRetirement)}})));
  }

  std::vector<MissingProof> MissingProofs() const {
    return state.retirements().Find(Acme())->MissingProofs();
  }
  const RetirementTracker& Case() const { return *state.retirements().Find(Acme()); }

  Offset before_retirement = 0;
};

std::vector<std::string> NamesOf(const std::vector<MissingProof>& missing) {
  std::vector<std::string> names;
  names.reserve(missing.size());
  for (const MissingProof& it : missing) {
    names.push_back(it.name);
  }
  return names;
}

TEST_CASE("the certificate is withheld and names who is missing until all have attested") {
  RetirementFixture it;
  CHECK(NamesOf(it.MissingProofs()) == std::vector<std::string>{"a/1", "b/1", "c1"});
  CHECK(As<Attested>(it.AttestMember("a/1")));
  CHECK(As<Attested>(it.AttestCell("a/1", "c1")));
  CHECK(NamesOf(it.MissingProofs()) == std::vector<std::string>{"b/1"});
  CHECK_FALSE(it.Case().certificate());
  const LogChange last = it.AttestMember("b/1");
  REQUIRE(As<Attested>(last));
  CHECK(As<Attested>(last)->complete);
  CHECK(it.Case().certificate()->complete_offset == it.state.offset() - 1);
}

TEST_CASE("attestations from before the retirement or with work left do not count") {
  RetirementFixture it;
  const auto attest = [&](Offset applied, std::uint64_t in_flight, std::uint64_t tasks) {
    it.Append(Attest{Acme(), MemberId("a/1"), applied, in_flight, {}});
    it.Append(Attest{Acme(), MemberId("a/1"), applied, in_flight,
                     Attest::Cell{CellId("c1"), it.state.membership_epoch(), tasks, true}});
  };
  attest(it.before_retirement, 0, 0);
  attest(it.state.offset(), 1, 0);
  it.Append(Attest{Acme(), MemberId("a/1"), it.state.offset(), 0,
                   Attest::Cell{CellId("c1"), it.state.membership_epoch(), 1, true}});
  it.Append(Attest{Acme(), MemberId("a/1"), it.state.offset(), 0,
                   Attest::Cell{CellId("c1"), it.state.membership_epoch(), 0, false}});
  it.Append(Attest{Acme(), MemberId("a/1"), it.state.offset(), 0,
                   Attest::Cell{CellId("c1"), 0, 0, true}});
  CHECK(NamesOf(it.MissingProofs()) == std::vector<std::string>{"a/1", "b/1", "c1"});
}

TEST_CASE("a removed host holds the certificate back until it can no longer act") {
  RetirementFixture it;
  it.AttestMember("a/1");
  it.AttestCell("a/1", "c1");
  it.Append(Remove{MemberId("b/1"), MemberId("a/1"), RemoveReason::kNotListed, MemberId()});
  REQUIRE(it.MissingProofs().size() == 1);
  CHECK(it.MissingProofs()[0].kind == MissingProof::Kind::kRemovalNotLapsed);
  const WallTime lapses_at = *it.MissingProofs()[0].lapses_at;
  CHECK(lapses_at - it.log.records().back().time == 33600ms);
  it.log.AdvanceClock(33600ms - 1s - 1ms);
  it.Join("c");
  CHECK_FALSE(it.Case().complete());
  it.log.AdvanceClock(-999ms);
  it.Join("d");
  CHECK(it.Case().complete());
  CHECK(it.Case().evidence().back().kind == EvidenceKind::kLapse);
}

TEST_CASE("a host removed just before the retirement must lapse too") {
  LogFixture it;
  it.Publish({{"c", std::string(kCustomers)}});
  it.Join("a");
  it.Join("b");
  it.Append(Remove{MemberId("b/1"), MemberId("a/1"), RemoveReason::kNotListed, MemberId()});
  it.Publish({{"r", std::string(kRetirement)}});
  it.AttestMember("a/1");
  const RetirementTracker& retirement_case = *it.state.retirements().Find(Acme());
  REQUIRE(retirement_case.MissingProofs().size() == 1);
  CHECK(retirement_case.MissingProofs()[0].name == "b/1");
  it.log.AdvanceClock(40s);
  it.Join("c");
  CHECK(retirement_case.complete());
}

TEST_CASE("a leave counts as proof and a late joiner needs none") {
  RetirementFixture it;
  CHECK(As<MemberJoined>(it.Join("c")));
  it.Append(Leave{MemberId("a/1")});
  it.Append(Leave{MemberId("b/1")});
  CHECK(NamesOf(it.MissingProofs()) == std::vector<std::string>{"c1"});
}

TEST_CASE("a join that has not applied the retirement is refused") {
  RetirementFixture it;
  const LogChange change = it.Append(
      Join{MemberId("c/1"), 1, DomainId("d"), "10.0.0.9:1", "10.0.0.9:2", it.before_retirement});
  REQUIRE(As<RecordRefused>(change));
  CHECK(As<RecordRefused>(change)->reason == "join_before_retirement");
}

TEST_CASE("a cell attests again after a worker moved to it") {
  RetirementFixture it;
  it.AttestCell("a/1", "c1");
  std::string workers(kWorkers);
  workers.replace(workers.find("\"c1\""), 4, "\"c2\"");
  it.Publish({{"w", workers}});
  CHECK(NamesOf(it.MissingProofs()) == std::vector<std::string>{"a/1", "b/1", "c2"});
  it.AttestCell("b/1", "c2");
  CHECK(NamesOf(it.MissingProofs()) == std::vector<std::string>{"a/1", "b/1"});
}

TEST_CASE("a racing operator cannot re-admit a retired customer") {
  RetirementFixture it;
  std::string account =
      "[[account]]\nname = \"web\"\ncustomer = \"acme\"\nrequest_rate = \"1/s\"\n";
  std::string moved(kCustomers);
  moved.replace(moved.rfind("acme"), 4, "globex");
  // Against the revision before the retirement, as a racing operator has it.
  const LogChange race = it.Append(Publish{"race", Revision(1), {{"a", account}}});
  REQUIRE(As<PublishRejected>(race));
  CHECK(As<PublishRejected>(race)->reason == PublishRejection::kConflict);
  for (const FileChanges& changes : {FileChanges{{"a", account}}, FileChanges{{"r", std::nullopt}},
                                     FileChanges{{"r", "# empty\n"}}, FileChanges{{"c", moved}}}) {
    const LogChange change = it.Publish(changes);
    REQUIRE(As<PublishRejected>(change));
    CHECK(As<PublishRejected>(change)->reason == PublishRejection::kRetired);
  }
  CHECK(As<PublishAccepted>(it.Publish({{"j", std::nullopt}})));
  CHECK(As<PublishRejected>(it.Publish({{"j", std::string(kJob)}})));
  CHECK(it.state.configuration()->IsRetired(Acme()));
}

TEST_CASE("a retired customer's jobs are cancelled and none is assigned") {
  LogFixture it;
  it.Publish({{"c", std::string(kCustomers)}, {"w", std::string(kWorkers)}});
  std::string second(kJob);
  second.replace(second.find("index"), 5, "other");
  it.Publish({{"j", std::string(kJob) + second}});
  it.Join("a");
  const auto assign = [&](const char* job) {
    return it.Append(Jobs{MemberId("a/1"), {{JobId(job), JobEvent::kAssigned, CellId("c1"), ""}}});
  };
  CHECK(As<JobsChanged>(assign("index")));
  it.Publish({{"r", std::string(kRetirement)}});
  CHECK(it.state.jobs().at(JobId("index")).status == JobStatus::kCancelled);
  CHECK(As<RecordRefused>(assign("other")));
}

TEST_CASE("retiring a customer that is not defined is rejected, since it cannot be undone") {
  LogFixture it;
  CHECK(As<PublishRejected>(it.Publish({{"r", std::string(kRetirement)}})));
}

TEST_CASE("an exported certificate with altered, missing or reordered evidence fails to verify") {
  RetirementFixture it;
  it.AttestMember("a/1");
  it.Append(Remove{MemberId("b/1"), MemberId("a/1"), RemoveReason::kNotListed, MemberId()});
  it.AttestCell("a/1", "c1");
  it.log.AdvanceClock(40s);
  it.Join("c");
  REQUIRE(it.Case().complete());
  const std::string exported = Audit::Export(it.Case());
  const Audit audit = Audit::Verify(exported);
  REQUIRE(audit.certificate);
  CHECK(*audit.certificate == *it.Case().certificate());

  const auto json = nlohmann::json::parse(exported);
  const std::size_t n = json["evidence"].size();
  for (std::size_t i = 0; i < n; ++i) {
    auto missing = json;
    missing["evidence"].erase(i);
    CHECK_THROWS_AS(Audit::Verify(missing.dump()), DecodeError);
    auto reordered = json;
    std::swap(reordered["evidence"][i], reordered["evidence"][(i + 1) % n]);
    CHECK_THROWS_AS(Audit::Verify(reordered.dump()), DecodeError);
    for (const char* field : {"kind", "offset", "time_ms", "data", "chain"}) {
      auto altered = json;
      auto& value = altered["evidence"][i][field];
      value = value.is_number() ? nlohmann::json(value.get<std::uint64_t>() + 1)
                                : nlohmann::json(json["evidence"][(i + 1) % n][field]);
      if (altered != json) {
        CHECK_THROWS_AS(Audit::Verify(altered.dump()), DecodeError);
      }
    }
  }
}

TEST_CASE("evidence whose chain was recomputed must still contain every proof") {
  RetirementFixture it;
  it.AttestMember("a/1");
  it.AttestMember("b/1");
  it.AttestCell("a/1", "c1");
  REQUIRE(it.Case().complete());
  std::vector<Evidence> evidence = it.Case().evidence();
  evidence.erase(std::ranges::find(evidence, EvidenceKind::kAttest, &Evidence::kind),
                 evidence.end());
  // Cut off after the scope: a valid prefix, which proves nothing.
  CHECK(RetirementTracker::FromEvidence(evidence).MissingProofs().size() == 3);
}

TEST_CASE("the evidence outlives a trimmed log in a snapshot") {
  RetirementFixture it;
  it.AttestMember("a/1");
  LogState restored = Snapshot::Decode(Snapshot::Encode(it.state));
  it.AttestMember("b/1");
  it.AttestCell("a/1", "c1");
  for (const StoredRecord& record : it.log.Read(restored.offset()).records) {
    restored.Apply(record.offset, record.time, record.data);
  }
  REQUIRE(restored.retirements().Find(Acme())->complete());
  CHECK(restored.retirements().Find(Acme())->evidence() == it.Case().evidence());
  CHECK(Snapshot::Encode(restored) == Snapshot::Encode(it.state));
}

}  // namespace
}  // namespace cactusshelf
