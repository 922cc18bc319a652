#pragma once

// Simulated instances that mirror one store in virtual time, over links and a
// store with fault injection. Messages between instances are encoded and
// decoded by the wire codec.

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

#include "ryefold/core/mirror/first_copy.h"
#include "ryefold/core/mirror/mirror.h"
#include "ryefold/core/mirror/relay.h"
#include "ryefold/wire/mirror_codec.h"
#include "testsuite/support/mirror/fake_store_keys.h"

namespace ryefold::testsuite {

class MirrorFleet;

/// Collects the log log_lines of an instance, with time and instance name, for
/// failure messages.
class RecordingLog : public core::EventSink {
 public:
  RecordingLog(MirrorFleet* fleet, std::string name)
      : fleet_(fleet), name_(std::move(name)) {}
  bool IsEnabled(core::EventPriority /*weight*/) override { return true; }
  void Write(core::EventPriority weight, std::string_view line) override;

 private:
  MirrorFleet* fleet_;
  const std::string name_;
};

/// One process. A killed instance stays allocated, and neither sends nor
/// receives.
class MirrorInstance : public core::mirror::MirrorPort,
                       public core::mirror::RelayPort,
                       public core::mirror::FirstCopyPort {
 public:
  MirrorInstance(MirrorFleet* fleet, std::string name,
                 const std::string& failure_domain, uint64_t seed);

  /// Starts with a listing of the store.
  void Start();
  /// Starts as a process does, which does not know the other instances yet.
  void StartUnprepared();
  void SetMembers(const std::vector<core::mirror::Member>& members);
  void Suspend(milliseconds span) { suspended_until_ = Now() + span; }
  void Kill() { killed_ = true; }
  bool killed() const { return killed_; }

  const EntryMap& entries() const { return mirror_.log().entries(); }
  const core::mirror::Mirror& mirror() const { return mirror_; }
  const std::string& name() const { return name_; }
  /// Times that changes were encoded for other instances.
  uint64_t packed_count() const { return answer_writer_.packed_count(); }
  /// TotalBytes that this instance has received from others.
  uint64_t bytes_received = 0;

  void ListStore(const std::string& after, const AnswerLimits& limits) override;
  void WatchStore(uint64_t after, milliseconds wait,
                  const AnswerLimits& limits) override;
  void AskRelay(const std::string& instance, uint64_t after, milliseconds wait,
                TimePoint deadline) override;
  void SendRelayAnswer(core::mirror::RelayCallId call,
                       const core::mirror::RelayAnswer& answer) override;
  void SampleInstances(const AnswerLimits& limits) override;
  void AskCopy(const std::string& instance, milliseconds wait,
               TimePoint deadline) override;
  void StartFromCopy(const core::mirror::Reading& copy,
                     TimePoint confirmed_at) override;
  void StartFromStore() override;

  /// Handles a question of another instance; `done` receives the answer's body.
  void HandleQuestion(const std::string& question,
                      const std::function<void(const std::string&)>& done);
  /// Runs `work` once the process is not suspended; never if it was killed.
  void Deliver(const std::function<void()>& work);

 private:
  TimePoint Now() const;
  using Answer = std::function<void(const ReadResult&)>;
  void Ask(const std::string& instance, const wire::RelayQuestion& question,
           TimePoint deadline, const Answer& answer);
  void Answered(const ReadResult& result);
  void UpdateRelay();
  void Tick();

  MirrorFleet* fleet_;
  const std::string name_;
  RecordingLog log_;
  bool killed_ = false;
  TimePoint suspended_until_;
  core::mirror::Mirror mirror_;
  core::mirror::Relay relay_;
  core::mirror::FirstCopy first_copy_;
  wire::RelayAnswerWriter answer_writer_;
  core::mirror::RelayCallId last_call_ = 0;
  std::map<core::mirror::RelayCallId, std::function<void(const std::string&)>>
      calls_;
  uint64_t max_as_of_ = 0;
};

class MirrorFleet {
 public:
  /// Creates instances in three failure domains.
  MirrorFleet(size_t instances, uint64_t seed) : store(&clock), random_(seed) {
    for (size_t i = 0; i < instances; ++i) Add("instance-" + std::to_string(i));
  }

  void Add(const std::string& name) {
    members_.push_back(
        {name, "domain-" + std::to_string(members_added_++ % 3)});
    all.push_back(std::make_unique<MirrorInstance>(
        this, name, members_.back().failure_domain, random_()));
  }
  /// Kills the instances for which `is_lost` is true and starts them again.
  template <class Predicate>
  void RestartAtOnce(const Predicate& is_lost) {
    const size_t count = all.size();
    std::vector<MirrorInstance*> restarted;
    for (size_t i = 0; i < count; ++i) {
      if (all[i]->killed() || !is_lost(i)) continue;
      all[i]->Kill();
      const std::string name = all[i]->name();
      all.push_back(std::make_unique<MirrorInstance>(this, name, DomainOf(name),
                                                     random_()));
      restarted.push_back(all.back().get());
    }
    for (MirrorInstance* each : restarted) each->StartUnprepared();
  }
  /// Returns the members that follow `name` in the list, as a store's page
  /// does; all of them if they are few.
  std::vector<core::mirror::Member> SampleAfter(const std::string& name) const {
    constexpr size_t kPage = 200;
    std::map<std::string, core::mirror::Member> sorted;
    for (const auto& each : members_) sorted[each.instance] = each;
    std::vector<core::mirror::Member> sample;
    for (auto it = sorted.upper_bound(name);
         it != sorted.end() && sample.size() < kPage; ++it) {
      sample.push_back(it->second);
    }
    if (sample.size() >= kPage / 4) return sample;
    sample.clear();
    for (auto it = sorted.begin(); it != sorted.end() && sample.size() < kPage;
         ++it) {
      sample.push_back(it->second);
    }
    return sample;
  }
  const std::vector<core::mirror::Member>& members() const { return members_; }
  /// Updates the member list of all instances at once. In a deployment it comes
  /// from the store.
  void UpdateMembers() {
    std::vector<core::mirror::Member> live;
    for (const core::mirror::Member& member : members_) {
      const MirrorInstance* instance = Find(member.instance);
      if (instance != nullptr) live.push_back(member);
    }
    for (const auto& each : all) each->SetMembers(live);
  }
  void Start() {
    UpdateMembers();
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
  size_t CountLive() const {
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
  /// Returns the instances that are relays for others.
  std::vector<MirrorInstance*> Relays() {
    std::vector<MirrorInstance*> relays;
    for (const auto& each : all) {
      const core::mirror::RelayPlan plan = core::mirror::PlanRelays(
          {each->name(), DomainOf(each->name())}, members_);
      if (plan.relays) relays.push_back(each.get());
    }
    return relays;
  }
  /// Returns the number of live instances whose copy differs from the store.
  size_t CountStale() const {
    return static_cast<size_t>(
        std::count_if(all.begin(), all.end(), [this](const auto& each) {
          return !each->killed() && each->entries() != store.keys();
        }));
  }
  /// Runs until all live copies equal the store's keys. Returns the time
  /// accepted, `bound` at most.
  milliseconds TimeUntilConverged(milliseconds bound) {
    const TimePoint start = clock.now();
    while (CountStale() > 0 && clock.now() - start < bound) {
      RunFor(milliseconds(10));
    }
    return std::chrono::duration_cast<milliseconds>(clock.now() - start);
  }
  uint64_t TotalBytes() const {
    uint64_t total = 0;
    for (const auto& each : all) total += each->bytes_received;
    return total;
  }

  VirtualClock clock;
  FakeStoreKeys store;
  std::vector<std::unique_ptr<MirrorInstance>> all;
  /// Pairs (from, to) of instances whose link is down.
  std::set<std::pair<std::string, std::string>> blocked_links;
  /// Violations that instances have detected.
  std::vector<std::string> violations;
  /// The newest log log_lines of all instances.
  std::deque<std::string> log_lines;

 private:
  std::mt19937_64 random_;
  std::vector<core::mirror::Member> members_;
  size_t members_added_ = 0;
};

inline MirrorInstance::MirrorInstance(MirrorFleet* fleet, std::string name,
                                      const std::string& failure_domain,
                                      uint64_t seed)
    : fleet_(fleet),
      name_(std::move(name)),
      log_(fleet, name_),
      mirror_(core::mirror::MirrorTiming(), /*first_start=*/false, seed, this,
              &log_,
              [](const EntryMap&, const EntryMap&) {
                return core::mirror::WatchUrgency::kNormal;
              }),
      relay_(&mirror_.log(), this),
      first_copy_({name_, failure_domain}, seed, this, &log_) {}

inline void RecordingLog::Write(core::EventPriority /*weight*/,
                                std::string_view line) {
  constexpr size_t kMaxLines = 200;
  const auto at = std::chrono::duration_cast<milliseconds>(
      fleet_->clock.now().time_since_epoch());
  fleet_->log_lines.push_back(std::to_string(at.count()) + " " + name_ + " " +
                              std::string(line));
  if (fleet_->log_lines.size() > kMaxLines) fleet_->log_lines.pop_front();
}

inline TimePoint MirrorInstance::Now() const { return fleet_->clock.now(); }

inline void MirrorInstance::Deliver(const std::function<void()>& work) {
  if (killed_) return;
  if (Now() >= suspended_until_) {
    work();
    return;
  }
  fleet_->clock.At(suspended_until_, [this, work] { Deliver(work); });
}

inline void MirrorInstance::Start() {
  mirror_.Start(Now());
  Tick();
}

inline void MirrorInstance::Tick() {
  fleet_->clock.After(milliseconds(10), [this] {
    Deliver([this] {
      first_copy_.Tick(Now());
      mirror_.Tick(Now());
      relay_.Tick(Now());
      Tick();
    });
  });
}

inline void MirrorInstance::StartUnprepared() {
  first_copy_.Start(Now());
  Tick();
}

inline void MirrorInstance::SampleInstances(const AnswerLimits& limits) {
  fleet_->store.AnswerSmallCall(
      name_, limits,
      [this](const ReadResult&) {
        Deliver([this] { first_copy_.OnSample(Now(), {}, /*failed=*/true); });
      },
      [this] {
        Deliver([this] {
          first_copy_.OnSample(Now(), fleet_->SampleAfter(name_),
                               /*failed=*/false);
        });
      });
}

inline void MirrorInstance::AskCopy(const std::string& instance,
                                    milliseconds wait, TimePoint deadline) {
  Ask(instance, {0, wait, /*any_copy=*/true}, deadline,
      [this](const ReadResult& result) { first_copy_.OnCopy(Now(), result); });
}

inline void MirrorInstance::StartFromCopy(const core::mirror::Reading& copy,
                                          TimePoint confirmed_at) {
  // In a deployment the copy holds the list of instances.
  SetMembers(fleet_->members());
  mirror_.StartFromCopy(Now(), copy, confirmed_at);
  UpdateRelay();
}

inline void MirrorInstance::StartFromStore() {
  SetMembers(fleet_->members());
  mirror_.Start(Now());
}

inline void MirrorInstance::SetMembers(
    const std::vector<core::mirror::Member>& members) {
  mirror_.SetPlan(
      core::mirror::PlanRelays({name_, fleet_->DomainOf(name_)}, members));
}

inline void MirrorInstance::Answered(const ReadResult& result) {
  mirror_.OnAnswer(Now(), result);
  if (mirror_.as_of() < max_as_of_) {
    fleet_->violations.push_back(name_ + ": revision of the copy decreased");
  }
  max_as_of_ = mirror_.as_of();
  UpdateRelay();
}

inline void MirrorInstance::UpdateRelay() {
  relay_.SetState(mirror_.relay_state(), mirror_.confirmed_at());
  relay_.SetHasCopy(mirror_.has_copy());
  relay_.OnLogChanged();
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

/// One-way latency between two instances.
inline constexpr milliseconds kLinkLatency{1};
/// A relay that does not accept a call within this time counts as unreachable.
inline constexpr milliseconds kLivenessTimeout{200};

inline void MirrorInstance::AskRelay(const std::string& instance,
                                     uint64_t after, milliseconds wait,
                                     TimePoint deadline) {
  Ask(instance, {after, wait}, deadline,
      [this](const ReadResult& result) { Answered(result); });
}

inline void MirrorInstance::Ask(const std::string& instance,
                                const wire::RelayQuestion& asked,
                                TimePoint deadline, const Answer& answer) {
  const auto answered = std::make_shared<bool>(false);
  const auto finish = [answered, answer](const ReadResult& result) {
    if (std::exchange(*answered, true)) return;
    answer(result);
  };
  fleet_->clock.At(deadline, [this, finish] {
    Deliver([finish] { finish(ReadError::kUnreachable); });
  });
  const auto link_is_up = [this, instance] {
    return fleet_->blocked_links.count({name_, instance}) == 0 &&
           fleet_->blocked_links.count({instance, name_}) == 0;
  };
  const std::string question = wire::WriteRelayQuestion(asked);
  const auto receive = [this, finish, link_is_up](const std::string& body) {
    if (!link_is_up()) return;
    bytes_received += body.size();
    fleet_->clock.After(kLinkLatency, [this, finish, body] {
      Deliver([this, finish, body] {
        finish(wire::ReadRelayAnswer(
            body, [this](const std::string& key) -> const Entry* {
              const auto found = entries().find(key);
              return found == entries().end() ? nullptr : &found->second;
            }));
      });
    });
  };
  const TimePoint liveness_deadline = Now() + kLivenessTimeout;
  const auto accepted = std::make_shared<bool>(false);
  fleet_->clock.At(liveness_deadline, [this, finish, accepted] {
    if (*accepted) return;
    Deliver([finish] { finish(ReadError::kUnreachable); });
  });
  fleet_->clock.After(kLinkLatency, [=, this] {
    MirrorInstance* relay = fleet_->Find(instance);
    if (!link_is_up()) return;
    if (relay == nullptr) {
      Deliver([finish] { finish(ReadError::kUnreachable); });
      return;
    }
    relay->Deliver([=] {
      if (relay->Now() > liveness_deadline) return;
      *accepted = true;
      relay->HandleQuestion(question, receive);
    });
  });
}

inline void MirrorInstance::HandleQuestion(
    const std::string& question,
    const std::function<void(const std::string&)>& done) {
  const auto read = wire::ReadRelayQuestion(question);
  const core::mirror::RelayCallId call = ++last_call_;
  calls_[call] = done;
  if (read->any_copy) {
    relay_.HandleCopyRequest(Now(), call, Now() + read->wait);
  } else {
    relay_.HandleRequest(Now(), call, read->after, Now() + read->wait);
  }
}

inline void MirrorInstance::SendRelayAnswer(
    core::mirror::RelayCallId call, const core::mirror::RelayAnswer& answer) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return;
  const auto done = found->second;
  calls_.erase(found);
  done(answer_writer_.Write(Now(), answer));
}

}  // namespace ryefold::testsuite
