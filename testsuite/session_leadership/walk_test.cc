// Exhaustive model check of the leadership proof: three databases, one reader,
// promotions that some databases see late, and late or lost answers, in every
// order up to a bound.

#include <gtest/gtest.h>

#include <array>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "ryefold/core/session/leadership_proof.h"

namespace ryefold::core::session {
namespace {

using std::chrono::milliseconds;

/// Maximum number of steps of one run. No new state is found after 18 steps, so
/// the search is exhaustive for two promotions, one read, one newer commit and
/// three requests.
constexpr int kMaxSteps = 20;
constexpr int kDatabases = 3;
constexpr std::array<const char*, kDatabases> kNames = {"old", "b", "c"};

std::string Name(int database) { return kNames.at(database); }
std::vector<std::string> Others() { return {Name(1), Name(2)}; }

TimePoint At(int step) { return TimePoint(milliseconds(step)); }

/// The conditions of the proof, each of which can be disabled.
struct Rule {
  /// Databases that hold a commit when it is acknowledged.
  int copies = 2;
  size_t witness_count = 1;
  /// An answer counts from when its request was sent, not from its arrival.
  bool counts_from_request = true;
  /// A witness must be in the very term that the primary claims.
  bool compares_terms = true;
};

struct StatusRequest {
  int sent = 0;
  /// Term in the database's answer, which is in flight; 0: not answered yet.
  int term = 0;
};

struct State {
  std::array<int, kDatabases> term{1, 1, 1};
  std::array<bool, kDatabases> leads{true, false, false};
  int newest = 1;
  /// Step of the first acknowledged commit of a newer term; 0: none.
  int acknowledged = 0;
  /// Step at which the read was sent to the old primary, and whether it was
  /// answered.
  int read = 0;
  bool answered = false;
  std::array<StatusRequest, kDatabases> requests;
  /// Number of requests that may still be sent.
  int requests_left = 3;
  LeadershipProof proof;
  std::vector<std::string> trace;

  int step() const { return static_cast<int>(trace.size()); }
  /// Returns the relevant part of the state: the order of events, not their
  /// times.
  auto Key() const {
    std::array<int, 2> request_state{};
    std::array<int, 2> in_flight{};
    for (int i = 1; i < kDatabases; ++i) {
      const StatusRequest& each = requests[i];
      request_state[i - 1] = each.sent == 0 ? 0 : (each.sent >= read ? 2 : 1);
      in_flight[i - 1] = each.term;
    }
    const bool before = acknowledged != 0 && read != 0 && acknowledged < read;
    const bool proved = read != 0 && proof.ProvedUntil(Others(), 1) >= At(read);
    return std::make_tuple(term, leads, newest, acknowledged != 0, before,
                           read != 0, answered, request_state, in_flight,
                           requests_left, proved);
  }
};

class ModelChecker {
 public:
  explicit ModelChecker(Rule rule) : rule_(rule) {}

  /// Returns the shortest run in which the reader accepts an answer that misses
  /// an acknowledged commit, or nullopt if there is none.
  std::optional<std::vector<std::string>> FindViolation() {
    Add(State());
    while (!frontier_.empty()) {
      const State state = std::move(frontier_.front());
      frontier_.pop_front();
      if (HasStaleRead(state)) return state.trace;
      if (state.step() < kMaxSteps) Expand(state);
    }
    return std::nullopt;
  }
  size_t states() const { return seen_.size(); }

 private:
  bool HasStaleRead(const State& state) const {
    if (!state.answered || state.acknowledged == 0) return false;
    const TimePoint until =
        state.proof.ProvedUntil(Others(), rule_.witness_count);
    return until >= At(state.read) && state.acknowledged < state.read;
  }

  void Add(State state) {
    if (seen_.insert(state.Key()).second) frontier_.push_back(std::move(state));
  }

  void Expand(const State& state) {
    for (int i = 1; i < kDatabases; ++i) {
      Promote(state, i);
      SendRequest(state, i);
      AnswerRequest(state, i);
      DeliverAnswer(state, i);
    }
    for (int i = 0; i < kDatabases; ++i) {
      Commit(state, i);
      for (int j = 0; j < kDatabases; ++j) Follow(state, i, j);
    }
    SendRead(state);
    AnswerRead(state);
  }

  /// Makes a database the primary of a new term that no other database has
  /// seen.
  void Promote(State next, int i) {
    if (next.newest == 3 || next.leads[i]) return;
    next.trace.push_back("promote " + Name(i));
    next.term[i] = ++next.newest;
    next.leads[i] = true;
    Add(std::move(next));
  }
  /// Makes a database learn of a newer primary and its term.
  void Follow(State next, int i, int leader) {
    if (!next.leads[leader] || next.term[leader] <= next.term[i]) return;
    next.trace.push_back(Name(i) + " follows " + Name(leader));
    next.term[i] = next.term[leader];
    next.leads[i] = false;
    Add(std::move(next));
  }
  /// A primary of a newer term commits; acknowledged with enough copies.
  void Commit(State next, int i) {
    if (!next.leads[i] || next.term[i] == 1 || next.acknowledged != 0) return;
    int copies = 0;
    for (int j = 0; j < kDatabases; ++j) copies += next.term[j] == next.term[i];
    if (copies < rule_.copies) return;
    next.trace.push_back("commit at " + Name(i) + " acknowledged");
    next.acknowledged = next.step();
    Add(std::move(next));
  }
  void SendRead(State next) {
    if (next.read != 0) return;
    next.trace.push_back("read sent to old");
    next.read = next.step();
    Add(std::move(next));
  }
  void AnswerRead(State next) {
    if (next.read == 0 || next.answered || !next.leads[0]) return;
    next.trace.push_back("old answers");
    next.answered = true;
    next.proof.RecordClaim(Name(0), next.term[0], At(next.read), {1, 1});
    Add(std::move(next));
  }
  void SendRequest(State next, int i) {
    if (next.requests_left == 0 || next.requests[i].sent != 0) return;
    next.trace.push_back("ask " + Name(i));
    --next.requests_left;
    next.requests[i].sent = next.step();
    Add(std::move(next));
  }
  void AnswerRequest(State next, int i) {
    if (next.requests[i].sent == 0 || next.requests[i].term != 0) return;
    next.trace.push_back(Name(i) + " answers");
    next.requests[i].term = next.term[i];
    Add(std::move(next));
  }
  void DeliverAnswer(State next, int i) {
    const StatusRequest request = next.requests[i];
    if (request.term == 0) return;
    next.trace.push_back("answer of " + Name(i) + " arrives");
    next.requests[i] = StatusRequest();
    const int counts_from =
        rule_.counts_from_request ? request.sent : next.step();
    const int reported = rule_.compares_terms ? request.term : 1;
    next.proof.RecordWitness(Name(i), At(counts_from), reported);
    Add(std::move(next));
  }

  const Rule rule_;
  std::deque<State> frontier_;
  std::set<decltype(State().Key())> seen_;
};

std::string TraceText(const std::vector<std::string>& trace) {
  std::string text;
  for (const std::string& line : trace) text += "\n  " + line;
  return text;
}

// A replaced primary keeps serving, some databases see the new term late, and
// answers are reordered. A read from the old primary must never miss a commit
// that was acknowledged before the read was sent.
TEST(LeadershipModel, NoReadContradictsTheOrderOfTerms) {
  ModelChecker checker{Rule()};
  const auto violation = checker.FindViolation();
  EXPECT_FALSE(violation.has_value()) << TraceText(*violation);
  EXPECT_EQ(checker.states(), 18979U);
}

// Each condition of the proof is necessary: with any one disabled, the search
// finds a stale read. The length of the shortest such run is checked too.
TEST(LeadershipModel, EachConditionIsNecessary) {
  const std::vector<std::pair<const char*, Rule>> rules = {
      {"acknowledged with the primary's copy alone", {1, 1, true, true}},
      {"no witness", {2, 0, true, true}},
      {"answers count from their arrival", {2, 1, false, true}},
      {"terms not compared", {2, 1, true, false}}};
  const std::vector<size_t> shortest = {7, 5, 8, 8};
  for (size_t i = 0; i < rules.size(); ++i) {
    const auto violation = ModelChecker(rules[i].second).FindViolation();
    ASSERT_TRUE(violation.has_value()) << rules[i].first;
    EXPECT_EQ(violation->size(), shortest[i])
        << rules[i].first << TraceText(*violation);
  }
}

TEST(LeadershipProof, NeedsAllButOneOfTheOthers) {
  EXPECT_EQ(WitnessesNeeded(1, 2), 0U);
  EXPECT_EQ(WitnessesNeeded(2, 2), 1U);
  EXPECT_EQ(WitnessesNeeded(3, 2), 1U);
  EXPECT_EQ(WitnessesNeeded(4, 2), 2U);
  EXPECT_EQ(WitnessesNeeded(3, 1), 2U);
}

// A database is restarted without its state, including the newest term that it
// had seen. Its earlier answers must no longer count as evidence.
TEST(LeadershipProof, DropsEvidenceOfARestartedDatabase) {
  LeadershipProof proof;
  EXPECT_TRUE(proof.RecordClaim("old", 1, At(1), {1, 5}));
  proof.RecordWitness("b", At(2), 1);
  EXPECT_EQ(proof.ProvedUntil(Others(), 1), At(2));
  proof.DiscardEvidence("b");
  EXPECT_EQ(proof.ProvedUntil(Others(), 1), TimePoint());
  proof.DiscardEvidence("old");
  EXPECT_EQ(proof.leader(), "");
  EXPECT_TRUE(proof.TakeClaims(At(9)).empty());
}

}  // namespace
}  // namespace ryefold::core::session
