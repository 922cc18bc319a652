#pragma once

// Streams on which instances run each other's statements.

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "ryefold/core/event.h"
#include "ryefold/core/session/adopted_sessions.h"
#include "ryefold/core/session/proxy.h"
#include "ryefold/task/loop.h"
#include "ryefold/wire/peer.h"
#include "ryefoldd/peer_exchange.h"

namespace ryefold::ryefoldd {

/// Both sides: calls keepers for the own callers, and answers other instances
/// as a keeper. On the task's loop.
class ForwardingHost : public core::session::Forwarder {
 public:
  ForwardingHost(task::Loop* loop, PeerExchange* peers,
                 core::EventSink* events);
  ~ForwardingHost() override;
  ForwardingHost(const ForwardingHost&) = delete;
  ForwardingHost& operator=(const ForwardingHost&) = delete;

  void Attach(core::session::Proxy* proxy) { proxy_ = proxy; }
  /// Called after each event, when deadlines or output may have changed.
  void OnTurn(std::function<void()> turn) { turn_ = std::move(turn); }
  void Forward(core::session::ForwardId call, const std::string& keeper,
               const core::session::ForwardedStatement& statement,
               const core::session::ForwardTimeouts& terms) override;
  void Probe(const std::string& instance, core::TimePoint deadline) override;
  void Cancel(core::session::ForwardId call) override;
  void Release(const std::string& keeper, const std::string& session) override;
  void AnswerForwarded(core::session::CallerId caller,
                       const core::session::Reply& reply) override;

 private:
  struct Sent {
    std::string keeper;
    uint64_t stream = 0;
  };

  void OnStatement(const wire::PeerCall& call);
  void OnRelease(const wire::PeerCall& call);
  void OnGone(core::session::CallerId caller, uint64_t statement);
  void GiveUp(core::session::CallerId caller);
  void Answered(core::session::ForwardId call, const wire::PeerResult& result);
  void Turn() {
    if (turn_) turn_();
  }

  task::Loop* loop_;
  PeerExchange* peers_;
  core::EventSink* events_;
  core::session::Proxy* proxy_ = nullptr;
  std::function<void()> turn_;
  std::unordered_map<core::session::ForwardId, Sent> sent_;
  core::session::AdoptedSessions adopted_;
  /// Statements of other instances that wait for their answers.
  std::unordered_map<core::session::CallerId, wire::PeerCall> calls_;
};

}  // namespace ryefold::ryefoldd
