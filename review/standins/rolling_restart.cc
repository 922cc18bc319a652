// Daemons are stopped with SIGTERM and started again, one after the other,
// under callers that run one transaction after the other, while the primary
// loses part of its answers. Checks the rule REFUSED: a write is committed
// though the consumer was given a promise that nothing is kept. Only commits
// that had taken effect before the promise was given are counted.
//
// Usage: rolling_restart RECORD FOLDER [plain]
//
// With `plain` no answer is lost, and the rule LOST is checked instead: a
// statement that was sent more than 3 s after the SIGTERM of its machine and
// passed on to a database gets no answer.

#include <cstring>
#include <iostream>

#include "deployment.h"

namespace review {
namespace {

constexpr int kGateways = 3;
constexpr int kWorkers = 12;
constexpr double kRunMs = 98000;
constexpr double kGraceMs = 6000;
constexpr const char* kHost = "desk1";
constexpr int kTimeoutMs = 1000;
/// Share of the primary's answers that are lost, when after each SIGTERM, and
/// for how long.
constexpr double kLostShare = 0.2;
constexpr double kLostAfterMs = 4500;
constexpr double kLostForMs = 1500;
/// A commit counts if it took effect this long before the promise arrived.
constexpr double kMarginMs = 20;

/// A statement sent to a daemon, and what became of it.
struct Sent {
  std::string id;
  std::string text;
  size_t gateway = 0;
  double sent_at = 0;
  double ended_at = 0;
  bool ended = false;
  Reply reply;
};

class Case {
 public:
  Case(const std::string& record, const std::string& folder, bool plain)
      : plain_(plain), deployment_(record, folder) {}

  int Run() {
    DatabaseSettings common;
    common.slots = 5;
    common.work_ms = 33;
    common.lag_ms = 8;
    deployment_.AddService("bookings", common);
    deployment_.AddService("idle-one", common);
    deployment_.AddService("idle-two", common);
    RouteSettings route{kHost, "session", "bookings", kTimeoutMs, 400, 2, 2500};
    deployment_.Configure(7, {route}, 34);
    if (!deployment_.StartGateways(kGateways)) {
      std::cout << "the daemons did not become ready\n";
      return kCouldNotRun;
    }
    terms_ = std::vector<std::vector<double>>(kGateways);
    Loop* loop = deployment_.loop();
    for (int i = 0; i < kWorkers; ++i) {
      loop->After(20.0 * i, [this, i] { OpenSession(i); });
    }
    if (HasTrouble()) loop->After(2000, [this] { Roll(0); });
    loop->Run(HasTrouble() ? kRunMs : 20000);
    stopping_ = true;
    loop->Run(2500);  // statements in flight end
    return Judge();
  }

 private:
  void OpenSession(int worker) {
    if (stopping_) return;
    Loop* loop = deployment_.loop();
    // The platform forwards a connection to a machine of its rotation.
    std::vector<size_t> usable;
    for (size_t i = 0; i < kGateways; ++i) {
      if (deployment_.InRotation(i)) usable.push_back(i);
    }
    if (usable.empty()) {
      loop->After(50, [this, worker] { OpenSession(worker); });
      return;
    }
    const size_t gateway = usable[next_++ % usable.size()];
    auto session = std::make_shared<Session>(
        loop, deployment_.gateways()[gateway]->session_port());
    sessions_[worker] = session;
    session->on_end = [this, worker] { Reopen(worker); };
    session->Start(kHost, [this, worker, gateway](const Reply& reply) {
      if (reply.lost || !reply.code.empty()) {
        Reopen(worker);
      } else {
        Transaction(worker, gateway);
      }
    });
  }

  void Reopen(int worker) {
    deployment_.loop()->After(100, [this, worker] {
      sessions_[worker]->Close();
      OpenSession(worker);
    });
  }

  void Transaction(int worker, size_t gateway) {
    if (stopping_) {
      sessions_[worker]->Close();
      return;
    }
    const std::string item = std::to_string(worker) + "a";
    const std::string data = deployment_.NewId();
    Query(worker, gateway, "BEGIN", [=, this](const Reply& begin) {
      if (!begin.ok) return Reopen(worker);
      Query(worker, gateway, "WRITE " + item + " " + data,
            [=, this](const Reply& write) {
              if (!write.ok) return Reopen(worker);
              Query(worker, gateway, "COMMIT", [=, this](const Reply& commit) {
                if (commit.ok) ++commits_;
                if (!commit.ok) return Reopen(worker);
                Transaction(worker, gateway);
              });
            });
    });
  }

  void Query(int worker, size_t gateway, const std::string& text,
             const Session::Done& done) {
    const size_t index = sent_.size();
    Sent sent;
    sent.id = deployment_.NewId();
    sent.text = text;
    sent.gateway = gateway;
    sent.sent_at = NowMs();
    sent_.push_back(sent);
    const std::string who = "caller " + std::to_string(worker) + " at " +
                            deployment_.gateways()[gateway]->name();
    deployment_.Record(who + " sends " + sent.id + " " + text);
    sessions_[worker]->Query(sent.id, text, [=, this](const Reply& reply) {
      Sent& answered = sent_[index];
      answered.ended = true;
      answered.ended_at = NowMs();
      answered.reply = reply;
      deployment_.Record(
          who + " gets for " + answered.id + ": " +
          (reply.lost
               ? "no answer, the connection ended" +
                     (reply.code.empty() ? "" : " after ERROR " + reply.code)
               : reply.ok ? "COMPLETE " + reply.digest
                          : "ERROR " + reply.code + " " + reply.text));
      done(reply);
    });
  }

  /// Stops a daemon, waits for its end, starts it again and goes on with the
  /// next one.
  void Roll(size_t gateway) {
    if (stopping_) return;
    Gateway* stopped = deployment_.gateways()[gateway].get();
    deployment_.Record("SIGTERM to " + stopped->name());
    terms_[gateway].push_back(NowMs());
    ++rolls_;
    stopped->Signal(SIGTERM);
    AwaitEnd(gateway, NowMs() + kGraceMs);
    if (plain_) return;
    Loop* loop = deployment_.loop();
    loop->After(kLostAfterMs, [this] { LoseAnswers(true); });
    loop->After(kLostAfterMs + kLostForMs, [this] { LoseAnswers(false); });
  }

  /// The platform may have promoted another database meanwhile.
  Database* Primary() {
    for (const auto& each : deployment_.databases()) {
      const bool used = each->id().rfind("i-bookings", 0) == 0;
      if (used && each->primary()) return each.get();
    }
    return nullptr;
  }

  void LoseAnswers(bool begin) {
    deployment_.Record(begin ? "the primary begins to lose answers"
                             : "the primary loses no more answers");
    if (!begin) {
      for (const auto& each : deployment_.databases()) each->set_losing(nullptr);
      return;
    }
    Primary()->set_losing([this](const std::string& id, const std::string& text) {
      const bool lost =
          std::uniform_real_distribution<>(0, 1)(random_) < kLostShare;
      if (lost) deployment_.Record("the answer to " + id + " " + text + " is lost");
      return lost;
    });
  }

  void AwaitEnd(size_t gateway, double kill_at) {
    Gateway* stopped = deployment_.gateways()[gateway].get();
    int status = 0;
    if (stopped->IsRunning(&status)) {
      if (NowMs() >= kill_at) {
        deployment_.Record("SIGKILL to " + stopped->name() + " after the grace");
        stopped->Kill();
      }
      deployment_.loop()->After(
          10, [this, gateway, kill_at] { AwaitEnd(gateway, kill_at); });
      return;
    }
    deployment_.Record(stopped->name() + " has ended");
    deployment_.loop()->After(500, [this, gateway] {
      deployment_.gateways()[gateway]->Start(/*first_start=*/false);
      AwaitRotation(gateway);
    });
  }
  void AwaitRotation(size_t gateway) {
    if (!deployment_.InRotation(gateway)) {
      deployment_.loop()->After(50, [this, gateway] { AwaitRotation(gateway); });
      return;
    }
    deployment_.Record(deployment_.gateways()[gateway]->name() +
                       " is in rotation again");
    // Callers come back before the next one is stopped.
    deployment_.loop()->After(
        800, [this, gateway] { Roll((gateway + 1) % kGateways); });
  }

  /// The time since the last SIGTERM of the statement's machine before its
  /// end; negative if there was none within the grace and a second.
  double SinceTerm(const Sent& sent, double at) const {
    for (const double term : terms_[sent.gateway]) {
      if (sent.ended_at >= term && sent.ended_at <= term + kGraceMs + 1000) {
        return at - term;
      }
    }
    return -1;
  }

  int Judge() {
    std::map<std::string, double> committed;
    // What a promotion rolled back is in the log of no primary any more.
    for (const Commit& commit : Primary()->log()) {
      committed[commit.id] = commit.committed_at;
    }
    int promised = 0;
    int refused = 0;
    int running = 0;
    for (const Sent& each : sent_) {
      if (each.text != "COMMIT" || !IsPromise(each.reply.code)) continue;
      ++promised;
      const auto found = committed.find(each.id);
      if (found == committed.end()) continue;
      const double before = each.ended_at - found->second;
      if (before < kMarginMs) {
        ++running;
        continue;
      }
      ++refused;
      deployment_.Record("REFUSED: COMMIT " + each.id + " took effect " +
                         Seconds(before) + " before the consumer got " +
                         each.reply.code + " (" + each.reply.text + "), " +
                         Seconds(SinceTerm(each, each.ended_at)) +
                         " after the SIGTERM of its machine");
    }
    char line[300];
    std::snprintf(line, sizeof(line),
                  "%d rolls, %zu statements, %d commits acknowledged, %d "
                  "answered with a promise; of these committed before the "
                  "promise: %d (and %d that were running then)",
                  rolls_, sent_.size(), commits_, promised, refused, running);
    deployment_.Record(line);
    std::cout << line << "\n";
    if (commits_ < 200 || (HasTrouble() && rolls_ < 3)) return kCouldNotRun;
    if (plain_) return CountLost() > 0 ? kBroken : kHeld;
    return refused > 0 ? kBroken : kHeld;
  }

  int CountLost() {
    std::set<std::string> ran;
    for (const review::Run& run : deployment_.runs()) ran.insert(run.id);
    int lost = 0;
    for (const Sent& each : sent_) {
      if (!each.ended || !each.reply.lost || ran.count(each.id) == 0) continue;
      const double since_term = SinceTerm(each, each.sent_at);
      const bool timed_out = each.ended_at - each.sent_at >= kTimeoutMs;
      if (since_term <= 3000 || timed_out) continue;
      ++lost;
      deployment_.Record("LOST: " + each.id + " " + each.text + " was sent " +
                         Seconds(since_term) + " after SIGTERM, run by the "
                         "database and not answered");
    }
    std::cout << "run and never answered: " << lost << "\n";
    return lost;
  }
  static std::string Seconds(double ms) {
    char text[32];
    std::snprintf(text, sizeof(text), "%.2f s", ms / 1000);
    return text;
  }

  const bool plain_;
  Deployment deployment_;
  std::map<int, std::shared_ptr<Session>> sessions_;
  std::vector<Sent> sent_;
  std::vector<std::vector<double>> terms_;
  std::mt19937_64 random_{std::random_device()()};
  size_t next_ = 0;
  int commits_ = 0;
  int rolls_ = 0;
  bool stopping_ = false;
};

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc < 3) return review::kCouldNotRun;
  return review::Case(argv[1], argv[2], argc > 3).Run();
}
