#pragma once

// Messages with any content, for the codec tests.

#include <rapidcheck/gtest.h>

#include <chrono>
#include <string>
#include <vector>

#include "ryefold/core/messages.h"
#include "ryefold/core/outcome.h"

namespace ryefold::wire {

using core::ExecuteAnswer;
using core::ExecuteCall;
using core::StatementAnswer;
using core::StatementRequest;
using std::chrono::milliseconds;

constexpr core::TimePoint kNow{std::chrono::hours(5)};

inline core::LogPosition AnyPosition() {
  return {*rc::gen::arbitrary<uint64_t>(), *rc::gen::arbitrary<uint64_t>()};
}

inline std::string AnyText() { return *rc::gen::arbitrary<std::string>(); }

template <class Enum>
Enum AnyOf(Enum last) {
  return static_cast<Enum>(*rc::gen::inRange(0, static_cast<int>(last) + 1));
}

inline core::Step AnyStep() { return AnyOf(core::Step::kRollback); }
inline core::StatementKind AnyKind() {
  return AnyOf(core::StatementKind::kWrite);
}

inline StatementRequest AnyRequest() {
  StatementRequest request;
  request.request_id = AnyText();
  request.group = AnyText();
  request.workspace = AnyText();
  request.step = AnyStep();
  request.kind = AnyKind();
  request.repeatable = *rc::gen::arbitrary<bool>();
  request.sql = AnyText();
  request.params_json = AnyText();
  request.transaction = AnyText();
  if (*rc::gen::arbitrary<bool>()) {
    request.max_age = milliseconds(*rc::gen::inRange(0, 1000000));
  }
  request.seen = AnyPosition();
  request.deadline = kNow + milliseconds(*rc::gen::inRange(0, 60000));
  return request;
}

inline StatementAnswer AnyAnswer() {
  const core::Reason reason = AnyOf(core::Reason::kNotReady);
  const milliseconds retry(*rc::gen::inRange(0, 100000));
  std::vector<StatementAnswer> kinds = {
      StatementAnswer::Done(AnyText(), AnyPosition()),
      StatementAnswer::NotRun(core::NotRunProof::NeverSent(), reason, retry,
                              AnyText()),
      StatementAnswer::Unknown(reason, AnyText())};
  StatementAnswer answer = *rc::gen::elementOf(kinds);
  answer.WithSeen(AnyPosition());
  answer.WithTransaction(AnyText());
  answer.WithServer(AnyText(), *rc::gen::arbitrary<bool>());
  return answer;
}

/// `text` with one byte changed, one cut out, or its end cut off.
inline std::string Damage(std::string text) {
  if (text.empty()) return "x";
  const auto at = *rc::gen::inRange<size_t>(0, text.size());
  switch (*rc::gen::inRange(0, 3)) {
    case 0:
      text[at] = *rc::gen::arbitrary<char>();
      break;
    case 1:
      text.erase(at, 1);
      break;
    default:
      text.resize(at);
  }
  return text;
}

}  // namespace ryefold::wire
