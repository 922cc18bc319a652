// A primary fails part of its requests while its liveness check is good.
// Checks the rule TWICE: a write takes effect twice for one consumer attempt.
// Also counts the statements that run without the values of their session.
//
// Usage: grey_primary RECORD FOLDER

#include <iostream>

#include "deployment.h"

namespace review {
namespace {

constexpr int kGateways = 3;
constexpr int kSessions = 24;
constexpr const char* kHost = "desk1";
constexpr double kPauseMs = 60;
/// Share of the primary's requests that fail, and for how long.
constexpr double kFailShare = 0.3;
constexpr double kTroubleMs = 5800;

class Case {
 public:
  Case(const std::string& record, const std::string& folder)
      : deployment_(record, folder) {}

  int Run() {
    DatabaseSettings common;
    common.slots = 5;
    common.work_ms = 8;
    common.lag_ms = 60;
    deployment_.AddService("records", common);
    // A small deployment has three services; one of nine databases is grey.
    deployment_.AddService("idle-one", common);
    deployment_.AddService("idle-two", common);
    RouteSettings route{kHost, "primary", "records", 1000, 200, 1, 0};
    deployment_.Configure(7, {route}, 34);
    if (!deployment_.StartGateways(kGateways)) {
      std::cout << "the daemons did not become ready\n";
      return kCouldNotRun;
    }
    Loop* loop = deployment_.loop();
    for (int i = 0; i < kSessions; ++i) {
      loop->After(40.0 * i, [this, i] { Open(i); });
    }
    loop->Run(3000);
    if (HasTrouble()) Fail(true);
    loop->Run(kTroubleMs);
    if (HasTrouble()) Fail(false);
    loop->Run(3000);
    stopping_ = true;
    loop->Run(1500);
    return Judge();
  }

 private:
  void Fail(bool begin) {
    deployment_.Record(begin ? "the primary fails 0.3 of its requests"
                             : "the primary fails no more requests");
    Database* primary = deployment_.database("i-records-a");
    if (!begin) {
      primary->set_failing(nullptr);
      return;
    }
    primary->set_failing([this](const std::string& id, const std::string& text) {
      const bool fails = std::uniform_real_distribution<>(0, 1)(random_) < kFailShare;
      if (fails) deployment_.Record("the primary fails " + id + " " + text);
      return fails;
    });
  }

  void Open(int number) {
    if (stopping_) return;
    const size_t gateway = static_cast<size_t>(number) % kGateways;
    auto session = std::make_shared<Session>(
        deployment_.loop(), deployment_.gateways()[gateway]->session_port());
    sessions_[number] = session;
    session->Start(kHost, [this, number](const Reply& reply) {
      if (reply.lost || !reply.code.empty()) return Reopen(number);
      // The session's value is its own number.
      Send(number, "SET unit " + std::to_string(number),
           [this, number](const Reply& set) {
             if (!set.ok) return Reopen(number);
             Turn(number, 0);
           });
    });
  }
  void Reopen(int number) {
    deployment_.loop()->After(200, [this, number] {
      sessions_[number]->Close();
      Open(number);
    });
  }

  void Turn(int number, int turn) {
    if (stopping_) return;
    const bool write = turn % 3 == 0;
    const std::string item = "item" + std::to_string(number);
    const std::string text =
        write ? "WRITE " + item + " " + deployment_.NewId() : "READ " + item;
    const std::string id =
        Send(number, text, [this, number, turn](const Reply& reply) {
          if (reply.lost) return Reopen(number);
          deployment_.loop()->After(
              kPauseMs, [this, number, turn] { Turn(number, turn + 1); });
        });
    if (write) writes_.push_back(id);
  }

  /// Returns the id of the statement.
  std::string Send(int number, const std::string& text,
                   const Session::Done& done) {
    const std::string id = deployment_.NewId();
    owners_[id] = number;
    const std::string who = "session " + std::to_string(number);
    deployment_.Record(who + " sends " + id + " " + text);
    sessions_[number]->Query(id, text, [=, this](const Reply& reply) {
      deployment_.Record(
          who + " gets for " + id + ": " +
          (reply.lost ? "no answer"
                      : reply.ok ? "COMPLETE " + reply.digest
                                 : "ERROR " + reply.code + " " + reply.text));
      if (reply.ok) acknowledged_.insert(id);
      done(reply);
    });
    return id;
  }

  int Judge() {
    std::map<std::string, int> effects;
    std::map<std::string, std::string> numbers;
    for (const Commit& commit : deployment_.database("i-records-a")->log()) {
      for (const std::string& id : commit.write_ids) {
        ++effects[id];
        numbers[id] += " " + std::to_string(commit.number);
      }
    }
    int twice = 0;
    for (const std::string& id : writes_) {
      if (effects[id] < 2) continue;
      ++twice;
      deployment_.Record("TWICE: write " + id + " is in the log as" +
                         numbers[id] +
                         (acknowledged_.count(id) > 0 ? ", acknowledged once"
                                                      : ", not acknowledged"));
    }
    int foreign = 0;
    for (const review::Run& run : deployment_.runs()) {
      const auto owner = owners_.find(run.id);
      const bool ran = run.outcome == "committed" || run.outcome.rfind("read", 0) == 0;
      if (owner == owners_.end() || !ran) continue;
      const auto value = run.values.find("unit");
      const std::string own = std::to_string(owner->second);
      if (value != run.values.end() && value->second == own) continue;
      ++foreign;
      deployment_.Record("PINNED: " + run.id + " of session " + own +
                         " ran with the value " +
                         (value == run.values.end() ? "of nobody" : value->second));
    }
    char line[200];
    std::snprintf(line, sizeof(line),
                  "%zu writes sent, %zu statements acknowledged; writes that "
                  "took effect twice: %d; statements that ran with other "
                  "values than their session's: %d",
                  writes_.size(), acknowledged_.size(), twice, foreign);
    deployment_.Record(line);
    std::cout << line << "\n";
    if (writes_.size() < 200 || acknowledged_.size() < 500) return kCouldNotRun;
    return twice > 0 ? kBroken : kHeld;
  }

  Deployment deployment_;
  std::mt19937_64 random_{std::random_device()()};
  std::map<int, std::shared_ptr<Session>> sessions_;
  std::map<std::string, int> owners_;
  std::vector<std::string> writes_;
  std::set<std::string> acknowledged_;
  bool stopping_ = false;
};

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 3) return review::kCouldNotRun;
  return review::Case(argv[1], argv[2]).Run();
}
