#include "cactusshelf/placement/cell_scheduler.h"

#include <utility>

#include "cell_scheduler_impl.h"

namespace cactusshelf {

CellScheduler::CellScheduler(CellOptions options, Random random)
    : impl_(std::make_unique<Impl>(options, random)) {}
CellScheduler::~CellScheduler() = default;
CellScheduler::CellScheduler(CellScheduler&&) noexcept = default;
CellScheduler& CellScheduler::operator=(CellScheduler&&) noexcept = default;

void CellScheduler::TakeOwnership(Time now, Epoch epoch, Time old_authority_end) {
  impl_->TakeOwnership(now, epoch, old_authority_end);
}

void CellScheduler::LoseOwnership(Time) { impl_->LoseOwnership(); }

void CellScheduler::SetAuthority(Time now, Time valid_until) {
  impl_->SetAuthority(now, valid_until);
}

void CellScheduler::ApplyWorkers(Time now, std::vector<WorkerSpec> workers) {
  impl_->ApplyWorkers(now, std::move(workers));
}

void CellScheduler::ApplyTeams(Time now, const std::vector<TeamSpec>& teams) {
  impl_->ApplyTeams(now, teams);
}

std::optional<JobRefusal> CellScheduler::AdmitJob(Time now, const JobSpec& job) {
  return impl_->AdmitJob(now, job);
}

void CellScheduler::CancelJob(Time now, const JobId& job) { impl_->CancelJob(now, job); }

void CellScheduler::RetireCustomer(Time now, const CustomerId& customer) {
  impl_->RetireCustomer(now, customer);
}

void CellScheduler::OnCommandResult(Time now, const CommandId& id, const CommandResult& result) {
  impl_->OnCommandResult(now, id, result);
}

void CellScheduler::OnCommandLost(Time now, const CommandId& id) { impl_->OnCommandLost(now, id); }

void CellScheduler::OnWorkerState(Time now, const WorkerId& worker, const WorkerState& state) {
  impl_->OnWorkerState(now, worker, state);
}

void CellScheduler::OnTimer(Time now) { impl_->OnTimer(now); }

std::vector<CellEffect> CellScheduler::TakeEffects() { return impl_->TakeEffects(); }

std::optional<Time> CellScheduler::NextWakeup() const { return impl_->NextWakeup(); }

const Counters& CellScheduler::counters() const { return impl_->counters(); }

std::uint64_t CellScheduler::customer_task_count(const CustomerId& customer) const {
  return impl_->CustomerTaskCount(customer);
}

bool CellScheduler::has_leftover_tasks(const JobId& job) const {
  return impl_->HasLeftoverTasks(job);
}

bool CellScheduler::is_recovering() const { return impl_->is_recovering(); }

std::vector<WorkerId> CellScheduler::unvisited_workers() const { return impl_->UnvisitedWorkers(); }

std::uint64_t CellScheduler::waiting_jobs() const { return impl_->WaitingJobs(); }

Resources CellScheduler::committed(const WorkerId& worker) const {
  return impl_->Committed(worker);
}

}  // namespace cactusshelf
