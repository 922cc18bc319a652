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

bool IsRecorded(const StatementRequest& request) {
  return request.step == Step::kCommit ||
         (request.kind == StatementKind::kWrite && !request.repeatable);
}

/// Records of all databases for each request id.
class DatabaseModel {
 public:
  /// Runs a copy that reaches the database. Returns nullopt if its id is
  /// fenced.
  std::optional<StatementAnswer> Run(const StatementRequest& request) {
    if (fenced_.contains(request.request_id)) return std::nullopt;
    int& runs = runs_[request.request_id];
    if (!IsRecorded(request) || runs == 0) ++runs;
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
    return StatementAnswer::NotRun(NotRunProof::ReportedByPeer(), reason,
                                   milliseconds(10));
  }

 private:
  std::map<std::string, int> runs_;
  std::set<std::string> fenced_;
};

/// One call in flight. It is kept after its answer, so that answers can arrive
/// twice, late, or after a reported failure.
struct InFlightCall {
  CallId call = 0;
  bool is_settle = false;
  StatementRequest request;
  std::string id;
};

class Simulation {
 public:
  Simulation()
      : forwarder_([this](TimePoint, const std::string&) { return Ranked(); },
                   Timing(), 7) {}

  void Step() {
    switch (*rc::gen::inRange(0, 10)) {
      case 0:
        SubmitRequest();
        break;
      case 1:
        AdvanceTime(*rc::gen::inRange<int64_t>(100, 700));
        break;
      case 2:
        AdvanceTime(*rc::gen::inRange<int64_t>(1, 60));
        break;
      case 3:
        if (!frozen_copies_.empty()) RunFrozenCopy();
        if (!requests_.empty() && *rc::gen::inRange(0, 4) == 0) Abandon();
        break;
      case 4:
        rank_offset_ = *rc::gen::inRange(0, kInstances + 1);
        break;
      default:
        if (!in_flight_.empty()) ResolveCall();
    }
  }

  void Finish() {
    while (!frozen_copies_.empty()) RunFrozenCopy();
    AdvanceTime(20000);
    RC_ASSERT(forwarder_.in_progress() == 0U);
    for (const auto& [tag, request] : requests_) {
      if (abandoned_.contains(tag)) continue;
      const auto found = answers_.find(tag);
      RC_ASSERT(found != answers_.end());
      const int runs = database_.runs(request.request_id);
      if (found->second.kind() == OutcomeKind::kNotRun) RC_ASSERT(runs == 0);
      if (found->second.kind() == OutcomeKind::kDone) RC_ASSERT(runs >= 1);
      if (IsRecorded(request)) RC_ASSERT(runs <= 1);
    }
  }

 private:
  static ForwarderTiming Timing() {
    ForwarderTiming timing;
    timing.contact_timeout = milliseconds(300);
    // Small, so that the budget is often exhausted in the middle of a request.
    timing.retry_burst = 3;
    return timing;
  }

  std::vector<std::string> Ranked() const {
    std::vector<std::string> ranked;
    for (int i = 0; i < kInstances && rank_offset_ < kInstances; ++i) {
      ranked.push_back("i" + std::to_string((i + rank_offset_) % kInstances));
    }
    return ranked;
  }

  void SubmitRequest() {
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
    for (const Action& action : actions) Perform(action);
    for (const auto& [tag, request] : requests_) {
      RC_ASSERT(answers_.contains(tag) || abandoned_.contains(tag) ||
                request.deadline > At(now_));
    }
  }

  void Perform(const Action& action) {
    if (const auto* respond = std::get_if<Respond>(&action)) {
      RC_ASSERT(!abandoned_.contains(respond->tag));
      RC_ASSERT(answers_.emplace(respond->tag, respond->answer).second);
    } else if (const auto* forward = std::get_if<Forward>(&action)) {
      const StatementRequest& request = forward->request;
      const std::string& id = request.request_id;
      if (!request.repeatable) RC_ASSERT(!may_have_arrived_.contains(id));
      if (!request.transaction.empty()) RC_ASSERT(forward->instance == "i2");
      in_flight_.push_back({forward->call, false, request, id});
      may_have_arrived_.insert(id);
    } else if (const auto* settle = std::get_if<Settle>(&action)) {
      in_flight_.push_back(
          {settle->call, true, {}, settle->request.request_id});
    }
  }

  void AdvanceTime(int64_t ms) {
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
  void ResolveCall() {
    // Often the last one, so that one request meets several failures.
    const size_t any = *rc::gen::inRange<size_t>(0, 2 * in_flight_.size());
    const size_t at = std::min(any, in_flight_.size() - 1);
    const InFlightCall in_flight = in_flight_[at];
    const bool again = *rc::gen::inRange(0, 4) == 0;
    if (!again) in_flight_.erase(in_flight_.begin() + static_cast<int64_t>(at));
    if (in_flight.is_settle) {
      ResolveSettle(in_flight);
    } else {
      ResolveForward(in_flight, again);
    }
  }

  void ResolveForward(const InFlightCall& in_flight, bool again) {
    switch (*rc::gen::inRange(0, again ? 3 : 7)) {
      case 0:
        if (const auto answer = database_.Run(in_flight.request)) {
          Handle(PeerAnswered{in_flight.call, *answer});
        } else {
          Handle(PeerAnswered{in_flight.call,
                              DatabaseModel::Refused(Reason::kFenced)});
        }
        break;
      case 1:
        database_.Run(in_flight.request);
        Handle(PeerFailed{in_flight.call, true});
        break;
      case 2:
        if (*rc::gen::arbitrary<bool>()) database_.Run(in_flight.request);
        Handle(PeerAnswered{in_flight.call,
                            StatementAnswer::Unknown(Reason::kDatabaseLost)});
        break;
      case 3:
        may_have_arrived_.erase(in_flight.id);
        Handle(PeerFailed{in_flight.call, false});
        break;
      case 4:
        may_have_arrived_.erase(in_flight.id);
        Handle(PeerAnswered{in_flight.call,
                            DatabaseModel::Refused(*rc::gen::element(
                                Reason::kOverloaded, Reason::kShuttingDown,
                                Reason::kNotReady))});
        break;
      case 5:
        frozen_copies_.push_back(in_flight.request);
        Handle(PeerFailed{in_flight.call, true});
        break;
      default:
        // The instance freezes with the call in hand and does not answer.
        frozen_copies_.push_back(in_flight.request);
    }
  }

  void ResolveSettle(const InFlightCall& in_flight) {
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
        Handle(PeerAnswered{in_flight.call, database_.SettleId(in_flight.id)});
        break;
      case 1:
        database_.SettleId(in_flight.id);
        Handle(PeerFailed{in_flight.call, true});
        break;
      case 2:
        Handle(PeerAnswered{in_flight.call,
                            StatementAnswer::Unknown(Reason::kNoPrimary)});
        break;
      case 3:
        Handle(PeerFailed{in_flight.call, false});
        break;
      case 4:
        Handle(PeerAnswered{in_flight.call,
                            DatabaseModel::Refused(*rc::gen::element(
                                Reason::kShuttingDown, Reason::kNotReady,
                                Reason::kOverloaded))});
        break;
      default:
        break;
    }
  }

  void RunFrozenCopy() {
    const size_t at = *rc::gen::inRange<size_t>(0, frozen_copies_.size());
    database_.Run(frozen_copies_[at]);
    frozen_copies_.erase(frozen_copies_.begin() + static_cast<int64_t>(at));
  }

  int rank_offset_ = 0;
  int64_t now_ = 1;
  Forwarder forwarder_;
  DatabaseModel database_;
  std::map<RequestTag, StatementRequest> requests_;
  std::map<RequestTag, StatementAnswer> answers_;
  std::set<RequestTag> abandoned_;
  std::set<std::string> may_have_arrived_;
  std::vector<InFlightCall> in_flight_;
  std::vector<StatementRequest> frozen_copies_;
};

// Instances crash, freeze and run a call later, refuse, answer late or twice. A
// caller repeats a request that was answered "not run" or not answered, so a
// wrong answer can run a payment twice.
RC_GTEST_PROP(ForwarderFaults, OneTruthfulAnswerInTimeForEachRequest, ()) {
  Simulation simulation;
  const int steps = *rc::gen::inRange(1, 400);
  for (int i = 0; i < steps; ++i) simulation.Step();
  simulation.Finish();
}

}  // namespace
}  // namespace ryefold::core::entry
