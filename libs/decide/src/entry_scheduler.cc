#include "decide/entry_scheduler.h"

#include "entry_scheduler_impl.h"

namespace knapweedstile::decide {

EntryScheduler::EntryScheduler(const EntrySettings& settings, uint64_t seed)
    : impl_(std::make_unique<Impl>(settings, seed)) {}

EntryScheduler::~EntryScheduler() = default;

void EntryScheduler::OnArrival(TimePoint now, RequestInfo request,
                               std::vector<EntryAction>& actions) {
  impl_->OnArrival(now, std::move(request), actions);
}

void EntryScheduler::OnCancel(TimePoint now, RequestId request,
                              std::vector<EntryAction>& actions) {
  impl_->OnCancel(now, request, actions);
}

void EntryScheduler::OnFirstOutput(TimePoint now, AttemptId attempt,
                                   std::vector<EntryAction>& actions) {
  impl_->OnFirstOutput(now, attempt, actions);
}

void EntryScheduler::OnAttemptEnded(TimePoint now, AttemptId attempt,
                                    AttemptOutcome outcome,
                                    TimePoint come_back_at,
                                    std::vector<EntryAction>& actions) {
  impl_->OnAttemptEnded(now, attempt, outcome, come_back_at, actions);
}

void EntryScheduler::OnBackendServerUp(TimePoint now, BackendServerId id,
                                       std::vector<std::string> targets,
                                       std::string availability_zone,
                                       std::vector<EntryAction>& actions) {
  impl_->OnBackendServerUp(now, id, std::move(targets),
                           std::move(availability_zone), actions);
}

void EntryScheduler::OnBackendServerLeaving(TimePoint now, BackendServerId id) {
  impl_->OnBackendServerLeaving(now, id);
}

void EntryScheduler::OnBackendServerDown(TimePoint now, BackendServerId id) {
  impl_->OnBackendServerDown(now, id);
}

void EntryScheduler::OnLoad(TimePoint now, BackendServerId id,
                            const LoadReport& load,
                            std::vector<EntryAction>& actions) {
  impl_->OnLoad(now, id, load, actions);
}

void EntryScheduler::OnQuarantined(TimePoint /*now*/, uint64_t fingerprint,
                                   TimePoint until) {
  impl_->OnQuarantined(fingerprint, until);
}

void EntryScheduler::OnTick(TimePoint now, std::vector<EntryAction>& actions) {
  impl_->OnTick(now, actions);
}

TimePoint EntryScheduler::NextWake() const { return impl_->NextWake(); }

size_t EntryScheduler::BatchRoom(const std::string& target) const {
  return impl_->BatchRoom(target);
}

std::vector<std::pair<uint64_t, TimePoint>> EntryScheduler::Quarantined()
    const {
  return impl_->Quarantined();
}

}  // namespace knapweedstile::decide
