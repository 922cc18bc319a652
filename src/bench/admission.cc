// Admission under load: tables in virtual time, then the cost of the queue.

#include <benchmark/benchmark.h>

#include <cstdio>

#include "testsuite/support/admission/overload.h"

namespace ryefold {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using testing_support::OverloadSimulation;
using testing_support::Percentile;
using testing_support::Scenario;
using testing_support::Tally;

constexpr uint64_t kQueued = 2000;
constexpr uint64_t kWorkspaces = 1000;

double Ms(microseconds time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

void PrintRows(OverloadSimulation* run, const Scenario& scenario) {
  std::printf("%-10s %5s %8s %8s %8s %8s %9s %9s %9s\n", "workspace", "class",
              "arrived", "served", "in time", "refused", "queue p99",
              "answ. p99", "refus. p95");
  for (const auto& load : scenario.loads) {
    const Tally& tally = run->tally(load.policy.workspace);
    std::printf("%-10s %5u %8lu %8lu %8lu %8lu %6.2f ms %6.2f ms %6.2f ms\n",
                load.policy.workspace.c_str(), load.policy.priority,
                tally.arrived, tally.served, tally.in_time, tally.refused,
                Ms(Percentile(tally.queued, 0.99)),
                Ms(Percentile(tally.answered, 0.99)),
                Ms(Percentile(tally.refusal, 0.95)));
  }
}

void PrintRun(const char* title, const Scenario& scenario) {
  OverloadSimulation run(scenario);
  run.Run();
  std::printf("\n%s (%.0f/s capacity, %.0f s)\n", title, scenario.capacity(),
              std::chrono::duration<double>(scenario.length).count());
  PrintRows(&run, scenario);
  std::printf("refused and run: %lu\n", run.refused_and_run());
}

void PrintStorm() {
  const Scenario scenario = testing_support::RetryStorm();
  OverloadSimulation run(scenario);
  run.Run();
  std::printf("\nstall of 3 s at half load, refused callers return\n");
  PrintRows(&run, scenario);
  for (int second = 0; second < 8; ++second) {
    const auto from = scenario.stall_until + milliseconds(1000 * second);
    std::printf(
        "second %d after the stall: %.0f%% of capacity in time\n", second,
        100.0 *
            static_cast<double>(run.in_time(from, from + milliseconds(1000))) /
            scenario.capacity());
  }
  std::printf(
      "last refusal %.0f ms after the stall, its backlog served after "
      "%.0f ms\n",
      Ms(run.last_refusal() - scenario.stall_until),
      Ms(run.backlog_done() - scenario.stall_until));
}

std::vector<core::WorkspacePolicy> Policies() {
  std::vector<core::WorkspacePolicy> policies;
  for (uint64_t i = 0; i < kWorkspaces; ++i) {
    core::WorkspacePolicy policy;
    policy.workspace = "workspace-" + std::to_string(i);
    policy.priority = static_cast<uint32_t>(i % 4);
    policy.weight = static_cast<uint32_t>(1 + i % 7);
    policies.push_back(policy);
  }
  return policies;
}

// One ticket in, one out, with 2,000 waiting for 1,000 workspaces.
void PushAndPop(benchmark::State& state) {
  const auto policies = Policies();
  core::admission::Queue queue(policies, 2 * kQueued);
  core::TimePoint now;
  uint64_t tag = 0;
  const auto push = [&] {
    core::admission::Ticket ticket;
    ticket.tag = ++tag;
    ticket.workspace = policies[tag * 7919 % kWorkspaces].workspace;
    ticket.enqueued = now;
    ticket.deadline = now + std::chrono::hours(1);
    benchmark::DoNotOptimize(queue.Push(now, std::move(ticket)));
  };
  const auto any = [](const core::admission::Ticket&) { return true; };
  for (uint64_t i = 0; i < kQueued; ++i) push();
  for (auto _ : state) {
    now += microseconds(100);
    push();
    queue.RecordFinished(now);
    benchmark::DoNotOptimize(queue.Pop(now, any));
  }
}
BENCHMARK(PushAndPop);

// The look for tickets that will not be served in time, 2,000 waiting.
void Sweep(benchmark::State& state) {
  const auto policies = Policies();
  core::admission::Queue queue(policies, 2 * kQueued);
  core::TimePoint now;
  for (uint64_t tag = 1; tag <= kQueued; ++tag) {
    core::admission::Ticket ticket;
    ticket.tag = tag;
    ticket.workspace = policies[tag % kWorkspaces].workspace;
    ticket.deadline = now + std::chrono::hours(1000);
    queue.Push(now, std::move(ticket));
  }
  for (auto _ : state) {
    now += milliseconds(20);
    queue.RecordFinished(now);
    benchmark::DoNotOptimize(queue.Expire(now));
  }
}
BENCHMARK(Sweep);

}  // namespace
}  // namespace ryefold

int main(int argc, char** argv) {
  using ryefold::testing_support::DoubleLoad;
  using ryefold::testing_support::RetryStorm;
  ryefold::PrintRun("highest class alone", DoubleLoad(false));
  ryefold::PrintRun("twice the load", DoubleLoad(true));
  ryefold::PrintStorm();
  std::printf("\n");
  benchmark::Initialize(&argc, argv);
  benchmark::RunSpecifiedBenchmarks();
  return 0;
}
