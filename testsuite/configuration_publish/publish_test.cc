// Results of publishing a change, and its effect on the fleet.

#include <gtest/gtest.h>

#include <string>

#include "testsuite/support/control/changes.h"
#include "testsuite/support/control/fleet.h"

namespace ryefold::testing::control {
namespace {

using cfg::PublishStatus;

class Publish : public ::testing::Test {
 protected:
  Publish() : fleet_(FleetOptions{}) {
    started_ = fleet_.RunUntil([this] { return fleet_.AllReady(); }, 5s);
  }
  void TearDown() override {
    EXPECT_TRUE(started_);
    EXPECT_TRUE(fleet_.violations.empty()) << fleet_.violations.front();
  }
  PublishStatus WaitForStatus(cfg::Tag tag) {
    EXPECT_TRUE(fleet_.RunUntilAnswered(tag));
    return fleet_.Answer(tag)->status;
  }
  std::string TextAt(size_t i, const std::string& key) {
    const auto found = fleet_.node(i).documents().find(key);
    if (found == fleet_.node(i).documents().end()) return "";
    return found->second.text.value_or("");
  }

  Fleet fleet_;
  bool started_ = false;
};

TEST_F(Publish, InForceOnAllOfEightWithinTwoSeconds) {
  const TimePoint begin = fleet_.now();
  const auto tag = fleet_.Publish(5, ChangeOf("a", "group/g1", 0, "one"));
  EXPECT_EQ(WaitForStatus(tag), PublishStatus::kAccepted);
  EXPECT_GE(fleet_.Answer(tag)->held_by, 3U);
  EXPECT_TRUE(fleet_.RunUntil([&] { return fleet_.InForceEverywhere(1); }, 2s));
  EXPECT_LE(fleet_.now() - begin, 2s);
}

// Two operators edit the same version of a template and publish through
// different instances at the same time. If both were accepted, one edit would
// silently replace the other.
TEST_F(Publish, OneOfTwoRacingOperatorsWins) {
  const auto a = fleet_.Publish(1, ChangeOf("a", "template/t", 0, "one"));
  const auto b = fleet_.Publish(6, ChangeOf("b", "template/t", 0, "two"));
  const bool a_won = WaitForStatus(a) == PublishStatus::kAccepted;
  const bool b_won = WaitForStatus(b) == PublishStatus::kAccepted;
  EXPECT_NE(a_won, b_won);
  const cfg::PublishDone& loser = *fleet_.Answer(a_won ? b : a);
  EXPECT_EQ(loser.status, PublishStatus::kConflict);
  EXPECT_EQ(loser.conflicts,
            (std::vector<cfg::Conflict>{{"template/t", 0, 1}}));
  fleet_.Run(3s);
  EXPECT_EQ(fleet_.platform.log().size(), 1U);
  for (size_t i = 0; i < fleet_.size(); ++i) {
    EXPECT_EQ(TextAt(i, "template/t"), a_won ? "one" : "two");
  }
}

// Two changes of two documents each overlap in one key. If part of the rejected
// change took effect, a workspace could run with parameters of a template that
// was never published.
TEST_F(Publish, NothingOfALosingChangeIsInForce) {
  cfg::Change a = ChangeOf("a", "template/t", 0, "one");
  a.edits.push_back({"workspace/w", 0, "of one"});
  cfg::Change b = ChangeOf("b", "workspace/w", 0, "of two");
  b.edits.push_back({"workspace/x", 0, "of two"});
  const auto first = fleet_.Publish(2, a);
  const auto second = fleet_.Publish(3, b);
  const bool a_won = WaitForStatus(first) == PublishStatus::kAccepted;
  EXPECT_EQ(WaitForStatus(second),
            a_won ? PublishStatus::kConflict : PublishStatus::kAccepted);
  fleet_.Run(3s);
  for (size_t i = 0; i < fleet_.size(); ++i) {
    EXPECT_EQ(TextAt(i, "template/t"), a_won ? "one" : "");
    EXPECT_EQ(TextAt(i, "workspace/x"), a_won ? "" : "of two");
  }
}

// Concurrent changes of different keys do not conflict, and all of them must be
// accepted.
TEST_F(Publish, ChangesOfDifferentKeysAllPass) {
  std::vector<cfg::Tag> tags;
  for (size_t i = 0; i < fleet_.size(); ++i) {
    const std::string name = std::to_string(i);
    tags.push_back(
        fleet_.Publish(i, ChangeOf(name, "workspace/" + name, 0, "text")));
  }
  for (const cfg::Tag tag : tags) {
    EXPECT_EQ(WaitForStatus(tag), PublishStatus::kAccepted);
  }
  EXPECT_EQ(fleet_.platform.log().size(), fleet_.size());
}

// The store accepts the change and the answer is lost. After "conflict" or "not
// taken" the operator would publish a change again that is already in force.
TEST_F(Publish, LostAnswerIsSettledByReadingBack) {
  for (size_t i = 0; i < fleet_.size(); ++i) {
    if (i != 4) fleet_.DisconnectFromStore(i);
  }
  fleet_.platform.put_answers_to_lose = 1;
  const auto tag = fleet_.Publish(4, ChangeOf("a", "group/g", 0, "one"), 20s);
  EXPECT_EQ(WaitForStatus(tag), PublishStatus::kAccepted);
  EXPECT_EQ(fleet_.Answer(tag)->revision, 1U);
  EXPECT_EQ(fleet_.platform.log().size(), 1U);
}

// The store accepts the change, the answer is lost, and the store goes down
// before the log can be read again. "Not taken" would be wrong, because the
// change takes effect once the store returns. A repeat of the change id through
// another instance must find the change, which is in the log once.
TEST_F(Publish, UnsettledChangeIsUnknownAndItsRepeatFindsIt) {
  fleet_.platform.put_answers_to_lose = 1;
  const cfg::Change change = ChangeOf("a", "group/g", 0, "one");
  for (size_t i = 0; i < fleet_.size(); ++i) {
    if (i != 4) fleet_.DisconnectFromStore(i);
  }
  const auto first = fleet_.Publish(4, change, 6s);
  fleet_.RunUntil([&] { return !fleet_.platform.log().empty(); }, 1s, 1ms);
  fleet_.platform.down = true;
  EXPECT_EQ(WaitForStatus(first), PublishStatus::kUnknown);
  fleet_.platform.down = false;
  fleet_.ReconnectAll();
  const auto second = fleet_.Publish(7, change);
  EXPECT_EQ(WaitForStatus(second), PublishStatus::kAccepted);
  fleet_.Run(10s);
  EXPECT_EQ(fleet_.platform.log().size(), 1U);
  EXPECT_TRUE(fleet_.InForceEverywhere(1));
}

// The answer to an accepted change is lost, and the client repeats the change
// through another instance. The repeat must be accepted, not rejected as a
// conflict.
TEST_F(Publish, RepeatOfAnAcceptedChangeIsAcceptedAgain) {
  const cfg::Change change = ChangeOf("a", "workspace/w", 0, "one");
  WaitForStatus(fleet_.Publish(1, change));
  fleet_.Run(3s);
  const auto again = fleet_.Publish(6, change);
  EXPECT_EQ(WaitForStatus(again), PublishStatus::kAccepted);
  EXPECT_EQ(fleet_.Answer(again)->revision, 1U);
  EXPECT_EQ(fleet_.platform.log().size(), 1U);
}

TEST_F(Publish, AChangeTooLargeForTheStoreIsInvalid) {
  const std::string large(1 << 20, 'x');
  EXPECT_EQ(
      WaitForStatus(fleet_.Publish(1, ChangeOf("a", "workspace/w", 0, large))),
      PublishStatus::kInvalid);
  cfg::Change twice = ChangeOf("b", "workspace/w", 0, "one");
  twice.edits.push_back(twice.edits.front());
  EXPECT_EQ(WaitForStatus(fleet_.Publish(1, twice)), PublishStatus::kInvalid);
  EXPECT_EQ(fleet_.platform.puts, 0U);
}

// A change creates a key, its answer is lost, another operator deletes the key,
// and the client repeats the change. If the repeat were accepted, it would
// restore a workspace that was deleted on purpose.
TEST_F(Publish, LateRepeatDoesNotUndoADeletion) {
  const cfg::Change change = ChangeOf("a", "workspace/w", 0, "one");
  WaitForStatus(fleet_.Publish(1, change));
  EXPECT_EQ(
      WaitForStatus(fleet_.Publish(2, ChangeOf("b", "workspace/w", 1, ""))),
      PublishStatus::kAccepted);
  EXPECT_EQ(WaitForStatus(fleet_.Publish(3, change)), PublishStatus::kConflict);
  EXPECT_EQ(TextAt(3, "workspace/w"), "");
}

// With the store unreachable the change is not accepted, and it does not take
// effect later.
TEST_F(Publish, StoreDownMeansNotTaken) {
  fleet_.platform.down = true;
  const auto tag = fleet_.Publish(3, ChangeOf("a", "group/g", 0, "one"), 4s);
  EXPECT_NE(WaitForStatus(tag), PublishStatus::kAccepted);
  fleet_.platform.down = false;
  fleet_.Run(20s);
  EXPECT_TRUE(fleet_.platform.log().empty());
}

// With store calls that take three seconds each, changes are still accepted,
// each exactly once.
TEST_F(Publish, SlowStoreStillTakesChanges) {
  fleet_.platform.call_delay = 3000ms;
  std::vector<cfg::Tag> tags;
  for (int i = 0; i < 3; ++i) {
    const std::string name = std::to_string(i);
    tags.push_back(
        fleet_.Publish(2, ChangeOf(name, "workspace/" + name, 0, "text"), 40s));
  }
  for (const cfg::Tag tag : tags) {
    EXPECT_TRUE(fleet_.RunUntilAnswered(tag, 60s));
    EXPECT_EQ(fleet_.Answer(tag)->status, PublishStatus::kAccepted);
  }
  EXPECT_EQ(fleet_.platform.log().size(), 3U);
  EXPECT_TRUE(fleet_.RunUntil([&] { return fleet_.InForceEverywhere(3); }, 2s));
}

// The publishing instance fails right after it reported "accepted", and the
// store goes down at the same time. If no other instance held the change, the
// fleet would keep the old configuration through the outage although the
// operator was told otherwise.
TEST(PublishSeeds, AcceptedChangeOutlivesItsPublisherAndTheStore) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    FleetOptions options;
    options.seed = seed;
    Fleet fleet(options);
    ASSERT_TRUE(fleet.RunUntil([&] { return fleet.AllReady(); }, 5s));
    for (size_t publisher = 0; publisher < fleet.size(); ++publisher) {
      const std::string name = std::to_string(publisher);
      const auto tag = fleet.Publish(
          publisher, ChangeOf(name, "workspace/" + name, 0, "text"));
      ASSERT_TRUE(fleet.RunUntil([&] { return fleet.Answer(tag) != nullptr; },
                                 20s, 1ms));
      ASSERT_EQ(fleet.Answer(tag)->status, PublishStatus::kAccepted);
      fleet.Kill(publisher);
      fleet.platform.down = true;
      EXPECT_TRUE(fleet.RunUntil(
          [&] { return fleet.InForceEverywhere(publisher + 1); }, 2s))
          << "seed " << seed << " publisher " << publisher;
      fleet.platform.down = false;
      fleet.Start(publisher);
      fleet.Run(3s);
    }
    EXPECT_TRUE(fleet.violations.empty());
  }
}

// The publishing instance reaches the store but no other instance. "Accepted"
// would be wrong, because the change could be lost with this instance during a
// store outage.
TEST_F(Publish, NotAcceptedWithoutOtherHolders) {
  for (size_t i = 1; i < fleet_.size(); ++i) {
    fleet_.Disconnect(0, i);
    fleet_.DisconnectFromStore(i);
  }
  const auto tag = fleet_.Publish(0, ChangeOf("a", "group/g", 0, "one"));
  EXPECT_EQ(WaitForStatus(tag), PublishStatus::kUnknown);
  EXPECT_EQ(fleet_.Answer(tag)->revision, 1U);
  EXPECT_EQ(fleet_.Answer(tag)->held_by, 1U);
}

// The operator publishes through an instance that has not received the version
// that the operator read on another one. This is not a conflict.
TEST_F(Publish, AnInstanceThatIsBehindCatchesUpFirst) {
  for (size_t i = 0; i < fleet_.size(); ++i) {
    if (i != 7) fleet_.Disconnect(7, i);
  }
  fleet_.DisconnectFromStore(7);
  fleet_.Run(500ms);
  WaitForStatus(fleet_.Publish(1, ChangeOf("a", "group/g", 0, "one")));
  const uint64_t seen = fleet_.node(1).documents().at("group/g").version;
  fleet_.ReconnectAll();
  EXPECT_EQ(
      WaitForStatus(fleet_.Publish(7, ChangeOf("b", "group/g", seen, "two"))),
      PublishStatus::kAccepted);
}

TEST_F(Publish, CountsWhereARevisionIsInForce) {
  WaitForStatus(fleet_.Publish(1, ChangeOf("a", "group/g", 0, "one")));
  fleet_.Run(2s);
  fleet_.RequestInForceCount(4, 1);
  ASSERT_TRUE(
      fleet_.RunUntil([&] { return fleet_.in_force_counts.size() == 1; }, 5s));
  EXPECT_EQ(fleet_.in_force_counts[0].in_force, 8U);
  EXPECT_EQ(fleet_.in_force_counts[0].instances, 8U);
  EXPECT_TRUE(fleet_.in_force_counts[0].missing.empty());
}

// An instance has failed while the list still contains it. The count reports it
// as missing.
TEST_F(Publish, CountListsMissingInstances) {
  fleet_.Kill(3);
  WaitForStatus(fleet_.Publish(1, ChangeOf("a", "group/g", 0, "one")));
  fleet_.Run(2s);
  fleet_.RequestInForceCount(4, 1);
  ASSERT_TRUE(
      fleet_.RunUntil([&] { return fleet_.in_force_counts.size() == 1; }, 9s));
  EXPECT_EQ(fleet_.in_force_counts[0].in_force, 7U);
  EXPECT_EQ(fleet_.in_force_counts[0].missing,
            (std::vector<std::string>{"i0003"}));
}

TEST_F(Publish, HistoryNamesEachVersionOfAKey) {
  WaitForStatus(fleet_.Publish(1, ChangeOf("a", "group/g", 0, "one")));
  WaitForStatus(fleet_.Publish(2, ChangeOf("x", "group/h", 0, "other")));
  WaitForStatus(fleet_.Publish(2, ChangeOf("b", "group/g", 1, "two")));
  fleet_.Run(1s);
  fleet_.RequestHistory(6, "group/g");
  ASSERT_TRUE(
      fleet_.RunUntil([&] { return fleet_.histories.size() == 1; }, 5s));
  const cfg::HistoryDone& done = fleet_.histories[0];
  EXPECT_TRUE(done.complete);
  ASSERT_EQ(done.entries.size(), 2U);
  EXPECT_EQ(done.entries[0].version, 3U);
  EXPECT_EQ(done.entries[0].text, "two");
  EXPECT_EQ(done.entries[1].change_id, "a");
}

}  // namespace
}  // namespace ryefold::testing::control
