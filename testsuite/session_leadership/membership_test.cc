// Random model check of acknowledgements and proofs while databases join and
// leave: two instances that know different parts of the list, promotions that
// some databases do not hear of, databases that are cut off, late answers.

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "ryefold/core/session/leadership_proof.h"
#include "testsuite/support/random/seeds.h"

namespace ryefold::core::session {
namespace {

using std::chrono::milliseconds;

constexpr uint64_t kFirstSeed = 20261204;
constexpr uint64_t kRuns = 20000;
constexpr int kSteps = 160;
constexpr size_t kMaxRunning = 5;
constexpr int kMaxAnswerDelay = 6;
/// Steps for which a list counts as current, in place of `kListCurrentFor`.
constexpr int kListSteps = 12;
/// Steps after which a read is given up; routes' timeouts are shorter than
/// `kListCurrentFor`.
constexpr int kReadSteps = 12;

TimePoint At(int step) { return TimePoint(milliseconds(step)); }

/// The conditions of the rule, each of which can be disabled.
struct Rule {
  /// A commit waits until `ExcludesOlderTerms`.
  bool excludes_older = true;
  /// Databases that left the list count in `ExcludesOlderTerms`.
  bool counts_departed = true;
  /// A replica counts as such only if it was asked after the term began.
  bool asks_after_term = true;
  /// A newer primary in the list makes all databases witnesses.
  bool minds_listed_primary = true;
  /// A commit beside an older primary needs a current list.
  bool needs_current_list = true;
  /// Databases that left the list recently count for the proof.
  bool proves_with_departed = true;
};

struct ModelDatabase {
  bool running = true;
  bool listed = true;
  bool leads = false;
  /// Hears of no promotion and receives no entry.
  bool deaf = false;
  uint64_t term = 1;
};

/// One entry of the platform's list of databases, which all instances read in
/// the same order.
struct ListEvent {
  enum class Kind { kJoins, kLeaves, kClaims } kind = Kind::kJoins;
  std::string id;
};

struct Status {
  int asked = -1;
  uint64_t term = 0;
  bool primary = false;
};

/// What both kinds of instances know.
struct View {
  size_t next_event = 0;
  std::set<std::string> members;
  /// When each database was seen to leave.
  std::map<std::string, int> departed;
  /// When the view last held the whole list.
  int confirmed = 0;
  std::map<std::string, Status> statuses;
  /// Databases known to have led each term.
  std::map<uint64_t, std::string> leaders;
  uint64_t term = 0;
  int term_since = 0;
  std::string listed_primary;
  int listed_primary_since = -1;

  void SeeTerm(uint64_t seen, int step) {
    if (seen <= term) return;
    term = seen;
    term_since = step;
  }
};

struct Commit {
  std::string primary;
  uint64_t term = 0;
  int made = 0;
  std::set<std::string> holders;
  bool acknowledged = false;
  int acknowledged_at = 0;
};

struct Read {
  std::string primary;
  uint64_t term = 0;
  int sent = 0;
};

class Model {
 public:
  Model(uint64_t seed, const Rule& rule) : random_(seed), rule_(rule) {
    for (const char* id : {"a", "b", "c"}) Join(id, 1);
    databases_["a"].leads = true;
    Publish(ListEvent::Kind::kClaims, "a");
    for (View* view : {&writer_, &reader_}) {
      while (view->next_event < list_.size()) Learn(view);
      view->SeeTerm(1, 0);
    }
  }

  /// Returns the first acknowledged commit that a proved read misses, as text.
  std::optional<std::string> Run() {
    for (step_ = 1; step_ < kSteps; ++step_) {
      DeliverAnswers();
      Act();
      for (View* view : {&writer_, &reader_}) {
        if (view->next_event == list_.size()) view->confirmed = step_;
      }
      Acknowledge();
      auto violation = FindStaleRead();
      if (violation.has_value()) return violation;
    }
    return std::nullopt;
  }
  /// Ends a step of a scripted run; returns whether a read is stale.
  bool EndStep() {
    Acknowledge();
    for (View* view : {&writer_, &reader_}) {
      if (view->next_event == list_.size()) view->confirmed = step_;
    }
    const bool stale = FindStaleRead().has_value();
    ++step_;
    DeliverAnswers();
    return stale;
  }
  View* writer() { return &writer_; }
  View* reader() { return &reader_; }

  void Promote(const std::string& id) {
    databases_[id].term = ++newest_term_;
    databases_[id].leads = true;
    Publish(ListEvent::Kind::kClaims, id);
  }
  void Follow(const std::string& id, const std::string& leader) {
    if (databases_[leader].term <= databases_[id].term) return;
    databases_[id].term = databases_[leader].term;
    databases_[id].leads = false;
    Note(id + " follows " + leader);
  }
  void Join(const std::string& id, uint64_t term) {
    databases_[id].term = term;
    Publish(ListEvent::Kind::kJoins, id);
  }
  void Leave(const std::string& id, bool runs_on) {
    databases_[id].listed = false;
    databases_[id].running = runs_on;
    Publish(ListEvent::Kind::kLeaves, id);
  }
  void LearnAll(View* view) {
    while (view->next_event < list_.size()) Learn(view);
  }
  /// Asks for the status, which arrives after `delay` steps.
  void Ask(View* view, const std::string& id, int delay) {
    const ModelDatabase& database = databases_[id];
    if (!database.running) return;
    Answer answer;
    answer.due = step_ + delay;
    answer.view = view;
    answer.id = id;
    answer.status = {step_, database.term, database.leads};
    answers_.push_back(answer);
    Note(NameOf(view) + " asks " + id);
  }
  /// A caller of the writer commits at a primary; `receivers` get the commit.
  void Write(const std::string& id, const std::set<std::string>& receivers) {
    Commit commit;
    commit.primary = id;
    commit.term = databases_[id].term;
    commit.made = step_;
    commit.holders = receivers;
    for (const std::string& other : receivers) {
      databases_[other].term = commit.term;
      databases_[other].leads = false;
    }
    writer_.SeeTerm(commit.term, step_);
    writer_.leaders[commit.term] = id;
    commits_.push_back(commit);
    Note(id + " commits under " + std::to_string(commit.term));
  }
  void SendRead(const std::string& id) {
    const ModelDatabase& database = databases_[id];
    if (!database.running || !database.leads) return;
    if (!proof_.RecordClaim(id, database.term, At(step_), {1, 1})) return;
    reader_.SeeTerm(database.term, step_);
    reads_.push_back({id, database.term, step_});
    Note("read sent to " + id);
  }
  size_t acknowledged() const { return acknowledged_; }
  size_t proved() const { return proved_; }

 private:
  struct Answer {
    int due = 0;
    View* view = nullptr;
    std::string id;
    Status status;
  };

  uint64_t Below(uint64_t limit) { return random_() % limit; }
  std::optional<std::string> Pick(bool (*suitable)(const ModelDatabase&)) {
    std::vector<std::string> ids;
    for (const auto& [id, database] : databases_) {
      if (suitable(database)) ids.push_back(id);
    }
    if (ids.empty()) return std::nullopt;
    return ids[Below(ids.size())];
  }
  std::optional<std::string> PickRunning() {
    return Pick([](const ModelDatabase& each) { return each.running; });
  }

  void Publish(ListEvent::Kind kind, const std::string& id) {
    constexpr const char* kNames[] = {"joins", "leaves", "claims"};
    Note(id + " " + kNames[static_cast<int>(kind)]);
    list_.push_back({kind, id});
  }
  void Learn(View* view) {
    if (view->next_event >= list_.size()) return;
    const ListEvent& event = list_[view->next_event++];
    Note(NameOf(view) + " learns of " + event.id);
    switch (event.kind) {
      case ListEvent::Kind::kJoins:
        view->members.insert(event.id);
        view->departed.erase(event.id);
        break;
      case ListEvent::Kind::kLeaves:
        view->members.erase(event.id);
        view->departed[event.id] = step_;
        break;
      case ListEvent::Kind::kClaims:
        view->listed_primary = event.id;
        view->listed_primary_since = step_;
        break;
    }
  }

  std::string NameOf(const View* view) const {
    return view == &writer_ ? "writer" : "reader";
  }

  void Act() {
    switch (Below(18)) {
      case 0:
        return Promote();
      case 1:
      case 2:
        return Follow();
      case 3:
        return ToggleDeaf();
      case 4:
        return JoinNew();
      case 5:
        return Leave();
      case 6:
        return Learn(&writer_);
      case 7:
        return Learn(&reader_);
      case 15:
        return LearnAll(&writer_);
      case 16:
        return LearnAll(&reader_);
      case 8:
        return StepDown();
      case 9:
      case 10:
        return Ask(&writer_);
      case 11:
      case 12:
        return Ask(&reader_);
      case 13:
      case 14:
        return Write();
      default:
        return SendRead();
    }
  }

  void Promote() {
    const auto id = Pick([](const ModelDatabase& each) {
      return each.running && each.listed && !each.leads;
    });
    if (!id.has_value()) return;
    Promote(*id);
  }
  /// A database hears of a newer primary.
  void Follow() {
    const auto id = PickRunning();
    const auto leader = Pick(
        [](const ModelDatabase& each) { return each.running && each.leads; });
    if (!id.has_value() || !leader.has_value()) return;
    if (!databases_[*id].deaf) Follow(*id, *leader);
  }
  void ToggleDeaf() {
    const auto id = PickRunning();
    if (id.has_value()) databases_[*id].deaf = !databases_[*id].deaf;
  }
  void JoinNew() {
    const auto source = Pick(
        [](const ModelDatabase& each) { return each.running && each.listed; });
    const auto running =
        std::count_if(databases_.begin(), databases_.end(),
                      [](const auto& each) { return each.second.running; });
    if (!source.has_value() || running >= static_cast<int>(kMaxRunning)) return;
    Join("n" + std::to_string(++last_joined_), databases_[*source].term);
  }
  /// A database leaves the list; half of the time it runs on, cut off from the
  /// platform's store.
  void Leave() {
    const auto id = Pick(
        [](const ModelDatabase& each) { return each.running && each.listed; });
    if (!id.has_value()) return;
    Leave(*id, /*runs_on=*/Below(2) == 0);
  }
  void StepDown() {
    if (writer_.members.empty()) return;
    auto each = writer_.members.begin();
    std::advance(each, Below(writer_.members.size()));
    ModelDatabase& database = databases_[*each];
    if (!database.running || database.term >= writer_.term) return;
    database.leads = false;
    Note(*each + " steps down");
  }
  void Ask(View* view) {
    if (view->members.empty()) return;
    auto each = view->members.begin();
    std::advance(each, Below(view->members.size()));
    Ask(view, *each, static_cast<int>(Below(kMaxAnswerDelay)));
  }
  void DeliverAnswers() {
    for (const Answer& answer : answers_) {
      if (answer.due != step_) continue;
      if (answer.status.primary) {
        answer.view->leaders[answer.status.term] = answer.id;
      }
      Status& known = answer.view->statuses[answer.id];
      if (answer.status.asked < known.asked) continue;
      known = answer.status;
      answer.view->SeeTerm(answer.status.term, step_);
      if (answer.view != &reader_) continue;
      proof_.RecordWitness(answer.id, At(answer.status.asked),
                           answer.status.term);
    }
  }

  /// A caller of the writer writes at a primary that the writer knows.
  void Write() {
    const auto id = Pick(
        [](const ModelDatabase& each) { return each.running && each.leads; });
    if (!id.has_value() || writer_.members.count(*id) == 0) return;
    if (databases_[*id].term < writer_.term) return;
    std::set<std::string> receivers;
    for (const auto& [other, database] : databases_) {
      const bool receives = database.running && !database.deaf &&
                            database.term <= databases_[*id].term &&
                            Below(3) != 0;
      if (other != *id && receives) receivers.insert(other);
    }
    Write(*id, receivers);
  }
  bool MayLeadBetween(const std::string& id, uint64_t after,
                      uint64_t before) const {
    for (uint64_t term = after + 1; term < before; ++term) {
      const auto leader = writer_.leaders.find(term);
      if (leader == writer_.leaders.end() || leader->second == id) return true;
    }
    return false;
  }
  std::vector<MemberEvidence> EvidenceOf(const std::string& primary) const {
    std::set<std::string> ids = writer_.members;
    if (rule_.counts_departed) {
      for (const auto& [id, left] : writer_.departed) ids.insert(id);
    }
    ids.erase(primary);
    std::vector<MemberEvidence> evidence;
    for (const std::string& id : ids) {
      MemberEvidence member;
      const auto found = writer_.statuses.find(id);
      if (found != writer_.statuses.end()) {
        const Status& status = found->second;
        member.term = status.term;
        member.replica =
            !status.primary &&
            (!rule_.asks_after_term || status.asked >= writer_.term_since ||
             !MayLeadBetween(id, status.term, writer_.term));
      }
      evidence.push_back(member);
    }
    return evidence;
  }
  void Acknowledge() {
    for (Commit& commit : commits_) {
      if (commit.acknowledged || commit.term < writer_.term) continue;
      const bool held =
          std::any_of(commit.holders.begin(), commit.holders.end(),
                      [this, &commit](const std::string& id) {
                        const auto found = writer_.statuses.find(id);
                        return writer_.members.count(id) > 0 &&
                               found != writer_.statuses.end() &&
                               found->second.asked >= commit.made &&
                               found->second.term == commit.term;
                      });
      if (!held) continue;
      const bool current =
          !rule_.needs_current_list || step_ - writer_.confirmed <= kListSteps;
      if (rule_.excludes_older &&
          !ExcludesOlderTerms(commit.term, EvidenceOf(commit.primary),
                              current)) {
        continue;
      }
      Note("acknowledged: commit of " + commit.primary);
      commit.acknowledged = true;
      commit.acknowledged_at = step_;
      ++acknowledged_;
    }
  }

  /// Whether all databases that hold the commit have left the list, so that the
  /// next promotion discards it.
  bool IsLost(const Commit& commit) {
    if (databases_[commit.primary].listed) return false;
    return std::none_of(
        commit.holders.begin(), commit.holders.end(),
        [this](const std::string& id) { return databases_[id].listed; });
  }

  /// A caller of the reader reads at any database that accepts it as primary.
  void SendRead() {
    if (reader_.members.empty()) return;
    auto each = reader_.members.begin();
    std::advance(each, Below(reader_.members.size()));
    SendRead(*each);
  }
  std::optional<std::string> FindStaleRead() {
    std::vector<std::string> others;
    for (const std::string& id : reader_.members) {
      if (id != proof_.leader()) others.push_back(id);
    }
    const bool contested = rule_.minds_listed_primary &&
                           reader_.listed_primary != proof_.leader() &&
                           reader_.listed_primary_since > reader_.term_since;
    size_t departed = 0;
    for (const auto& [id, left] : reader_.departed) {
      const bool counts = reader_.confirmed < left + kListSteps;
      departed += counts && rule_.proves_with_departed ? 1 : 0;
    }
    const size_t needed =
        contested ? others.size()
                  : WitnessesNeeded(others.size() + departed + 1, 2);
    const TimePoint proved_until = proof_.ProvedUntil(others, needed);
    for (const Read& read : reads_) {
      const bool proved =
          read.primary == proof_.leader() && read.term == proof_.term() &&
          read.term >= reader_.term && !others.empty() &&
          At(read.sent) <= proved_until && step_ <= read.sent + kReadSteps;
      if (!proved) continue;
      ++proved_;
      for (const Commit& commit : commits_) {
        if (!commit.acknowledged || commit.term <= read.term) continue;
        if (commit.acknowledged_at >= read.sent) continue;
        if (IsLost(commit)) continue;
        return Trace() + "read sent at " + std::to_string(read.sent) + " to " +
               read.primary + " of term " + std::to_string(read.term) +
               " misses the commit of " + commit.primary + ", term " +
               std::to_string(commit.term) + ", acknowledged at " +
               std::to_string(commit.acknowledged_at);
      }
    }
    return std::nullopt;
  }

  void Note(const std::string& what) {
    trace_.push_back(std::to_string(step_) + " " + what);
  }
  std::string Trace() const {
    std::string text;
    for (const std::string& line : trace_) text += "\n  " + line;
    return text + "\n  ";
  }

  std::mt19937_64 random_;
  const Rule rule_;
  std::vector<std::string> trace_;
  int step_ = 0;
  std::map<std::string, ModelDatabase> databases_;
  std::vector<ListEvent> list_;
  uint64_t newest_term_ = 1;
  uint64_t last_joined_ = 0;
  View writer_;
  View reader_;
  LeadershipProof proof_;
  std::vector<Answer> answers_;
  std::vector<Commit> commits_;
  std::vector<Read> reads_;
  size_t acknowledged_ = 0;
  size_t proved_ = 0;
};

// Databases join, leave, are replaced and cut off while two instances know
// different lists: no proved read may miss a commit that was acknowledged
// before it was sent.
TEST(Membership, NoReadMissesAnAcknowledgedCommit) {
  const uint64_t first = testsuite::FromEnvironment("RYEFOLD_SEED", kFirstSeed);
  const uint64_t runs = testsuite::FromEnvironment("RYEFOLD_RUNS", kRuns);
  size_t acknowledged = 0;
  size_t proved = 0;
  for (uint64_t seed = first; seed < first + runs; ++seed) {
    Model model(seed, Rule());
    const auto violation = model.Run();
    ASSERT_FALSE(violation.has_value())
        << "seed " << seed << ": " << *violation;
    acknowledged += model.acknowledged();
    proved += model.proved();
  }
  // A rule that acknowledges or proves nothing would pass.
  EXPECT_GT(acknowledged, runs / 4);
  EXPECT_GT(proved, runs / 4);
  std::cout << "acknowledged " << acknowledged << " proved " << proved
            << std::endl;
}

/// An order of events, and the rule that serves a stale read in it for lack of
/// one condition.
struct Order {
  const char* missing;
  Rule broken;
  /// Runs all but the read, its primary and its witness.
  void (*prepare)(Model*);
  const char* primary;
  const char* witness;
};

void Steps(Model* model, int count) {
  for (int i = 0; i < count; ++i) model->EndStep();
}

/// "d" joins, unknown to the reader, and is promoted; "c" does not hear of it.
void SuccessorUnknownToReader(Model* model) {
  model->Join("d", 1);
  model->LearnAll(model->writer());
  model->Promote("d");
  model->Write("d", {"b"});
  model->Ask(model->writer(), "b", 1);
  Steps(model, 3);
}

/// The same after "c" has left the writer's list and runs on.
void WitnessUnknownToWriter(Model* model) {
  model->Join("d", 1);
  model->Leave("c", /*runs_on=*/true);
  model->Promote("d");
  model->LearnAll(model->writer());
  model->Write("d", {"b"});
  model->Ask(model->writer(), "b", 1);
  Steps(model, 3);
}

/// "b" was a replica when the writer asked it, and has led since.
void PrimaryAskedBeforeItLed(Model* model) {
  model->Join("d", 1);
  model->LearnAll(model->writer());
  for (const char* id : {"a", "b", "c"}) model->Ask(model->writer(), id, 1);
  Steps(model, 3);
  model->Promote("b");
  model->Follow("a", "b");
  model->Follow("c", "b");
  model->Promote("d");
  model->Write("d", {"a"});
  model->Ask(model->writer(), "a", 1);
  Steps(model, 3);
}

/// "c", which confirms the commit, leaves for good; "d" joins with an old log.
void ConfirmingReplicaLeaves(Model* model) {
  model->Promote("b");
  model->LearnAll(model->writer());
  model->Write("b", {"c"});
  model->Ask(model->writer(), "c", 1);
  Steps(model, 3);
  model->Leave("c", /*runs_on=*/false);
  model->Join("d", 1);
  model->LearnAll(model->reader());
  Steps(model, kListSteps + 2);
}

/// "c" leaves the list and "d" joins before the promotion, which the reader
/// does not hear of; the writer hears of neither and lets "c" confirm.
void ReplicaLeftBeforeItConfirmed(Model* model, int pause) {
  model->Leave("c", /*runs_on=*/true);
  model->Join("d", 1);
  model->LearnAll(model->reader());
  Steps(model, pause);
  model->Promote("b");
  model->Write("b", {"c"});
  model->Ask(model->writer(), "c", 1);
  Steps(model, 3);
}

// Each condition of the rule is necessary: without it one order of joins,
// departures and cuts serves a stale read, and with it none.
TEST(Membership, EachConditionIsNecessary) {
  const Order orders[] = {
      {"older terms excluded",
       {.excludes_older = false},
       SuccessorUnknownToReader,
       "a",
       "c"},
      {"departed databases in ExcludesOlderTerms",
       {.counts_departed = false},
       WitnessUnknownToWriter,
       "a",
       "c"},
      {"replicas asked after the term",
       {.asks_after_term = false},
       PrimaryAskedBeforeItLed,
       "b",
       "c"},
      {"listed primary",
       {.minds_listed_primary = false},
       ConfirmingReplicaLeaves,
       "a",
       "d"},
      {"departed databases in the proof",
       {.proves_with_departed = false},
       [](Model* model) { ReplicaLeftBeforeItConfirmed(model, 1); },
       "a",
       "d"},
      {"current list",
       {.needs_current_list = false},
       [](Model* model) {
         ReplicaLeftBeforeItConfirmed(model, kListSteps + 2);
       },
       "a",
       "d"}};
  for (const Order& order : orders) {
    for (const bool whole : {true, false}) {
      Model model(kFirstSeed, whole ? Rule() : order.broken);
      model.EndStep();
      order.prepare(&model);
      model.SendRead(order.primary);
      model.Ask(model.reader(), order.witness, 1);
      bool stale = false;
      for (int i = 0; i < 4; ++i) stale = model.EndStep() || stale;
      EXPECT_EQ(stale, !whole) << order.missing;
    }
  }
}

}  // namespace
}  // namespace ryefold::core::session
