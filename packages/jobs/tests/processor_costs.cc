#include "processor_costs.h"

namespace cactusshelf::jobs {
namespace {

using ProcessorTime = std::chrono::duration<double, Duration::period>;

Duration ScaleToShare(Duration time, const ProcessorCosts& costs) {
  return std::chrono::duration_cast<Duration>(ProcessorTime(time) / costs.processor_share);
}

Duration CostOfBytes(const std::string& bytes, const ProcessorCosts& costs) {
  return costs.peer_message + costs.peer_kilobyte * static_cast<int>(bytes.size()) / 1000;
}

}  // namespace

Duration CostOf(const JobEvent& event, const ProcessorCosts& costs) {
  Duration time = costs.handled_answer;
  if (const auto* read = std::get_if<job_event::StreamRead>(&event)) {
    time += costs.record * static_cast<int>(read->job_records.size() + read->workers.size());
  } else if (const auto* message = std::get_if<job_event::PeerMessage>(&event)) {
    time = CostOfBytes(message->bytes, costs);
  } else if (std::holds_alternative<job_event::Timer>(event)) {
    time = Duration::zero();
  }
  return ScaleToShare(time, costs);
}

Duration CostOf(const JobEffect& effect, const ProcessorCosts& costs) {
  Duration time = costs.sent_call;
  if (const auto* append = std::get_if<job_effect::Append>(&effect)) {
    time += costs.record * static_cast<int>(append->records.size());
  } else if (const auto* message = std::get_if<job_effect::SendToPeer>(&effect)) {
    time = CostOfBytes(message->bytes, costs);
  } else if (std::holds_alternative<job_effect::WriteLogEvent>(effect)) {
    time = costs.log_line;
  } else if (std::holds_alternative<job_effect::Stop>(effect)) {
    time = Duration::zero();
  }
  return ScaleToShare(time, costs);
}

}  // namespace cactusshelf::jobs
