#include "cactusshelf/jobs/job.h"

#include <array>
#include <charconv>

#include "cactusshelf/base/errors.h"

namespace cactusshelf::jobs {
namespace {

constexpr std::size_t kNumbers = 3;

}  // namespace

std::string ToString(const TaskRef& ref) {
  std::string text = ref.job.str();
  for (const int n : {ref.task.occurrence, ref.task.step, ref.task.index}) {
    text += '.';
    text += std::to_string(n);
  }
  return text;
}

TaskRef ParseTaskRef(std::string_view text) {
  const std::size_t dot = text.find('.');
  std::array<int, kNumbers> numbers{};
  const char* it = text.data() + std::min(dot, text.size());
  const char* end = text.data() + text.size();
  for (int& n : numbers) {
    if (it == end || *it != '.') throw DecodeError("task name without three numbers");
    const auto [next, ec] = std::from_chars(it + 1, end, n);
    if (ec != std::errc() || n < 0) throw DecodeError("task name with a malformed number");
    it = next;
  }
  if (it != end) throw DecodeError("task name with trailing characters");
  return {JobKey(std::string(text.substr(0, dot))), {numbers[0], numbers[1], numbers[2]}};
}

std::string_view ToString(JobState state) {
  switch (state) {
    case JobState::kQueued:
      return "queued";
    case JobState::kRunning:
      return "running";
    case JobState::kCompleted:
      return "completed";
    case JobState::kFailed:
      return "failed";
    case JobState::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

}  // namespace cactusshelf::jobs
