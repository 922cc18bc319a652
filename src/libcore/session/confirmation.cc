#include "ryefold/core/session/confirmation.h"

#include <algorithm>

namespace ryefold::core::session {

bool ConfirmedByPrimary::IsSatisfied(
    const LogPosition& /*position*/,
    const std::vector<LogPosition>& /*received*/) const {
  return true;
}

bool ConfirmedByReplica::IsSatisfied(
    const LogPosition& position,
    const std::vector<LogPosition>& received) const {
  return std::any_of(
      received.begin(), received.end(), [&position](const LogPosition& each) {
        return each.term == position.term && each.index >= position.index;
      });
}

std::unique_ptr<Confirmation> MakeConfirmation(std::string_view name) {
  if (name == "primary") return std::make_unique<ConfirmedByPrimary>();
  if (name == "replica") return std::make_unique<ConfirmedByReplica>();
  return nullptr;
}

}  // namespace ryefold::core::session
