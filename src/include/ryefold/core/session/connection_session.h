#pragma once

// Variables and prepared statements that a database connection holds.
//
// A database answers the calls of a batch one by one, and runs a statement
// although it refused the call before it. What a connection holds is therefore
// recorded by the database's answers only, and a statement is sent once all
// variables of its session have been confirmed.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "ryefold/core/session/statement.h"

namespace ryefold::core::session {

/// Session variables by name.
using Variables = std::map<std::string, std::string>;

/// A prepared statement as sent to databases. Callers may use the same name for
/// different statements, so each distinct statement gets a number, from which
/// its name on connections is derived.
struct Prepared {
  uint64_t number = 0;
  bool writes = false;
  std::string shape;
};
using PreparedRef = std::shared_ptr<const Prepared>;

/// Returns the statement's name on connections.
std::string PreparedName(const Prepared& prepared);

/// Calls that bring a connection to the state of a session.
struct SessionCalls {
  std::vector<BackendCall> calls;
  /// The statement must not be sent before all calls are confirmed. False if
  /// there are only prepared statements: a database that does not know the name
  /// rejects the statement itself.
  bool confirm_first = false;
};

class ConnectionSession {
 public:
  /// Returns the calls that are missing for a statement of a session with
  /// `variables`, which executes `prepared` unless that is null, and expects
  /// their answers. All earlier calls must have been answered.
  SessionCalls IssueCalls(const Variables& variables, const Prepared* prepared,
                          bool in_transaction);

  /// Records the answer to the oldest unanswered call. A refused call may have
  /// taken effect.
  void OnAnswer(bool accepted);

  /// Whether the variables are confirmed to be these.
  bool HasVariables(const Variables& variables) const;
  bool HasPrepared(const Prepared& prepared) const {
    return prepared_.count(prepared.number) > 0;
  }
  /// The database does not know a prepared statement that it had confirmed.
  void ForgetPrepared() { prepared_.clear(); }

  size_t unanswered() const { return unanswered_.size(); }
  /// Number of calls refused since the variables of a session were last
  /// confirmed.
  uint32_t refusals() const { return refusals_; }

 private:
  struct Call {
    CallKind kind = CallKind::kSet;
    std::string name;
    std::string value;
    uint64_t prepared = 0;
  };

  /// Nullopt for a variable whose value is unknown.
  std::map<std::string, std::optional<std::string>> variables_;
  std::set<uint64_t> prepared_;
  std::deque<Call> unanswered_;
  uint32_t refusals_ = 0;
};

}  // namespace ryefold::core::session
