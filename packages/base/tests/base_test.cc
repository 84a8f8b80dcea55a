#include <catch2/catch.hpp>
#include <vector>

#include "cactusshelf/base/counters.h"
#include "cactusshelf/base/distribution.h"
#include "cactusshelf/base/findings.h"
#include "cactusshelf/base/log_event.h"
#include "cactusshelf/base/random.h"
#include "cactusshelf/base/rendezvous.h"
#include "cactusshelf/base/sha256.h"

namespace cactusshelf {
namespace {

TEST_CASE("findings are reported in order of file and line, and none is dropped") {
  Findings findings;
  findings.Add({"b.toml", 1, 1}, "second");
  findings.Add({"a.toml", 7, 2}, "first");
  CHECK(findings.Format() == "a.toml:7:2: first\nb.toml:1:1: second\n");
}

TEST_CASE("a log value with a space or a line break is quoted and does not split the log line") {
  const std::string line = LogEvent(LogLevel::kInfo, "x").With("k", "a b\nc").Format();
  CHECK(line == "level=info event=x k=\"a b\\x0ac\"");
}

TEST_CASE("removing a member moves only the keys that it owned") {
  const std::vector<std::string> nodes = {"a", "b", "c", "d"};
  const std::vector<std::string> nodes_without_c = {"a", "b", "d"};
  const auto identity = [](const std::string& text) -> const std::string& { return text; };
  for (int i = 0; i < 1000; ++i) {
    const std::string key = std::to_string(i);
    const std::string owner_before = *RendezvousOwner(nodes, key, identity);
    if (owner_before != "c") {
      CHECK(*RendezvousOwner(nodes_without_c, key, identity) == owner_before);
    }
  }
}

TEST_CASE("two random generators with the same seed yield the same numbers") {
  Random first(7);
  Random second(7);
  for (int i = 0; i < 100; ++i) {
    CHECK(first.Below(10) == second.Below(10));
  }
}

TEST_CASE("the SHA-256 digest matches the published test vector") {
  CHECK(Sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST_CASE("a counter is not shared between the reasons of a metric") {
  Counters counters;
  counters.Add("refusals_total", "queue_full");
  counters.Add("refusals_total", "no_endpoint", 2);
  CHECK(counters.Get("refusals_total", "queue_full") == 1);
  CHECK(counters.Total("refusals_total") == 3);
}

TEST_CASE("an empty distribution reports zero and not an arbitrary number") {
  Distribution distribution;
  CHECK(distribution.P99() == Duration::zero());
  distribution.Add(Duration(100));
  CHECK(distribution.Max() == Duration(100));
}

}  // namespace
}  // namespace cactusshelf
