#include "ryefold/core/session/keeper_load.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ryefold::core::session {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Time after which a report has lost half of its difference from the group's
/// mean: a queue of a few hundred ms changes as a whole in about this time.
constexpr milliseconds kReportHalfLife{200};
/// Age at which a report or a response time counts as unknown.
constexpr milliseconds kMaxReportAge{1000};
/// Maximum age of a report by which a refused statement is sent to another
/// keeper: the statement has already lost one attempt, and an outdated report
/// would cost a second one.
constexpr milliseconds kMaxRetryReportAge{500};
/// Groups without replies for this long are removed.
constexpr milliseconds kUnusedPeriod{10000};
/// The weight of a new response time in the average is 1/8, as for round-trip
/// times in TCP.
constexpr int kResponseTimeDivisor = 8;
/// Part of the time left that the wait of a refused statement may take at
/// another keeper: a keeper refuses statements that would wait longer
/// (`kMaxQueueFraction` of the admission queue).
constexpr double kMaxWaitFraction = 0.75;
/// Gain for which a preferred keeper is passed over. Elsewhere the statement
/// may need a new connection for its workspace, or cross failure domains;
/// opening a connection takes 12 ms.
constexpr milliseconds kOrderWorth{12};

/// Retries per statement, and how many may follow each other. While all keepers
/// of a group are full, reports that still fit are outdated, and without a
/// limit half of the statements would be refused twice.
constexpr double kRetryRatio = 0.1;
constexpr double kRetryBurst = 10;

size_t PriorityIndex(uint32_t priority) {
  return std::min<size_t>(priority, kKeeperLoadPriorities - 1);
}

milliseconds WaitOf(const QueueWaits& waits, KeeperQueue queue) {
  return queue == KeeperQueue::kPrimary ? waits.primary : waits.reads;
}

bool IsKnown(TimePoint now, TimePoint at) {
  return at != TimePoint() && now - at < kMaxReportAge;
}

}  // namespace

KeeperDecision InFlightChoice::Choose(
    TimePoint /*now*/, const KeeperQueueRef& /*queue*/,
    const std::vector<KeeperOption>& options) {
  const auto best = std::min_element(
      options.begin(), options.end(),
      [](const KeeperOption& a, const KeeperOption& b) {
        return a.in_flight + a.order_cost < b.in_flight + b.order_cost;
      });
  KeeperDecision decision;
  decision.chosen = static_cast<size_t>(best - options.begin());
  return decision;
}

std::optional<KeeperDecision> InFlightChoice::ChooseAfterRefusal(
    TimePoint /*now*/, const KeeperQueueRef& /*queue*/,
    const std::vector<KeeperOption>& /*options*/, milliseconds /*time_left*/) {
  return std::nullopt;
}

void KeeperLoad::RecordReply(TimePoint now, const KeeperReply& reply) {
  RemoveUnused(now);
  if (!reply.waits.has_value() && !reply.response_time.has_value()) return;
  Entry* entry = FindOrAdd(reply.group, reply.keeper);
  entry->updated_at = now;
  if (reply.waits.has_value()) {
    entry->reports[PriorityIndex(reply.priority)] = {*reply.waits, now};
  }
  if (!reply.response_time.has_value()) return;
  if (IsKnown(now, entry->answered_at)) {
    entry->response_time +=
        (*reply.response_time - entry->response_time) / kResponseTimeDivisor;
  } else {
    entry->response_time = *reply.response_time;
  }
  entry->answered_at = now;
}

void KeeperLoad::Forget(const std::string& keeper) {
  for (auto& [group, entries] : groups_) {
    std::erase_if(entries, [&keeper](const Entry& each) {
      return each.keeper == keeper;
    });
  }
}

microseconds KeeperLoad::ExpectedWait(TimePoint now,
                                      const KeeperQueueRef& queue,
                                      const std::string& keeper) const {
  const auto found = groups_.find(queue.group);
  if (found == groups_.end()) return microseconds(0);
  const size_t index = PriorityIndex(queue.priority);
  microseconds sum{0};
  int known = 0;
  for (const Entry& each : found->second) {
    const Report& report = each.reports[index];
    if (!IsKnown(now, report.received_at)) continue;
    sum += WaitOf(report.waits, queue.queue);
    ++known;
  }
  const microseconds mean = known == 0 ? sum : sum / known;
  const Entry* entry = Find(queue.group, keeper);
  if (entry == nullptr) return mean;
  const Report& own = entry->reports[index];
  if (IsKnown(now, own.received_at)) {
    const double age = std::chrono::duration<double>(now - own.received_at) /
                       std::chrono::duration<double>(kReportHalfLife);
    const microseconds difference = WaitOf(own.waits, queue.queue) - mean;
    return mean +
           microseconds(static_cast<int64_t>(
               static_cast<double>(difference.count()) * std::exp2(-age)));
  }
  // A less important statement never waits for a shorter time at the same
  // keeper.
  microseconds wait = mean;
  for (size_t i = 0; i < kKeeperLoadPriorities; ++i) {
    const Report& other = entry->reports[i];
    if (!IsKnown(now, other.received_at)) continue;
    const microseconds reported = WaitOf(other.waits, queue.queue);
    wait = i < index ? std::max(wait, reported) : std::min(wait, reported);
  }
  return wait;
}

microseconds KeeperLoad::ResponseTime(TimePoint now, const std::string& group,
                                      const std::string& keeper) const {
  const Entry* entry = Find(group, keeper);
  if (entry != nullptr && IsKnown(now, entry->answered_at)) {
    return entry->response_time;
  }
  const auto found = groups_.find(group);
  if (found == groups_.end()) return microseconds(0);
  microseconds sum{0};
  int known = 0;
  for (const Entry& each : found->second) {
    if (!IsKnown(now, each.answered_at)) continue;
    sum += each.response_time;
    ++known;
  }
  return known == 0 ? sum : sum / known;
}

std::optional<milliseconds> KeeperLoad::ReportedWait(
    TimePoint now, const KeeperQueueRef& queue, const std::string& keeper,
    milliseconds max_age) const {
  const Entry* entry = Find(queue.group, keeper);
  if (entry == nullptr) return std::nullopt;
  const Report& report = entry->reports[PriorityIndex(queue.priority)];
  if (report.received_at == TimePoint() ||
      now - report.received_at >= max_age) {
    return std::nullopt;
  }
  return WaitOf(report.waits, queue.queue);
}

size_t KeeperLoad::size() const {
  size_t count = 0;
  for (const auto& [group, entries] : groups_) count += entries.size();
  return count;
}

const KeeperLoad::Entry* KeeperLoad::Find(const std::string& group,
                                          const std::string& keeper) const {
  const auto found = groups_.find(group);
  if (found == groups_.end()) return nullptr;
  const auto entry = std::find_if(
      found->second.begin(), found->second.end(),
      [&keeper](const Entry& each) { return each.keeper == keeper; });
  return entry == found->second.end() ? nullptr : &*entry;
}

/// Replaces the entry with the oldest reply if the group has the maximum.
KeeperLoad::Entry* KeeperLoad::FindOrAdd(const std::string& group,
                                         const std::string& keeper) {
  Entries& entries = groups_[group];
  const auto found = std::find_if(
      entries.begin(), entries.end(),
      [&keeper](const Entry& each) { return each.keeper == keeper; });
  if (found != entries.end()) return &*found;
  if (entries.size() >= kMaxKeeperLoads) {
    entries.erase(std::min_element(entries.begin(), entries.end(),
                                   [](const Entry& a, const Entry& b) {
                                     return a.updated_at < b.updated_at;
                                   }));
  }
  Entry& added = entries.emplace_back();
  added.keeper = keeper;
  return &added;
}

void KeeperLoad::RemoveUnused(TimePoint now) {
  if (now < next_removal_) return;
  next_removal_ = now + kUnusedPeriod;
  for (auto& [group, entries] : groups_) {
    std::erase_if(entries, [now](const Entry& each) {
      return now - each.updated_at >= kUnusedPeriod;
    });
  }
  std::erase_if(groups_, [](const auto& each) { return each.second.empty(); });
}

ExpectedWaitChoice::ExpectedWaitChoice(uint64_t seed)
    : retry_budget_(kRetryRatio, kRetryBurst), random_(seed) {}

/// Returns the position in `candidates` of a keeper drawn by weight.
size_t ExpectedWaitChoice::Draw(const std::vector<KeeperOption>& options,
                                const std::vector<size_t>& candidates) {
  std::vector<double> weights;
  weights.reserve(candidates.size());
  for (const size_t index : candidates) {
    weights.push_back(options[index].weight);
  }
  return std::discrete_distribution<size_t>(weights.begin(),
                                            weights.end())(random_);
}

KeeperDecision ExpectedWaitChoice::ChooseAmong(
    TimePoint now, const KeeperQueueRef& queue,
    const std::vector<KeeperOption>& options, std::vector<size_t> candidates) {
  const auto take = [this, &options, &candidates] {
    const size_t position = Draw(options, candidates);
    const size_t index = candidates[position];
    candidates.erase(candidates.begin() + static_cast<int64_t>(position));
    return index;
  };
  const auto wait = [this, now, &queue, &options](size_t index) {
    return load_.ExpectedWait(now, queue, options[index].instance);
  };
  const auto cost = [this, now, &queue, &options, &wait](size_t index) {
    const KeeperOption& option = options[index];
    return wait(index) + option.in_flight * load_.ResponseTime(now, queue.group,
                                                               option.instance);
  };
  const auto in_ms = [](microseconds time) {
    return std::chrono::duration_cast<milliseconds>(time);
  };
  KeeperDecision decision;
  decision.chosen = take();
  if (!candidates.empty()) {
    const size_t first = decision.chosen;
    const size_t second = take();
    const bool second_preferred =
        options[second].order_cost < options[first].order_cost;
    const size_t preferred = second_preferred ? second : first;
    const size_t other = second_preferred ? first : second;
    const bool ordered =
        options[second].order_cost != options[first].order_cost;
    const microseconds worth = ordered ? kOrderWorth : milliseconds(0);
    const bool pass_over = cost(other) + worth < cost(preferred);
    decision.chosen = pass_over ? other : preferred;
    if (pass_over) {
      decision.passed_over = preferred;
      decision.passed_over_wait = in_ms(wait(preferred));
    }
  }
  decision.expected_wait = in_ms(wait(decision.chosen));
  return decision;
}

KeeperDecision ExpectedWaitChoice::Choose(
    TimePoint now, const KeeperQueueRef& queue,
    const std::vector<KeeperOption>& options) {
  retry_budget_.RecordFirstAttempt();
  std::vector<size_t> candidates;
  candidates.reserve(options.size());
  for (size_t i = 0; i < options.size(); ++i) candidates.push_back(i);
  return ChooseAmong(now, queue, options, std::move(candidates));
}

std::optional<KeeperDecision> ExpectedWaitChoice::ChooseAfterRefusal(
    TimePoint now, const KeeperQueueRef& queue,
    const std::vector<KeeperOption>& options, milliseconds time_left) {
  std::vector<size_t> candidates;
  for (size_t i = 0; i < options.size(); ++i) {
    const auto reported =
        load_.ReportedWait(now, queue, options[i].instance, kMaxRetryReportAge);
    if (!reported.has_value()) continue;
    if (*reported <= time_left * kMaxWaitFraction) candidates.push_back(i);
  }
  if (candidates.empty() || !retry_budget_.TakeRetry()) return std::nullopt;
  return ChooseAmong(now, queue, options, std::move(candidates));
}

std::unique_ptr<KeeperChoice> MakeKeeperChoice(std::string_view name,
                                               uint64_t seed) {
  if (name == "in_flight") return std::make_unique<InFlightChoice>();
  if (name == "expected_wait") {
    return std::make_unique<ExpectedWaitChoice>(seed);
  }
  return nullptr;
}

}  // namespace ryefold::core::session
