#include "ryefoldd/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <mutex>
#include <utility>

namespace ryefold::ryefoldd {
namespace {

using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;

const Histogram::BucketBoundaries& LatencyBuckets() {
  static const auto* const buckets = new Histogram::BucketBoundaries{
      0.0001, 0.0002, 0.0004, 0.0008, 0.0016, 0.0032, 0.0064, 0.0128,
      0.0256, 0.0512, 0.1024, 0.2048, 0.4096, 0.8192, 1.6384, 6.5536};
  return *buckets;
}

double Seconds(std::chrono::microseconds time) {
  return std::chrono::duration<double>(time).count();
}

std::string_view OutcomeName(core::OutcomeKind kind) {
  switch (kind) {
    case core::OutcomeKind::kDone:
      return "done";
    case core::OutcomeKind::kNotRun:
      return "not_run";
    case core::OutcomeKind::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace

class Metrics::Impl {
 public:
  /// The instruments of one workspace, looked up once: finding a labelled
  /// instrument in prometheus-cpp hashes all labels each time.
  struct PerWorkspace {
    Histogram* latency = nullptr;
    Histogram* class_latency = nullptr;
    Histogram* wait = nullptr;
    std::map<std::pair<core::OutcomeKind, core::Reason>, Counter*> outcomes;
    Counter* replica_reads = nullptr;
  };

  Impl()
      : latency(HistogramFamily("ryefold_request_seconds",
                                "Time to answer, by workspace")),
        class_latency(HistogramFamily("ryefold_class_request_seconds",
                                      "Time to answer, by priority class")),
        wait(HistogramFamily(
            "ryefold_queue_wait_seconds",
            "Wait in the keeper's queue, by workspace and class")),
        outcomes(CounterFamily("ryefold_outcomes_total",
                               "Answers by outcome and reason")),
        replica_reads(CounterFamily("ryefold_replica_answers_total",
                                    "Answers served by a replica")),
        rejected(CounterFamily("ryefold_rejected_total",
                               "Requests turned away, by status")),
        restarts(CounterFamily("ryefold_task_restarts_total",
                               "Failed tasks restarted")),
        store_calls(CounterFamily("ryefold_store_calls_total",
                                  "Calls to the platform")),
        keeper_gauge(GaugeFamily("ryefold_keeper",
                                 "State of a keeper, by group and figure")),
        database_gauge(GaugeFamily(
            "ryefold_database", "State of a database as its keeper sees it")),
        instance_gauge(GaugeFamily("ryefold_instance",
                                   "State of this instance, by figure")) {}

  PerWorkspace& Of(const std::string& workspace, uint32_t priority) {
    PerWorkspace& entry = workspaces[{workspace, priority}];
    if (entry.latency == nullptr) {
      const std::string level = std::to_string(priority);
      entry.latency =
          &latency.Add({{"workspace", workspace}}, LatencyBuckets());
      entry.class_latency =
          &class_latency.Add({{"class", level}}, LatencyBuckets());
      entry.wait = &wait.Add({{"workspace", workspace}, {"class", level}},
                             LatencyBuckets());
      entry.replica_reads = &replica_reads.Add({{"workspace", workspace}});
    }
    return entry;
  }

  Counter& Outcome(PerWorkspace* entry, const std::string& workspace,
                   const core::StatementAnswer& answer) {
    Counter*& counter = entry->outcomes[{answer.kind(), answer.reason()}];
    if (counter == nullptr) {
      counter = &outcomes.Add(
          {{"workspace", workspace},
           {"outcome", std::string(OutcomeName(answer.kind()))},
           {"reason", std::string(core::ReasonName(answer.reason()))}});
    }
    return *counter;
  }

  void KeeperFigure(const std::string& group, const std::string& figure,
                    double value) {
    keeper_gauge.Add({{"group", group}, {"figure", figure}}).Set(value);
  }

  void DatabaseFigure(const std::string& database, const std::string& figure,
                      double value) {
    database_gauge.Add({{"database", database}, {"figure", figure}}).Set(value);
  }

  prometheus::Registry registry;
  mutable std::mutex mutex;
  std::map<std::pair<std::string, uint32_t>, PerWorkspace> workspaces;
  Family<Histogram>& latency;
  Family<Histogram>& class_latency;
  Family<Histogram>& wait;
  Family<Counter>& outcomes;
  Family<Counter>& replica_reads;
  Family<Counter>& rejected;
  Family<Counter>& restarts;
  Family<Counter>& store_calls;
  Family<Gauge>& keeper_gauge;
  Family<Gauge>& database_gauge;
  Family<Gauge>& instance_gauge;

 private:
  Family<Histogram>& HistogramFamily(const char* name, const char* help) {
    return prometheus::BuildHistogram().Name(name).Help(help).Register(
        registry);
  }
  Family<Counter>& CounterFamily(const char* name, const char* help) {
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
  }
  Family<Gauge>& GaugeFamily(const char* name, const char* help) {
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
  }
};

Metrics::Metrics() : impl_(std::make_unique<Impl>()) {}
Metrics::~Metrics() = default;

void Metrics::Answered(const std::string& workspace, uint32_t priority,
                       const core::StatementAnswer& answer,
                       std::chrono::microseconds latency) {
  std::lock_guard<std::mutex> lock(impl_->mutex);
  Impl::PerWorkspace& entry = impl_->Of(workspace, priority);
  entry.latency->Observe(Seconds(latency));
  entry.class_latency->Observe(Seconds(latency));
  impl_->Outcome(&entry, workspace, answer).Increment();
  if (answer.from_replica()) entry.replica_reads->Increment();
}

void Metrics::Dequeued(const std::string& workspace, uint32_t priority,
                       std::chrono::microseconds waited) {
  std::lock_guard<std::mutex> lock(impl_->mutex);
  impl_->Of(workspace, priority).wait->Observe(Seconds(waited));
}

void Metrics::Rejected(int status) {
  impl_->rejected.Add({{"status", std::to_string(status)}}).Increment();
}

void Metrics::TaskRestarted(const std::string& task) {
  impl_->restarts.Add({{"task", task}}).Increment();
}

void Metrics::Keepers(const std::vector<core::group::KeeperView>& views) {
  for (const core::group::KeeperView& view : views) {
    impl_->KeeperFigure(view.group, "queued", view.queued);
    impl_->KeeperFigure(view.group, "unconfirmed", view.unconfirmed);
    impl_->KeeperFigure(view.group, "term", static_cast<double>(view.term));
    impl_->KeeperFigure(view.group, "failovers",
                        static_cast<double>(view.failovers));
    impl_->KeeperFigure(view.group, "reads_replica",
                        static_cast<double>(view.reads_replica));
    impl_->KeeperFigure(view.group, "reads_primary",
                        static_cast<double>(view.reads_primary));
    impl_->KeeperFigure(view.group, "writes", static_cast<double>(view.writes));
    impl_->KeeperFigure(view.group, "refused",
                        static_cast<double>(view.refused));
    for (const core::group::DatabaseView& database : view.databases) {
      impl_->DatabaseFigure(database.database, "reachable",
                            database.reachable ? 1 : 0);
      impl_->DatabaseFigure(database.database, "primary",
                            database.primary ? 1 : 0);
      impl_->DatabaseFigure(database.database, "connections",
                            database.connections);
      impl_->DatabaseFigure(database.database, "running", database.running);
      impl_->DatabaseFigure(
          database.database, "lag_seconds",
          std::chrono::duration<double>(database.lag).count());
    }
  }
}

void Metrics::CallerConnections(size_t open) {
  impl_->instance_gauge.Add({{"figure", "caller_connections"}})
      .Set(static_cast<double>(open));
}

void Metrics::Configuration(uint64_t revision, bool ready) {
  impl_->instance_gauge.Add({{"figure", "revision"}})
      .Set(static_cast<double>(revision));
  impl_->instance_gauge.Add({{"figure", "ready"}}).Set(ready ? 1 : 0);
}

void Metrics::ControlBytes(uint64_t sent, uint64_t received) {
  impl_->instance_gauge.Add({{"figure", "control_bytes_sent"}})
      .Set(static_cast<double>(sent));
  impl_->instance_gauge.Add({{"figure", "control_bytes_received"}})
      .Set(static_cast<double>(received));
}

void Metrics::StoreCall(const std::string& kind, bool answered) {
  impl_->store_calls
      .Add({{"kind", kind}, {"answered", answered ? "yes" : "no"}})
      .Increment();
}

std::string Metrics::Text() const {
  return prometheus::TextSerializer().Serialize(impl_->registry.Collect());
}

}  // namespace ryefold::ryefoldd
