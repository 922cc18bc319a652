#pragma once

// Instances that keep copies of one store in virtual time, over links and a
// store with faults to order. What goes between instances takes its wire form.

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "ryefold/core/mirror/mirror.h"
#include "ryefold/core/mirror/relay.h"
#include "ryefold/wire/mirror_codec.h"
#include "testsuite/support/mirror/fake_store_keys.h"

namespace ryefold::testsuite {

class MirrorFleet;

/// Keeps what instances log, with time and name, for the story of a failure.
class StoryLog : public core::EventSink {
 public:
  StoryLog(MirrorFleet* fleet, std::string name)
      : fleet_(fleet), name_(std::move(name)) {}
  bool IsEnabled(core::EventPriority /*weight*/) override { return true; }
  void Write(core::EventPriority weight, std::string_view line) override;

 private:
  MirrorFleet* fleet_;
  const std::string name_;
};

/// One process. Killed ones stay until the end, deaf and mute.
class MirrorInstance : public core::mirror::MirrorPort,
                       public core::mirror::RelayPort {
 public:
  MirrorInstance(MirrorFleet* fleet, std::string name, uint64_t seed);

  void Start();
  void SetMembers(const std::vector<core::mirror::Member>& members);
  void Freeze(milliseconds span) { frozen_until_ = Now() + span; }
  void Kill() { killed_ = true; }
  bool killed() const { return killed_; }

  const EntryMap& entries() const { return mirror_.log().entries(); }
  const core::mirror::Mirror& mirror() const { return mirror_; }
  const std::string& name() const { return name_; }
  /// Bytes that this instance has received from others.
  uint64_t bytes = 0;

  void ListStore(const std::string& after, const AnswerLimits& limits) override;
  void WatchStore(uint64_t after, milliseconds wait,
                  const AnswerLimits& limits) override;
  void AskRelay(const std::string& instance, uint64_t after, milliseconds wait,
                TimePoint deadline) override;
  void AnswerRelayed(core::mirror::RelayCall call,
                     const core::mirror::RelayAnswer& answer) override;

  /// Another instance asks; `done` gets the body.
  void Asked(const std::string& question,
             const std::function<void(const std::string&)>& done);
  /// Runs when the process is awake; never when it was killed.
  void Deliver(const std::function<void()>& work);

 private:
  TimePoint Now() const;
  void Answered(const ReadResult& result);
  void Tick();
  void Turn();

  MirrorFleet* fleet_;
  const std::string name_;
  StoryLog log_;
  bool killed_ = false;
  TimePoint frozen_until_;
  core::mirror::Mirror mirror_;
  core::mirror::Relay relay_;
  core::mirror::RelayCall last_call_ = 0;
  std::map<core::mirror::RelayCall, std::function<void(const std::string&)>>
      calls_;
  uint64_t newest_seen_ = 0;
};

class MirrorFleet {
 public:
  /// Instances spread over three failure domains.
  MirrorFleet(size_t instances, uint64_t seed) : store(&clock), random_(seed) {
    for (size_t i = 0; i < instances; ++i) Add("instance-" + std::to_string(i));
  }

  void Add(const std::string& name) {
    members_.push_back({name, "domain-" + std::to_string(added_++ % 3)});
    all.push_back(std::make_unique<MirrorInstance>(this, name, random_()));
  }
  /// Tells everybody who is there. In a deployment that comes by the store too.
  void TellMembers() {
    std::vector<core::mirror::Member> living;
    for (const core::mirror::Member& member : members_) {
      const MirrorInstance* instance = Find(member.instance);
      if (instance != nullptr) living.push_back(member);
    }
    for (const auto& each : all) each->SetMembers(living);
  }
  void Start() {
    TellMembers();
    for (const auto& each : all) each->Start();
    clock.RunUntil(clock.now() + milliseconds(5000));
  }
  void RunFor(milliseconds span) { clock.RunUntil(clock.now() + span); }

  MirrorInstance* Find(const std::string& name) {
    for (const auto& each : all) {
      if (each->name() == name && !each->killed()) return each.get();
    }
    return nullptr;
  }
  size_t Living() const {
    return static_cast<size_t>(
        std::count_if(all.begin(), all.end(),
                      [](const auto& each) { return !each->killed(); }));
  }
  std::string DomainOf(const std::string& name) const {
    for (const core::mirror::Member& member : members_) {
      if (member.instance == name) return member.failure_domain;
    }
    return "";
  }
  /// Instances of which others hear.
  std::vector<MirrorInstance*> Relays() {
    std::vector<MirrorInstance*> relays;
    for (const auto& each : all) {
      const core::mirror::RelayPlan plan = core::mirror::PlanRelays(
          {each->name(), DomainOf(each->name())}, members_);
      if (plan.relays) relays.push_back(each.get());
    }
    return relays;
  }
  /// Living instances whose copy differs from the store.
  size_t Behind() const {
    return static_cast<size_t>(
        std::count_if(all.begin(), all.end(), [this](const auto& each) {
          return !each->killed() && each->entries() != store.keys();
        }));
  }
  /// Time until all copies are the store's, or `bound`.
  milliseconds TimeUntilLevel(milliseconds bound) {
    const TimePoint start = clock.now();
    while (Behind() > 0 && clock.now() - start < bound) {
      RunFor(milliseconds(10));
    }
    return std::chrono::duration_cast<milliseconds>(clock.now() - start);
  }
  uint64_t Bytes() const {
    uint64_t bytes = 0;
    for (const auto& each : all) bytes += each->bytes;
    return bytes;
  }

  VirtualClock clock;
  FakeStoreKeys store;
  std::vector<std::unique_ptr<MirrorInstance>> all;
  /// Pairs (from, to) between which nothing passes.
  std::set<std::pair<std::string, std::string>> cut;
  /// What went wrong, by the instances' own account.
  std::vector<std::string> faults;
  /// The newest lines of all instances' logs.
  std::deque<std::string> lines;

 private:
  std::mt19937_64 random_;
  std::vector<core::mirror::Member> members_;
  size_t added_ = 0;
};

inline MirrorInstance::MirrorInstance(MirrorFleet* fleet, std::string name,
                                      uint64_t seed)
    : fleet_(fleet),
      name_(std::move(name)),
      log_(fleet, name_),
      mirror_(core::mirror::MirrorTiming(), /*first_start=*/false, seed, this,
              &log_,
              [](const EntryMap&, const EntryMap&) {
                return core::mirror::WatchPace::kUsual;
              }),
      relay_(&mirror_.log(), this) {}

inline void StoryLog::Write(core::EventPriority /*weight*/,
                            std::string_view line) {
  constexpr size_t kMostLines = 200;
  const auto at = std::chrono::duration_cast<milliseconds>(
      fleet_->clock.now().time_since_epoch());
  fleet_->lines.push_back(std::to_string(at.count()) + " " + name_ + " " +
                          std::string(line));
  if (fleet_->lines.size() > kMostLines) fleet_->lines.pop_front();
}

inline TimePoint MirrorInstance::Now() const { return fleet_->clock.now(); }

inline void MirrorInstance::Deliver(const std::function<void()>& work) {
  if (killed_) return;
  if (Now() >= frozen_until_) {
    work();
    return;
  }
  fleet_->clock.At(frozen_until_, [this, work] { Deliver(work); });
}

inline void MirrorInstance::Start() {
  mirror_.Start(Now());
  Tick();
}

inline void MirrorInstance::Tick() {
  fleet_->clock.After(milliseconds(10), [this] {
    Deliver([this] {
      mirror_.Tick(Now());
      relay_.Tick(Now());
      Tick();
    });
  });
}

inline void MirrorInstance::SetMembers(
    const std::vector<core::mirror::Member>& members) {
  mirror_.SetPlan(
      core::mirror::PlanRelays({name_, fleet_->DomainOf(name_)}, members));
}

inline void MirrorInstance::Answered(const ReadResult& result) {
  mirror_.Answered(Now(), result);
  if (mirror_.as_of() < newest_seen_) {
    fleet_->faults.push_back(name_ + " went back");
  }
  newest_seen_ = mirror_.as_of();
  relay_.SetState(mirror_.relay_state(), mirror_.confirmed_at());
  relay_.Changed();
}

inline void MirrorInstance::ListStore(const std::string& after,
                                      const AnswerLimits& limits) {
  fleet_->store.List(name_, after, limits, [this](const ReadResult& result) {
    Deliver([this, result] { Answered(result); });
  });
}

inline void MirrorInstance::WatchStore(uint64_t after, milliseconds wait,
                                       const AnswerLimits& limits) {
  fleet_->store.Watch(name_, after, wait, limits,
                      [this](const ReadResult& result) {
                        Deliver([this, result] { Answered(result); });
                      });
}

/// One way between two instances.
inline constexpr milliseconds kLink{1};
/// Within this time a relay has to show that it lives, or it is not asked.
inline constexpr milliseconds kAliveTime{200};

inline void MirrorInstance::AskRelay(const std::string& instance,
                                     uint64_t after, milliseconds wait,
                                     TimePoint deadline) {
  const auto answered = std::make_shared<bool>(false);
  const auto finish = [this, answered](const ReadResult& result) {
    if (std::exchange(*answered, true)) return;
    Answered(result);
  };
  fleet_->clock.At(deadline, [this, finish] {
    Deliver([finish] { finish(ReadError::kUnreachable); });
  });
  const auto passes = [this, instance] {
    return fleet_->cut.count({name_, instance}) == 0 &&
           fleet_->cut.count({instance, name_}) == 0;
  };
  const std::string question = wire::WriteRelayQuestion({after, wait});
  const auto take = [this, finish, passes](const std::string& body) {
    if (!passes()) return;
    bytes += body.size();
    fleet_->clock.After(kLink, [this, finish, body] {
      Deliver([this, finish, body] {
        finish(wire::ReadRelayAnswer(
            body, [this](const std::string& key) -> const Entry* {
              const auto found = entries().find(key);
              return found == entries().end() ? nullptr : &found->second;
            }));
      });
    });
  };
  const TimePoint alive_by = Now() + kAliveTime;
  const auto taken = std::make_shared<bool>(false);
  fleet_->clock.At(alive_by, [this, finish, taken] {
    if (*taken) return;
    Deliver([finish] { finish(ReadError::kUnreachable); });
  });
  fleet_->clock.After(kLink, [=, this] {
    MirrorInstance* relay = fleet_->Find(instance);
    if (!passes()) return;
    if (relay == nullptr) {
      Deliver([finish] { finish(ReadError::kUnreachable); });
      return;
    }
    relay->Deliver([=] {
      if (relay->Now() > alive_by) return;
      *taken = true;
      relay->Asked(question, take);
    });
  });
}

inline void MirrorInstance::Asked(
    const std::string& question,
    const std::function<void(const std::string&)>& done) {
  const auto read = wire::ReadRelayQuestion(question);
  const core::mirror::RelayCall call = ++last_call_;
  calls_[call] = done;
  relay_.Asked(Now(), call, read->after, Now() + read->wait);
}

inline void MirrorInstance::AnswerRelayed(
    core::mirror::RelayCall call, const core::mirror::RelayAnswer& answer) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return;
  const auto done = found->second;
  calls_.erase(found);
  done(wire::WriteRelayAnswer(Now(), answer));
}

}  // namespace ryefold::testsuite
