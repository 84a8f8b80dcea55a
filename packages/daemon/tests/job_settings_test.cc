#include "cactusshelf/daemon/job_settings.h"

#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>

#include "cactusshelf/daemon/bounded_log.h"

namespace cactusshelf {
namespace {

std::string SettingsText() {
  return "service = \"jobs\"\nhost_name = \"h\"\ndomain = \"d\"\n"
         "listen.callers = \"127.0.0.1:1\"\nlisten.readiness = \"127.0.0.1:2\"\n"
         "listen.metrics = \"127.0.0.1:3\"\nstore.address = \"127.0.0.1:4\"\n";
}

JobSettings Parse(const std::string& text, Findings& findings) {
  return ParseJobSettings(text, "f", findings);
}

}  // namespace

TEST_CASE("job service settings are distinguished from entry node settings") {
  CHECK(IsJobSettings(SettingsText()));
  CHECK_FALSE(IsJobSettings("host_name = \"h\"\n"));
  CHECK_FALSE(IsJobSettings("service = \n"));
}

TEST_CASE("valid job service settings are parsed") {
  Findings findings;
  const JobSettings settings = Parse(
      SettingsText() + "processors = 0.12\nworkers.lease = \"6s\"\nworkers.stuck_after = \"2s\"\n",
      findings);
  INFO(findings.Format());
  CHECK(findings.empty());
  CHECK(settings.node.host == "h");
  CHECK(settings.node.scheduler.lease == std::chrono::seconds(6));
  CHECK(settings.node.scheduler.stall_timeout == std::chrono::seconds(2));
  CHECK(settings.node.standby_delay > Duration::zero());
}

TEST_CASE("all errors in job service settings are reported with their positions") {
  Findings findings;
  Parse(
      "service = \"jobs\"\nhost_name = 1\nlisten.callers = \"x\"\nworkers.lease = \"1s\"\n"
      "workers.hold_wait = \"900ms\"\nunknown = 1\n",
      findings);
  const std::string text = findings.Format();
  CHECK(text.find("f:2:") != std::string::npos);
  CHECK(text.find("listen.callers") != std::string::npos);
  CHECK(text.find("workers.hold_wait: must be at most half") != std::string::npos);
  CHECK(text.find("unknown") != std::string::npos);
}

TEST_CASE("a log whose reader has stalled drops lines instead of blocking") {
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  {
    BoundedLog log(LogLevel::kInfo, ends[1], 1'000'000);
    const LogEvent event = LogEvent(LogLevel::kInfo, "e").With("text", std::string(1000, 'x'));
    for (int i = 0; i < 2000; ++i) log.Write(WallTime{}, event);
    CHECK(log.dropped_lines() > 0);
    CHECK(log.has_pending());
  }
  close(ends[0]);
  close(ends[1]);
}

TEST_CASE("log lines over the rate limit are dropped, except warnings") {
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  {
    BoundedLog log(LogLevel::kInfo, ends[1], 10);
    for (int i = 0; i < 50; ++i) log.Write(WallTime{}, LogEvent(LogLevel::kInfo, "e"));
    CHECK(log.dropped_lines() == 40);
    log.Write(WallTime{}, LogEvent(LogLevel::kWarning, "w"));
    CHECK(log.dropped_lines() == 40);
  }
  close(ends[0]);
  close(ends[1]);
}

TEST_CASE("a burst of one kind of log lines does not hide the other kinds") {
  // Guards against takeovers without a line of their end: the lines of adopted and ended runs of
  // the same second had used up the limit.
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  {
    BoundedLog log(LogLevel::kInfo, ends[1], 10);
    for (int i = 0; i < 50; ++i) log.Write(WallTime{}, LogEvent(LogLevel::kInfo, "run_adopted"));
    const std::uint64_t dropped = log.dropped_lines();
    log.Write(WallTime{}, LogEvent(LogLevel::kInfo, "takeover_complete"));
    CHECK(log.dropped_lines() == dropped);
  }
  close(ends[0]);
  close(ends[1]);
}

}  // namespace cactusshelf
