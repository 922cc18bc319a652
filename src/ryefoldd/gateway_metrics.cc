#include "ryefoldd/gateway_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <set>
#include <utility>

namespace ryefold::ryefoldd {
namespace {

using core::session::ErrorCode;
using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;

/// Workspaces that may have series of their own. Those that have them keep
/// them.
constexpr size_t kMostWorkspaces = 200;

const Histogram::BucketBoundaries& LatencyBuckets() {
  static const auto* const buckets = new Histogram::BucketBoundaries{
      0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2};
  return *buckets;
}

}  // namespace

class GatewayMetrics::Impl {
 public:
  Impl()
      : latency(prometheus::BuildHistogram()
                    .Name("ryefold_statement_seconds")
                    .Help("Time to answer a statement, by workspace and class")
                    .Register(registry)),
        outcomes(prometheus::BuildCounter()
                     .Name("ryefold_statements_total")
                     .Help("Statements answered, by workspace and outcome")
                     .Register(registry)),
        figures(prometheus::BuildGauge()
                    .Name("ryefold_instance")
                    .Help("State of this instance, by figure")
                    .Register(registry)),
        databases(prometheus::BuildGauge()
                      .Name("ryefold_database")
                      .Help("State of a database as this instance sees it")
                      .Register(registry)),
        workspaces(prometheus::BuildGauge()
                       .Name("ryefold_workspace")
                       .Help("Operations of a workspace at this instance, and "
                             "its connections")
                       .Register(registry)) {}

  Histogram& LatencyOf(const core::session::Route& route) {
    Histogram*& known = latencies[{route.name, route.priority}];
    if (known == nullptr) {
      known = &latency.Add({{"workspace", route.name},
                            {"class", std::to_string(route.priority)}},
                           LatencyBuckets());
    }
    return *known;
  }

  Counter& OutcomeOf(const std::string& route, ErrorCode outcome) {
    Counter*& known = counters[{route, outcome}];
    if (known == nullptr) {
      known = &outcomes.Add(
          {{"workspace", route},
           {"outcome", std::string(core::session::ErrorName(outcome))}});
    }
    return *known;
  }

  void Figure(const std::string& name, uint64_t value) {
    figures.Add({{"figure", name}}).Set(static_cast<double>(value));
  }

  void DatabaseFigure(const std::string& id, const std::string& name,
                      uint64_t value) {
    databases.Add({{"database", id}, {"figure", name}})
        .Set(static_cast<double>(value));
  }

  void WorkspaceFigure(const std::string& workspace, const std::string& name,
                       uint64_t value) {
    workspaces.Add({{"workspace", workspace}, {"figure", name}})
        .Set(static_cast<double>(value));
  }

  bool HasSeries(const std::string& workspace) {
    if (known_workspaces.count(workspace) > 0) return true;
    if (known_workspaces.size() >= kMostWorkspaces) return false;
    known_workspaces.insert(workspace);
    return true;
  }

  prometheus::Registry registry;
  Family<Histogram>& latency;
  Family<Counter>& outcomes;
  Family<Gauge>& figures;
  Family<Gauge>& databases;
  Family<Gauge>& workspaces;
  std::set<std::string> known_workspaces;
  std::map<std::pair<std::string, uint32_t>, Histogram*> latencies;
  std::map<std::pair<std::string, ErrorCode>, Counter*> counters;
};

GatewayMetrics::GatewayMetrics() : impl_(std::make_unique<Impl>()) {}
GatewayMetrics::~GatewayMetrics() = default;

void GatewayMetrics::OnAnswer(const core::session::Route& route,
                              ErrorCode outcome,
                              std::chrono::microseconds latency) {
  impl_->LatencyOf(route).Observe(
      std::chrono::duration<double>(latency).count());
  impl_->OutcomeOf(route.name, outcome).Increment();
}

void GatewayMetrics::Update(const std::vector<core::session::GroupView>& groups,
                            const core::session::ProxyCounters& counters,
                            size_t callers, uint64_t route_version,
                            uint64_t lines_left_out, uint64_t store_calls,
                            std::chrono::milliseconds copy_age) {
  impl_->Figure("callers", callers);
  impl_->Figure("config_version", route_version);
  impl_->Figure("answered", counters.answered);
  impl_->Figure("failed", counters.failed);
  impl_->Figure("refused", counters.refused);
  impl_->Figure("retries_moved_up", counters.retries_moved_up);
  impl_->Figure("queue_shortages", counters.queue_shortages);
  impl_->Figure("abandoned", counters.abandoned);
  impl_->Figure("cut", counters.cut);
  impl_->Figure("replica_reads", counters.replica_reads);
  impl_->Figure("primary_reads", counters.primary_reads);
  impl_->Figure("own_commits_forgotten", counters.own_commits_forgotten);
  impl_->Figure("connections_opened", counters.connections_opened);
  impl_->Figure("statements_sent", counters.statements_sent);
  impl_->Figure("session_waits", counters.session_waits);
  impl_->Figure("connections_evicted", counters.connections_evicted);
  impl_->Figure("keeper_reports", counters.keeper_reports);
  impl_->Figure("keepers_passed_over", counters.keepers_passed_over);
  impl_->Figure("keeper_retries", counters.keeper_retries);
  impl_->Figure("keeper_retries_refused", counters.keeper_retries_refused);
  impl_->Figure("log_lines_left_out", lines_left_out);
  impl_->Figure("store_calls", store_calls);
  impl_->Figure("copy_age_ms", static_cast<uint64_t>(copy_age.count()));
  for (const core::session::GroupView& group : groups) {
    for (const core::session::DatabaseView& database : group.databases) {
      impl_->DatabaseFigure(database.id, "primary", database.primary ? 1 : 0);
      impl_->DatabaseFigure(database.id, "responsive",
                            database.responsive ? 1 : 0);
      impl_->DatabaseFigure(database.id, "connections", database.connections);
      impl_->DatabaseFigure(database.id, "in_flight", database.in_flight);
      impl_->DatabaseFigure(database.id, "in_flight_limit",
                            database.in_flight_limit);
      for (size_t i = 0; i < core::session::kCallUses; ++i) {
        const auto use = static_cast<core::session::CallUse>(i);
        const std::string name(core::session::CallUseName(use));
        const auto& total = database.usage.total(use);
        impl_->DatabaseFigure(database.id, "calls_" + name, total.calls);
        impl_->DatabaseFigure(database.id, "call_us_" + name,
                              static_cast<uint64_t>(total.time.count()));
      }
    }
  }
}

void GatewayMetrics::UpdateWorkspaces(
    const std::vector<WorkspaceStatus>& workspaces) {
  for (const WorkspaceStatus& each : workspaces) {
    if (!impl_->HasSeries(each.workspace)) continue;
    impl_->WorkspaceFigure(each.workspace, "allowed", each.usage.allowed);
    impl_->WorkspaceFigure(each.workspace, "over_limit", each.usage.over_limit);
    impl_->WorkspaceFigure(each.workspace, "limit_unknown",
                           each.usage.unanswered);
    impl_->WorkspaceFigure(each.workspace, "connections", each.connections);
  }
}

void GatewayMetrics::UpdateLimitAdvances(
    const core::limits::AllowanceLedger::AdvanceCounters& advances) {
  impl_->Figure("limit_advances", advances.parts);
  impl_->Figure("limit_advance_operations", advances.operations);
}

void GatewayMetrics::UpdateLimits(
    const core::limits::LedgerCounters& counters) {
  impl_->Figure("limit_held_back", counters.held_back);
  impl_->Figure("limit_retries_planned", counters.retries_planned);
  impl_->Figure("limit_retries_spread", counters.retries_spread);
}

std::string GatewayMetrics::Text() const {
  return prometheus::TextSerializer().Serialize(impl_->registry.Collect());
}

}  // namespace ryefold::ryefoldd
