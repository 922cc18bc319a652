// The control task's side towards operators.

#include <glog/logging.h>
#include <signal.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <string>
#include <utility>
#include <variant>

#include "ryefoldd/admin_codec.h"
#include "ryefoldd/control_task.h"
#include "ryefoldd/http_reply.h"

namespace ryefold::ryefoldd {
namespace {

namespace configuration = core::configuration;
namespace membership = core::membership;
using std::chrono::milliseconds;

constexpr milliseconds kPublishTime{5000};
constexpr milliseconds kForceTime{2000};
constexpr milliseconds kHistoryTime{5000};

core::TimePoint Now() { return std::chrono::steady_clock::now(); }

int StatusOf(configuration::PublishStatus status) {
  switch (status) {
    case configuration::PublishStatus::kAccepted:
      return kOk;
    case configuration::PublishStatus::kConflict:
      return kConflict;
    case configuration::PublishStatus::kUnavailable:
      return kUnavailable;
    case configuration::PublishStatus::kInvalid:
      return kBadRequest;
    case configuration::PublishStatus::kUnknown:
      return kOutcomeUnknown;
  }
  return kOutcomeUnknown;
}

std::string ErrorBody(const std::string& error) {
  return "{\"error\":\"" + error + "\"}";
}

}  // namespace

void ControlTask::OnAdmin(const AdminAsked& asked) {
  const std::string& path = asked.path;
  const core::TimePoint now = Now();
  if (path == "/v1/admin/documents") {
    AnswerAdmin(asked.tag, kOk,
                WriteDocuments(node_->revision(), node_->documents(),
                               asked.query_prefix));
  } else if (path == "/v1/admin/publish" && asked.method == "POST") {
    wire::Findings findings;
    PublishCall call = ReadPublish(asked.body, &findings);
    if (!findings.empty()) {
      AnswerAdmin(asked.tag, kBadRequest,
                  "{\"error\":\"the request has findings\",\"findings\":" +
                      wire::ToJson(findings) + "}");
      return;
    }
    DriveNode(configuration::PublishRequested{asked.tag, std::move(call.change),
                                              now + kPublishTime, call.repeat});
  } else if (path == "/v1/admin/force") {
    const uint64_t revision = std::strtoull(asked.query_revision.c_str(),
                                            /*endptr=*/nullptr, /*base=*/10);
    DriveNode(
        configuration::InForceRequested{asked.tag, revision, now + kForceTime});
  } else if (path == "/v1/admin/history") {
    configuration::HistoryRequested history;
    history.tag = asked.tag;
    history.key = asked.query_key;
    history.deadline = now + kHistoryTime;
    DriveNode(history);
  } else if (path == "/v1/admin/status") {
    status_asked_[asked.tag] = asked;
    wiring_->keeper.Send(StatusAsked{asked.tag});
  } else if (path == "/v1/admin/drain" && asked.method == "POST") {
    OnDrainAsked(asked);
  } else {
    AnswerAdmin(asked.tag, kNotFound, ErrorBody("no such path or method"));
  }
}

void ControlTask::OnDrainAsked(const AdminAsked& asked) {
  const std::string instance = ReadDrain(asked.body);
  if (instance == wiring_->settings.name) {
    AnswerAdmin(asked.tag, kOk, "{\"draining\":true}");
    LOG(INFO) << "event=drain_asked instance=" << instance;
    // The same road as an ordinary end: the main thread takes the signal.
    kill(getpid(), SIGTERM);
    return;
  }
  const membership::Member* known = roster_.Find(instance);
  if (known == nullptr) {
    AnswerAdmin(asked.tag, kNotFound, ErrorBody("no such instance"));
    return;
  }
  AnswerAdmin(asked.tag, kMisdirected,
              "{\"error\":\"ask that instance itself\",\"address\":\"" +
                  known->address + "\"}");
}

void ControlTask::OnKeepers(const KeepersReported& report) {
  if (status_asked_.erase(report.tag) == 0) return;
  InstanceStatus status;
  status.instance = wiring_->settings.name;
  status.leaving = wiring_->leaving;
  status.node = node_->view(Now());
  status.members = node_->members();
  status.keepers = report.keepers;
  status.duties = duties_->kept_groups();
  status.watched = duties_->watched_groups();
  status.unresolved = unresolved_;
  AnswerAdmin(report.tag, kOk, WriteStatus(status));
}

void ControlTask::AnswerAdmin(uint64_t tag, int status, std::string body) {
  wiring_->entry.Send(AdminAnswered{tag, status, std::move(body)});
}

void ControlTask::AnswerOperator(const configuration::Action& action) {
  if (const auto* done = std::get_if<configuration::PublishDone>(&action)) {
    AnswerAdmin(done->tag, StatusOf(done->status), WritePublished(*done));
  } else if (const auto* force =
                 std::get_if<configuration::InForceDone>(&action)) {
    AnswerAdmin(force->tag, kOk, WriteForce(*force));
  } else if (const auto* history =
                 std::get_if<configuration::HistoryDone>(&action)) {
    AnswerAdmin(history->tag, kOk, WriteHistory(*history));
  }
}

}  // namespace ryefold::ryefoldd
