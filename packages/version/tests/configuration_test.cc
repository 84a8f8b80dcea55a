#include "cactusshelf/version/configuration.h"

#include <catch2/catch.hpp>

#include "support.h"

namespace cactusshelf {
namespace {

TEST_CASE("no finding is lost when several files have several faults") {
  Findings findings;
  const FileSet files({{"a.toml", "[[customer]]\nname = \"acme\"\npriority = 101\ncolour = 3\n"},
                       {"b.toml",
                        "[[account]]\nname = \"web\"\ncustomer = \"nobody\"\n"
                        "request_rate = \"100\"\n"},
                       {"c.toml", "[[retirement]]\n"}});
  CHECK(Configuration::Make(files, findings) == nullptr);
  CHECK(findings.Format() ==
        "a.toml:3:12: 'priority' must be an integer from 0 to 100\n"
        "a.toml:4:1: unknown key 'colour' in customer\n"
        "b.toml:3:12: customer nobody is not defined\n"
        "b.toml:4:16: 'request_rate' must be a rate above 0 with its unit, like \"100/s\"\n"
        "c.toml:1:1: retirement lacks the key 'customer'\n");
}

TEST_CASE("a file that is not TOML does not cause valid references to be reported as dangling") {
  Findings findings;
  const FileSet files(
      {{"customers.toml", "[[customer]\nname = \"acme\"\n"}, {"jobs.toml", std::string(kJob)}});
  CHECK(Configuration::Make(files, findings) == nullptr);
  REQUIRE(findings.items().size() == 1);
  CHECK(findings.items()[0].place.file == "customers.toml");
  CHECK(findings.items()[0].place.line == 1);
}

TEST_CASE("sizes and times without a unit are findings") {
  for (const auto& [good, bad] : std::map<std::string, std::string>{
           {"\"512MiB\"", "\"512\""}, {"\"30s\"", "30"}, {"\"60GB\"", "\"60Gb\""}}) {
    std::string text = std::string(kJob) + std::string(kWorkers);
    REQUIRE(ConfigFile::Parse("f", text)->findings().empty());
    text.replace(text.find(good), good.size(), bad);
    CHECK(ConfigFile::Parse("f", text)->findings().items().size() == 1);
  }
}

TEST_CASE("two workers at one address are reported, since they would share a host's capacity") {
  std::string other(kWorkers);
  other.replace(other.find("w1"), 2, "w2");
  Findings findings;
  const FileSet files({{"a", std::string(kWorkers)}, {"b", other}});
  CHECK(Configuration::Make(files, findings) == nullptr);
  CHECK_THAT(findings.Format(),
             Catch::Contains("b:3:11: address 10.0.0.1:9000 is also defined at a:3:11"));
}

TEST_CASE("removing a file reports the references to it in files that stay unchanged") {
  Findings findings;
  const FileSet files({{"customers", std::string(kCustomers)}, {"jobs", std::string(kJob)}});
  const auto configuration = Configuration::Make(files, findings);
  REQUIRE(configuration != nullptr);
  CHECK(configuration->CustomerOf({EntryKind::kJob, "index"}) == CustomerId("acme"));
  CHECK(configuration->Update(files.WithChanges({{"customers", std::nullopt}}), findings) ==
        nullptr);
  CHECK(findings.Format() == "jobs:3:8: team batch is not defined any more\n");
}

TEST_CASE("a change of one file does not parse the others again") {
  const FileSet before({{"customers", std::string(kCustomers)}, {"jobs", std::string(kJob)}});
  const FileSet after =
      before.WithChanges({{"workers", std::string(kWorkers)}, {"jobs", std::string(kJob)}});
  CHECK(after.Find("customers") == before.Find("customers"));
  CHECK(after.Find("jobs") == before.Find("jobs"));
}

TEST_CASE("an entry that only moves to another file is not reported as different") {
  const FileSet before({{"a", std::string(kJob) + std::string(kWorkers)}});
  const FileSet after({{"a", std::string(kJob)}, {"b", std::string(kWorkers)}});
  CHECK(Configuration::Difference(before, after).empty());
  CHECK(Configuration::Difference(before, FileSet()).size() == 2);
}

}  // namespace
}  // namespace cactusshelf
