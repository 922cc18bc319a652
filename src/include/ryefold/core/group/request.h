#pragma once

// A request that the keeper has not answered yet.

#include <optional>
#include <string>

#include "ryefold/core/group/keeper.h"
#include "ryefold/core/group/reads.h"

namespace ryefold::core::group {

enum class RequestState : uint8_t {
  kQueued,
  kRunning,     ///< Its call is in flight.
  kConfirming,  ///< Has run; waits until a majority holds its entry.
  kFencing,     ///< Is fenced; waits until a majority holds the fence.
  kInDoubt,  ///< Its answer was lost; a settle call to the primary resolves it.
};

struct PendingRequest {
  RequestTag tag = 0;
  StatementRequest request;
  RequestState state = RequestState::kQueued;
  /// Only asks for the outcome of an earlier request.
  bool settle_only = false;
  /// A previous attempt may have run, so "not run" requires a fence.
  bool may_have_run = false;
  /// A promotion discarded the entry written by this request.
  bool discarded = false;
  /// Its ticket may still be in the queue.
  bool queued = false;
  /// Term of the last attempt, and the lowest term for the next one.
  uint64_t sent_term = 0;
  uint64_t min_term = 0;
  /// Routing needs of a read.
  ReadState read;
  /// Connection and database of the current or last attempt.
  ConnectionId connection = 0;
  std::string database;
  /// Result and log entry to confirm, or the fence.
  std::string result_json;
  LogPosition position;
  SettleAnswer fence;
  /// When the wait for a majority started.
  TimePoint confirming_since;

  bool in_transaction() const { return !request.transaction.empty(); }
  bool is_begin() const { return request.step == Step::kBegin; }
  /// Whether only the primary can serve it.
  bool needs_primary() const {
    return request.step != Step::kStatement || in_transaction() ||
           request.kind == StatementKind::kWrite;
  }
  /// Whether it writes a log entry that has to be confirmed.
  bool needs_confirmation() const {
    if (request.step == Step::kCommit) return true;
    return request.step == Step::kStatement && !in_transaction() &&
           request.kind == StatementKind::kWrite;
  }
};

}  // namespace ryefold::core::group
