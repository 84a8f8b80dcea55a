#include "cactusshelf/jobs/job_node.h"

#include "job_node_impl.h"

namespace cactusshelf::jobs {

JobNode::JobNode(const JobNodeOptions& options, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(options, seed)) {}

JobNode::~JobNode() = default;

void JobNode::Start(const Now& now) { impl_->Start(now); }

void JobNode::Handle(const Now& now, JobEvent event) { impl_->Handle(now, std::move(event)); }

std::vector<JobEffect> JobNode::TakeEffects() { return impl_->TakeEffects(); }

std::optional<Time> JobNode::NextWakeup() const { return impl_->NextWakeup(); }

bool JobNode::ready(Time now) const { return impl_->ready(now); }

bool JobNode::is_owner() const { return impl_->is_owner(); }

std::string JobNode::Metrics() const { return impl_->Metrics(); }

}  // namespace cactusshelf::jobs
