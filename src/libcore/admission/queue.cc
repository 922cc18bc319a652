#include "ryefold/core/admission/queue.h"

#include <utility>

#include "queue_impl.h"

namespace ryefold::core::admission {

Queue::Queue(const std::vector<WorkspacePolicy>& workspaces, uint32_t limit,
             uint64_t seed, const WorkEstimator* work)
    : impl_(std::make_unique<Impl>(seed, work)) {
  impl_->SetPolicies(workspaces, limit);
}

Queue::~Queue() = default;

void Queue::SetPolicies(const std::vector<WorkspacePolicy>& workspaces,
                        uint32_t limit) {
  impl_->SetPolicies(workspaces, limit);
}

std::vector<Refusal> Queue::Push(TimePoint now, Ticket ticket) {
  return impl_->Push(now, std::move(ticket));
}

std::optional<Ticket> Queue::Pop(
    TimePoint now, const std::function<bool(const Ticket&)>& can_run) {
  return impl_->Pop(now, can_run);
}

std::vector<Refusal> Queue::Expire(TimePoint now) { return impl_->Expire(now); }

bool Queue::Remove(uint64_t tag) { return impl_->Remove(tag); }

std::vector<Refusal> Queue::Drop(
    TimePoint now, Reason reason,
    const std::function<bool(const Ticket&)>& drop) {
  return impl_->Drop(now, reason, drop);
}

void Queue::SetStatementsRunning(TimePoint now, bool running) {
  impl_->SetStatementsRunning(now, running);
}

void Queue::SetDrainRate(double per_second) { impl_->SetDrainRate(per_second); }

void Queue::RecordFinished(TimePoint now) { impl_->RecordFinished(now); }

std::chrono::milliseconds Queue::expected_wait(
    TimePoint now, const std::string& workspace) const {
  return impl_->ExpectedWait(now, workspace);
}

std::vector<uint32_t> Queue::short_classes(TimePoint now) const {
  return impl_->ShortClasses(now);
}

size_t Queue::size() const { return impl_->size(); }

std::vector<std::string> Queue::waiting_workspaces() const {
  return impl_->WaitingWorkspaces();
}

TimePoint Queue::next_deadline() const { return impl_->next_deadline(); }

}  // namespace ryefold::core::admission
