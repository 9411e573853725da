#include "dandeliond/CarrierService.h"

#include <set>

namespace dandelion {

absl::Status CarrierService::Start()
{
  links_ = &context_.registry.Find<Links>(ServiceName::Links);
  admission_ = &context_.registry.Find<Admission>(ServiceName::Admission);
  links_->AddHandler(*this);
  return absl::OkStatus();
}

void CarrierService::Send(const Member& aMember, const OpenCall& aCall, OnReply aReply)
{
  OpenAttempt& attempt = attempts_[aCall.id];
  attempt.reply = std::move(aReply);
  if (aMember.id == context_.settings.id) {
    SendLocally(aCall);
    return;
  }
  const Endpoint& endpoint = EndpointFrom(context_.settings.region, aMember);
  LinkId link = links_->Open(endpoint, LaneFor(aCall.trafficClass));
  attempt.link = link;
  links_->AwaitAnswer(link);
  links_->Send(link, aCall);
}

void CarrierService::SendLocally(const OpenCall& aCall)
{
  uint64_t id = aCall.id;
  Admission::Ticket ticket =
    admission_->Serve(aCall, [this, id](const CallReply& aReply) { OnReplyTo(id, aReply); });
  // `Serve` may refuse the call before it returns.
  auto found = attempts_.find(id);
  if (found != attempts_.end()) {
    found->second.ticket = ticket;
  }
}

void CarrierService::Cancel(uint64_t aAttempt)
{
  auto found = attempts_.find(aAttempt);
  if (found == attempts_.end()) {
    return;
  }
  OpenAttempt attempt = std::move(found->second);
  attempts_.erase(found);
  if (attempt.link.has_value()) {
    links_->AnswerReceived(*attempt.link);
    links_->Send(*attempt.link, CancelCall{ aAttempt });
  } else {
    admission_->Cancel(attempt.ticket);
  }
}

void CarrierService::OnLinkMessage(LinkId aLink, const LinkMessage& aMessage)
{
  std::visit(Overloaded{
               [&](const CallReply& aReply) {
                 // A late answer to a cancelled attempt is ignored; the cancellation has ended the
                 // wait for it.
                 if (attempts_.count(aReply.id) > 0) {
                   links_->AnswerReceived(aLink);
                   OnReplyTo(aReply.id, aReply);
                 }
               },
               [](const auto&) {},
             },
             aMessage);
}

void CarrierService::OnLinkClosed(LinkId aLink, const std::vector<LinkMessage>& aUnsent)
{
  std::set<uint64_t> unsent;
  for (const LinkMessage& message : aUnsent) {
    if (const auto* openCall = std::get_if<OpenCall>(&message)) {
      unsent.insert(openCall->id);
    }
  }
  std::vector<uint64_t> lost;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.link == aLink) {
      lost.push_back(id);
    }
  }
  for (uint64_t id : lost) {
    CallReply reply;
    reply.id = id;
    // A message that was sent may have reached the upstream before the link closed.
    bool hasLeft = unsent.count(id) == 0;
    reply.outcome = hasLeft ? CallOutcome::Unknown : CallOutcome::NotRun;
    reply.error = hasLeft ? ErrorKind::OutcomeUnknown : ErrorKind::Unreachable;
    OnReplyTo(id, reply);
  }
}

void CarrierService::OnReplyTo(uint64_t aAttempt, const CallReply& aReply)
{
  // An earlier reply may have ended the call of this attempt and cancelled it.
  auto found = attempts_.find(aAttempt);
  if (found == attempts_.end()) {
    return;
  }
  OnReply reply = std::move(found->second.reply);
  attempts_.erase(found);
  reply(aReply);
}

Lane CarrierService::LaneFor(TrafficClass aClass) const
{
  bool usesBulkLane = aClass == TrafficClass::Bulk || aClass == TrafficClass::Background;
  bool hasLanesByClass = context_.settings.lanes == LanesName::ByClass;
  return usesBulkLane && hasLanesByClass ? Lane::Bulk : Lane::Short;
}

} // namespace dandelion
