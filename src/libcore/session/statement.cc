#include "ryefold/core/session/statement.h"

namespace ryefold::core::session {

bool ReturnsStatus(CallKind kind) {
  return kind == CallKind::kStatus || kind == CallKind::kPauseReplication ||
         kind == CallKind::kResumeReplication || kind == CallKind::kStepDown;
}

bool MeansNotRun(ErrorCode code) {
  switch (code) {
    case ErrorCode::kBusy:
    case ErrorCode::kLagging:
    case ErrorCode::kReadOnly:
    case ErrorCode::kWrongDatabase:
    case ErrorCode::kTooManyConnections:
    case ErrorCode::kNoStatement:
    case ErrorCode::kNotReady:
    case ErrorCode::kUnknownKey:
    case ErrorCode::kOverLimit:
      return true;
    default:
      return false;
  }
}

std::string_view ErrorName(ErrorCode code) {
  switch (code) {
    case ErrorCode::kNone:
      return "none";
    case ErrorCode::kBusy:
      return "busy";
    case ErrorCode::kAborted:
      return "aborted";
    case ErrorCode::kLagging:
      return "lagging";
    case ErrorCode::kReadOnly:
      return "read_only";
    case ErrorCode::kWrongDatabase:
      return "wrong_database";
    case ErrorCode::kTooManyConnections:
      return "too_many_connections";
    case ErrorCode::kInDoubt:
      return "in_doubt";
    case ErrorCode::kTimeout:
      return "timeout";
    case ErrorCode::kFailed:
      return "failed";
    case ErrorCode::kNoStatement:
      return "no_statement";
    case ErrorCode::kMalformed:
      return "malformed";
    case ErrorCode::kNoRoute:
      return "no_route";
    case ErrorCode::kUnknownKey:
      return "unknown_key";
    case ErrorCode::kOverLimit:
      return "over_limit";
    case ErrorCode::kNotReady:
      return "not_ready";
    case ErrorCode::kUnknownCode:
      return "unknown_code";
  }
  return "unknown_code";
}

}  // namespace ryefold::core::session
