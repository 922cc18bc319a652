#include "ryefold/wire/peer_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

#include "testsuite/wire_codec/any_message.h"

namespace ryefold::wire {
namespace {

RC_GTEST_PROP(PeerCodec, RequestsComeBackAsTheyWent, ()) {
  const StatementRequest sent = AnyRequest();
  // The receiver's clock has nothing to do with the sender's.
  const core::TimePoint there = kNow + std::chrono::hours(77);
  const auto got = ReadPeerRequest(there, WritePeerRequest(kNow, sent));
  RC_ASSERT(got.has_value());
  RC_ASSERT(got->request_id == sent.request_id);
  RC_ASSERT(got->group == sent.group);
  RC_ASSERT(got->workspace == sent.workspace);
  RC_ASSERT(got->step == sent.step);
  RC_ASSERT(got->kind == sent.kind);
  RC_ASSERT(got->repeatable == sent.repeatable);
  RC_ASSERT(got->sql == sent.sql);
  RC_ASSERT(got->params_json == sent.params_json);
  RC_ASSERT(got->transaction == sent.transaction);
  RC_ASSERT(got->max_age == sent.max_age);
  RC_ASSERT(got->seen == sent.seen);
  RC_ASSERT(got->deadline - there == sent.deadline - kNow);
}

RC_GTEST_PROP(PeerCodec, AnswersComeBackAsTheyWent, ()) {
  const StatementAnswer sent = AnyAnswer();
  const auto got = ReadPeerAnswer(WritePeerAnswer(sent));
  RC_ASSERT(got.has_value());
  RC_ASSERT(got->kind() == sent.kind());
  RC_ASSERT(got->reason() == sent.reason());
  RC_ASSERT(got->detail() == sent.detail());
  RC_ASSERT(got->result_json() == sent.result_json());
  RC_ASSERT(got->retry_after() == sent.retry_after());
  RC_ASSERT(got->seen() == sent.seen());
  RC_ASSERT(got->transaction() == sent.transaction());
  RC_ASSERT(got->database() == sent.database());
  RC_ASSERT(got->from_replica() == sent.from_replica());
}

RC_GTEST_PROP(PeerCodec, SettleComesBackAsItWent, ()) {
  const core::SettleRequest sent{AnyText(), AnyText(), AnyText(),
                                 kNow + milliseconds(5)};
  const auto got = ReadPeerSettle(kNow, WritePeerSettle(kNow, sent));
  RC_ASSERT(got.has_value());
  RC_ASSERT(got->request_id == sent.request_id);
  RC_ASSERT(got->group == sent.group);
  RC_ASSERT(got->workspace == sent.workspace);
  RC_ASSERT(got->deadline == sent.deadline);
}

RC_GTEST_PROP(PeerCodec, DamagedBodiesNeverCrash, ()) {
  ReadPeerRequest(kNow, Damage(WritePeerRequest(kNow, AnyRequest())));
  ReadPeerAnswer(Damage(WritePeerAnswer(AnyAnswer())));
  ReadPeerRequest(kNow, AnyText());
  ReadPeerAnswer(AnyText());
  ReadPeerSettle(kNow, AnyText());
}

// A deadline that has passed must not wrap round to one far ahead.
TEST(PeerCodec, PassedDeadlineStaysPassed) {
  StatementRequest request;
  request.deadline = kNow - std::chrono::hours(1);
  const auto got = ReadPeerRequest(kNow, WritePeerRequest(kNow, request));
  ASSERT_TRUE(got.has_value());
  EXPECT_EQ(got->deadline, kNow);
}

// While a fleet is being replaced, a newer instance sends keys that an older
// one does not know, and an older one leaves out what a newer one expects.
TEST(PeerCodec, OtherVersionsAreUnderstood) {
  // {"new": [1, {"deep": true}], "id": "r1", "w": "ws"}
  const std::string newer = std::string("\x83\xa3new\x92\x01\x81\xa4") +
                            "deep\xc3\xa2id\xa2r1\xa1w" + "\xa2ws";
  const auto got = ReadPeerRequest(kNow, newer);
  ASSERT_TRUE(got.has_value());
  EXPECT_EQ(got->request_id, "r1");
  EXPECT_EQ(got->workspace, "ws");
  EXPECT_EQ(got->params_json, "[]");
  EXPECT_EQ(got->kind, core::StatementKind::kRead);
  EXPECT_FALSE(got->max_age.has_value());
  EXPECT_EQ(got->deadline, kNow);
}

// An answer that lost its outcome, or has one of a later version, must not be
// read as any of the three: each of them would be a claim.
TEST(PeerCodec, AnswerWithoutAKnownOutcomeIsRefused) {
  EXPECT_FALSE(ReadPeerAnswer("\x80").has_value());
  EXPECT_FALSE(ReadPeerAnswer("\x81\xa3out\xa5maybe").has_value());
  EXPECT_TRUE(ReadPeerAnswer("\x81\xa3out\xa4"
                             "done")
                  .has_value());
}

TEST(PeerCodec, UnknownStepOrKindIsRefused) {
  EXPECT_FALSE(ReadPeerRequest(kNow, "\x81\xa2st\x04").has_value());
  EXPECT_FALSE(ReadPeerRequest(kNow, "\x81\xa1k\x02").has_value());
  EXPECT_TRUE(ReadPeerRequest(kNow, "\x81\xa1k\x01").has_value());
}

TEST(PeerCodec, DeepNestingIsRefused) {
  std::string deep = "\x81\xa3new";
  deep.append(100000, '\x91');
  deep += '\x01';
  EXPECT_FALSE(ReadPeerRequest(kNow, deep).has_value());
}

}  // namespace
}  // namespace ryefold::wire
