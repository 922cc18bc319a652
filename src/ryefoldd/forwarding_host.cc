#include "ryefoldd/forwarding_host.h"

#include <utility>

#include "ryefold/task/clock.h"
#include "ryefold/wire/session_codec.h"

namespace ryefold::ryefoldd {
namespace {

using core::Event;
using core::EventPriority;
using core::session::CallerId;
using core::session::ForwardedStatement;
using core::session::ForwardId;
using core::session::ForwardOutcome;
using core::session::Reply;
using core::session::TransactionState;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using task::BootTime;
using task::ToSteadyClock;

/// Time for a release to arrive. Lost, the keeper ends the transaction when it
/// has been idle for its time.
constexpr milliseconds kReleaseTime{1000};

}  // namespace

ForwardingHost::ForwardingHost(task::Loop* loop, PeerExchange* peers,
                               core::EventSink* events)
    : loop_(loop), peers_(peers), events_(events) {
  peers_->Serve(wire::kPeerSessionStatement,
                [this](const wire::PeerCall& call) { OnStatement(call); });
  peers_->Serve(wire::kPeerSessionRelease,
                [this](const wire::PeerCall& call) { OnRelease(call); });
  peers_->Serve(wire::kPeerSessionAlive,
                [](const wire::PeerCall& call) { call.Reply(""); });
}

ForwardingHost::~ForwardingHost() = default;

void ForwardingHost::Forward(ForwardId call, const std::string& keeper,
                             const ForwardedStatement& statement,
                             const core::session::ForwardTimeouts& terms) {
  wire::PeerClient* peer = peers_->To(keeper);
  if (peer == nullptr) {
    loop_->Post([this, call] {
      Answered(call, {wire::CallStatus::kNotSent, {}});
    });
    return;
  }
  wire::CallTerms call_terms;
  call_terms.deadline = ToSteadyClock(terms.deadline);
  call_terms.alive_by = ToSteadyClock(terms.send_by);
  call_terms.lost_in_silence = terms.fail_if_unreachable;
  Sent& sent = sent_[call];
  sent.keeper = keeper;
  sent.stream = peer->Call(
      std::string(wire::kPeerSessionStatement), wire::WriteForwarded(statement),
      call_terms, [this, call](const wire::PeerResult& result) {
        // Never from within `Forward`.
        loop_->Post([this, call, result] { Answered(call, result); });
      });
}

void ForwardingHost::Probe(const std::string& instance,
                           core::TimePoint deadline) {
  // Never told from within `Probe`.
  const auto tell = [this, instance](bool alive) {
    loop_->Post([this, instance, alive] {
      proxy_->InstanceProbed(BootTime(), instance, alive);
      Turn();
    });
  };
  wire::PeerClient* peer = peers_->To(instance);
  if (peer == nullptr) return tell(false);
  wire::CallTerms terms;
  terms.deadline = ToSteadyClock(deadline);
  terms.alive_by = terms.deadline;
  peer->Call(std::string(wire::kPeerSessionAlive), {}, terms,
             [tell](const wire::PeerResult& result) {
               tell(result.status == wire::CallStatus::kOk);
             });
}

void ForwardingHost::Answered(ForwardId call, const wire::PeerResult& result) {
  sent_.erase(call);
  ForwardOutcome outcome = ForwardOutcome::kAnswered;
  std::optional<Reply> reply;
  if (result.status == wire::CallStatus::kOk) {
    reply = wire::ReadForwardedReply(result.body);
  }
  if (!reply.has_value()) {
    outcome = result.status == wire::CallStatus::kNotSent
                  ? ForwardOutcome::kNotSent
                  : ForwardOutcome::kLost;
  }
  proxy_->ForwardAnswered(BootTime(), call, outcome,
                          std::move(reply).value_or(Reply()));
  Turn();
}

void ForwardingHost::Cancel(ForwardId call) {
  const auto found = sent_.find(call);
  if (found == sent_.end()) return;
  wire::PeerClient* peer = peers_->To(found->second.keeper);
  if (peer != nullptr) peer->Cancel(found->second.stream);
  sent_.erase(found);
}

void ForwardingHost::Release(const std::string& keeper,
                             const std::string& session) {
  wire::PeerClient* peer = peers_->To(keeper);
  if (peer == nullptr) return;
  peer->Call(std::string(wire::kPeerSessionRelease), session,
             steady_clock::now() + kReleaseTime,
             [](const wire::PeerResult&) {});
}

void ForwardingHost::OnStatement(const wire::PeerCall& call) {
  std::optional<ForwardedStatement> statement =
      wire::ReadForwarded(call.body());
  if (!statement.has_value()) {
    Event(events_, EventPriority::kState, "forwarded_unreadable")
        .Add("bytes", call.body().size());
    call.Refuse();
    return;
  }
  const core::session::AdoptedSessions::AdoptedStatement entry =
      adopted_.Register(statement->session, statement->in_transaction);
  if (entry.superseded_caller != 0) GiveUp(entry.superseded_caller);
  const CallerId caller = entry.caller;
  calls_.insert_or_assign(caller, call);
  call.OnGone([this, caller, number = entry.statement] {
    loop_->Post([this, caller, number] { OnGone(caller, number); });
  });
  proxy_->AdoptStatement(BootTime(), caller, std::move(*statement));
  Turn();
}

/// The instance that waits for the answer is gone or has given up. Nobody else
/// can go on with the session.
void ForwardingHost::OnGone(CallerId caller, uint64_t statement) {
  if (!adopted_.IsNewestStatement(caller, statement) ||
      calls_.count(caller) == 0) {
    return;
  }
  adopted_.Erase(caller);
  GiveUp(caller);
  Turn();
}

void ForwardingHost::OnRelease(const wire::PeerCall& call) {
  const auto caller = adopted_.Find(call.body());
  if (caller.has_value()) {
    adopted_.Erase(*caller);
    GiveUp(*caller);
  }
  call.Reply("");
  Turn();
}

void ForwardingHost::GiveUp(CallerId caller) {
  calls_.erase(caller);
  proxy_->CallerDisconnected(BootTime(), caller);
}

void ForwardingHost::AnswerForwarded(CallerId caller, const Reply& reply) {
  const auto found = calls_.find(caller);
  if (found == calls_.end()) return;
  const wire::PeerCall call = found->second;
  calls_.erase(found);
  call.Reply(wire::WriteForwardedReply(reply));
  if (reply.state == TransactionState::kOpen) return;
  adopted_.Erase(caller);
  loop_->Post(
      [this, caller] { proxy_->CallerDisconnected(BootTime(), caller); });
}

}  // namespace ryefold::ryefoldd
