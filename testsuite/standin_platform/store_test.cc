#include "testsuite/standins/lib/store.h"

#include <gtest/gtest.h>

#include "testsuite/standins/lib/instance_list.h"

namespace ryefold::standins {
namespace {

using std::chrono::milliseconds;

class StoreTest : public ::testing::Test {
 protected:
  core::TimePoint now_{std::chrono::seconds(1000)};
  Store store_;
};

TEST_F(StoreTest, AnAbsentKeyHasVersionZero) {
  EXPECT_EQ(store_.Get(now_, "key").version, 0U);
  EXPECT_EQ(store_.Get(now_, "key").value, "");
}

// Two operators edit the same template from the same version. The second one
// must be told, or it would undo the first one's change without knowing.
TEST_F(StoreTest, OnlyOneOfTwoPutsFromTheSameVersionSucceeds) {
  EXPECT_EQ(store_.Put(now_, "key", "one", 0, "").version, 1U);
  const PutAnswer late = store_.Put(now_, "key", "two", 0, "");
  EXPECT_EQ(late.status, PutStatus::kConflict);
  EXPECT_EQ(late.version, 1U);
  EXPECT_EQ(store_.Get(now_, "key").value, "one");
  EXPECT_EQ(store_.Put(now_, "key", "two", 1, "").version, 2U);
}

TEST_F(StoreTest, ValuesAreBounded) {
  const std::string most(Store::kMaxValue, 'x');
  EXPECT_EQ(store_.Put(now_, "key", most + "x", 0, "").status,
            PutStatus::kTooLarge);
  EXPECT_EQ(store_.Put(now_, "key", most, 0, "").status, PutStatus::kOk);
}

// The holder of a lease pauses for longer than the lease lasts. Its key has
// gone when it wakes, and it cannot renew what has lapsed.
TEST_F(StoreTest, AKeyGoesWithItsLease) {
  const std::string lease = store_.Grant(now_, milliseconds(100));
  ASSERT_EQ(store_.Put(now_, "key", "held", 0, lease).status, PutStatus::kOk);
  now_ += milliseconds(60);
  EXPECT_TRUE(store_.Renew(now_, lease));
  now_ += milliseconds(60);
  EXPECT_EQ(store_.Get(now_, "key").value, "held");
  now_ += milliseconds(60);
  EXPECT_EQ(store_.Get(now_, "key").version, 0U);
  EXPECT_FALSE(store_.Renew(now_, lease));
  EXPECT_EQ(store_.Put(now_, "key", "late", 0, lease).status,
            PutStatus::kNoLease);
}

// A key goes with its lease and comes back with another value. A version that
// began again at 1 would let a compare-and-swap on the old value succeed.
TEST_F(StoreTest, AVersionNeverNamesTwoValues) {
  const std::string lease = store_.Grant(now_, milliseconds(100));
  ASSERT_EQ(store_.Put(now_, "key", "held", 0, lease).version, 1U);
  now_ += milliseconds(100);
  EXPECT_EQ(store_.Put(now_, "key", "new", 0, "").version, 2U);
}

TEST_F(StoreTest, ListsByPrefixInOrderAndPages) {
  for (const char* key : {"b/2", "a/1", "b/1", "b/3", "c"}) {
    store_.Put(now_, key, "", 0, "");
  }
  const auto first = store_.List(now_, "b/", "", 2);
  ASSERT_EQ(first.size(), 2U);
  EXPECT_EQ(first[0].first, "b/1");
  EXPECT_EQ(first[1].first, "b/2");
  const auto rest = store_.List(now_, "b/", "b/2", 2);
  ASSERT_EQ(rest.size(), 1U);
  EXPECT_EQ(rest[0].first, "b/3");
}

// The platform shows a leaving database late, so a proxy that only looks at
// the list goes on sending statements there.
TEST_F(StoreTest, TheInstanceListLags) {
  InstanceList list;
  list.SetLag(milliseconds(500));
  ASSERT_TRUE(list.Change(now_, R"({"name":"a","kind":"database"})"));
  EXPECT_EQ(list.Show(now_), R"({"version":0,"instances":[]})");
  now_ += milliseconds(500);
  EXPECT_NE(list.Show(now_).find("\"live\""), std::string::npos);
  ASSERT_TRUE(list.Change(now_, R"({"name":"a","state":"leaving"})"));
  EXPECT_EQ(list.Show(now_).find("leaving"), std::string::npos);
  now_ += milliseconds(500);
  EXPECT_NE(list.Show(now_).find("\"database\""), std::string::npos);
  EXPECT_NE(list.Show(now_).find("leaving"), std::string::npos);
  ASSERT_TRUE(list.Change(now_, R"({"name":"a","state":"gone"})"));
  now_ += milliseconds(500);
  EXPECT_EQ(list.Show(now_), R"({"version":3,"instances":[]})");
  EXPECT_FALSE(list.Change(now_, R"({"kind":"database"})"));
}

TEST_F(StoreTest, TheInstanceListCanOmitSomebodyWrongly) {
  InstanceList list;
  ASSERT_TRUE(list.Change(now_, R"({"name":"a"})"));
  list.Omit({"a"});
  EXPECT_EQ(list.Show(now_), R"({"version":2,"instances":[]})");
  list.Omit({});
  EXPECT_NE(list.Show(now_).find("\"a\""), std::string::npos);
}

}  // namespace
}  // namespace ryefold::standins
