// A consumer's session on the line protocol, and what it was told.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "loop.h"

namespace review {

struct Reply {
  std::vector<std::string> rows;
  bool ok = false;
  std::string digest;
  /// Code and text of an error; empty for a success.
  std::string code;
  std::string text;
  char state = '?';
  std::string position;
  /// The connection ended without a complete answer.
  bool lost = false;
};

/// A promise that nothing of the consumer's attempt is kept.
inline bool IsPromise(const std::string& code) {
  for (const char* each :
       {"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "MAXCONN"}) {
    if (code == each) return true;
  }
  return false;
}

class Session : public std::enable_shared_from_this<Session> {
 public:
  using Done = std::function<void(const Reply&)>;

  Session(Loop* loop, uint16_t port) : loop_(loop), port_(port) {}

  /// Connects and waits for READY.
  void Start(const std::string& host, Done done) {
    conn_ = loop_->Connect(port_);
    std::weak_ptr<Session> weak = shared_from_this();
    conn_->on_data = [weak](std::string* input) {
      const auto self = weak.lock();
      std::string line;
      while (self != nullptr && TakeLine(input, &line)) self->OnLine(line);
    };
    conn_->on_close = [weak] {
      if (const auto self = weak.lock()) self->OnClosed();
    };
    done_ = std::move(done);
    conn_->Send("START " + host + "\r\n");
  }

  void Query(const std::string& id, const std::string& text, Done done) {
    if (!conn_->open()) {
      Reply reply;
      reply.lost = true;
      done(reply);
      return;
    }
    done_ = std::move(done);
    conn_->Send("QUERY " + id + " " + text + "\r\n");
  }

  void Close() {
    on_end = nullptr;
    done_ = nullptr;
    if (conn_ != nullptr) conn_->Close();
  }
  bool open() const { return conn_ != nullptr && conn_->open(); }
  uint16_t port() const { return port_; }

  /// The session was closed while no request was outstanding.
  std::function<void()> on_end;

 private:
  void OnLine(std::string line) {
    const std::string word = TakeField(&line);
    if (word == "ROW") {
      reply_.rows.push_back(line);
    } else if (word == "COMPLETE") {
      reply_.ok = true;
      reply_.digest = line;
    } else if (word == "ERROR") {
      reply_.code = TakeField(&line);
      reply_.text = line;
    } else if (word == "READY") {
      const std::string state = TakeField(&line);
      reply_.state = state.empty() ? '?' : state[0];
      reply_.position = line;
      Finish();
    }
  }
  void OnClosed() {
    if (done_ == nullptr) {
      if (on_end) on_end();
      return;
    }
    reply_.ok = false;
    reply_.lost = true;
    Finish();
  }
  void Finish() {
    Reply reply;
    std::swap(reply, reply_);
    Done done;
    std::swap(done, done_);
    if (done) done(reply);
  }

  Loop* loop_;
  const uint16_t port_;
  ConnRef conn_;
  Reply reply_;
  Done done_;
};

}  // namespace review
