#pragma once

// Simulates a fleet in virtual time: instances with only configuration, roster
// and duties, one fake platform, network delays of a few milliseconds, and
// injected faults.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "ryefold/core/configuration/node.h"
#include "ryefold/core/membership/duties.h"
#include "ryefold/core/membership/roster.h"
#include "testsuite/support/control/box.h"
#include "testsuite/support/control/platform.h"

namespace ryefold::testing::control {

namespace mem = core::membership;
using std::chrono::milliseconds;
using namespace std::chrono_literals;

class Fleet {
 public:
  explicit Fleet(FleetOptions options)
      : options_(std::move(options)), random_(options_.seed) {
    for (size_t i = 0; i < options_.instances; ++i) AddInstance(i);
    platform.SetMembers(AllMembers());
    for (size_t i = 0; i < instances_.size(); ++i) Start(i);
  }

  Platform platform;
  std::vector<cfg::PublishDone> published;
  std::vector<cfg::InForceDone> in_force_counts;
  std::vector<cfg::HistoryDone> histories;
  /// Detected errors: a revision that decreased, or documents that differ from
  /// the state of their revision.
  std::vector<std::string> violations;
  /// Called for each message between instances: sender, receiver, request or
  /// answer.
  std::function<void(size_t, size_t, const cfg::PeerRequest*,
                     const cfg::PeerAnswer*)>
      on_message;
  std::function<void(size_t, const std::string&, bool)> on_keeper_change;

  TimePoint now() const { return now_; }
  size_t size() const { return instances_.size(); }
  FleetInstance& at(size_t i) { return *instances_[i]; }
  cfg::Node& node(size_t i) { return *instances_[i]->node; }

  // ---- faults ----
  void Start(size_t i);
  void Kill(size_t i) {
    at(i).alive = false;
    ++at(i).generation;
    at(i).deferred.clear();
  }
  void Pause(size_t i) { at(i).paused = true; }
  void Resume(size_t i) {
    at(i).paused = false;
    auto deferred = std::move(at(i).deferred);
    at(i).deferred.clear();
    for (auto& work : deferred) work();
  }
  /// Drops messages between the two instances in both directions.
  void Disconnect(size_t a, size_t b) {
    disconnected_pairs_.insert(std::minmax(a, b));
  }
  void DisconnectFromStore(size_t i) { store_disconnected_.insert(i); }
  void ReconnectAll() {
    disconnected_pairs_.clear();
    store_disconnected_.clear();
  }
  bool IsConnected(size_t a, size_t b) const {
    return !disconnected_pairs_.contains(std::minmax(a, b));
  }

  // ---- operators and entries ----
  cfg::Tag Publish(size_t i, const cfg::Change& change,
                   milliseconds timeout = 8s, bool repeat = false) {
    const cfg::Tag tag = next_tag_++;
    Deliver(i, cfg::PublishRequested{tag, change, now_ + timeout, repeat});
    return tag;
  }
  /// Returns the answer to a publish, or null if there is none yet.
  const cfg::PublishDone* Answer(cfg::Tag tag) const {
    for (const cfg::PublishDone& done : published) {
      if (done.tag == tag) return &done;
    }
    return nullptr;
  }
  bool RunUntilAnswered(cfg::Tag tag, milliseconds timeout = 20s) {
    return RunUntil([&] { return Answer(tag) != nullptr; }, timeout);
  }
  void RequestInForceCount(size_t i, uint64_t revision,
                           milliseconds timeout = 8s) {
    Deliver(i, cfg::InForceRequested{next_tag_++, revision, now_ + timeout});
  }
  void RequestHistory(size_t i, const std::string& key) {
    Deliver(i, cfg::HistoryRequested{next_tag_++, key, 20, now_ + 8s});
  }
  void SetGroups(const std::vector<std::string>& groups) {
    groups_ = groups;
    for (size_t i = 0; i < instances_.size(); ++i) {
      if (at(i).alive) UpdateGroups(i);
    }
  }
  /// Earliest time at which instances receive their groups.
  TimePoint groups_available_at;
  /// Sends an entry's request for the group to instance `i`. Returns whether
  /// the instance keeps the group.
  bool SendGroupRequest(size_t i, const std::string& group) {
    std::vector<mem::DutyAction> actions;
    const bool kept = at(i).duties->AcceptRequest(now_, group, &actions);
    PerformDuties(i, actions);
    ScheduleTick(i);
    return kept;
  }
  void Leave(size_t i) {
    Deliver(i, cfg::Leaving{});
    HandleDuty(i, mem::Retire{});
  }

  // ---- time ----
  void Run(milliseconds duration) {
    const TimePoint end = now_ + duration;
    while (!queue_.empty() && queue_.top().when <= end) {
      const std::function<void()> work = queue_.top().work;
      now_ = std::max(now_, queue_.top().when);
      queue_.pop();
      work();
    }
    now_ = end;
  }
  /// Runs until `done` returns true or `timeout` has passed. Returns the last
  /// result of `done`.
  bool RunUntil(const std::function<bool()>& done, milliseconds timeout,
                milliseconds step = 10ms) {
    const TimePoint end = now_ + timeout;
    while (now_ < end) {
      if (done()) return true;
      Run(step);
    }
    return done();
  }
  void After(milliseconds delay, std::function<void()> work) {
    queue_.push({now_ + delay, next_event_++, std::move(work)});
  }

  // ---- observation ----
  bool InForceEverywhere(uint64_t revision) const {
    return std::all_of(
        instances_.begin(), instances_.end(), [&](const auto& instance) {
          return !instance->alive || instance->node->revision() >= revision;
        });
  }
  bool AllReady() const {
    return std::all_of(
        instances_.begin(), instances_.end(), [&](const auto& instance) {
          return !instance->alive || instance->node->IsReady(now_);
        });
  }
  std::vector<size_t> KeepersOf(const std::string& group) const {
    std::vector<size_t> keepers;
    for (size_t i = 0; i < instances_.size(); ++i) {
      const FleetInstance& instance = *instances_[i];
      if (instance.alive && instance.duties->Keeps(group)) keepers.push_back(i);
    }
    return keepers;
  }
  size_t IndexOf(const std::string& name) const {
    return std::stoull(name.substr(1));
  }
  Member MemberOf(size_t i) const {
    Member member;
    member.name = instances_[i]->name;
    member.address = "10.0.0." + std::to_string(i) + ":8080";
    member.peer_address = "10.0.0." + std::to_string(i) + ":9090";
    member.failure_domain = "domain" + std::to_string(i % options_.domains);
    const size_t region = (i % options_.domains) % options_.regions;
    member.region = "region" + std::to_string(region);
    return member;
  }
  /// All instances and databases, as listed by a platform without lag.
  std::vector<Member> AllMembers() const;

 private:
  struct Scheduled {
    TimePoint when;
    uint64_t order = 0;
    std::function<void()> work;
    bool operator<(const Scheduled& other) const {
      return std::pair(when, order) > std::pair(other.when, other.order);
    }
  };

  void AddInstance(size_t i) {
    instances_.push_back(std::make_unique<FleetInstance>());
    const std::string digits = std::to_string(i);
    instances_.back()->name =
        "i" + std::string(4 - digits.size(), '0') + digits;
  }
  milliseconds RandomDelay() { return milliseconds(1 + random_() % 3); }

  /// Runs `work` on the instance after `delay`. A paused instance defers it; an
  /// instance restarted or stopped in the meantime drops it.
  void RunOn(size_t i, milliseconds delay, std::function<void()> work) {
    const uint64_t generation = at(i).generation;
    After(delay, [this, i, generation, work = std::move(work)] {
      FleetInstance& instance = at(i);
      if (instance.generation != generation || !instance.alive) return;
      if (instance.paused) {
        instance.deferred.push_back([this, i, generation, work] {
          if (at(i).generation == generation) work();
        });
      } else {
        work();
      }
    });
  }

  void Deliver(size_t i, const cfg::Event& event) {
    std::vector<cfg::Action> actions;
    at(i).node->Handle(now_, event, &actions);
    for (cfg::Action& action : actions) {
      std::visit([this, i](auto& a) { Perform(i, a); }, action);
    }
    CheckState(i);
    ScheduleTick(i);
  }

  void HandleDuty(size_t i, const mem::DutyEvent& event) {
    std::vector<mem::DutyAction> actions;
    at(i).duties->Handle(now_, event, &actions);
    PerformDuties(i, actions);
    ScheduleTick(i);
  }

  void ScheduleTick(size_t i) {
    FleetInstance& instance = at(i);
    const TimePoint due = std::min(instance.node->next_deadline(),
                                   instance.duties->next_deadline());
    if (due >= instance.tick_at) return;
    instance.tick_at = due;
    const auto wait = std::chrono::ceil<milliseconds>(due - now_);
    RunOn(i, std::max(wait, milliseconds(1)), [this, i, due] {
      if (at(i).tick_at != due) return;
      at(i).tick_at = TimePoint::max();
      if (at(i).node->next_deadline() <= now_) Deliver(i, cfg::Tick{});
      if (at(i).duties->next_deadline() <= now_) HandleDuty(i, mem::DutyTick{});
      ScheduleTick(i);
    });
  }

  void Perform(size_t i, const cfg::StoreCall& action);
  void Perform(size_t i, const cfg::CallPeer& action);
  void Perform(size_t i, const cfg::ReplyToPeer& action) {
    const auto found = replies_.find({i, action.tag});
    if (found == replies_.end()) return;
    const auto reply = std::move(found->second);
    replies_.erase(found);
    reply(action.answer);
  }
  void Perform(size_t, const cfg::PublishDone& action) {
    published.push_back(action);
  }
  void Perform(size_t, const cfg::InForceDone& action) {
    in_force_counts.push_back(action);
  }
  void Perform(size_t, const cfg::HistoryDone& action) {
    histories.push_back(action);
  }
  void Perform(size_t, const cfg::DocumentsChanged&) {}
  void Perform(size_t i, const cfg::MembersChanged&) {
    at(i).roster->SetMembers(at(i).node->members());
    After(0ms, [this, i, generation = at(i).generation] {
      if (at(i).generation == generation) HandleDuty(i, mem::RosterChanged{});
    });
  }
  void PerformDuties(size_t i, const std::vector<mem::DutyAction>& actions);

  using PeerReply = std::function<void(const cfg::PeerAnswer*, bool refused)>;
  /// Sends a request to a peer and calls `reply` once, on the sender.
  void SendPeerRequest(size_t from, size_t to, const cfg::PeerRequest& request,
                       TimePoint deadline, const PeerReply& reply);
  void CheckState(size_t i);
  void UpdateGroups(size_t i);

  FleetOptions options_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<FleetInstance>> instances_;
  std::vector<std::string> groups_;
  TimePoint now_{std::chrono::hours(1)};
  std::priority_queue<Scheduled> queue_;
  uint64_t next_event_ = 0;
  cfg::Tag next_tag_ = 1;
  std::map<std::pair<size_t, cfg::Tag>,
           std::function<void(const cfg::PeerAnswer&)>>
      replies_;
  std::set<std::pair<size_t, size_t>> disconnected_pairs_;
  std::set<size_t> store_disconnected_;
};

inline std::vector<Member> Fleet::AllMembers() const {
  std::vector<Member> all;
  for (size_t i = 0; i < instances_.size(); ++i) all.push_back(MemberOf(i));
  for (size_t g = 0; g < options_.groups; ++g) {
    for (size_t d = 0; d < 3; ++d) {
      Member database;
      const size_t domain = (g + d * options_.regions) % options_.domains;
      database.name = "g" + std::to_string(g) + "-" + std::to_string(d);
      database.kind = mem::MemberKind::kDatabase;
      database.group = "g" + std::to_string(g);
      database.address = "10.1.0.1:" + std::to_string(5000 + g * 3 + d);
      database.failure_domain = "domain" + std::to_string(domain);
      database.region = "region" + std::to_string(domain % options_.regions);
      all.push_back(database);
    }
  }
  return all;
}

inline void Fleet::Start(size_t i) {
  FleetInstance& instance = at(i);
  cfg::NodeOptions options = options_.node;
  options.self = MemberOf(i);
  options.seed = random_();
  options.incarnation = ++instance.incarnation * 1000;
  for (size_t s = 0; s < 3; ++s) {
    options.seeds.push_back(
        MemberOf((i + s + 1) % instances_.size()).peer_address);
  }
  ++instance.generation;
  instance.alive = true;
  instance.paused = false;
  instance.last_revision = 0;
  instance.tick_at = TimePoint::max();
  instance.node = std::make_unique<cfg::Node>(options);
  instance.roster = std::make_unique<mem::Roster>();
  instance.duties =
      std::make_unique<mem::Duties>(instance.name, instance.roster.get());
  Deliver(i, cfg::Started{});
  UpdateGroups(i);
}

/// An instance learns its groups when its configuration is ready.
inline void Fleet::UpdateGroups(size_t i) {
  if (node(i).IsReady(now_) && now_ >= groups_available_at) {
    HandleDuty(i, mem::GroupsChanged{groups_});
  } else {
    RunOn(i, 20ms, [this, i] { UpdateGroups(i); });
  }
}

inline void Fleet::Perform(size_t i, const cfg::StoreCall& action) {
  const auto completed = std::make_shared<bool>(false);
  // An answer to a previous process is dropped, as its connection was closed.
  // Delivered to the next process of that name, it could match a call with the
  // same id.
  const auto complete = [this, i, completed, generation = at(i).generation,
                         call = action.call](const cfg::StoreAnswer* answer) {
    if (*completed || at(i).generation != generation) return;
    *completed = true;
    if (answer != nullptr) {
      Deliver(i, cfg::StoreAnswered{call, *answer});
    } else {
      Deliver(i, cfg::StoreFailed{call});
    }
  };
  const auto timeout = std::chrono::ceil<milliseconds>(action.deadline - now_);
  RunOn(i, timeout, [complete] { complete(nullptr); });
  if (store_disconnected_.contains(i)) return;
  const auto answered = [this, i, complete](const cfg::StoreAnswer& answer) {
    if (store_disconnected_.contains(i)) return;
    RunOn(i, RandomDelay(), [complete, answer] { complete(&answer); });
  };
  After(RandomDelay() + platform.call_delay,
        [this, request = action.request, answered] {
          platform.Call(request, answered);
        });
  if (const auto* watch = std::get_if<cfg::StoreWatch>(&action.request)) {
    RunOn(i, watch->wait, [answered, this] {
      if (!platform.down) answered(cfg::StoreRead{});
    });
  }
}

inline void Fleet::Perform(size_t i, const cfg::CallPeer& action) {
  const std::string& address = action.address;
  const size_t dot = address.rfind('.');
  const size_t to = std::stoull(address.substr(dot + 1));
  SendPeerRequest(
      i, to, action.request, action.deadline,
      [this, i, call = action.call](const cfg::PeerAnswer* answer, bool) {
        if (answer != nullptr) {
          Deliver(i, cfg::PeerAnswered{call, *answer});
        } else {
          Deliver(i, cfg::PeerFailed{call});
        }
      });
}

inline void Fleet::PerformDuties(size_t i,
                                 const std::vector<mem::DutyAction>& actions) {
  for (const mem::DutyAction& action : actions) {
    if (const auto* keep = std::get_if<mem::KeepGroup>(&action)) {
      if (on_keeper_change) on_keeper_change(i, keep->group, true);
    } else if (const auto* give = std::get_if<mem::ReleaseGroup>(&action)) {
      if (on_keeper_change) on_keeper_change(i, give->group, false);
    } else {
      const auto& check = std::get<mem::CheckKeeper>(action);
      SendPeerRequest(i, IndexOf(check.instance), check.request, check.deadline,
                      [this, i, call = check.call](
                          const cfg::PeerAnswer* answer, bool refused) {
                        if (answer != nullptr) {
                          HandleDuty(
                              i, mem::CheckAnswered{
                                     call, std::get<cfg::DutyReply>(*answer)});
                        } else {
                          HandleDuty(i, mem::CheckFailed{call, refused});
                        }
                      });
    }
  }
}

inline void Fleet::SendPeerRequest(size_t from, size_t to,
                                   const cfg::PeerRequest& request,
                                   TimePoint deadline, const PeerReply& reply) {
  if (on_message) on_message(from, to, &request, nullptr);
  const auto completed = std::make_shared<bool>(false);
  const auto complete = [completed, reply](const cfg::PeerAnswer* answer,
                                           bool refused) {
    if (*completed) return;
    *completed = true;
    reply(answer, refused);
  };
  const auto timeout = std::chrono::ceil<milliseconds>(deadline - now_);
  RunOn(from, timeout, [complete] { complete(nullptr, false); });
  if (!IsConnected(from, to)) return;
  if (!at(to).alive) {
    RunOn(from, 2 * RandomDelay(), [complete] { complete(nullptr, true); });
    return;
  }
  const auto answered = [this, from, to,
                         complete](const cfg::PeerAnswer& answer) {
    if (!IsConnected(from, to)) return;
    if (on_message) on_message(to, from, nullptr, &answer);
    RunOn(from, RandomDelay(),
          [complete, answer] { complete(&answer, false); });
  };
  RunOn(to, RandomDelay(), [this, to, request, answered] {
    if (const auto* check = std::get_if<cfg::DutyCheck>(&request)) {
      answered(at(to).duties->AnswerCheck(*check));
      return;
    }
    const cfg::Tag tag = next_tag_++;
    replies_[{to, tag}] = answered;
    Deliver(to, cfg::PeerCalled{tag, request});
  });
}

inline void Fleet::CheckState(size_t i) {
  FleetInstance& instance = at(i);
  const uint64_t revision = instance.node->revision();
  if (revision < instance.last_revision) {
    violations.push_back(instance.name + ": revision decreased to " +
                         std::to_string(revision));
  }
  if (!options_.check || revision == instance.last_revision) return;
  instance.last_revision = revision;
  std::map<std::string, std::pair<uint64_t, std::optional<std::string>>>
      expected;
  for (const auto& [number, change] : platform.log()) {
    if (number > revision) break;
    for (const cfg::Edit& edit : change.edits) {
      expected[edit.key] = {number, edit.text};
    }
  }
  std::map<std::string, std::pair<uint64_t, std::optional<std::string>>> held;
  for (const auto& [key, document] : instance.node->documents()) {
    held[key] = {document.version, document.text};
  }
  if (held != expected) {
    violations.push_back(instance.name +
                         ": documents differ from the log at revision " +
                         std::to_string(revision));
  }
}

}  // namespace ryefold::testing::control
