#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

#include "platform/key_digest.h"
#include "platform/line_codec.h"
#include "platform/records.h"

namespace ryefold::platform {
namespace {

using core::LogPosition;
using core::session::BackendCall;
using core::session::CallKind;
using core::session::ErrorCode;
using core::session::Reply;
using core::session::StatementKind;
using core::session::TransactionState;

StatementKind KindOf(const std::string& text) {
  return DecodeCallerLine("QUERY id1 " + text).statement.kind;
}

TEST(CallerLines, AreClassified) {
  EXPECT_EQ(KindOf("BEGIN"), StatementKind::kBegin);
  EXPECT_EQ(KindOf("BEGIN READ"), StatementKind::kBeginRead);
  EXPECT_EQ(KindOf("COMMIT"), StatementKind::kCommit);
  EXPECT_EQ(KindOf("ROLLBACK"), StatementKind::kRollback);
  EXPECT_EQ(KindOf("READ 1a4"), StatementKind::kRead);
  EXPECT_EQ(KindOf("WRITE 1a4 data"), StatementKind::kWrite);
  EXPECT_EQ(KindOf("SET name value"), StatementKind::kSet);
  EXPECT_EQ(KindOf("PARSE s1 WRITE q2c"), StatementKind::kPrepare);
  EXPECT_EQ(KindOf("EXECUTE s1 1a4 xk"), StatementKind::kExecute);
  EXPECT_EQ(KindOf("CLOSE s1"), StatementKind::kDeallocate);
}

TEST(CallerLines, AreSplitIntoFields) {
  const CallerLine set = DecodeCallerLine("QUERY id1 SET tz a b  c");
  EXPECT_EQ(set.statement_id, "id1");
  EXPECT_EQ(set.statement.name, "tz");
  EXPECT_EQ(set.statement.argument, "a b  c");
  const CallerLine prepare = DecodeCallerLine("QUERY id1 PARSE s1 WRITE q 2");
  EXPECT_TRUE(prepare.statement.writes);
  EXPECT_EQ(prepare.statement.argument, "q 2");
  EXPECT_EQ(DecodeCallerLine("QUERY id1 READ a  b").statement.text,
            "READ a  b");
  EXPECT_EQ(DecodeCallerLine("START records u1").route, "records");
}

TEST(CallerLines, CarryTheDigestOfAKey) {
  const CallerLine line = DecodeCallerLine("START records some-key");
  EXPECT_EQ(line.route, "records");
  EXPECT_EQ(line.key, DigestOfKey("some-key"));
  EXPECT_NE(line.key, DecodeCallerLine("START records other-key").key);
}

// Guards against sending a caller's key to a database. START names the
// workspace, or the proxy if there is none.
TEST(BackendCalls, NameTheWorkspaceTheyAreMadeFor) {
  core::session::Database database;
  database.group = "g";
  database.id = "i-1";
  std::string out;
  EncodeStart(database, "acme", &out);
  EncodeStart(database, "", &out);
  EXPECT_EQ(out, "START g acme i-1\r\nSTART g ryefold i-1\r\n");
}

TEST(CallerLines, ReceiveCodesOfUnknownKeysAndLimits) {
  EXPECT_EQ(ErrorCodeName(core::session::ErrorCode::kUnknownKey), "NOAUTH");
  EXPECT_EQ(ErrorCodeName(core::session::ErrorCode::kOverLimit), "BUSY");
  EXPECT_EQ(DecodeErrorCode("BUSY"), core::session::ErrorCode::kBusy);
}

// Guards against guessing the meaning of incomplete or unknown messages, which
// could run a statement that the caller did not send.
TEST(CallerLines, MalformedOnesAreRejected) {
  for (const char* line :
       {"", " ", "QUERY", "QUERY id1x", "START", "HELLO u"}) {
    const CallerLine decoded = DecodeCallerLine(line);
    const bool query = decoded.verb == CallerVerb::kQuery;
    EXPECT_TRUE(decoded.verb == CallerVerb::kUnreadable ||
                (query && decoded.statement.kind == StatementKind::kMalformed))
        << line;
  }
  for (const char* text : {"READ", "WRITE", "BEGIN WRITE", "COMMIT now",
                           "PARSE s1", "PARSE s1 MAYBE x", "SET", "EXECUTE",
                           "SINCE 1.2 READ a", "STATUS", "DISCARD"}) {
    EXPECT_EQ(KindOf(text), StatementKind::kMalformed) << text;
  }
}

// Guards against a caller that sends the reserved id of the proxy's own
// statements, which have no id.
TEST(CallerLines, RejectTheReservedStatementId) {
  EXPECT_EQ(DecodeCallerLine("QUERY - READ a").verb, CallerVerb::kUnreadable);
}

TEST(BackendCalls, AreWrittenAsDatabasesExpect) {
  BackendCall call;
  call.kind = CallKind::kVerbatim;
  call.id = "5c0e";
  call.text = "READ 1a4";
  call.since = LogPosition{3, 1207};
  std::string out;
  EncodeCall(call, &out);
  EXPECT_EQ(out, "QUERY 5c0e SINCE 3.1207 READ 1a4\r\n");
  out.clear();
  EncodeCall(BackendCall{}, &out);
  EXPECT_EQ(out, "QUERY - STATUS\r\n");
  out.clear();
  call = BackendCall{};
  call.kind = CallKind::kPauseReplication;
  call.term = 4;
  EncodeCall(call, &out);
  call.kind = CallKind::kResumeReplication;
  EncodeCall(call, &out);
  EXPECT_EQ(out, "QUERY - PAUSE 4\r\nQUERY - RESUME\r\n");
  out.clear();
  call.kind = CallKind::kStepDown;
  EncodeCall(call, &out);
  EXPECT_EQ(out, "QUERY - STEPDOWN 4\r\n");
}

TEST(Replies, AreAssembledFromLines) {
  ReplyDecoder decoder;
  EXPECT_EQ(decoder.Feed("ROW qh zk", false), ReplyDecoder::Result::kMore);
  EXPECT_EQ(decoder.Feed("COMPLETE 7.1f3", false), ReplyDecoder::Result::kMore);
  EXPECT_EQ(decoder.Feed("READY T 3.1209", false),
            ReplyDecoder::Result::kComplete);
  const Reply reply = decoder.TakeReply();
  EXPECT_EQ(reply.rows, std::vector<std::string>{"qh zk"});
  EXPECT_EQ(reply.digest, "7.1f3");
  EXPECT_EQ(reply.state, TransactionState::kOpen);
  EXPECT_EQ(reply.position, (LogPosition{3, 1209}));
}

TEST(Replies, CarryARequestedStatus) {
  ReplyDecoder decoder;
  decoder.Feed("ROW replica 3 3.1209 0 12 2 17", true);
  decoder.Feed("COMPLETE -", true);
  decoder.Feed("READY I 3.1204", true);
  const Reply reply = decoder.TakeReply();
  ASSERT_TRUE(reply.status.has_value());
  EXPECT_FALSE(reply.status->primary);
  EXPECT_EQ(reply.status->received, (LogPosition{3, 1209}));
  EXPECT_EQ(reply.status->connections, 17U);
  EXPECT_EQ(reply.status->lag, std::chrono::milliseconds(12));
  EXPECT_EQ(reply.status->busy_slots, 2U);
  EXPECT_EQ(reply.status->paused_term, 0U);
  decoder.Feed("ROW replica 3 3.1209 4 12 2 17", true);
  decoder.Feed("COMPLETE -", true);
  decoder.Feed("READY I 3.1204", true);
  EXPECT_EQ(decoder.TakeReply().status->paused_term, 4U);
}

// Guards against delivering rows to the wrong caller: a reply that ends early
// or continues after its end belongs to no statement.
TEST(Replies, OutOfOrderLinesAreMalformed) {
  ReplyDecoder early;
  EXPECT_EQ(early.Feed("READY I 1.1", false),
            ReplyDecoder::Result::kUnreadable);
  ReplyDecoder twice;
  twice.Feed("COMPLETE a", false);
  EXPECT_EQ(twice.Feed("ROW b", false), ReplyDecoder::Result::kUnreadable);
  ReplyDecoder strange;
  EXPECT_EQ(strange.Feed("WHATEVER", false), ReplyDecoder::Result::kUnreadable);
}

RC_GTEST_PROP(LinesProperty, ArbitraryLinesAreHandled,
              (const std::string& line)) {
  const CallerLine decoded = DecodeCallerLine(line);
  if (decoded.verb == CallerVerb::kQuery) {
    RC_ASSERT(decoded.statement_id != "-");
    RC_ASSERT(line.rfind("QUERY ", 0) == 0);
  }
  ReplyDecoder decoder;
  decoder.Feed(line, true);
  decoder.Feed(line, true);
  DecodePosition(line);
}

RC_GTEST_PROP(LinesProperty, RepliesRoundTrip, ()) {
  Reply reply;
  const auto word =
      rc::gen::container<std::string>(rc::gen::inRange<char>('a', 'z'));
  reply.rows = *rc::gen::container<std::vector<std::string>>(word);
  reply.digest = "d" + *word;
  reply.state =
      *rc::gen::element(TransactionState::kIdle, TransactionState::kOpen,
                        TransactionState::kFailed);
  reply.position = LogPosition{*rc::gen::inRange<uint64_t>(1, 9),
                               *rc::gen::inRange<uint64_t>(0, 99999)};
  std::string out;
  EncodeReply(reply, &out);
  ReplyDecoder decoder;
  size_t start = 0;
  auto result = ReplyDecoder::Result::kMore;
  for (size_t end = out.find("\r\n"); end != std::string::npos;
       end = out.find("\r\n", start)) {
    result = decoder.Feed(out.substr(start, end - start), false);
    start = end + 2;
  }
  RC_ASSERT(result == ReplyDecoder::Result::kComplete);
  const Reply read = decoder.TakeReply();
  RC_ASSERT(read.rows == reply.rows);
  RC_ASSERT(read.digest == reply.digest);
  RC_ASSERT(read.position == reply.position);
  RC_ASSERT(read.state == reply.state);
}

TEST(Records, AreDecodedAndUnknownMembersSkipped) {
  wire::Findings findings;
  const auto table = DecodeRouteTable(
      R"({"version":7,"routes":[{"name":"r","host":"h","type":"session",
      "timeout_ms":1000,"goal_ms":400,"priority":2,"service":"g",
      "max_staleness_ms":2500,"new":1}],"services":[{"name":"g",
      "max_conns":53}],"limits":{"tx_idle_ms":1234},"more":{}})",
      &findings);
  EXPECT_TRUE(findings.empty());
  EXPECT_EQ(table.version, 7U);
  EXPECT_EQ(table.routes.at("h").group, "g");
  EXPECT_EQ(table.routes.at("h").max_staleness,
            std::chrono::milliseconds(2500));
  EXPECT_EQ(table.groups.at("g").connection_limit, 53U);
  EXPECT_EQ(table.transaction_idle_timeout, std::chrono::milliseconds(1234));
}

// Guards against accepting an incomplete configuration, which would drop routes
// that callers use.
TEST(Records, IncompleteOnesAreFindings) {
  for (const char* text : {"", "[]", "{", R"({"routes":[]})",
                           R"({"version":1,"routes":[{"host":"h"}]})"}) {
    wire::Findings findings;
    DecodeRouteTable(text, &findings);
    EXPECT_FALSE(findings.empty()) << text;
  }
  wire::Findings findings;
  DecodeDatabase("i-1", R"({"service":"g"})", &findings);
  EXPECT_FALSE(findings.empty());
}

}  // namespace
}  // namespace ryefold::platform
