#pragma once

// Statements that run through another instance. A database takes only so many
// connections; when there are more instances than connections, some of them
// (the keepers of a group) hold the connections and run the others' statements.

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

/// Names one forwarded statement at the instance that forwards it.
using ForwardId = uint64_t;

/// A prepared statement of a session.
struct PreparedText {
  bool writes = false;
  std::string shape;
};

/// All that a keeper needs to run one statement. The session's state travels
/// with each, so that keepers keep nothing but open transactions and any of
/// them can be lost.
struct ForwardedStatement {
  /// The caller's transaction or single statement, unique among all instances
  /// and their restarts.
  std::string session;
  std::string statement_id;
  Statement statement;
  /// As configured where the caller is; the keeper's own may be older.
  Route route;
  /// Version of that configuration.
  uint64_t config_version = 0;
  /// Whose connection it runs on; empty: of a caller without a workspace.
  std::string workspace;
  /// Of the key that the caller gave.
  workspace::KeyDigest key;
  std::map<std::string, std::string> variables;
  std::map<std::string, PreparedText> prepared;
  /// Position of the session's last acknowledged commit.
  LogPosition committed;
  /// Belongs to the transaction that the session has open at this keeper.
  bool in_transaction = false;
};

enum class ForwardOutcome : uint8_t {
  kAnswered,
  kNotSent,  ///< The keeper cannot have acted on it.
  kLost,     ///< It may have.
};

/// How long a forwarded statement is waited for.
struct ForwardTerms {
  TimePoint deadline;
  /// It goes out once the keeper has shown that it lives, or is given up as not
  /// sent at this time: what has not left can run elsewhere.
  TimePoint alive_by;
  /// Given up as lost when the keeper falls silent. Not so for what may have
  /// had an effect, whose answer is worth waiting for.
  bool lost_in_silence = false;
};

/// Streams between instances. No call may lead to an event being delivered
/// before it returns.
class Forwarder {
 public:
  virtual ~Forwarder() = default;

  /// Leads to `Proxy::ForwardAnswered`, at the latest at `terms.deadline`.
  virtual void Forward(ForwardId call, const std::string& keeper,
                       const ForwardedStatement& statement,
                       const ForwardTerms& terms) = 0;
  /// Asks an instance for a sign of life. Leads to `Proxy::InstanceProbed`, at
  /// the latest at `deadline`.
  virtual void Probe(const std::string& instance, TimePoint deadline) = 0;
  /// The answer is not wanted any more; the keeper gives the statement up.
  virtual void Cancel(ForwardId call) = 0;
  /// Rolls back what the session has open at the keeper. Best effort: a
  /// transaction without statements is ended there after a while as well.
  virtual void Release(const std::string& keeper,
                       const std::string& session) = 0;

  /// Answers a statement that another instance forwarded here.
  virtual void AnswerForwarded(CallerId caller, const Reply& reply) = 0;
};

/// An instance as the choice of keepers sees it.
struct KeeperCandidate {
  std::string instance;
  std::string failure_domain;
};

/// How many instances hold connections to each database of a group; 0: all.
/// Derived from the connections that a database takes and the number of
/// instances. `by_workspace`: each connection serves one workspace only, so
/// that few keepers with many connections each find the right one more often.
size_t KeeperCount(uint32_t connection_limit, size_t instances,
                   bool by_workspace = false);

/// Connections that each of `keepers` may hold to one database.
uint32_t ConnectionsOfKeeper(uint32_t connection_limit, size_t keepers,
                             bool by_workspace = false);

/// Statements that one of `holders` instances may have under way at a database
/// that runs `slots` at once.
uint32_t WindowOf(uint32_t slots, size_t holders);

/// How many candidates come before `instance` in rendezvous order for `key`.
size_t RankAmong(std::string_view key, const std::string& instance,
                 const std::vector<KeeperCandidate>& candidates);

/// The keepers of `group`, the same on every instance that knows the same
/// candidates: the first `count` in rendezvous order, so that an instance that
/// comes or goes moves as few groups as possible.
std::vector<KeeperCandidate> ChooseKeepers(
    std::string_view group, const std::vector<KeeperCandidate>& candidates,
    size_t count);

}  // namespace ryefold::core::session
