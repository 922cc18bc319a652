#include "testsuite/standins/database/puller.h"

#include <utility>

#include "testsuite/standins/lib/timer.h"

namespace ryefold::standins {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kWait{1000};
/// Silence beyond the wait after which the call is given up.
constexpr milliseconds kGrace{1000};
constexpr milliseconds kRetry{10};

}  // namespace

Puller::Puller(event_base* base, std::map<std::string, std::string> peers,
               Database* database, const Faults* faults,
               std::function<void()> changed)
    : base_(base),
      peers_(std::move(peers)),
      database_(database),
      faults_(faults),
      changed_(std::move(changed)) {}

void Puller::Restart() {
  ++run_;
  client_.reset();
  resume_after_.reset();
  const std::string& source = database_->following();
  const auto peer = peers_.find(source);
  if (peer == peers_.end()) return;
  if (faults_->down || faults_->CutFrom(source)) return;
  client_ = std::make_unique<HttpClient>(base_, peer->second);
  Pull(run_);
}

void Puller::Pull(uint64_t run) {
  if (run != run_) return;
  LogCall call;
  call.term = database_->adopted_term();
  call.database = database_->name();
  call.after = resume_after_.value_or(database_->log().last());
  call.lag = faults_->lag;
  call.wait = kWait;
  const uint64_t term = call.term;
  client_->Post("/v1/log", ToJson(call), kWait + kGrace,
                [this, run, term](const std::string& body) {
                  OnAnswer(run, term, body);
                });
}

void Puller::OnAnswer(uint64_t run, uint64_t term, const std::string& body) {
  if (run != run_) return;
  auto shipped = ReadLogAnswer(body);
  // Log shipping of another term than the adopted one is refused.
  if (!shipped || shipped->answer.term != term ||
      database_->adopted_term() != term) {
    PullLater(run);
    return;
  }
  switch (shipped->answer.status) {
    case LogStatus::kOk:
      Take(run, term, *std::move(shipped));
      return;
    case LogStatus::kMismatch:
      resume_after_ = database_->log().CommonWith(shipped->answer.term_starts,
                                                  shipped->answer.last);
      Pull(run);
      return;
    default:
      PullLater(run);
  }
}

void Puller::Take(uint64_t run, uint64_t term, ShippedLog shipped) {
  resume_after_.reset();
  if (!shipped.entries.empty()) {
    if (!database_->TakeEntries(term, std::move(shipped.entries))) {
      PullLater(run);
      return;
    }
    changed_();
  }
  Pull(run);
}

void Puller::PullLater(uint64_t run) {
  After(base_, kRetry, [this, run] { Pull(run); });
}

}  // namespace ryefold::standins
