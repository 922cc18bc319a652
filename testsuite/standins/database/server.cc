#include "testsuite/standins/database/server.h"

#include <algorithm>
#include <utility>

#include "ryefold/wire/database_codec.h"
#include "testsuite/standins/lib/log_codec.h"
#include "testsuite/standins/lib/timer.h"

namespace ryefold::standins {
namespace {

constexpr size_t kMaxBody = 64 << 20;
constexpr size_t kRememberedCalls = 10000;
constexpr char kBadCall[] = R"({"error":"malformed call"})";

core::TimePoint Now() { return std::chrono::steady_clock::now(); }

}  // namespace

DatabaseServer::DatabaseServer(event_base* base, const DatabaseOptions& options)
    : base_(base),
      options_(options),
      faults_(options.faults),
      database_(options.name, options.primary, Now()),
      http_(
          base, kMaxBody, [this](const Exchange& e) { OnRequest(e); },
          [this](ConnectionId id) { OnClosed(id); }),
      puller_(base, options.peers, &database_, &faults_,
              [this] { Changed(); }) {
  database_.OnWriterFree([this] { OnWriterFree(); });
  handlers_ = {{"/v1/execute", &DatabaseServer::OnStatement},
               {"/v1/begin", &DatabaseServer::OnStatement},
               {"/v1/commit", &DatabaseServer::OnStatement},
               {"/v1/rollback", &DatabaseServer::OnStatement},
               {"/v1/open", &DatabaseServer::OnOpen},
               {"/v1/status", &DatabaseServer::OnControl},
               {"/v1/adopt", &DatabaseServer::OnControl},
               {"/v1/promote", &DatabaseServer::OnControl},
               {"/v1/follow", &DatabaseServer::OnControl},
               {"/v1/settle", &DatabaseServer::OnControl},
               {"/v1/log", &DatabaseServer::OnLog}};
}

std::string DatabaseServer::Listen() {
  std::string bound = http_.Listen(options_.listen);
  if (!bound.empty()) puller_.Restart();
  return bound;
}

void DatabaseServer::OnRequest(const Exchange& exchange) {
  const std::string& path = exchange.path();
  if (path == "/fault") return OnFault(exchange);
  if (faults_.down) return exchange.Drop();
  if (path == "/debug/log") return exchange.Reply(200, DebugLog());
  if (path == "/debug/running") return exchange.Reply(200, DebugRunning());
  if (path == "/debug/connections") {
    return exchange.Reply(200, DebugConnections());
  }
  const auto handler = handlers_.find(path);
  if (handler == handlers_.end() || !exchange.post()) {
    return exchange.Reply(404, R"({"error":"no such call"})");
  }
  (this->*handler->second)(exchange);
}

void DatabaseServer::Answer(const Exchange& exchange, int status,
                            const std::string& body) {
  if (faults_.delay.count() == 0) return exchange.Reply(status, body);
  After(base_, faults_.delay,
        [exchange, status, body] { exchange.Reply(status, body); });
}

void DatabaseServer::OnClosed(ConnectionId connection) {
  open_.erase(connection);
  if (busy_.count(connection) > 0) {
    // A statement that has reached a database runs, whether or not somebody
    // still waits for it.
    closing_.insert(connection);
    return;
  }
  database_.Close(connection);
}

// ---- statement connections ----

void DatabaseServer::OnOpen(const Exchange& exchange) {
  const ConnectionId connection = exchange.connection();
  if (open_.count(connection) == 0) {
    if (open_.size() >= options_.connection_limit) {
      ++refused_;
      return Answer(exchange, 503, R"({"error":"too many connections"})");
    }
    open_.insert(connection);
    peak_open_ = std::max(peak_open_, open_.size());
  }
  After(base_, faults_.connect,
        [this, exchange] { Answer(exchange, 200, "{}"); });
}

void DatabaseServer::OnStatement(const Exchange& exchange) {
  if (open_.count(exchange.connection()) == 0) {
    return Answer(exchange, 409, R"({"error":"the connection is not open"})");
  }
  auto call = wire::ReadExecuteCall(exchange.path(), exchange.body());
  if (!call) return Answer(exchange, 400, kBadCall);
  Remember(exchange.connection(), *call);
  database_.NoteReceived(exchange.connection(), *call);
  busy_.insert(exchange.connection());
  queue_.push_back({exchange, *std::move(call)});
  Pump();
}

void DatabaseServer::Pump() {
  const auto hold = faults_.service + faults_.stall;
  while (running_ < options_.slots && !queue_.empty()) {
    Pending next = std::move(queue_.front());
    queue_.pop_front();
    if (hold.count() == 0) {
      Finish(next);
      continue;
    }
    ++running_;
    After(base_, hold, [this, next = std::move(next), epoch = epoch_] {
      if (epoch != epoch_) return;
      --running_;
      Finish(next);
      Pump();
    });
  }
}

void DatabaseServer::Finish(const Pending& pending) {
  const ConnectionId connection = pending.exchange.connection();
  const core::LogPosition before = database_.log().last();
  const auto answer = database_.Execute(Now(), connection, pending.call);
  if (!answer) {
    // Waits for the writer without a slot, which the writer may need.
    parked_.push_back(pending);
    return;
  }
  if (answer->status == core::ExecuteStatus::kOk) ++statements_run_;
  if (database_.log().last() != before) Changed();
  EndCall(connection);
  AnswerStatement(pending, *answer);
}

void DatabaseServer::AnswerStatement(const Pending& pending,
                                     const core::ExecuteAnswer& answer) {
  const std::string body = wire::WriteExecuteAnswer(answer);
  const bool loses = pending.call.step == core::Step::kStatement ||
                     pending.call.step == core::Step::kCommit;
  if (loses && faults_.drop_answers > 0) {
    --faults_.drop_answers;
    return pending.exchange.Drop();
  }
  if (loses && faults_.truncate_answers > 0) {
    --faults_.truncate_answers;
    return pending.exchange.Truncate(200, body);
  }
  Answer(pending.exchange, 200, body);
}

void DatabaseServer::EndCall(ConnectionId connection) {
  busy_.erase(connection);
  database_.NoteAnswered(connection);
  if (closing_.erase(connection) > 0) database_.Close(connection);
}

void DatabaseServer::OnWriterFree() {
  if (parked_.empty()) return;
  queue_.insert(queue_.begin(), parked_.begin(), parked_.end());
  parked_.clear();
  After(base_, std::chrono::microseconds(0), [this] { Pump(); });
}

void DatabaseServer::Remember(ConnectionId connection,
                              const core::ExecuteCall& call) {
  ++received_count_;
  received_.push_back({connection, call.term, call.step, call.kind,
                       call.workspace, call.request_id});
  if (received_.size() > kRememberedCalls) received_.pop_front();
}

// ---- control calls ----

void DatabaseServer::OnControl(const Exchange& exchange) {
  const auto call = wire::ReadControlCall(exchange.path(), exchange.body());
  if (!call) return Answer(exchange, 400, kBadCall);
  std::visit([&](const auto& one) { Take(exchange, one); }, *call);
}

void DatabaseServer::AnswerControl(const Exchange& exchange,
                                   const core::ControlAnswer& answer) {
  Answer(exchange, 200, wire::WriteControlAnswer(answer));
}

void DatabaseServer::Take(const Exchange& exchange,
                          const core::StatusCall& call) {
  const StatusWaiter waiter{exchange, call};
  if (TryAnswer(waiter, call.wait.count() == 0)) return;
  const uint64_t id = ++last_waiter_;
  status_waiters_.emplace(id, waiter);
  After(base_, call.wait, [this, id] { ExpireStatus(id); });
}

bool DatabaseServer::TryAnswer(const StatusWaiter& waiter, bool over) {
  if (!waiter.exchange.open()) return true;
  const bool same = waiter.call.known_term == database_.adopted_term() &&
                    waiter.call.known_last == database_.log().last();
  if (same && !over) return false;
  AnswerControl(waiter.exchange, database_.status());
  return true;
}

void DatabaseServer::ExpireStatus(uint64_t id) {
  const auto found = status_waiters_.find(id);
  if (found == status_waiters_.end()) return;
  TryAnswer(found->second, true);
  status_waiters_.erase(found);
}

void DatabaseServer::Take(const Exchange& exchange,
                          const core::AdoptCall& call) {
  const uint64_t before = database_.adopted_term();
  const core::AdoptAnswer answer = database_.Adopt(call);
  if (database_.adopted_term() != before) {
    puller_.Restart();
    Changed();
  }
  AnswerControl(exchange, answer);
}

void DatabaseServer::Take(const Exchange& exchange,
                          const core::PromoteCall& call) {
  const core::RoleAnswer answer = database_.Promote(Now(), call);
  Changed();
  AnswerControl(exchange, answer);
}

void DatabaseServer::Take(const Exchange& exchange,
                          const core::FollowCall& call) {
  const core::RoleAnswer answer = database_.Follow(call);
  if (answer.accepted) puller_.Restart();
  Changed();
  AnswerControl(exchange, answer);
}

void DatabaseServer::Take(const Exchange& exchange,
                          const core::SettleCall& call) {
  // Without an id there is nothing to look up or to fence.
  if (call.request_id.empty()) return Answer(exchange, 400, kBadCall);
  const core::SettleAnswer answer = database_.Settle(Now(), call);
  Changed();
  AnswerControl(exchange, answer);
}

void DatabaseServer::OnLog(const Exchange& exchange) {
  const auto call = ReadLogCall(exchange.body());
  if (!call) return Answer(exchange, 400, kBadCall);
  if (faults_.CutFrom(call->database)) return exchange.Drop();
  const LogWaiter waiter{exchange, *call, Now() + call->wait};
  const uint64_t id = ++last_waiter_;
  if (TryAnswer(id, waiter, call->wait.count() == 0)) return;
  log_waiters_.emplace(id, waiter);
  After(base_, call->wait, [this, id] { ExpireLog(id); });
}

bool DatabaseServer::TryAnswer(uint64_t id, const LogWaiter& waiter,
                               bool over) {
  if (!waiter.exchange.open()) return true;
  const core::TimePoint now = Now();
  const LogAnswer answer = database_.ReadLog(now, waiter.call);
  const bool nothing = answer.status == LogStatus::kOk && answer.count == 0;
  if (nothing && !over) {
    if (answer.next_due && *answer.next_due < waiter.deadline) {
      const auto until =
          std::chrono::ceil<std::chrono::microseconds>(*answer.next_due - now);
      After(base_, until, [this, id] {
        const auto found = log_waiters_.find(id);
        if (found == log_waiters_.end()) return;
        if (TryAnswer(id, found->second, false)) log_waiters_.erase(found);
      });
    }
    return false;
  }
  Answer(waiter.exchange, 200, ToJson(answer, database_.log()));
  return true;
}

void DatabaseServer::ExpireLog(uint64_t id) {
  const auto found = log_waiters_.find(id);
  if (found == log_waiters_.end()) return;
  TryAnswer(id, found->second, true);
  log_waiters_.erase(found);
}

void DatabaseServer::Changed() {
  if (look_scheduled_) return;
  look_scheduled_ = true;
  After(base_, std::chrono::microseconds(0), [this] { LookAtWaiters(); });
}

void DatabaseServer::LookAtWaiters() {
  look_scheduled_ = false;
  std::erase_if(status_waiters_, [this](const auto& waiting) {
    return TryAnswer(waiting.second, false);
  });
  std::erase_if(log_waiters_, [this](const auto& waiting) {
    return TryAnswer(waiting.first, waiting.second, false);
  });
}

}  // namespace ryefold::standins
