#ifndef CACTUSSHELF_BASE_FINDINGS_H_
#define CACTUSSHELF_BASE_FINDINGS_H_

#include <cstdint>
#include <string>
#include <vector>

namespace cactusshelf {

// Position in a text file. Lines and columns are numbered from 1; 0 means unknown.
struct Place {
  std::string file;
  std::uint32_t line = 0;
  std::uint32_t column = 0;

  friend bool operator==(const Place&, const Place&) = default;
};

// One fault in the input of an operator.
struct Finding {
  Place place;
  std::string message;

  friend bool operator==(const Finding&, const Finding&) = default;
};

// List of findings, so that all faults of an input are reported together. Not thread-safe.
class Findings {
 public:
  void Add(Place place, std::string message);
  void Append(const Findings& other);

  bool empty() const { return items_.empty(); }
  const std::vector<Finding>& items() const { return items_; }

  // One line "file:line:column: message" for each finding, ordered by file, line and column.
  std::string Format() const;

 private:
  std::vector<Finding> items_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_BASE_FINDINGS_H_
