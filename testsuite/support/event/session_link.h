#pragma once

// A caller's session with a gateway, over a socket.

#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "platform/line_channel.h"
#include "platform/line_codec.h"

namespace ryefold::testsuite {

class SessionLink : public platform::LineHandler {
 public:
  using OnAnswer = std::function<void(const core::session::Reply&)>;

  /// `gone` is called when the session is refused or breaks.
  SessionLink(event_base* base, const std::string& address,
              const std::string& route, OnAnswer answered,
              std::function<void()> gone)
      : channel_(base, address, this),
        answered_(std::move(answered)),
        gone_(std::move(gone)) {
    channel_.output()->append("START " + route + " test\r\n");
  }
  void OnConnected() override { channel_.Flush(); }
  void OnTurnEnd() override {}
  void OnBroken(const std::string& /*why*/) override { gone_(); }
  void OnLine(std::string_view line) override {
    if (!started_) {
      started_ = line.rfind("READY", 0) == 0;
      if (!started_) gone_();
      return;
    }
    if (decoder_.Feed(line, false) ==
        platform::ReplyDecoder::Result::kComplete) {
      answered_(decoder_.TakeReply());
    }
  }
  void Send(const std::string& id, const std::string& text) {
    channel_.output()->append("QUERY " + id + " " + text + "\r\n");
    channel_.Flush();
  }
  void Close() { channel_.Close(); }

 private:
  platform::LineChannel channel_;
  OnAnswer answered_;
  std::function<void()> gone_;
  bool started_ = false;
  platform::ReplyDecoder decoder_;
};

}  // namespace ryefold::testsuite
