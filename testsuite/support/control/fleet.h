#pragma once

// Instances with the control part of the core only (configuration, roster,
// duties) in virtual time, one fake platform, messages that take a few
// milliseconds, and the faults that the tests need.

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
    for (size_t i = 0; i < options_.instances; ++i) Add(i);
    platform.SetMembers(Everybody());
    for (size_t i = 0; i < boxes_.size(); ++i) Start(i);
  }

  Platform platform;
  std::vector<cfg::PublishDone> published;
  std::vector<cfg::ForceDone> counted;
  std::vector<cfg::HistoryDone> histories;
  /// What was seen to be wrong: a revision that fell, or documents that never
  /// were the state of their revision.
  std::vector<std::string> violations;
  /// Sees each message between instances: sender, receiver, request or answer.
  std::function<void(size_t, size_t, const cfg::PeerRequest*,
                     const cfg::PeerAnswer*)>
      wire;
  std::function<void(size_t, const std::string&, bool)> on_duty;

  TimePoint now() const { return now_; }
  size_t size() const { return boxes_.size(); }
  Box& at(size_t i) { return *boxes_[i]; }
  cfg::Node& node(size_t i) { return *boxes_[i]->node; }

  // ---- faults ----
  void Start(size_t i);
  void Kill(size_t i) {
    at(i).alive = false;
    ++at(i).generation;
    at(i).deferred.clear();
  }
  void Freeze(size_t i) { at(i).frozen = true; }
  void Thaw(size_t i) {
    at(i).frozen = false;
    auto deferred = std::move(at(i).deferred);
    at(i).deferred.clear();
    for (auto& work : deferred) work();
  }
  /// Messages between the two get lost, both ways.
  void Cut(size_t a, size_t b) { cuts_.insert(std::minmax(a, b)); }
  void CutFromStore(size_t i) { no_store_.insert(i); }
  void Heal() {
    cuts_.clear();
    no_store_.clear();
  }
  bool Reaches(size_t a, size_t b) const {
    return !cuts_.contains(std::minmax(a, b));
  }

  // ---- what operators and entries do ----
  cfg::Tag Publish(size_t i, const cfg::Change& change,
                   milliseconds patience = 8s, bool repeat = false) {
    const cfg::Tag tag = next_tag_++;
    Deliver(i, cfg::PublishArrived{tag, change, now_ + patience, repeat});
    return tag;
  }
  /// The answer to a publish, null while there is none.
  const cfg::PublishDone* Answer(cfg::Tag tag) const {
    for (const cfg::PublishDone& done : published) {
      if (done.tag == tag) return &done;
    }
    return nullptr;
  }
  bool RunUntilAnswered(cfg::Tag tag, milliseconds most = 20s) {
    return RunUntil([&] { return Answer(tag) != nullptr; }, most);
  }
  void Count(size_t i, uint64_t revision, milliseconds patience = 8s) {
    Deliver(i, cfg::ForceArrived{next_tag_++, revision, now_ + patience});
  }
  void AskHistory(size_t i, const std::string& key) {
    Deliver(i, cfg::HistoryArrived{next_tag_++, key, 20, now_ + 8s});
  }
  void SetGroups(const std::vector<std::string>& groups) {
    groups_ = groups;
    for (size_t i = 0; i < boxes_.size(); ++i) {
      if (at(i).alive) LearnGroups(i);
    }
  }
  /// Instances started meanwhile learn their groups at this time at the
  /// earliest.
  TimePoint groups_from;
  /// An entry's request for the group reaches instance `i`.
  bool Ask(size_t i, const std::string& group) {
    std::vector<mem::DutyAction> actions;
    const bool kept = at(i).duties->AcceptRequest(now_, group, &actions);
    DoDuties(i, actions);
    ScheduleTick(i);
    return kept;
  }
  void Leave(size_t i) {
    Deliver(i, cfg::Leaving{});
    Duty(i, mem::Retire{});
  }

  // ---- time ----
  void Run(milliseconds length) {
    const TimePoint end = now_ + length;
    while (!queue_.empty() && queue_.top().when <= end) {
      const std::function<void()> work = queue_.top().work;
      now_ = std::max(now_, queue_.top().when);
      queue_.pop();
      work();
    }
    now_ = end;
  }
  /// Runs until `done`, a while at most; whether it came about.
  bool RunUntil(const std::function<bool()>& done, milliseconds most,
                milliseconds step = 10ms) {
    const TimePoint end = now_ + most;
    while (now_ < end) {
      if (done()) return true;
      Run(step);
    }
    return done();
  }
  void After(milliseconds delay, std::function<void()> work) {
    queue_.push({now_ + delay, next_event_++, std::move(work)});
  }

  // ---- what is seen ----
  bool InForceEverywhere(uint64_t revision) const {
    return std::all_of(boxes_.begin(), boxes_.end(), [&](const auto& box) {
      return !box->alive || box->node->revision() >= revision;
    });
  }
  bool AllReady() const {
    return std::all_of(boxes_.begin(), boxes_.end(), [&](const auto& box) {
      return !box->alive || box->node->ready(now_);
    });
  }
  std::vector<size_t> KeepersOf(const std::string& group) const {
    std::vector<size_t> keepers;
    for (size_t i = 0; i < boxes_.size(); ++i) {
      const Box& box = *boxes_[i];
      if (box.alive && box.duties->Keeps(group)) keepers.push_back(i);
    }
    return keepers;
  }
  size_t IndexOf(const std::string& name) const {
    return std::stoull(name.substr(1));
  }
  Member MemberOf(size_t i) const {
    Member member;
    member.name = boxes_[i]->name;
    member.address = "10.0.0." + std::to_string(i) + ":8080";
    member.peer_address = "10.0.0." + std::to_string(i) + ":9090";
    member.failure_domain = "domain" + std::to_string(i % options_.domains);
    const size_t region = (i % options_.domains) % options_.regions;
    member.region = "region" + std::to_string(region);
    return member;
  }
  /// All instances and databases, as a list that does not lag says.
  std::vector<Member> Everybody() const;

 private:
  struct Scheduled {
    TimePoint when;
    uint64_t order = 0;
    std::function<void()> work;
    bool operator<(const Scheduled& other) const {
      return std::pair(when, order) > std::pair(other.when, other.order);
    }
  };

  void Add(size_t i) {
    boxes_.push_back(std::make_unique<Box>());
    const std::string digits = std::to_string(i);
    boxes_.back()->name = "i" + std::string(4 - digits.size(), '0') + digits;
  }
  milliseconds Way() { return milliseconds(1 + random_() % 3); }

  /// Runs `work` on the instance after `delay`, later if it is frozen, never
  /// if it has been restarted meanwhile.
  void At(size_t i, milliseconds delay, std::function<void()> work) {
    const uint64_t generation = at(i).generation;
    After(delay, [this, i, generation, work = std::move(work)] {
      Box& box = at(i);
      if (box.generation != generation || !box.alive) return;
      if (box.frozen) {
        box.deferred.push_back([this, i, generation, work] {
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
      std::visit([this, i](auto& a) { Do(i, a); }, action);
    }
    Check(i);
    ScheduleTick(i);
  }

  void Duty(size_t i, const mem::DutyEvent& event) {
    std::vector<mem::DutyAction> actions;
    at(i).duties->Handle(now_, event, &actions);
    DoDuties(i, actions);
    ScheduleTick(i);
  }

  void ScheduleTick(size_t i) {
    Box& box = at(i);
    const TimePoint due =
        std::min(box.node->next_deadline(), box.duties->next_deadline());
    if (due >= box.tick_at) return;
    box.tick_at = due;
    const auto wait = std::chrono::ceil<milliseconds>(due - now_);
    At(i, std::max(wait, milliseconds(1)), [this, i, due] {
      if (at(i).tick_at != due) return;
      at(i).tick_at = TimePoint::max();
      if (at(i).node->next_deadline() <= now_) Deliver(i, cfg::Tick{});
      if (at(i).duties->next_deadline() <= now_) Duty(i, mem::DutyTick{});
      ScheduleTick(i);
    });
  }

  void Do(size_t i, const cfg::StoreCall& action);
  void Do(size_t i, const cfg::CallPeer& action);
  void Do(size_t i, const cfg::ReplyToPeer& action) {
    const auto found = replies_.find({i, action.tag});
    if (found == replies_.end()) return;
    const auto reply = std::move(found->second);
    replies_.erase(found);
    reply(action.answer);
  }
  void Do(size_t, const cfg::PublishDone& action) {
    published.push_back(action);
  }
  void Do(size_t, const cfg::ForceDone& action) { counted.push_back(action); }
  void Do(size_t, const cfg::HistoryDone& action) {
    histories.push_back(action);
  }
  void Do(size_t, const cfg::DocumentsChanged&) {}
  void Do(size_t i, const cfg::MembersChanged&) {
    at(i).roster->SetMembers(at(i).node->members());
    After(0ms, [this, i, generation = at(i).generation] {
      if (at(i).generation == generation) Duty(i, mem::RosterChanged{});
    });
  }
  void DoDuties(size_t i, const std::vector<mem::DutyAction>& actions);

  using PeerReply = std::function<void(const cfg::PeerAnswer*, bool refused)>;
  /// Carries one call to a peer: `reply` is called once, on the caller.
  void Carry(size_t from, size_t to, const cfg::PeerRequest& request,
             TimePoint deadline, const PeerReply& reply);
  void Check(size_t i);
  void LearnGroups(size_t i);

  FleetOptions options_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Box>> boxes_;
  std::vector<std::string> groups_;
  TimePoint now_{std::chrono::hours(1)};
  std::priority_queue<Scheduled> queue_;
  uint64_t next_event_ = 0;
  cfg::Tag next_tag_ = 1;
  std::map<std::pair<size_t, cfg::Tag>,
           std::function<void(const cfg::PeerAnswer&)>>
      replies_;
  std::set<std::pair<size_t, size_t>> cuts_;
  std::set<size_t> no_store_;
};

inline std::vector<Member> Fleet::Everybody() const {
  std::vector<Member> all;
  for (size_t i = 0; i < boxes_.size(); ++i) all.push_back(MemberOf(i));
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
  Box& box = at(i);
  cfg::NodeOptions options = options_.node;
  options.self = MemberOf(i);
  options.seed = random_();
  options.incarnation = ++box.incarnation * 1000;
  for (size_t s = 0; s < 3; ++s) {
    options.seeds.push_back(MemberOf((i + s + 1) % boxes_.size()).peer_address);
  }
  ++box.generation;
  box.alive = true;
  box.frozen = false;
  box.last_revision = 0;
  box.tick_at = TimePoint::max();
  box.node = std::make_unique<cfg::Node>(options);
  box.roster = std::make_unique<mem::Roster>();
  box.duties = std::make_unique<mem::Duties>(box.name, box.roster.get());
  Deliver(i, cfg::Started{});
  LearnGroups(i);
}

/// An instance knows its groups once it knows what is in force.
inline void Fleet::LearnGroups(size_t i) {
  if (node(i).ready(now_) && now_ >= groups_from) {
    Duty(i, mem::GroupsChanged{groups_});
  } else {
    At(i, 20ms, [this, i] { LearnGroups(i); });
  }
}

inline void Fleet::Do(size_t i, const cfg::StoreCall& action) {
  const auto settled = std::make_shared<bool>(false);
  // An answer to a process that has ended since goes nowhere: its connection
  // went with it. Handed to the next process of that name, it would be taken
  // for the answer to a call that happens to have the same number.
  const auto settle = [this, i, settled, generation = at(i).generation,
                       call = action.call](const cfg::StoreAnswer* answer) {
    if (*settled || at(i).generation != generation) return;
    *settled = true;
    if (answer != nullptr) {
      Deliver(i, cfg::StoreAnswered{call, *answer});
    } else {
      Deliver(i, cfg::StoreFailed{call});
    }
  };
  const auto patience = std::chrono::ceil<milliseconds>(action.deadline - now_);
  At(i, patience, [settle] { settle(nullptr); });
  if (no_store_.contains(i)) return;
  const auto answered = [this, i, settle](const cfg::StoreAnswer& answer) {
    if (no_store_.contains(i)) return;
    At(i, Way(), [settle, answer] { settle(&answer); });
  };
  After(Way() + platform.slowness, [this, request = action.request, answered] {
    platform.Call(request, answered);
  });
  if (const auto* watch = std::get_if<cfg::StoreWatch>(&action.request)) {
    At(i, watch->wait, [answered, this] {
      if (!platform.down) answered(cfg::StoreRead{});
    });
  }
}

inline void Fleet::Do(size_t i, const cfg::CallPeer& action) {
  const std::string& address = action.address;
  const size_t dot = address.rfind('.');
  const size_t to = std::stoull(address.substr(dot + 1));
  Carry(i, to, action.request, action.deadline,
        [this, i, call = action.call](const cfg::PeerAnswer* answer, bool) {
          if (answer != nullptr) {
            Deliver(i, cfg::PeerAnswered{call, *answer});
          } else {
            Deliver(i, cfg::PeerFailed{call});
          }
        });
}

inline void Fleet::DoDuties(size_t i,
                            const std::vector<mem::DutyAction>& actions) {
  for (const mem::DutyAction& action : actions) {
    if (const auto* keep = std::get_if<mem::KeepGroup>(&action)) {
      if (on_duty) on_duty(i, keep->group, true);
    } else if (const auto* give = std::get_if<mem::ReleaseGroup>(&action)) {
      if (on_duty) on_duty(i, give->group, false);
    } else {
      const auto& check = std::get<mem::CheckKeeper>(action);
      Carry(i, IndexOf(check.instance), check.request, check.deadline,
            [this, i, call = check.call](const cfg::PeerAnswer* answer,
                                         bool refused) {
              if (answer != nullptr) {
                Duty(i, mem::CheckAnswered{call,
                                           std::get<cfg::DutyReply>(*answer)});
              } else {
                Duty(i, mem::CheckFailed{call, refused});
              }
            });
    }
  }
}

inline void Fleet::Carry(size_t from, size_t to,
                         const cfg::PeerRequest& request, TimePoint deadline,
                         const PeerReply& reply) {
  if (wire) wire(from, to, &request, nullptr);
  const auto settled = std::make_shared<bool>(false);
  const auto settle = [settled, reply](const cfg::PeerAnswer* answer,
                                       bool refused) {
    if (*settled) return;
    *settled = true;
    reply(answer, refused);
  };
  const auto patience = std::chrono::ceil<milliseconds>(deadline - now_);
  At(from, patience, [settle] { settle(nullptr, false); });
  if (!Reaches(from, to)) return;
  if (!at(to).alive) {
    At(from, 2 * Way(), [settle] { settle(nullptr, true); });
    return;
  }
  const auto answered = [this, from, to,
                         settle](const cfg::PeerAnswer& answer) {
    if (!Reaches(from, to)) return;
    if (wire) wire(to, from, nullptr, &answer);
    At(from, Way(), [settle, answer] { settle(&answer, false); });
  };
  At(to, Way(), [this, to, request, answered] {
    if (const auto* check = std::get_if<cfg::DutyCheck>(&request)) {
      answered(at(to).duties->AnswerCheck(*check));
      return;
    }
    const cfg::Tag tag = next_tag_++;
    replies_[{to, tag}] = answered;
    Deliver(to, cfg::PeerCalled{tag, request});
  });
}

inline void Fleet::Check(size_t i) {
  Box& box = at(i);
  const uint64_t revision = box.node->revision();
  if (revision < box.last_revision) {
    violations.push_back(box.name + " fell back to " +
                         std::to_string(revision));
  }
  if (!options_.check || revision == box.last_revision) return;
  box.last_revision = revision;
  std::map<std::string, std::pair<uint64_t, std::optional<std::string>>> truth;
  for (const auto& [number, change] : platform.log()) {
    if (number > revision) break;
    for (const cfg::Edit& edit : change.edits) {
      truth[edit.key] = {number, edit.text};
    }
  }
  std::map<std::string, std::pair<uint64_t, std::optional<std::string>>> held;
  for (const auto& [key, document] : box.node->documents()) {
    held[key] = {document.version, document.text};
  }
  if (held != truth) {
    violations.push_back(box.name + " holds a state that never was, at " +
                         std::to_string(revision));
  }
}

}  // namespace ryefold::testing::control
