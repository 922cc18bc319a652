#include "ryefoldd/mirror_host.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <optional>
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

MirrorHost::MirrorHost(task::Loop* loop, const core::mirror::Member& self,
                       core::mirror::StoreSource* store, PeerExchange* peers,
                       core::EventSink* events, bool first_start,
                       core::mirror::Mirror::Listener listener)
    : loop_(loop),
      store_(store),
      peers_(peers),
      events_(events),
      mirror_(core::mirror::MirrorTiming(), first_start,
              static_cast<uint64_t>(BootTime().time_since_epoch().count()),
              this, events, std::move(listener)),
      relay_(&mirror_.log(), this),
      first_copy_(self, std::hash<std::string>()(self.instance), this, events),
      timer_(loop, [this] { Tick(); }) {
  if (peers_ == nullptr) return;
  peers_->Serve(wire::kPeerMirror,
                [this](const wire::PeerCall& call) { OnQuestion(call); });
}

void MirrorHost::Start() {
  if (peers_ == nullptr) {
    mirror_.Start(BootTime());
  } else {
    first_copy_.Start(BootTime());
  }
  Rearm();
}

void MirrorHost::SampleInstances(const core::AnswerLimits& limits) {
  using core::mirror::RegisteredInstance;
  store_->SampleInstances(
      {ToSteadyClock(limits.deadline), limits.inactivity_timeout},
      [this](const std::optional<std::vector<RegisteredInstance>>& sample) {
        std::map<std::string, std::string> addresses;
        std::vector<core::mirror::Member> members;
        for (const RegisteredInstance& each :
             sample.value_or(std::vector<RegisteredInstance>())) {
          addresses[each.member.instance] = each.address;
          members.push_back(each.member);
        }
        if (!addresses.empty()) peers_->SetAddresses(std::move(addresses));
        first_copy_.OnSample(BootTime(), members, !sample.has_value());
        Rearm();
      });
}

void MirrorHost::AskCopy(const std::string& instance, milliseconds wait,
                         core::TimePoint deadline) {
  AskInstance(instance, {0, wait, /*any_copy=*/true}, deadline,
              [this](const ReadResult& result) {
                first_copy_.OnCopy(BootTime(), result);
                Rearm();
              });
}

void MirrorHost::StartFromCopy(const core::mirror::Reading& copy,
                               core::TimePoint confirmed_at) {
  mirror_.StartFromCopy(BootTime(), copy, confirmed_at);
  UpdateRelay();
}

void MirrorHost::StartFromStore() { mirror_.Start(BootTime()); }

void MirrorHost::SetMembers(const core::mirror::Member& self,
                            const std::vector<core::mirror::Member>& members) {
  mirror_.SetPlan(core::mirror::PlanRelays(self, members));
}

void MirrorHost::Retire() {
  retired_ = true;
  UpdateRelay();
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
  AskInstance(instance, {after, wait}, deadline,
              [this](const ReadResult& result) { Answered(result); });
}

/// Never calls `answer` before it returns.
void MirrorHost::AskInstance(const std::string& instance,
                             const wire::RelayQuestion& question,
                             core::TimePoint deadline, const Answer& answer) {
  wire::PeerClient* peer = peers_->To(instance);
  if (peer == nullptr) {
    loop_->Post([answer] { answer(ReadError::kUnreachable); });
    return;
  }
  wire::CallTerms terms;
  terms.deadline = ToSteadyClock(deadline);
  terms.alive_by = std::min(terms.deadline, steady_clock::now() + kAliveTime);
  peer->Call(
      std::string(wire::kPeerMirror), wire::WriteRelayQuestion(question), terms,
      [this, answer](const wire::PeerResult& result) {
        loop_->Post([this, answer, result] { answer(ReadAnswer(result)); });
      });
}

ReadResult MirrorHost::ReadAnswer(const wire::PeerResult& result) const {
  if (result.status != wire::CallStatus::kOk) return ReadError::kUnreachable;
  const core::mirror::EntryMap& held = mirror_.log().entries();
  return wire::ReadRelayAnswer(
      result.body,
      [&held](const std::string& key) -> const core::mirror::Entry* {
        const auto found = held.find(key);
        return found == held.end() ? nullptr : &found->second;
      });
}

void MirrorHost::Answered(const ReadResult& result) {
  mirror_.OnAnswer(BootTime(), result);
  UpdateRelay();
  Rearm();
}

void MirrorHost::UpdateRelay() {
  relay_.SetState(retired_ ? RelayState::kNotCurrent : mirror_.relay_state(),
                  mirror_.confirmed_at());
  relay_.SetHasCopy(mirror_.has_copy() && !retired_);
  relay_.OnLogChanged();
  if (confirmed_) confirmed_(mirror_.confirmed_at());
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
  calls_.insert_or_assign(id, WaitingCall{call, question->accepts_packed});
  call.OnGone([this, id] {
    loop_->Post([this, id] {
      calls_.erase(id);
      relay_.DropRequest(id);
    });
  });
  const core::TimePoint now = BootTime();
  if (question->any_copy) {
    relay_.HandleCopyRequest(now, id, now + question->wait);
  } else {
    relay_.HandleRequest(now, id, question->after, now + question->wait);
  }
  Rearm();
}

void MirrorHost::SendRelayAnswer(core::mirror::RelayCallId call,
                                 const core::mirror::RelayAnswer& answer) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return;
  const WaitingCall waiting = found->second;
  calls_.erase(found);
  const core::TimePoint now = BootTime();
  waiting.call.Reply(waiting.accepts_packed
                         ? answer_writer_.Write(now, answer)
                         : wire::WriteRelayAnswer(now, answer));
}

void MirrorHost::Tick() {
  const core::TimePoint now = BootTime();
  first_copy_.Tick(now);
  mirror_.Tick(now);
  relay_.Tick(now);
  Rearm();
}

void MirrorHost::Rearm() {
  const core::TimePoint next =
      std::min({mirror_.next_deadline(), relay_.next_deadline(),
                first_copy_.next_deadline()});
  if (next != core::TimePoint::max()) timer_.ArmFor(ToSteadyClock(next));
}

}  // namespace ryefold::ryefoldd
