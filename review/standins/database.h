// Stand-in of a service: one primary and its replicas on the line protocol of
// PROTOCOL.md. A statement that holds a slot runs to its end, also when its
// connection closes meanwhile; one that waits for a slot is dropped then, and
// an open transaction is rolled back.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "loop.h"
#include "store.h"

namespace review {

/// A commit in the log.
struct Commit {
  uint64_t term = 0;
  uint64_t number = 0;
  /// Id of the single write, or of the COMMIT.
  std::string id;
  /// Item and data of each write.
  std::vector<std::pair<std::string, std::string>> writes;
  /// Ids of the writes.
  std::vector<std::string> write_ids;
  double committed_at = 0;
};

/// A statement that ran.
struct Run {
  double at = 0;
  std::string database;
  std::string id;
  std::string text;
  std::string outcome;
  /// Number of the newest commit in the log that a read ran on.
  uint64_t log_number = 0;
  std::map<std::string, std::string> values;
};

class Database;

struct Service {
  std::string name;
  std::vector<Database*> databases;
  double net_ms = 1;
};

struct DatabaseSettings {
  std::string id;
  std::string zone;
  bool primary = false;
  uint32_t slots = 3;
  uint32_t max_conns = 34;
  double connect_ms = 12;
  double work_ms = 11;
  double lag_ms = 60;
};

class Database {
 public:
  using Recorder = std::function<void(const Run&)>;
  /// Returns true if the statement is answered with FAILED and does not run.
  using Failing = std::function<bool(const std::string& id,
                                     const std::string& text)>;

  Database(Loop* loop, Store* store, Service* service,
           DatabaseSettings settings, Recorder recorder)
      : loop_(loop),
        store_(store),
        service_(service),
        settings_(std::move(settings)),
        recorder_(std::move(recorder)),
        primary_(settings_.primary) {
    service_->databases.push_back(this);
    port_ = loop_->Listen(0, [this](const ConnRef& conn) { Accept(conn); });
    Beat();
  }

  const std::string& id() const { return settings_.id; }
  void Drain() {
    draining_ = true;
    Report();
  }
  void Return() {
    draining_ = false;
    Report();
  }
  /// Makes this database the primary of the next term.
  void Lead() {
    uint64_t newest = 0;
    for (Database* each : service_->databases) newest = std::max(newest, each->term_);
    for (Database* each : service_->databases) {
      each->term_ = newest + 1;
      each->paused_term_ = 0;
      each->primary_ = each == this;
      if (each == this) {
        Apply(log_.size());
      } else {
        if (each->log_.size() > log_.size()) each->log_.resize(log_.size());
        each->applied_ = std::min(each->applied_, each->log_.size());
      }
      each->Report();
    }
  }
  bool primary() const { return primary_; }
  const std::vector<Commit>& log() const { return log_; }
  void set_lag_ms(double lag_ms) { settings_.lag_ms = lag_ms; }
  void set_work_ms(double work_ms) { settings_.work_ms = work_ms; }
  void set_failing(Failing failing) { failing_ = std::move(failing); }
  /// Decides, after a statement ran, whether its answer is lost. The connection
  /// returns nothing further then.
  void set_losing(Failing losing) { losing_ = std::move(losing); }
  uint64_t statements() const { return statements_; }

 private:
  struct Pending {
    std::string id;
    std::string text;
    bool since = false;
    uint64_t since_term = 0;
    uint64_t since_number = 0;
  };
  struct Session {
    ConnRef conn;
    bool started = false;
    bool busy = false;
    bool gone = false;
    /// An answer was lost: nothing further is returned.
    bool mute = false;
    std::deque<Pending> queue;
    char state = 'I';
    bool read_only = false;
    std::vector<std::pair<std::string, std::string>> writes;
    std::vector<std::string> write_ids;
    std::map<std::string, std::string> values;
    /// Mode and shape of each prepared name.
    std::map<std::string, std::pair<bool, std::string>> prepared;
  };
  using SessionRef = std::shared_ptr<Session>;

  static constexpr uint64_t kBaseNumber = 1200;

  void Beat() {
    Report();
    loop_->After(1200, [this] { Beat(); });
  }
  void Report() {
    ++sequence_;
    Json::Value entry;
    entry["service"] = service_->name;
    entry["address"] = "127.0.0.1:" + std::to_string(port_);
    entry["zone"] = settings_.zone;
    entry["version"] = "v1";
    entry["slots"] = settings_.slots;
    entry["state"] = draining_ ? "draining" : "ready";
    entry["cold_left_ms"] = 0;
    entry["db_role"] = primary_ ? "primary" : "replica";
    entry["sequence"] = sequence_;
    entry["born"] = Json::Int64(1700000000000);
    store_->Put("servers/" + settings_.id, ToText(entry));
  }

  // ---- log ----

  uint64_t AppliedNumber() const { return kBaseNumber + applied_; }
  std::string Position(size_t entries) const {
    const uint64_t term = entries == 0 ? term_ : log_[entries - 1].term;
    return std::to_string(term) + "." + std::to_string(kBaseNumber + entries);
  }

  void Append(Commit commit) {
    commit.committed_at = NowMs();
    log_.push_back(std::move(commit));
    Apply(log_.size());
    for (Database* each : service_->databases) {
      if (each == this) continue;
      loop_->After(service_->net_ms, [this, each] { each->Receive(log_); });
    }
  }
  void Receive(const std::vector<Commit>& log) {
    if (primary_ || paused_term_ != 0) return;
    for (size_t i = log_.size(); i < log.size(); ++i) log_.push_back(log[i]);
    const size_t received = log_.size();
    loop_->After(settings_.lag_ms, [this, received] {
      if (received > applied_) Apply(received);
    });
  }
  void Apply(size_t entries) {
    for (; applied_ < entries; ++applied_) {
      for (const auto& [item, data] : log_[applied_].writes) items_[item] = data;
    }
  }

  // ---- sessions ----

  void Accept(const ConnRef& conn) {
    auto session = std::make_shared<Session>();
    session->conn = conn;
    ++connections_;
    std::weak_ptr<Session> weak = session;
    sessions_.insert(session);
    conn->on_data = [this, weak](std::string* input) {
      const SessionRef held = weak.lock();
      std::string line;
      while (held != nullptr && !held->gone && TakeLine(input, &line)) {
        OnLine(held, line);
      }
    };
    conn->on_close = [this, weak] {
      if (const SessionRef held = weak.lock()) End(held);
    };
  }
  void End(const SessionRef& session) {
    if (session->gone) return;
    session->gone = true;
    session->queue.clear();
    session->conn->Close();
    --connections_;
    sessions_.erase(session);
  }

  void OnLine(const SessionRef& session, std::string line) {
    if (session->mute) return;
    const std::string verb = TakeField(&line);
    if (verb == "START") {
      const std::string service = TakeField(&line);
      TakeField(&line);  // who is connecting
      const bool right =
          service == service_->name && (line.empty() || line == settings_.id);
      if (!right || connections_ > settings_.max_conns) {
        session->conn->Send(right ? "ERROR MAXCONN\r\n" : "ERROR WRONGNODE\r\n");
        session->conn->CloseAfterFlush();
        End(session);
        return;
      }
      session->busy = true;
      WithSlot(session, settings_.connect_ms, [this, session](bool) {
        session->started = true;
        session->conn->Send("READY I " + Position(applied_) + "\r\n");
        Next(session);
      });
      return;
    }
    if (verb == "BYE") {
      End(session);
      return;
    }
    Pending pending;
    pending.id = TakeField(&line);
    if (line.rfind("SINCE ", 0) == 0) {
      TakeField(&line);
      const std::string position = TakeField(&line);
      pending.since = true;
      pending.since_term = std::stoull(position);
      pending.since_number = std::stoull(position.substr(position.find('.') + 1));
    }
    pending.text = line;
    session->queue.push_back(pending);
    if (!session->busy) Next(session);
  }

  void Next(const SessionRef& session) {
    session->busy = false;
    while (!session->busy && !session->gone && !session->queue.empty()) {
      const Pending pending = session->queue.front();
      session->queue.pop_front();
      ++statements_;
      Handle(session, pending);
    }
  }

  void Answer(const SessionRef& session, const std::string& result) {
    if (session->mute) return;
    session->conn->Send(result + "\r\nREADY " + std::string(1, session->state) +
                        " " + Position(applied_) + "\r\n");
  }
  std::string Digest() { return "7.1f3." + std::to_string(++digests_) + ".90e1"; }

  /// Runs `task` after `ms` on a slot; with false if the queue is full.
  void WithSlot(const SessionRef& session, double ms,
                std::function<void(bool)> task) {
    constexpr size_t kQueuedPerSlot = 8;
    if (waiting_.size() >= settings_.slots * kQueuedPerSlot) {
      task(false);
      return;
    }
    waiting_.push_back({session, ms, std::move(task)});
    Serve();
  }
  void Serve() {
    while (busy_slots_ < settings_.slots && !waiting_.empty()) {
      const Waiting next = waiting_.front();
      waiting_.pop_front();
      if (next.session->gone) continue;
      ++busy_slots_;
      loop_->After(next.ms, [this, next] {
        --busy_slots_;
        next.task(true);
        Serve();
      });
    }
  }

  bool Holds(const Pending& pending) const {
    if (!pending.since) return true;
    return AppliedNumber() >= pending.since_number;
  }

  void Note(const Session& session, const Pending& pending,
            const std::string& outcome) {
    recorder_({NowMs(), settings_.id, pending.id, pending.text, outcome,
               AppliedNumber(), session.values});
  }

  /// An error ends a transaction.
  void Refuse(const SessionRef& session, const Pending& pending,
              const std::string& code, bool fails_transaction) {
    if (fails_transaction && session->state == 'T') session->state = 'E';
    if (pending.id != "-") Note(*session, pending, code);
    Answer(session, "ERROR " + code + " " + settings_.id);
  }

  void Handle(const SessionRef& session, const Pending& pending) {
    std::string rest = pending.text;
    const std::string word = TakeField(&rest);
    if (failing_ && failing_(pending.id, pending.text)) {
      Refuse(session, pending, "FAILED", true);
      return;
    }
    if (word == "ROLLBACK" || (word == "COMMIT" && session->state == 'E')) {
      Reset(session.get());
      Answer(session, word == "COMMIT" ? "ERROR ABORTED" : "COMPLETE -");
    } else if (session->state == 'E') {
      Answer(session, "ERROR MALFORMED");
    } else if (word == "SET") {
      const std::string name = TakeField(&rest);
      session->values[name] = rest;
      Answer(session, "COMPLETE -");
    } else if (word == "PARSE") {
      const std::string name = TakeField(&rest);
      const bool writes = TakeField(&rest) == "WRITE";
      session->prepared[name] = {writes, rest};
      Answer(session, "COMPLETE -");
    } else if (word == "CLOSE") {
      session->prepared.erase(rest);
      Answer(session, "COMPLETE -");
    } else if (word == "DISCARD") {
      session->values.clear();
      session->prepared.clear();
      Answer(session, "COMPLETE -");
    } else if (word == "BEGIN") {
      if (rest.empty() && !primary_) {
        Refuse(session, pending, "READONLY", false);
      } else if (!Holds(pending)) {
        Refuse(session, pending, "LAGGING", false);
      } else {
        session->state = 'T';
        session->read_only = !rest.empty();
        Answer(session, "COMPLETE -");
      }
    } else if (word == "STATUS" || word == "PAUSE" || word == "RESUME") {
      if (word == "PAUSE") paused_term_ = std::stoull(rest);
      if (word == "RESUME") {
        paused_term_ = 0;
        for (Database* each : service_->databases) {
          if (each->primary_) Receive(each->log_);
        }
      }
      Work(session, pending, settings_.work_ms / 4,
           [this, session] { AnswerStatus(session); });
    } else if (word == "COMMIT") {
      Work(session, pending, settings_.work_ms,
           [this, session, pending] { RunCommit(session, pending); });
    } else if (word == "READ" || word == "WRITE" || word == "EXECUTE") {
      RunStatement(session, pending, word, rest);
    } else {
      Answer(session, "ERROR MALFORMED");
    }
  }

  void Reset(Session* session) {
    session->state = 'I';
    session->read_only = false;
    session->writes.clear();
    session->write_ids.clear();
  }

  void Work(const SessionRef& session, const Pending& pending, double ms,
            std::function<void()> effect) {
    session->busy = true;
    WithSlot(session, ms, [this, session, pending, effect](bool taken) {
      if (taken) {
        session->mute = losing_ && losing_(pending.id, pending.text);
        effect();
        if (session->mute) return;
      } else {
        Refuse(session, pending, "BUSY", false);
      }
      Next(session);
    });
  }

  void AnswerStatus(const SessionRef& session) {
    // Age of the oldest commit that is received and not applied.
    const uint64_t lag =
        applied_ == log_.size()
            ? 0
            : static_cast<uint64_t>(NowMs() - log_[applied_].committed_at);
    Answer(session, std::string("ROW ") + (primary_ ? "primary " : "replica ") +
                        std::to_string(term_) + " " + Position(log_.size()) +
                        " " + std::to_string(paused_term_) + " " +
                        std::to_string(lag) + " " + std::to_string(busy_slots_) +
                        " " + std::to_string(connections_) +
                        "\r\nCOMPLETE -");
  }

  void RunCommit(const SessionRef& session, const Pending& pending) {
    if (!session->writes.empty()) {
      Append({term_, kBaseNumber + log_.size() + 1, pending.id, session->writes,
              session->write_ids, 0});
    }
    Note(*session, pending, "committed");
    Reset(session.get());
    Answer(session, "COMPLETE " + Digest());
  }

  void RunStatement(const SessionRef& session, const Pending& pending,
                    const std::string& word, std::string rest) {
    bool writes = word == "WRITE";
    std::string item;
    if (word == "EXECUTE") {
      const auto found = session->prepared.find(TakeField(&rest));
      if (found == session->prepared.end()) {
        Refuse(session, pending, "NOSTMT", true);
        return;
      }
      writes = found->second.first;
    }
    item = TakeField(&rest);
    if (writes && (!primary_ || session->read_only)) {
      Refuse(session, pending, "READONLY", true);
      return;
    }
    if (!Holds(pending)) {
      Refuse(session, pending, "LAGGING", false);
      return;
    }
    const std::string data = rest;
    Work(session, pending, settings_.work_ms,
         [this, session, pending, writes, item, data] {
           if (!writes) {
             Note(*session, pending, "read " + items_[item]);
             Answer(session,
                    "ROW " + items_[item] + "\r\nCOMPLETE " + Digest());
           } else if (session->state == 'T') {
             session->writes.emplace_back(item, data);
             session->write_ids.push_back(pending.id);
             Note(*session, pending, "written in the transaction");
             Answer(session, "COMPLETE " + Digest());
           } else {
             Append({term_, kBaseNumber + log_.size() + 1, pending.id,
                     {{item, data}}, {pending.id}, 0});
             Note(*session, pending, "committed");
             Answer(session, "COMPLETE " + Digest());
           }
         });
  }

  struct Waiting {
    SessionRef session;
    double ms = 0;
    std::function<void(bool)> task;
  };

  Loop* loop_;
  Store* store_;
  Service* service_;
  DatabaseSettings settings_;
  Recorder recorder_;
  Failing failing_;
  Failing losing_;
  bool primary_;
  bool draining_ = false;
  uint16_t port_ = 0;
  uint64_t term_ = 3;
  uint64_t paused_term_ = 0;
  uint64_t sequence_ = 0;
  uint64_t digests_ = 0;
  uint64_t statements_ = 0;
  uint32_t connections_ = 0;
  uint32_t busy_slots_ = 0;
  size_t applied_ = 0;
  std::vector<Commit> log_;
  std::map<std::string, std::string> items_;
  std::set<SessionRef> sessions_;
  std::deque<Waiting> waiting_;
};

}  // namespace review
