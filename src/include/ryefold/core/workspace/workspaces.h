#pragma once

// Workspaces and the keys that identify their callers.

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace ryefold::core::workspace {

/// Part of the cryptographic hash of a caller's key. The key itself is never
/// stored, logged or forwarded.
struct KeyDigest {
  uint64_t high = 0;
  uint64_t low = 0;

  auto operator<=>(const KeyDigest&) const = default;  // NOLINT
};

/// Hash for containers. The digest is already uniformly distributed.
struct KeyDigestHash {
  size_t operator()(const KeyDigest& digest) const { return digest.low; }
};

/// Returns the first eight hexadecimal digits of a digest, for display to
/// operators.
std::string Fingerprint(const KeyDigest& digest);

/// Limit of the operations that a workspace may start on all instances
/// together.
struct RateLimit {
  /// Operations per second.
  double rate = 0;
  /// Operations that may start at once after an idle period.
  double burst = 0;

  bool operator==(const RateLimit&) const = default;
};

/// Configuration of one workspace.
struct Workspace {
  std::string name;
  /// Priority 0 is served first.
  uint32_t priority = 0;
  /// nullopt if the workspace is not limited.
  std::optional<RateLimit> limit;
  std::vector<KeyDigest> keys;

  bool operator==(const Workspace&) const = default;
};

using WorkspaceRef = std::shared_ptr<const Workspace>;

/// The workspaces of one configuration, by name.
struct WorkspaceTable {
  /// False if no workspace is configured; callers need no key then.
  bool keys_required = false;
  std::map<std::string, Workspace> workspaces;
};

/// Result of the identification of a caller.
struct Identity {
  /// The caller may be served.
  bool accepted = false;
  /// Null for a caller that belongs to no workspace.
  WorkspaceRef workspace;
};

/// Looks workspaces up by key and by name.
class Workspaces {
 public:
  /// Applies a newer configuration. Workspaces that did not change keep their
  /// reference. Returns true if any key was removed or moved to another
  /// workspace, or if keys become required.
  bool Replace(const WorkspaceTable& table);

  /// Identifies the caller that presented `key`. On a `public_route`, or if no
  /// keys are required, every caller is accepted and belongs to no workspace.
  Identity Identify(bool public_route, const KeyDigest& key) const;

  /// Returns whether the key belongs to the workspace of this name, or no key
  /// is required.
  bool KeyBelongsTo(const KeyDigest& key, const std::string& workspace) const;

  /// Returns null if no workspace has this name.
  WorkspaceRef Find(const std::string& name) const;
  bool keys_required() const { return keys_required_; }
  const std::map<std::string, WorkspaceRef>& all() const { return by_name_; }

 private:
  using KeyMap = std::unordered_map<KeyDigest, WorkspaceRef, KeyDigestHash>;

  bool keys_required_ = false;
  std::map<std::string, WorkspaceRef> by_name_;
  KeyMap by_key_;
};

}  // namespace ryefold::core::workspace
