#ifndef CACTUSSHELF_VERSION_SRC_ENTRY_READER_H_
#define CACTUSSHELF_VERSION_SRC_ENTRY_READER_H_

#include <toml++/toml.h>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

#include "cactusshelf/base/findings.h"
#include "cactusshelf/base/time.h"
#include "cactusshelf/version/entries.h"

namespace cactusshelf {

Place PlaceOf(const std::string& file, const toml::source_region& region);

// Reads the typed keys of one TOML table and collects a finding for each fault. The table, the file
// name and the findings must outlive the reader. Not thread-safe.
class EntryReader {
 public:
  // `table_name` names the table in findings, for instance "job".
  EntryReader(const toml::table& table, std::string table_name, const std::string& file,
              Findings& findings);

  // Each returns a default value and adds a finding if the key is missing or has a fault.
  std::string Name(std::string_view key);
  std::string Address(std::string_view key);
  std::int64_t Integer(std::string_view key, std::int64_t low, std::int64_t high);
  std::int64_t Bytes(std::string_view key);
  Duration Time(std::string_view key);
  double Rate(std::string_view key);
  // Reads a number of processors, which may be a fraction.
  std::int64_t Milliprocessors(std::string_view key);
  // Reads the keys "processors", "memory" and, optionally, "accelerators".
  Resources ReadResources();
  // Reads a table that has the keys of ReadResources().
  Resources ReadResourcesTable(std::string_view key);

  // Returns false if the key is missing.
  bool OptionalBoolean(std::string_view key);

  bool Has(std::string_view key) const { return table_.contains(key); }

  // Returns null if the key is missing or is not an array.
  const toml::array* Array(std::string_view key);

  void AddFinding(std::string_view key, std::string message);

  // Marks the entry as invalid because a nested table has a finding.
  void Invalidate() { valid_ = false; }

  // Adds a finding for each key that was not read. Must be called last.
  void Finish();

  // False if a finding was added by this reader.
  bool valid() const { return valid_; }

  Place PlaceOfKey(std::string_view key) const;

 private:
  const toml::node* Get(std::string_view key, bool required);
  std::string Text(std::string_view key);

  const toml::table& table_;
  std::string table_name_;
  const std::string& file_;
  Findings& findings_;
  std::set<std::string, std::less<>> read_keys_;
  bool valid_ = true;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_VERSION_SRC_ENTRY_READER_H_
