#include "cell_manager.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <ranges>
#include <set>
#include <utility>
#include <variant>

#include "cactusshelf/base/errors.h"
#include "cactusshelf/base/rendezvous.h"
#include "ip_address.h"

namespace cactusshelf {
namespace {

constexpr Duration kWorkerCallTimeout = std::chrono::seconds(2);
constexpr int kStatusOk = 200;

// Services with endpoints on the host of `worker`. Hosts are matched by IP address.
std::vector<ServiceOnWorker> ServicesOnHostOf(const Worker& worker,
                                              const Configuration& configuration) {
  std::vector<ServiceOnWorker> services;
  const std::string ip = IpFromAddress(worker.address);
  for (const Service& service : configuration.services()) {
    const auto count = std::ranges::count_if(
        service.endpoints, [&](const Endpoint& it) { return IpFromAddress(it.address) == ip; });
    if (count > 0) {
      services.push_back({service.name, static_cast<std::uint32_t>(count), service.endpoint_need});
    }
  }
  return services;
}

std::vector<WorkerSpec> MakeWorkerSpecs(const CellId& cell, const Configuration& configuration) {
  std::vector<WorkerSpec> workers;
  for (const Worker& it : configuration.workers()) {
    if (it.cell == cell) {
      workers.push_back(
          {it.name, it.domain, it.rack, it.capacity, ServicesOnHostOf(it, configuration)});
    }
  }
  return workers;
}

std::vector<TeamSpec> MakeTeamSpecs(const Configuration& configuration) {
  std::vector<TeamSpec> teams;
  for (const Team& it : configuration.teams()) {
    const Customer* customer = configuration.Find(it.customer);
    teams.push_back({it.name, it.customer, customer == nullptr ? 0 : customer->priority, it.quota});
  }
  return teams;
}

// Selects the cell of a new job. All members with the same configuration select the same cell.
std::optional<CellId> SelectCell(const JobId& job, const Configuration& configuration) {
  const auto& cells = configuration.cells();
  const auto name = [](const auto& it) -> const std::string& { return it.first.str(); };
  const auto it = RendezvousOwner(cells, job.str(), name);
  if (it == cells.end()) {
    return std::nullopt;
  }
  return it->first;
}

std::string DescribeRefusal(const JobRefusal& refusal) {
  switch (refusal.reason) {
    case RefusalReason::kTooLargeForWorkers:
      return "no worker of the cell has enough " + std::string(ToString(refusal.limiting_resource));
    case RefusalReason::kTooLargeForQuota:
      return "one task exceeds the quota of the team: " +
             std::string(ToString(refusal.limiting_resource));
    case RefusalReason::kUnknownTeam:
      return "unknown team";
    case RefusalReason::kRetiredCustomer:
      return "the customer is retired";
    case RefusalReason::kAlreadyCancelled:
      return "the job was cancelled";
  }
  return "refused";
}

}  // namespace

std::string CellKey(const CellId& cell) { return "cell/" + cell.str(); }

CellManager::CellManager(MemberId self, const CellOptions& options, Random random)
    : self_(std::move(self)), options_(options), random_(random) {}

void CellManager::UpdateOwnership(Now now, const LogState& state, const MembershipView& view) {
  const Configuration& configuration = *state.configuration();
  bool any_started = false;
  for (const auto& [cell, workers] : configuration.cells()) {
    const bool may_act = view.MayAct(CellKey(cell), now.monotonic);
    if (may_act && !cells_.contains(cell)) {
      StartCell(now, cell, state, view.map().epoch());
      any_started = true;
    }
  }
  for (auto it = cells_.begin(); it != cells_.end();) {
    if (view.MayAct(CellKey(it->first), now.monotonic)) {
      ++it;
      continue;
    }
    it->second.scheduler.LoseOwnership(now.monotonic);
    CollectEffects(it->first, it->second);
    counters_.Merge(it->second.scheduler.counters());
    it = cells_.erase(it);
  }
  if (any_started) {
    pending_assignments_.clear();
    AssignNewJobs(state);
  }
}

void CellManager::StartCell(Now now, const CellId& cell, const LogState& state, Epoch epoch) {
  CellScheduler scheduler(options_, Random(random_.Next()));
  OwnedCell& owned = cells_.emplace(cell, OwnedCell{std::move(scheduler), epoch, {}}).first->second;
  LoadConfiguration(now, cell, owned, state);
  // The scheduler may act at once, since ownership begins only after the authority of earlier
  // owners has ended.
  owned.scheduler.TakeOwnership(now.monotonic, epoch, now.monotonic);
  owned.scheduler.SetAuthority(now.monotonic, authority_until_);
  CollectEffects(cell, owned);
}

void CellManager::Stop(Now now) {
  for (auto& [cell, owned] : cells_) {
    owned.scheduler.LoseOwnership(now.monotonic);
  }
  cells_.clear();
  outgoing_calls_.clear();
}

void CellManager::LoadConfiguration(Now now, const CellId& cell, OwnedCell& owned,
                                    const LogState& state) {
  const Configuration& configuration = *state.configuration();
  for (const Worker& it : configuration.workers()) {
    worker_addresses_[it.name] = it.address;
  }
  for (const auto& [customer, retirement] : state.retirements().trackers()) {
    owned.scheduler.RetireCustomer(now.monotonic, customer);
  }
  owned.scheduler.ApplyTeams(now.monotonic, MakeTeamSpecs(configuration));
  owned.scheduler.ApplyWorkers(now.monotonic, MakeWorkerSpecs(cell, configuration));
  for (const auto& [job, job_state] : state.jobs()) {
    if (job_state.cell == cell) {
      ApplyJobState(now, owned, job, state);
    }
  }
}

void CellManager::OnConfiguration(Now now, const LogState& state) {
  for (auto& [cell, owned] : cells_) {
    LoadConfiguration(now, cell, owned, state);
    CollectEffects(cell, owned);
  }
  AssignNewJobs(state);
}

void CellManager::AssignNewJobs(const LogState& state) {
  const Configuration& configuration = *state.configuration();
  for (const Job& it : configuration.jobs()) {
    if (it.cancelled || state.jobs().contains(it.name)) {
      continue;
    }
    const auto cell = SelectCell(it.name, configuration);
    if (cell && cells_.contains(*cell) && pending_assignments_.insert(it.name).second) {
      job_updates_.push_back({it.name, JobEvent::kAssigned, *cell, ""});
    }
  }
}

void CellManager::OnJobsChanged(Now now, const LogState& state,
                                const std::vector<JobUpdate>& updates) {
  std::set<CellId> affected_cells;
  for (const JobUpdate& it : updates) {
    pending_assignments_.erase(it.job);
    const auto job_state = state.jobs().find(it.job);
    const CellId cell = job_state == state.jobs().end() ? it.cell : job_state->second.cell;
    if (OwnedCell* owned = FindCell(cell)) {
      ApplyJobState(now, *owned, it.job, state);
      affected_cells.insert(cell);
    }
  }
  for (const CellId& it : affected_cells) {
    CollectEffects(it, *FindCell(it));
  }
}

void CellManager::ApplyJobState(Now now, OwnedCell& owned, const JobId& job,
                                const LogState& state) {
  const auto it = state.jobs().find(job);
  const Job* configured_job = state.configuration()->Find(job);
  const bool runnable = it != state.jobs().end() && it->second.status == JobStatus::kAssigned &&
                        configured_job != nullptr;
  if (runnable) {
    AdmitJob(now, owned, *configured_job, state);
    return;
  }
  owned.scheduler.CancelJob(now.monotonic, job);
  if (it != state.jobs().end() && it->second.status == JobStatus::kCancelled) {
    owned.cancelled_jobs.insert(job);
  }
}

// A cancelled job is finished once none of its tasks can still be running.
void CellManager::FinishCancelledJobs(const CellId& cell, OwnedCell& owned) {
  if (owned.scheduler.is_recovering()) {
    return;
  }
  std::erase_if(owned.cancelled_jobs, [&](const JobId& job) {
    if (owned.scheduler.has_leftover_tasks(job)) {
      return false;
    }
    job_updates_.push_back({job, JobEvent::kFinished, cell, ""});
    return true;
  });
}

void CellManager::AdmitJob(Now now, OwnedCell& owned, const Job& job, const LogState& state) {
  const Team* team = state.configuration()->Find(job.team);
  JobSpec spec;
  spec.id = job.name;
  spec.team = job.team;
  spec.customer = team == nullptr ? CustomerId() : team->customer;
  spec.job_class = job.job_class;
  spec.tasks = static_cast<std::uint32_t>(job.tasks);
  spec.size = job.need;
  spec.expected_run_time = job.expected_run_time;
  spec.urgent = job.urgent;
  const auto refusal = owned.scheduler.AdmitJob(now.monotonic, spec);
  if (refusal && refusal->reason != RefusalReason::kAlreadyCancelled) {
    const CellId cell = state.jobs().at(job.name).cell;
    job_updates_.push_back({job.name, JobEvent::kRejected, cell, DescribeRefusal(*refusal)});
  }
}

void CellManager::SetAuthority(Now now, Time valid_until) {
  if (valid_until == authority_until_) {
    return;
  }
  authority_until_ = valid_until;
  for (auto& [cell, owned] : cells_) {
    owned.scheduler.SetAuthority(now.monotonic, valid_until);
    CollectEffects(cell, owned);
  }
}

bool CellManager::OnWorkerAnswered(Now now, const node_event::WorkerAnswered& answer) {
  const auto it = pending_calls_.find(answer.token);
  if (it == pending_calls_.end()) {
    return false;
  }
  const PendingCall call = it->second;
  pending_calls_.erase(it);
  OwnedCell* owned = FindCell(call.cell);
  if (owned == nullptr) {
    return true;
  }
  try {
    if (answer.status != kStatusOk) {
      throw DecodeError("status " + std::to_string(answer.status));
    }
    const auto json = nlohmann::json::parse(answer.body);
    if (call.reads_state) {
      owned->scheduler.OnWorkerState(now.monotonic, call.worker, json.get<WorkerState>());
    } else {
      owned->scheduler.OnCommandResult(now.monotonic, call.command, json.get<CommandResult>());
    }
    counters_.Add("cactusshelf_worker_calls_total", "answered");
  } catch (const std::exception&) {
    // An unreadable answer does not show whether the command took effect, so the command counts as
    // lost.
    counters_.Add("cactusshelf_worker_calls_total", "unreadable_answer");
    owned->scheduler.OnCommandLost(now.monotonic, call.command);
  }
  CollectEffects(call.cell, *owned);
  return true;
}

bool CellManager::OnWorkerFailed(Now now, WorkerCallToken token) {
  const auto it = pending_calls_.find(token);
  if (it == pending_calls_.end()) {
    return false;
  }
  const PendingCall call = it->second;
  pending_calls_.erase(it);
  counters_.Add("cactusshelf_worker_calls_total", "failed");
  if (OwnedCell* owned = FindCell(call.cell)) {
    owned->scheduler.OnCommandLost(now.monotonic, call.command);
    CollectEffects(call.cell, *owned);
  }
  return true;
}

void CellManager::OnTimer(Now now) {
  for (auto& [cell, owned] : cells_) {
    const auto wakeup = owned.scheduler.NextWakeup();
    if (wakeup && *wakeup <= now.monotonic) {
      owned.scheduler.OnTimer(now.monotonic);
      CollectEffects(cell, owned);
    }
  }
}

void CellManager::CollectEffects(const CellId& cell, OwnedCell& owned) {
  FinishCancelledJobs(cell, owned);
  for (CellEffect& effect : owned.scheduler.TakeEffects()) {
    const auto handle = [&](auto& it) {
      using Effect = std::decay_t<decltype(it)>;
      if constexpr (std::is_same_v<Effect, JobFinished>) {
        job_updates_.push_back({it.job, JobEvent::kFinished, cell, ""});
      } else if constexpr (std::is_same_v<Effect, JobRefused>) {
        const JobRefusal refusal{RefusalReason::kTooLargeForWorkers, it.limiting_resource};
        job_updates_.push_back({it.job, JobEvent::kRejected, cell, DescribeRefusal(refusal)});
      } else {
        AddWorkerCall(cell, WorkerCommand(std::move(it)));
      }
    };
    std::visit(handle, effect);
  }
}

void CellManager::AddWorkerCall(const CellId& cell, const WorkerCommand& command) {
  const CommandHeader& header = HeaderOf(command);
  const bool reads_state = std::holds_alternative<ReadState>(command);
  const WorkerCallToken token{++last_token_};
  pending_calls_.emplace(token, PendingCall{cell, header.id, header.worker, reads_state});
  node_effect::CallWorker call;
  call.token = token;
  call.address = worker_addresses_[header.worker];
  call.body = reads_state ? std::string() : nlohmann::json(command).dump();
  call.timeout = kWorkerCallTimeout;
  call.valid_until = header.valid_until;
  outgoing_calls_.push_back(std::move(call));
}

std::vector<node_effect::CallWorker> CellManager::TakeCalls() {
  return std::exchange(outgoing_calls_, {});
}

std::vector<JobUpdate> CellManager::TakeUpdates() { return std::exchange(job_updates_, {}); }

std::optional<Attest::Cell> CellManager::CellEvidence(Now now, const CellId& cell,
                                                      const CustomerId& customer, Epoch epoch,
                                                      const MembershipView& view) {
  OwnedCell* owned = FindCell(cell);
  if (owned == nullptr) {
    return std::nullopt;
  }
  if (owned->epoch < epoch) {
    // Evidence of an older epoch is not sufficient, since a later owner may have acted after it.
    owned->epoch = view.map().epoch();
    owned->scheduler.TakeOwnership(now.monotonic, owned->epoch, now.monotonic);
    owned->scheduler.SetAuthority(now.monotonic, authority_until_);
    CollectEffects(cell, *owned);
    return std::nullopt;
  }
  const bool workers_visited =
      !owned->scheduler.is_recovering() && owned->scheduler.unvisited_workers().empty();
  if (!workers_visited || owned->scheduler.customer_task_count(customer) != 0) {
    return std::nullopt;
  }
  return Attest::Cell{cell, owned->epoch, 0, true};
}

CellManager::OwnedCell* CellManager::FindCell(const CellId& cell) {
  const auto it = cells_.find(cell);
  return it == cells_.end() ? nullptr : &it->second;
}

std::optional<Time> CellManager::NextWakeup() const {
  std::optional<Time> next;
  for (const auto& [cell, owned] : cells_) {
    const auto wakeup = owned.scheduler.NextWakeup();
    if (wakeup && (!next || *wakeup < *next)) {
      next = wakeup;
    }
  }
  return next;
}

void CellManager::MergeCounters(Counters& counters) const {
  counters.Merge(counters_);
  for (const auto& [cell, owned] : cells_) {
    counters.Merge(owned.scheduler.counters());
  }
}

std::vector<CellManager::CellStatus> CellManager::Status() const {
  std::vector<CellStatus> status;
  for (const auto& [cell, owned] : cells_) {
    status.push_back({cell, owned.epoch, owned.scheduler.is_recovering(),
                      owned.scheduler.waiting_jobs(), owned.scheduler.unvisited_workers().size()});
  }
  return status;
}

}  // namespace cactusshelf
