// Unit tests of the replicated documents and the member list.

#include <gtest/gtest.h>

#include "src/libcore/configuration/documents.h"
#include "src/libcore/configuration/member_list.h"
#include "testsuite/support/control/changes.h"

namespace ryefold::core::configuration {
namespace {

using membership::Member;
using testing::control::ChangeOf;

Documents DocumentsWithKeys(std::initializer_list<const char*> keys) {
  Documents documents;
  for (const char* key : keys) {
    const uint64_t revision = documents.revision() + 1;
    documents.Apply(revision, ChangeOf(std::to_string(revision), key,
                                       documents.VersionOf(key), key));
  }
  documents.MarkLoaded();
  return documents;
}

// Two blocks come from two peers, and the second peer lacks a change that the
// first one had. Neither block contains the document that this change
// overwrote, so a state completed from both would lack a key on this instance
// only.
TEST(Documents, ABlockFromOneFurtherBehindDoesNotComplete) {
  Documents ahead = DocumentsWithKeys({"a", "b", "c", "a"});
  Documents behind = DocumentsWithKeys({"a", "b", "c"});
  Documents own;
  const DocumentBlock first = ahead.ChangesSince(0, 1);
  ASSERT_FALSE(first.complete);
  own.Merge(ahead.revision(), first);
  own.Merge(behind.revision(),
            behind.ChangesSince(own.received_through(), 100000));
  EXPECT_EQ(own.revision(), 0U);
  EXPECT_FALSE(own.IsLoaded());
  own.Merge(ahead.revision(),
            ahead.ChangesSince(own.received_through(), 100000));
  EXPECT_EQ(own.revision(), 4U);
  EXPECT_EQ(own.all(), ahead.all());
}

TEST(Documents, OneVersionIsNeverSplit) {
  Documents documents;
  Change change = ChangeOf("x", "a", 0, "one");
  change.edits.push_back({"b", 0, "two"});
  change.edits.push_back({"c", 0, "three"});
  documents.Apply(1, change);
  documents.Apply(2, ChangeOf("y", "d", 0, "four"));
  const DocumentBlock block = documents.ChangesSince(0, 1);
  EXPECT_EQ(block.documents.size(), 3U);
  EXPECT_EQ(block.through, 1U);
  EXPECT_FALSE(block.complete);
}

// A delayed message contains a state of an older revision. Applying it would
// restore documents that operators have replaced since.
TEST(Documents, ALowerRevisionIsNeverApplied) {
  Documents documents = DocumentsWithKeys({"a", "b", "a"});
  const Documents old = DocumentsWithKeys({"a", "b"});
  EXPECT_TRUE(documents.Merge(2, old.ChangesSince(0, 100000)).empty());
  EXPECT_TRUE(documents.Replace(2, {old.all().at("a")}).empty());
  EXPECT_EQ(documents.revision(), 3U);
  EXPECT_EQ(documents.VersionOf("a"), 3U);
}

Member MemberNamed(const std::string& name, const std::string& address = "a") {
  Member member;
  member.name = name;
  member.address = address;
  return member;
}

TEST(MemberList, SendsWhatChangedSinceAVersion) {
  MemberList list;
  list.Replace(1, {MemberNamed("a"), MemberNamed("b"), MemberNamed("c")});
  MemberList peer;
  peer.Merge(1, list.ChangesSince(0));
  list.Replace(5,
               {MemberNamed("a", "moved"), MemberNamed("c"), MemberNamed("d")});
  const MemberBlock block = list.ChangesSince(peer.version());
  EXPECT_EQ(block.changed.size(), 2U);
  EXPECT_EQ(block.removed, (std::vector<std::string>{"b"}));
  EXPECT_TRUE(peer.Merge(5, block));
  EXPECT_EQ(peer.MergedMembers(), list.MergedMembers());
}

// A block applies to a newer list than the local one, for example after
// messages have crossed. Merging it would permanently lose the changes in
// between.
TEST(MemberList, ABlockForANewerListIsIgnored) {
  MemberList list;
  list.Replace(1, {MemberNamed("a")});
  MemberList peer;
  peer.Merge(1, list.ChangesSince(0));
  list.Replace(2, {MemberNamed("a"), MemberNamed("b")});
  list.Replace(3, {MemberNamed("a"), MemberNamed("b"), MemberNamed("c")});
  EXPECT_FALSE(peer.Merge(3, list.ChangesSince(2)));
  EXPECT_EQ(peer.version(), 1U);
  EXPECT_TRUE(peer.Merge(3, list.ChangesSince(1)));
  EXPECT_EQ(peer.MergedMembers(), list.MergedMembers());
}

// The platform's list shows a start or a stop only seconds later. Until then
// the notice of the instance takes precedence.
TEST(MemberList, NoticesOverrideTheList) {
  const TimePoint now{std::chrono::hours(1)};
  MemberList list;
  list.Replace(1, {MemberNamed("a")});
  Notice notice;
  notice.member = MemberNamed("a");
  notice.member.state = membership::MemberState::kLeaving;
  notice.sequence = 5;
  EXPECT_TRUE(list.ApplyNotice(now, notice));
  EXPECT_FALSE(list.ApplyNotice(now, notice));
  EXPECT_EQ(list.MergedMembers().at("a").state,
            membership::MemberState::kLeaving);
  list.Replace(2, {});
  EXPECT_TRUE(list.MergedMembers().empty());
}

}  // namespace
}  // namespace ryefold::core::configuration
