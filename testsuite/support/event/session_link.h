#pragma once

// A caller's session with a gateway over a TCP socket.

#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "platform/line_channel.h"
#include "platform/line_codec.h"

namespace ryefold::testsuite {

class SessionLink : public platform::LineHandler {
 public:
  using ReplyCallback = std::function<void(const core::session::Reply&)>;

  /// Connects and starts a session on the route. `on_closed` is called when the
  /// gateway refuses the session or the connection breaks.
  SessionLink(event_base* base, const std::string& address,
              const std::string& route, ReplyCallback on_reply,
              std::function<void()> on_closed)
      : channel_(base, address, this),
        on_reply_(std::move(on_reply)),
        on_closed_(std::move(on_closed)) {
    channel_.output()->append("START " + route + " test\r\n");
  }
  void OnConnected() override { channel_.Flush(); }
  void OnBatchEnd() override {}
  void OnBroken(const std::string& /*why*/) override { on_closed_(); }
  void OnLine(std::string_view line) override {
    if (!started_) {
      started_ = line.rfind("READY", 0) == 0;
      if (!started_) on_closed_();
      return;
    }
    if (unanswered_ == 0) {
      // The end of the session, told without a statement to answer.
      channel_.Close();
      on_closed_();
      return;
    }
    if (decoder_.Feed(line, false) ==
        platform::ReplyDecoder::Result::kComplete) {
      --unanswered_;
      on_reply_(decoder_.TakeReply());
    }
  }
  void Send(const std::string& id, const std::string& text) {
    ++unanswered_;
    channel_.output()->append("QUERY " + id + " " + text + "\r\n");
    channel_.Flush();
  }
  void Close() { channel_.Close(); }

 private:
  platform::LineChannel channel_;
  ReplyCallback on_reply_;
  std::function<void()> on_closed_;
  bool started_ = false;
  size_t unanswered_ = 0;
  platform::ReplyDecoder decoder_;
};

}  // namespace ryefold::testsuite
