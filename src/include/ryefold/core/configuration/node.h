#pragma once

// One instance's share in keeping the operators' documents and the platform's
// list of instances known everywhere.
//
// The store holds a log: the change that makes revision n is at the key
// ChangeKey(n) and is created by one compare-and-swap that expects the key to
// be absent. That single put decides acceptance and order, for any number of
// documents. A few instances wait on the next key, all others hear from peers.

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

/// Names an operator's request or a peer's call towards whoever handed it in.
using Tag = uint64_t;
/// Names a call to the store or to a peer; chosen by the node, never reused.
using CallId = uint64_t;

/// "ryefold/change/<revision>", padded so that keys sort by revision.
std::string ChangeKey(uint64_t revision);
/// "ryefold/snapshot", the key of the SnapshotPointer.
std::string SnapshotKey();

// ---- calls to the store ----

struct StoreGet {
  std::string key;
};
/// Reads a key once its version is above `after`, or after `wait`.
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
/// Reads the platform's list. A platform that can may answer shortly when its
/// version is still `known_version`.
struct StoreInstances {
  uint64_t known_version = 0;
};
using StoreRequest =
    std::variant<StoreGet, StoreWatch, StorePut, StoreInstances>;

/// Answer to get and watch; version 0 when the key is absent.
struct StoreRead {
  uint64_t version = 0;
  StoreValue value;
};
/// Answer to put: done, or refused because the version differs.
struct StorePutDone {
  bool done = false;
  uint64_t version = 0;
};
struct StoreInstancesRead {
  uint64_t version = 0;
  /// The version is the known one; `members` is empty.
  bool unchanged = false;
  std::vector<membership::Member> members;
};
using StoreAnswer = std::variant<StoreRead, StorePutDone, StoreInstancesRead>;

// ---- events: what the node is told ----

struct Started {};
/// The instance is going to stop: peers are told.
struct Leaving {};
struct StoreAnswered {
  CallId call = 0;
  StoreAnswer answer;
};
/// No answer. A put may or may not have taken effect.
struct StoreFailed {
  CallId call = 0;
};
/// A peer's Exchange or ForceQuery; answered by ReplyToPeer with the tag.
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
struct PublishArrived {
  Tag tag = 0;
  Change change;
  TimePoint deadline;
  /// The operator has sent this change id before and does not know what came
  /// of it. That attempt may still be on its way to the store, so it is never
  /// told that the change will not be in force.
  bool repeat = false;
};
/// Asks once how many instances have `revision` in force.
struct ForceArrived {
  Tag tag = 0;
  uint64_t revision = 0;
  TimePoint deadline;
};
struct HistoryArrived {
  Tag tag = 0;
  std::string key;
  size_t limit = 20;
  TimePoint deadline;
};
struct Tick {};

using Event = std::variant<Started, Leaving, StoreAnswered, StoreFailed,
                           PeerCalled, PeerAnswered, PeerFailed, PublishArrived,
                           ForceArrived, HistoryArrived, Tick>;

// ---- actions: what the node wants done ----

/// Answered by StoreAnswered or StoreFailed, the latter by `deadline`.
struct StoreCall {
  CallId call = 0;
  StoreRequest request;
  TimePoint deadline;
};
/// Answered by PeerAnswered or PeerFailed, the latter by `deadline`.
struct CallPeer {
  CallId call = 0;
  /// Empty for a peer known by address only (`NodeOptions::seeds`).
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
  /// In the store, and held by enough other instances to outlive this one.
  kAccepted,
  /// Nothing of it is or will be in force.
  kConflict,
  /// Nothing of it is or will be in force, unless it is sent again; the store
  /// could not be reached. Never said to a repeat.
  kUnavailable,
  /// It may be in the store, or it is there but too few instances are known
  /// to hold it. Repeating the same change_id settles it.
  kUnknown,
  /// No edits, two edits of one key, or too large for the store; nothing of
  /// it was tried.
  kInvalid,
};
struct PublishDone {
  Tag tag = 0;
  PublishStatus status = PublishStatus::kUnknown;
  uint64_t revision = 0;
  /// Instances known to hold it, this one included, of how many.
  size_t held_by = 0;
  size_t instances = 0;
  std::vector<Conflict> conflicts;
};
struct ForceDone {
  Tag tag = 0;
  uint64_t revision = 0;
  size_t in_force = 0;
  size_t instances = 0;
  /// Some of the names that are missing, at most a few dozen.
  std::vector<std::string> missing;
};
struct HistoryDone {
  Tag tag = 0;
  /// Newest first.
  std::vector<HistoryEntry> entries;
  /// False when older entries exist but could not be read.
  bool complete = false;
};
/// Documents of `revision` are in force here; read them by `documents()`.
struct DocumentsChanged {
  uint64_t revision = 0;
  std::vector<std::string> keys;
};
/// The list, corrected by notices, has changed; read it by `members()`.
struct MembersChanged {};

using Action =
    std::variant<StoreCall, CallPeer, ReplyToPeer, PublishDone, ForceDone,
                 HistoryDone, DocumentsChanged, MembersChanged>;

struct NodeOptions {
  /// This instance, as the platform's list names it.
  membership::Member self;
  /// Peer addresses to try while no list is known.
  std::vector<std::string> seeds;
  /// Instances that wait on the store.
  size_t watchers = 3;
  /// Peers that one instance keeps links to, and how many of them hear of
  /// news at once.
  size_t neighbours = 8;
  size_t fanout = 4;
  /// Other instances that must hold a change before it is called accepted.
  size_t holders = 2;
  /// A snapshot is written after so many changes.
  uint64_t snapshot_every = 256;
  /// Bytes of documents in one block or snapshot part, before encoding.
  size_t block_bytes = 256 << 10;
  /// Largest change that is taken. The store holds values up to a megabyte,
  /// and JSON in JSON grows by its escaped quotes.
  size_t change_bytes = 400 << 10;
  std::chrono::milliseconds exchange_interval{1000};
  std::chrono::milliseconds list_interval{1000};
  std::chrono::milliseconds watch_wait{10000};
  std::chrono::milliseconds store_timeout{2000};
  std::chrono::milliseconds peer_timeout{1000};
  /// Silence of store and peers after which the node is not ready.
  std::chrono::milliseconds silence{5000};
  /// Rises from one run of an instance name to the next, so that a new run's
  /// notices overrule its predecessor's; milliseconds of the wall clock do.
  uint64_t incarnation = 1;
  uint64_t seed = 1;
};

/// Counters for /metrics and `ryefoldctl status`.
struct NodeView {
  uint64_t revision = 0;
  uint64_t list_version = 0;
  bool ready = false;
  /// Whether this instance waits on the store at present.
  bool watching = false;
  size_t documents = 0;
  size_t instances = 0;
  size_t databases = 0;
  uint64_t store_calls = 0;
  uint64_t store_failures = 0;
  uint64_t peer_calls = 0;
  uint64_t peer_failures = 0;
};

/// State machine of one instance. Not thread-safe; owned by one task.
class Node {
 public:
  explicit Node(NodeOptions options);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Takes one event and appends what has to be done to `actions`.
  void Handle(TimePoint now, const Event& event, std::vector<Action>* actions);

  /// When `Tick` is due at the latest.
  TimePoint next_deadline() const;

  /// False while nothing is known, and when for some seconds neither store
  /// nor any peer has been heard: what is in force can't be known then.
  bool ready(TimePoint now) const;

  uint64_t revision() const;
  /// All documents by key; deleted ones are there without text.
  const std::map<std::string, Document>& documents() const;
  /// The platform's list corrected by notices, in order of name.
  std::vector<membership::Member> members() const;
  uint64_t list_version() const;

  NodeView view(TimePoint now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ryefold::core::configuration
