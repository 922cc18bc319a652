#pragma once

// Callers' interface v1 in JSON (docs/INTERFACE.md).

#include <chrono>
#include <string>

#include "ryefold/core/messages.h"
#include "ryefold/core/outcome.h"
#include "ryefold/core/session/token.h"
#include "ryefold/wire/finding.h"

namespace ryefold::wire {

/// A caller's body, read. `request.seen` is filled from the token by whoever
/// forwards it; `request.deadline` is `now` plus the stated or default time.
struct CallerRequest {
  core::StatementRequest request;
  core::session::Token token;
};

/// Reads a body of POST /v1/statement or /v1/transaction/{begin,commit,
/// rollback}. Every problem is added to `findings`.
CallerRequest ReadCallerRequest(core::TimePoint now, core::Step step,
                                const std::string& body, Findings* findings);

/// Body of the answer; `token` is the session after it.
std::string WriteCallerAnswer(const core::StatementAnswer& answer,
                              const std::string& request_id,
                              const core::session::Token& token);

/// HTTP status for an outcome: 200, 503, 504, or 422 for a rejected statement.
int StatusOf(const core::StatementAnswer& answer);

/// Body of a 4xx answer: `{"error":...,"findings":[...]}`.
std::string WriteError(const std::string& error, const Findings& findings);

}  // namespace ryefold::wire
