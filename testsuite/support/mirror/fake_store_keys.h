#pragma once

// A simulated key-value store in virtual time with revisions, a history,
// watches and fault injection.

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "ryefold/core/answer_limits.h"
#include "ryefold/core/mirror/entry.h"
#include "testsuite/support/session/virtual_clock.h"

namespace ryefold::testsuite {

using core::AnswerLimits;
using core::mirror::Entry;
using core::mirror::EntryMap;
using core::mirror::ReadError;
using core::mirror::Reading;
using core::mirror::ReadResult;

class FakeStoreKeys {
 public:
  explicit FakeStoreKeys(VirtualClock* clock) : clock_(clock) {}

  milliseconds delay{4};
  /// Bandwidth of each link in bytes per millisecond; 0: unlimited.
  uint64_t bytes_per_ms = 0;
  /// Bandwidth of the store's own link, which all answers share; 0: unlimited.
  uint64_t shared_bytes_per_ms = 0;
  /// Bytes of all listings.
  uint64_t bytes_listed = 0;
  bool down = false;
  /// Accepts calls and answers none of them, including pending watches.
  bool unresponsive = false;
  /// Instances whose calls get no answer, and instances whose calls are
  /// refused.
  std::set<std::string> unresponsive_to;
  std::set<std::string> refused_instances;
  /// Watches do not receive the next change.
  bool skip_next_event = false;
  uint64_t calls = 0;

  void Put(const std::string& key, const std::string& value) {
    Entry& entry = keys_[key];
    entry.key = key;
    entry.value = value;
    entry.revision = ++revision_;
    if (entry.created == 0) entry.created = revision_;
    NotifyWatches(entry);
  }
  void Delete(const std::string& key) {
    const auto found = keys_.find(key);
    if (found == keys_.end()) return;
    Entry entry = found->second;
    keys_.erase(found);
    entry.deleted = true;
    entry.revision = ++revision_;
    NotifyWatches(entry);
  }
  /// Drops watch_ids pending watches without an answer; new calls are answered.
  void DropWatches() {
    for (const auto& entry : watches_) {
      const Waiting watch = entry.second;
      clock_->At(watch.timeout_at,
                 [watch] { watch.done(ReadError::kUnreachable); });
    }
    watches_.clear();
  }
  /// Discards the history: watches from earlier revisions fail with a compacted
  /// history.
  void Compact() { history_from_ = revision_; }

  void List(const std::string& instance, const std::string& after,
            const AnswerLimits& limits,
            const std::function<void(const ReadResult&)>& done) {
    if (!AcceptCall(instance, limits, done)) return;
    Reading page;
    page.as_of = revision_;
    for (auto it = keys_.upper_bound(after); it != keys_.end(); ++it) {
      if (page.entries.size() == kEntriesPerPage) {
        page.more = true;
        break;
      }
      page.entries.push_back(it->second);
      bytes_listed += it->second.value.size();
    }
    Send(page, limits.deadline, done);
  }

  /// Answers a small call on something that is not stored here.
  template <class Answer>
  void AnswerSmallCall(const std::string& instance, const AnswerLimits& limits,
                       const std::function<void(const ReadResult&)>& failed,
                       const Answer& answer) {
    if (AcceptCall(instance, limits, failed)) clock_->After(delay, answer);
  }

  void Watch(const std::string& instance, uint64_t after, milliseconds wait,
             const AnswerLimits& limits,
             const std::function<void(const ReadResult&)>& done) {
    if (!AcceptCall(instance, limits, done)) return;
    if (after < history_from_) {
      clock_->After(delay, [done] { done(ReadError::kHistoryCompacted); });
      return;
    }
    const uint64_t number = ++last_watch_id_;
    watches_[number] = {instance, after, done, TimeoutAt(limits),
                        limits.deadline};
    clock_->After(wait, [this, number] { AnswerWatch(number); });
    if (after < revision_) AnswerWatch(number);
  }

  const EntryMap& keys() const { return keys_; }
  uint64_t revision() const { return revision_; }

 private:
  static constexpr size_t kEntriesPerPage = 50;
  struct Waiting {
    std::string instance;
    uint64_t after = 0;
    std::function<void(const ReadResult&)> done;
    /// When the caller's idle timeout expires, and when its deadline does.
    TimePoint timeout_at;
    TimePoint deadline;
  };

  /// Delivers an answer after its transfer time, or an error at the deadline if
  /// that is earlier.
  void Send(const Reading& reading, TimePoint deadline,
            const std::function<void(const ReadResult&)>& done) {
    uint64_t bytes = 0;
    for (const Entry& entry : reading.entries) bytes += entry.value.size();
    const uint64_t takes = bytes_per_ms == 0 ? 0 : bytes / bytes_per_ms;
    TimePoint arrives = clock_->now() + delay + milliseconds(takes);
    if (shared_bytes_per_ms > 0) {
      using std::chrono::microseconds;
      link_free_at_ = std::max(link_free_at_, clock_->now()) +
                      microseconds(bytes * 1000 / shared_bytes_per_ms);
      arrives = std::max(arrives, link_free_at_ + delay);
    }
    if (arrives > deadline) {
      clock_->At(deadline, [done] { done(ReadError::kUnreachable); });
    } else {
      clock_->At(arrives, [done, reading] { done(reading); });
    }
  }

  bool IsUnresponsiveTo(const std::string& instance) const {
    return unresponsive || unresponsive_to.count(instance) > 0;
  }

  /// When a call that gets no answer is given up.
  TimePoint TimeoutAt(const AnswerLimits& limits) const {
    return std::min(limits.deadline, clock_->now() + limits.inactivity_timeout);
  }

  bool AcceptCall(const std::string& instance, const AnswerLimits& limits,
                  const std::function<void(const ReadResult&)>& done) {
    ++calls;
    if (IsUnresponsiveTo(instance) || delay > limits.inactivity_timeout) {
      clock_->At(TimeoutAt(limits), [done] { done(ReadError::kUnreachable); });
      return false;
    }
    if (down || refused_instances.count(instance) > 0) {
      clock_->After(delay, [done] { done(ReadError::kUnreachable); });
      return false;
    }
    return true;
  }

  void NotifyWatches(const Entry& entry) {
    if (std::exchange(skip_next_event, false)) return;
    history_.push_back(entry);
    std::vector<uint64_t> watch_ids;
    for (const auto& [number, watch] : watches_) watch_ids.push_back(number);
    for (const uint64_t number : watch_ids) AnswerWatch(number);
  }

  void AnswerWatch(uint64_t number) {
    const auto found = watches_.find(number);
    if (found == watches_.end()) return;
    const Waiting watch = found->second;
    watches_.erase(found);
    const bool times_out = IsUnresponsiveTo(watch.instance);
    if (times_out || down) {
      const TimePoint when =
          times_out ? watch.timeout_at : clock_->now() + delay;
      clock_->At(when, [watch] { watch.done(ReadError::kUnreachable); });
      return;
    }
    Reading events;
    events.as_of = revision_;
    for (const Entry& entry : history_) {
      if (entry.revision > watch.after) events.entries.push_back(entry);
    }
    Send(events, watch.deadline, watch.done);
  }

  VirtualClock* clock_;
  EntryMap keys_;
  std::vector<Entry> history_;
  uint64_t revision_ = 1;
  uint64_t history_from_ = 0;
  uint64_t last_watch_id_ = 0;
  /// When the shared link has sent all answers.
  TimePoint link_free_at_;
  std::map<uint64_t, Waiting> watches_;
};

}  // namespace ryefold::testsuite
