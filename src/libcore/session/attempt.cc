#include "ryefold/core/session/attempt.h"

namespace ryefold::core::session {

std::string_view AttemptEndName(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kNotSent:
      return "not_sent";
    case AttemptEnd::kRejected:
      return "rejected";
    case AttemptEnd::kUnusable:
      return "reply_unusable";
    case AttemptEnd::kUnanswered:
      return "unanswered";
  }
  return "unanswered";
}

}  // namespace ryefold::core::session
