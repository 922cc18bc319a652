#include "ryefold/core/routing/router.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

#include "ryefold/core/session/token.h"

namespace ryefold::core::routing {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kNow{milliseconds(1000000)};

Candidate Replica(const std::string& name, uint64_t index) {
  Candidate candidate;
  candidate.database = name;
  candidate.failure_domain = "south";
  candidate.usable = true;
  candidate.has_free_slot = true;
  candidate.last = {1, index};
  candidate.term_starts = {{1, 1}};
  return candidate;
}

Candidate Primary(const std::string& name, uint64_t index) {
  Candidate candidate = Replica(name, index);
  candidate.primary = true;
  return candidate;
}

ReadRequirements NeedsOf(uint64_t index, milliseconds max_age) {
  ReadRequirements needs;
  needs.seen = {index == 0 ? 0U : 1U, index};
  needs.max_age = max_age;
  needs.near_domain = "north";
  needs.deadline = kNow + milliseconds(1000);
  return needs;
}

std::vector<Candidate> SomeCandidates() {
  std::vector<Candidate> candidates;
  const int count = *rc::gen::inRange(0, 5);
  for (int i = 0; i < count; ++i) {
    Candidate c = Replica("db" + std::to_string(i), 0);
    c.last = {2, *rc::gen::inRange<uint64_t>(10, 30)};
    c.term_starts = {{1, 1}, {2, 10}};
    if (*rc::gen::inRange(0, 4) == 0) {
      c.last = {1, *rc::gen::inRange<uint64_t>(1, 30)};
      c.term_starts = {{1, 1}};
    }
    c.primary = i == 0 && *rc::gen::arbitrary<bool>();
    c.usable = *rc::gen::inRange(0, 4) != 0;
    c.has_free_slot = *rc::gen::inRange(0, 3) != 0;
    c.failure_domain = *rc::gen::element<std::string>("north", "south");
    c.age = milliseconds(*rc::gen::inRange(0, 20));
    c.running = *rc::gen::inRange<uint32_t>(0, 4);
    if (*rc::gen::arbitrary<bool>()) {
      c.catches_up_at = kNow + milliseconds(*rc::gen::inRange(-50, 2000));
    }
    candidates.push_back(c);
  }
  return candidates;
}

ReadRequirements SomeNeeds() {
  ReadRequirements needs = NeedsOf(0, milliseconds(*rc::gen::inRange(0, 20)));
  needs.seen.term = *rc::gen::inRange<uint64_t>(0, 4);
  if (needs.seen.term > 0) {
    const uint64_t first = needs.seen.term == 1 ? 1 : 10;
    needs.seen.index = *rc::gen::inRange<uint64_t>(first, 30);
  }
  needs.deadline = kNow + milliseconds(*rc::gen::inRange(1, 1000));
  return needs;
}

// Returns whether the database may serve the read: it has the session's history
// and is not older than accepted. Implemented without the router's helpers; the
// histories in these tests have terms 1 and 2, the latter from entry 10 on.
bool MayServe(const ReadRequirements& needs, const Candidate& c,
              bool term_2_known) {
  if (!c.usable || c.age > needs.max_age) return false;
  LogPosition seen = needs.seen;
  if (term_2_known && seen.term == 1) {
    seen.index = std::min<uint64_t>(seen.index, 9);
  }
  if (seen.term == 0) return true;
  if (seen.term > c.last.term) return false;
  return seen.index <= c.last.index;
}

// Guards against two stale reads: a caller reads its own write from a replica
// that has not received it, or gets data older than the age it accepts.
RC_GTEST_PROP(Router, ServesOnlyWhatCoversTheSessionAndIsFreshEnough, ()) {
  const auto candidates = SomeCandidates();
  const ReadRequirements needs = SomeNeeds();
  const bool has_term_2 =
      std::any_of(candidates.begin(), candidates.end(),
                  [](const Candidate& c) { return c.last.term == 2; });
  const Route route = ChooseReadRoute(kNow, needs, candidates);
  const Candidate* chosen = nullptr;
  bool any_free = false;
  bool any_replica = false;
  bool any_busy = false;
  for (const Candidate& c : candidates) {
    if (c.database == route.database) chosen = &c;
    if (!MayServe(needs, c, has_term_2)) continue;
    any_free = any_free || c.has_free_slot;
    any_replica = any_replica || (c.has_free_slot && !c.primary);
    any_busy = any_busy || !c.has_free_slot;
  }
  RC_ASSERT((route.kind == RouteKind::kServe) == any_free);
  if (route.kind == RouteKind::kServe) {
    RC_ASSERT(chosen != nullptr);
    RC_ASSERT(MayServe(needs, *chosen, has_term_2));
    RC_ASSERT(chosen->has_free_slot);
    RC_ASSERT(!(chosen->primary && any_replica));
  }
  if (route.kind == RouteKind::kBusy) RC_ASSERT(any_busy);
  if (route.kind == RouteKind::kNone) RC_ASSERT(!any_busy);
}

RC_GTEST_PROP(Router, WaitsAreAheadAndEndBeforeTheDeadline, ()) {
  const ReadRequirements needs = SomeNeeds();
  const Route route = ChooseReadRoute(kNow, needs, SomeCandidates());
  if (route.kind != RouteKind::kWait) return;
  RC_ASSERT(route.retry_at > kNow);
  RC_ASSERT(route.retry_at < needs.deadline);
}

TEST(Router, PrefersReplicasThenTheNearDomainThenTheLeastBusy) {
  std::vector<Candidate> all = {Primary("p", 9), Replica("far", 9),
                                Replica("near", 9), Replica("near_idle", 9)};
  all[0].failure_domain = "north";
  all[2].failure_domain = "north";
  all[2].running = 2;
  all[3].failure_domain = "north";
  const ReadRequirements needs = NeedsOf(9, milliseconds(0));
  EXPECT_EQ(ChooseReadRoute(kNow, needs, all).database, "near_idle");
  all.pop_back();
  EXPECT_EQ(ChooseReadRoute(kNow, needs, all).database, "near");
  all.pop_back();
  EXPECT_EQ(ChooseReadRoute(kNow, needs, all).database, "far");
  all.pop_back();
  EXPECT_EQ(ChooseReadRoute(kNow, needs, all).database, "p");
}

// One replica is far behind. Reads that it cannot serve must neither wait for
// it nor go to the primary while the other replica can serve them.
TEST(Router, UsesTheOtherReplicaWhenOneIsFarBehind) {
  std::vector<Candidate> all = {Primary("p", 1000), Replica("behind", 5),
                                Replica("level", 1000)};
  all[1].age = milliseconds(60000);
  all[1].catches_up_at = kNow + milliseconds(900);
  const Route route = ChooseReadRoute(kNow, NeedsOf(900, milliseconds(5)), all);
  EXPECT_EQ(route.kind, RouteKind::kServe);
  EXPECT_EQ(route.database, "level");
}

TEST(Router, WaitsForAReplicaOnlyIfThePrimaryHasNoFreeSlot) {
  std::vector<Candidate> all = {Primary("p", 10), Replica("r", 8)};
  all[1].catches_up_at = kNow + milliseconds(3);
  const ReadRequirements needs = NeedsOf(10, milliseconds(50));
  EXPECT_EQ(ChooseReadRoute(kNow, needs, all).database, "p");
  all[0].has_free_slot = false;
  const Route route = ChooseReadRoute(kNow, needs, all);
  EXPECT_EQ(route.kind, RouteKind::kWait);
  EXPECT_EQ(route.retry_at, kNow + milliseconds(3));
}

// Waiting for an estimated catch-up time in the past would make the keeper
// route the read again immediately, in a busy loop.
TEST(Router, AnExpectationThatHasPassedIsNoReasonToWait) {
  std::vector<Candidate> all = {Replica("r", 8)};
  all[0].catches_up_at = kNow;
  EXPECT_EQ(ChooseReadRoute(kNow, NeedsOf(10, milliseconds(50)), all).kind,
            RouteKind::kNone);
}

// The session read writes of term 1 that the promotion to term 2 discarded. The
// replica has not received the first entry of term 2 yet; only the term starts
// of the primary show which entries were discarded.
TEST(Router, DiscardedPositionsAreNotWaitedFor) {
  std::vector<Candidate> all = {Primary("p", 91), Replica("r", 89)};
  all[0].last = {2, 91};
  all[0].term_starts = {{1, 1}, {2, 90}};
  const Route route =
      ChooseReadRoute(kNow, NeedsOf(100, milliseconds(50)), all);
  EXPECT_EQ(route.kind, RouteKind::kServe);
  EXPECT_EQ(route.database, "r");
}

}  // namespace
}  // namespace ryefold::core::routing
