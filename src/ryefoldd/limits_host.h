#pragma once

// The limits of workspaces on the gateway's loop: questions to and from other
// instances, and the table of who grants what.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "platform/shard_store.h"
#include "ryefold/core/event.h"
#include "ryefold/core/limits/allowance_ledger.h"
#include "ryefold/core/limits/granted_limiter.h"
#include "ryefold/core/limits/shard_assigner.h"
#include "ryefold/core/session/proxy.h"
#include "ryefold/task/loop.h"
#include "ryefold/wire/peer.h"
#include "ryefoldd/peer_exchange.h"

namespace ryefold::ryefoldd {

class LimitsHost : public core::limits::AllowancePort,
                   public core::limits::LimitListener {
 public:
  /// What the gateway shares with it; all outlive it.
  struct Surroundings {
    task::Loop* loop = nullptr;
    PeerExchange* peers = nullptr;
    platform::StoreClient* store = nullptr;
    core::session::Proxy* proxy = nullptr;
    core::EventSink* events = nullptr;
    core::limits::LedgerSettings ledger;
    /// Whether this instance is the one that writes what only one may write.
    std::function<bool()> holds_duty;
    /// Called when deadlines or output may have changed.
    std::function<void()> turn;
  };

  LimitsHost(const core::limits::ShardOwner& self, Surroundings surroundings);
  ~LimitsHost() override;
  LimitsHost(const LimitsHost&) = delete;
  LimitsHost& operator=(const LimitsHost&) = delete;

  /// Takes what a mirror of the store has found changed, after the proxy has.
  void OnItems(const core::mirror::EntryMap& items,
               const core::mirror::EntryMap& changed);
  /// The mirror's copy is known to be what the store held at `when`.
  void OnConfirmed(core::TimePoint when) { ledger_.TableConfirmed(when); }
  void SetInstances(const std::vector<core::limits::ShardOwner>& instances);

  core::limits::OperationLimiter* limiter() { return &limiter_; }
  const core::limits::AllowanceLedger::AdvanceCounters& advance_counters()
      const {
    return ledger_.advance_counters();
  }
  std::map<std::string, core::limits::LimitUsage> usage() const {
    return limiter_.usage();
  }
  const core::limits::LedgerCounters& counters() const {
    return ledger_.counters();
  }

  void RequestAllowance(uint64_t call, const core::limits::ShardOwner& owner,
                        const core::limits::AllowanceRequest& request,
                        core::TimePoint deadline) override;
  void OperationAllowed(core::TimePoint now,
                        core::limits::OperationId operation) override;
  void OperationRefused(core::TimePoint now,
                        core::limits::OperationId operation,
                        const core::limits::LimitAnswer& answer) override;

 private:
  void OnQuestion(const wire::PeerCall& call);
  void Answered(uint64_t call, const wire::PeerResult& result);
  void Maintain();

  const Surroundings surroundings_;
  platform::ShardStore shards_;
  core::limits::AllowanceLedger ledger_;
  core::limits::GrantedLimiter limiter_;
  core::limits::ShardAssigner assigner_;
  uint64_t config_version_ = 0;
  task::TimerId timer_ = 0;
};

}  // namespace ryefold::ryefoldd
