#pragma once

// Choice of the keeper that runs a forwarded statement, and what is known about
// the load of keepers. Uses no sockets or clocks.

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "ryefold/core/admission/queue.h"
#include "ryefold/core/session/statement.h"
#include "ryefold/core/types.h"

namespace ryefold::core::session {

/// Queue of a group in which a statement waits at its keeper.
enum class KeeperQueue : uint8_t { kPrimary, kReads };

/// Where a statement waits: expected waits are compared among statements of the
/// same group, queue and route priority.
struct KeeperQueueRef {
  std::string group;
  KeeperQueue queue = KeeperQueue::kPrimary;
  uint32_t priority = 0;
};

/// A keeper that may run a statement.
struct KeeperOption {
  std::string instance;
  /// Cost of its failure domain and of its rank for the workspace, in
  /// statements in flight.
  uint32_t order_cost = 0;
  /// Statements of this instance in flight at the keeper.
  uint32_t in_flight = 0;
  /// Chance of being drawn, relative to the others: 1 for the preferred ones.
  double weight = 1;
};

/// A keeper's reply to a forwarded statement.
struct KeeperReply {
  std::string keeper;
  std::string group;
  /// Priority of the statement's route.
  uint32_t priority = 0;
  /// Empty if the keeper does not report its load.
  std::optional<QueueWaits> waits;
  /// Time from sending the statement to its reply; empty if the statement did
  /// not run.
  std::optional<std::chrono::microseconds> response_time;
};

struct KeeperDecision {
  /// Index of the chosen keeper.
  size_t chosen = 0;
  std::chrono::milliseconds expected_wait{0};
  /// Index of a preferred keeper that was not chosen because of its load, and
  /// its expected wait.
  std::optional<size_t> passed_over;
  std::chrono::milliseconds passed_over_wait{0};
};

/// Chooses the keeper of a forwarded statement. Not thread-safe.
class KeeperChoice {
 public:
  virtual ~KeeperChoice() = default;

  /// Returns the keeper to use. `options` is not empty; of equal ones, an
  /// earlier one is preferred.
  virtual KeeperDecision Choose(TimePoint now, const KeeperQueueRef& queue,
                                const std::vector<KeeperOption>& options) = 0;
  /// Returns another keeper for a statement that a keeper refused as
  /// overloaded, or nullopt if none is known to serve it within `time_left`.
  /// `options` does not contain the keeper that refused.
  virtual std::optional<KeeperDecision> ChooseAfterRefusal(
      TimePoint now, const KeeperQueueRef& queue,
      const std::vector<KeeperOption>& options,
      std::chrono::milliseconds time_left) = 0;
  virtual void RecordReply(TimePoint now, const KeeperReply& reply) = 0;
  /// Discards everything known about an instance that did not respond.
  virtual void Forget(const std::string& keeper) = 0;
  /// Whether this instance, as a keeper, reports its expected waits.
  virtual bool reports_waits() const = 0;
};

/// Uses the keeper with the lowest sum of statements in flight and order cost,
/// and takes every refusal as final.
class InFlightChoice : public KeeperChoice {
 public:
  KeeperDecision Choose(TimePoint now, const KeeperQueueRef& queue,
                        const std::vector<KeeperOption>& options) override;
  std::optional<KeeperDecision> ChooseAfterRefusal(
      TimePoint now, const KeeperQueueRef& queue,
      const std::vector<KeeperOption>& options,
      std::chrono::milliseconds time_left) override;
  void RecordReply(TimePoint /*now*/, const KeeperReply& /*reply*/) override {}
  void Forget(const std::string& /*keeper*/) override {}
  bool reports_waits() const override { return false; }
};

/// Number of keepers of a group whose load is remembered.
inline constexpr size_t kMaxKeeperLoads = 16;
/// Route priorities with reports of their own; all less important ones share
/// the last.
inline constexpr size_t kKeeperLoadPriorities = 4;

/// The newest load reports of keepers and their usual response times.
class KeeperLoad {
 public:
  void RecordReply(TimePoint now, const KeeperReply& reply);
  void Forget(const std::string& keeper);

  /// Returns the expected wait of a statement at the keeper: its newest report,
  /// which decays towards the mean of the group's reports. Without a report of
  /// the last second it is that mean, bounded by what the keeper reported for
  /// other priorities.
  std::chrono::microseconds ExpectedWait(TimePoint now,
                                         const KeeperQueueRef& queue,
                                         const std::string& keeper) const;
  /// Returns the usual response time of the keeper, or the mean of the group's
  /// keepers if it has not answered within the last second; 0 if none is known.
  std::chrono::microseconds ResponseTime(TimePoint now,
                                         const std::string& group,
                                         const std::string& keeper) const;
  /// Returns the wait in the keeper's newest report, or nullopt if the report
  /// is older than `max_age`.
  std::optional<std::chrono::milliseconds> ReportedWait(
      TimePoint now, const KeeperQueueRef& queue, const std::string& keeper,
      std::chrono::milliseconds max_age) const;

  /// Number of keepers with remembered load, over all groups.
  size_t size() const;

 private:
  struct Report {
    QueueWaits waits;
    TimePoint received_at;
  };
  struct Entry {
    std::string keeper;
    std::array<Report, kKeeperLoadPriorities> reports;
    std::chrono::microseconds response_time{0};
    TimePoint answered_at;
    TimePoint updated_at;
  };
  using Entries = std::vector<Entry>;

  const Entry* Find(const std::string& group, const std::string& keeper) const;
  Entry* FindOrAdd(const std::string& group, const std::string& keeper);
  void RemoveUnused(TimePoint now);

  std::map<std::string, Entries> groups_;
  TimePoint next_removal_;
};

/// Draws two keepers at random by their weights and uses the one with the lower
/// expected time: the expected wait and the own statements in flight times the
/// usual response time. A small difference does not outweigh the order. Retries
/// after refusals are limited to a fraction of all statements.
class ExpectedWaitChoice : public KeeperChoice {
 public:
  explicit ExpectedWaitChoice(uint64_t seed);

  KeeperDecision Choose(TimePoint now, const KeeperQueueRef& queue,
                        const std::vector<KeeperOption>& options) override;
  std::optional<KeeperDecision> ChooseAfterRefusal(
      TimePoint now, const KeeperQueueRef& queue,
      const std::vector<KeeperOption>& options,
      std::chrono::milliseconds time_left) override;
  void RecordReply(TimePoint now, const KeeperReply& reply) override {
    load_.RecordReply(now, reply);
  }
  void Forget(const std::string& keeper) override { load_.Forget(keeper); }
  bool reports_waits() const override { return true; }

  const KeeperLoad& load() const { return load_; }

 private:
  size_t Draw(const std::vector<KeeperOption>& options,
              const std::vector<size_t>& candidates);
  KeeperDecision ChooseAmong(TimePoint now, const KeeperQueueRef& queue,
                             const std::vector<KeeperOption>& options,
                             std::vector<size_t> candidates);

  KeeperLoad load_;
  admission::RetryBudget retry_budget_;
  std::mt19937_64 random_;
};

/// Returns the choice of a `keeper_choice` setting, or null if the name is
/// unknown.
std::unique_ptr<KeeperChoice> MakeKeeperChoice(std::string_view name,
                                               uint64_t seed);

}  // namespace ryefold::core::session
