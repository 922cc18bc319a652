#pragma once

// Workspaces and the keys by which their callers are known.

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

/// What is kept of a caller's key: a part of its cryptographic hash. The key
/// itself is never stored, logged or sent on.
struct KeyDigest {
  uint64_t high = 0;
  uint64_t low = 0;

  auto operator<=>(const KeyDigest&) const = default;  // NOLINT
};

/// Hash for containers: the digest is evenly spread already.
struct KeyDigestHash {
  size_t operator()(const KeyDigest& digest) const { return digest.low; }
};

/// Short form of a digest for operators: eight hexadecimal digits.
std::string Fingerprint(const KeyDigest& digest);

/// Operations that a workspace may start, over all instances together.
struct RateLimit {
  /// A second.
  double rate = 0;
  /// At once, after a pause.
  double burst = 0;

  bool operator==(const RateLimit&) const = default;
};

/// One workspace as configured.
struct Workspace {
  std::string name;
  /// 0 is served first.
  uint32_t priority = 0;
  /// Nothing: not limited.
  std::optional<RateLimit> limit;
  std::vector<KeyDigest> keys;

  bool operator==(const Workspace&) const = default;
};

using WorkspaceRef = std::shared_ptr<const Workspace>;

/// The workspaces of one configuration, by name.
struct WorkspaceTable {
  /// False where no workspace is configured: callers need no key then.
  bool keys_required = false;
  std::map<std::string, Workspace> workspaces;
};

/// Who a caller is.
struct Identity {
  /// The caller may be served.
  bool known = false;
  /// Null for a caller that belongs to no workspace.
  WorkspaceRef workspace;
};

/// Looks workspaces up by key and by name.
class Workspaces {
 public:
  /// Puts a newer configuration in force. Workspaces that did not change keep
  /// their reference. Returns whether any key was dropped or moved, or keys are
  /// required from now on.
  bool Replace(const WorkspaceTable& table);

  /// Who a caller is that gave this key. On a `public_route`, or where no keys
  /// are required, everybody is let in and belongs to no workspace.
  Identity Identify(bool public_route, const KeyDigest& key) const;

  /// Whether the key still stands for the workspace of this name, or no key is
  /// required.
  bool StandsFor(const KeyDigest& key, const std::string& workspace) const;

  /// Null when there is none of this name.
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
