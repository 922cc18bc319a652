// Accounting of the connections to one database and the choice of the one to
// evict.

#include "ryefold/core/session/database_pool.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <string>

namespace ryefold::core::session {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart(std::chrono::hours(1));

TEST(DatabasePool, CountsWhatIsOpeningAndHeld) {
  DatabasePool pool;
  pool.AddOpening(kStart, 1, "v");
  pool.AddOpening(kStart, 2, "w");
  EXPECT_EQ(pool.size(), 2U);
  EXPECT_EQ(pool.opening(), 2U);
  EXPECT_EQ(pool.opening("v"), 1U);
  pool.MarkOpen(1);
  pool.Return(kStart, 1);
  EXPECT_EQ(pool.opening(), 1U);
  EXPECT_TRUE(pool.HasIdle("v"));
  EXPECT_FALSE(pool.HasIdle("w"));
  pool.Remove(2);
  EXPECT_EQ(pool.opening(), 0U);
  EXPECT_EQ(pool.held("w"), 0U);
  pool.Remove(1);
  EXPECT_EQ(pool.size(), 0U);
  EXPECT_TRUE(pool.idle().empty());
}

TEST(DatabasePool, EvictsTheLeastRecentlyUsedOfAnother) {
  DatabasePool pool;
  for (const ConnectionId id : {1, 2, 3}) {
    pool.AddOpening(kStart, id, id == 2 ? "w" : "v");
    pool.MarkOpen(id);
    pool.Take(id);
  }
  pool.Return(kStart, 2);
  pool.Return(kStart, 1);
  pool.Return(kStart, 3);
  EXPECT_EQ(pool.EvictableFor(kStart, "v"), 2U);
  EXPECT_EQ(pool.EvictableFor(kStart, "w"), 1U);
  EXPECT_EQ(pool.newest_idle(), 3U);
}

// Guards against two waiting workspaces that evict each other's new
// connections, so that neither is ever served.
TEST(DatabasePool, ReservesANewConnectionForItsWorkspace) {
  DatabasePool pool;
  pool.AddOpening(kStart, 1, "v");
  pool.MarkOpen(1);
  pool.Return(kStart, 1);
  EXPECT_EQ(pool.EvictableFor(kStart, "w"), std::nullopt);
  EXPECT_EQ(pool.EvictableFor(kStart + milliseconds(200), "w"), 1U);
  pool.Take(1);
  pool.Return(kStart + milliseconds(1), 1);
  EXPECT_EQ(pool.EvictableFor(kStart + milliseconds(1), "w"), 1U);
}

RC_GTEST_PROP(DatabasePool, CountsLikeASimpleModel, ()) {
  DatabasePool pool;
  std::map<ConnectionId, std::pair<std::string, int>> model;
  ConnectionId last = 0;
  const auto steps = *rc::gen::container<std::vector<uint32_t>>(
      rc::gen::inRange<uint32_t>(0, 1000));
  for (const uint32_t step : steps) {
    const auto it =
        model.empty()
            ? model.end()
            : std::next(model.begin(), static_cast<int>(step % model.size()));
    if (step % 4 == 0 || it == model.end()) {
      const std::string workspace = "w" + std::to_string(step % 3);
      pool.AddOpening(kStart, ++last, workspace);
      model[last] = {workspace, 0};
    } else if (step % 4 == 1) {
      pool.Remove(it->first);
      model.erase(it);
    } else if (it->second.second == 2) {
      pool.Take(it->first);
      it->second.second = 1;
    } else {
      pool.MarkOpen(it->first);
      pool.Return(kStart, it->first);
      it->second.second = 2;
    }
    uint32_t opening = 0;
    uint32_t idle = 0;
    std::map<std::string, uint32_t> held;
    for (const auto& [id, entry] : model) {
      opening += entry.second == 0 ? 1 : 0;
      idle += entry.second == 2 ? 1 : 0;
      ++held[entry.first];
    }
    RC_ASSERT(pool.size() == model.size());
    RC_ASSERT(pool.opening() == opening);
    RC_ASSERT(pool.idle().size() == idle);
    for (const auto& [workspace, count] : held) {
      RC_ASSERT(pool.held(workspace) == count);
    }
  }
}

}  // namespace
}  // namespace ryefold::core::session
