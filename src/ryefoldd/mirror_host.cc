#include "ryefoldd/mirror_host.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "ryefold/task/clock.h"
#include "ryefold/wire/mirror_codec.h"

namespace ryefold::ryefoldd {
namespace {

using core::Event;
using core::EventPriority;
using core::mirror::ReadError;
using core::mirror::ReadResult;
using core::mirror::RelayState;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using task::BootTime;
using task::ToSteadyClock;

/// Time that a relay has for a sign of life before it is asked. One that died
/// stays in the list for up to a minute and is tried again each few seconds;
/// most of them would go into waiting for its answer.
constexpr milliseconds kAliveTime{200};

}  // namespace

MirrorHost::MirrorHost(task::Loop* loop, core::mirror::StoreSource* store,
                       PeerExchange* peers, core::EventSink* events,
                       bool first_start,
                       core::mirror::Mirror::Listener listener)
    : loop_(loop),
      store_(store),
      peers_(peers),
      events_(events),
      mirror_(core::mirror::MirrorTiming(), first_start,
              static_cast<uint64_t>(BootTime().time_since_epoch().count()),
              this, events, std::move(listener)),
      relay_(&mirror_.log(), this),
      timer_(loop, [this] { Tick(); }) {
  if (peers_ == nullptr) return;
  peers_->Serve(wire::kPeerMirror,
                [this](const wire::PeerCall& call) { OnQuestion(call); });
}

void MirrorHost::Start() {
  mirror_.Start(BootTime());
  Rearm();
}

void MirrorHost::SetMembers(const core::mirror::Member& self,
                            const std::vector<core::mirror::Member>& members) {
  mirror_.SetPlan(core::mirror::PlanRelays(self, members));
}

void MirrorHost::Retire() {
  retired_ = true;
  relay_.SetState(RelayState::kNotCurrent, mirror_.confirmed_at());
}

void MirrorHost::ListStore(const std::string& after,
                           const core::AnswerLimits& limits) {
  store_->List(after,
               {ToSteadyClock(limits.deadline), limits.inactivity_timeout},
               [this](const ReadResult& result) { Answered(result); });
}

void MirrorHost::WatchStore(uint64_t after, milliseconds wait,
                            const core::AnswerLimits& limits) {
  store_->Watch(after, wait,
                {ToSteadyClock(limits.deadline), limits.inactivity_timeout},
                [this](const ReadResult& result) { Answered(result); });
}

void MirrorHost::AskRelay(const std::string& instance, uint64_t after,
                          milliseconds wait, core::TimePoint deadline) {
  wire::PeerClient* peer = peers_->To(instance);
  if (peer == nullptr) {
    loop_->Post([this] { Answered(ReadError::kUnreachable); });
    return;
  }
  wire::CallTerms terms;
  terms.deadline = ToSteadyClock(deadline);
  terms.alive_by = std::min(terms.deadline, steady_clock::now() + kAliveTime);
  peer->Call(std::string(wire::kPeerMirror),
             wire::WriteRelayQuestion({after, wait}), terms,
             [this](const wire::PeerResult& result) {
               // Never from within `AskRelay`.
               loop_->Post([this, result] { RelayAnswered(result); });
             });
}

void MirrorHost::RelayAnswered(const wire::PeerResult& result) {
  if (result.status != wire::CallStatus::kOk) {
    Answered(ReadError::kUnreachable);
    return;
  }
  const core::mirror::EntryMap& held = mirror_.log().entries();
  Answered(wire::ReadRelayAnswer(
      result.body,
      [&held](const std::string& key) -> const core::mirror::Entry* {
        const auto found = held.find(key);
        return found == held.end() ? nullptr : &found->second;
      }));
}

void MirrorHost::Answered(const ReadResult& result) {
  mirror_.OnAnswer(BootTime(), result);
  relay_.SetState(retired_ ? RelayState::kNotCurrent : mirror_.relay_state(),
                  mirror_.confirmed_at());
  relay_.OnLogChanged();
  if (confirmed_) confirmed_(mirror_.confirmed_at());
  Rearm();
}

void MirrorHost::OnQuestion(const wire::PeerCall& call) {
  const auto question = wire::ReadRelayQuestion(call.body());
  if (!question.has_value()) {
    Event(events_, EventPriority::kState, "relay_question_unreadable")
        .Add("bytes", call.body().size());
    call.Refuse();
    return;
  }
  const core::mirror::RelayCallId id = ++last_call_;
  calls_.insert_or_assign(id, call);
  call.OnGone([this, id] {
    loop_->Post([this, id] {
      calls_.erase(id);
      relay_.DropRequest(id);
    });
  });
  const core::TimePoint now = BootTime();
  relay_.HandleRequest(now, id, question->after, now + question->wait);
  Rearm();
}

void MirrorHost::SendRelayAnswer(core::mirror::RelayCallId call,
                                 const core::mirror::RelayAnswer& answer) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return;
  const wire::PeerCall waiting = found->second;
  calls_.erase(found);
  waiting.Reply(wire::WriteRelayAnswer(BootTime(), answer));
}

void MirrorHost::Tick() {
  const core::TimePoint now = BootTime();
  mirror_.Tick(now);
  relay_.Tick(now);
  Rearm();
}

void MirrorHost::Rearm() {
  const core::TimePoint next =
      std::min(mirror_.next_deadline(), relay_.next_deadline());
  if (next != core::TimePoint::max()) timer_.ArmFor(ToSteadyClock(next));
}

}  // namespace ryefold::ryefoldd
