// Random peer failures between the forwarder and a small model of the instances
// and the database.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "ryefold/core/entry/forwarder.h"

namespace ryefold::core::entry {
namespace {

using std::chrono::milliseconds;

constexpr int kInstances = 4;

TimePoint At(int64_t ms) { return TimePoint(milliseconds(ms)); }

bool Recorded(const StatementRequest& request) {
  return request.step == Step::kCommit ||
         (request.kind == StatementKind::kWrite && !request.repeatable);
}

/// Records of all databases for each request id.
class Books {
 public:
  /// Runs a copy that reaches the database. Returns nullopt if its id is
  /// fenced.
  std::optional<StatementAnswer> Run(const StatementRequest& request) {
    if (fenced_.contains(request.request_id)) return std::nullopt;
    int& runs = runs_[request.request_id];
    if (!Recorded(request) || runs == 0) ++runs;
    return StatementAnswer::Done(request.request_id, {1, 1});
  }
  StatementAnswer SettleId(const std::string& id) {
    if (runs(id) > 0) return StatementAnswer::Done(id, {1, 1});
    fenced_.insert(id);
    return Refused(Reason::kFenced);
  }
  int runs(const std::string& id) const {
    const auto found = runs_.find(id);
    return found == runs_.end() ? 0 : found->second;
  }
  static StatementAnswer Refused(Reason reason) {
    return StatementAnswer::NotRun(NotRunProof::StatedByPeer(), reason,
                                   milliseconds(10));
  }

 private:
  std::map<std::string, int> runs_;
  std::set<std::string> fenced_;
};

/// One call in flight. It is kept after its answer, so that answers can arrive
/// twice, late, or after a reported failure.
struct Under {
  CallId call = 0;
  bool settles = false;
  StatementRequest request;
  std::string id;
};

class World {
 public:
  World()
      : forwarder_([this](TimePoint, const std::string&) { return Ranked(); },
                   Timing(), 7) {}

  void Step() {
    switch (*rc::gen::inRange(0, 10)) {
      case 0:
        Arrive();
        break;
      case 1:
        Pass(*rc::gen::inRange<int64_t>(100, 700));
        break;
      case 2:
        Pass(*rc::gen::inRange<int64_t>(1, 60));
        break;
      case 3:
        if (!copies_.empty()) RunFrozen();
        if (!requests_.empty() && *rc::gen::inRange(0, 4) == 0) Abandon();
        break;
      case 4:
        shift_ = *rc::gen::inRange(0, kInstances + 1);
        break;
      default:
        if (!under_.empty()) Meet();
    }
  }

  void End() {
    while (!copies_.empty()) RunFrozen();
    Pass(20000);
    RC_ASSERT(forwarder_.in_progress() == 0U);
    for (const auto& [tag, request] : requests_) {
      if (abandoned_.contains(tag)) continue;
      const auto found = answers_.find(tag);
      RC_ASSERT(found != answers_.end());
      const int runs = books_.runs(request.request_id);
      if (found->second.kind() == OutcomeKind::kNotRun) RC_ASSERT(runs == 0);
      if (found->second.kind() == OutcomeKind::kDone) RC_ASSERT(runs >= 1);
      if (Recorded(request)) RC_ASSERT(runs <= 1);
    }
  }

 private:
  static ForwarderTiming Timing() {
    ForwarderTiming timing;
    timing.patience = milliseconds(300);
    // Small, so that the budget is often exhausted in the middle of a request.
    timing.retry_burst = 3;
    return timing;
  }

  std::vector<std::string> Ranked() const {
    std::vector<std::string> ranked;
    for (int i = 0; i < kInstances && shift_ < kInstances; ++i) {
      ranked.push_back("i" + std::to_string((i + shift_) % kInstances));
    }
    return ranked;
  }

  void Arrive() {
    const RequestTag tag = requests_.size() + 1;
    StatementRequest request;
    request.request_id = "r" + std::to_string(tag);
    request.group = "g";
    request.kind =
        *rc::gen::element(StatementKind::kRead, StatementKind::kWrite);
    request.repeatable = *rc::gen::arbitrary<bool>();
    request.deadline = At(now_ + *rc::gen::inRange<int64_t>(1, 2000));
    if (*rc::gen::inRange(0, 3) == 0) {
      request.transaction = "i2~1~x";
      request.step = *rc::gen::element(Step::kStatement, Step::kCommit);
      request.kind = StatementKind::kWrite;
      request.repeatable = false;
    }
    requests_[tag] = request;
    Handle(RequestArrived{tag, request});
  }

  void Abandon() {
    const RequestTag tag =
        *rc::gen::inRange<RequestTag>(1, requests_.size() + 1);
    if (!answers_.contains(tag)) abandoned_.insert(tag);
    Handle(RequestAbandoned{tag});
  }

  void Handle(const Event& event) {
    std::vector<Action> actions;
    forwarder_.Handle(At(now_), event, &actions);
    for (const Action& action : actions) Take(action);
    for (const auto& [tag, request] : requests_) {
      RC_ASSERT(answers_.contains(tag) || abandoned_.contains(tag) ||
                request.deadline > At(now_));
    }
  }

  void Take(const Action& action) {
    if (const auto* respond = std::get_if<Respond>(&action)) {
      RC_ASSERT(!abandoned_.contains(respond->tag));
      RC_ASSERT(answers_.emplace(respond->tag, respond->answer).second);
    } else if (const auto* forward = std::get_if<Forward>(&action)) {
      const StatementRequest& request = forward->request;
      const std::string& id = request.request_id;
      if (!request.repeatable) RC_ASSERT(!may_have_arrived_.contains(id));
      if (!request.transaction.empty()) RC_ASSERT(forward->instance == "i2");
      under_.push_back({forward->call, false, request, id});
      may_have_arrived_.insert(id);
    } else if (const auto* settle = std::get_if<Settle>(&action)) {
      under_.push_back({settle->call, true, {}, settle->request.request_id});
    }
  }

  void Pass(int64_t ms) {
    const int64_t until = now_ + ms;
    while (forwarder_.next_deadline() <= At(until)) {
      const auto due = forwarder_.next_deadline().time_since_epoch();
      now_ = std::max(now_, std::chrono::ceil<milliseconds>(due).count());
      Handle(Tick{});
    }
    now_ = until;
    Handle(Tick{});
  }

  // Chooses a random event for one call in flight.
  void Meet() {
    // Often the last one, so that one request meets several failures.
    const size_t any = *rc::gen::inRange<size_t>(0, 2 * under_.size());
    const size_t at = std::min(any, under_.size() - 1);
    const Under under = under_[at];
    const bool again = *rc::gen::inRange(0, 4) == 0;
    if (!again) under_.erase(under_.begin() + static_cast<int64_t>(at));
    if (under.settles) {
      MeetSettle(under);
    } else {
      MeetForward(under, again);
    }
  }

  void MeetForward(const Under& under, bool again) {
    switch (*rc::gen::inRange(0, again ? 3 : 7)) {
      case 0:
        if (const auto answer = books_.Run(under.request)) {
          Handle(PeerAnswered{under.call, *answer});
        } else {
          Handle(PeerAnswered{under.call, Books::Refused(Reason::kFenced)});
        }
        break;
      case 1:
        books_.Run(under.request);
        Handle(PeerFailed{under.call, true});
        break;
      case 2:
        if (*rc::gen::arbitrary<bool>()) books_.Run(under.request);
        Handle(PeerAnswered{under.call,
                            StatementAnswer::Unknown(Reason::kDatabaseLost)});
        break;
      case 3:
        may_have_arrived_.erase(under.id);
        Handle(PeerFailed{under.call, false});
        break;
      case 4:
        may_have_arrived_.erase(under.id);
        Handle(PeerAnswered{
            under.call, Books::Refused(*rc::gen::element(Reason::kOverloaded,
                                                         Reason::kShuttingDown,
                                                         Reason::kNotReady))});
        break;
      case 5:
        copies_.push_back(under.request);
        Handle(PeerFailed{under.call, true});
        break;
      default:
        // The instance freezes with the call in hand and does not answer.
        copies_.push_back(under.request);
    }
  }

  void MeetSettle(const Under& under) {
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
        Handle(PeerAnswered{under.call, books_.SettleId(under.id)});
        break;
      case 1:
        books_.SettleId(under.id);
        Handle(PeerFailed{under.call, true});
        break;
      case 2:
        Handle(PeerAnswered{under.call,
                            StatementAnswer::Unknown(Reason::kNoPrimary)});
        break;
      case 3:
        Handle(PeerFailed{under.call, false});
        break;
      case 4:
        Handle(PeerAnswered{under.call,
                            Books::Refused(*rc::gen::element(
                                Reason::kShuttingDown, Reason::kNotReady,
                                Reason::kOverloaded))});
        break;
      default:
        break;
    }
  }

  void RunFrozen() {
    const size_t at = *rc::gen::inRange<size_t>(0, copies_.size());
    books_.Run(copies_[at]);
    copies_.erase(copies_.begin() + static_cast<int64_t>(at));
  }

  int shift_ = 0;
  int64_t now_ = 1;
  Forwarder forwarder_;
  Books books_;
  std::map<RequestTag, StatementRequest> requests_;
  std::map<RequestTag, StatementAnswer> answers_;
  std::set<RequestTag> abandoned_;
  std::set<std::string> may_have_arrived_;
  std::vector<Under> under_;
  std::vector<StatementRequest> copies_;
};

// Instances crash, freeze and run a call later, refuse, answer late or twice. A
// caller repeats a request that was answered "not run" or not answered, so a
// wrong answer can run a payment twice.
RC_GTEST_PROP(ForwarderFaults, OneTruthfulAnswerInTimeForEachRequest, ()) {
  World world;
  const int steps = *rc::gen::inRange(1, 400);
  for (int i = 0; i < steps; ++i) world.Step();
  world.End();
}

}  // namespace
}  // namespace ryefold::core::entry
