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

// Reads the keys of one TOML table and reports invalid values as findings. A key that is absent or
// invalid leaves its target unchanged. Not thread-safe.
class TableReader {
 public:
  // Creates a reader for the root table of `file`. The arguments must outlive the reader.
  TableReader(const toml::table& table, const std::string& file, Findings& findings);

  // Reports a finding if `key` is absent.
  void RequireKey(std::string_view key);

  void ReadString(std::string_view key, std::string& target);

  // Reads a non-empty name of letters, digits, '-', '_' and '.'.
  void ReadName(std::string_view key, std::string& target);

  // Reads an "IP:port" address. Port 0 and the unspecified IP address are rejected, since
  // the address is passed to other processes, which connect to it.
  void ReadAddress(std::string_view key, std::string& target);

  // Reads an array of addresses with the rules of ReadAddress().
  void ReadAddresses(std::string_view key, std::vector<std::string>& target);

  // Reads text such as "250ms"; the units are us, ms, s, min, h and d.
  void ReadDuration(std::string_view key, Duration min, Duration max, Duration& target);

  // Reads text such as "1MiB"; the units are B, KiB, MiB and GiB.
  void ReadSize(std::string_view key, std::size_t min, std::size_t max, std::size_t& target);

  void ReadCount(std::string_view key, std::uint64_t min, std::uint64_t max, std::uint64_t& target);

  void ReadDouble(std::string_view key, double min, double max, double& target);

  // Returns a reader for the nested table `key`, or for an empty table if it is absent.
  TableReader OpenTable(std::string_view key);

  // Returns all keys of this table, including those not read yet.
  std::vector<std::string> Keys() const;

  // Reports each key that no other method has read. Must be called last.
  void ReportUnknownKeys();

  // Returns the source position of the value of `key`, or that of the table if the key is absent.
  Place PlaceOf(std::string_view key) const;

  // Returns `key` prefixed with the path of its table, such as "limits.request_body".
  std::string QualifiedKey(std::string_view key) const;

 private:
  TableReader(const toml::table& table, std::string name, Place place, const std::string& file,
              Findings& findings);

  // Returns the value of `key`, or null if it is absent, and marks the key as known.
  const toml::node* LookUp(std::string_view key);
  bool IsUsableAddress(std::string_view key, const std::string& text);
  // Returns the text at `key`. Reports "expected `expected`" if the value is not a string.
  std::optional<std::string> FindString(std::string_view key, std::string_view expected);
  void ReportFinding(std::string_view key, std::string message);

  const toml::table& table_;
  std::string table_path_;
  Place place_;
  const std::string& file_;
  Findings& findings_;
  std::set<std::string, std::less<>> known_keys_;
};

// Parses TOML `text` of the file named `file`. Adds a syntax error to `findings` and returns
// nullopt. Thread-safe.
std::optional<toml::table> ParseToml(std::string_view text, const std::string& file,
                                     Findings& findings);

}  // namespace cactusshelf

#endif  // CACTUSSHELF_DAEMON_TABLE_READER_H_
