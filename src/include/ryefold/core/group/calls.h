#pragma once

// Control calls that are waiting for their answers.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ryefold/core/group/keeper.h"

namespace ryefold::core::group {

/// Why a control call was made.
enum class CallPurpose : uint8_t {
  kStatus,  ///< The status call that waits inside a database.
  kProbe,   ///< An immediate one, part of a round that vouches for the term.
  kAdopt,
  kPromote,
  kFollow,
  kSettle,
};

/// One control call without an answer yet.
struct PendingCall {
  std::string database;
  CallPurpose purpose = CallPurpose::kStatus;
  TimePoint sent;
  TimePoint deadline;
  /// Term of an adopt, promote, follow or settle call.
  uint64_t term = 0;
  /// Request that a settle call is made for.
  RequestTag tag = 0;
};

/// Table of unanswered control calls. An answer to a call that is not in the
/// table any more came too late and is dropped, so a call that was given up
/// can never be answered twice.
class CallTable {
 public:
  /// Records the call and appends it to `actions`.
  void Send(PendingCall call, ControlCall request,
            std::vector<Action>* actions);

  /// Removes and returns the call, nothing when it was given up before.
  std::optional<PendingCall> Take(CallId id);

  /// Removes and returns every call whose deadline has come.
  std::vector<PendingCall> TakeExpired(TimePoint now);

  void Clear() { calls_.clear(); }
  bool empty() const { return calls_.empty(); }
  TimePoint next_deadline() const;

 private:
  std::map<CallId, PendingCall> calls_;
  CallId next_id_ = 1;
};

}  // namespace ryefold::core::group
