#include "host_votes.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace cactusshelf::jobs {

void HostVotes::OnAnswer(const OwnershipAnswer& answer, Time now) {
  if (answer.generation != generation_ || answer.host == host_) return;
  const Time started_before = now - answer.uptime;
  const auto [it, is_new] = processes_[answer.host].try_emplace(
      answer.member, Process{now, now, Time{answer.notice_sent_at}, started_before});
  if (is_new) return;
  Process& process = it->second;
  process.last_answer_at = now;
  process.confirmed_at = std::max(process.confirmed_at, Time{answer.notice_sent_at});
  process.started_before = std::min(process.started_before, started_before);
}

Time HostVotes::MajorityConfirmedAt(const Voters& voters, Time now) const {
  if (voters.empty()) return {};
  std::vector<Time> times;
  times.reserve(voters.size());
  for (const auto& [host, member] : voters) {
    if (host == host_) {
      times.push_back(member == member_ ? now : Time{});
      continue;
    }
    const auto it = processes_.find(host);
    const bool answered = it != processes_.end() && it->second.contains(member);
    times.push_back(answered ? it->second.at(member).confirmed_at : Time{});
  }
  const auto least = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), least, times.end(), std::greater<>());
  return *least;
}

bool HostVotes::HasQuorum(const Voters& voters) const {
  const auto n = std::count_if(voters.begin(), voters.end(), [this](const auto& voter) {
    return voter.first == host_ || processes_.contains(voter.first);
  });
  return 2 * static_cast<std::size_t>(n) >= voters.size();
}

std::optional<Time> HostVotes::StoppedAt(const OwnerRecord& claim) const {
  if (claim.host == host_ || claim.released) return began_at_;
  const auto it = processes_.find(claim.host);
  if (it == processes_.end()) return std::nullopt;
  Time stopped_at = Time::max();
  for (const auto& [member, process] : it->second) {
    const bool later = member != claim.member;
    stopped_at = std::min(stopped_at, later ? process.started_before : process.first_answer_at);
  }
  return stopped_at;
}

HostVotes::Voters HostVotes::AnsweredSince(Time since) const {
  Voters voters{{host_, member_}};
  for (const auto& [host, processes] : processes_) {
    const auto newest = std::max_element(
        processes.begin(), processes.end(), [](const auto& left, const auto& right) {
          return left.second.last_answer_at < right.second.last_answer_at;
        });
    if (newest->second.last_answer_at >= since) voters[host] = newest->first;
  }
  return voters;
}

}  // namespace cactusshelf::jobs
