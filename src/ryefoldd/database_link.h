#pragma once

// The connections of one keeper: statement connections that it holds, and
// control calls.

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "ryefold/core/group/keeper.h"
#include "ryefold/task/loop.h"
#include "ryefold/wire/http.h"

namespace ryefold::ryefoldd {

/// Carries out a keeper's actions towards databases and turns what comes back
/// into events. Owned by the keeper task.
class DatabaseLink {
 public:
  using Sink = std::function<void(const core::group::Event&)>;

  DatabaseLink(task::Loop* loop, wire::HttpClient* control, Sink sink);
  ~DatabaseLink();
  DatabaseLink(const DatabaseLink&) = delete;
  DatabaseLink& operator=(const DatabaseLink&) = delete;

  /// Where each database listens.
  void SetAddresses(std::map<std::string, std::string> addresses);

  void Open(const core::group::OpenConnection& action);
  void Close(const core::group::CloseConnection& action);
  void Execute(const core::group::Execute& action);
  void Control(const core::group::Control& action);

 private:
  struct Slot {
    std::unique_ptr<wire::HttpConnection> connection;
    bool opened = false;
  };

  void Opened(core::group::ConnectionId id, const wire::HttpResult& result);
  void Executed(core::group::ConnectionId id, const wire::HttpResult& result);
  /// Reports the loss once and buries the connection.
  void Lost(core::group::ConnectionId id);
  void Bury(core::group::ConnectionId id);
  void Emit(const core::group::Event& event);

  task::Loop* loop_;
  wire::HttpClient* control_;
  Sink sink_;
  std::map<std::string, std::string> addresses_;
  std::unordered_map<core::group::ConnectionId, Slot> slots_;
  /// Answers that arrive after this object is gone find it expired.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace ryefold::ryefoldd
