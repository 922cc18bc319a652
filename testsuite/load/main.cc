// load_sessions: callers of the three kinds before gateways (ryefoldd
// --sessions), with faults ordered from the stand-in at given seconds. Prints
// what callers got, and draws it as an SVG picture.

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

/// A caller gives a statement up after this long.
constexpr milliseconds kPatience{4000};
/// Pause before a session that ended is opened again.
constexpr milliseconds kReopen{100};

/// What callers of one kind do.
struct Kind {
  std::string route;
  milliseconds goal{400};
  /// Percent of the operations that are single writes, and transactions.
  uint32_t writes = 0;
  uint32_t transactions = 0;
};

const std::vector<Kind>& Kinds() {
  static const auto* const kinds = new std::vector<Kind>{
      {"records", milliseconds(200), 20, 40},
      {"gates", milliseconds(600), 0, 10},
      {"renewals", milliseconds(400), 12, 12},
  };
  return *kinds;
}

/// A post to the stand-in's control address at a second of the run.
struct Fault {
  milliseconds at{0};
  std::string path;
  std::string body;
};

/// "SECOND PATH BODY"; false when it does not have that form.
bool ParseFault(const std::string& text, Fault* fault) {
  std::istringstream words(text);
  int64_t second = 0;
  if (!(words >> second >> fault->path) || second < 0) return false;
  fault->at = std::chrono::seconds(second);
  std::getline(words >> std::ws, fault->body);
  return fault->path.rfind('/', 0) == 0;
}

struct Options {
  std::vector<std::string> gateways;
  std::string control;
  std::vector<Fault> faults;
  uint32_t callers = 8;
  milliseconds pause{20};
  milliseconds span{10000};
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

  void Play() {
    begun_ = steady_clock::now();
    for (const Kind& kind : Kinds()) {
      for (uint32_t i = 0; i < options_.callers; ++i) {
        callers_.push_back(std::make_unique<Caller>());
        callers_.back()->kind = &kind;
        Open(callers_.back().get());
      }
    }
    for (const Fault& fault : options_.faults) {
      After(base_, fault.at, [this, fault] { Order(fault); });
    }
    After(base_, options_.span, [this] { event_base_loopbreak(base_); });
    event_base_dispatch(base_);
  }
  const Tally& tally() const { return tally_; }

 private:
  struct Caller {
    const Kind* kind = nullptr;
    std::shared_ptr<SessionLink> link;
    uint64_t life = 0;
    /// Statements of the present operation that are still to be sent.
    std::vector<std::string> left;
    steady_clock::time_point begun;
    uint64_t statement = 0;
  };

  void Order(const Fault& fault) {
    std::cerr << "fault " << fault.path << " " << fault.body << "\n";
    http_.Call(options_.control, "POST", fault.path, fault.body,
               steady_clock::now() + kPatience,
               [](const wire::HttpResult& result) {
                 if (result.code == 200) return;
                 std::cerr << "load_sessions: a fault was not taken\n";
               });
  }

  void Open(Caller* caller) {
    const uint64_t life = ++caller->life;
    const std::string& gateway =
        options_.gateways[random_() % options_.gateways.size()];
    if (caller->link != nullptr) old_.push_back(std::move(caller->link));
    caller->left.clear();
    caller->link = std::make_shared<SessionLink>(
        base_, gateway, caller->kind->route,
        [this, caller, life](const Reply& reply) {
          if (life == caller->life) Answered(caller, reply);
        },
        [this, caller, life] {
          After(base_, kReopen, [this, caller, life] {
            if (life == caller->life) Lost(caller);
          });
        });
    Rest(caller);
  }

  void Rest(Caller* caller) {
    const milliseconds pause(1 + random_() % (2 * options_.pause.count()));
    After(base_, pause, [this, caller, life = caller->life] {
      if (life == caller->life) Begin(caller);
    });
  }

  void Begin(Caller* caller) {
    const std::string item = std::to_string(random_() % 2000);
    const uint64_t choice = random_() % 100;
    if (choice < caller->kind->writes) {
      caller->left = {"WRITE " + item + " data"};
    } else if (choice < caller->kind->writes + caller->kind->transactions) {
      const bool reads = caller->kind->writes == 0;
      caller->left = {"COMMIT",
                      reads ? "READ " + item : "WRITE " + item + " data",
                      "READ " + item, reads ? "BEGIN READ" : "BEGIN"};
    } else {
      caller->left = {"READ " + item};
    }
    caller->begun = steady_clock::now();
    Send(caller);
  }

  void Send(Caller* caller) {
    const std::string text = caller->left.back();
    caller->left.pop_back();
    caller->statement = ++last_statement_;
    std::ostringstream id;
    id << std::hex << caller->statement;
    caller->link->Send(id.str(), text);
    After(base_, kPatience,
          [this, caller, statement = caller->statement, life = caller->life] {
            if (life == caller->life && statement == caller->statement) {
              Lost(caller);
            }
          });
  }

  void Answered(Caller* caller, const Reply& reply) {
    caller->statement = 0;
    if (reply.ok() && !caller->left.empty()) {
      Send(caller);
      return;
    }
    const bool refused = core::session::MeansNotRun(reply.error) ||
                         reply.error == core::session::ErrorCode::kAborted;
    Conclude(caller, reply.ok() ? Fate::kInGoal
                                : (refused ? Fate::kRefused : Fate::kFailed));
    if (reply.ok()) {
      Rest(caller);
    } else {
      caller->link->Close();
      Open(caller);
    }
  }

  /// No answer, or the session is gone.
  void Lost(Caller* caller) {
    if (caller->statement != 0) Conclude(caller, Fate::kFailed);
    caller->statement = 0;
    caller->link->Close();
    Open(caller);
  }

  void Conclude(Caller* caller, Fate fate) {
    const auto now = steady_clock::now();
    const auto took =
        std::chrono::duration_cast<microseconds>(now - caller->begun);
    if (fate == Fate::kInGoal && took > caller->kind->goal) fate = Fate::kLate;
    tally_.Add(caller->kind->route,
               std::chrono::duration_cast<milliseconds>(now - begun_), fate,
               took);
  }

  const Options options_;
  event_base* base_;
  wire::HttpClient http_;
  std::mt19937_64 random_;
  steady_clock::time_point begun_;
  std::vector<std::unique_ptr<Caller>> callers_;
  /// Links may still be on the stack when they are replaced.
  std::vector<std::shared_ptr<SessionLink>> old_;
  uint64_t last_statement_ = 0;
  Tally tally_;
};

int Main(const cxxopts::ParseResult& parsed) {
  Options options;
  options.gateways = parsed["gateway"].as<std::vector<std::string>>();
  options.control = parsed["control"].as<std::string>();
  options.callers = parsed["callers"].as<uint32_t>();
  options.pause =
      milliseconds(std::max(parsed["pause"].as<int64_t>(), int64_t{1}));
  options.span = std::chrono::seconds(parsed["seconds"].as<int64_t>());
  options.svg = parsed["svg"].as<std::string>();
  options.seed = parsed["seed"].as<uint64_t>();
  if (parsed.count("fault") > 0) {
    for (const auto& text : parsed["fault"].as<std::vector<std::string>>()) {
      Fault fault;
      if (!ParseFault(text, &fault)) {
        std::cerr << "load_sessions: \"" << text
                  << "\" is no \"SECOND PATH BODY\"\n";
        return 2;
      }
      options.faults.push_back(fault);
    }
  }
  Run run(options);
  run.Play();
  std::cout << run.tally().Table();
  if (!options.svg.empty()) {
    std::ofstream file(options.svg);
    file << run.tally().Svg("requests a second, by what callers got");
    if (!file.good()) {
      std::cerr << "load_sessions: cannot write " << options.svg << "\n";
      return 1;
    }
  }
  return run.tally().count(Fate::kInGoal) > 0 ? 0 : 1;
}

}  // namespace
}  // namespace ryefold::load

int main(int argc, char** argv) {
  cxxopts::Options flags("load_sessions", "Callers before gateways.");
  flags.add_options()("gateway", "ip:port for sessions; may be repeated",
                      cxxopts::value<std::vector<std::string>>())(
      "control", "ip:port of the stand-in, for faults",
      cxxopts::value<std::string>()->default_value(""))(
      "fault", "\"SECOND PATH BODY\"; may be repeated",
      cxxopts::value<std::vector<std::string>>())(
      "callers", "callers of each kind",
      cxxopts::value<uint32_t>()->default_value("8"))(
      "pause", "mean pause between operations, ms",
      cxxopts::value<int64_t>()->default_value("20"))(
      "seconds", "length of the run",
      cxxopts::value<int64_t>()->default_value("10"))(
      "svg", "file for a picture",
      cxxopts::value<std::string>()->default_value(""))(
      "seed", "seed", cxxopts::value<uint64_t>()->default_value("1"));
  signal(SIGPIPE, SIG_IGN);
  try {
    const auto parsed = flags.parse(argc, argv);
    if (parsed.count("gateway") == 0) {
      std::cerr << "load_sessions: --gateway is needed\n" << flags.help();
      return 2;
    }
    return ryefold::load::Main(parsed);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "load_sessions: " << error.what() << "\n";
    return 2;
  }
}
