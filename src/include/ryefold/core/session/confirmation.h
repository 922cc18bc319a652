#pragma once

// When a commit may be acknowledged.
//
// A primary acknowledges a commit once its own log holds it. If the primary
// fails before a replica has received the commit, the next promotion discards
// it, and a caller loses data that was reported as committed.

#include <cstddef>
#include <memory>
#include <string_view>
#include <vector>

#include "ryefold/core/types.h"

namespace ryefold::core::session {

class Confirmation {
 public:
  virtual ~Confirmation() = default;
  /// Returns whether the rule is met for a commit at `position`: whether it
  /// survives the loss of its primary to the degree that the rule requires.
  /// `received` are the positions that replicas of the group are known to have
  /// received, applied or not.
  virtual bool IsSatisfied(const LogPosition& position,
                           const std::vector<LogPosition>& received) const = 0;
  /// Number of databases, including the primary, that hold a commit when it is
  /// acknowledged.
  virtual size_t required_copies() const = 0;
  /// Short name for logs and settings.
  virtual std::string_view name() const = 0;
};

/// The primary's acknowledgement is sufficient. For databases that replicate
/// synchronously, and for callers that prefer a lost commit over a failed
/// write.
class ConfirmedByPrimary : public Confirmation {
 public:
  bool IsSatisfied(const LogPosition& position,
                   const std::vector<LogPosition>& received) const override;
  size_t required_copies() const override { return 1; }
  std::string_view name() const override { return "primary"; }
};

/// One replica has received the commit in the term in which it was written. The
/// replica that has received the most is promoted, so the commit survives any
/// single failure. A position of another term proves nothing, since the log may
/// have been truncated in between.
class ConfirmedByReplica : public Confirmation {
 public:
  bool IsSatisfied(const LogPosition& position,
                   const std::vector<LogPosition>& received) const override;
  size_t required_copies() const override { return 2; }
  std::string_view name() const override { return "replica"; }
};

/// Returns the rule with this name, or null if there is none.
std::unique_ptr<Confirmation> MakeConfirmation(std::string_view name);

}  // namespace ryefold::core::session
