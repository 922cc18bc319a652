#pragma once

// Runs the mirror of the store on the task's loop: its calls on the store and
// on other instances, and their calls on this one.

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "ryefold/core/event.h"
#include "ryefold/core/mirror/first_copy.h"
#include "ryefold/core/mirror/mirror.h"
#include "ryefold/core/mirror/relay.h"
#include "ryefold/core/mirror/store_source.h"
#include "ryefold/task/deadline_timer.h"
#include "ryefold/task/loop.h"
#include "ryefold/wire/mirror_codec.h"
#include "ryefold/wire/peer.h"
#include "ryefoldd/peer_exchange.h"

namespace ryefold::ryefoldd {

class MirrorHost : public core::mirror::MirrorPort,
                   public core::mirror::RelayPort,
                   public core::mirror::FirstCopyPort {
 public:
  /// `peers` may be null: then the store is the only source.
  MirrorHost(task::Loop* loop, const core::mirror::Member& self,
             core::mirror::StoreSource* store, PeerExchange* peers,
             core::EventSink* events, bool first_start,
             core::mirror::Mirror::Listener listener);
  MirrorHost(const MirrorHost&) = delete;
  MirrorHost& operator=(const MirrorHost&) = delete;

  void Start();
  void SetMembers(const core::mirror::Member& self,
                  const std::vector<core::mirror::Member>& members);
  /// This instance is leaving: others have to hear from another.
  void Retire();

  /// Told `Mirror::confirmed_at` after each answer of a source.
  void OnConfirmed(std::function<void(core::TimePoint)> confirmed) {
    confirmed_ = std::move(confirmed);
  }

  uint64_t as_of() const { return mirror_.as_of(); }
  core::TimePoint confirmed_at() const { return mirror_.confirmed_at(); }
  /// Instances that wait for news from here.
  size_t listeners() const { return relay_.pending_requests(); }
  /// Instance that changes are heard from; empty: the store itself.
  const std::string& relay() const { return mirror_.relay(); }

  void ListStore(const std::string& after,
                 const core::AnswerLimits& limits) override;
  void WatchStore(uint64_t after, std::chrono::milliseconds wait,
                  const core::AnswerLimits& limits) override;
  void AskRelay(const std::string& instance, uint64_t after,
                std::chrono::milliseconds wait,
                core::TimePoint deadline) override;
  void SendRelayAnswer(core::mirror::RelayCallId call,
                       const core::mirror::RelayAnswer& answer) override;
  void SampleInstances(const core::AnswerLimits& limits) override;
  void AskCopy(const std::string& instance, std::chrono::milliseconds wait,
               core::TimePoint deadline) override;
  void StartFromCopy(const core::mirror::Reading& copy,
                     core::TimePoint confirmed_at) override;
  void StartFromStore() override;

 private:
  struct WaitingCall {
    wire::PeerCall call;
    bool accepts_packed = false;
  };
  using Answer = std::function<void(const core::mirror::ReadResult&)>;
  void AskInstance(const std::string& instance,
                   const wire::RelayQuestion& question,
                   core::TimePoint deadline, const Answer& answer);
  core::mirror::ReadResult ReadAnswer(const wire::PeerResult& result) const;
  void UpdateRelay();
  void Answered(const core::mirror::ReadResult& result);
  void OnQuestion(const wire::PeerCall& call);
  void Tick();
  void Rearm();

  task::Loop* loop_;
  core::mirror::StoreSource* store_;
  PeerExchange* peers_;
  core::EventSink* events_;
  core::mirror::Mirror mirror_;
  core::mirror::Relay relay_;
  core::mirror::FirstCopy first_copy_;
  wire::RelayAnswerWriter answer_writer_;
  std::function<void(core::TimePoint)> confirmed_;
  bool retired_ = false;
  core::mirror::RelayCallId last_call_ = 0;
  std::map<core::mirror::RelayCallId, WaitingCall> calls_;
  task::DeadlineTimer timer_;
};

}  // namespace ryefold::ryefoldd
