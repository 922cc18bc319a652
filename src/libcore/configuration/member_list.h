#pragma once

// The platform's member list at one version, merged with notices received from
// peers.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "ryefold/core/configuration/messages.h"
#include "ryefold/core/membership/instance.h"
#include "ryefold/core/types.h"

namespace ryefold::core::configuration {

/// Each entry stores the list version at which its change was observed, so that
/// a peer receives only what changed after its own version. If a full list is
/// read late, the version may be too high; then entries are sent more often
/// than necessary but never lost.
class MemberList {
 public:
  uint64_t version() const { return version_; }
  /// Returns whether the list, without notices, contains exactly this member.
  bool IsListed(const membership::Member& member) const;

  /// Replaces the list with the platform's. Returns true if anything changed.
  bool Replace(uint64_t version,
               const std::vector<membership::Member>& members);
  /// Returns the changes after `version`, or the full list if `version` is too
  /// old.
  MemberBlock ChangesSince(uint64_t version) const;
  /// Merges a block sent by a peer at list version `version`. Returns true if
  /// anything changed.
  bool Merge(uint64_t version, const MemberBlock& block);

  /// Stores a notice for a limited time. Returns true if it is new.
  bool ApplyNotice(TimePoint now, const Notice& notice);
  /// Removes expired notices. Returns true if one of them differed from the
  /// list.
  bool ExpireNotices(TimePoint now);
  TimePoint next_expiry() const { return next_expiry_; }

  /// Returns the list with notices applied, ordered by name.
  std::map<std::string, membership::Member> MergedMembers() const;

 private:
  struct Entry {
    membership::Member member;
    uint64_t change_version = 0;
  };
  struct ActiveNotice {
    Notice notice;
    TimePoint expires_at;
  };

  bool Remove(uint64_t change_version, const std::string& name);
  bool Put(uint64_t change_version, const membership::Member& member);
  void TrimRemovals();

  uint64_t version_ = 0;
  std::map<std::string, Entry> entries_;
  std::map<std::string, uint64_t> removed_;
  /// Removals at or below this version are no longer stored.
  uint64_t trimmed_through_ = 0;
  std::map<std::string, ActiveNotice> notices_;
  TimePoint next_expiry_ = TimePoint::max();
};

}  // namespace ryefold::core::configuration
