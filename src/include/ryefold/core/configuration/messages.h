#pragma once

// Messages that instances exchange about configuration and membership, and the
// values kept in the platform's key-value store.

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "ryefold/core/configuration/document.h"
#include "ryefold/core/membership/instance.h"

namespace ryefold::core::configuration {

// ---- between instances ----

/// An instance's announcement that it has started or is leaving, which takes
/// effect before the platform's lagging list shows it. Forwarded while new and
/// dropped after a few minutes.
struct Notice {
  membership::Member member;
  /// The notice with the highest sequence number of an instance takes
  /// precedence.
  uint64_t sequence = 0;
};

/// Documents that the receiver lacks, in order of version. The receiver stages
/// them until a block with `complete` arrives: a partial set omits documents
/// that have since been overwritten and matches no revision.
struct DocumentBlock {
  std::vector<Document> documents;
  /// The block holds every document of the sender with a version above `after`
  /// and up to `through`.
  uint64_t after = 0;
  uint64_t through = 0;
  /// After this block the receiver holds the complete state of the sender.
  bool complete = false;
};

/// Members that changed after the receiver's list version.
struct MemberBlock {
  std::vector<membership::Member> changed;
  std::vector<std::string> removed;
  /// The list version to which the block applies.
  uint64_t after = 0;
  /// The block replaces the whole list.
  bool full = false;
};

/// The synchronization state of one instance: what it holds and what it needs.
struct SyncState {
  uint64_t revision = 0;
  uint64_t list_version = 0;
  /// Whether the sender holds a complete state, of any age.
  bool known = false;
  /// Whether the sender also has recent contact with the store or with peers
  /// that hold a complete state.
  bool ready = false;
  /// Time since the last response of the store to any instance, as far as the
  /// sender has learned.
  std::chrono::milliseconds store_age{0};
  /// The sender needs documents above this version. `want_documents` is false
  /// while it fetches them from another peer, so that it does not receive the
  /// same text from several peers.
  uint64_t have_documents = 0;
  bool want_documents = false;
  bool want_members = false;
};

/// Compares the state of two instances. Sent to one peer about once per second,
/// and to several peers after an update. Documents and members are sent only to
/// a side that is known to lack them.
struct Exchange {
  std::string from;
  SyncState sync_state;
  DocumentBlock documents;
  MemberBlock members;
  std::vector<Notice> notices;
};

struct ExchangeReply {
  SyncState sync_state;
  DocumentBlock documents;
  MemberBlock members;
};

/// Asks whether `revision` is in force on the receiver and on `others`, which
/// the receiver queries as a delegate. No instance sends more than a few dozen
/// queries.
struct InForceQuery {
  uint64_t revision = 0;
  std::vector<std::string> others;
};
struct InForceReply {
  /// Number of instances, including the receiver, on which the revision is in
  /// force.
  uint64_t in_force = 0;
  /// Names of the instances that lack the revision or did not respond.
  std::vector<std::string> missing;
};

/// Sent by a successor to the intended keeper of these groups, to check whether
/// it serves them.
struct DutyCheck {
  std::vector<std::string> groups;
};
/// The queried groups that the receiver keeps.
struct DutyReply {
  std::vector<std::string> keeping;
};

using PeerRequest = std::variant<Exchange, InForceQuery, DutyCheck>;
using PeerAnswer = std::variant<ExchangeReply, InForceReply, DutyReply>;

// ---- in the store ----

/// Location of the newest complete snapshot of the documents.
struct SnapshotPointer {
  uint64_t revision = 0;
  /// The parts are stored under prefix + "/0", prefix + "/1" and so on.
  std::string prefix;
  uint64_t parts = 0;
  /// The changes up to this revision have been cleared.
  uint64_t trimmed = 0;

  bool operator==(const SnapshotPointer&) const = default;
};
struct SnapshotPart {
  std::vector<Document> documents;
};
/// `std::monostate` stands for an absent or cleared key.
using StoreValue =
    std::variant<std::monostate, Change, SnapshotPointer, SnapshotPart>;

}  // namespace ryefold::core::configuration
