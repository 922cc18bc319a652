// A fleet's entries in the store, in virtual time.

#include "ryefold/core/membership/registration.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <vector>

#include "testsuite/support/session/virtual_clock.h"

namespace ryefold::testsuite {
namespace {

using core::membership::LeaseId;
using core::membership::Registration;
using core::membership::RegistrationPort;
using core::membership::RegistrationTiming;
using core::membership::StoreOutcome;

constexpr size_t kInstances = 195;
/// The store's answer.
constexpr milliseconds kAnswer{4};
/// How long others count an instance whose entry is gone.
constexpr milliseconds kCounted{4000};

/// Leases and entries; calls fail at once while the store is down.
struct LeaseStore {
  bool down = false;
  uint64_t calls = 0;
  LeaseId last = 0;
  std::map<LeaseId, TimePoint> ends;
  std::map<size_t, LeaseId> entries;

  size_t Listed(TimePoint now) const {
    size_t count = 0;
    for (const auto& [instance, lease] : entries) {
      const auto end = ends.find(lease);
      count += end != ends.end() && now < end->second ? 1 : 0;
    }
    return count;
  }
};

class RegisteredInstance : public RegistrationPort {
 public:
  RegisteredInstance(VirtualClock* clock, LeaseStore* store, size_t number)
      : clock_(clock),
        store_(store),
        number_(number),
        registration_(RegistrationTiming(), number, this) {
    registration_.Start(clock->now());
    Tick();
  }

  Registration& registration() { return registration_; }

  void GrantLease(milliseconds ttl) override {
    Call([this, ttl](bool reached) {
      std::optional<LeaseId> lease;
      if (reached) {
        lease = ++store_->last;
        ttl_ = ttl;
        store_->ends[*lease] = clock_->now() + ttl;
      }
      registration_.LeaseGranted(clock_->now(), lease);
    });
  }
  void PutEntry(LeaseId lease) override {
    Call([this, lease](bool reached) {
      if (reached) store_->entries[number_] = lease;
      registration_.EntryPut(clock_->now(), Outcome(reached, lease));
    });
  }
  void RenewLease(LeaseId lease) override {
    Call([this, lease](bool reached) {
      const StoreOutcome outcome = Outcome(reached, lease);
      if (outcome == StoreOutcome::kDone) {
        store_->ends[lease] = clock_->now() + ttl_;
      }
      registration_.LeaseRenewed(clock_->now(), outcome);
    });
  }
  void EndLease(LeaseId lease) override {
    Call([this, lease](bool reached) {
      if (reached) store_->ends.erase(lease);
    });
  }

 private:
  StoreOutcome Outcome(bool reached, LeaseId lease) const {
    if (!reached) return StoreOutcome::kUnknown;
    return store_->ends.count(lease) > 0 ? StoreOutcome::kDone
                                         : StoreOutcome::kRefused;
  }
  template <class Done>
  void Call(const Done& done) {
    ++store_->calls;
    clock_->After(kAnswer, [this, done] { done(!store_->down); });
  }
  void Tick() {
    registration_.Tick(clock_->now());
    clock_->After(milliseconds(10), [this] { Tick(); });
  }

  VirtualClock* clock_;
  LeaseStore* store_;
  size_t number_;
  milliseconds ttl_{0};
  Registration registration_;
};

class RegistrationTest : public testing::Test {
 protected:
  RegistrationTest() {
    for (size_t i = 0; i < kInstances; ++i) {
      instances_.push_back(
          std::make_unique<RegisteredInstance>(&clock_, &store_, i));
    }
    Run(milliseconds(1000));
  }
  void Run(milliseconds span) { clock_.RunUntil(clock_.now() + span); }
  size_t Listed() const { return store_.Listed(clock_.now()); }

  VirtualClock clock_;
  LeaseStore store_;
  std::vector<std::unique_ptr<RegisteredInstance>> instances_;
};

TEST_F(RegistrationTest, ListsAllAndCostsFewCalls) {
  EXPECT_EQ(Listed(), kInstances);
  EXPECT_EQ(store_.calls, 2 * kInstances);
  const uint64_t before = store_.calls;
  for (int minute = 0; minute < 5; ++minute) {
    Run(std::chrono::minutes(1));
    EXPECT_EQ(Listed(), kInstances);
  }
  // A renewal each 16 to 20 s.
  EXPECT_LE(store_.calls - before, kInstances * 5 * 4);
}

// The store is away for five seconds and has lost all leases when it returns.
// If each instance pressed it every half second, it would get hundreds of calls
// a second just then; if they waited long, others would stop counting them and
// who keeps which group would change twice.
TEST_F(RegistrationTest, ComesBackInTimeAfterAnOutageAndPressesLittle) {
  Run(std::chrono::seconds(10));
  store_.down = true;
  uint64_t before = store_.calls;
  Run(milliseconds(5400));
  EXPECT_LE(store_.calls - before, 2 * kInstances);
  store_.ends.clear();
  store_.down = false;
  before = store_.calls;
  for (const auto& instance : instances_) {
    instance->registration().EntryLost(clock_.now());
  }
  Run(kCounted);
  EXPECT_EQ(Listed(), kInstances);
  EXPECT_LE(store_.calls - before, 4 * kInstances);
}

// The fleet starts while the store is away.
TEST_F(RegistrationTest, RegistersSoonAfterAStartWithoutAStore) {
  store_.down = true;
  std::vector<std::unique_ptr<RegisteredInstance>> late;
  for (size_t i = 0; i < kInstances; ++i) {
    late.push_back(
        std::make_unique<RegisteredInstance>(&clock_, &store_, 1000 + i));
  }
  Run(std::chrono::seconds(5));
  EXPECT_EQ(Listed(), kInstances);
  store_.down = false;
  Run(kCounted);
  EXPECT_EQ(Listed(), 2 * kInstances);
}

// An instance that drains takes its entry away at once and does not bring it
// back, also when a call was under way.
TEST_F(RegistrationTest, StaysAwayOnceItHasLeft) {
  instances_[0]->registration().Leave();
  instances_[0]->registration().EntryLost(clock_.now());
  Run(milliseconds(10));
  EXPECT_EQ(Listed(), kInstances - 1);
  RegisteredInstance late(&clock_, &store_, 2000);
  late.registration().Leave();
  Run(std::chrono::minutes(2));
  EXPECT_EQ(Listed(), kInstances - 1);
}

}  // namespace
}  // namespace ryefold::testsuite
