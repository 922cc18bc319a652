#pragma once

// Database groups that speak the platform's line protocol on loopback, over
// the fake cluster of the virtual-time tests run in real time.

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "platform/line_channel.h"
#include "ryefold/wire/http.h"
#include "testsuite/standins/lib/key_value.h"
#include "testsuite/support/session/fake_cluster.h"

struct event_base;
struct event;
struct evconnlistener;

namespace ryefold::standins {

/// One group of three databases, registered in a store; and the interface that
/// promotes them.
class LineDatabases {
 public:
  /// `prefix`: of the ids of the databases, three characters; no two groups of
  /// a store share it.
  LineDatabases(event_base* base, KeyValueStandin* store, std::string group,
                const std::string& prefix = "db-");
  ~LineDatabases();
  LineDatabases(const LineDatabases&) = delete;
  LineDatabases& operator=(const LineDatabases&) = delete;

  /// Listens on free loopback ports; an error text, empty on success.
  std::string Start();
  testsuite::FakeCluster& cluster() { return cluster_; }
  const std::string& group() const { return group_; }
  uint16_t port(const std::string& id) const { return servers_.at(id).port; }
  /// Registers another port than the database's own, as of a proxy before it.
  void Advertise(const std::string& id, uint16_t port) {
    servers_.at(id).advertised = port;
  }

  /// Ends a database: its port refuses, its connections are reset, its entry
  /// goes.
  void Crash(const std::string& id);
  /// Starts a database again under its id, with nothing of what it held.
  void StartAnew(const std::string& id);
  /// Takes the call that promotes; the HTTP status of the answer.
  int Promote(const std::string& id, uint64_t token);
  void Register();
  /// Returns whether a database has received the caller's statement, run or
  /// not.
  bool HasReceived(const std::string& statement_id) const {
    return received_.count(statement_id) > 0;
  }
  /// Sends half of a line on every connection, then closes: a database that
  /// ends in the middle of an answer.
  void CutInMidLine();

 private:
  class Link;
  struct Server {
    std::string id;
    evconnlistener* listener = nullptr;
    uint16_t port = 0;
    uint16_t advertised = 0;
    LineDatabases* owner = nullptr;
  };
  void Accept(const std::string& id, int fd);
  void Reap();

  event_base* base_;
  KeyValueStandin* store_;
  const std::string group_;
  testsuite::VirtualClock clock_;
  testsuite::FakeCluster cluster_;
  const std::chrono::steady_clock::time_point started_;
  const core::TimePoint virtual_start_;
  event* timer_;
  std::map<std::string, Server> servers_;
  std::vector<std::unique_ptr<Link>> links_;
  uint64_t highest_token_ = 0;
  std::set<std::string> received_;
};

}  // namespace ryefold::standins
