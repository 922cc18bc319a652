#pragma once

// What instances tell one another about configuration and membership, and
// what they keep in the platform's key-value service.

#include <chrono>
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
  /// The highest one of an instance counts.
  uint64_t sequence = 0;
};

/// Documents of one side that the other lacks, oldest version first. Until a
/// block with `complete` arrives the receiver keeps them aside: documents
/// overwritten on the way are missing, so a part alone is a state that never
/// was in force.
struct DocumentBlock {
  std::vector<Document> documents;
  /// The block holds every document with a version above `after` and up to
  /// `through`, as the sender has it.
  uint64_t after = 0;
  uint64_t through = 0;
  /// With this block the receiver holds the sender's whole state.
  bool complete = false;
};

/// Members that changed after the receiver's version of the list.
struct MemberBlock {
  std::vector<membership::Member> changed;
  std::vector<std::string> removed;
  /// The list version that the block adds to.
  uint64_t after = 0;
  /// Replaces the whole list instead of changing it.
  bool full = false;
};

/// What one side has and lacks.
struct Standing {
  uint64_t revision = 0;
  uint64_t list_version = 0;
  /// Whether the sender holds a whole state, however old.
  bool known = false;
  /// Whether it also hears others that do, or the store.
  bool ready = false;
  /// Time since the store last answered any instance, as far as is known.
  std::chrono::milliseconds store_age{0};
  /// Documents above this version are wanted. `want_documents` is false while
  /// they are being fetched from another peer, so that a text is not sent
  /// to one instance several times over.
  uint64_t have_documents = 0;
  bool want_documents = false;
  bool want_members = false;
};

/// Compares standings; sent to one peer a second, and to a few when there is
/// news. Documents and members go only to a side known to lack them.
struct Exchange {
  std::string from;
  Standing standing;
  DocumentBlock documents;
  MemberBlock members;
  std::vector<Notice> notices;
};

struct ExchangeReply {
  Standing standing;
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
