#include "cactusshelf/membership/authority.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace cactusshelf {

Authority::Authority(MemberId self, AuthoritySettings settings)
    : self_(std::move(self)), settings_(settings) {}

void Authority::OnMap(OwnershipMap map, Time now) {
  assert(map.epoch() >= map_.epoch());
  map_ = std::move(map);
  const auto departed = [&](const auto& entry) { return map_.Find(entry.first) == nullptr; };
  std::erase_if(host_list_status_, departed);
  std::erase_if(promises_, departed);
  for (const Member& member : map_.members()) {
    host_list_status_.try_emplace(member.id, HostListStatus{now});
  }
}

void Authority::OnLogRead(Time started) {
  latest_read_started_ = std::max(latest_read_started_.value_or(started), started);
}

void Authority::OnHostList(const std::set<std::string>& hosts, Time now) {
  for (auto& [member, status] : host_list_status_) {
    const bool listed = hosts.contains(HostOf(member));
    status.was_listed = status.was_listed || listed;
    const bool overdue = now - status.first_in_map >= settings_.host_list_grace_period;
    status.delisted = !listed && (status.was_listed || overdue);
  }
}

void Authority::OnConfirmReply(const ConfirmReply& reply) {
  const auto it = queries_.find(reply.query);
  if (it == queries_.end() || it->second.to != reply.from) {
    return;
  }
  if (reply.promised) {
    Time& promise = promises_[reply.from];
    promise = std::max(promise, it->second.sent);
  } else {
    promises_.erase(reply.from);
  }
  queries_.erase(it);
}

std::vector<OutgoingMessage> Authority::Poll(const std::vector<MemberId>& awaited, Time now) {
  if (now < next_poll_) {
    return {};
  }
  next_poll_ = now + settings_.confirm_interval;
  PruneExpiredQueries(now);
  MemberSet targets(awaited.begin(), awaited.end());
  if (!latest_read_started_ || now - *latest_read_started_ >= settings_.max_log_read_age) {
    for (const Member& member : map_.members()) {
      if (MustConfirm(member)) {
        targets.insert(member.id);
      }
    }
  }
  std::vector<OutgoingMessage> messages;
  messages.reserve(targets.size());
  for (const MemberId& target : targets) {
    queries_[++last_query_id_] = {target, now};
    messages.push_back({target, Confirm{self_, last_query_id_}});
  }
  return messages;
}

ConfirmReply Authority::MakeConfirmReply(const Confirm& confirm, Epoch settled_epoch) const {
  const bool promised = map_.Find(confirm.from) != nullptr;
  return {self_, confirm.query, settled_epoch, promised};
}

std::optional<Time> Authority::ValidUntil(Time now) const {
  if (map_.Find(self_) == nullptr) {
    return std::nullopt;
  }
  const std::optional<Time> until = std::max(LogValidUntil(), PromisedUntil());
  return until && *until > now ? until : std::nullopt;
}

bool Authority::MustConfirm(const Member& member) const {
  return member.id != self_ && !host_list_status_.at(member.id).delisted;
}

std::optional<Time> Authority::LogValidUntil() const {
  if (!latest_read_started_) {
    return std::nullopt;
  }
  return *latest_read_started_ + settings_.authority_lease;
}

std::optional<Time> Authority::PromisedUntil() const {
  std::optional<Time> oldest;
  for (const Member& member : map_.members()) {
    if (!MustConfirm(member)) {
      continue;
    }
    const auto it = promises_.find(member.id);
    if (it == promises_.end()) {
      return std::nullopt;
    }
    oldest = std::min(oldest.value_or(it->second), it->second);
  }
  if (!oldest) {
    return std::nullopt;
  }
  return *oldest + settings_.authority_lease;
}

void Authority::PruneExpiredQueries(Time now) {
  std::erase_if(queries_, [&](const auto& entry) {
    return now - entry.second.sent > settings_.authority_lease;
  });
}

}  // namespace cactusshelf
