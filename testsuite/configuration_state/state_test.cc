// Replicated documents and the member list on their own.

#include <gtest/gtest.h>

#include "src/libcore/configuration/documents.h"
#include "src/libcore/configuration/member_list.h"
#include "testsuite/support/control/changes.h"

namespace ryefold::core::configuration {
namespace {

using membership::Member;
using testing::control::ChangeOf;

Documents Of(std::initializer_list<const char*> keys) {
  Documents documents;
  for (const char* key : keys) {
    const uint64_t revision = documents.revision() + 1;
    documents.Apply(revision, ChangeOf(std::to_string(revision), key,
                                       documents.VersionOf(key), key));
  }
  documents.MarkKnown();
  return documents;
}

// Documents arrive in two blocks from two peers, and between them the second
// peer lacks a change that the first one had. What the first had already seen
// overwritten was not sent by either; taken for whole, a key would be missing
// on this instance alone.
TEST(Documents, ABlockFromOneFurtherBehindDoesNotComplete) {
  Documents ahead = Of({"a", "b", "c", "a"});
  Documents behind = Of({"a", "b", "c"});
  Documents own;
  const DocumentBlock first = ahead.Since(0, 1);
  ASSERT_FALSE(first.complete);
  own.Merge(ahead.revision(), first);
  own.Merge(behind.revision(), behind.Since(own.have(), 100000));
  EXPECT_EQ(own.revision(), 0U);
  EXPECT_FALSE(own.known());
  own.Merge(ahead.revision(), ahead.Since(own.have(), 100000));
  EXPECT_EQ(own.revision(), 4U);
  EXPECT_EQ(own.all(), ahead.all());
}

TEST(Documents, OneVersionIsNeverCutInTwo) {
  Documents documents;
  Change change = ChangeOf("x", "a", 0, "one");
  change.edits.push_back({"b", 0, "two"});
  change.edits.push_back({"c", 0, "three"});
  documents.Apply(1, change);
  documents.Apply(2, ChangeOf("y", "d", 0, "four"));
  const DocumentBlock block = documents.Since(0, 1);
  EXPECT_EQ(block.documents.size(), 3U);
  EXPECT_EQ(block.through, 1U);
  EXPECT_FALSE(block.complete);
}

// A late message brings a snapshot of an older revision. Applied, it would
// bring back what operators have replaced since.
TEST(Documents, ALowerRevisionIsNeverApplied) {
  Documents documents = Of({"a", "b", "a"});
  const Documents old = Of({"a", "b"});
  EXPECT_TRUE(documents.Merge(2, old.Since(0, 100000)).empty());
  EXPECT_TRUE(documents.Replace(2, {old.all().at("a")}).empty());
  EXPECT_EQ(documents.revision(), 3U);
  EXPECT_EQ(documents.VersionOf("a"), 3U);
}

Member Named(const std::string& name, const std::string& address = "a") {
  Member member;
  member.name = name;
  member.address = address;
  return member;
}

TEST(MemberList, SendsWhatChangedSinceAVersion) {
  MemberList list;
  list.Replace(1, {Named("a"), Named("b"), Named("c")});
  MemberList peer;
  peer.Merge(1, list.Since(0));
  list.Replace(5, {Named("a", "moved"), Named("c"), Named("d")});
  const MemberBlock block = list.Since(peer.version());
  EXPECT_EQ(block.changed.size(), 2U);
  EXPECT_EQ(block.removed, (std::vector<std::string>{"b"}));
  EXPECT_TRUE(peer.Merge(5, block));
  EXPECT_EQ(peer.merged(), list.merged());
}

// A peer's block was made for a newer list than ours, since our own words
// crossed with it. Taken, what changed in between would be lost for good.
TEST(MemberList, ABlockForANewerListIsLeftAlone) {
  MemberList list;
  list.Replace(1, {Named("a")});
  MemberList peer;
  peer.Merge(1, list.Since(0));
  list.Replace(2, {Named("a"), Named("b")});
  list.Replace(3, {Named("a"), Named("b"), Named("c")});
  EXPECT_FALSE(peer.Merge(3, list.Since(2)));
  EXPECT_EQ(peer.version(), 1U);
  EXPECT_TRUE(peer.Merge(3, list.Since(1)));
  EXPECT_EQ(peer.merged(), list.merged());
}

// An instance begins or leaves, and the platform's list says so only seconds
// later. Until then its own notice counts.
TEST(MemberList, NoticesGoAheadOfTheList) {
  const TimePoint now{std::chrono::hours(1)};
  MemberList list;
  list.Replace(1, {Named("a")});
  Notice notice;
  notice.member = Named("a");
  notice.member.state = membership::MemberState::kLeaving;
  notice.sequence = 5;
  EXPECT_TRUE(list.Take(now, notice));
  EXPECT_FALSE(list.Take(now, notice));
  EXPECT_EQ(list.merged().at("a").state, membership::MemberState::kLeaving);
  list.Replace(2, {});
  EXPECT_TRUE(list.merged().empty());
}

}  // namespace
}  // namespace ryefold::core::configuration
