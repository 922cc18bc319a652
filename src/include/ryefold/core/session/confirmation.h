#pragma once

// When a commit may be acknowledged.
//
// A primary acknowledges a commit as soon as its own log has it. If it is lost
// before a replica has received the commit, the promotion that follows discards
// it, and a caller who was told that the work is saved finds it gone.

#include <cstddef>
#include <memory>
#include <string_view>
#include <vector>

#include "ryefold/core/types.h"

namespace ryefold::core::session {

class Confirmation {
 public:
  virtual ~Confirmation() = default;
  /// Whether a commit at `position` outlives the loss of its primary as far as
  /// this rule asks for it. `received` are the positions that replicas of the
  /// group are known to have received, applied or not.
  virtual bool Holds(const LogPosition& position,
                     const std::vector<LogPosition>& received) const = 0;
  /// On how many databases, the primary included, a commit is known to be
  /// when it is acknowledged.
  virtual size_t copies() const = 0;
  /// Short name for logs and settings.
  virtual std::string_view name() const = 0;
};

/// The primary's word is enough: for databases that wait for a replica
/// themselves, and for callers who would rather lose a commit than a write.
class ConfirmedByPrimary : public Confirmation {
 public:
  bool Holds(const LogPosition& position,
             const std::vector<LogPosition>& received) const override;
  size_t copies() const override { return 1; }
  std::string_view name() const override { return "primary"; }
};

/// One replica has received the commit under the term it was written in. The
/// replica that has received the most is promoted, so it survives any single
/// failure. Positions of another term prove nothing: the log may have been cut
/// back in between.
class ConfirmedByReplica : public Confirmation {
 public:
  bool Holds(const LogPosition& position,
             const std::vector<LogPosition>& received) const override;
  size_t copies() const override { return 2; }
  std::string_view name() const override { return "replica"; }
};

/// The rule with this name; null when there is none.
std::unique_ptr<Confirmation> MakeConfirmation(std::string_view name);

}  // namespace ryefold::core::session
