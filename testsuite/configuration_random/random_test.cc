// Random faults in virtual time. Invariants: an accepted change is in the log
// exactly once and permanently, no part of a rejected change ever is, no
// revision decreases, and each instance holds exactly the state of one
// revision.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>
#include <string>

#include "testsuite/support/control/changes.h"
#include "testsuite/support/control/fleet.h"

namespace ryefold::testing::control {
namespace {

using cfg::PublishStatus;

/// One random run: operators read, edit and publish while faults are injected.
class RandomRun {
 public:
  explicit RandomRun(uint64_t seed) : random_(seed), fleet_(Options(seed)) {}

  void InjectFaults(int steps) {
    fleet_.Run(2s);
    for (int step = 0; step < steps; ++step) {
      Step();
      fleet_.Run(milliseconds(Pick(700)));
    }
  }
  void Recover() {
    fleet_.platform.down = false;
    fleet_.platform.call_delay = 1ms;
    fleet_.platform.put_answers_to_lose = 0;
    fleet_.ReconnectAll();
    for (size_t i = 0; i < fleet_.size(); ++i) {
      if (!fleet_.at(i).alive) fleet_.Start(i);
      if (fleet_.at(i).paused) fleet_.Resume(i);
    }
    fleet_.Run(40s);
  }
  void Verify() {
    RC_ASSERT(fleet_.violations.empty());
    RC_ASSERT(fleet_.AllReady());
    RC_ASSERT(fleet_.InForceEverywhere(fleet_.platform.log().size()));
    std::map<std::string, uint64_t> log_revisions;
    for (const auto& [revision, change] : fleet_.platform.log()) {
      RC_ASSERT(log_revisions.emplace(change.change_id, revision).second);
    }
    for (const cfg::PublishDone& done : fleet_.published) {
      const std::string& id = ids_.at(done.tag);
      if (done.status == PublishStatus::kAccepted) {
        RC_ASSERT(log_revisions.contains(id));
        RC_ASSERT(log_revisions.at(id) == done.revision);
      } else if (done.status == PublishStatus::kUnavailable) {
        // Applies to this attempt only: the operator may send the change again,
        // and that attempt may succeed. A repeat never has this status, since
        // an earlier attempt may still be in flight.
        RC_ASSERT(!repeats_.contains(done.tag));
        RC_ASSERT(!log_revisions.contains(id) || repeated_.contains(id));
      } else if (done.status == PublishStatus::kConflict) {
        RC_ASSERT(!log_revisions.contains(id) || repeated_.contains(id));
      }
    }
  }

 private:
  static FleetOptions Options(uint64_t seed) {
    FleetOptions options;
    options.instances = 6;
    options.seed = seed;
    options.node.max_block_bytes = 600;
    options.node.changes_per_snapshot = 12;
    return options;
  }
  size_t Pick(size_t below) { return random_() % below; }

  void Step() {
    const size_t i = Pick(fleet_.size());
    switch (Pick(14)) {
      case 0:
        return fleet_.Kill(i);
      case 1:
      case 2:
        if (!fleet_.at(i).alive) fleet_.Start(i);
        return;
      case 3:
        return fleet_.Disconnect(i, (i + 1 + Pick(5)) % fleet_.size());
      case 4:
        return fleet_.DisconnectFromStore(i);
      case 5:
        return fleet_.ReconnectAll();
      case 6:
        fleet_.platform.down = Pick(2) == 0;
        return;
      case 7:
        fleet_.platform.call_delay = milliseconds(Pick(2) == 0 ? 1 : 2500);
        return;
      case 8:
        fleet_.platform.put_answers_to_lose += 1;
        return;
      case 9:
        if (fleet_.at(i).alive && !fleet_.at(i).paused) fleet_.Pause(i);
        return;
      case 10:
        if (fleet_.at(i).paused) fleet_.Resume(i);
        return;
      default:
        return Publish(i);
    }
  }

  /// Reads a document on one instance and publishes an edit of it through
  /// another one, or repeats an earlier change.
  void Publish(size_t i) {
    const size_t through = Pick(fleet_.size());
    const bool can_publish =
        fleet_.at(through).alive && !fleet_.at(through).paused;
    if (!can_publish || !fleet_.at(i).alive) return;
    if (!changes_.empty() && Pick(4) == 0) {
      const cfg::Change& again = changes_[Pick(changes_.size())];
      repeated_.insert(again.change_id);
      const cfg::Tag tag = fleet_.Publish(through, again, 4s, /*repeat=*/true);
      ids_[tag] = again.change_id;
      repeats_.insert(tag);
      return;
    }
    const std::string key = "workspace/" + std::to_string(Pick(4));
    const auto seen = fleet_.node(i).documents().find(key);
    const bool known = seen != fleet_.node(i).documents().end();
    const std::string id = "c" + std::to_string(changes_.size());
    const std::string text = Pick(6) == 0 ? "" : id + std::string(200, '.');
    changes_.push_back(
        ChangeOf(id, key, known ? seen->second.version : 0, text));
    ids_[fleet_.Publish(through, changes_.back(), 4s)] = id;
  }

  std::mt19937_64 random_;
  Fleet fleet_;
  std::vector<cfg::Change> changes_;
  std::set<std::string> repeated_;
  std::set<cfg::Tag> repeats_;
  std::map<cfg::Tag, std::string> ids_;
};

// Instances crash, freeze and are disconnected, and the store is down, slow or
// loses answers, while operators publish and repeat changes. A violation would
// be visible as a change that disappears and returns, or as a workspace with
// parameters that were never published.
RC_GTEST_PROP(ConfigurationRandom, HoldsThroughFaults, ()) {
  const auto seed = *rc::gen::arbitrary<uint32_t>();
  RandomRun run(seed);
  run.InjectFaults(60);
  run.Recover();
  run.Verify();
}

// The first publish is still in flight on an instance whose put is slow, and
// the operator repeats it through another instance that cannot reach the store.
// Reporting "not taken" is wrong, because the change takes effect a moment
// later.
TEST(ConfigurationSeeds, ARepeatIsNotDeniedWhileTheFirstIsUnderWay) {
  RandomRun run(3592);
  run.InjectFaults(60);
  run.Recover();
  run.Verify();
}

// An instance restarts while its watch is open at the store. The answer belongs
// to the previous process and must not reach the new one.
TEST(ConfigurationSeeds, AnAnswerToThePreviousProcessIsDropped) {
  RandomRun run(16080814);
  run.InjectFaults(60);
  run.Recover();
  run.Verify();
}

}  // namespace
}  // namespace ryefold::testing::control
