// Random faults in virtual time: whatever happens, an accepted change is in
// the log once and for good, nothing of a refused one ever is, no instance
// falls back, and each holds exactly the state of some revision.

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

/// One random run: operators who look, edit and publish, and faults between.
class History {
 public:
  explicit History(uint64_t seed) : random_(seed), fleet_(Options(seed)) {}

  void Faults(int steps) {
    fleet_.Run(2s);
    for (int step = 0; step < steps; ++step) {
      Step();
      fleet_.Run(milliseconds(Pick(700)));
    }
  }
  void Settle() {
    fleet_.platform.down = false;
    fleet_.platform.slowness = 1ms;
    fleet_.platform.lose_put_answers = 0;
    fleet_.Heal();
    for (size_t i = 0; i < fleet_.size(); ++i) {
      if (!fleet_.at(i).alive) fleet_.Start(i);
      if (fleet_.at(i).frozen) fleet_.Thaw(i);
    }
    fleet_.Run(40s);
  }
  void Verify() {
    RC_ASSERT(fleet_.violations.empty());
    RC_ASSERT(fleet_.AllReady());
    RC_ASSERT(fleet_.InForceEverywhere(fleet_.platform.log().size()));
    std::map<std::string, uint64_t> placed;
    for (const auto& [revision, change] : fleet_.platform.log()) {
      RC_ASSERT(placed.emplace(change.change_id, revision).second);
    }
    for (const cfg::PublishDone& done : fleet_.published) {
      const std::string& id = ids_.at(done.tag);
      if (done.status == PublishStatus::kAccepted) {
        RC_ASSERT(placed.contains(id));
        RC_ASSERT(placed.at(id) == done.revision);
      } else if (done.status == PublishStatus::kUnavailable) {
        // Speaks for this attempt: the operator may send the change again,
        // and that attempt may succeed. A repeat is never told so, since an
        // earlier attempt may still be under way.
        RC_ASSERT(!repeats_.contains(done.tag));
        RC_ASSERT(!placed.contains(id) || repeated_.contains(id));
      } else if (done.status == PublishStatus::kConflict) {
        RC_ASSERT(!placed.contains(id) || repeated_.contains(id));
      }
    }
  }

 private:
  static FleetOptions Options(uint64_t seed) {
    FleetOptions options;
    options.instances = 6;
    options.seed = seed;
    options.node.block_bytes = 600;
    options.node.snapshot_every = 12;
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
        return fleet_.Cut(i, (i + 1 + Pick(5)) % fleet_.size());
      case 4:
        return fleet_.CutFromStore(i);
      case 5:
        return fleet_.Heal();
      case 6:
        fleet_.platform.down = Pick(2) == 0;
        return;
      case 7:
        fleet_.platform.slowness = milliseconds(Pick(2) == 0 ? 1 : 2500);
        return;
      case 8:
        fleet_.platform.lose_put_answers += 1;
        return;
      case 9:
        if (fleet_.at(i).alive && !fleet_.at(i).frozen) fleet_.Freeze(i);
        return;
      case 10:
        if (fleet_.at(i).frozen) fleet_.Thaw(i);
        return;
      default:
        return Publish(i);
    }
  }

  /// What the operator saw comes from one instance, the publish goes through
  /// another; sometimes an earlier change is repeated.
  void Publish(size_t i) {
    const size_t through = Pick(fleet_.size());
    const bool able = fleet_.at(through).alive && !fleet_.at(through).frozen;
    if (!able || !fleet_.at(i).alive) return;
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

// Instances die, freeze and are cut off, the store goes away, is slow and
// loses answers, while operators publish and repeat. A user would notice a
// fault here as a change that came, went and came back, or a workspace with
// parameters that nobody published.
RC_GTEST_PROP(ConfigurationRandom, HoldsThroughFaults, ()) {
  const auto seed = *rc::gen::arbitrary<uint32_t>();
  History run(seed);
  run.Faults(60);
  run.Settle();
  run.Verify();
}

// An operator hears nothing of a change through one instance, whose put is
// slow, and repeats it through another that cannot reach the store. Told "not
// taken", the operator saw it in force a moment later.
TEST(ConfigurationSeeds, ARepeatIsNotDeniedWhileTheFirstIsUnderWay) {
  History run(3592);
  run.Faults(60);
  run.Settle();
  run.Verify();
}

// An instance restarts while its watch is open at the store. The answer belongs
// to the process before; the new one must not see it.
TEST(ConfigurationSeeds, AnAnswerToTheProcessBeforeGoesNowhere) {
  History run(16080814);
  run.Faults(60);
  run.Settle();
  run.Verify();
}

}  // namespace
}  // namespace ryefold::testing::control
