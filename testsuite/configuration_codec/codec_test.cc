// Messages are encoded and decoded without loss, damaged messages are rejected,
// and messages of a newer version with additional fields are read.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "ryefold/wire/exchange_codec.h"
#include "ryefold/wire/platform_codec.h"
#include "testsuite/support/control/changes.h"

namespace ryefold::wire {
namespace {

using namespace core::configuration;  // NOLINT(google-build-using-namespace)
using core::membership::Member;
using core::membership::MemberKind;
using core::membership::MemberState;
using testing::control::ChangeOf;

Member SomeMember() {
  return {"g1-0",
          MemberKind::kDatabase,
          MemberState::kLeaving,
          "10.0.0.1:1",
          "",
          "g1",
          "domain1",
          "region1"};
}

Exchange SomeExchange() {
  Exchange exchange;
  exchange.from = "i0001";
  exchange.sync_state = {7, 9,    true, true, std::chrono::milliseconds(250),
                         5, true, true};
  Document document{
      "template/t",        3,
      "text \"quoted\"\n", "c1",
      "operator",          std::chrono::sys_seconds(std::chrono::seconds(99))};
  Document deleted{"template/u", 4, std::nullopt, "c2", "operator", {}};
  exchange.documents = {{document, deleted}, 1, 4, true};
  exchange.members = {{SomeMember()}, {"gone"}, 8, false};
  exchange.notices = {{SomeMember(), 12}};
  return exchange;
}

TEST(ExchangeCodec, RoundTrip) {
  const Exchange exchange = SomeExchange();
  const std::string body = WritePeerRequest(exchange);
  const auto read = ReadPeerControlRequest(kPeerExchange, body);
  ASSERT_TRUE(read.has_value());
  const auto& decoded = std::get<Exchange>(*read);
  EXPECT_EQ(decoded.from, exchange.from);
  EXPECT_EQ(decoded.sync_state.revision, 7U);
  EXPECT_EQ(decoded.sync_state.have_documents, 5U);
  EXPECT_EQ(decoded.sync_state.store_age, std::chrono::milliseconds(250));
  EXPECT_EQ(decoded.documents.documents, exchange.documents.documents);
  EXPECT_TRUE(decoded.documents.complete);
  EXPECT_EQ(decoded.members.changed, exchange.members.changed);
  EXPECT_EQ(decoded.members.removed, exchange.members.removed);
  EXPECT_EQ(decoded.notices[0].sequence, 12U);
  EXPECT_EQ(WritePeerRequest(decoded), body);
}

TEST(ExchangeCodec, OtherMessagesRoundTrip) {
  const std::vector<PeerRequest> requests = {InForceQuery{4, {"a", "b"}},
                                             DutyCheck{{"g1", "g2"}}};
  for (const PeerRequest& request : requests) {
    const std::string body = WritePeerRequest(request);
    const auto read = ReadPeerControlRequest(PathOf(request), body);
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(WritePeerRequest(*read), body);
  }
  const std::vector<std::pair<std::string_view, PeerAnswer>> answers = {
      {kPeerExchange,
       ExchangeReply{{1, 2, true, true, {}, 1, false, true}, {}, {}}},
      {kPeerForce, InForceReply{3, {"x"}}},
      {kPeerDuty, DutyReply{{"g1"}}}};
  for (const auto& [path, answer] : answers) {
    const std::string body = WritePeerAnswer(answer);
    const auto read = ReadPeerControlAnswer(path, body);
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(WritePeerAnswer(*read), body);
  }
}

// During a rolling upgrade two versions exchange messages. The older version
// must skip unknown fields instead of rejecting the message.
TEST(ExchangeCodec, UnknownMembersAreSkipped) {
  // {"rev": 4, "new": [1, 2], "others": ["a"]}
  const std::string body(
      "\x83\xa3rev\x04\xa3new\x92\x01\x02\xa6others\x91\xa1"
      "a",
      23);
  const auto read = ReadPeerControlRequest(kPeerForce, body);
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(std::get<InForceQuery>(*read).revision, 4U);
  EXPECT_EQ(std::get<InForceQuery>(*read).others.size(), 1U);
}

// A truncated message is rejected. A message with a corrupted byte is rejected
// or decoded to other values, but never crashes the instance.
RC_GTEST_PROP(ExchangeCodec, DamagedMessagesDoNotCrash, ()) {
  std::string body = WritePeerRequest(SomeExchange());
  const auto at = *rc::gen::inRange<size_t>(0, body.size());
  if (*rc::gen::arbitrary<bool>()) {
    body.resize(at);
    RC_ASSERT(!ReadPeerControlRequest(kPeerExchange, body).has_value());
  } else {
    body[at] = *rc::gen::arbitrary<char>();
    ReadPeerControlRequest(kPeerExchange, body);
  }
}

TEST(PlatformCodec, StoreValuesRoundTrip) {
  Change change = ChangeOf("c1", "template/t", 4, "{\"a\": \"\\u00e9\"}\n");
  change.edits.push_back({"workspace/w", 2, std::nullopt});
  const SnapshotPointer pointer{8, "ryefold/snapshot/8-i1-1", 2, 4};
  const SnapshotPart part{
      {{"k", 3, "text", "c", "a", {}}, {"l", 4, std::nullopt, "d", "a", {}}}};
  const auto change_back =
      ReadStoreValue(ChangeKey(5), WriteStoreValue(change));
  EXPECT_EQ(std::get<Change>(*change_back), change);
  const auto pointer_back =
      ReadStoreValue(SnapshotKey(), WriteStoreValue(pointer));
  EXPECT_EQ(std::get<SnapshotPointer>(*pointer_back), pointer);
  const auto part_back =
      ReadStoreValue(pointer.prefix + "/0", WriteStoreValue(part));
  EXPECT_EQ(std::get<SnapshotPart>(*part_back).documents, part.documents);
  EXPECT_TRUE(std::holds_alternative<std::monostate>(
      *ReadStoreValue(ChangeKey(5), "")));
  EXPECT_FALSE(ReadStoreValue(ChangeKey(5), "{\"edits\":3}").has_value());
}

TEST(PlatformCodec, AnswersAreReadByStatus) {
  const StoreRequest put = StorePut{ChangeKey(1), Change(), 0};
  const auto done = ReadStoreAnswer(put, 200, R"({"version":1})");
  EXPECT_TRUE(std::get<StorePutDone>(*done).done);
  const auto refused = ReadStoreAnswer(put, 409, R"({"version":3})");
  EXPECT_FALSE(std::get<StorePutDone>(*refused).done);
  // An error response does not show whether the put took effect.
  EXPECT_FALSE(ReadStoreAnswer(put, 500, R"({"version":3})").has_value());
  EXPECT_FALSE(ReadStoreAnswer(put, 200, "not json").has_value());
  const StoreRequest get = StoreGet{ChangeKey(1)};
  const auto absent = ReadStoreAnswer(get, 200, R"({"version":0,"value":""})");
  EXPECT_EQ(std::get<StoreRead>(*absent).version, 0U);
}

TEST(PlatformCodec, InstancesRoundTrip) {
  Member instance = SomeMember();
  instance.name = "i1";
  instance.kind = MemberKind::kInstance;
  instance.state = MemberState::kLive;
  instance.peer_address = "10.0.0.1:9";
  const std::vector<Member> all = {SomeMember(), instance};
  const auto read =
      ReadStoreAnswer(StoreInstances{4}, 200, WriteInstances(5, all));
  EXPECT_EQ(std::get<StoreInstancesRead>(*read).members, all);
  const auto same =
      ReadStoreAnswer(StoreInstances{5}, 200, WriteInstances(5, all));
  EXPECT_TRUE(std::get<StoreInstancesRead>(*same).unchanged);
}

}  // namespace
}  // namespace ryefold::wire
