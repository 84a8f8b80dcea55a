#ifndef CACTUSSHELF_VERSION_CONFIG_FILE_H_
#define CACTUSSHELF_VERSION_CONFIG_FILE_H_

#include <cstddef>
#include <limits>
#include <memory>
#include <string>
#include <vector>

#include "cactusshelf/base/findings.h"
#include "cactusshelf/version/entries.h"

namespace cactusshelf {

// One parsed configuration file. Immutable; safe to share between threads. Consecutive
// configurations share the files that a publish leaves unchanged.
class ConfigFile {
 public:
  static constexpr std::size_t kNoIndex = std::numeric_limits<std::size_t>::max();

  // Where an entry is defined, in the order of the file.
  struct Definition {
    EntryKey key;
    Place place;
    // Index into the vector of the entry's kind; kNoIndex for an address and for an entry with
    // faults.
    std::size_t index = kNoIndex;
  };

  // A name used in one entry that another entry of the file set must define.
  struct Reference {
    EntryKey from;
    EntryKey to;
    Place place;
  };

  // Longest file name and largest file accepted.
  static constexpr std::size_t kMaxNameBytes = 255;
  static constexpr std::size_t kMaxFileBytes = std::size_t{8} << 20;

  // Parses `text`. Never throws for invalid text: all faults are reported in findings(), and
  // entries with faults are omitted.
  static std::shared_ptr<const ConfigFile> Parse(std::string name, std::string text);

  const std::string& name() const { return name_; }
  const std::string& text() const { return text_; }
  const Findings& findings() const { return findings_; }
  // False if the text is not valid TOML, so that its entries are unknown.
  bool parsed() const { return parsed_; }
  const std::vector<Definition>& definitions() const { return definitions_; }
  const std::vector<Reference>& references() const { return references_; }

  const std::vector<Customer>& customers() const { return customers_; }
  const std::vector<Account>& accounts() const { return accounts_; }
  const std::vector<Team>& teams() const { return teams_; }
  const std::vector<Service>& services() const { return services_; }
  const std::vector<Worker>& workers() const { return workers_; }
  const std::vector<Job>& jobs() const { return jobs_; }
  const std::vector<Retirement>& retirements() const { return retirements_; }

 private:
  friend class ConfigFileParser;

  ConfigFile() = default;

  std::string name_;
  std::string text_;
  Findings findings_;
  bool parsed_ = false;
  std::vector<Definition> definitions_;
  std::vector<Reference> references_;
  std::vector<Customer> customers_;
  std::vector<Account> accounts_;
  std::vector<Team> teams_;
  std::vector<Service> services_;
  std::vector<Worker> workers_;
  std::vector<Job> jobs_;
  std::vector<Retirement> retirements_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_VERSION_CONFIG_FILE_H_
