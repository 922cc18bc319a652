#pragma once

// Table of control calls in flight.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ryefold/core/group/keeper.h"

namespace ryefold::core::group {

/// Why a control call was made.
enum class CallPurpose : uint8_t {
  kStatus,  ///< Long-polling status call of the health monitor.
  kProbe,   ///< Immediate status call, also used for heartbeat rounds.
  kAdopt,
  kPromote,
  kFollow,
  kSettle,
};

/// A control call in flight.
struct PendingCall {
  std::string database;
  CallPurpose purpose = CallPurpose::kStatus;
  TimePoint sent;
  TimePoint deadline;
  /// Term of an adopt, promote, follow or settle call.
  uint64_t term = 0;
  /// Request that a settle call resolves.
  RequestTag tag = 0;
};

/// Control calls in flight, by id. A call leaves the table when it is answered
/// or expires; answers to calls that are no longer in it are dropped, so no
/// call completes twice.
class CallTable {
 public:
  /// Registers the call and appends the matching `Control` action to `actions`.
  void Send(PendingCall call, ControlCall request,
            std::vector<Action>* actions);

  /// Removes and returns the call. Returns nullopt if it has expired or is
  /// unknown.
  std::optional<PendingCall> Take(CallId id);

  /// Removes and returns every call whose deadline has passed.
  std::vector<PendingCall> TakeExpired(TimePoint now);

  void Clear() { calls_.clear(); }
  bool empty() const { return calls_.empty(); }
  TimePoint next_deadline() const;

 private:
  std::map<CallId, PendingCall> calls_;
  CallId next_id_ = 1;
};

}  // namespace ryefold::core::group
