#include "ryefold/core/session/connection_session.h"

#include <algorithm>
#include <utility>

namespace ryefold::core::session {
namespace {

/// Prepared statements on one connection before it is reset. Databases store
/// them in memory per connection.
constexpr size_t kMaxPreparedPerConnection = 100;
constexpr const char* kPreparedPrefix = "p";

}  // namespace

std::string PreparedName(const Prepared& prepared) {
  std::string name = kPreparedPrefix;
  name.append(std::to_string(prepared.number));
  return name;
}

SessionCalls ConnectionSession::IssueCalls(const Variables& variables,
                                           const Prepared* prepared,
                                           bool in_transaction) {
  SessionCalls result;
  const auto add = [this, &result](const Call& call, BackendCall sent) {
    sent.kind = call.kind;
    unanswered_.push_back(call);
    result.calls.push_back(std::move(sent));
  };
  const bool has_foreign_variable = std::any_of(
      variables_.begin(), variables_.end(), [&variables](const auto& entry) {
        return variables.count(entry.first) == 0;
      });
  const bool full = prepared_.size() > kMaxPreparedPerConnection;
  const bool discard = has_foreign_variable || (full && !in_transaction);
  if (discard) {
    add({CallKind::kDiscard, "", "", 0}, BackendCall());
    for (auto& [name, value] : variables_) value.reset();
  }
  for (const auto& [name, value] : variables) {
    std::optional<std::string>& held = variables_[name];
    if (!discard && held == value) continue;
    held.reset();
    BackendCall set;
    set.name = name;
    set.text = value;
    add({CallKind::kSet, name, value, 0}, std::move(set));
  }
  result.confirm_first = !result.calls.empty();
  if (!result.confirm_first) refusals_ = 0;
  if (prepared == nullptr) return result;
  if (!discard && HasPrepared(*prepared)) return result;
  BackendCall prepare;
  prepare.name = PreparedName(*prepared);
  prepare.text = prepared->shape;
  prepare.writes = prepared->writes;
  add({CallKind::kPrepare, "", "", prepared->number}, std::move(prepare));
  return result;
}

void ConnectionSession::OnAnswer(bool accepted) {
  if (unanswered_.empty()) return;
  const Call call = std::move(unanswered_.front());
  unanswered_.pop_front();
  if (!accepted) {
    ++refusals_;
    if (call.kind == CallKind::kSet) variables_[call.name].reset();
    if (call.kind == CallKind::kDiscard) prepared_.clear();
    return;
  }
  switch (call.kind) {
    case CallKind::kDiscard:
      variables_.clear();
      prepared_.clear();
      break;
    case CallKind::kSet:
      variables_[call.name] = call.value;
      break;
    default:
      prepared_.insert(call.prepared);
      break;
  }
}

bool ConnectionSession::HasVariables(const Variables& variables) const {
  return std::equal(variables_.begin(), variables_.end(), variables.begin(),
                    variables.end(), [](const auto& held, const auto& wanted) {
                      return held.first == wanted.first &&
                             held.second == wanted.second;
                    });
}

}  // namespace ryefold::core::session
