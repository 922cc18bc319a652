#pragma once

// Structured log events: one line for each decision about a request and each
// change of state, as `event=NAME key=value ...`.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "ryefold/core/types.h"

namespace ryefold::core {

/// Importance of an event when log lines have to be dropped.
enum class EventPriority : uint8_t {
  kRequest,  ///< Concerns one request; dropped first under load.
  kState,    ///< A change of state, such as a dependency lost or regained.
};

/// Receives event lines. Implementations never block.
class EventSink {
 public:
  virtual ~EventSink() = default;
  /// Returns whether a line of this priority would currently be kept. Lets the
  /// caller skip formatting a line that would be dropped.
  virtual bool IsEnabled(EventPriority priority) = 0;
  virtual void Write(EventPriority priority, std::string_view line) = 0;
};

/// Builds one line and passes it to the sink on destruction. With a null sink,
/// or one that does not want the line, every call is a no-op.
class Event {
 public:
  Event(EventSink* sink, EventPriority priority, std::string_view name)
      : sink_(sink != nullptr && sink->IsEnabled(priority) ? sink : nullptr),
        priority_(priority) {
    if (sink_ != nullptr) line_.append("event=").append(name);
  }
  ~Event() {
    if (sink_ != nullptr) sink_->Write(priority_, line_);
  }
  Event(const Event&) = delete;
  Event& operator=(const Event&) = delete;

  /// Values that contain spaces are quoted.
  Event& Add(std::string_view key, std::string_view value) {
    if (sink_ == nullptr) return *this;
    line_.append(" ").append(key).append("=");
    if (value.find(' ') == std::string_view::npos && !value.empty()) {
      line_.append(value);
    } else {
      line_.append("\"").append(value).append("\"");
    }
    return *this;
  }
  Event& Add(std::string_view key, uint64_t value) {
    if (sink_ == nullptr) return *this;
    return Add(key, std::to_string(value));
  }
  /// Adds a duration in milliseconds.
  Event& Add(std::string_view key, std::chrono::steady_clock::duration span) {
    if (sink_ == nullptr) return *this;
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(span);
    return Add(key, std::to_string(ms.count()) + "ms");
  }
  /// Adds a log position as TERM.INDEX, "none" if there is none.
  Event& Add(std::string_view key, const std::optional<LogPosition>& position) {
    if (sink_ == nullptr) return *this;
    return Add(key, position.has_value() ? ToText(*position) : "none");
  }

 private:
  EventSink* sink_;
  EventPriority priority_;
  std::string line_;
};

}  // namespace ryefold::core
