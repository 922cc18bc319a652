#pragma once

//
// Replication of configuration documents and of the platform's instance list,
// as a state machine that performs no I/O.
//
// The store holds a log. The change that creates revision n is stored under
// ChangeKey(n) by one compare-and-swap that expects the key to be absent. This
// single put determines acceptance and order for any number of documents. A few
// instances watch the next key; all others learn changes from peers.

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "ryefold/core/configuration/document.h"
#include "ryefold/core/configuration/messages.h"
#include "ryefold/core/membership/instance.h"
#include "ryefold/core/types.h"

namespace ryefold::core::configuration {

/// Identifies a request of an operator or a peer to the code that submitted it.
using Tag = uint64_t;
/// Identifies a call to the store or to a peer; chosen by the node, never
/// reused.
using CallId = uint64_t;

/// Returns "ryefold/change/<revision>", zero-padded so that keys sort by
/// revision.
std::string ChangeKey(uint64_t revision);
/// Returns "ryefold/snapshot", the key of the SnapshotPointer.
std::string SnapshotKey();

// ---- calls to the store ----

struct StoreGet {
  std::string key;
};
/// Reads a key as soon as its version is above `after`, at the latest after
/// `wait`.
struct StoreWatch {
  std::string key;
  uint64_t after = 0;
  std::chrono::milliseconds wait{0};
};
struct StorePut {
  std::string key;
  StoreValue value;
  uint64_t expect = 0;
};
/// Reads the platform's instance list. A platform may answer without members
/// while the version is still `known_version`.
struct StoreInstances {
  uint64_t known_version = 0;
};
using StoreRequest =
    std::variant<StoreGet, StoreWatch, StorePut, StoreInstances>;

/// Answer to a get or watch; version 0 means that the key is absent.
struct StoreRead {
  uint64_t version = 0;
  StoreValue value;
};
/// Answer to a put. `done` is false if the key's version differs from the
/// expected one.
struct StorePutDone {
  bool done = false;
  uint64_t version = 0;
};
struct StoreInstancesRead {
  uint64_t version = 0;
  /// The version equals `known_version`; `members` is empty.
  bool unchanged = false;
  std::vector<membership::Member> members;
};
using StoreAnswer = std::variant<StoreRead, StorePutDone, StoreInstancesRead>;

// ---- events: input of the node ----

struct Started {};
/// The instance is about to stop; peers are notified.
struct Leaving {};
struct StoreAnswered {
  CallId call = 0;
  StoreAnswer answer;
};
/// The call failed or timed out. A put may or may not have taken effect.
struct StoreFailed {
  CallId call = 0;
};
/// A peer's Exchange or InForceQuery. The node answers with a ReplyToPeer that
/// carries the same tag.
struct PeerCalled {
  Tag tag = 0;
  PeerRequest request;
};
struct PeerAnswered {
  CallId call = 0;
  PeerAnswer answer;
};
struct PeerFailed {
  CallId call = 0;
};
struct PublishRequested {
  Tag tag = 0;
  Change change;
  TimePoint deadline;
  /// The operator has sent this change id before and has not learned the
  /// outcome. The earlier attempt may still reach the store, so a repeat never
  /// ends with kUnavailable.
  bool repeat = false;
};
/// Requests the number of instances on which `revision` is in force.
struct InForceRequested {
  Tag tag = 0;
  uint64_t revision = 0;
  TimePoint deadline;
};
struct HistoryRequested {
  Tag tag = 0;
  std::string key;
  size_t limit = 20;
  TimePoint deadline;
};
struct Tick {};

using Event =
    std::variant<Started, Leaving, StoreAnswered, StoreFailed, PeerCalled,
                 PeerAnswered, PeerFailed, PublishRequested, InForceRequested,
                 HistoryRequested, Tick>;

// ---- actions: output of the node ----

/// Expects a StoreAnswered or, by `deadline`, a StoreFailed event.
struct StoreCall {
  CallId call = 0;
  StoreRequest request;
  TimePoint deadline;
};
/// Expects a PeerAnswered or, by `deadline`, a PeerFailed event.
struct CallPeer {
  CallId call = 0;
  /// Empty for a peer of which only the address is known
  /// (`NodeOptions::seeds`).
  std::string instance;
  std::string address;
  PeerRequest request;
  TimePoint deadline;
};
struct ReplyToPeer {
  Tag tag = 0;
  PeerAnswer answer;
};

enum class PublishStatus : uint8_t {
  /// The change is in the store and replicated to `min_holders` other
  /// instances, or to all if there are fewer, so that it survives the loss of
  /// this one.
  kAccepted,
  /// No part of the change is or will be in force.
  kConflict,
  /// The store could not be reached. No part of the change is or will be in
  /// force unless it is sent again. Never returned for a repeat.
  kUnavailable,
  /// The change may be in the store, or it is in the store but too few
  /// instances are known to hold it. Repeating the same change_id determines
  /// the outcome.
  kUnknown,
  /// The change has no edits, an empty id or key, or two edits of one key, or
  /// is too large for the store. Nothing was sent to the store.
  kInvalid,
};
struct PublishDone {
  Tag tag = 0;
  PublishStatus status = PublishStatus::kUnknown;
  uint64_t revision = 0;
  /// Number of instances known to hold the change, including this one, out of
  /// `instances`.
  size_t held_by = 0;
  size_t instances = 0;
  std::vector<Conflict> conflicts;
};
struct InForceDone {
  Tag tag = 0;
  uint64_t revision = 0;
  size_t in_force = 0;
  size_t instances = 0;
  /// Names of instances that lack the revision or did not respond, at most a
  /// few dozen.
  std::vector<std::string> missing;
};
struct HistoryDone {
  Tag tag = 0;
  /// Newest entry first.
  std::vector<HistoryEntry> entries;
  /// False if older entries exist but could not be read.
  bool complete = false;
};
/// The documents of `revision` are in force on this instance; `documents()`
/// returns them.
struct DocumentsChanged {
  uint64_t revision = 0;
  std::vector<std::string> keys;
};
/// The member list, with notices applied, has changed; `members()` returns it.
struct MembersChanged {};

using Action =
    std::variant<StoreCall, CallPeer, ReplyToPeer, PublishDone, InForceDone,
                 HistoryDone, DocumentsChanged, MembersChanged>;

struct NodeOptions {
  /// This instance, as it appears in the platform's list.
  membership::Member self;
  /// Peer addresses to contact while the member list is empty.
  std::vector<std::string> seeds;
  /// Number of instances that watch the store.
  size_t watcher_count = 3;
  /// Number of peers in the gossip overlay of one instance, and number of them
  /// that receive an update at once.
  size_t neighbour_count = 8;
  size_t fanout = 4;
  /// Number of other instances that must hold a change before it is reported as
  /// accepted.
  size_t min_holders = 2;
  /// A snapshot is written after this number of changes.
  uint64_t changes_per_snapshot = 256;
  /// Maximum bytes of documents in one block or snapshot part, before encoding.
  size_t max_block_bytes = 256 << 10;
  /// Maximum bytes of a change. The store holds values up to one megabyte, and
  /// a JSON text inside JSON grows by its escaped quotes.
  size_t max_change_bytes = 400 << 10;
  std::chrono::milliseconds exchange_interval{1000};
  std::chrono::milliseconds list_interval{1000};
  std::chrono::milliseconds watch_timeout{10000};
  std::chrono::milliseconds store_timeout{2000};
  std::chrono::milliseconds peer_timeout{1000};
  /// The node is not ready after this time without contact to the store or a
  /// peer.
  std::chrono::milliseconds contact_timeout{5000};
  /// Increases with each start of an instance of this name, so that its notices
  /// override those of the previous process. Milliseconds of the wall clock
  /// satisfy this.
  uint64_t incarnation = 1;
  uint64_t seed = 1;
};

/// Counters for /metrics and `ryefoldctl status`.
struct NodeView {
  uint64_t revision = 0;
  uint64_t list_version = 0;
  bool ready = false;
  /// Whether this instance currently watches the store.
  bool watching = false;
  size_t documents = 0;
  size_t instances = 0;
  size_t databases = 0;
  uint64_t store_calls = 0;
  uint64_t store_failures = 0;
  uint64_t peer_calls = 0;
  uint64_t peer_failures = 0;
};

/// Replicates configuration and membership on one instance. Not thread-safe;
/// owned by one task.
class Node {
 public:
  explicit Node(NodeOptions options);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Processes one event and appends the resulting actions to `actions`.
  void Handle(TimePoint now, const Event& event, std::vector<Action>* actions);

  /// Returns the latest time for the next `Tick`.
  TimePoint next_deadline() const;

  /// Returns whether the documents are known to be current. False until a
  /// complete state is loaded, and after `contact_timeout` without contact to
  /// the store or a peer.
  bool IsReady(TimePoint now) const;

  uint64_t revision() const;
  /// Returns all documents by key. Deleted ones are included without text.
  const std::map<std::string, Document>& documents() const;
  /// Returns the platform's list with notices applied, ordered by name.
  std::vector<membership::Member> members() const;
  uint64_t list_version() const;

  NodeView view(TimePoint now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ryefold::core::configuration
