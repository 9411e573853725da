#include "dandeliond/Node.h"

#include "dandeliond/AccountCapsService.h"
#include "dandeliond/AdmissionService.h"
#include "dandeliond/CallsService.h"
#include "dandeliond/CarrierService.h"
#include "dandeliond/FollowingService.h"
#include "dandeliond/FrontService.h"
#include "dandeliond/MembershipService.h"
#include "dandeliond/OperatorService.h"
#include "dandeliond/ReadinessService.h"
#include "dandeliond/ReleaseLogService.h"
#include "dandeliond/ReleasesService.h"
#include "dandeliond/RolloutsService.h"
#include "dandeliond/SeedsService.h"
#include "dandeliond/SpreadingService.h"
#include "dandeliond/StoredConfigurationService.h"
#include "dandeliond/SubmissionsService.h"
#include "dandeliond/UpstreamStateServices.h"
#include "platform/Platform.h"

namespace dandelion {

namespace {

/// Time for other nodes to learn of the departure, in which calls that they have already sent are
/// still answered.
constexpr Duration kDepartureWindow = seconds(1);
/// A stop ends this long before the process would be killed, to leave time for sending the last
/// messages and for timers that fire late on a busy machine.
constexpr Duration kGraceMargin = milliseconds(300);
/// Longest time that small messages may wait for the machine's link behind large ones.
constexpr Duration kMaxInFlightTime = milliseconds(60);
/// Two fragments: with only one in flight, a round trip would pass between any two.
constexpr size_t kMinInFlightBytes = 2 * kFragmentBytes;
constexpr Duration kIdleCheckPeriod = milliseconds(50);
/// In the second half of a stop, calls whose second upstream has refused them ask another one after
/// this time: long enough for a refusal from another region.
constexpr Duration kHedgePeriod = milliseconds(250);
/// Time to send the last answers and the announcement that this node is gone.
constexpr Duration kFlushTime = milliseconds(100);

/// A node that is configured by release notes in an etcd store.
struct Standalone
{};
/// A node that uses the platform's store, headers and reports of upstreams.
struct OnPlatform
{};
using Environment = std::variant<Standalone, OnPlatform>;

Environment MakeEnvironment(EnvironmentName aName)
{
  return aName == EnvironmentName::Platform ? Environment(OnPlatform{}) : Environment(Standalone{});
}

StopLimits StopLimitsOf(const NodeSettings& aSettings)
{
  StopLimits limits;
  limits.notice = std::max<Duration>(kDepartureWindow, milliseconds(aSettings.stopNoticeMs));
  limits.departureWindow = kDepartureWindow;
  limits.maxDuration = milliseconds(aSettings.drainMs);
  if (aSettings.graceS > 0) {
    constexpr double kMicrosecondsPerSecond = 1e6;
    Duration grace(static_cast<int64_t>(aSettings.graceS * kMicrosecondsPerSecond));
    limits.maxDuration = std::min(limits.maxDuration, grace - kGraceMargin);
  }
  return limits;
}

/// Bytes of large messages that the machine's link sends in `kMaxInFlightTime`.
size_t MaxInFlightBytes(const MachineSettings& aMachine)
{
  constexpr double kBytesPerMegabit = 1e6 / 8;
  double seconds = std::chrono::duration<double>(kMaxInFlightTime).count();
  double bytes = aMachine.linkMbps * kBytesPerMegabit * seconds;
  return std::max(kMinInFlightBytes, static_cast<size_t>(bytes));
}

CallHeaderNames HeaderNamesOf(EnvironmentName aName)
{
  return std::visit(Overloaded{
                      [](const Standalone&) { return CallHeaderNames(); },
                      [](const OnPlatform&) { return platform::MakeCallHeaderNames(); },
                    },
                    MakeEnvironment(aName));
}

std::unique_ptr<Service> MakeStore(Loop& aLoop, const NodeSettings& aSettings)
{
  Duration timeout = milliseconds(aSettings.store.timeoutMs);
  return std::visit(Overloaded{
                      [&](const Standalone&) -> std::unique_ptr<Service> {
                        return std::make_unique<EtcdStore>(aLoop, aSettings.store.servers, timeout);
                      },
                      [&](const OnPlatform&) -> std::unique_ptr<Service> {
                        return std::make_unique<platform::KeyValueStore>(
                          aLoop, aSettings.store.servers.front(), timeout);
                      },
                    },
                    MakeEnvironment(aSettings.environment));
}

std::unique_ptr<Service> MakeReleaseLog(const NodeContext& aContext)
{
  return std::visit(Overloaded{
                      [&](const Standalone&) -> std::unique_ptr<Service> {
                        return std::make_unique<ReleaseLogService>(aContext);
                      },
                      [&](const OnPlatform&) -> std::unique_ptr<Service> {
                        bool readsOrders = aContext.settings.rollouts.has_value();
                        return std::make_unique<StoredConfigurationService>(
                          aContext,
                          platform::kConfigurationKey,
                          &platform::ReadConfiguration,
                          readsOrders ? platform::kOperatorPrefix : "");
                      },
                    },
                    MakeEnvironment(aContext.settings.environment));
}

std::unique_ptr<Service> MakeUpstreamState(const NodeContext& aContext)
{
  return std::visit(
    Overloaded{
      [&](const Standalone&) -> std::unique_ptr<Service> {
        return std::make_unique<ConfiguredUpstreamService>(aContext);
      },
      [&](const OnPlatform&) -> std::unique_ptr<Service> {
        ReportProtocol protocol{ &platform::ReadReport, &platform::AcknowledgeReport };
        return std::make_unique<ReportedUpstreamService>(aContext, protocol);
      },
    },
    MakeEnvironment(aContext.settings.environment));
}

RolloutProtocol MakeRolloutProtocol()
{
  return RolloutProtocol{ platform::kRolloutOrderPrefix,
                          &platform::RolloutOrderKey,
                          &platform::RolloutRecordKey,
                          &platform::ReadRolloutOrder,
                          &platform::MakeRolloutStatus };
}

} // namespace

Node::Node(Loop& aLoop, NodeSettings aSettings, uint64_t aIncarnation, uint64_t aSeed)
  : loop_(aLoop)
  , settings_(std::move(aSettings))
  , memory_(aLoop, ByteBudgetOf(settings_.machine.memoryMb))
  , context_{ loop_, registry_, settings_, HeaderNamesOf(settings_.environment), &memory_ }
  , stopPlan_(StopLimitsOf(settings_))
{
  Hello hello{ settings_.id, settings_.peers };
  SharedKeys nodeKeys(settings_.keys.nodes);
  auto add = [&](ServiceName aName, std::unique_ptr<Service> aService) {
    registry_.Add(aName, std::move(aService));
  };
  add(ServiceName::Metrics, std::make_unique<MetricsService>());
  add(ServiceName::Store, MakeStore(loop_, settings_));
  bool fragmentsLargeMessages = settings_.lanes == LanesName::ByClass;
  add(ServiceName::Links,
      std::make_unique<WebsocketLinks>(loop_,
                                       settings_.peers,
                                       hello,
                                       nodeKeys,
                                       aSeed + 4,
                                       fragmentsLargeMessages,
                                       MaxInFlightBytes(settings_.machine),
                                       &memory_));
  add(ServiceName::Datagrams, std::make_unique<UdpDatagrams>(loop_, settings_.peers, nodeKeys));
  add(ServiceName::Upstream,
      std::make_unique<HttpUpstream>(loop_, settings_.upstream, context_.headerNames, &memory_));
  add(ServiceName::Releases, std::make_unique<ReleasesService>());
  add(ServiceName::UpstreamState, MakeUpstreamState(context_));
  add(ServiceName::ReleaseLog, MakeReleaseLog(context_));
  if (settings_.rollouts.has_value()) {
    // Its gate has to be in place before other services read the state of the upstream.
    add(ServiceName::Rollouts,
        std::make_unique<RolloutsService>(context_, aIncarnation, MakeRolloutProtocol()));
  }
  add(ServiceName::Spreading, std::make_unique<SpreadingService>(context_, aSeed));
  add(ServiceName::Following, std::make_unique<FollowingService>(context_));
  add(ServiceName::Membership,
      std::make_unique<MembershipService>(context_, aIncarnation, aSeed + 1));
  add(ServiceName::Seeds, std::make_unique<SeedsService>(context_, aSeed + 3));
  add(ServiceName::Submissions, std::make_unique<SubmissionsService>(context_));
  add(ServiceName::Admission, std::make_unique<AdmissionService>(context_));
  add(ServiceName::Carrier, std::make_unique<CarrierService>(context_));
  add(ServiceName::AccountCaps, std::make_unique<AccountCapsService>(context_, aSeed + 5));
  add(ServiceName::Calls, std::make_unique<CallsService>(context_, aSeed + 2));
  add(ServiceName::Front, std::make_unique<FrontService>(context_));
  if (settings_.readiness.has_value()) {
    add(ServiceName::Readiness, std::make_unique<ReadinessService>(context_, platform::kReadyPath));
  }
  add(ServiceName::Operator, std::make_unique<OperatorService>(context_));
}

absl::Status Node::Start()
{
  return registry_.StartAll();
}

void Node::Reload(const absl::StatusOr<NodeSettings>& aSettings)
{
  if (!aSettings.ok()) {
    Log(LogPart::Kernel,
        LogLevel::Error,
        "The reloaded settings are invalid and the current ones stay in effect: {}.",
        MessageOf(aSettings.status()));
    return;
  }
  bool isUnchanged = ToJson(*aSettings) == ToJson(settings_);
  SetLogLevel(aSettings->logLevel);
  Log(LogPart::Kernel,
      LogLevel::Info,
      "The settings were reloaded and {}.",
      isUnchanged ? "have not changed"
                  : "have changed; changes other than log_level apply at the next start");
}

void Node::BeginStop()
{
  bool isFirstRequest = !stopPlan_.IsRequested();
  stopPlan_.RequestStop(loop_.Now());
  if (!isFirstRequest) {
    Log(LogPart::Kernel,
        LogLevel::Info,
        "{} has received another request to stop; its time limit starts again.",
        settings_.id);
    return;
  }
  Log(LogPart::Kernel,
      LogLevel::Info,
      "{} is stopping and finishes its calls in progress.",
      settings_.id);
  if (settings_.readiness.has_value()) {
    registry_.Find<Readiness>(ServiceName::Readiness).BeginStop();
  }
  registry_.Find<Front>(ServiceName::Front).BeginClosing();
  ContinueStop();
}

void Node::ContinueStop()
{
  TimePoint now = loop_.Now();
  Front& front = registry_.Find<Front>(ServiceName::Front);
  Calls& calls = registry_.Find<Calls>(ServiceName::Calls);
  if (!stopPlan_.AcceptsPeerCalls(now) && !hasAnnouncedDeparture_) {
    hasAnnouncedDeparture_ = true;
    registry_.Find<Membership>(ServiceName::Membership).AnnounceDeparture(MemberState::Leaving);
    registry_.Find<Admission>(ServiceName::Admission).Drain([this] { isDrained_ = true; });
  }
  if (!stopPlan_.AcceptsCallers(now)) {
    front.StopListening();
    calls.RefuseCallsEndingAfter(stopPlan_.Deadline());
  }
  if (stopPlan_.IsPastHalfTime(now) && now >= nextHedge_) {
    nextHedge_ = now + kHedgePeriod;
    calls.HedgeOutstanding();
  }
  bool isIdle = isDrained_ && calls.InProgress() == 0 && front.BusyConnections() == 0;
  if (!stopPlan_.MayExit(now, isIdle)) {
    timer_ = loop_.After(kIdleCheckPeriod, [this] { ContinueStop(); });
    return;
  }
  Log(LogPart::Kernel,
      LogLevel::Info,
      "{} exits with {} calls in progress.",
      settings_.id,
      calls.InProgress());
  // An answer with an unknown outcome is more useful to a caller than a broken connection.
  calls.AnswerOutstanding();
  registry_.Find<Membership>(ServiceName::Membership).AnnounceDeparture(MemberState::Gone);
  timer_ = loop_.After(kFlushTime, [this] { loop_.Stop(); });
}

} // namespace dandelion
