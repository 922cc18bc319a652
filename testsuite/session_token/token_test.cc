#include "ryefold/core/session/token.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace ryefold::core::session {
namespace {

// A log is represented by the term of each of its entries. Two entries are the
// same if term and index are equal, as in Raft.
using Log = std::vector<uint64_t>;

std::vector<TermStart> StartsOf(const Log& log) {
  std::vector<TermStart> starts;
  for (size_t i = 0; i < log.size(); ++i) {
    if (i > 0 && log[i] == log[i - 1]) continue;
    starts.push_back({log[i], i + 1});
  }
  return starts;
}

LogPosition LastOf(const Log& log) {
  return log.empty() ? LogPosition() : LogPosition{log.back(), log.size()};
}

// Returns the logs that a sequence of promotions produces, one per term: each
// new primary continues some earlier log, keeps all of it or the prefix that it
// had received, and appends entries of its own term.
std::vector<Log> ArbitraryHistory() {
  std::vector<Log> logs(1);
  const uint64_t terms = *rc::gen::inRange<uint64_t>(1, 7);
  for (uint64_t term = 1; term <= terms; ++term) {
    const size_t from = *rc::gen::inRange<size_t>(0, logs.size());
    const size_t kept = *rc::gen::inRange<size_t>(0, logs[from].size() + 1);
    Log log(logs[from].begin(),
            logs[from].begin() + static_cast<std::ptrdiff_t>(kept));
    log.resize(kept + *rc::gen::inRange<size_t>(1, 6), term);
    logs.push_back(std::move(log));
  }
  logs.erase(logs.begin());
  return logs;
}

size_t CommonPrefix(const Log& a, const Log& b) {
  size_t i = 0;
  while (i < a.size() && i < b.size() && a[i] == b[i]) ++i;
  return i;
}

Token ArbitraryToken(size_t max_groups) {
  Token token;
  const size_t groups = *rc::gen::inRange<size_t>(0, max_groups + 1);
  for (size_t i = 0; i < groups; ++i) {
    const auto name = *rc::gen::resize(20, rc::gen::arbitrary<std::string>());
    token.seen[name] = {*rc::gen::arbitrary<uint64_t>(),
                        *rc::gen::arbitrary<uint64_t>()};
  }
  token.overflow = *rc::gen::arbitrary<bool>();
  std::erase_if(token.seen,
                [](const auto& e) { return e.second == LogPosition(); });
  return token;
}

RC_GTEST_PROP(SessionToken, RoundTripsInSafeCharacters, ()) {
  const Token token = ArbitraryToken(kMaxGroups);
  const std::string text = Encode(token);
  RC_ASSERT(Decode(text) == token);
  RC_ASSERT(std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_';
  }));
}

// A caller or an intermediary truncates a token or changes a character. If the
// damaged token were accepted, the session could miss its own writes.
RC_GTEST_PROP(SessionToken, DamageIsDetected, ()) {
  std::string text = Encode(ArbitraryToken(8));
  const size_t at = *rc::gen::inRange<size_t>(0, text.size());
  if (*rc::gen::arbitrary<bool>()) {
    const char c = *rc::gen::distinctFrom(text[at]);
    text[at] = c;
  } else if (at > 0) {
    text.resize(at);
  } else {
    text += 'A';
  }
  RC_ASSERT(!Decode(text).has_value());
}

RC_GTEST_PROP(SessionToken, ArbitraryTextIsNoToken, (const std::string& text)) {
  if (!text.empty()) RC_ASSERT(!Decode(text).has_value());
}

TEST(SessionToken, EmptyTextIsAnEmptyToken) {
  EXPECT_EQ(Decode(""), Token());
  EXPECT_EQ(Decode(Encode(Token())), Token());
}

RC_GTEST_PROP(SessionToken, AdvanceNeverLowers,
              (const std::vector<std::pair<uint8_t, uint8_t>>& steps)) {
  Token token;
  LogPosition highest;
  for (const auto& [term, index] : steps) {
    const LogPosition step{term, index};
    highest = std::max(highest, step);
    Advance(&token, "g", step);
    RC_ASSERT(RequirementOf(token, "g").seen == highest);
  }
}

// A session uses more groups than a token holds, writes to one that did not fit
// and reads it from a lagging replica. If the position were dropped without a
// trace, the read could miss the write.
RC_GTEST_PROP(SessionToken, AGroupThatDoesNotFitIsReadCurrent, ()) {
  Token token;
  const size_t groups = *rc::gen::inRange<size_t>(1, 3 * kMaxGroups);
  for (size_t i = 0; i < groups; ++i) {
    Advance(&token, "group" + std::to_string(i), {1, i + 1});
  }
  const auto sent = Decode(Encode(token));
  RC_ASSERT(sent.has_value());
  RC_ASSERT(sent->seen.size() <= kMaxGroups);
  for (size_t i = 0; i < groups; ++i) {
    const ReadRequirement requirement =
        RequirementOf(*sent, "group" + std::to_string(i));
    RC_ASSERT(requirement.must_be_current ||
              requirement.seen == (LogPosition{1, i + 1}));
  }
}

TEST(SessionToken, ATokenWithTooManyGroupsIsEncodedByTheSameRule) {
  Token token;
  for (size_t i = 0; i < 2 * kMaxGroups; ++i) {
    token.seen["group" + std::to_string(i)] = {1, i + 1};
  }
  token.seen[std::string(kMaxGroupName + 1, 'x')] = {1, 1};
  const auto sent = Decode(Encode(token));
  ASSERT_TRUE(sent.has_value());
  EXPECT_EQ(sent->seen.size(), kMaxGroups);
  EXPECT_TRUE(sent->overflow);
}

TEST(SessionToken, SessionsInFewGroupsStayExact) {
  Token token;
  Advance(&token, "a", {1, 5});
  EXPECT_FALSE(RequirementOf(token, "b").must_be_current);
}

RC_GTEST_PROP(SessionToken, CoversSaysWhetherTheEntryIsInTheLog, ()) {
  const auto logs = ArbitraryHistory();
  const Log& log = *rc::gen::elementOf(logs);
  const Log& other = *rc::gen::elementOf(logs);
  const size_t index = *rc::gen::inRange<size_t>(1, other.size() + 1);
  const LogPosition position{other[index - 1], index};
  RC_ASSERT(Covers(LastOf(log), StartsOf(log), position) ==
            (CommonPrefix(log, other) >= index));
}

// A session has read a write that was never acknowledged and that a promotion
// discarded. No database will ever hold that entry; waiting for it would make
// every read of the session fail at its deadline.
RC_GTEST_PROP(SessionToken, DiscardedPositionsAreReducedToExistingEntries, ()) {
  const auto logs = ArbitraryHistory();
  const Log& seen = *rc::gen::elementOf(logs);
  const Log& now = logs.back();
  const size_t index = *rc::gen::inRange<size_t>(1, seen.size() + 1);
  const LogPosition position{seen[index - 1], index};
  const LogPosition cut = LimitToExisting(position, StartsOf(now));
  RC_ASSERT(cut.index <= position.index);
  RC_ASSERT(cut.index >= std::min(index, CommonPrefix(seen, now)));
  RC_ASSERT(Covers(LastOf(now), StartsOf(now), cut) ||
            position.term == LastOf(now).term);
  RC_ASSERT(LimitToExisting(cut, StartsOf(now)) == cut);
}

TEST(SessionToken, CutBackToTheEntryBeforeTheNewTerm) {
  const std::vector<TermStart> starts = {{1, 1}, {2, 90}};
  EXPECT_EQ(LimitToExisting({1, 100}, starts), (LogPosition{1, 89}));
  EXPECT_EQ(LimitToExisting({1, 80}, starts), (LogPosition{1, 80}));
  EXPECT_EQ(LimitToExisting({2, 95}, starts), (LogPosition{2, 95}));
  EXPECT_EQ(LimitToExisting({3, 200}, starts), (LogPosition{3, 200}));
  EXPECT_EQ(LimitToExisting({1, 5}, {}), (LogPosition{1, 5}));
  EXPECT_EQ(LimitToExisting({1, 5}, {{2, 1}}), LogPosition());
}

}  // namespace
}  // namespace ryefold::core::session
