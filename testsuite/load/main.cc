// load_sessions: generates load on gateways (ryefoldd --sessions) with callers
// of three kinds, and injects faults through the stand-in at given times.
// Prints the outcomes that callers got and can draw them as an SVG chart.

#include <event2/event.h>
#include <signal.h>

#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <memory>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include "ryefold/wire/http.h"
#include "testsuite/load/tally.h"
#include "testsuite/standins/lib/timer.h"
#include "testsuite/support/event/session_link.h"

namespace ryefold::load {
namespace {

using core::session::Reply;
using standins::After;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using testsuite::SessionLink;

/// Time after which a caller abandons a statement.
constexpr milliseconds kStatementTimeout{4000};
/// Pause before a closed session is reopened.
constexpr milliseconds kReopenDelay{100};

/// Workload of the callers of one kind.
struct CallerKind {
  std::string route;
  milliseconds goal{400};
  /// Percentage of operations that are single writes or transactions; the rest
  /// are single reads.
  uint32_t writes = 0;
  uint32_t transactions = 0;
};

const std::vector<CallerKind>& CallerKinds() {
  static const auto* const kinds = new std::vector<CallerKind>{
      {"records", milliseconds(200), 20, 40},
      {"gates", milliseconds(600), 0, 10},
      {"renewals", milliseconds(400), 12, 12},
  };
  return *kinds;
}

/// An HTTP POST to the stand-in's control address at a given time of the run.
struct Fault {
  milliseconds at{0};
  std::string path;
  std::string body;
};

/// Parses "SECOND PATH BODY". Returns false if the text has another form.
bool ParseFault(const std::string& text, Fault* fault) {
  std::istringstream input(text);
  int64_t at_s = 0;
  if (!(input >> at_s >> fault->path) || at_s < 0) return false;
  fault->at = std::chrono::seconds(at_s);
  std::getline(input >> std::ws, fault->body);
  return fault->path.rfind('/', 0) == 0;
}

struct Options {
  std::vector<std::string> gateways;
  std::string control;
  std::vector<Fault> faults;
  uint32_t callers = 8;
  milliseconds pause{20};
  milliseconds duration{10000};
  std::string svg;
  uint64_t seed = 1;
};

class Run {
 public:
  explicit Run(Options options)
      : options_(std::move(options)),
        base_(event_base_new()),
        http_(base_),
        random_(options_.seed) {}

  void Execute() {
    started_at_ = steady_clock::now();
    for (const CallerKind& kind : CallerKinds()) {
      for (uint32_t i = 0; i < options_.callers; ++i) {
        callers_.push_back(std::make_unique<Caller>());
        callers_.back()->kind = &kind;
        OpenSession(callers_.back().get());
      }
    }
    for (const Fault& fault : options_.faults) {
      After(base_, fault.at, [this, fault] { InjectFault(fault); });
    }
    After(base_, options_.duration, [this] { event_base_loopbreak(base_); });
    event_base_dispatch(base_);
  }
  const Tally& tally() const { return tally_; }

 private:
  struct Caller {
    const CallerKind* kind = nullptr;
    std::shared_ptr<SessionLink> link;
    uint64_t session_id = 0;
    /// Unsent statements of the current operation, last one first.
    std::vector<std::string> unsent;
    steady_clock::time_point started_at;
    uint64_t statement_number = 0;
  };

  void InjectFault(const Fault& fault) {
    std::cerr << "fault " << fault.path << " " << fault.body << "\n";
    http_.Call(
        options_.control, "POST", fault.path, fault.body,
        steady_clock::now() + kStatementTimeout,
        [](const wire::HttpResult& result) {
          if (result.code == 200) return;
          std::cerr << "load_sessions: fault injection did not return 200\n";
        });
  }

  void OpenSession(Caller* caller) {
    const uint64_t session_id = ++caller->session_id;
    const std::string& gateway =
        options_.gateways[random_() % options_.gateways.size()];
    if (caller->link != nullptr) old_links_.push_back(std::move(caller->link));
    caller->unsent.clear();
    caller->link = std::make_shared<SessionLink>(
        base_, gateway, caller->kind->route,
        [this, caller, session_id](const Reply& reply) {
          if (session_id == caller->session_id) HandleReply(caller, reply);
        },
        [this, caller, session_id] {
          After(base_, kReopenDelay, [this, caller, session_id] {
            if (session_id == caller->session_id) HandleLoss(caller);
          });
        });
    ScheduleNextOperation(caller);
  }

  void ScheduleNextOperation(Caller* caller) {
    const milliseconds pause(1 + random_() % (2 * options_.pause.count()));
    After(base_, pause, [this, caller, session_id = caller->session_id] {
      if (session_id == caller->session_id) StartOperation(caller);
    });
  }

  void StartOperation(Caller* caller) {
    const std::string item = std::to_string(random_() % 2000);
    const uint64_t choice = random_() % 100;
    if (choice < caller->kind->writes) {
      caller->unsent = {"WRITE " + item + " data"};
    } else if (choice < caller->kind->writes + caller->kind->transactions) {
      const bool reads = caller->kind->writes == 0;
      caller->unsent = {"COMMIT",
                        reads ? "READ " + item : "WRITE " + item + " data",
                        "READ " + item, reads ? "BEGIN READ" : "BEGIN"};
    } else {
      caller->unsent = {"READ " + item};
    }
    caller->started_at = steady_clock::now();
    SendNext(caller);
  }

  void SendNext(Caller* caller) {
    const std::string text = caller->unsent.back();
    caller->unsent.pop_back();
    caller->statement_number = ++last_statement_number_;
    std::ostringstream id;
    id << std::hex << caller->statement_number;
    caller->link->Send(id.str(), text);
    After(base_, kStatementTimeout,
          [this, caller, statement_number = caller->statement_number,
           session_id = caller->session_id] {
            if (session_id == caller->session_id &&
                statement_number == caller->statement_number) {
              HandleLoss(caller);
            }
          });
  }

  void HandleReply(Caller* caller, const Reply& reply) {
    caller->statement_number = 0;
    if (reply.ok() && !caller->unsent.empty()) {
      SendNext(caller);
      return;
    }
    const bool refused = core::session::MeansNotRun(reply.error) ||
                         reply.error == core::session::ErrorCode::kAborted;
    RecordOutcome(
        caller, reply.ok() ? Outcome::kInGoal
                           : (refused ? Outcome::kRefused : Outcome::kFailed));
    if (reply.ok()) {
      ScheduleNextOperation(caller);
    } else {
      caller->link->Close();
      OpenSession(caller);
    }
  }

  /// Handles a timeout or the loss of the session.
  void HandleLoss(Caller* caller) {
    if (caller->statement_number != 0) RecordOutcome(caller, Outcome::kFailed);
    caller->statement_number = 0;
    caller->link->Close();
    OpenSession(caller);
  }

  void RecordOutcome(Caller* caller, Outcome outcome) {
    const auto now = steady_clock::now();
    const auto latency =
        std::chrono::duration_cast<microseconds>(now - caller->started_at);
    if (outcome == Outcome::kInGoal && latency > caller->kind->goal) {
      outcome = Outcome::kLate;
    }
    tally_.Add(caller->kind->route,
               std::chrono::duration_cast<milliseconds>(now - started_at_),
               outcome, latency);
  }

  const Options options_;
  event_base* base_;
  wire::HttpClient http_;
  std::mt19937_64 random_;
  steady_clock::time_point started_at_;
  std::vector<std::unique_ptr<Caller>> callers_;
  /// Replaced links stay alive because their callbacks may still be running.
  std::vector<std::shared_ptr<SessionLink>> old_links_;
  uint64_t last_statement_number_ = 0;
  Tally tally_;
};

int Main(const cxxopts::ParseResult& parsed) {
  Options options;
  options.gateways = parsed["gateway"].as<std::vector<std::string>>();
  options.control = parsed["control"].as<std::string>();
  options.callers = parsed["callers"].as<uint32_t>();
  options.pause =
      milliseconds(std::max(parsed["pause"].as<int64_t>(), int64_t{1}));
  options.duration = std::chrono::seconds(parsed["seconds"].as<int64_t>());
  options.svg = parsed["svg"].as<std::string>();
  options.seed = parsed["seed"].as<uint64_t>();
  if (parsed.count("fault") > 0) {
    for (const auto& text : parsed["fault"].as<std::vector<std::string>>()) {
      Fault fault;
      if (!ParseFault(text, &fault)) {
        std::cerr << "load_sessions: \"" << text
                  << "\" does not have the form \"SECOND PATH BODY\"\n";
        return 2;
      }
      options.faults.push_back(fault);
    }
  }
  Run run(options);
  run.Execute();
  std::cout << run.tally().Table();
  if (!options.svg.empty()) {
    std::ofstream file(options.svg);
    file << run.tally().Svg("operations per second by outcome");
    if (!file.good()) {
      std::cerr << "load_sessions: cannot write " << options.svg << "\n";
      return 1;
    }
  }
  return run.tally().count(Outcome::kInGoal) > 0 ? 0 : 1;
}

}  // namespace
}  // namespace ryefold::load

int main(int argc, char** argv) {
  cxxopts::Options flags("load_sessions", "Generates load on gateways.");
  flags.add_options()("gateway",
                      "ip:port of a gateway for sessions; may be repeated",
                      cxxopts::value<std::vector<std::string>>())(
      "control", "ip:port of the stand-in's control interface, for faults",
      cxxopts::value<std::string>()->default_value(""))(
      "fault", "fault as \"SECOND PATH BODY\"; may be repeated",
      cxxopts::value<std::vector<std::string>>())(
      "callers", "number of callers of each kind",
      cxxopts::value<uint32_t>()->default_value("8"))(
      "pause", "mean pause between operations, ms",
      cxxopts::value<int64_t>()->default_value("20"))(
      "seconds", "duration of the run, s",
      cxxopts::value<int64_t>()->default_value("10"))(
      "svg", "file for an SVG chart",
      cxxopts::value<std::string>()->default_value(""))(
      "seed", "seed of the random operations",
      cxxopts::value<uint64_t>()->default_value("1"));
  signal(SIGPIPE, SIG_IGN);
  try {
    const auto parsed = flags.parse(argc, argv);
    if (parsed.count("gateway") == 0) {
      std::cerr << "load_sessions: --gateway is required\n" << flags.help();
      return 2;
    }
    return ryefold::load::Main(parsed);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "load_sessions: " << error.what() << "\n";
    return 2;
  }
}
