#include "ryefold/core/session/adopted_sessions.h"

namespace ryefold::core::session {

AdoptedSessions::AdoptedStatement AdoptedSessions::Register(
    const std::string& session, bool in_transaction) {
  AdoptedStatement adopted;
  const auto existing = by_session_.find(session);
  if (existing != by_session_.end() && !in_transaction) {
    adopted.superseded_caller = existing->second;
    Erase(adopted.superseded_caller);
  } else if (existing != by_session_.end()) {
    adopted.caller = existing->second;
  }
  if (adopted.caller == 0) adopted.caller = ++last_caller_;
  adopted.statement = ++last_statement_;
  by_session_[session] = adopted.caller;
  by_caller_[adopted.caller] = {session, adopted.statement};
  return adopted;
}

bool AdoptedSessions::IsNewestStatement(CallerId caller,
                                        uint64_t statement) const {
  const auto found = by_caller_.find(caller);
  return found != by_caller_.end() && found->second.statement == statement;
}

std::optional<CallerId> AdoptedSessions::Find(
    const std::string& session) const {
  const auto found = by_session_.find(session);
  if (found == by_session_.end()) return std::nullopt;
  return found->second;
}

void AdoptedSessions::Erase(CallerId caller) {
  const auto found = by_caller_.find(caller);
  if (found == by_caller_.end()) return;
  by_session_.erase(found->second.session);
  by_caller_.erase(found);
}

}  // namespace ryefold::core::session
