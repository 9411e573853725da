#include "dandeliond/Node.h"

#include "dandeliond/AdmissionService.h"
#include "dandeliond/CallsService.h"
#include "dandeliond/FrontService.h"
#include "dandeliond/MembershipService.h"
#include "dandeliond/OperatorService.h"
#include "dandeliond/ReleaseLogService.h"
#include "dandeliond/ReleasesService.h"
#include "dandeliond/SeedsService.h"
#include "dandeliond/SpreadingService.h"
#include "dandeliond/SubmissionsService.h"

namespace dandelion {

namespace {

/// Others learn of the leave in this time, so that work they have sent already is still answered.
constexpr Duration kLeaveNotice = seconds(1);
constexpr Duration kIdleCheck = milliseconds(50);
/// Lets the last answers and the news of the end leave the process.
constexpr Duration kLastWords = milliseconds(100);

} // namespace

Node::Node(Loop& aLoop, NodeSettings aSettings, uint64_t aIncarnation, uint64_t aSeed)
  : loop_(aLoop)
  , settings_(std::move(aSettings))
  , context_{ loop_, registry_, settings_ }
{
  Hello hello{ settings_.id, settings_.peers };
  SharedKeys nodeKeys(settings_.keys.nodes);
  Duration storeLimit = milliseconds(settings_.store.timeoutMs);
  auto add = [&](ServiceName aName, std::unique_ptr<Service> aService) {
    registry_.Add(aName, std::move(aService));
  };
  add(ServiceName::Metrics, std::make_unique<MetricsService>());
  add(ServiceName::Store, std::make_unique<EtcdStore>(loop_, settings_.store.servers, storeLimit));
  bool cutsLargeMessages = settings_.lanes == LanesName::ByClass;
  add(ServiceName::Links,
      std::make_unique<WebsocketLinks>(
        loop_, settings_.peers, hello, nodeKeys, aSeed + 4, cutsLargeMessages));
  add(ServiceName::Datagrams, std::make_unique<UdpDatagrams>(loop_, settings_.peers, nodeKeys));
  add(ServiceName::Upstream, std::make_unique<HttpUpstream>(loop_, settings_.upstream));
  add(ServiceName::Releases, std::make_unique<ReleasesService>());
  add(ServiceName::ReleaseLog, std::make_unique<ReleaseLogService>(context_));
  add(ServiceName::Spreading, std::make_unique<SpreadingService>(context_, aSeed));
  add(ServiceName::Membership,
      std::make_unique<MembershipService>(context_, aIncarnation, aSeed + 1));
  add(ServiceName::Seeds, std::make_unique<SeedsService>(context_, aSeed + 3));
  add(ServiceName::Submissions, std::make_unique<SubmissionsService>(context_));
  add(ServiceName::Admission, std::make_unique<AdmissionService>(context_));
  add(ServiceName::Calls, std::make_unique<CallsService>(context_, aSeed + 2));
  add(ServiceName::Front, std::make_unique<FrontService>(context_));
  add(ServiceName::Operator, std::make_unique<OperatorService>(context_));
}

absl::Status Node::Start()
{
  return registry_.StartAll();
}

void Node::BeginStop()
{
  if (isStopping_) {
    return;
  }
  isStopping_ = true;
  TimePoint now = loop_.Now();
  earliestStop_ = now + kLeaveNotice;
  stopDeadline_ = now + std::max<Duration>(kLeaveNotice, milliseconds(settings_.drainMs));
  Log(LogPart::Kernel, LogLevel::Info, "{} is leaving and finishes its work.", settings_.id);
  registry_.Find<Membership>(ServiceName::Membership).Leave(MemberState::Leaving);
  registry_.Find<Admission>(ServiceName::Admission).Drain([this] { isDrained_ = true; });
  StopWhenIdle();
}

void Node::StopWhenIdle()
{
  TimePoint now = loop_.Now();
  bool isIdle = isDrained_ && registry_.Find<Calls>(ServiceName::Calls).InProgress() == 0;
  if ((isIdle && now >= earliestStop_) || now >= stopDeadline_) {
    registry_.Find<Membership>(ServiceName::Membership).Leave(MemberState::Gone);
    timer_ = loop_.After(kLastWords, [this] { loop_.Stop(); });
    return;
  }
  timer_ = loop_.After(kIdleCheck, [this] { StopWhenIdle(); });
}

} // namespace dandelion
