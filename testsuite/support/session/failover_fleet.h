#pragma once

// Failover of a fake database group in virtual time: a coordinator on each
// instance, the duty that moves between instances, and the platform's promotion
// call.

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "ryefold/core/event.h"
#include "ryefold/core/failover/failover_control.h"
#include "testsuite/support/session/checked_callers.h"

namespace ryefold::testsuite {

/// Writes event lines with virtual time and the databases' logs to standard
/// error if RYEFOLD_TRACE is set, to trace one seed.
class TraceSink : public core::EventSink {
 public:
  explicit TraceSink(CheckedCallers* callers) : callers_(callers) {}

  bool IsEnabled(core::EventPriority /*priority*/) override { return enabled_; }
  void Write(core::EventPriority /*priority*/, std::string_view line) override {
    const auto since_start = std::chrono::duration_cast<milliseconds>(
                                 callers_->clock().now().time_since_epoch()) -
                             std::chrono::hours(1);
    std::cerr << since_start.count() << " " << line << " logs=";
    for (const char* id : {"db-a", "db-b", "db-c"}) {
      const FakeDatabase& database = callers_->cluster().database(id);
      const LogPosition end =
          database.log.empty() ? LogPosition() : database.log.back().position;
      std::cerr << " " << id << ":" << end.term << "." << end.index << "/t"
                << database.term << (database.primary ? "(primary)" : "")
                << (database.up ? "" : "(down)")
                << (database.detached ? "(detached)" : "");
    }
    std::cerr << std::endl;
  }

 private:
  CheckedCallers* callers_;
  const bool enabled_ = std::getenv("RYEFOLD_TRACE") != nullptr;
};

/// Runs the coordinators of all instances of `CheckedCallers`. One of them at a
/// time holds the duty and evaluates the group.
class FailoverFleet {
 public:
  /// `announcement_delay` is the time in which all instances hear of an order.
  explicit FailoverFleet(CheckedCallers* callers,
                         milliseconds announcement_delay = milliseconds(5))
      : callers_(callers),
        trace_(callers),
        announcement_delay_(announcement_delay) {
    for (size_t i = 0; i < callers_->hosts(); ++i) {
      instances_.push_back(std::make_unique<Instance>(this, i));
    }
    Evaluate();
  }

  /// Gives the duty to a random instance under a higher token. Nobody holds it
  /// during `vacancy`.
  void MoveDuty(milliseconds vacancy) {
    holder_.reset();
    const size_t next = callers_->random()() % instances_.size();
    clock().After(vacancy, [this, next, move = ++moves_] {
      if (move != moves_) return;
      holder_ = next;
      ++token_;
      for (const auto& instance : instances_) instance->HolderChanged();
    });
  }
  /// Restarts an instance; if it holds the duty, its lease expires.
  void RestartInstance(size_t index) {
    if (holder_ == index) MoveDuty(kLeaseTtl);
    callers_->RestartHost(index);
    // The announcement is in the store, which the instance lists.
    callers_->host(index).proxy()->ExpectPrimary(clock().now(), "group",
                                                 announced_);
    instances_[index] = std::make_unique<Instance>(this, index);
    instances_[index]->AnnouncementRead("group", announced_);
  }
  size_t promotions() const { return promotions_; }
  core::EventSink* trace() { return &trace_; }

 private:
  static constexpr milliseconds kEvaluationInterval{100};
  static constexpr milliseconds kLeaseTtl{3000};
  /// Time in which a holder that resigned gets the duty again.
  static constexpr milliseconds kReelection{320};
  static constexpr milliseconds kStreamLatency{2};
  /// Timeout of the promotion call.
  static constexpr milliseconds kPromotionCallTimeout{900};

  class Instance : public core::failover::PromotionAuthority,
                   public core::failover::CoordinatorPort,
                   public core::failover::GroupMonitorPort {
   public:
    Instance(FailoverFleet* fleet, size_t index)
        : fleet_(fleet),
          index_(index),
          control_(index, this, this, this, &fleet->trace_) {}

    void Evaluate(std::optional<uint64_t> token) {
      control_.Evaluate(fleet_->clock().now(), *proxy(), token);
    }
    void ReportsReceived(
        const std::vector<core::failover::GroupReport>& reports) {
      control_.ReportsReceived(fleet_->clock().now(), reports);
    }
    void ReportsFailed() { control_.ReportsFailed(fleet_->clock().now()); }
    void HolderChanged() { control_.HolderChanged(fleet_->clock().now()); }
    void PromotionAnswered(const std::string& group, uint64_t token,
                           core::failover::PromotionOutcome outcome) {
      control_.coordinator().PromotionAnswered(fleet_->clock().now(), group,
                                               token, outcome);
    }

    void AnnouncementRead(const std::string& group,
                          const std::string& database) {
      control_.coordinator().AnnouncementRead(fleet_->clock().now(), group,
                                              database);
    }

    void Promote(const std::string& group, const std::string& database,
                 uint64_t token) override {
      fleet_->SendOrder(index_, group, database, token);
    }
    void Probe(const std::string& group) override {
      proxy()->ProbeGroup(fleet_->clock().now(), group);
    }
    void PauseReplication(const std::string& database, uint64_t term) override {
      proxy()->PauseReplication(fleet_->clock().now(), database, term);
    }
    void ResumeReplication(const std::string& database) override {
      proxy()->ResumeReplication(fleet_->clock().now(), database);
    }
    void Announce(const std::string& group,
                  const std::string& database) override {
      fleet_->AnnounceToAll(group, database);
    }
    void ReplaceToken(const std::string& /*reason*/) override {
      fleet_->MoveDuty(kReelection);
    }
    void SendReports(
        const std::vector<core::failover::GroupReport>& reports) override {
      fleet_->SendReports(index_, reports);
    }

   private:
    Proxy* proxy() { return fleet_->callers_->host(index_).proxy(); }

    FailoverFleet* fleet_;
    const size_t index_;
    core::failover::FailoverControl control_;
  };

  VirtualClock& clock() { return callers_->clock(); }

  void Evaluate() {
    for (size_t i = 0; i < instances_.size(); ++i) {
      const bool holds = holder_ == i;
      instances_[i]->Evaluate(holds ? std::optional<uint64_t>(token_)
                                    : std::nullopt);
    }
    clock().After(kEvaluationInterval, [this] { Evaluate(); });
  }

  void SendReports(size_t instance,
                   const std::vector<core::failover::GroupReport>& reports) {
    clock().After(kStreamLatency, [this, instance, reports] {
      if (!holder_.has_value()) {
        instances_[instance]->ReportsFailed();
      } else {
        instances_[*holder_]->ReportsReceived(reports);
      }
    });
  }

  void SendOrder(size_t instance, const std::string& group,
                 const std::string& database, uint64_t token) {
    using core::failover::PromotionOutcome;
    const milliseconds latency(1 + callers_->random()() % 20);
    const bool answer_lost = callers_->random()() % 6 == 0;
    clock().After(latency, [this, instance, group, database, token,
                            answer_lost] {
      const PromotionOutcome outcome = ExecuteOrder(database, token);
      const milliseconds delay =
          answer_lost ? kPromotionCallTimeout : milliseconds(2);
      clock().After(delay, [this, instance, group, token, answer_lost,
                            outcome] {
        instances_[instance]->PromotionAnswered(
            group, token, answer_lost ? PromotionOutcome::kUnknown : outcome);
      });
    });
  }

  core::failover::PromotionOutcome ExecuteOrder(const std::string& database,
                                                uint64_t token) {
    using core::failover::PromotionOutcome;
    FakeCluster& cluster = callers_->cluster();
    if (token < highest_token_) return PromotionOutcome::kFenced;
    highest_token_ = token;
    if (!cluster.database(database).up) return PromotionOutcome::kNotRunning;
    if (cluster.primary() == database) return PromotionOutcome::kAccepted;
    const milliseconds duration(200 + callers_->random()() % 800);
    clock().After(duration, [this, database] {
      FakeCluster& promoted = callers_->cluster();
      if (!promoted.database(database).up) return;
      if (promoted.primary() == database) return;
      if (promoted.replaced_stay_active()) LetThirdReceivePromotion(database);
      promoted.Promote(database);
      core::Event(&trace_, core::EventPriority::kState, "promoted")
          .Add("database", database);
      ++promotions_;
      callers_->PublishRoster();
    });
    return PromotionOutcome::kAccepted;
  }

  /// Lets the third database, neither the old nor the new primary, receive the
  /// promotion. No guarantee holds for one that misses a promotion and is then
  /// alone with a primary that stays active.
  void LetThirdReceivePromotion(const std::string& candidate) {
    FakeCluster& cluster = callers_->cluster();
    const std::string old = cluster.primary();
    for (const char* id : {"db-a", "db-b", "db-c"}) {
      if (id == old || id == candidate) continue;
      FakeDatabase& third = cluster.database(id);
      third.detached = false;
      third.primary = false;
      third.partitioned_from.erase(candidate);
      cluster.database(candidate).partitioned_from.erase(id);
    }
  }

  void AnnounceToAll(const std::string& group, const std::string& database) {
    clock().After(announcement_delay_, [this, group, database] {
      announced_ = database;
      for (size_t i = 0; i < callers_->hosts(); ++i) {
        callers_->host(i).proxy()->ExpectPrimary(clock().now(), group,
                                                 database);
        instances_[i]->AnnouncementRead(group, database);
      }
    });
  }

  CheckedCallers* callers_;
  TraceSink trace_;
  const milliseconds announcement_delay_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::optional<size_t> holder_ = 0;
  uint64_t token_ = 1;
  uint64_t highest_token_ = 0;
  uint64_t moves_ = 0;
  size_t promotions_ = 0;
  /// The last announcement, as the store holds it.
  std::string announced_;
};

}  // namespace ryefold::testsuite
