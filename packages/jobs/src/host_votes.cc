#include "host_votes.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "majority.h"

namespace cactusshelf::jobs {

void HostVotes::OnAnswer(const OwnershipAnswer& answer, Time now) {
  const Time sent_at{answer.notice_sent_at};
  const bool possible = sent_at <= now && answer.uptime >= Duration::zero() &&
                        answer.since_earlier_vote >= Duration::zero();
  if (answer.epoch != epoch_ || answer.host == host_ || !possible) return;
  const Time started_before = now - answer.uptime;
  const Time voted_before = now - answer.since_earlier_vote;
  const auto [it, is_new] = processes_[answer.host].try_emplace(
      answer.member, Process{now, now, sent_at, started_before, voted_before});
  if (is_new) return;
  Process& process = it->second;
  process.last_answer_at = now;
  process.confirmed_at = std::max(process.confirmed_at, sent_at);
  process.started_before = std::min(process.started_before, started_before);
  process.voted_before = std::min(process.voted_before, voted_before);
}

Time HostVotes::MajorityConfirmedAt(const Voters& voters, Time now) const {
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
  return MajorityTime(std::move(times));
}

std::optional<Time> HostVotes::LastEarlierVote(const std::string& host,
                                               const std::string& member) const {
  if (host == host_) return member == member_ ? earlier_vote_at_ : began_at_;
  const auto it = processes_.find(host);
  if (it == processes_.end()) return std::nullopt;
  const auto process = it->second.find(member);
  if (process != it->second.end()) return process->second.voted_before;
  Time ended_before = Time::max();
  for (const auto& [other, later] : it->second)
    ended_before = std::min(ended_before, later.started_before);
  return ended_before;
}

std::optional<Time> HostVotes::QuorumAt(const Voters& voters) const {
  std::vector<Time> times;
  for (const auto& [host, member] : voters) {
    const std::optional<Time> vote_at = LastEarlierVote(host, member);
    if (vote_at) times.push_back(*vote_at);
  }
  const std::size_t half = (voters.size() + 1) / 2;
  if (times.size() < half) return std::nullopt;
  const auto last = times.begin() + static_cast<std::ptrdiff_t>(half - 1);
  std::nth_element(times.begin(), last, times.end());
  return *last;
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
