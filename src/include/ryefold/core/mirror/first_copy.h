#pragma once

// Gets an instance that has just started its first copy of the store: in a
// large fleet from another instance, otherwise from the store.

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "ryefold/core/answer_limits.h"
#include "ryefold/core/event.h"
#include "ryefold/core/mirror/entry.h"
#include "ryefold/core/mirror/relay_plan.h"
#include "ryefold/core/types.h"

namespace ryefold::core::mirror {

struct FirstCopyTiming {
  /// Time for the store to answer with a part of the list of instances.
  std::chrono::milliseconds sample_timeout{900};
  /// Maximum delay, of which half is random, before it is asked again.
  std::chrono::milliseconds retry_backoff{300};
  /// Time for which an instance that is still listing the store itself may hold
  /// the request, and the time for the transfer after that.
  std::chrono::milliseconds copy_wait{1000};
  std::chrono::milliseconds transfer_timeout{2000};
  /// Maximum age of a copy. Callers must not be served by a configuration that
  /// is older than the strictest deployment allows.
  std::chrono::milliseconds max_copy_age{3000};
};

/// Sends the calls. Each leads to one `OnSample` or `OnCopy`, after the call
/// has returned.
class FirstCopyPort {
 public:
  virtual ~FirstCopyPort() = default;
  /// Requests a part of the list of instances from the store.
  virtual void SampleInstances(const AnswerLimits& limits) = 0;
  /// Requests the copy of an instance, which need not be a relay.
  virtual void AskCopy(const std::string& instance,
                       std::chrono::milliseconds wait, TimePoint deadline) = 0;
  /// Starts the mirror with a copy that was confirmed at `confirmed_at`.
  virtual void StartFromCopy(const Reading& copy, TimePoint confirmed_at) = 0;
  /// Starts the mirror without a copy.
  virtual void StartFromStore() = 0;
};

class FirstCopy {
 public:
  FirstCopy(Member self, uint64_t seed, FirstCopyPort* port, EventSink* events);

  void Start(TimePoint now);
  /// `sample` may be empty; `failed` if the store did not answer.
  void OnSample(TimePoint now, const std::vector<Member>& sample, bool failed);
  void OnCopy(TimePoint now, const ReadResult& result);
  void Tick(TimePoint now);
  TimePoint next_deadline() const { return due_; }
  /// Whether the mirror was started.
  bool done() const { return done_; }

 private:
  void AskNext(TimePoint now);

  const FirstCopyTiming timing_;
  const Member self_;
  FirstCopyPort* port_;
  EventSink* events_;
  std::mt19937_64 random_;
  /// Instances that were not asked yet, in order.
  std::vector<std::string> sources_;
  std::string asked_;
  TimePoint sent_at_;
  TimePoint due_ = TimePoint::max();
  bool done_ = false;
};

}  // namespace ryefold::core::mirror
