#pragma once

// The platform's store in virtual time, as copies of it are kept from: keys
// with revisions, a history and watches, and faults to order.

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

/// Keys with revisions, a history, and watches.
class FakeStoreKeys {
 public:
  explicit FakeStoreKeys(VirtualClock* clock) : clock_(clock) {}

  milliseconds delay{4};
  /// What a link carries in a millisecond; 0: any amount.
  uint64_t bytes_per_ms = 0;
  bool down = false;
  /// Takes calls and answers none of them, those that wait neither.
  bool silent = false;
  /// Instances that get no answer, and those that are told to go away.
  std::set<std::string> silent_to;
  std::set<std::string> refuses;
  /// The next change is not told to watches.
  bool skip_next_event = false;
  uint64_t calls = 0;

  void Put(const std::string& key, const std::string& value) {
    Entry& entry = keys_[key];
    entry.key = key;
    entry.value = value;
    entry.revision = ++revision_;
    if (entry.created == 0) entry.created = revision_;
    Changed(entry);
  }
  void Delete(const std::string& key) {
    const auto found = keys_.find(key);
    if (found == keys_.end()) return;
    Entry entry = found->second;
    keys_.erase(found);
    entry.deleted = true;
    entry.revision = ++revision_;
    Changed(entry);
  }
  /// Connections on which watches wait fall silent; new calls are answered.
  void LoseWatches() {
    for (const auto& entry : watches_) {
      const Waiting watch = entry.second;
      clock_->At(watch.given_up,
                 [watch] { watch.done(ReadError::kUnreachable); });
    }
    watches_.clear();
  }
  /// Watches from before now on are told that their history is gone.
  void Compact() { history_from_ = revision_; }

  void List(const std::string& instance, const std::string& after,
            const AnswerLimits& limits,
            const std::function<void(const ReadResult&)>& done) {
    if (!Reached(instance, limits, done)) return;
    Reading page;
    page.as_of = revision_;
    for (auto it = keys_.upper_bound(after); it != keys_.end(); ++it) {
      if (page.entries.size() == kPage) {
        page.more = true;
        break;
      }
      page.entries.push_back(it->second);
    }
    Send(page, limits.deadline, done);
  }

  void Watch(const std::string& instance, uint64_t after, milliseconds wait,
             const AnswerLimits& limits,
             const std::function<void(const ReadResult&)>& done) {
    if (!Reached(instance, limits, done)) return;
    if (after < history_from_) {
      clock_->After(delay, [done] { done(ReadError::kHistoryGone); });
      return;
    }
    const uint64_t number = ++last_watch_;
    watches_[number] = {instance, after, done, GivenUp(limits),
                        limits.deadline};
    clock_->After(wait, [this, number] { Answer(number); });
    if (after < revision_) Answer(number);
  }

  const EntryMap& keys() const { return keys_; }
  uint64_t revision() const { return revision_; }

 private:
  static constexpr size_t kPage = 50;
  struct Waiting {
    std::string instance;
    uint64_t after = 0;
    std::function<void(const ReadResult&)> done;
    /// When it is given up if nothing comes, and in any case.
    TimePoint given_up;
    TimePoint deadline;
  };

  /// An answer arrives over the link, unless that takes too long.
  void Send(const Reading& reading, TimePoint deadline,
            const std::function<void(const ReadResult&)>& done) {
    uint64_t bytes = 0;
    for (const Entry& entry : reading.entries) bytes += entry.value.size();
    const uint64_t takes = bytes_per_ms == 0 ? 0 : bytes / bytes_per_ms;
    const TimePoint arrives = clock_->now() + delay + milliseconds(takes);
    if (arrives > deadline) {
      clock_->At(deadline, [done] { done(ReadError::kUnreachable); });
    } else {
      clock_->At(arrives, [done, reading] { done(reading); });
    }
  }

  bool SilentTo(const std::string& instance) const {
    return silent || silent_to.count(instance) > 0;
  }

  /// When a call that gets no answer is given up.
  TimePoint GivenUp(const AnswerLimits& limits) const {
    return std::min(limits.deadline, clock_->now() + limits.inactivity_timeout);
  }

  bool Reached(const std::string& instance, const AnswerLimits& limits,
               const std::function<void(const ReadResult&)>& done) {
    ++calls;
    if (SilentTo(instance) || delay > limits.inactivity_timeout) {
      clock_->At(GivenUp(limits), [done] { done(ReadError::kUnreachable); });
      return false;
    }
    if (down || refuses.count(instance) > 0) {
      clock_->After(delay, [done] { done(ReadError::kUnreachable); });
      return false;
    }
    return true;
  }

  void Changed(const Entry& entry) {
    if (std::exchange(skip_next_event, false)) return;
    history_.push_back(entry);
    std::vector<uint64_t> all;
    for (const auto& [number, watch] : watches_) all.push_back(number);
    for (const uint64_t number : all) Answer(number);
  }

  void Answer(uint64_t number) {
    const auto found = watches_.find(number);
    if (found == watches_.end()) return;
    const Waiting watch = found->second;
    watches_.erase(found);
    const bool cut = SilentTo(watch.instance);
    if (cut || down) {
      const TimePoint when = cut ? watch.given_up : clock_->now() + delay;
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
  uint64_t last_watch_ = 0;
  std::map<uint64_t, Waiting> watches_;
};

}  // namespace ryefold::testsuite
