#pragma once

// The sockets around one database: statement connections, slots, control
// calls that wait, log shipping, faults.

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_set>

#include "testsuite/standins/database/faults.h"
#include "testsuite/standins/database/puller.h"
#include "testsuite/standins/lib/database.h"
#include "testsuite/standins/lib/http.h"

namespace ryefold::standins {

struct DatabaseOptions {
  std::string name;
  std::string group;
  std::string listen;
  std::string primary;
  /// Addresses of the group's databases by name.
  std::map<std::string, std::string> peers;
  uint32_t slots = 3;
  uint32_t connection_limit = 20;
  Faults faults;
};

class DatabaseServer {
 public:
  DatabaseServer(event_base* base, const DatabaseOptions& options);

  /// The bound "ip:port", or empty text.
  std::string Listen();

 private:
  struct Pending {
    Exchange exchange;
    core::ExecuteCall call;
  };
  struct StatusWaiter {
    Exchange exchange;
    core::StatusCall call;
  };
  struct LogWaiter {
    Exchange exchange;
    LogCall call;
    core::TimePoint deadline;
  };
  struct Received {
    ConnectionId connection = 0;
    uint64_t term = 0;
    core::Step step = core::Step::kStatement;
    core::StatementKind kind = core::StatementKind::kRead;
    std::string workspace;
    std::string request_id;
  };

  void OnRequest(const Exchange& exchange);
  void OnClosed(ConnectionId connection);
  void Answer(const Exchange& exchange, int status, const std::string& body);

  // Statement connections.
  void OnOpen(const Exchange& exchange);
  void OnStatement(const Exchange& exchange);
  void Pump();
  void Finish(const Pending& pending);
  void AnswerStatement(const Pending& pending,
                       const core::ExecuteAnswer& answer);
  void EndCall(ConnectionId connection);
  void OnWriterFree();
  void Remember(ConnectionId connection, const core::ExecuteCall& call);

  // Control calls.
  void OnControl(const Exchange& exchange);
  void Take(const Exchange& exchange, const core::StatusCall& call);
  void Take(const Exchange& exchange, const core::AdoptCall& call);
  void Take(const Exchange& exchange, const core::PromoteCall& call);
  void Take(const Exchange& exchange, const core::FollowCall& call);
  void Take(const Exchange& exchange, const core::SettleCall& call);
  void AnswerControl(const Exchange& exchange,
                     const core::ControlAnswer& answer);
  void OnLog(const Exchange& exchange);
  /// Entries, term or role may have changed: looks at the waiting calls, once
  /// for all changes of one turn of the loop.
  void Changed();
  void LookAtWaiters();
  bool TryAnswer(const StatusWaiter& waiter, bool over);
  bool TryAnswer(uint64_t id, const LogWaiter& waiter, bool over);
  void ExpireStatus(uint64_t id);
  void ExpireLog(uint64_t id);

  // Faults and what tests look at.
  void OnFault(const Exchange& exchange);
  void GoDown(ConnectionId except);
  void DropLogWaiters();
  std::string DebugLog() const;
  std::string DebugConnections() const;
  std::string DebugRunning() const;

  event_base* base_;
  DatabaseOptions options_;
  Faults faults_;
  Database database_;
  HttpServer http_;
  Puller puller_;

  using Handler = void (DatabaseServer::*)(const Exchange&);
  std::map<std::string, Handler> handlers_;

  std::unordered_set<ConnectionId> open_;
  size_t peak_open_ = 0;
  uint64_t refused_ = 0;
  uint64_t statements_run_ = 0;
  std::deque<Received> received_;
  uint64_t received_count_ = 0;

  std::deque<Pending> queue_;
  std::deque<Pending> parked_;
  uint32_t running_ = 0;
  /// Raised when the database goes down: what ran then is forgotten.
  uint64_t epoch_ = 0;
  /// Connections with a call that has not ended.
  std::unordered_set<ConnectionId> busy_;
  /// Of those, the ones that closed meanwhile.
  std::unordered_set<ConnectionId> closing_;

  uint64_t last_waiter_ = 0;
  std::map<uint64_t, StatusWaiter> status_waiters_;
  std::map<uint64_t, LogWaiter> log_waiters_;
  bool look_scheduled_ = false;
};

}  // namespace ryefold::standins
