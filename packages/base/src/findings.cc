#include "cactusshelf/base/findings.h"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace cactusshelf {

void Findings::Add(Place place, std::string message) {
  items_.push_back({std::move(place), std::move(message)});
}

void Findings::Append(const Findings& other) {
  items_.insert(items_.end(), other.items_.begin(), other.items_.end());
}

std::string Findings::Format() const {
  std::vector<Finding> sorted = items_;
  std::ranges::stable_sort(sorted, {}, [](const Finding& finding) {
    return std::tie(finding.place.file, finding.place.line, finding.place.column);
  });
  std::string text;
  for (const Finding& finding : sorted) {
    text += fmt::format("{}:{}:{}: {}\n", finding.place.file, finding.place.line,
                        finding.place.column, finding.message);
  }
  return text;
}

}  // namespace cactusshelf
