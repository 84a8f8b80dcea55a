#ifndef CACTUSSHELF_DAEMON_TABLE_READER_H_
#define CACTUSSHELF_DAEMON_TABLE_READER_H_

#include <toml++/toml.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "cactusshelf/base/findings.h"
#include "cactusshelf/base/time.h"

namespace cactusshelf {

// Reads the keys of one TOML table and collects what is wrong with them. A key that is absent or
// faulty leaves its target unchanged. Not thread-safe.
class TableReader {
 public:
  // Reader of the top level of `file`. The arguments outlive the reader.
  TableReader(const toml::table& table, const std::string& file, Findings& findings);

  void Required(std::string_view key);

  void String(std::string_view key, std::string& target);

  // Name of letters, digits, '-', '_' and '.'.
  void Name(std::string_view key, std::string& target);

  // "IP:port" with a port above 0 and an IP other than the unspecified one, since it is also told
  // to others.
  void Address(std::string_view key, std::string& target);

  // Array of addresses as for Address.
  void Addresses(std::string_view key, std::vector<std::string>& target);

  // Text such as "250ms"; units us, ms, s, min, h, d.
  void Time(std::string_view key, Duration low, Duration high, Duration& target);

  // Text such as "1MiB"; units B, KiB, MiB, GiB.
  void Size(std::string_view key, std::size_t low, std::size_t high, std::size_t& target);

  void Count(std::string_view key, std::uint64_t low, std::uint64_t high, std::uint64_t& target);

  void Real(std::string_view key, double low, double high, double& target);

  // Reader of a table below this one, or of an empty one if it is absent.
  TableReader Table(std::string_view key);

  // Keys of this table, whether read or not.
  std::vector<std::string> Keys() const;

  // Reports the keys that were not read. Call last.
  void ReportUnknown();

  // Place of the value of `key`, or of the table if it is absent.
  Place PlaceOf(std::string_view key) const;

  // Name of `key` with that of its table.
  std::string FullName(std::string_view key) const;

 private:
  TableReader(const toml::table& table, std::string name, Place place, const std::string& file,
              Findings& findings);

  const toml::node* Find(std::string_view key);
  bool IsUsableAddress(std::string_view key, const std::string& text);
  std::optional<std::string> Text(std::string_view key, std::string_view expected);
  void Report(std::string_view key, std::string message);

  const toml::table& table_;
  std::string name_;
  Place place_;
  const std::string& file_;
  Findings& findings_;
  std::set<std::string, std::less<>> known_;
};

// Parses TOML `text` of the file named `file`. A fault is added to `findings`, and the table is
// then empty. Thread-safe.
std::optional<toml::table> ParseToml(std::string_view text, const std::string& file,
                                     Findings& findings);

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_TABLE_READER_H_
