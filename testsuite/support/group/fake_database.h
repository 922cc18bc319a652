#pragma once

// One database of a fake group in virtual time: terms, log shipping and
// statements, as specified in docs/PROTOCOLS.md.

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "ryefold/core/messages.h"
#include "testsuite/support/group/event_queue.h"
#include "testsuite/support/group/fake_log.h"

namespace ryefold::test {

class FakeDatabase;

/// Returns another database of the group by name.
using PeerLookup = std::function<FakeDatabase*(const std::string&)>;

struct DatabaseShape {
  uint32_t slots = 3;
  uint32_t connection_limit = 20;
  Duration statement_time = std::chrono::microseconds(200);
  Duration peer_delay = std::chrono::microseconds(500);
  /// Additional delay of shipped log entries.
  Duration lag{0};
};

class FakeDatabase {
 public:
  using ConnectionKey = std::pair<int, uint64_t>;  // keeper, connection
  using ExecuteDone = std::function<void(const core::ExecuteAnswer&)>;
  using ControlDone = std::function<void(const core::ControlAnswer&)>;

  FakeDatabase(std::string name, EventQueue* queue, PeerLookup peers,
               DatabaseShape shape)
      : name_(std::move(name)),
        queue_(queue),
        peers_(std::move(peers)),
        shape_(shape) {}

  void StartWithPrimary(const std::string& primary) {
    adopted_term_ = 1;
    proposer_ = "settings";
    is_primary_ = primary == name_;
    following_ = is_primary_ ? "" : primary;
    log_.Append({1, EntryKind::kTermStart, "", {}});
    if (!is_primary_) Subscribe();
    Resubscribe();
  }

  // ---- faults ----
  bool dead = false;
  bool frozen = false;
  bool peers_cut = false;
  /// Additional time of each statement.
  Duration stall{0};

  void Kill() {
    dead = true;
    for (const auto& [name, follower] : followers_) {
      peers_(name)->BreakStream();
    }
    DiscardVolatileState();
  }
  void Revive() {
    dead = false;
    if (!is_primary_) Subscribe();
  }
  void Thaw() {
    frozen = false;
    while (!deferred_.empty() && !frozen) {
      auto run = std::move(deferred_.front());
      deferred_.pop_front();
      run();
    }
  }
  /// Runs `work` now, or after `Thaw` if the database is frozen.
  void Deliver(std::function<void()> work) {
    if (frozen) {
      deferred_.push_back(std::move(work));
    } else {
      work();
    }
  }

  // ---- calls; the caller simulates the network delay ----
  bool Open(ConnectionKey key) {
    if (connections_.size() >= shape_.connection_limit) return false;
    connections_[key];
    return true;
  }
  void Close(ConnectionKey key) { connections_.erase(key); }
  size_t connections() const { return connections_.size(); }

  void Execute(ConnectionKey key, const core::ExecuteCall& call,
               ExecuteDone done) {
    last_statement_at_ = queue_->now();
    waiting_.push_back({key, call, std::move(done)});
    StartWaiting();
  }

  void Control(const core::ControlCall& call, const ControlDone& done) {
    if (const auto* status = std::get_if<core::StatusCall>(&call)) {
      AnswerStatus(*status, done);
    } else if (const auto* adopt = std::get_if<core::AdoptCall>(&call)) {
      const bool accepted = Adopt(adopt->term, adopt->proposer);
      done(core::AdoptAnswer{accepted, status_now()});
    } else if (const auto* promote = std::get_if<core::PromoteCall>(&call)) {
      const bool accepted = Promote(*promote);
      done(core::RoleAnswer{accepted, status_now()});
    } else if (const auto* follow = std::get_if<core::FollowCall>(&call)) {
      const bool accepted = Follow(*follow);
      done(core::RoleAnswer{accepted, status_now()});
    } else if (const auto* settle = std::get_if<core::SettleCall>(&call)) {
      done(Settle(*settle));
    }
  }

  core::DatabaseStatus status_now() const {
    core::DatabaseStatus status;
    status.database = name_;
    status.role = is_primary_ ? core::DatabaseRole::kPrimary
                              : core::DatabaseRole::kReplica;
    status.adopted_term = adopted_term_;
    status.proposer = proposer_;
    status.last = log_.last();
    status.term_starts = log_.term_starts();
    return status;
  }

  const std::string& name() const { return name_; }
  const FakeLog& log() const { return log_; }
  bool is_primary() const { return is_primary_; }
  uint64_t adopted_term() const { return adopted_term_; }
  DatabaseShape& shape() { return shape_; }
  /// Arrival time of the last statement.
  TimePoint last_statement_at() const { return last_statement_at_; }

 private:
  struct Connection {
    bool open = false;
    std::vector<std::string> written;
  };
  struct Waiting {
    ConnectionKey key;
    core::ExecuteCall call;
    ExecuteDone done;
  };
  struct Follower {
    uint64_t stream = 0;
    size_t sent = 0;
  };
  struct Waiter {
    core::StatusCall known;
    ControlDone done;
  };

  static std::string Key(const std::string& workspace, const std::string& id) {
    return workspace + "/" + id;
  }

  // ---- statements ----
  void StartWaiting() {
    while (running_ < shape_.slots && !waiting_.empty()) {
      Waiting next = std::move(waiting_.front());
      waiting_.pop_front();
      ++running_;
      const std::string key = Key(next.call.workspace, next.call.request_id);
      in_progress_.insert(key);
      const uint64_t epoch = epoch_;
      queue_->After(shape_.statement_time + stall, [this, next, key, epoch] {
        Deliver([this, next, key, epoch] {
          if (epoch != epoch_) return;
          --running_;
          in_progress_.erase(in_progress_.find(key));
          if (connections_.contains(next.key)) next.done(Evaluate(next));
          StartWaiting();
        });
      });
    }
  }

  core::ExecuteAnswer Refuse(core::ExecuteStatus status) const {
    core::ExecuteAnswer answer;
    answer.status = status;
    answer.adopted_term = adopted_term_;
    return answer;
  }

  core::ExecuteAnswer Evaluate(const Waiting& waiting) {
    const core::ExecuteCall& call = waiting.call;
    Connection& connection = connections_[waiting.key];
    if (call.term < adopted_term_) {
      connection = {};
      return Refuse(core::ExecuteStatus::kStaleTerm);
    }
    const bool read = call.step == core::Step::kStatement &&
                      call.kind == core::StatementKind::kRead;
    const bool writes = !read || connection.open;
    if (writes && (!is_primary_ || call.term != adopted_term_)) {
      return Refuse(core::ExecuteStatus::kNotPrimary);
    }
    core::ExecuteAnswer answer = Refuse(core::ExecuteStatus::kOk);
    answer.position = log_.last();
    answer.result_json = call.request_id;
    switch (call.step) {
      case core::Step::kBegin:
        if (connection.open) return Refuse(core::ExecuteStatus::kBadCall);
        connection.open = true;
        return answer;
      case core::Step::kRollback:
        connection = {};
        return answer;
      case core::Step::kCommit:
        if (!connection.open) return Refuse(core::ExecuteStatus::kBadCall);
        // The text of the commit identifies the entry for the checks.
        connection.written.push_back(call.sql);
        return RunWrite(call, std::exchange(connection, {}).written);
      case core::Step::kStatement:
        break;
    }
    if (read) {
      answer.result_json += log_.Contains(call.sql) ? " yes" : " no";
      return answer;
    }
    if (connection.open) {
      connection.written.push_back(call.sql);
      return answer;
    }
    return RunWrite(call, {call.sql});
  }

  core::ExecuteAnswer RunWrite(const core::ExecuteCall& call,
                               std::vector<std::string> values) {
    const std::string key = Key(call.workspace, call.request_id);
    if (call.record) {
      if (const auto found = log_.Find(key)) {
        if (log_.entries()[*found].kind == EntryKind::kFence) {
          return Refuse(core::ExecuteStatus::kFenced);
        }
        core::ExecuteAnswer answer = Refuse(core::ExecuteStatus::kOk);
        answer.from_record = true;
        answer.position = log_.PositionOf(*found);
        answer.result_json = call.request_id;
        return answer;
      }
    }
    core::ExecuteAnswer answer = Refuse(core::ExecuteStatus::kOk);
    answer.result_json = call.request_id;
    answer.position = Append({adopted_term_, EntryKind::kWrite,
                              call.record ? key : "", std::move(values)});
    return answer;
  }

  core::SettleAnswer Settle(const core::SettleCall& call) {
    core::SettleAnswer answer;
    answer.status = core::SettleStatus::kStaleTerm;
    if (call.term < adopted_term_) return answer;
    answer.status = core::SettleStatus::kNotPrimary;
    if (!is_primary_ || call.term != adopted_term_) return answer;
    const std::string key = Key(call.workspace, call.request_id);
    if (const auto found = log_.Find(key)) {
      const bool fence = log_.entries()[*found].kind == EntryKind::kFence;
      answer.status =
          fence ? core::SettleStatus::kFenced : core::SettleStatus::kDone;
      answer.position = log_.PositionOf(*found);
      answer.result_json = call.request_id;
      return answer;
    }
    answer.status = core::SettleStatus::kInProgress;
    if (in_progress_.contains(key)) return answer;
    answer.status = core::SettleStatus::kFenced;
    answer.position = Append({adopted_term_, EntryKind::kFence, key, {}});
    return answer;
  }

  // ---- terms ----
  bool Adopt(uint64_t term, const std::string& proposer) {
    if (term == adopted_term_ && proposer == proposer_) return true;
    if (term <= adopted_term_) return false;
    adopted_term_ = term;
    proposer_ = proposer;
    is_primary_ = false;
    following_.clear();
    ++stream_;
    WakeWaiters();
    return true;
  }

  bool Promote(const core::PromoteCall& call) {
    if (call.term != adopted_term_ || call.proposer != proposer_) return false;
    if (is_primary_) return true;
    is_primary_ = true;
    following_.clear();
    ++stream_;
    Append({adopted_term_, EntryKind::kTermStart, "", {}});
    return true;
  }

  bool Follow(const core::FollowCall& call) {
    if (call.term < adopted_term_) return false;
    if (call.term == adopted_term_ && call.proposer != proposer_) return false;
    if (call.term > adopted_term_) Adopt(call.term, call.proposer);
    if (is_primary_ && call.primary != name_) return false;
    if (following_ == call.primary) return true;
    following_ = call.primary;
    Subscribe();
    return true;
  }

  // ---- log shipping ----
  core::LogPosition Append(LogEntry entry) {
    const core::LogPosition position = log_.Append(std::move(entry));
    for (auto& [name, follower] : followers_) Ship(name, &follower);
    WakeWaiters();
    return position;
  }

  void Resubscribe() {
    queue_->After(milliseconds(100), [this] {
      // A new stream may still be in flight.
      const TimePoint due = subscribed_at_ + 2 * shape_.peer_delay +
                            shape_.lag + milliseconds(50);
      const bool stream_pending = stream_live_ || queue_->now() < due;
      if (!following_.empty() && !stream_pending) Subscribe();
      Resubscribe();
    });
  }

  void Subscribe() {
    if (dead || frozen || following_.empty()) return;
    const uint64_t stream = ++stream_;
    stream_live_ = false;
    subscribed_at_ = queue_->now();
    FakeDatabase* primary = peers_(following_);
    if (primary == nullptr || !LinkedTo(*primary)) return;
    queue_->After(shape_.peer_delay,
                  [this, primary, stream, term = adopted_term_] {
                    primary->Subscribed(name_, stream, term);
                  });
  }

  /// Entries in flight on a broken stream never arrive.
  void BreakStream() {
    ++stream_;
    stream_live_ = false;
  }

  bool LinkedTo(const FakeDatabase& other) const {
    return !dead && !other.dead && !peers_cut && !other.peers_cut;
  }

  void Subscribed(const std::string& follower, uint64_t stream, uint64_t term) {
    Deliver([this, follower, stream, term] {
      if (dead || !is_primary_ || term != adopted_term_) return;
      Follower& entry = followers_[follower];
      entry = {stream, 0};
      Ship(follower, &entry);
    });
  }

  /// Sends the entries that the stream has not sent yet. A new stream starts
  /// with the whole log; the follower keeps the common prefix.
  void Ship(const std::string& name, Follower* follower) {
    FakeDatabase* replica = peers_(name);
    if (replica == nullptr || !LinkedTo(*replica)) {
      if (replica != nullptr) replica->BreakStream();
      return;
    }
    const size_t from = follower->sent;
    auto tail = std::make_shared<std::vector<LogEntry>>(log_.Tail(from));
    follower->sent = log_.entries().size();
    queue_->After(shape_.peer_delay + replica->shape_.lag,
                  [this, replica, from, tail, stream = follower->stream,
                   term = adopted_term_, epoch = epoch_] {
                    // Entries in flight when the link broke are lost.
                    if (epoch != epoch_ || !LinkedTo(*replica)) {
                      replica->BreakStream();
                      return;
                    }
                    replica->Deliver([replica, stream, term, from, tail] {
                      replica->Shipped(stream, term, from, *tail);
                    });
                  });
  }

  void Shipped(uint64_t stream, uint64_t term, size_t from,
               const std::vector<LogEntry>& tail) {
    if (dead || stream != stream_ || term < adopted_term_) return;
    // Part of the stream was lost; a new stream is needed.
    if (from > log_.entries().size()) {
      BreakStream();
      return;
    }
    stream_live_ = true;
    const size_t common = log_.CommonWith(from, tail);
    if (common == from + tail.size()) return;
    if (common < log_.entries().size()) log_.Truncate(common);
    for (size_t i = common - from; i < tail.size(); ++i) log_.Append(tail[i]);
    WakeWaiters();
  }

  // ---- statuses ----
  void AnswerStatus(const core::StatusCall& call, const ControlDone& done) {
    if (Differs(call) || call.wait == milliseconds(0)) {
      done(status_now());
      return;
    }
    const uint64_t id = next_waiter_++;
    waiters_[id] = {call, done};
    const uint64_t epoch = epoch_;
    queue_->After(call.wait, [this, id, epoch] {
      Deliver([this, id, epoch] {
        if (epoch == epoch_) AnswerWaiter(id);
      });
    });
  }

  bool Differs(const core::StatusCall& call) const {
    return call.known_term != adopted_term_ || call.known_last != log_.last();
  }

  void AnswerWaiter(uint64_t id) {
    const auto it = waiters_.find(id);
    if (it == waiters_.end()) return;
    const ControlDone done = it->second.done;
    waiters_.erase(it);
    done(status_now());
  }

  void WakeWaiters() {
    std::vector<uint64_t> due;
    for (const auto& [id, waiter] : waiters_) {
      if (Differs(waiter.known)) due.push_back(id);
    }
    for (const uint64_t id : due) AnswerWaiter(id);
  }

  /// Discards the state that a process loses when it dies.
  void DiscardVolatileState() {
    ++epoch_;
    ++stream_;
    stream_live_ = false;
    running_ = 0;
    connections_.clear();
    waiting_.clear();
    in_progress_.clear();
    waiters_.clear();
    followers_.clear();
    deferred_.clear();
    frozen = false;
  }

  std::string name_;
  EventQueue* queue_;
  PeerLookup peers_;
  DatabaseShape shape_;

  FakeLog log_;
  uint64_t adopted_term_ = 0;
  std::string proposer_;
  bool is_primary_ = false;
  std::string following_;
  std::map<std::string, Follower> followers_;
  uint64_t stream_ = 0;
  bool stream_live_ = false;
  TimePoint subscribed_at_;

  std::map<ConnectionKey, Connection> connections_;
  std::deque<Waiting> waiting_;
  std::multiset<std::string> in_progress_;
  uint32_t running_ = 0;
  std::map<uint64_t, Waiter> waiters_;
  uint64_t next_waiter_ = 0;
  std::deque<std::function<void()>> deferred_;
  uint64_t epoch_ = 0;
  TimePoint last_statement_at_;
};

}  // namespace ryefold::test
