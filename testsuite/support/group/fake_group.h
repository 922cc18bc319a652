#pragma once

// A database group with keepers and clients, and a check of the clients'
// answers against the logs of the databases.

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "testsuite/support/group/keeper_host.h"

namespace ryefold::test {

struct GroupShape {
  DatabaseShape database;
  NetworkShape network;
  core::group::KeeperTiming timing;
  core::GroupSpec spec;
  std::vector<core::WorkspacePolicy> workspaces;
};

/// Returns the shape of a deployment with this one-way delay between failure
/// domains and this time to open a connection.
inline GroupShape ShapeOf(Duration one_way, milliseconds connect_time,
                          uint32_t connection_limit = 20) {
  GroupShape shape;
  shape.database.peer_delay = one_way;
  shape.database.connection_limit = connection_limit;
  shape.network.one_way = one_way;
  shape.network.connect_time = connect_time;
  shape.spec.group = "passports";
  shape.spec.connection_limit = connection_limit;
  shape.spec.connect_time = connect_time;
  for (const char* name : {"a", "b", "c"}) {
    core::DatabaseSpec database;
    database.database = name;
    database.failure_domain = name;
    shape.spec.databases.push_back(database);
  }
  core::WorkspacePolicy gate;
  gate.workspace = "gate";
  gate.connection_share = 14;
  shape.workspaces.push_back(gate);
  return shape;
}
inline GroupShape Tamworth() {
  return ShapeOf(std::chrono::microseconds(500), milliseconds(10), 20);
}
inline GroupShape Zendmast() {
  return ShapeOf(milliseconds(1), milliseconds(30), 40);
}

/// One request as seen by its caller.
struct SentRequest {
  core::StatementRequest request;
  TimePoint at;
  std::optional<core::StatementAnswer> answer;
  TimePoint answered_at;
  int answers = 0;
  int keeper = 0;
  /// The caller sent this id before and its outcome is unknown to it.
  bool repeat = false;
};

class FakeGroup {
 public:
  using Then = std::function<void(const core::StatementAnswer&)>;

  FakeGroup(GroupShape shape, uint64_t seed)
      : shape_(std::move(shape)), random_(seed) {
    for (const auto& spec : shape_.spec.databases) {
      databases_[spec.database] = std::make_unique<FakeDatabase>(
          spec.database, &queue_,
          [this](const std::string& name) { return databases_[name].get(); },
          shape_.database);
    }
    for (auto& [name, database] : databases_) {
      database->StartWithPrimary(shape_.spec.databases.front().database);
    }
  }

  /// Starts a keeper and returns its number.
  int AddKeeper() {
    const int number = static_cast<int>(hosts_.size());
    hosts_.push_back(std::make_unique<KeeperHost>(
        number, &queue_, &databases_, shape_.network, random_(),
        [this](uint64_t tag, const core::StatementAnswer& answer) {
          RecordAnswer(tag, answer);
        }));
    hosts_.back()->Start(std::make_unique<core::group::Keeper>(
        shape_.spec, shape_.workspaces, "instance" + std::to_string(number),
        "b", shape_.timing, random_()));
    return number;
  }

  /// Sends a request through a keeper and returns its tag; `then` is called
  /// with the answer.
  uint64_t Send(int keeper, const core::StatementRequest& request,
                Then then = {}, bool repeat = false) {
    const uint64_t tag = next_tag_++;
    SentRequest& sent = sent_[tag];
    sent.request = request;
    sent.at = queue_.now();
    sent.keeper = keeper;
    sent.repeat = repeat;
    then_[tag] = std::move(then);
    hosts_[keeper]->Feed(core::group::RequestArrived{tag, request});
    return tag;
  }
  uint64_t Settle(int keeper, const std::string& id, milliseconds within) {
    const uint64_t tag = next_tag_++;
    SentRequest& sent = sent_[tag];
    sent.repeat = true;
    sent.request.request_id = id;
    sent.request.kind = core::StatementKind::kWrite;
    sent.request.sql = id;
    sent.request.deadline = queue_.now() + within;
    sent.at = queue_.now();
    sent.keeper = keeper;
    core::SettleRequest settle{id, "passports", "gate", sent.request.deadline};
    hosts_[keeper]->Feed(core::group::SettleArrived{tag, settle});
    return tag;
  }

  core::StatementRequest Write(milliseconds within, bool repeatable = false) {
    core::StatementRequest request;
    request.request_id = "w" + std::to_string(next_id_++);
    request.group = "passports";
    request.workspace = "gate";
    request.kind = core::StatementKind::kWrite;
    request.repeatable = repeatable;
    request.sql = request.request_id;
    request.deadline = queue_.now() + within;
    return request;
  }
  /// Returns a read that checks whether `value` was written.
  core::StatementRequest Read(const std::string& value, milliseconds within,
                              core::LogPosition seen, milliseconds max_age) {
    core::StatementRequest request = Write(within);
    request.request_id = "r" + request.request_id;
    request.kind = core::StatementKind::kRead;
    request.sql = value;
    request.seen = seen;
    request.max_age = max_age;
    return request;
  }

  void Kill(const std::string& name) {
    databases_[name]->Kill();
    for (const auto& host : hosts_) host->DatabaseDied(name);
  }
  void Policy(const std::string& leaving) {
    for (auto& spec : shape_.spec.databases) {
      spec.leaving = spec.database == leaving;
    }
    for (const auto& host : hosts_) {
      host->Feed(core::group::PolicyChanged{shape_.spec, shape_.workspaces});
    }
  }

  FakeDatabase& operator[](const std::string& name) {
    return *databases_.at(name);
  }
  KeeperHost& keeper(int number) { return *hosts_.at(number); }
  size_t keepers() const { return hosts_.size(); }
  EventQueue& time() { return queue_; }
  const std::map<uint64_t, SentRequest>& sent() const { return sent_; }
  const SentRequest& sent(uint64_t tag) const { return sent_.at(tag); }
  std::mt19937_64& random() { return random_; }
  GroupShape& shape() { return shape_; }
  std::map<std::string, std::unique_ptr<FakeDatabase>>& databases() {
    return databases_;
  }

  /// Returns the primary of the highest term; null if there is none.
  FakeDatabase* primary() {
    FakeDatabase* best = nullptr;
    for (auto& [name, database] : databases_) {
      if (!database->is_primary() || database->dead) continue;
      if (best == nullptr || database->adopted_term() > best->adopted_term()) {
        best = database.get();
      }
    }
    return best;
  }

  /// Ends all faults, runs the group until it is idle, and returns the
  /// violations found.
  std::vector<std::string> HealAndCheck() {
    Heal();
    queue_.RunFor(std::chrono::seconds(20));
    return Check();
  }

  void Heal() {
    for (auto& [name, database] : databases_) {
      if (database->frozen) database->Thaw();
      if (database->dead) database->Revive();
      database->peers_cut = false;
      database->stall = Duration{0};
      database->shape().lag = Duration{0};
    }
    bool alive = false;
    for (const auto& host : hosts_) {
      host->cut.clear();
      host->extra_delay.clear();
      host->network().lose_answer = 0;
      host->network().delay_answer = 0;
      if (host->frozen()) host->Thaw();
      alive = alive || (host->alive() && !host->idle());
    }
    if (!alive) AddKeeper();
  }

  std::vector<std::string> Check() {
    std::vector<std::string> errors;
    FakeDatabase* final = primary();
    if (final == nullptr) return {"the group has no primary after recovery"};
    for (auto& [name, database] : databases_) {
      if (database->log().last() != final->log().last()) {
        errors.push_back("log of " + name +
                         " differs from that of the primary after recovery");
      }
    }
    for (const auto& [tag, sent] : sent_) CheckOne(*final, sent, &errors);
    for (std::string& text : answer_errors_) errors.push_back(std::move(text));
    return errors;
  }

 private:
  void CheckOne(const FakeDatabase& final, const SentRequest& sent,
                std::vector<std::string>* errors) {
    const core::StatementRequest& request = sent.request;
    const std::string& id = request.request_id;
    const bool keeper_dead = !hosts_[sent.keeper]->alive();
    if (sent.answers > 1) errors->push_back(id + " was answered twice");
    if (!sent.answer) {
      if (!keeper_dead) errors->push_back(id + " was never answered");
      return;
    }
    const core::StatementAnswer& answer = *sent.answer;
    const bool write = request.kind == core::StatementKind::kWrite &&
                       request.step == core::Step::kStatement &&
                       request.transaction.empty();
    const bool commit = request.step == core::Step::kCommit;
    const int count = final.log().CountOf(request.sql);
    if (write && count > 1) errors->push_back(id + " was written twice");
    if (!write && !commit) return;
    if (answer.kind() == core::OutcomeKind::kDone && count != 1) {
      errors->push_back(id + " was answered done but written " +
                        std::to_string(count) + " times");
    }
    // The refusal of a repeat that was never sent does not cover the first
    // attempt; a fence covers the id.
    const bool fenced = answer.reason() == core::Reason::kFenced ||
                        answer.reason() == core::Reason::kDiscarded;
    const bool speaks_for_id = fenced || !sent.repeat;
    if (answer.kind() == core::OutcomeKind::kNotRun && speaks_for_id &&
        count != 0) {
      errors->push_back(id + " was answered not run but written");
    }
  }

  void RecordAnswer(uint64_t tag, const core::StatementAnswer& answer) {
    SentRequest& sent = sent_.at(tag);
    ++sent.answers;
    sent.answer = answer;
    sent.answered_at = queue_.now();
    const std::string& id = sent.request.request_id;
    if (queue_.now() > sent.request.deadline && !hosts_.empty() &&
        !frozen_keepers_.contains(sent.keeper)) {
      answer_errors_.push_back(id + " was answered after its deadline");
    }
    if (answer.kind() == core::OutcomeKind::kDone &&
        !answer.result_json().starts_with(id)) {
      answer_errors_.push_back(id + " received the answer " +
                               answer.result_json());
    }
    const auto then = then_.find(tag);
    if (then == then_.end()) return;
    const Then run = std::move(then->second);
    then_.erase(then);
    if (run) run(answer);
  }

 public:
  /// Freezes a keeper. Late answers of a keeper that was frozen are not counted
  /// as violations.
  void FreezeKeeper(int number) {
    hosts_[number]->Freeze();
    frozen_keepers_.insert(number);
  }

 private:
  GroupShape shape_;
  std::mt19937_64 random_;
  EventQueue queue_;
  std::map<std::string, std::unique_ptr<FakeDatabase>> databases_;
  std::vector<std::unique_ptr<KeeperHost>> hosts_;
  std::map<uint64_t, SentRequest> sent_;
  std::map<uint64_t, Then> then_;
  std::set<int> frozen_keepers_;
  std::vector<std::string> answer_errors_;
  uint64_t next_tag_ = 1;
  uint64_t next_id_ = 1;
};

}  // namespace ryefold::test
