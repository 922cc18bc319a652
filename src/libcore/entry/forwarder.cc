#include "ryefold/core/entry/forwarder.h"

#include <utility>

#include "forwarder_impl.h"

namespace ryefold::core::entry {

Forwarder::Forwarder(Ranking ranking, ForwarderTiming timing, uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(ranking), timing, seed)) {}

Forwarder::~Forwarder() = default;

void Forwarder::Handle(TimePoint now, const Event& event,
                       std::vector<Action>* actions) {
  impl_->Handle(now, event, actions);
}

TimePoint Forwarder::next_deadline() const { return impl_->next_deadline(); }

size_t Forwarder::in_progress() const { return impl_->in_progress(); }

std::string TransactionKeeper(const std::string& transaction) {
  return transaction.substr(0, transaction.find('~'));
}

}  // namespace ryefold::core::entry
