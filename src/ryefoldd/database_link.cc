#include "ryefoldd/database_link.h"

#include <chrono>
#include <utility>

#include "ryefold/wire/database_codec.h"

namespace ryefold::ryefoldd {
namespace {

using core::group::ConnectionId;

constexpr int kHttpOk = 200;
/// A database that has not let a connection in by then is taken as refusing.
constexpr std::chrono::seconds kOpenTimeout{3};
/// The keeper ends statements by its own deadlines, by closing the connection;
/// this only bounds what a mistake there could leave behind.
constexpr std::chrono::minutes kExecuteBound{5};

core::TimePoint Now() { return std::chrono::steady_clock::now(); }

}  // namespace

DatabaseLink::DatabaseLink(task::Loop* loop, wire::HttpClient* control,
                           Sink sink)
    : loop_(loop), control_(control), sink_(std::move(sink)) {}

DatabaseLink::~DatabaseLink() = default;

void DatabaseLink::SetAddresses(std::map<std::string, std::string> addresses) {
  addresses_ = std::move(addresses);
}

void DatabaseLink::Open(const core::group::OpenConnection& action) {
  const ConnectionId id = action.connection;
  const auto address = addresses_.find(action.database);
  Slot& slot = slots_[id];
  if (address == addresses_.end()) {
    // Not resolved yet: the list of instances lags. Reported from the loop, as
    // every other answer is, never from inside the keeper's own call.
    std::weak_ptr<int> alive = alive_;
    loop_->Post([this, alive, id] {
      if (!alive.expired()) Lost(id);
    });
    return;
  }
  slot.connection = std::make_unique<wire::HttpConnection>(
      loop_->base(), address->second, [this, id] { Lost(id); });
  slot.connection->Send(
      "POST", "/v1/open", "{}", Now() + kOpenTimeout,
      [this, id](const wire::HttpResult& result) { Opened(id, result); });
}

void DatabaseLink::Opened(ConnectionId id, const wire::HttpResult& result) {
  if (result.status != wire::CallStatus::kOk || result.code != kHttpOk) {
    Lost(id);
    return;
  }
  const auto slot = slots_.find(id);
  if (slot == slots_.end()) return;
  slot->second.opened = true;
  Emit(core::group::ConnectionOpened{id});
}

void DatabaseLink::Close(const core::group::CloseConnection& action) {
  const auto slot = slots_.find(action.connection);
  if (slot == slots_.end()) return;
  if (slot->second.connection) slot->second.connection->Close();
  Bury(action.connection);
}

void DatabaseLink::Execute(const core::group::Execute& action) {
  const ConnectionId id = action.connection;
  const auto slot = slots_.find(id);
  if (slot == slots_.end() || !slot->second.opened) return;
  slot->second.connection->Send(
      "POST", std::string(wire::PathOf(action.call)),
      wire::WriteExecuteCall(action.call), Now() + kExecuteBound,
      [this, id](const wire::HttpResult& result) { Executed(id, result); });
}

void DatabaseLink::Executed(ConnectionId id, const wire::HttpResult& result) {
  if (result.status != wire::CallStatus::kOk || result.code != kHttpOk) {
    Lost(id);
    return;
  }
  std::optional<core::ExecuteAnswer> answer =
      wire::ReadExecuteAnswer(result.body);
  if (!answer) {
    // An answer that cannot be read tells nothing about the statement, and
    // whatever follows on this connection could be the rest of it. Treated as
    // a lost connection, so it can't be taken for another request's answer.
    Lost(id);
    return;
  }
  Emit(core::group::ExecuteReturned{id, std::move(*answer)});
}

void DatabaseLink::Control(const core::group::Control& action) {
  const core::group::CallId call = action.call;
  const auto address = addresses_.find(action.database);
  std::weak_ptr<int> alive = alive_;
  if (address == addresses_.end()) {
    loop_->Post([this, alive, call] {
      if (!alive.expired()) {
        Emit(core::group::ControlReturned{call, std::monostate{}});
      }
    });
    return;
  }
  const core::ControlCall request = action.request;
  control_->Call(
      address->second, "POST", std::string(wire::PathOf(request)),
      wire::WriteControlCall(request), action.deadline,
      [this, alive, call, request](const wire::HttpResult& result) {
        if (alive.expired()) return;
        core::ControlAnswer answer;
        if (result.status == wire::CallStatus::kOk && result.code == kHttpOk) {
          answer = wire::ReadControlAnswer(request, result.body);
        }
        Emit(core::group::ControlReturned{call, std::move(answer)});
      });
}

void DatabaseLink::Lost(ConnectionId id) {
  if (slots_.find(id) == slots_.end()) return;
  Bury(id);
  Emit(core::group::ConnectionLost{id});
}

void DatabaseLink::Bury(ConnectionId id) {
  const auto slot = slots_.find(id);
  if (slot == slots_.end()) return;
  // The connection may be the one calling us; it is deleted by the loop later.
  if (slot->second.connection) {
    slot->second.connection->Close();
    std::shared_ptr<wire::HttpConnection> connection =
        std::move(slot->second.connection);
    loop_->Post([connection] {});
  }
  slots_.erase(slot);
}

void DatabaseLink::Emit(const core::group::Event& event) { sink_(event); }

}  // namespace ryefold::ryefoldd
