#pragma once

// Forwarding of statements to other instances. A database accepts a limited
// number of connections. If there are more instances than connections, only
// some instances (the keepers of a group) hold connections; they run the
// statements of the others.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "ryefold/core/session/directory.h"
#include "ryefold/core/session/port.h"
#include "ryefold/core/session/statement.h"

namespace ryefold::core::session {

/// Id of a forwarded statement, unique within the forwarding instance.
using ForwardId = uint64_t;

/// A prepared statement of a session.
struct PreparedTemplate {
  bool writes = false;
  std::string text;
};

/// Everything that a keeper needs to run one statement. The session state is
/// sent with each statement, so that keepers hold no state except open
/// transactions and the loss of a keeper is tolerable.
struct ForwardedStatement {
  /// Id of the caller's transaction or single statement, unique across all
  /// instances and their restarts.
  std::string session;
  std::string statement_id;
  Statement statement;
  /// As configured at the entry; the keeper's version may be older.
  Route route;
  /// Version of that configuration.
  uint64_t config_version = 0;
  /// Workspace whose connections are used; empty for callers without a
  /// workspace.
  std::string workspace;
  /// Digest of the caller's key.
  workspace::KeyDigest key;
  std::map<std::string, std::string> variables;
  std::map<std::string, PreparedTemplate> prepared;
  /// Position of the session's last acknowledged commit.
  LogPosition committed;
  /// The statement belongs to the session's open transaction at this keeper.
  bool in_transaction = false;
};

enum class ForwardOutcome : uint8_t {
  kAnswered,
  kNotSent,  ///< The keeper cannot have run the statement.
  kLost,     ///< The keeper may have run the statement.
};

/// Time limits of a forwarded statement.
struct ForwardTimeouts {
  TimePoint deadline;
  /// The statement is sent once the keeper has responded. If it has not
  /// responded by this time, the call fails as not sent, and the statement can
  /// run elsewhere.
  TimePoint send_by;
  /// If true, the call fails as lost when the keeper becomes unreachable. False
  /// for statements with possible side effects, whose answer is still needed.
  bool fail_if_unreachable = false;
};

/// Streams between instances. No method delivers an event before it returns.
class Forwarder {
 public:
  virtual ~Forwarder() = default;

  /// Sends a statement to `keeper`. Results in `Proxy::ForwardAnswered`, at
  /// `timeouts.deadline` at the latest.
  virtual void Forward(ForwardId call, const std::string& keeper,
                       const ForwardedStatement& statement,
                       const ForwardTimeouts& timeouts) = 0;
  /// Checks whether an instance is reachable. Results in
  /// `Proxy::InstanceProbed`, at `deadline` at the latest.
  virtual void Probe(const std::string& instance, TimePoint deadline) = 0;
  /// Cancels a forwarded statement; the keeper abandons it.
  virtual void Cancel(ForwardId call) = 0;
  /// Rolls back the session's open transaction at the keeper. Best effort: the
  /// keeper also rolls back idle transactions after a timeout.
  virtual void Release(const std::string& keeper,
                       const std::string& session) = 0;

  /// Answers a statement that another instance forwarded to this one.
  virtual void AnswerForwarded(CallerId caller, const Reply& reply) = 0;
};

/// An instance that may be chosen as a keeper.
struct KeeperCandidate {
  std::string instance;
  std::string failure_domain;
};

/// Returns the number of instances that hold connections to each database of a
/// group, or 0 if all of them do. `by_workspace`: each connection serves only
/// one workspace; fewer keepers with more connections each are then more likely
/// to have a matching one.
size_t KeeperCount(uint32_t connection_limit, size_t instances,
                   bool by_workspace = false);

/// Returns the number of connections that each of `keepers` may hold to one
/// database.
uint32_t ConnectionsPerKeeper(uint32_t connection_limit, size_t keepers,
                              bool by_workspace = false);

/// Returns the number of statements that each of `holders` instances may have
/// in flight at a database that runs `slots` concurrently.
uint32_t InFlightLimit(uint32_t slots, size_t holders);

/// Returns the seed of an instance's hashes in rendezvous hashing.
uint64_t RendezvousSeed(std::string_view instance);

/// Returns the hash by which an instance with this seed ranks for `key`; the
/// lowest comes first.
uint64_t RendezvousHash(std::string_view key, uint64_t seed);

/// Returns the number of candidates before `instance` in rendezvous hashing
/// order for `key`.
size_t RendezvousRank(std::string_view key, const std::string& instance,
                      const std::vector<KeeperCandidate>& candidates);

/// Returns the keepers of `group`: the first `count` candidates in rendezvous
/// hashing order. The result is the same on every instance with the same
/// candidates, and a joining or leaving instance moves as few groups as
/// possible.
std::vector<KeeperCandidate> ChooseKeepers(
    std::string_view group, const std::vector<KeeperCandidate>& candidates,
    size_t count);

}  // namespace ryefold::core::session
