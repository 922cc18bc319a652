#pragma once

// Members of the platform's list of live and leaving instances and databases.

#include <cstdint>
#include <string>

namespace ryefold::core::membership {

enum class MemberKind : uint8_t { kInstance, kDatabase };
enum class MemberState : uint8_t { kLive, kLeaving };

/// One instance of the proxy or one database.
struct Member {
  std::string name;
  MemberKind kind = MemberKind::kInstance;
  MemberState state = MemberState::kLive;
  /// Address for callers (of an instance) or for statements (of a database).
  std::string address;
  /// Address for other instances; empty for a database.
  std::string peer_address;
  /// Database group; empty for an instance.
  std::string group;
  std::string failure_domain;
  std::string region;

  bool operator==(const Member&) const = default;
};

}  // namespace ryefold::core::membership
