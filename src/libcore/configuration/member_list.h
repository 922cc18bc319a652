#pragma once

// The platform's list of members at one version, with what peers have told of
// themselves ahead of it.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "ryefold/core/configuration/messages.h"
#include "ryefold/core/membership/instance.h"
#include "ryefold/core/types.h"

namespace ryefold::core::configuration {

/// Each entry remembers the list version at which it was seen to change, so
/// that a peer gets just what changed since its own version. Entries of a full
/// list read late carry a version that is too high at worst, which sends them
/// once more than needed and never loses one.
class MemberList {
 public:
  uint64_t version() const { return version_; }
  /// Whether the list itself, without notices, says this of the member.
  bool Lists(const membership::Member& member) const;

  /// Takes the platform's own list; true when anything changed.
  bool Replace(uint64_t version, const std::vector<membership::Member>& all);
  /// What a peer at `version` lacks.
  MemberBlock Since(uint64_t version) const;
  /// Takes what a peer at list version `version` has sent.
  bool Merge(uint64_t version, const MemberBlock& block);

  /// Keeps a notice for a while; true when it was new.
  bool Take(TimePoint now, const Notice& notice);
  /// Forgets notices that are due; true when the list says otherwise.
  bool Expire(TimePoint now);
  TimePoint next_expiry() const { return next_expiry_; }

  /// The list with the notices laid over it, in order of name.
  std::map<std::string, membership::Member> merged() const;

 private:
  struct Entry {
    membership::Member member;
    uint64_t stamp = 0;
  };
  struct Kept {
    Notice notice;
    TimePoint until;
  };

  bool Remove(uint64_t stamp, const std::string& name);
  bool Put(uint64_t stamp, const membership::Member& member);
  void Trim();

  uint64_t version_ = 0;
  std::map<std::string, Entry> entries_;
  std::map<std::string, uint64_t> removed_;
  /// Removals at or below this version have been forgotten.
  uint64_t floor_ = 0;
  std::map<std::string, Kept> notices_;
  TimePoint next_expiry_ = TimePoint::max();
};

}  // namespace ryefold::core::configuration
