#pragma once

// A run of a group under random faults and a mixed load of sessions.

#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "testsuite/support/group/fake_group.h"

namespace ryefold::test {

enum class FaultKind : int {
  kKill,
  kFreeze,
  kCutPeers,
  kCutFromKeepers,
  kDelay,
  kLag,
  kStall,
  kLoseAnswers,
  kLateAnswers,
  kFreezeKeeper,
  kKillKeeper,
  kAddKeeper,
  kStepDown,
  kLeaving,
  kCount,
};

struct Fault {
  FaultKind kind = FaultKind::kKill;
  int which = 0;
  int at_ms = 0;
  int for_ms = 0;
};

inline std::ostream& operator<<(std::ostream& out, const Fault& fault) {
  return out << "{kind " << static_cast<int>(fault.kind) << ", which "
             << fault.which << ", at " << fault.at_ms << ", for "
             << fault.for_ms << "}";
}

class RandomRun {
 public:
  RandomRun(GroupShape shape, uint64_t seed) : group_(std::move(shape), seed) {
    group_.AddKeeper();
    group_.time().RunFor(milliseconds(300));
  }

  /// Runs the faults along with the load and returns the violations.
  std::vector<std::string> Run(const std::vector<Fault>& faults) {
    for (int i = 0; i < kSessions; ++i) {
      sessions_.push_back(std::make_unique<Session>());
      RunNext(sessions_.back().get());
    }
    for (const Fault& fault : faults) {
      group_.time().After(milliseconds(fault.at_ms),
                          [this, fault] { InjectFault(fault); });
    }
    group_.time().RunFor(kLoadTime);
    stopped_ = true;
    group_.time().RunFor(std::chrono::seconds(5));
    std::vector<std::string> errors = group_.HealAndCheck();
    for (std::string& text : errors_) errors.push_back(std::move(text));
    return errors;
  }

  FakeGroup& group() { return group_; }

 private:
  static constexpr int kSessions = 6;
  static constexpr std::chrono::seconds kLoadTime{8};
  struct Session {
    core::LogPosition seen;
    std::string last_done;
  };

  int RandomBelow(int limit) {
    return static_cast<int>(group_.random()() % static_cast<uint64_t>(limit));
  }

  /// Returns the number of a random live keeper, -1 if there is none.
  int PickKeeper() {
    std::vector<int> alive;
    for (size_t i = 0; i < group_.keepers(); ++i) {
      if (group_.keeper(static_cast<int>(i)).alive()) {
        alive.push_back(static_cast<int>(i));
      }
    }
    return alive.empty() ? -1
                         : alive[RandomBelow(static_cast<int>(alive.size()))];
  }

  void ScheduleNext(Session* session) {
    group_.time().After(milliseconds(1 + RandomBelow(30)),
                        [this, session] { RunNext(session); });
  }

  void RunNext(Session* session) {
    if (stopped_) return;
    const int keeper = PickKeeper();
    if (keeper < 0) {
      ScheduleNext(session);
      return;
    }
    const int choice = RandomBelow(10);
    if (choice < 4) {
      SendWrite(keeper, session);
    } else if (choice < 9) {
      SendRead(keeper, session);
    } else {
      BeginTransaction(keeper, session);
    }
  }

  milliseconds RandomTimeout() { return milliseconds(150 + RandomBelow(1500)); }

  void SendWrite(int keeper, Session* session) {
    const auto request = group_.Write(RandomTimeout(), RandomBelow(2) == 0);
    group_.Send(keeper, request,
                [this, session, request](const core::StatementAnswer& answer) {
                  WriteAnswered(session, request, answer);
                });
  }

  void WriteAnswered(Session* session, core::StatementRequest request,
                     const core::StatementAnswer& answer) {
    if (answer.kind() == core::OutcomeKind::kDone) {
      session->seen = std::max(session->seen, answer.seen());
      session->last_done = request.sql;
    }
    const int keeper = PickKeeper();
    if (answer.kind() != core::OutcomeKind::kUnknown || keeper < 0 ||
        stopped_) {
      ScheduleNext(session);
      return;
    }
    // The outcome is unknown to the caller: it settles the request or repeats
    // it.
    if (RandomBelow(3) == 0) {
      group_.Settle(keeper, request.request_id, RandomTimeout());
      ScheduleNext(session);
      return;
    }
    request.deadline = group_.time().now() + RandomTimeout();
    auto then = [this, session, request](const core::StatementAnswer& again) {
      WriteAnswered(session, request, again);
    };
    group_.Send(keeper, request, then, /*repeat=*/true);
  }

  void SendRead(int keeper, Session* session) {
    constexpr int kAges[] = {0, 100, 5000};
    const std::string value = session->last_done;
    const auto request = group_.Read(value, RandomTimeout(), session->seen,
                                     milliseconds(kAges[RandomBelow(3)]));
    group_.Send(
        keeper, request,
        [this, session, value](const core::StatementAnswer& answer) {
          if (answer.kind() == core::OutcomeKind::kDone) {
            if (!value.empty() && !answer.result_json().ends_with(" yes")) {
              errors_.push_back("a read by " + answer.database() +
                                " missed its session's write " + value);
            }
            session->seen = std::max(session->seen, answer.seen());
          }
          ScheduleNext(session);
        });
  }

  // ---- transactions: begin, one write, commit or rollback ----
  void BeginTransaction(int keeper, Session* session) {
    auto request = group_.Write(RandomTimeout());
    request.step = core::Step::kBegin;
    group_.Send(keeper, request,
                [this, keeper, session](const core::StatementAnswer& answer) {
                  const bool open = answer.kind() == core::OutcomeKind::kDone;
                  if (!open || !group_.keeper(keeper).alive()) {
                    ScheduleNext(session);
                    return;
                  }
                  InTransaction(keeper, session, answer.transaction());
                });
  }

  void InTransaction(int keeper, Session* session, const std::string& id) {
    auto request = group_.Write(RandomTimeout());
    request.transaction = id;
    const std::string value = request.sql;
    group_.Send(keeper, request,
                [this, keeper, session, id,
                 value](const core::StatementAnswer& answer) {
                  const bool write_done =
                      answer.kind() == core::OutcomeKind::kDone;
                  group_.time().After(
                      milliseconds(1 + RandomBelow(20)),
                      [this, keeper, session, id, value, write_done] {
                        EndTransaction(keeper, session, id, value, write_done);
                      });
                });
  }

  void EndTransaction(int keeper, Session* session, const std::string& id,
                      const std::string& value, bool write_done) {
    if (!group_.keeper(keeper).alive()) {
      ScheduleNext(session);
      return;
    }
    auto request = group_.Write(RandomTimeout());
    request.step = write_done && RandomBelow(4) > 0 ? core::Step::kCommit
                                                    : core::Step::kRollback;
    request.transaction = id;
    const bool commits = request.step == core::Step::kCommit;
    group_.Send(
        keeper, request,
        [this, session, commits, value](const core::StatementAnswer& answer) {
          if (commits && answer.kind() == core::OutcomeKind::kDone) {
            session->seen = std::max(session->seen, answer.seen());
            session->last_done = value;
          }
          ScheduleNext(session);
        });
  }

  // ---- faults ----
  void ScheduleUndo(const Fault& fault, std::function<void()> undo) {
    group_.time().After(milliseconds(fault.for_ms), std::move(undo));
  }

  void InjectFault(const Fault& fault) {
    const std::string name(1, static_cast<char>('a' + fault.which % 3));
    FakeDatabase& database = group_[name];
    const int keeper = PickKeeper();
    switch (fault.kind) {
      case FaultKind::kKill:
        if (database.dead) return;
        group_.Kill(name);
        ScheduleUndo(fault, [&database] { database.Revive(); });
        return;
      case FaultKind::kFreeze:
        if (database.dead) return;
        database.frozen = true;
        ScheduleUndo(fault, [&database] {
          if (database.frozen) database.Thaw();
        });
        return;
      case FaultKind::kCutPeers:
        database.peers_cut = true;
        ScheduleUndo(fault, [&database] { database.peers_cut = false; });
        return;
      case FaultKind::kCutFromKeepers:
        for (size_t i = 0; i < group_.keepers(); ++i) {
          group_.keeper(static_cast<int>(i)).cut.insert(name);
        }
        ScheduleUndo(fault, [this, name] {
          for (size_t i = 0; i < group_.keepers(); ++i) {
            group_.keeper(static_cast<int>(i)).cut.erase(name);
          }
        });
        return;
      case FaultKind::kDelay:
        if (keeper < 0) return;
        group_.keeper(keeper).extra_delay[name] =
            milliseconds(fault.for_ms / 4);
        ScheduleUndo(fault, [this, keeper, name] {
          group_.keeper(keeper).extra_delay.erase(name);
        });
        return;
      case FaultKind::kLag:
        database.shape().lag = milliseconds(fault.for_ms / 4);
        return;
      case FaultKind::kStall:
        database.stall = milliseconds(fault.for_ms);
        ScheduleUndo(fault, [&database] { database.stall = Duration{0}; });
        return;
      case FaultKind::kLoseAnswers:
        if (keeper < 0) return;
        group_.keeper(keeper).network().lose_answer = 0.2;
        ScheduleUndo(fault, [this, keeper] {
          group_.keeper(keeper).network().lose_answer = 0;
        });
        return;
      case FaultKind::kLateAnswers:
        if (keeper < 0) return;
        group_.keeper(keeper).network().delay_answer = 0.2;
        ScheduleUndo(fault, [this, keeper] {
          group_.keeper(keeper).network().delay_answer = 0;
        });
        return;
      default:
        InjectKeeperFault(fault, keeper, name);
    }
  }

  void InjectKeeperFault(const Fault& fault, int keeper,
                         const std::string& name) {
    if (keeper < 0) return;
    switch (fault.kind) {
      case FaultKind::kFreezeKeeper:
        group_.FreezeKeeper(keeper);
        ScheduleUndo(fault, [this, keeper] { group_.keeper(keeper).Thaw(); });
        return;
      case FaultKind::kKillKeeper:
        group_.keeper(keeper).Kill();
        ScheduleUndo(fault, [this] { group_.AddKeeper(); });
        return;
      case FaultKind::kAddKeeper:
        if (group_.keepers() < 4) group_.AddKeeper();
        return;
      case FaultKind::kStepDown:
        group_.keeper(keeper).Feed(core::group::StepDown{});
        ScheduleUndo(fault, [this, keeper] {
          group_.keeper(keeper).Feed(core::group::StepUp{});
        });
        return;
      case FaultKind::kLeaving:
        group_.Policy(name);
        ScheduleUndo(fault, [this] { group_.Policy(""); });
        return;
      default:
        return;
    }
  }

  FakeGroup group_;
  bool stopped_ = false;
  std::vector<std::unique_ptr<Session>> sessions_;
  std::vector<std::string> errors_;
};

}  // namespace ryefold::test
