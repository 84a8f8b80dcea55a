#include "cactusshelf/base/counters.h"

#include <fmt/format.h>

namespace cactusshelf {

void Counters::Add(std::string_view metric, std::string_view reason, std::uint64_t count) {
  auto it = values_.find(metric);
  if (it == values_.end()) {
    it = values_.try_emplace(std::string(metric)).first;
  }
  auto counter = it->second.find(reason);
  if (counter == it->second.end()) {
    counter = it->second.try_emplace(std::string(reason), 0).first;
  }
  counter->second += count;
}

std::uint64_t Counters::Get(std::string_view metric, std::string_view reason) const {
  const auto it = values_.find(metric);
  if (it == values_.end()) {
    return 0;
  }
  const auto counter = it->second.find(reason);
  return counter == it->second.end() ? 0 : counter->second;
}

std::uint64_t Counters::Total(std::string_view metric) const {
  const auto it = values_.find(metric);
  if (it == values_.end()) {
    return 0;
  }
  std::uint64_t sum = 0;
  for (const auto& [reason, count] : it->second) {
    sum += count;
  }
  return sum;
}

void Counters::Merge(const Counters& other) {
  for (const auto& [metric, reasons] : other.values_) {
    for (const auto& [reason, count] : reasons) {
      Add(metric, reason, count);
    }
  }
}

std::string Counters::Format() const {
  std::string text;
  for (const auto& [metric, reasons] : values_) {
    text += fmt::format("# TYPE {} counter\n", metric);
    for (const auto& [reason, count] : reasons) {
      text += fmt::format("{}{{reason=\"{}\"}} {}\n", metric, reason, count);
    }
  }
  return text;
}

}  // namespace cactusshelf
