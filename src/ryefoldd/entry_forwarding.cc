// The entry task's side towards keepers: carrying out what the forwarder
// decides.

#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "ryefold/wire/caller_codec.h"
#include "ryefold/wire/peer_codec.h"
#include "ryefoldd/entry_task.h"
#include "ryefoldd/http_reply.h"

namespace ryefold::ryefoldd {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds kRankingFresh{200};
/// An answer to a probe later than this helps nobody.
constexpr milliseconds kProbeBound{2000};
/// More than these are never tried for one request.
constexpr size_t kRanksUsed = 8;

core::TimePoint Now() { return std::chrono::steady_clock::now(); }

}  // namespace

void EntryTask::Drive(core::entry::Event event) {
  events_.push_back(std::move(event));
  if (driving_) return;
  driving_ = true;
  std::vector<core::entry::Action> actions;
  while (!events_.empty()) {
    const core::entry::Event next = std::move(events_.front());
    events_.pop_front();
    actions.clear();
    forwarder_->Handle(Now(), next, &actions);
    for (const core::entry::Action& action : actions) Perform(action);
  }
  driving_ = false;
  timer_->ArmFor(forwarder_->next_deadline());
}

void EntryTask::Perform(const core::entry::Action& action) {
  if (const auto* respond = std::get_if<core::entry::Respond>(&action)) {
    Respond(*respond);
  } else if (const auto* forward = std::get_if<core::entry::Forward>(&action)) {
    Forward(*forward);
  } else if (const auto* settle = std::get_if<core::entry::Settle>(&action)) {
    Settle(*settle);
  } else if (const auto* suspect = std::get_if<core::entry::Suspect>(&action)) {
    wiring_->control.Send(InstanceSuspected{suspect->instance});
  } else if (const auto* trust = std::get_if<core::entry::Trust>(&action)) {
    wiring_->control.Send(InstanceTrusted{trust->instance});
  } else if (const auto* probe = std::get_if<core::entry::Probe>(&action)) {
    Probe(*probe);
  }
}

void EntryTask::Respond(const core::entry::Respond& action) {
  const auto found = waiting_.find(action.tag);
  if (found == waiting_.end()) return;
  Waiting waiting = std::move(found->second);
  waiting_.erase(found);
  core::session::Advance(&waiting.token, waiting.group, action.answer.seen());
  wire::HttpReply reply;
  reply.status = wire::StatusOf(action.answer);
  reply.body =
      wire::WriteCallerAnswer(action.answer, waiting.request_id, waiting.token);
  if (reply.status == kUnavailable) {
    reply.headers["Retry-After"] =
        RetryAfterSeconds(action.answer.retry_after());
  }
  const auto latency =
      std::chrono::duration_cast<microseconds>(Now() - waiting.arrived);
  wiring_->metrics.Answered(waiting.workspace, waiting.priority, action.answer,
                            latency);
  waiting.exchange.Reply(reply);
}

void EntryTask::Forward(const core::entry::Forward& action) {
  if (action.instance == wiring_->settings.name) {
    CallLocal(action.call, LocalStatement{action.call, action.request});
    return;
  }
  CallPeer(action.call, action.instance, wire::kPeerStatement,
           wire::WritePeerRequest(Now(), action.request),
           action.request.deadline);
}

void EntryTask::Settle(const core::entry::Settle& action) {
  if (action.instance == wiring_->settings.name) {
    CallLocal(action.call, LocalSettle{action.call, action.request});
    return;
  }
  CallPeer(action.call, action.instance, wire::kPeerSettle,
           wire::WritePeerSettle(Now(), action.request),
           action.request.deadline);
}

void EntryTask::Probe(const core::entry::Probe& action) {
  const std::string instance = action.instance;
  if (instance == wiring_->settings.name) {
    wiring_->keeper.Send(LocalProbe{});
    return;
  }
  wire::PeerClient* peer = PeerFor(instance);
  if (peer == nullptr) return;
  peer->Call(std::string(wire::kPeerAlive), {}, Now() + kProbeBound,
             [this, instance](const wire::PeerResult& result) {
               if (result.status != wire::CallStatus::kOk) return;
               Drive(core::entry::ProbeAnswered{instance});
             });
}

void EntryTask::CallLocal(uint64_t call, KeeperMessage message) {
  if (!wiring_->keeper.Send(std::move(message))) {
    Drive(core::entry::PeerFailed{call, /*may_have_arrived=*/false});
    return;
  }
  local_calls_[call] = true;
}

void EntryTask::CallPeer(uint64_t call, const std::string& instance,
                         std::string_view path, std::string body,
                         core::TimePoint deadline) {
  wire::PeerClient* peer = PeerFor(instance);
  if (peer == nullptr) {
    Drive(core::entry::PeerFailed{call, /*may_have_arrived=*/false});
    return;
  }
  peer->Call(std::string(path), std::move(body), deadline,
             [this, call](const wire::PeerResult& result) {
               OnPeerResult(call, result);
             });
}

void EntryTask::OnPeerResult(uint64_t call, const wire::PeerResult& result) {
  if (result.status == wire::CallStatus::kOk) {
    if (auto answer = wire::ReadPeerAnswer(result.body)) {
      Drive(core::entry::PeerAnswered{call, std::move(*answer)});
      return;
    }
  }
  const bool may_have_arrived = result.status != wire::CallStatus::kNotSent;
  Drive(core::entry::PeerFailed{call, may_have_arrived});
}

void EntryTask::LocalTaskFailed() {
  // The keeper task lost all that it held. Whatever had been passed to it may
  // have reached a database, so each call is settled or answered as unknown;
  // without this its callers would wait until their deadlines.
  std::unordered_map<uint64_t, bool> lost;
  lost.swap(local_calls_);
  for (const auto& [call, unused] : lost) {
    Drive(core::entry::PeerFailed{call, /*may_have_arrived=*/true});
  }
}

wire::PeerClient* EntryTask::PeerFor(const std::string& instance) {
  if (!roster_) return nullptr;
  const core::membership::Member* known = roster_->Find(instance);
  if (known == nullptr) return nullptr;
  std::unique_ptr<wire::PeerClient>& peer = peers_[instance];
  std::string& address = peer_addresses_[instance];
  if (!peer || address != known->peer_address) {
    // The old client may be the one that is calling us; the loop deletes it.
    std::shared_ptr<wire::PeerClient> old = std::move(peer);
    loop_->Post([old] {});
    peer =
        std::make_unique<wire::PeerClient>(loop_->base(), known->peer_address);
    address = known->peer_address;
  }
  return peer.get();
}

std::vector<std::string> EntryTask::Ranked(core::TimePoint now,
                                           const std::string& group) {
  if (!roster_) return {};
  // Ranking looks at every instance, too much for each statement of a large
  // fleet. The order only changes with the roster, which clears this, or when
  // a suspicion lapses, which the age bound picks up.
  RankedEntry& entry = ranked_[group];
  if (entry.fresh_until <= now) {
    entry.instances = roster_->RankedInstances(now, group);
    if (entry.instances.size() > kRanksUsed) entry.instances.resize(kRanksUsed);
    entry.fresh_until = now + kRankingFresh;
  }
  return entry.instances;
}

}  // namespace ryefold::ryefoldd
