// The rule by which a primary is proved to have led, walked through: three
// databases, one reader, promotions that some hear of late, answers that are
// late or lost, in every order up to a bound.

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

/// Steps of one run at most. After eighteen no new state is found, so the walk
/// is exhaustive for two promotions, one read, one newer commit and three
/// questions.
constexpr int kMostSteps = 20;
constexpr int kDatabases = 3;
constexpr std::array<const char*, kDatabases> kNames = {"old", "b", "c"};

std::string Name(int database) { return kNames.at(database); }
std::vector<std::string> Others() { return {Name(1), Name(2)}; }

TimePoint At(int step) { return TimePoint(milliseconds(step)); }

/// The guards, each of which can be taken out.
struct Rule {
  /// Databases that have a commit when it is acknowledged.
  int copies = 2;
  size_t witnesses = 1;
  /// An answer counts from when its question was sent, not from its arrival.
  bool from_question = true;
  /// A witness has to know the very term that the primary claims.
  bool compares_terms = true;
};

struct Question {
  int sent = 0;
  /// What the database answered, still on its way; 0: not answered yet.
  int term = 0;
};

struct State {
  std::array<int, kDatabases> term{1, 1, 1};
  std::array<bool, kDatabases> leads{true, false, false};
  int newest = 1;
  /// When a commit under a newer term was first acknowledged; 0: never.
  int acknowledged = 0;
  /// When the read was sent to the old primary, and whether that answered it.
  int read = 0;
  bool answered = false;
  std::array<Question, kDatabases> questions;
  /// Questions that may still be sent.
  int questions_left = 3;
  LeadershipProof proof;
  std::vector<std::string> trace;

  int step() const { return static_cast<int>(trace.size()); }
  /// What matters of it: the order of events, not their times.
  auto Key() const {
    std::array<int, 2> asked{};
    std::array<int, 2> under_way{};
    for (int i = 1; i < kDatabases; ++i) {
      const Question& each = questions[i];
      asked[i - 1] = each.sent == 0 ? 0 : (each.sent >= read ? 2 : 1);
      under_way[i - 1] = each.term;
    }
    const bool before = acknowledged != 0 && read != 0 && acknowledged < read;
    const bool proved = read != 0 && proof.ProvedUntil(Others(), 1) >= At(read);
    return std::make_tuple(term, leads, newest, acknowledged != 0, before,
                           read != 0, answered, asked, under_way,
                           questions_left, proved);
  }
};

class Walk {
 public:
  explicit Walk(Rule rule) : rule_(rule) {}

  /// The shortest run in which the reader takes an answer that misses an
  /// acknowledged commit; nothing when there is none.
  std::optional<std::vector<std::string>> FindFault() {
    Add(State());
    while (!waiting_.empty()) {
      const State state = std::move(waiting_.front());
      waiting_.pop_front();
      if (Stale(state)) return state.trace;
      if (state.step() < kMostSteps) Expand(state);
    }
    return std::nullopt;
  }
  size_t states() const { return seen_.size(); }

 private:
  bool Stale(const State& state) const {
    if (!state.answered || state.acknowledged == 0) return false;
    const TimePoint until = state.proof.ProvedUntil(Others(), rule_.witnesses);
    return until >= At(state.read) && state.acknowledged < state.read;
  }

  void Add(State state) {
    if (seen_.insert(state.Key()).second) waiting_.push_back(std::move(state));
  }

  void Expand(const State& state) {
    for (int i = 1; i < kDatabases; ++i) {
      Promote(state, i);
      Ask(state, i);
      Answer(state, i);
      Arrive(state, i);
    }
    for (int i = 0; i < kDatabases; ++i) {
      Commit(state, i);
      for (int j = 0; j < kDatabases; ++j) Follow(state, i, j);
    }
    Read(state);
    AnswerRead(state);
  }

  /// The database leads a new term; nobody else has heard of it.
  void Promote(State next, int i) {
    if (next.newest == 3 || next.leads[i]) return;
    next.trace.push_back("promote " + Name(i));
    next.term[i] = ++next.newest;
    next.leads[i] = true;
    Add(std::move(next));
  }
  /// A database hears of a newer leader.
  void Follow(State next, int i, int leader) {
    if (!next.leads[leader] || next.term[leader] <= next.term[i]) return;
    next.trace.push_back(Name(i) + " follows " + Name(leader));
    next.term[i] = next.term[leader];
    next.leads[i] = false;
    Add(std::move(next));
  }
  /// A leader of a newer term commits; acknowledged with enough copies.
  void Commit(State next, int i) {
    if (!next.leads[i] || next.term[i] == 1 || next.acknowledged != 0) return;
    int copies = 0;
    for (int j = 0; j < kDatabases; ++j) copies += next.term[j] == next.term[i];
    if (copies < rule_.copies) return;
    next.trace.push_back("commit at " + Name(i) + " acknowledged");
    next.acknowledged = next.step();
    Add(std::move(next));
  }
  void Read(State next) {
    if (next.read != 0) return;
    next.trace.push_back("read sent to old");
    next.read = next.step();
    Add(std::move(next));
  }
  void AnswerRead(State next) {
    if (next.read == 0 || next.answered || !next.leads[0]) return;
    next.trace.push_back("old answers");
    next.answered = true;
    next.proof.Claimed(Name(0), next.term[0], At(next.read), {1, 1});
    Add(std::move(next));
  }
  void Ask(State next, int i) {
    if (next.questions_left == 0 || next.questions[i].sent != 0) return;
    next.trace.push_back("ask " + Name(i));
    --next.questions_left;
    next.questions[i].sent = next.step();
    Add(std::move(next));
  }
  void Answer(State next, int i) {
    if (next.questions[i].sent == 0 || next.questions[i].term != 0) return;
    next.trace.push_back(Name(i) + " answers");
    next.questions[i].term = next.term[i];
    Add(std::move(next));
  }
  void Arrive(State next, int i) {
    const Question question = next.questions[i];
    if (question.term == 0) return;
    next.trace.push_back("answer of " + Name(i) + " arrives");
    next.questions[i] = Question();
    const int counts_from = rule_.from_question ? question.sent : next.step();
    const int told = rule_.compares_terms ? question.term : 1;
    next.proof.Told(Name(i), At(counts_from), told);
    Add(std::move(next));
  }

  const Rule rule_;
  std::deque<State> waiting_;
  std::set<decltype(State().Key())> seen_;
};

std::string Text(const std::vector<std::string>& trace) {
  std::string text;
  for (const std::string& line : trace) text += "\n  " + line;
  return text;
}

// A primary is replaced and goes on, some databases hear of it late, answers
// overtake each other. A caller must never read from the old one what misses a
// commit that another caller was told of before.
TEST(LeadershipWalk, NoReadContradictsTheOrderOfTerms) {
  Walk walk{Rule()};
  const auto fault = walk.FindFault();
  EXPECT_FALSE(fault.has_value()) << Text(*fault);
  EXPECT_EQ(walk.states(), 18979U);
}

// With any one guard taken out the same walk finds a stale read, so each of
// them is needed. The shortest such run is part of the check.
TEST(LeadershipWalk, EachGuardIsNeeded) {
  const std::vector<std::pair<const char*, Rule>> rules = {
      {"acknowledged with the primary's copy alone", {1, 1, true, true}},
      {"no witness", {2, 0, true, true}},
      {"answers count from their arrival", {2, 1, false, true}},
      {"terms not compared", {2, 1, true, false}}};
  const std::vector<size_t> shortest = {7, 5, 8, 8};
  for (size_t i = 0; i < rules.size(); ++i) {
    const auto fault = Walk(rules[i].second).FindFault();
    ASSERT_TRUE(fault.has_value()) << rules[i].first;
    EXPECT_EQ(fault->size(), shortest[i]) << rules[i].first << Text(*fault);
  }
}

TEST(LeadershipProof, NeedsAllButOneOfTheOthers) {
  EXPECT_EQ(WitnessesNeeded(1, 2), 0U);
  EXPECT_EQ(WitnessesNeeded(2, 2), 1U);
  EXPECT_EQ(WitnessesNeeded(3, 2), 1U);
  EXPECT_EQ(WitnessesNeeded(4, 2), 2U);
  EXPECT_EQ(WitnessesNeeded(3, 1), 2U);
}

// A database starts again under its id and knows nothing of the newer term it
// knew before: what it said then still stands, what it knew is forgotten.
TEST(LeadershipProof, ForgetsWhatARebornDatabaseSaid) {
  LeadershipProof proof;
  EXPECT_TRUE(proof.Claimed("old", 1, At(1), {1, 5}));
  proof.Told("b", At(2), 1);
  EXPECT_EQ(proof.ProvedUntil(Others(), 1), At(2));
  proof.Forget("b");
  EXPECT_EQ(proof.ProvedUntil(Others(), 1), TimePoint());
  proof.Forget("old");
  EXPECT_EQ(proof.leader(), "");
  EXPECT_TRUE(proof.TakeClaims(At(9)).empty());
}

}  // namespace
}  // namespace ryefold::core::session
