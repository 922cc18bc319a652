#pragma once

// What a database is used for by one instance: calls and their response times
// by kind.

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace ryefold::core::session {

/// Kinds of calls that occupy a slot of a database.
enum class CallUse : uint8_t {
  kStatement,    ///< A single statement of a caller.
  kTransaction,  ///< A read, write or commit inside a transaction.
  kHedge,        ///< A further attempt of a read that is still unanswered.
  kBusy,         ///< Rejected because the database's queue was full.
  kBehind,       ///< Rejected because the log lacks the position.
  kOpen,         ///< A connection being opened.
  kStatus,       ///< A status call of the proxy.
};
inline constexpr size_t kCallUses = 7;

/// Name of the kind in logs and metrics.
std::string_view CallUseName(CallUse use);

/// Totals since the start of the process.
class CallStatistics {
 public:
  struct Total {
    uint64_t calls = 0;
    /// Sum of the response times, including time queued at the database.
    std::chrono::microseconds time{0};
  };

  void Record(CallUse use, std::chrono::microseconds response_time);
  const Total& total(CallUse use) const {
    return totals_[static_cast<size_t>(use)];
  }
  /// Number of calls of all kinds.
  uint64_t calls() const;

 private:
  std::array<Total, kCallUses> totals_;
};

}  // namespace ryefold::core::session
