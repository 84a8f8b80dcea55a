#include "cactusshelf/base/counters.h"

#include <fmt/format.h>

namespace cactusshelf {

void Counters::Add(std::string_view metric, std::string_view reason, std::uint64_t n) {
  auto it = values_.find(metric);
  if (it == values_.end()) {
    it = values_.try_emplace(std::string(metric)).first;
  }
  auto entry = it->second.find(reason);
  if (entry == it->second.end()) {
    entry = it->second.try_emplace(std::string(reason), 0).first;
  }
  entry->second += n;
}

std::uint64_t Counters::Get(std::string_view metric, std::string_view reason) const {
  const auto it = values_.find(metric);
  if (it == values_.end()) {
    return 0;
  }
  const auto entry = it->second.find(reason);
  return entry == it->second.end() ? 0 : entry->second;
}

std::uint64_t Counters::Total(std::string_view metric) const {
  const auto it = values_.find(metric);
  if (it == values_.end()) {
    return 0;
  }
  std::uint64_t sum = 0;
  for (const auto& [reason, n] : it->second) {
    sum += n;
  }
  return sum;
}

void Counters::Merge(const Counters& other) {
  for (const auto& [metric, reasons] : other.values_) {
    for (const auto& [reason, n] : reasons) {
      Add(metric, reason, n);
    }
  }
}

std::string Counters::Format() const {
  std::string text;
  for (const auto& [metric, reasons] : values_) {
    text += fmt::format("# TYPE {} counter\n", metric);
    for (const auto& [reason, n] : reasons) {
      text += fmt::format("{}{{reason=\"{}\"}} {}\n", metric, reason, n);
    }
  }
  return text;
}

}  // namespace cactusshelf
