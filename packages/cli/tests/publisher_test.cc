#include "publisher.h"

#include <catch2/catch.hpp>
#include <functional>

#include "cactusshelf/version/snapshot.h"
#include "support.h"

namespace cactusshelf {
namespace {

enum class Fault { kNone, kResponseLost, kRequestLost, kUnavailable, kMalformedResponse };

struct FakeLogService {
  FakeLog log;
  // Faults to inject into the next appends, in order.
  std::vector<Fault> append_faults;
  int reads_until_outage = -1;
  int appends = 0;
  std::function<void()> before_append;
};

// HttpTransport that calls a FakeLogService directly.
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
    if (fault == Fault::kResponseLost) {
      throw HttpError("connection closed");
    }
    return {200, fault == Fault::kMalformedResponse ? "{" : LogProtocol::EncodeAppendReply(offset)};
  }

  FakeLogService* service;
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

  FakeLogService service;
  FakeClock clock;
  FileChanges customers{{"c", std::string(kCustomers)}};
};

TEST_CASE(
    "a publish whose response is lost or malformed is appended once and reported as accepted") {
  for (const Fault fault : {Fault::kResponseLost, Fault::kMalformedResponse}) {
    PublisherFixture fixture;
    fixture.service.append_faults = {fault};
    CHECK(As<PublishAccepted>(fixture.Publish(fixture.customers)));
    CHECK(fixture.service.log.next() == 1);
  }
}

TEST_CASE("a publish whose append request is lost is retried with the same record") {
  PublisherFixture fixture;
  fixture.service.append_faults = {Fault::kRequestLost, Fault::kUnavailable, Fault::kResponseLost};
  CHECK(As<PublishAccepted>(fixture.Publish(fixture.customers)));
  CHECK(fixture.service.appends == 3);
  CHECK(fixture.service.log.next() == 1);
}

TEST_CASE(
    "a retry from a new process with the same publication id reports the earlier acceptance") {
  PublisherFixture fixture;
  fixture.service.append_faults = {Fault::kResponseLost};
  fixture.service.reads_until_outage = 1;
  CHECK_THROWS_AS(fixture.Publish(fixture.customers), OutcomeUnknownError);
  fixture.service.reads_until_outage = -1;
  const LogChange second = fixture.Publish(fixture.customers);
  REQUIRE(As<PublishRepeated>(second));
  CHECK(As<PublishRepeated>(second)->revision == 0);
}

TEST_CASE("an unreachable log is not reported as an unknown outcome before anything is appended") {
  PublisherFixture fixture;
  fixture.service.reads_until_outage = 0;
  CHECK_THROWS_AS(fixture.Publish(fixture.customers), LogUnavailableError);
  CHECK(fixture.service.appends == 0);
  CHECK(fixture.clock.now.time_since_epoch() > 5s);
}

TEST_CASE("a publish that loses a race between read and append reports the revision in force") {
  PublisherFixture fixture;
  REQUIRE(As<PublishAccepted>(fixture.Publish(fixture.customers, std::nullopt, "first")));
  fixture.service.before_append = [&fixture] {
    fixture.service.log.Append(Publish{"other", Revision(0), {{"j", std::string(kJob)}}});
  };
  std::string own_job(kJob);
  own_job.replace(own_job.find("tasks = 4"), 9, "tasks = 5");
  const LogChange change = fixture.Publish({{"j", own_job}});
  REQUIRE(As<PublishRejected>(change));
  CHECK(As<PublishRejected>(change)->current_revision == Revision(1));
  CHECK(As<PublishRejected>(change)->entries.size() == 1);
}

TEST_CASE("an outdated --base and an invalid file are reported without an append") {
  PublisherFixture fixture;
  REQUIRE(As<PublishAccepted>(fixture.Publish(fixture.customers)));
  CHECK(As<PublishRejected>(fixture.Publish({{"j", std::string(kJob)}}, Revision(), "x")));
  CHECK(As<PublishRejected>(
      fixture.Publish({{"c", std::nullopt}, {"j", std::string(kJob)}}, {}, "y")));
  CHECK(fixture.service.appends == 1);
}

TEST_CASE("files that are too large are reported as findings and not sent to the log") {
  PublisherFixture fixture;
  const std::string large(ConfigFile::kMaxFileBytes + 1, '#');
  FileChanges changes{{"a", large}, {"b", large}, {"c", large}, {"d", large}};
  const LogChange change = fixture.Publish(std::move(changes));
  REQUIRE(As<PublishRejected>(change));
  CHECK(As<PublishRejected>(change)->reason == PublishRejection::kInvalid);
  CHECK(fixture.service.appends == 0);
}

TEST_CASE("a publish to a trimmed log starts from the snapshot and not from an empty state") {
  PublisherFixture fixture;
  REQUIRE(As<PublishAccepted>(fixture.Publish(fixture.customers)));
  LogFollower follower;
  follower.Consume(fixture.service.log.Read(0));
  fixture.service.log.Append(Snapshot::Record(follower.state(), MemberId("a/1")));
  fixture.service.log.Trim(1);
  CHECK(As<PublishAccepted>(fixture.Publish({{"j", std::string(kJob)}}, std::nullopt, "id-2")));
  fixture.service.log.Trim(2);
  CHECK_THROWS_AS(fixture.Publish({{"j", std::nullopt}}, std::nullopt, "id-3"), NoSnapshotError);
}

}  // namespace
}  // namespace cactusshelf
