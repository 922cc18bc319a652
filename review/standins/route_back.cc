// A route of type `session` is changed to another service and back while the
// replicas of the first one fall behind. Checks the rule STALE: a read runs on
// a log that lacks a commit that its own session was acknowledged before.
//
// Usage: route_back RECORD FOLDER. With NOCHANGE set the route stays.

#include <iostream>

#include "deployment.h"

namespace review {
namespace {

constexpr int kGateways = 3;
constexpr int kSessions = 30;
constexpr const char* kHost = "desk1";
constexpr int kMaxStalenessMs = 2500;
constexpr double kLagMs = 60;
/// 33 times as late.
constexpr double kTroubleLagMs = 2000;
/// Time between the two changes of the route.
constexpr double kGapMs = 1200;
constexpr double kPauseMs = 60;
/// One statement in this many is a write.
constexpr int kWriteEvery = 4;

class Case {
 public:
  Case(const std::string& record, const std::string& folder)
      : deployment_(record, folder) {}

  int Run() {
    DatabaseSettings common;
    common.slots = 5;
    common.work_ms = 24;
    common.lag_ms = kLagMs;
    deployment_.AddService("first", common);
    deployment_.AddService("second", common);
    deployment_.AddService("idle", common);
    Configure("first");
    if (!deployment_.StartGateways(kGateways)) {
      std::cout << "the daemons did not become ready\n";
      return kCouldNotRun;
    }
    Loop* loop = deployment_.loop();
    for (int i = 0; i < kSessions; ++i) {
      loop->After(40.0 * i, [this, i] { Open(i); });
    }
    // The daemons read the store more seldom in the first seconds of a first
    // start.
    loop->Run(8000);
    if (HasTrouble()) SetLag(kTroubleLagMs);
    for (int i = 0; i < 4; ++i) {
      loop->Run(2500);
      if (std::getenv("NOCHANGE") == nullptr) Configure("second");
      loop->Run(kGapMs);
      Configure("first");
    }
    loop->Run(3500);
    SetLag(kLagMs);
    stopping_ = true;
    loop->Run(1500);
    return Judge();
  }

 private:
  struct Statement {
    int session = 0;
    std::string id;
    bool write = false;
    double sent_at = 0;
    double answered_at = 0;
    bool done = false;
  };

  void SetLag(double lag_ms) {
    for (const char* id : {"i-first-b", "i-first-c"}) {
      deployment_.Record(std::string("replica ") + id + " applies after " +
                         std::to_string(static_cast<int>(lag_ms)) + " ms");
      deployment_.database(id)->set_lag_ms(lag_ms);
    }
  }

  void Configure(const std::string& service) {
    RouteSettings route{kHost, "session", service, 1000, 400, 2, kMaxStalenessMs};
    deployment_.Configure(++version_, {route}, 34);
  }

  void Open(int number) {
    const size_t gateway = static_cast<size_t>(number) % kGateways;
    sessions_[number] = std::make_shared<Session>(
        deployment_.loop(), deployment_.gateways()[gateway]->session_port());
    sessions_[number]->Start(kHost, [this, number](const Reply& reply) {
      if (!reply.lost && reply.code.empty()) Turn(number, 0);
    });
  }

  void Turn(int number, int turn) {
    if (stopping_) return;
    Statement statement;
    statement.session = number;
    statement.id = deployment_.NewId();
    statement.write = (turn + number) % kWriteEvery == 0;
    statement.sent_at = NowMs();
    const size_t index = statements_.size();
    statements_.push_back(statement);
    const std::string who = "session " + std::to_string(number);
    const std::string item = "item" + std::to_string(number);
    const std::string text =
        statement.write ? "WRITE " + item + " " + statement.id : "READ " + item;
    deployment_.Record(who + " sends " + statement.id + " " + text);
    sessions_[number]->Query(statement.id, text, [=, this](const Reply& reply) {
      statements_[index].done = reply.ok;
      statements_[index].answered_at = NowMs();
      deployment_.Record(
          who + " gets for " + statements_[index].id + ": " +
          (reply.lost ? "no answer" : reply.ok ? "COMPLETE" : "ERROR " + reply.code) +
          (reply.rows.empty() ? "" : ", row \"" + reply.rows.front() + "\"") +
          ", position " + reply.position);
      if (reply.lost) return;
      deployment_.loop()->After(
          kPauseMs, [this, number, turn] { Turn(number, turn + 1); });
    });
  }

  int Judge() {
    std::map<std::string, uint64_t> numbers;
    for (const Commit& commit : deployment_.database("i-first-a")->log()) {
      numbers[commit.id] = commit.number;
    }
    std::map<std::string, std::vector<const review::Run*>> reads;
    for (const review::Run& run : deployment_.runs()) {
      if (run.outcome.rfind("read", 0) == 0) reads[run.id].push_back(&run);
    }
    int writes = 0;
    int checked = 0;
    int elsewhere = 0;
    int stale = 0;
    // The newest own commit on the first service, for each session.
    std::map<int, const Statement*> newest;
    for (const Statement& each : statements_) {
      if (!each.done) continue;
      if (each.write) {
        if (numbers.count(each.id) == 0) continue;
        ++writes;
        newest[each.session] = &each;
        continue;
      }
      const auto own = newest.find(each.session);
      if (own == newest.end()) continue;
      for (const review::Run* run : reads[each.id]) {
        if (run->database.rfind("i-first", 0) != 0) {
          ++elsewhere;
          continue;
        }
        ++checked;
        if (run->log_number >= numbers[own->second->id]) continue;
        ++stale;
        char line[300];
        std::snprintf(line, sizeof(line),
                      "STALE: read %s of session %d ran on %s with its log at "
                      "%llu; the session's write %s is number %llu and was "
                      "acknowledged %.0f ms before the read was sent",
                      each.id.c_str(), each.session, run->database.c_str(),
                      static_cast<unsigned long long>(run->log_number),
                      own->second->id.c_str(),
                      static_cast<unsigned long long>(numbers[own->second->id]),
                      each.sent_at - own->second->answered_at);
        deployment_.Record(line);
      }
    }
    char line[200];
    std::snprintf(line, sizeof(line),
                  "%d writes acknowledged by the first service, %d later reads "
                  "of the same sessions there, %d on the second one; stale: %d",
                  writes, checked, elsewhere, stale);
    deployment_.Record(line);
    std::cout << line << "\n";
    if (writes < 100 || checked < 500) return kCouldNotRun;
    return stale > 0 ? kBroken : kHeld;
  }

  Deployment deployment_;
  std::map<int, std::shared_ptr<Session>> sessions_;
  std::vector<Statement> statements_;
  uint64_t version_ = 6;
  bool stopping_ = false;
};

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 3) return review::kCouldNotRun;
  return review::Case(argv[1], argv[2]).Run();
}
