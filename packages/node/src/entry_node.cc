#include "cactusshelf/node/entry_node.h"

#include <utility>

#include "entry_node_impl.h"

namespace cactusshelf {

EntryNode::EntryNode(NodeOptions options, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(options), seed)) {}

EntryNode::~EntryNode() = default;

void EntryNode::Start(const Now& now) { impl_->Start(now); }

void EntryNode::Handle(const Now& now, const NodeEvent& event) { impl_->Handle(now, event); }

std::vector<NodeEffect> EntryNode::TakeEffects() { return impl_->TakeEffects(); }

std::optional<Time> EntryNode::NextWakeup() const { return impl_->NextWakeup(); }

bool EntryNode::ready() const { return impl_->ready(); }

std::string EntryNode::Status(const Now& now) const { return impl_->Status(now); }

std::string EntryNode::Metrics() const { return impl_->Metrics(); }

}  // namespace cactusshelf
