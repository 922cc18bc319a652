#include "ryefoldd/tree.h"

#include <glog/logging.h>

#include <memory>
#include <utility>

#include "ryefoldd/control_task.h"
#include "ryefoldd/entry_task.h"

namespace ryefold::ryefoldd {

void FillTree(task::Supervisor* supervisor, Wiring* wiring,
              task::Supervisor::Factory keeper) {
  supervisor->SetChildListener([wiring](const task::ChildEvent& event) {
    if (event.failure.empty()) return;
    LOG(ERROR) << "event=task_failed task=" << event.child
               << " restarted=" << event.restarted << " failure=\""
               << event.failure << "\"";
    wiring->metrics.TaskRestarted(event.child);
    if (event.child == "keeper") wiring->entry.Send(KeeperTaskFailed{});
  });
  supervisor->Add("control",
                  [wiring] { return std::make_unique<ControlTask>(wiring); });
  supervisor->Add("keeper", std::move(keeper));
  supervisor->Add("entry",
                  [wiring] { return std::make_unique<EntryTask>(wiring); });
}

}  // namespace ryefold::ryefoldd
