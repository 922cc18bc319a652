#pragma once

// Sessions of other instances that have statements in flight at this keeper.

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "ryefold/core/session/port.h"

namespace ryefold::core::session {

/// Assigns each adopted session a caller id and numbers its statements, so that
/// the end of an earlier stream does not cancel a later statement of the same
/// session.
class AdoptedSessions {
 public:
  struct AdoptedStatement {
    CallerId caller = 0;
    /// Number of this statement, unique among all adopted statements.
    uint64_t statement = 0;
    /// Caller to be closed first: the other instance dropped its session
    /// without notification. 0 if none.
    CallerId superseded_caller = 0;
  };

  /// Registers a forwarded statement of `session`.
  AdoptedStatement Register(const std::string& session, bool in_transaction);
  /// Returns whether `statement` is the caller's most recent one.
  bool IsNewestStatement(CallerId caller, uint64_t statement) const;
  std::optional<CallerId> Find(const std::string& session) const;
  void Erase(CallerId caller);

 private:
  struct Adopted {
    std::string session;
    uint64_t statement = 0;
  };
  /// Starts above the ids of an instance's own callers.
  CallerId last_caller_ = CallerId{1} << 48;
  uint64_t last_statement_ = 0;
  std::unordered_map<std::string, CallerId> by_session_;
  std::unordered_map<CallerId, Adopted> by_caller_;
};

}  // namespace ryefold::core::session
