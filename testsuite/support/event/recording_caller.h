#pragma once

// A caller on a TCP socket that records what became of each statement it sent.

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "platform/line_channel.h"
#include "platform/line_codec.h"
#include "testsuite/standins/lib/timer.h"

namespace ryefold::testsuite {

/// What a caller does when it is told without having asked that its session has
/// ended.
enum class OnNotice : uint8_t {
  kClose,
  kIgnore,  ///< Keeps using the connection until it is closed.
};

/// A statement as its caller saw it.
struct RecordedStatement {
  using Time = std::chrono::steady_clock::time_point;

  std::string id;
  std::string text;
  /// Instance to which it was sent.
  std::string instance;
  bool in_transaction = false;
  OnNotice on_notice = OnNotice::kClose;
  /// When its bytes left.
  Time sent_at;
  /// When the answer was complete or the connection ended.
  Time ended_at;
  bool answered = false;
  /// Also set by an error after which the connection ended without the rest of
  /// the answer.
  core::session::ErrorCode error = core::session::ErrorCode::kNone;
  /// Ids of the writes that the statement commits.
  std::vector<std::string> commits;
};

/// One session. Statements may be pipelined; they are answered in order.
class RecordingCaller : public platform::LineHandler,
                        public std::enable_shared_from_this<RecordingCaller> {
 public:
  struct Callbacks {
    /// The session was accepted.
    std::function<void()> started;
    std::function<void(const core::session::Reply&)> answered;
    /// The connection or the session has ended.
    std::function<void()> ended;
  };
  /// `latency` applies to each direction.
  RecordingCaller(event_base* base, const std::string& address,
                  const std::string& route, OnNotice on_notice,
                  std::chrono::milliseconds latency)
      : base_(base),
        channel_(base, address, this),
        on_notice_(on_notice),
        latency_(latency) {
    channel_.output()->append("START " + route + " test\r\n");
  }
  void SetCallbacks(Callbacks callbacks) { callbacks_ = std::move(callbacks); }

  void OnConnected() override { channel_.Flush(); }
  void OnBatchEnd() override {}
  void OnBroken(const std::string& /*why*/) override {
    Delay(&received_, [this] { End(); });
  }
  void OnLine(std::string_view line) override {
    Delay(&received_, [this, text = std::string(line)] { HandleLine(text); });
  }

  void Send(std::shared_ptr<RecordedStatement> statement) {
    outstanding_.push_back(statement);
    Delay(&sent_, [this, statement = std::move(statement)] {
      statement->sent_at = std::chrono::steady_clock::now();
      channel_.output()->append("QUERY " + statement->id + " " +
                                statement->text + "\r\n");
      channel_.Flush();
    });
  }
  /// Ends the session from this side.
  void Close() {
    channel_.Close();
    End();
  }
  bool ended() const { return ended_; }
  /// Returns the statement that was answered last.
  const std::shared_ptr<RecordedStatement>& last_answered() const {
    return last_answered_;
  }
  /// Whether anything but an error arrived that answers no statement.
  bool unasked() const { return unasked_; }

 private:
  using Work = std::function<void()>;

  /// Runs `work` after the latency; work of one direction keeps its order.
  void Delay(std::deque<Work>* direction, Work work) {
    if (latency_ == std::chrono::milliseconds(0)) {
      work();
      return;
    }
    direction->push_back(std::move(work));
    standins::After(base_, latency_, [weak = weak_from_this(), direction] {
      const auto self = weak.lock();
      if (self == nullptr) return;
      const Work next = std::move(direction->front());
      direction->pop_front();
      next();
    });
  }

  void HandleLine(const std::string& line) {
    if (ended_) return;
    if (!started_) {
      started_ = line.rfind("READY", 0) == 0;
      if (started_) {
        callbacks_.started();
      } else {
        Close();
      }
      return;
    }
    if (outstanding_.empty() && on_notice_ == OnNotice::kClose) {
      unasked_ = unasked_ || line.rfind("ERROR", 0) != 0;
      Close();
      return;
    }
    constexpr std::string_view kError = "ERROR ";
    if (!outstanding_.empty() && line.rfind(kError, 0) == 0) {
      const std::string rest = line.substr(kError.size());
      outstanding_.front()->error =
          platform::DecodeErrorCode(rest.substr(0, rest.find(' ')));
    }
    if (decoder_.Feed(line, false) !=
        platform::ReplyDecoder::Result::kComplete) {
      return;
    }
    const core::session::Reply reply = decoder_.TakeReply();
    if (outstanding_.empty()) {
      unasked_ = true;
      return;
    }
    const std::shared_ptr<RecordedStatement> statement = outstanding_.front();
    outstanding_.pop_front();
    last_answered_ = statement;
    statement->answered = true;
    statement->error = reply.error;
    statement->ended_at = std::chrono::steady_clock::now();
    callbacks_.answered(reply);
  }

  void End() {
    if (std::exchange(ended_, true)) return;
    const auto now = std::chrono::steady_clock::now();
    for (const auto& statement : outstanding_) {
      const bool sent = statement->sent_at != RecordedStatement::Time();
      if (!sent) statement->sent_at = now;
      statement->ended_at = now;
    }
    outstanding_.clear();
    callbacks_.ended();
  }

  event_base* base_;
  platform::LineChannel channel_;
  const OnNotice on_notice_;
  const std::chrono::milliseconds latency_;
  Callbacks callbacks_;
  bool started_ = false;
  bool ended_ = false;
  bool unasked_ = false;
  std::deque<std::shared_ptr<RecordedStatement>> outstanding_;
  std::deque<Work> sent_;
  std::deque<Work> received_;
  std::shared_ptr<RecordedStatement> last_answered_;
  platform::ReplyDecoder decoder_;
};

}  // namespace ryefold::testsuite
