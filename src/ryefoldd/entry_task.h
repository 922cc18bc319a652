#pragma once

// The entry task: callers' and operators' port, and the decisions about where
// a request goes.

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "ryefold/core/entry/forwarder.h"
#include "ryefold/core/session/token.h"
#include "ryefold/task/deadline_timer.h"
#include "ryefold/task/supervisor.h"
#include "ryefold/wire/http.h"
#include "ryefold/wire/peer.h"
#include "ryefoldd/access.h"
#include "ryefoldd/messages.h"

namespace ryefold::ryefoldd {

class EntryTask : public task::Task {
 public:
  explicit EntryTask(Wiring* wiring);
  ~EntryTask() override;

  void Start(task::Loop* loop) override;
  void Stop() override;

 private:
  /// A caller waiting for its answer.
  struct Waiting {
    wire::HttpExchange exchange;
    std::string group;
    std::string workspace;
    std::string request_id;
    core::session::Token token;
    uint32_t priority = 0;
    core::TimePoint arrived;
  };

  struct RankedEntry {
    std::vector<std::string> instances;
    core::TimePoint fresh_until;
  };

  void OnMessage(EntryMessage message);
  void OnRequest(const wire::HttpExchange& exchange);
  void OnStatement(const wire::HttpExchange& exchange, core::Step step);
  void OnAdmin(const wire::HttpExchange& exchange);
  void OnAdminAnswer(const AdminAnswered& answer);
  void OnReady(const wire::HttpExchange& exchange) const;
  void OnMetrics(const wire::HttpExchange& exchange) const;
  void Reject(const wire::HttpExchange& exchange, int status,
              const std::string& error) const;
  void Reject(const wire::HttpExchange& exchange, int status,
              const std::string& error, const wire::Findings& findings) const;

  void Drive(core::entry::Event event);
  void Perform(const core::entry::Action& action);
  void Respond(const core::entry::Respond& action);
  void Forward(const core::entry::Forward& action);
  void Settle(const core::entry::Settle& action);
  void Probe(const core::entry::Probe& action);
  void CallPeer(uint64_t call, const std::string& instance,
                std::string_view path, std::string body,
                core::TimePoint deadline);
  void OnPeerResult(uint64_t call, const wire::PeerResult& result);
  /// Passes a call to the keeper task of this same instance.
  void CallLocal(uint64_t call, KeeperMessage message);
  void LocalTaskFailed();
  wire::PeerClient* PeerFor(const std::string& instance);
  std::vector<std::string> Ranked(core::TimePoint now,
                                  const std::string& group);
  void Sweep();

  Wiring* wiring_;
  task::Loop* loop_ = nullptr;
  CatalogPtr catalog_;
  RosterPtr roster_;
  std::unordered_map<std::string, RankedEntry> ranked_;
  bool ready_ = false;
  bool draining_ = false;
  Access access_;
  std::unique_ptr<wire::HttpServer> server_;
  std::unordered_map<std::string, std::unique_ptr<wire::PeerClient>> peers_;
  std::unordered_map<std::string, std::string> peer_addresses_;
  std::unordered_map<uint64_t, Waiting> waiting_;
  std::unordered_map<uint64_t, bool> local_calls_;
  std::unordered_map<uint64_t, wire::HttpExchange> admin_;
  uint64_t next_tag_ = 1;
  std::string id_prefix_;
  std::deque<core::entry::Event> events_;
  bool driving_ = false;
  std::unique_ptr<task::DeadlineTimer> timer_;
  std::unique_ptr<core::entry::Forwarder> forwarder_;
};

}  // namespace ryefold::ryefoldd
