#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <set>

#include "cactusshelf/base/random.h"
#include "cactusshelf/testing/disabled_protection.h"
#include "cactusshelf/version/snapshot.h"
#include "support.h"

// Runs random schedules of concurrent publishes, lost replies, repeated records, damaged records,
// trims and restarts from snapshots, with several folds that read the log at different rates.
// Guards against folds that disagree, a configuration that reverts, and an update that is lost or
// accepted twice.

namespace cactusshelf {
namespace {

constexpr int kSchedules = 400;
constexpr int kSteps = 150;
constexpr std::size_t kFolds = 4;
constexpr std::size_t kOperators = 3;

enum class Fault {
  kNone,
  // One fold receives adjacent records in the wrong order.
  kSwappedRecords,
  // An operator that lost the reply publishes again under a new publication id.
  kNewIdOnRetry,
};

// Minimal reference implementation of the rules of section 3.1, with which the folds are compared.
class ReferenceModel {
 public:
  // Returns the expected result of the publish at `offset`: "accepted", "repeated", "conflict" or
  // "invalid".
  std::string Apply(Offset offset, const Publish& publish, bool valid) {
    if (accepted_.contains(publish.publication_id)) {
      return "repeated";
    }
    if (publish.base != revision_) {
      return "conflict";
    }
    if (!valid) {
      return "invalid";
    }
    for (const auto& [name, text] : publish.changes) {
      files_[name] = *text;
    }
    revision_ = offset;
    accepted_.insert(publish.publication_id);
    return "accepted";
  }

  const std::map<std::string, std::string>& files() const { return files_; }

 private:
  Revision revision_;
  std::set<std::string> accepted_;
  std::map<std::string, std::string> files_;
};

std::string NameOf(const LogChange& change) {
  if (As<PublishAccepted>(change)) {
    return "accepted";
  }
  if (As<PublishRepeated>(change)) {
    return "repeated";
  }
  const auto* rejected = As<PublishRejected>(change);
  return rejected == nullptr ? "other" : std::string(ToString(rejected->reason));
}

std::map<std::string, std::string> TextsOf(const LogState& state) {
  std::map<std::string, std::string> texts;
  for (const auto& [name, file] : state.configuration()->files().files()) {
    texts.emplace(name, file->text());
  }
  return texts;
}

class Schedule {
 public:
  Schedule(std::uint64_t seed, Fault fault) : random_(seed), fault_(fault) {}

  // Returns the violations found.
  std::vector<std::string> Run() {
    for (int i = 0; i < kSteps; ++i) {
      Step();
    }
    for (std::size_t i = 0; i < kFolds; ++i) {
      Read(i, 1000);
      Read(i, 1000);
      if (folds_[i].state().offset() != log_.next()) {
        Violation("a fold does not reach the end of the log");
      }
    }
    CheckOperators();
    return violations_;
  }

 private:
  // One change that an operator wants to publish, which may take several records.
  struct IntendedChange {
    Publish publish;
    bool valid = true;
    bool unanswered = false;
    int accepted = 0;
    // Results of the records with the publication id that the operator used last.
    std::vector<std::string> results;
  };

  void Step() {
    const std::uint64_t choice = random_.Below(100);
    const std::size_t fold = random_.Below(kFolds);
    if (choice < 25) {
      StartPublish();
    } else if (choice < 40) {
      Retry();
    } else if (choice < 75) {
      Read(fold, 1 + random_.Below(4));
    } else if (choice < 82) {
      AppendDamaged();
    } else if (choice < 88) {
      AppendOther();
    } else if (choice < 92) {
      AppendSnapshot(fold);
    } else if (choice < 95) {
      Trim();
    } else {
      Restart(fold);
    }
  }

  void StartPublish() {
    IntendedChange intended;
    const std::uint64_t n = intended_changes_.size();
    intended.valid = !random_.Chance(0.15);
    const std::string file = fmt::format("f{}", random_.Below(4));
    intended.publish = {
        fmt::format("id-{}", n),
        operator_revisions_[random_.Below(kOperators)],
        {{file, intended.valid
                    ? fmt::format("[[customer]]\nname = \"{}\"\npriority = 1\n# {}\n", file, n)
                    : "[[customer]]\n"}}};
    intended_changes_.push_back(intended);
    Send(n);
    if (random_.Chance(0.5)) {
      operator_revisions_[random_.Below(kOperators)] =
          folds_[random_.Below(kFolds)].state().revision();
    }
  }

  void Retry() {
    for (std::size_t i = 0; i < intended_changes_.size(); ++i) {
      if (intended_changes_[i].unanswered && random_.Chance(0.5)) {
        if (fault_ == Fault::kNewIdOnRetry) {
          intended_changes_[i].publish.publication_id += "x";
          intended_changes_[i].results.clear();
        }
        Send(i);
      }
    }
  }

  void Send(std::size_t n) {
    IntendedChange& intended = intended_changes_[n];
    const double send_outcome = random_.Real();
    intended.unanswered = send_outcome < 0.4;
    if (send_outcome < 0.2) {
      return;  // The request was lost.
    }
    Append(n);
    if (random_.Chance(0.1)) {
      Append(n);  // The network delivered the request twice.
    }
  }

  void Append(std::size_t n) {
    IntendedChange& intended = intended_changes_[n];
    const Offset offset = log_.Append(intended.publish);
    const std::string expected = model_.Apply(offset, intended.publish, intended.valid);
    expected_[offset] = expected;
    intended.accepted += expected == "accepted" ? 1 : 0;
    intended.results.push_back(expected);
    files_at_[offset + 1] = model_.files();
  }

  void AppendDamaged() {
    std::string bytes =
        EncodeRecord(Publish{"damaged", operator_revisions_[0], {{"f0", std::nullopt}}});
    if (random_.Chance(0.5)) {
      bytes.resize(random_.Below(bytes.size()));
    } else {
      bytes[bytes.size() - 1 - random_.Below(40)] ^= 1;
    }
    log_.AppendBytes(bytes);
  }

  void AppendOther() {
    const std::string id = fmt::format("m{}/{}", random_.Below(3), ++incarnation_);
    log_.Append(Join{MemberId(id), incarnation_, DomainId("d"), "10.0.0.1:1", "10.0.0.1:2", 0});
    if (random_.Chance(0.5)) {
      log_.Append(Leave{MemberId(id)});
    }
  }

  void AppendSnapshot(std::size_t fold) {
    log_.Append(Snapshot::Record(folds_[fold].state(), MemberId("m")));
    snapshots_.push_back(folds_[fold].state().offset());
  }

  // Trims up to the offset of a snapshot, from which a reader can still start.
  void Trim() {
    if (!snapshots_.empty() && snapshots_.back() > log_.first()) {
      log_.Trim(snapshots_.back());
    }
  }

  void Restart(std::size_t fold) {
    if (random_.Chance(0.5)) {
      folds_[fold] = LogFollower();
    } else {
      const LogState& source = folds_[random_.Below(kFolds)].state();
      folds_[fold] = LogFollower(Snapshot::Decode(Snapshot::Encode(source)));
    }
  }

  void Read(std::size_t fold, std::size_t limit) {
    LogFollower& follower = folds_[fold];
    const Offset before = follower.state().offset();
    const Revision revision_before = follower.state().revision();
    ReadReply reply = log_.Read(follower.next_read(), limit);
    if (fault_ == Fault::kSwappedRecords && fold == 0 && reply.records.size() > 1) {
      std::swap(reply.records[0].data, reply.records[1].data);
    }
    for (const LogFollower::AppliedRecord& it : follower.Consume(reply)) {
      const auto expected = expected_.find(it.offset);
      if (expected != expected_.end() && NameOf(it.change) != expected->second) {
        Violation(fmt::format("record {} is {} instead of {}", it.offset, NameOf(it.change),
                              expected->second));
      }
    }
    if (follower.state().offset() < before || follower.state().revision() < revision_before) {
      Violation("a fold moved to a lower offset or revision");
    }
    if (follower.loaded()) {
      CheckState(follower.state());
    }
  }

  void CheckState(const LogState& state) {
    const auto files = files_at_.upper_bound(state.offset());
    if (files != files_at_.begin() && TextsOf(state) != std::prev(files)->second) {
      Violation(fmt::format("the configuration at {} is not the one accepted", state.offset()));
    }
    const std::string bytes = Snapshot::Encode(state);
    const auto [it, is_new] = states_.try_emplace(state.offset(), state.chain(), bytes);
    if (!is_new && it->second != std::pair(state.chain(), bytes)) {
      Violation(fmt::format("two folds differ at {}", state.offset()));
    }
  }

  // Checks that no change is in force whose operator got a rejection as the first result.
  void CheckOperators() {
    for (const IntendedChange& it : intended_changes_) {
      if (it.accepted > 1) {
        Violation("a change was accepted twice");
      }
      if (it.accepted == 1 && !it.results.empty() && it.results[0] != "accepted" &&
          it.results[0] != "repeated") {
        Violation("an operator was told of a rejection of an accepted change");
      }
    }
  }

  void Violation(std::string text) { violations_.push_back(std::move(text)); }

  Random random_;
  Fault fault_;
  FakeLog log_;
  ReferenceModel model_;
  std::vector<LogFollower> folds_ = std::vector<LogFollower>(kFolds);
  std::vector<Revision> operator_revisions_ = std::vector<Revision>(kOperators);
  std::vector<IntendedChange> intended_changes_;
  std::vector<Offset> snapshots_;
  std::map<Offset, std::string> expected_;
  std::map<Offset, std::map<std::string, std::string>> files_at_;
  std::map<Offset, std::pair<std::string, std::string>> states_;
  std::uint64_t incarnation_ = 0;
  std::vector<std::string> violations_;
};

Fault FaultUnderTest() {
  if (IsProtectionDisabled("record-order")) {
    return Fault::kSwappedRecords;
  }
  return IsProtectionDisabled("publication-id") ? Fault::kNewIdOnRetry : Fault::kNone;
}

TEST_CASE("folds agree and no update is lost, doubled or reverted in 400 random schedules") {
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    INFO("seed " << seed);
    const std::vector<std::string> violations = Schedule(seed, FaultUnderTest()).Run();
    CAPTURE(violations);
    CHECK(violations.empty());
  }
}

TEST_CASE("the schedule check notices records in the wrong order and retries under a new id") {
  for (const Fault fault : {Fault::kSwappedRecords, Fault::kNewIdOnRetry}) {
    int caught = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      caught += Schedule(seed, fault).Run().empty() ? 0 : 1;
    }
    CHECK(caught >= 15);
  }
}

}  // namespace
}  // namespace cactusshelf
