#pragma once

// What instances tell one another about configuration and membership, and
// what they keep in the platform's key-value service.

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "ryefold/core/configuration/document.h"
#include "ryefold/core/membership/instance.h"

namespace ryefold::core::configuration {

// ---- between instances ----

/// News of one instance, ahead of the platform's lagging list: it has begun,
/// or is leaving. Passed on while new, forgotten after a few minutes.
struct Notice {
  membership::Member member;
  /// Rises with each notice of one run of the instance.
  uint64_t sequence = 0;
};

/// Documents of one side that the other lacks, oldest version first. Until a
/// block with `complete` arrives the receiver keeps them aside: documents
/// overwritten on the way are missing, so a part alone is a state that never
/// was in force.
struct DocumentBlock {
  std::vector<Document> documents;
  /// Everything up to this version is in the blocks so far.
  uint64_t through = 0;
  /// With this block the receiver holds the sender's whole state.
  bool complete = false;
};

/// Members that changed after the receiver's version of the list.
struct MemberBlock {
  std::vector<membership::Member> changed;
  std::vector<std::string> removed;
  /// Replaces the whole list instead of changing it.
  bool full = false;
};

/// Compares revisions; sent to one peer a second, and to a few when there is
/// news. Carries documents and members only where the receiver is known to
/// lack them.
struct Exchange {
  std::string from;
  uint64_t revision = 0;
  uint64_t list_version = 0;
  /// Whether the sender itself knows what is in force.
  bool ready = false;
  DocumentBlock documents;
  MemberBlock members;
  std::vector<Notice> notices;
};

struct ExchangeReply {
  uint64_t revision = 0;
  uint64_t list_version = 0;
  bool ready = false;
  /// Send documents above `have_documents`; false when they are being fetched
  /// from another peer already, so that a text crosses each link once.
  bool want_documents = false;
  uint64_t have_documents = 0;
  bool want_members = false;
  DocumentBlock documents;
  MemberBlock members;
};

/// Asks whether `revision` is in force on the receiver and on `others`, which
/// the receiver asks in turn; no instance asks more than a few dozen.
struct ForceQuery {
  uint64_t revision = 0;
  std::vector<std::string> others;
};
struct ForceReply {
  /// How many, the receiver among them, have it in force.
  uint64_t in_force = 0;
  /// Names of those that do not, or did not answer.
  std::vector<std::string> missing;
};

/// A successor asks the intended keeper of these groups whether it serves.
struct DutyCheck {
  std::vector<std::string> groups;
};
/// Those of the groups that the receiver keeps.
struct DutyReply {
  std::vector<std::string> keeping;
};

using PeerRequest = std::variant<Exchange, ForceQuery, DutyCheck>;
using PeerAnswer = std::variant<ExchangeReply, ForceReply, DutyReply>;

// ---- in the store ----

/// Where the newest whole copy of the documents is.
struct SnapshotPointer {
  uint64_t revision = 0;
  /// Parts are at prefix + "/0" and on.
  std::string prefix;
  uint64_t parts = 0;
  /// Changes up to this revision have been emptied.
  uint64_t trimmed = 0;

  bool operator==(const SnapshotPointer&) const = default;
};
struct SnapshotPart {
  std::vector<Document> documents;
};
/// `std::monostate` is an absent or emptied key.
using StoreValue =
    std::variant<std::monostate, Change, SnapshotPointer, SnapshotPart>;

}  // namespace ryefold::core::configuration
