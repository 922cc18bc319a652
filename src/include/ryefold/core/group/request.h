#pragma once

// One request that a keeper has not answered yet.

#include <optional>
#include <string>

#include "ryefold/core/group/keeper.h"
#include "ryefold/core/group/reads.h"

namespace ryefold::core::group {

enum class RequestState : uint8_t {
  kQueued,
  kRunning,     ///< Its call is unanswered on a connection.
  kConfirming,  ///< Ran; waits for a majority to hold it.
  kFencing,     ///< Fenced; waits for a majority to hold the fence.
  kInDoubt,     ///< Its answer was lost; the primary is asked about it.
};

struct PendingRequest {
  RequestTag tag = 0;
  StatementRequest request;
  RequestState state = RequestState::kQueued;
  /// Only asks what became of an earlier request.
  bool settle_only = false;
  /// An earlier sending may have run: "not run" needs a fence.
  bool may_have_run = false;
  /// A promotion discarded the entry that it wrote.
  bool discarded = false;
  /// Its ticket may be in the queue.
  bool queued = false;
  /// Term under which it was sent last, and below which it is not sent again.
  uint64_t sent_term = 0;
  uint64_t min_term = 0;
  /// Routing needs of a read.
  ReadState read;
  /// Connection and database it runs on, or ran on last.
  ConnectionId connection = 0;
  std::string database;
  /// The result and entry to confirm, or the fence.
  std::string result_json;
  LogPosition position;
  SettleAnswer fence;
  /// When the wait for the majority began.
  TimePoint confirming_since;

  bool in_transaction() const { return !request.transaction.empty(); }
  bool is_begin() const { return request.step == Step::kBegin; }
  /// Only the primary can serve it.
  bool needs_primary() const {
    return request.step != Step::kStatement || in_transaction() ||
           request.kind == StatementKind::kWrite;
  }
  /// Leaves something in the log that has to be confirmed.
  bool needs_confirmation() const {
    if (request.step == Step::kCommit) return true;
    return request.step == Step::kStatement && !in_transaction() &&
           request.kind == StatementKind::kWrite;
  }
};

}  // namespace ryefold::core::group
