#include "publisher.h"

#include <catch2/catch.hpp>
#include <functional>

#include "cactusshelf/version/snapshot.h"
#include "support.h"

namespace cactusshelf {
namespace {

enum class Fault { kNone, kAnswerLost, kRequestLost, kUnavailable, kDamagedAnswer };

struct FakeService {
  FakeLog log;
  // Faults of the next appends, in order.
  std::vector<Fault> append_faults;
  int reads_until_outage = -1;
  int appends = 0;
  std::function<void()> before_append;
};

// HttpTransport to a FakeService in memory.
struct FakeTransport {
  HttpReply Get(const std::string& path) {
    if (service->reads_until_outage == 0) {
      throw HttpError("no connection");
    }
    --service->reads_until_outage;
    const Offset from = std::stoull(path.substr(path.find("from=") + 5));
    return {200, LogProtocol::EncodeReadReply(service->log.Read(from, 2))};
  }

  HttpReply Post(const std::string& /*path*/, std::string_view body, std::string_view /*type*/) {
    ++service->appends;
    if (service->before_append) {
      std::exchange(service->before_append, nullptr)();
    }
    Fault fault = Fault::kNone;
    if (!service->append_faults.empty()) {
      fault = service->append_faults.front();
      service->append_faults.erase(service->append_faults.begin());
    }
    if (fault == Fault::kRequestLost) {
      throw HttpError("no connection");
    }
    if (fault == Fault::kUnavailable) {
      return {503, ""};
    }
    const Offset offset = service->log.AppendBytes(std::string(body));
    if (fault == Fault::kAnswerLost) {
      throw HttpError("connection closed");
    }
    return {200, fault == Fault::kDamagedAnswer ? "{" : LogProtocol::EncodeAppendReply(offset)};
  }

  FakeService* service;
};

struct FakeClock {
  Time Now() const { return now; }
  void Sleep(Duration duration) { now += duration; }
  Time now{};
};

struct PublisherFixture {
  LogChange Publish(FileChanges changes, std::optional<Revision> base = std::nullopt,
                    const std::string& id = "id-1") {
    LogClient<FakeTransport> client({&service}, "s");
    Publisher<FakeTransport, FakeClock> publisher(client, clock, 10s);
    return publisher.Publish(id, base, std::move(changes));
  }

  FakeService service;
  FakeClock clock;
  FileChanges customers{{"c", std::string(kCustomers)}};
};

TEST_CASE("a publish whose answer is lost or damaged is accepted once and reported so") {
  for (const Fault fault : {Fault::kAnswerLost, Fault::kDamagedAnswer}) {
    PublisherFixture it;
    it.service.append_faults = {fault};
    CHECK(As<PublishAccepted>(it.Publish(it.customers)));
    CHECK(it.service.log.next() == 1);
  }
}

TEST_CASE("a publish whose request is lost is appended again with the same record") {
  PublisherFixture it;
  it.service.append_faults = {Fault::kRequestLost, Fault::kUnavailable, Fault::kAnswerLost};
  CHECK(As<PublishAccepted>(it.Publish(it.customers)));
  CHECK(it.service.appends == 3);
  CHECK(it.service.log.next() == 1);
}

TEST_CASE("a second try in a new process with the same publication id reports the acceptance") {
  PublisherFixture it;
  it.service.append_faults = {Fault::kAnswerLost};
  it.service.reads_until_outage = 1;
  CHECK_THROWS_AS(it.Publish(it.customers), OutcomeUnknownError);
  it.service.reads_until_outage = -1;
  const LogChange second = it.Publish(it.customers);
  REQUIRE(As<PublishRepeated>(second));
  CHECK(As<PublishRepeated>(second)->revision == 0);
}

TEST_CASE("an unreachable log is not reported as an unknown outcome before anything is appended") {
  PublisherFixture it;
  it.service.reads_until_outage = 0;
  CHECK_THROWS_AS(it.Publish(it.customers), LogUnavailableError);
  CHECK(it.service.appends == 0);
  CHECK(it.clock.now.time_since_epoch() > 5s);
}

TEST_CASE("a publish that is overtaken between read and append reports the winner") {
  PublisherFixture it;
  REQUIRE(As<PublishAccepted>(it.Publish(it.customers, std::nullopt, "first")));
  it.service.before_append = [&it] {
    it.service.log.Append(Publish{"other", Revision(0), {{"j", std::string(kJob)}}});
  };
  std::string mine(kJob);
  mine.replace(mine.find("tasks = 4"), 9, "tasks = 5");
  const LogChange change = it.Publish({{"j", mine}});
  REQUIRE(As<PublishRejected>(change));
  CHECK(As<PublishRejected>(change)->current_revision == Revision(1));
  CHECK(As<PublishRejected>(change)->entries.size() == 1);
}

TEST_CASE("an outdated --base and an invalid file are reported without an append") {
  PublisherFixture it;
  REQUIRE(As<PublishAccepted>(it.Publish(it.customers)));
  CHECK(As<PublishRejected>(it.Publish({{"j", std::string(kJob)}}, Revision(), "x")));
  CHECK(As<PublishRejected>(it.Publish({{"c", std::nullopt}, {"j", std::string(kJob)}}, {}, "y")));
  CHECK(it.service.appends == 1);
}

TEST_CASE("files that are too large are findings and are not sent to the log") {
  PublisherFixture it;
  const std::string large(ConfigFile::kMaxFileBytes + 1, '#');
  FileChanges changes{{"a", large}, {"b", large}, {"c", large}, {"d", large}};
  const LogChange change = it.Publish(std::move(changes));
  REQUIRE(As<PublishRejected>(change));
  CHECK(As<PublishRejected>(change)->reason == PublishRejection::kInvalid);
  CHECK(it.service.appends == 0);
}

TEST_CASE("a publish to a trimmed log starts from its snapshot and not from nothing") {
  PublisherFixture it;
  REQUIRE(As<PublishAccepted>(it.Publish(it.customers)));
  LogFollower follower;
  follower.Consume(it.service.log.Read(0));
  it.service.log.Append(Snapshot::Record(follower.state(), MemberId("a/1")));
  it.service.log.Trim(1);
  CHECK(As<PublishAccepted>(it.Publish({{"j", std::string(kJob)}}, std::nullopt, "id-2")));
  it.service.log.Trim(2);
  CHECK_THROWS_AS(it.Publish({{"j", std::nullopt}}, std::nullopt, "id-3"), NoSnapshotError);
}

}  // namespace
}  // namespace cactusshelf
