#include "ryefold/core/mirror/first_copy.h"

#include <utility>

namespace ryefold::core::mirror {

using std::chrono::milliseconds;

FirstCopy::FirstCopy(Member self, uint64_t seed, FirstCopyPort* port,
                     EventSink* events)
    : self_(std::move(self)), port_(port), events_(events), random_(seed) {}

void FirstCopy::Start(TimePoint now) {
  due_ = TimePoint::max();
  port_->SampleInstances(
      {now + timing_.sample_timeout, timing_.sample_timeout});
}

/// Asks again after a failure: a store that does not answer this call would not
/// answer a listing, and all instances would list it at once when it returns.
void FirstCopy::OnSample(TimePoint now, const std::vector<Member>& sample,
                         bool failed) {
  if (failed) {
    const int64_t half = timing_.retry_backoff.count() / 2;
    std::uniform_int_distribution<int64_t> random_half(0, half);
    due_ = now + milliseconds(half + random_half(random_));
    return;
  }
  FirstCopyPlan plan = PlanFirstCopy(self_, sample);
  Event(events_, EventPriority::kState, "first_copy_planned")
      .Add("instances", sample.size())
      .Add("from", plan.from_store ? "store" : "instances")
      .Add("sources", plan.sources.size());
  sources_ = std::move(plan.sources);
  AskNext(now);
}

void FirstCopy::AskNext(TimePoint now) {
  if (sources_.empty()) {
    done_ = true;
    port_->StartFromStore();
    return;
  }
  asked_ = sources_.front();
  sources_.erase(sources_.begin());
  sent_at_ = now;
  port_->AskCopy(asked_, timing_.copy_wait,
                 now + timing_.copy_wait + timing_.transfer_timeout);
}

void FirstCopy::OnCopy(TimePoint now, const ReadResult& result) {
  const bool outdated = result && result.value().age > timing_.max_copy_age;
  Event line(events_, EventPriority::kState,
             result && !outdated ? "first_copy" : "first_copy_failed");
  line.Add("source", asked_).Add("after", now - sent_at_);
  if (result) {
    line.Add("as_of", result.value().as_of)
        .Add("age", result.value().age)
        .Add("entries", result.value().entries.size());
  } else {
    line.Add("error", ReadErrorName(result.error()));
  }
  if (!result || outdated) {
    AskNext(now);
    return;
  }
  done_ = true;
  port_->StartFromCopy(result.value(), sent_at_ - result.value().age);
}

void FirstCopy::Tick(TimePoint now) {
  if (now >= due_) Start(now);
}

}  // namespace ryefold::core::mirror
