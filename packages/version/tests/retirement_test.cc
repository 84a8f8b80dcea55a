#include "cactusshelf/version/retirement.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "cactusshelf/version/snapshot.h"
#include "support.h"

namespace cactusshelf {
namespace {

CustomerId Acme() { return CustomerId("acme"); }

// A log with two members and one cell, in which customer acme is retired.
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
  const RetirementTracker& Tracker() const { return *state.retirements().Find(Acme()); }

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

TEST_CASE("the certificate is withheld until all have attested, and the missing proofs are named") {
  RetirementFixture fixture;
  CHECK(NamesOf(fixture.MissingProofs()) == std::vector<std::string>{"a/1", "b/1", "c1"});
  CHECK(As<Attested>(fixture.AttestMember("a/1")));
  CHECK(As<Attested>(fixture.AttestCell("a/1", "c1")));
  CHECK(NamesOf(fixture.MissingProofs()) == std::vector<std::string>{"b/1"});
  CHECK_FALSE(fixture.Tracker().certificate());
  const LogChange last = fixture.AttestMember("b/1");
  REQUIRE(As<Attested>(last));
  CHECK(As<Attested>(last)->complete);
  CHECK(fixture.Tracker().certificate()->complete_offset == fixture.state.offset() - 1);
}

TEST_CASE("attestations from before the retirement or with work in flight do not count") {
  RetirementFixture fixture;
  const auto attest = [&](Offset applied, std::uint64_t in_flight, std::uint64_t tasks) {
    fixture.Append(Attest{Acme(), MemberId("a/1"), applied, in_flight, {}});
    fixture.Append(
        Attest{Acme(), MemberId("a/1"), applied, in_flight,
               Attest::Cell{CellId("c1"), fixture.state.membership_epoch(), tasks, true}});
  };
  attest(fixture.before_retirement, 0, 0);
  attest(fixture.state.offset(), 1, 0);
  fixture.Append(Attest{Acme(), MemberId("a/1"), fixture.state.offset(), 0,
                        Attest::Cell{CellId("c1"), fixture.state.membership_epoch(), 1, true}});
  fixture.Append(Attest{Acme(), MemberId("a/1"), fixture.state.offset(), 0,
                        Attest::Cell{CellId("c1"), fixture.state.membership_epoch(), 0, false}});
  fixture.Append(Attest{Acme(), MemberId("a/1"), fixture.state.offset(), 0,
                        Attest::Cell{CellId("c1"), 0, 0, true}});
  CHECK(NamesOf(fixture.MissingProofs()) == std::vector<std::string>{"a/1", "b/1", "c1"});
}

TEST_CASE("a removed host holds the certificate back until it can no longer act") {
  RetirementFixture fixture;
  fixture.AttestMember("a/1");
  fixture.AttestCell("a/1", "c1");
  fixture.Append(Remove{MemberId("b/1"), MemberId("a/1"), RemoveReason::kNotListed, MemberId()});
  REQUIRE(fixture.MissingProofs().size() == 1);
  CHECK(fixture.MissingProofs()[0].kind == MissingProof::Kind::kRemovalNotLapsed);
  const WallTime lapses_at = *fixture.MissingProofs()[0].lapses_at;
  CHECK(lapses_at - fixture.log.records().back().time == 33600ms);
  fixture.log.AdvanceClock(33600ms - 1s - 1ms);
  fixture.Join("c");
  CHECK_FALSE(fixture.Tracker().complete());
  fixture.log.AdvanceClock(-999ms);
  fixture.Join("d");
  CHECK(fixture.Tracker().complete());
  CHECK(fixture.Tracker().evidence().back().kind == EvidenceKind::kLapse);
}

TEST_CASE("a host removed just before the retirement must lapse too") {
  LogFixture fixture;
  fixture.Publish({{"c", std::string(kCustomers)}});
  fixture.Join("a");
  fixture.Join("b");
  fixture.Append(Remove{MemberId("b/1"), MemberId("a/1"), RemoveReason::kNotListed, MemberId()});
  fixture.Publish({{"r", std::string(kRetirement)}});
  fixture.AttestMember("a/1");
  const RetirementTracker& tracker = *fixture.state.retirements().Find(Acme());
  REQUIRE(tracker.MissingProofs().size() == 1);
  CHECK(tracker.MissingProofs()[0].name == "b/1");
  fixture.log.AdvanceClock(40s);
  fixture.Join("c");
  CHECK(tracker.complete());
}

TEST_CASE("a leave counts as proof and a late joiner needs none") {
  RetirementFixture fixture;
  CHECK(As<MemberJoined>(fixture.Join("c")));
  fixture.Append(Leave{MemberId("a/1")});
  fixture.Append(Leave{MemberId("b/1")});
  CHECK(NamesOf(fixture.MissingProofs()) == std::vector<std::string>{"c1"});
}

TEST_CASE("a join that has not applied the retirement is refused") {
  RetirementFixture fixture;
  const LogChange change = fixture.Append(Join{MemberId("c/1"), 1, DomainId("d"), "10.0.0.9:1",
                                               "10.0.0.9:2", fixture.before_retirement});
  REQUIRE(As<RecordRefused>(change));
  CHECK(As<RecordRefused>(change)->reason == "join_before_retirement");
}

TEST_CASE("a cell attests again after a worker moved to it") {
  RetirementFixture fixture;
  fixture.AttestCell("a/1", "c1");
  std::string workers(kWorkers);
  workers.replace(workers.find("\"c1\""), 4, "\"c2\"");
  fixture.Publish({{"w", workers}});
  CHECK(NamesOf(fixture.MissingProofs()) == std::vector<std::string>{"a/1", "b/1", "c2"});
  fixture.AttestCell("b/1", "c2");
  CHECK(NamesOf(fixture.MissingProofs()) == std::vector<std::string>{"a/1", "b/1"});
}

TEST_CASE("a concurrent publish cannot re-admit a retired customer") {
  RetirementFixture fixture;
  std::string account =
      "[[account]]\nname = \"web\"\ncustomer = \"acme\"\nrequest_rate = \"1/s\"\n";
  std::string moved(kCustomers);
  moved.replace(moved.rfind("acme"), 4, "globex");
  // A concurrent publish is based on the revision before the retirement.
  const LogChange race = fixture.Append(Publish{"race", Revision(1), {{"a", account}}});
  REQUIRE(As<PublishRejected>(race));
  CHECK(As<PublishRejected>(race)->reason == PublishRejection::kConflict);
  for (const FileChanges& changes : {FileChanges{{"a", account}}, FileChanges{{"r", std::nullopt}},
                                     FileChanges{{"r", "# empty\n"}}, FileChanges{{"c", moved}}}) {
    const LogChange change = fixture.Publish(changes);
    REQUIRE(As<PublishRejected>(change));
    CHECK(As<PublishRejected>(change)->reason == PublishRejection::kRetired);
  }
  CHECK(As<PublishAccepted>(fixture.Publish({{"j", std::nullopt}})));
  CHECK(As<PublishRejected>(fixture.Publish({{"j", std::string(kJob)}})));
  CHECK(fixture.state.configuration()->IsRetired(Acme()));
}

TEST_CASE("a retired customer's jobs are cancelled and none is assigned") {
  LogFixture fixture;
  fixture.Publish({{"c", std::string(kCustomers)}, {"w", std::string(kWorkers)}});
  std::string second(kJob);
  second.replace(second.find("index"), 5, "other");
  fixture.Publish({{"j", std::string(kJob) + second}});
  fixture.Join("a");
  const auto assign = [&](const char* job) {
    return fixture.Append(
        Jobs{MemberId("a/1"), {{JobId(job), JobEvent::kAssigned, CellId("c1"), ""}}});
  };
  CHECK(As<JobsChanged>(assign("index")));
  fixture.Publish({{"r", std::string(kRetirement)}});
  CHECK(fixture.state.jobs().at(JobId("index")).status == JobStatus::kCancelled);
  CHECK(As<RecordRefused>(assign("other")));
}

TEST_CASE("retiring a customer that is not defined is rejected, since it cannot be undone") {
  LogFixture fixture;
  CHECK(As<PublishRejected>(fixture.Publish({{"r", std::string(kRetirement)}})));
}

TEST_CASE("an exported certificate with altered, missing or reordered evidence fails to verify") {
  RetirementFixture fixture;
  fixture.AttestMember("a/1");
  fixture.Append(Remove{MemberId("b/1"), MemberId("a/1"), RemoveReason::kNotListed, MemberId()});
  fixture.AttestCell("a/1", "c1");
  fixture.log.AdvanceClock(40s);
  fixture.Join("c");
  REQUIRE(fixture.Tracker().complete());
  const std::string exported = Audit::Export(fixture.Tracker());
  const Audit audit = Audit::Verify(exported);
  REQUIRE(audit.certificate);
  CHECK(*audit.certificate == *fixture.Tracker().certificate());

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
  RetirementFixture fixture;
  fixture.AttestMember("a/1");
  fixture.AttestMember("b/1");
  fixture.AttestCell("a/1", "c1");
  REQUIRE(fixture.Tracker().complete());
  std::vector<Evidence> evidence = fixture.Tracker().evidence();
  evidence.erase(std::ranges::find(evidence, EvidenceKind::kAttest, &Evidence::kind),
                 evidence.end());
  // Without any attestation, the evidence is a valid prefix but contains no proof.
  CHECK(RetirementTracker::FromEvidence(evidence).MissingProofs().size() == 3);
}

TEST_CASE("the evidence survives in a snapshot when the log is trimmed") {
  RetirementFixture fixture;
  fixture.AttestMember("a/1");
  LogState restored = Snapshot::Decode(Snapshot::Encode(fixture.state));
  fixture.AttestMember("b/1");
  fixture.AttestCell("a/1", "c1");
  for (const StoredRecord& record : fixture.log.Read(restored.offset()).records) {
    restored.Apply(record.offset, record.time, record.data);
  }
  REQUIRE(restored.retirements().Find(Acme())->complete());
  CHECK(restored.retirements().Find(Acme())->evidence() == fixture.Tracker().evidence());
  CHECK(Snapshot::Encode(restored) == Snapshot::Encode(fixture.state));
}

}  // namespace
}  // namespace cactusshelf
