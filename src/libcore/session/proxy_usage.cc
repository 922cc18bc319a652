// Statistics of what the databases are used for.

#include <string>

#include "proxy_impl.h"

namespace ryefold::core::session {
namespace {

/// Interval between log lines about the use of one database.
constexpr std::chrono::milliseconds kUsageLogInterval{2000};
/// Change of a limit that is logged, and the interval between lines about the
/// limit of one database.
constexpr uint32_t kLoggedLimitFactor = 2;
constexpr std::chrono::milliseconds kLimitLogInterval{2000};

}  // namespace

void Proxy::Impl::RecordUsage(DatabaseState* database, CallUse use,
                              TimePoint::duration response_time) {
  database->usage.Record(
      use,
      std::chrono::duration_cast<std::chrono::microseconds>(response_time));
}

/// Logs the totals of each database that was used since the last line about it.
void Proxy::Impl::LogUsage(TimePoint now) {
  for (const auto& [name, group] : active_groups_) {
    for (const std::string& id : group->databases) {
      DatabaseState& database = databases_.at(id);
      LogLimit(now, name, &database);
      const uint64_t calls = database.usage.calls();
      if (calls == database.logged_calls ||
          now - database.usage_logged_at < kUsageLogInterval) {
        continue;
      }
      database.logged_calls = calls;
      database.usage_logged_at = now;
      Event event(events_, EventPriority::kRequest, "database_used");
      event.Add("group", name)
          .Add("database", id)
          .Add("primary", group->primary == id ? "yes" : "no")
          .Add("in_flight", database.in_flight)
          .Add("connections", database.pool.size());
      for (size_t i = 0; i < kCallUses; ++i) {
        const auto use = static_cast<CallUse>(i);
        const CallStatistics::Total& total = database.usage.total(use);
        const std::string key(CallUseName(use));
        event.Add(key, total.calls).Add(key + "_time", total.time);
      }
    }
  }
}

/// Logs a learned limit that has changed by a factor of two.
void Proxy::Impl::LogLimit(TimePoint now, const std::string& group,
                           DatabaseState* database) {
  if (database->concurrency == nullptr) return;
  const uint32_t limit = database->concurrency->limit_under_demand(now);
  const uint32_t logged = database->logged_limit;
  const bool changed = limit >= logged * kLoggedLimitFactor ||
                       limit * kLoggedLimitFactor <= logged;
  if (logged != 0 &&
      (!changed || now - database->limit_logged_at < kLimitLogInterval)) {
    return;
  }
  database->logged_limit = limit;
  database->limit_logged_at = now;
  // The first value is what every database starts with.
  if (logged == 0) return;
  Event(events_, EventPriority::kState, "concurrency_limit")
      .Add("group", group)
      .Add("database", database->info.id)
      .Add("limit", limit)
      .Add("before", logged)
      .Add("in_flight", database->in_flight)
      .Add("response_time", database->concurrency->response_time(now));
}

}  // namespace ryefold::core::session
