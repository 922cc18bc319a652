#include "ryefold/core/membership/duties.h"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace ryefold::core::membership {

using configuration::DutyCheck;
using configuration::DutyReply;

class Duties::Impl {
 public:
  Impl(std::string self, Roster* roster, DutyTiming timing)
      : self_(std::move(self)), roster_(roster), timing_(timing) {}

  void Handle(TimePoint now, const DutyEvent& event,
              std::vector<DutyAction>* actions) {
    actions_ = actions;
    std::visit([this, now](const auto& e) { On(now, e); }, event);
    Advance(now);
    actions_ = nullptr;
  }
  bool Asked(TimePoint now, const std::string& group,
             std::vector<DutyAction>* actions);
  DutyReply Answer(const DutyCheck& check) const;
  bool Keeps(const std::string& group) const {
    const auto found = duties_.find(group);
    return found != duties_.end() && found->second.keeping;
  }
  std::vector<std::string> kept() const;
  std::vector<std::string> watched() const;
  TimePoint next_deadline() const { return next_check_; }

 private:
  /// A group in whose order this instance stands among the first.
  struct Duty {
    bool keeping = false;
    /// Kept until then because entries ask for it here.
    TimePoint asked_until;
    /// Kept until then because the one that should does not serve it (yet).
    TimePoint cover_until;
    /// All that stand before this instance are looked at until then.
    TimePoint inspect_until;
    /// Since when the one that should does not serve it, though it answers.
    TimePoint declined_since;
  };
  struct Target {
    uint32_t misses = 0;
    bool waiting = false;
  };
  struct Pending {
    std::string instance;
    std::vector<std::string> groups;
  };

  void On(TimePoint now, const GroupsChanged& event);
  void On(TimePoint now, const RosterChanged&) { Select(now); }
  void On(TimePoint now, const CheckAnswered& event);
  void On(TimePoint now, const CheckFailed& event);
  void On(TimePoint now, const Retire&);
  void On(TimePoint, const DutyTick&) {}

  void Select(TimePoint now);
  void Advance(TimePoint now);
  void Decide(TimePoint now, const std::string& group, Duty* duty);
  void SendChecks(TimePoint now);
  std::vector<std::string> ToCheck(TimePoint now, const std::string& group,
                                   const Duty& duty) const;
  std::vector<std::string> Before(const std::string& group) const;
  bool OneDomain(const std::string& a, const std::string& b) const;
  bool WatchesFromOutside(const std::vector<std::string>& ranked,
                          ptrdiff_t place) const;
  void Served(TimePoint now, const std::string& group, bool served);

  const std::string self_;
  Roster* const roster_;
  const DutyTiming timing_;
  std::vector<DutyAction>* actions_ = nullptr;
  std::vector<std::string> groups_;
  std::map<std::string, Duty> duties_;
  std::unordered_map<std::string, Target> targets_;
  std::unordered_map<CallId, Pending> calls_;
  CallId next_call_ = 1;
  TimePoint next_check_;
  bool retired_ = false;
};

void Duties::Impl::On(TimePoint now, const GroupsChanged& event) {
  groups_ = event.groups;
  Select(now);
}

void Duties::Impl::Select(TimePoint now) {
  std::map<std::string, Duty> selected;
  for (const std::string& group : groups_) {
    const std::vector<std::string>& order = roster_->Intended(group);
    const size_t ranks = std::min(timing_.ranks, order.size());
    const auto end = order.begin() + static_cast<ptrdiff_t>(ranks);
    const bool near = std::find(order.begin(), end, self_) != end;
    const auto old = duties_.find(group);
    const bool keeping = old != duties_.end() && old->second.keeping;
    if (!near && !keeping) continue;
    Duty& duty = selected[group];
    if (old != duties_.end()) duty = old->second;
  }
  for (const auto& [group, duty] : duties_) {
    if (duty.keeping && !selected.contains(group)) {
      actions_->push_back(GiveUp{group});
    }
  }
  duties_ = std::move(selected);
  next_check_ = std::min(next_check_, now);
}

std::vector<std::string> Duties::Impl::Before(const std::string& group) const {
  const std::vector<std::string>& order = roster_->Intended(group);
  const auto own = std::find(order.begin(), order.end(), self_);
  return {order.begin(), own};
}

bool Duties::Impl::OneDomain(const std::string& a, const std::string& b) const {
  const Member* first = roster_->Find(a);
  const Member* second = roster_->Find(b);
  return first != nullptr && second != nullptr &&
         first->failure_domain == second->failure_domain;
}

std::vector<std::string> Duties::Impl::ToCheck(TimePoint now,
                                               const std::string& group,
                                               const Duty& duty) const {
  std::vector<std::string> before = Before(group);
  if (duty.inspect_until > now) return before;
  const std::vector<std::string> ranked = roster_->Ranked(now, group);
  const auto own = std::find(ranked.begin(), ranked.end(), self_);
  const auto place = own - ranked.begin();
  if (place == 0) {
    // Kept in place of others: the first of them that answers gets it back.
    // All are looked at, or the suspicion of the rest would run out and the
    // group be given up in favour of one that is just as dead.
    return before;
  }
  if (WatchesFromOutside(ranked, place)) {
    // One that misses may be the sign that its whole domain is gone: all that
    // stand in it are looked at together, not one after another.
    const auto front = targets_.find(ranked[0]);
    const bool missed = front != targets_.end() && front->second.misses > 0;
    return {ranked.begin(), ranked.begin() + (missed ? place : 1)};
  }
  if (place == 1 || duty.keeping) return {ranked[0]};
  return {};
}

/// A lost failure domain can take the keeper together with its successors, as
/// many as stand in it. Without a watcher elsewhere the group would stay
/// unserved until entries ask: the first in rank outside the keeper's domain
/// watches as well.
bool Duties::Impl::WatchesFromOutside(const std::vector<std::string>& ranked,
                                      ptrdiff_t place) const {
  if (place < 2 || OneDomain(ranked[0], self_)) return false;
  return std::all_of(
      ranked.begin() + 1, ranked.begin() + place,
      [&](const std::string& name) { return OneDomain(ranked[0], name); });
}

void Duties::Impl::Decide(TimePoint now, const std::string& group, Duty* duty) {
  const std::vector<std::string> ranked = roster_->Ranked(now, group);
  const bool first = !ranked.empty() && ranked.front() == self_;
  if (duty->keeping && !first && duty->cover_until == TimePoint()) {
    // The new first one may not have begun; until it says so, entries that it
    // refuses are served here.
    duty->cover_until = now + 3 * timing_.check_interval;
    next_check_ = now;
  }
  const bool keep = !retired_ && (first || duty->asked_until > now ||
                                  duty->cover_until > now);
  if (first) {
    duty->cover_until = TimePoint();
    duty->declined_since = TimePoint();
  }
  if (keep == duty->keeping) return;
  duty->keeping = keep;
  if (keep) {
    actions_->push_back(Keep{group});
  } else {
    duty->cover_until = TimePoint();
    actions_->push_back(GiveUp{group});
  }
}

void Duties::Impl::Advance(TimePoint now) {
  for (auto& [group, duty] : duties_) Decide(now, group, &duty);
  if (next_check_ > now) return;
  next_check_ = now + timing_.check_interval;
  SendChecks(now);
}

void Duties::Impl::SendChecks(TimePoint now) {
  if (retired_) return;
  std::map<std::string, std::vector<std::string>> by_target;
  for (const auto& [group, duty] : duties_) {
    for (const std::string& name : ToCheck(now, group, duty)) {
      by_target[name].push_back(group);
    }
  }
  for (auto& [name, groups] : by_target) {
    const Member* member = roster_->Find(name);
    Target& target = targets_[name];
    if (member == nullptr || target.waiting) continue;
    target.waiting = true;
    const CallId call = next_call_++;
    calls_[call] = {name, groups};
    actions_->push_back(Check{call, name, member->peer_address,
                              DutyCheck{std::move(groups)},
                              now + timing_.check_timeout});
  }
}

void Duties::Impl::Served(TimePoint now, const std::string& group,
                          bool served) {
  const auto found = duties_.find(group);
  if (found == duties_.end()) return;
  Duty& duty = found->second;
  if (served) {
    duty.declined_since = TimePoint();
    if (duty.cover_until != TimePoint()) duty.cover_until = now;
    return;
  }
  if (duty.declined_since == TimePoint()) duty.declined_since = now;
  // Not at the first no: the two may just not have heard the same yet.
  const bool lasting = now - duty.declined_since >= 2 * timing_.check_interval;
  if (duty.keeping || lasting) {
    duty.cover_until = now + 3 * timing_.check_interval;
  }
}

void Duties::Impl::On(TimePoint now, const CheckAnswered& event) {
  const auto found = calls_.find(event.call);
  if (found == calls_.end()) return;
  const Pending pending = std::move(found->second);
  calls_.erase(found);
  targets_.erase(pending.instance);
  roster_->Trust(pending.instance);
  const std::set<std::string> keeping(event.reply.keeping.begin(),
                                      event.reply.keeping.end());
  for (const std::string& group : pending.groups) {
    Served(now, group, keeping.contains(group));
  }
}

void Duties::Impl::On(TimePoint now, const CheckFailed& event) {
  const auto found = calls_.find(event.call);
  if (found == calls_.end()) return;
  const Pending pending = std::move(found->second);
  calls_.erase(found);
  Target& target = targets_[pending.instance];
  target.waiting = false;
  target.misses += event.refused ? timing_.misses : 1;
  if (target.misses >= timing_.misses) {
    roster_->Suspect(now, pending.instance);
  } else {
    next_check_ = now;
  }
}

void Duties::Impl::On(TimePoint /*now*/, const Retire&) {
  retired_ = true;
  next_check_ = TimePoint::max();
}

bool Duties::Impl::Asked(TimePoint now, const std::string& group,
                         std::vector<DutyAction>* actions) {
  const auto found = duties_.find(group);
  if (retired_ || found == duties_.end()) return false;
  Duty& duty = found->second;
  actions_ = actions;
  const std::vector<std::string> ranked = roster_->Ranked(now, group);
  const auto own = std::find(ranked.begin(), ranked.end(), self_);
  if (own - ranked.begin() < static_cast<ptrdiff_t>(timing_.asked_ranks)) {
    duty.asked_until = now + timing_.asked_for;
    Decide(now, group, &duty);
  } else if (duty.inspect_until <= now) {
    duty.inspect_until = now + timing_.asked_for / 2;
    SendChecks(now);
  }
  actions_ = nullptr;
  return duty.keeping;
}

DutyReply Duties::Impl::Answer(const DutyCheck& check) const {
  DutyReply reply;
  for (const std::string& group : check.groups) {
    if (Keeps(group)) reply.keeping.push_back(group);
  }
  return reply;
}

std::vector<std::string> Duties::Impl::kept() const {
  std::vector<std::string> names;
  for (const auto& [group, duty] : duties_) {
    if (duty.keeping) names.push_back(group);
  }
  return names;
}

std::vector<std::string> Duties::Impl::watched() const {
  std::vector<std::string> names;
  for (const auto& [group, duty] : duties_) {
    const std::vector<std::string>& order = roster_->Intended(group);
    if (order.size() > 1 && order[1] == self_) names.push_back(group);
  }
  return names;
}

Duties::Duties(std::string self, Roster* roster, DutyTiming timing)
    : impl_(std::make_unique<Impl>(std::move(self), roster, timing)) {}
Duties::~Duties() = default;

void Duties::Handle(TimePoint now, const DutyEvent& event,
                    std::vector<DutyAction>* actions) {
  impl_->Handle(now, event, actions);
}
bool Duties::Asked(TimePoint now, const std::string& group,
                   std::vector<DutyAction>* actions) {
  return impl_->Asked(now, group, actions);
}
DutyReply Duties::Answer(const DutyCheck& check) const {
  return impl_->Answer(check);
}
bool Duties::Keeps(const std::string& group) const {
  return impl_->Keeps(group);
}
std::vector<std::string> Duties::kept() const { return impl_->kept(); }
std::vector<std::string> Duties::watched() const { return impl_->watched(); }
TimePoint Duties::next_deadline() const { return impl_->next_deadline(); }

}  // namespace ryefold::core::membership
