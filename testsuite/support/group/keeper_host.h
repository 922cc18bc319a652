#pragma once

// Runs one keeper in virtual time: passes its actions to the fake databases and
// their answers back, with delays, losses and faults of the keeper.

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "ryefold/core/group/keeper.h"
#include "testsuite/support/group/event_queue.h"
#include "testsuite/support/group/fake_database.h"

namespace ryefold::test {

namespace group = core::group;

struct NetworkShape {
  Duration one_way = std::chrono::microseconds(500);
  Duration connect_time = milliseconds(10);
  /// Probability that the answer to a call is lost and its connection reset.
  double lose_answer = 0;
  /// Probability that the answer to a call is delayed by `answer_delay`.
  double delay_answer = 0;
  Duration answer_delay = milliseconds(400);
};

class KeeperHost {
 public:
  using Respond = std::function<void(uint64_t, const core::StatementAnswer&)>;

  KeeperHost(int number, EventQueue* queue,
             std::map<std::string, std::unique_ptr<FakeDatabase>>* databases,
             NetworkShape network, uint64_t seed, Respond respond)
      : number_(number),
        queue_(queue),
        databases_(databases),
        network_(network),
        random_(seed),
        respond_(std::move(respond)) {}

  void Start(std::unique_ptr<group::Keeper> keeper) {
    keeper_ = std::move(keeper);
    Feed(group::Tick{});
  }

  void Feed(const group::Event& event) {
    if (keeper_ == nullptr) return;
    if (frozen_) {
      deferred_events_.push_back(event);
      return;
    }
    std::vector<group::Action> actions;
    keeper_->Handle(queue_->now(), event, &actions);
    for (const group::Action& action : actions) {
      std::visit([this](const auto& typed_action) { Perform(typed_action); },
                 action);
    }
    ScheduleTick();
  }

  void Freeze() { frozen_ = true; }
  void Thaw() {
    frozen_ = false;
    // A process that resumes receives its queued socket events and its expired
    // timers together.
    std::deque<group::Event> deferred = std::exchange(deferred_events_, {});
    for (const group::Event& event : deferred) Feed(event);
    Feed(group::Tick{});
  }
  void Kill() {
    keeper_.reset();
    for (const auto& [id, database] : connections_) SendClose(id, database);
    connections_.clear();
  }

  bool alive() const { return keeper_ != nullptr; }
  bool frozen() const { return frozen_; }
  bool idle() const { return keeper_ == nullptr || keeper_->HasSteppedDown(); }
  core::group::KeeperView view() const { return keeper_->view(queue_->now()); }
  NetworkShape& network() { return network_; }
  /// Additional delay, in each direction, per database.
  std::map<std::string, Duration> extra_delay;
  /// Databases with all packets dropped in both directions.
  std::set<std::string> cut;

  uint64_t control_calls = 0;
  uint64_t executes = 0;
  uint64_t opens = 0;
  std::map<std::string, uint64_t> promotions;

 private:
  void ScheduleTick() {
    const TimePoint at = keeper_->next_deadline();
    if (at == TimePoint::max() || at == tick_at_) return;
    tick_at_ = at;
    queue_->At(at, [this, at] {
      if (tick_at_ != at) return;
      tick_at_ = TimePoint{};
      Feed(group::Tick{});
    });
  }

  FakeDatabase& Database(const std::string& name) {
    return *databases_->at(name);
  }
  Duration Delay(const std::string& name) {
    const auto it = extra_delay.find(name);
    return network_.one_way +
           (it == extra_delay.end() ? Duration{0} : it->second);
  }
  bool Occurs(double probability) {
    return probability > 0 &&
           std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }

  void Perform(const group::Respond& action) {
    respond_(action.tag, action.answer);
  }

  void Perform(const group::OpenConnection& action) {
    ++opens;
    connections_[action.connection] = action.database;
    const Duration network_delay = Delay(action.database);
    queue_->After(network_delay, [this, action] {
      FakeDatabase& database = Database(action.database);
      if (cut.contains(action.database)) return;
      if (database.dead) {
        ResetConnection(action.connection, action.database);
        return;
      }
      database.Deliver([this, action] { Accept(action); });
    });
  }

  void Accept(const group::OpenConnection& action) {
    FakeDatabase& database = Database(action.database);
    if (!connections_.contains(action.connection)) return;
    if (!database.Open({number_, action.connection})) {
      ResetConnection(action.connection, action.database);
      return;
    }
    queue_->After(network_.connect_time + Delay(action.database),
                  [this, action] {
                    if (cut.contains(action.database)) return;
                    if (!connections_.contains(action.connection)) return;
                    Feed(group::ConnectionOpened{action.connection});
                  });
  }

  void Perform(const group::CloseConnection& action) {
    const auto it = connections_.find(action.connection);
    if (it == connections_.end()) return;
    SendClose(action.connection, it->second);
    connections_.erase(it);
  }

  void SendClose(uint64_t connection, const std::string& name) {
    queue_->After(Delay(name), [this, connection, name] {
      FakeDatabase& database = Database(name);
      database.Deliver([this, connection, &database] {
        database.Close({number_, connection});
      });
    });
  }

  void ResetConnection(uint64_t connection, const std::string& name) {
    queue_->After(Delay(name), [this, connection] {
      if (connections_.erase(connection) == 0) return;
      Feed(group::ConnectionLost{connection});
    });
  }

  void Perform(const group::Execute& action) {
    ++executes;
    const auto it = connections_.find(action.connection);
    if (it == connections_.end()) return;
    const std::string name = it->second;
    queue_->After(Delay(name), [this, action, name] {
      FakeDatabase& database = Database(name);
      if (database.dead) ResetConnection(action.connection, name);
      if (database.dead || cut.contains(name)) return;
      database.Deliver([this, action, name] { Run(action, name); });
    });
  }

  void Run(const group::Execute& action, const std::string& name) {
    Database(name).Execute(
        {number_, action.connection}, action.call,
        [this, action, name](const core::ExecuteAnswer& answer) {
          Duration delay = Delay(name);
          if (Occurs(network_.delay_answer)) delay += network_.answer_delay;
          if (Occurs(network_.lose_answer)) {
            ResetConnection(action.connection, name);
            return;
          }
          queue_->After(delay, [this, action, name, answer] {
            if (cut.contains(name)) return;
            if (Database(name).dead) return;
            if (!connections_.contains(action.connection)) return;
            Feed(group::ExecuteReturned{action.connection, answer});
          });
        });
  }

  void Perform(const group::Control& action) {
    ++control_calls;
    if (std::holds_alternative<core::PromoteCall>(action.request)) {
      ++promotions[action.database];
    }
    auto answered = std::make_shared<bool>(false);
    auto answer = [this, answered,
                   call = action.call](const core::ControlAnswer& result) {
      if (std::exchange(*answered, true)) return;
      Feed(group::ControlReturned{call, result});
    };
    auto& unanswered = unanswered_[action.database];
    std::erase_if(unanswered, [](const auto& call) { return *call.answered; });
    unanswered.push_back({answered, answer});
    queue_->At(action.deadline, [answer] { answer(std::monostate{}); });
    queue_->After(Delay(action.database), [this, action, answer] {
      FakeDatabase& database = Database(action.database);
      if (cut.contains(action.database)) return;
      if (database.dead) {
        queue_->After(Delay(action.database),
                      [answer] { answer(std::monostate{}); });
        return;
      }
      database.Deliver([this, action, answer] { RunControl(action, answer); });
    });
  }

  void RunControl(
      const group::Control& action,
      const std::function<void(const core::ControlAnswer&)>& answer) {
    const std::string& name = action.database;
    Database(name).Control(
        action.request,
        [this, name, answer](const core::ControlAnswer& control_answer) {
          Duration delay = Delay(name);
          if (Occurs(network_.delay_answer)) delay += network_.answer_delay;
          const bool lost = Occurs(network_.lose_answer);
          queue_->After(delay, [this, name, answer, control_answer, lost] {
            if (cut.contains(name) || Database(name).dead) return;
            answer(lost ? core::ControlAnswer{} : control_answer);
          });
        });
  }

 public:
  /// Handles the death of a database process: its host resets all connections.
  void DatabaseDied(const std::string& name) {
    if (cut.contains(name)) return;
    std::vector<uint64_t> lost;
    for (const auto& [id, database] : connections_) {
      if (database == name) lost.push_back(id);
    }
    for (const uint64_t id : lost) ResetConnection(id, name);
    for (const UnansweredCall& call : std::exchange(unanswered_[name], {})) {
      if (*call.answered) continue;
      queue_->After(Delay(name),
                    [answer = call.answer] { answer(std::monostate{}); });
    }
  }

 private:
  struct UnansweredCall {
    std::shared_ptr<bool> answered;
    std::function<void(const core::ControlAnswer&)> answer;
  };

  int number_;
  EventQueue* queue_;
  std::map<std::string, std::unique_ptr<FakeDatabase>>* databases_;
  NetworkShape network_;
  std::mt19937_64 random_;
  Respond respond_;
  std::unique_ptr<group::Keeper> keeper_;
  bool frozen_ = false;
  std::deque<group::Event> deferred_events_;
  std::map<uint64_t, std::string> connections_;
  std::map<std::string, std::vector<UnansweredCall>> unanswered_;
  TimePoint tick_at_;
};

}  // namespace ryefold::test
