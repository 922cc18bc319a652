// Registration of a fleet in the store, in virtual time.

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
/// Latency of the store.
constexpr milliseconds kStoreLatency{4};
/// How long other instances still count an instance without a record.
constexpr milliseconds kRecordGraceTime{4000};

/// Leases and records; while the store is down, calls have no effect and fail.
struct LeaseStore {
  bool down = false;
  uint64_t calls = 0;
  LeaseId last_lease = 0;
  std::map<LeaseId, TimePoint> lease_ends;
  std::map<size_t, LeaseId> entries;

  size_t CountListed(TimePoint now) const {
    size_t count = 0;
    for (const auto& [instance, lease] : entries) {
      const auto end = lease_ends.find(lease);
      count += end != lease_ends.end() && now < end->second ? 1 : 0;
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
        lease = ++store_->last_lease;
        ttl_ = ttl;
        store_->lease_ends[*lease] = clock_->now() + ttl;
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
        store_->lease_ends[lease] = clock_->now() + ttl_;
      }
      registration_.LeaseRenewed(clock_->now(), outcome);
    });
  }
  void EndLease(LeaseId lease) override {
    Call([this, lease](bool reached) {
      if (reached) store_->lease_ends.erase(lease);
    });
  }

 private:
  StoreOutcome Outcome(bool reached, LeaseId lease) const {
    if (!reached) return StoreOutcome::kUnknown;
    return store_->lease_ends.count(lease) > 0 ? StoreOutcome::kDone
                                               : StoreOutcome::kRefused;
  }
  template <class Done>
  void Call(const Done& done) {
    ++store_->calls;
    clock_->After(kStoreLatency, [this, done] { done(!store_->down); });
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
  size_t CountListed() const { return store_.CountListed(clock_.now()); }

  VirtualClock clock_;
  LeaseStore store_;
  std::vector<std::unique_ptr<RegisteredInstance>> instances_;
};

TEST_F(RegistrationTest, ListsAllAndCostsFewCalls) {
  EXPECT_EQ(CountListed(), kInstances);
  EXPECT_EQ(store_.calls, 2 * kInstances);
  const uint64_t before = store_.calls;
  for (int minute = 0; minute < 5; ++minute) {
    Run(std::chrono::minutes(1));
    EXPECT_EQ(CountListed(), kInstances);
  }
  // One renewal every 16 to 20 s.
  EXPECT_LE(store_.calls - before, kInstances * 5 * 4);
}

// The store is down for five seconds and returns without any lease. If each
// instance retried every 500 ms, it would get hundreds of calls per second; if
// instances waited long, others would drop them and the keepers of groups would
// change twice.
TEST_F(RegistrationTest, RegistersInTimeAfterAnOutageWithFewCalls) {
  Run(std::chrono::seconds(10));
  store_.down = true;
  uint64_t before = store_.calls;
  Run(milliseconds(5400));
  EXPECT_LE(store_.calls - before, 2 * kInstances);
  store_.lease_ends.clear();
  store_.down = false;
  before = store_.calls;
  for (const auto& instance : instances_) {
    instance->registration().EntryLost(clock_.now());
  }
  Run(kRecordGraceTime);
  EXPECT_EQ(CountListed(), kInstances);
  EXPECT_LE(store_.calls - before, 4 * kInstances);
}

// Instances start while the store is down.
TEST_F(RegistrationTest, RegistersSoonAfterAStartWithoutAStore) {
  store_.down = true;
  std::vector<std::unique_ptr<RegisteredInstance>> late;
  for (size_t i = 0; i < kInstances; ++i) {
    late.push_back(
        std::make_unique<RegisteredInstance>(&clock_, &store_, 1000 + i));
  }
  Run(std::chrono::seconds(5));
  EXPECT_EQ(CountListed(), kInstances);
  store_.down = false;
  Run(kRecordGraceTime);
  EXPECT_EQ(CountListed(), 2 * kInstances);
}

// An instance that drains removes its record at once and does not restore it,
// even if a call was in flight.
TEST_F(RegistrationTest, StaysAwayOnceItHasLeft) {
  instances_[0]->registration().Leave();
  instances_[0]->registration().EntryLost(clock_.now());
  Run(milliseconds(10));
  EXPECT_EQ(CountListed(), kInstances - 1);
  RegisteredInstance late(&clock_, &store_, 2000);
  late.registration().Leave();
  Run(std::chrono::minutes(2));
  EXPECT_EQ(CountListed(), kInstances - 1);
}

}  // namespace
}  // namespace ryefold::testsuite
