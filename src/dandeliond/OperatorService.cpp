#include "dandeliond/OperatorService.h"

#include "dandeliond/CallIdentity.h"

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/strip.h"

namespace dandelion {

namespace {

constexpr char kNotesPath[] = "/v1/notes";
constexpr char kNotePathPrefix[] = "/v1/notes/";
constexpr char kExplainPath[] = "/v1/explain";
constexpr char kTimeLimitHeader[] = "dandelion-time-limit-ms";
constexpr int64_t kDefaultTimeLimitMs = 15000;
constexpr int64_t kMaxTimeLimitMs = 600000;

std::string FormatJson(const Json& aJson)
{
  // Names may hold bytes that are not valid UTF-8; they are replaced rather than failing the
  // answer.
  return aJson.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

HttpResponse JsonResponse(int aStatus, const Json& aJson)
{
  return HttpResponse{ aStatus, { { "Content-Type", "application/json" } }, FormatJson(aJson) };
}

HttpResponse ErrorResponse(const absl::Status& aStatus)
{
  ErrorKind kind = KindOf(aStatus);
  Json json = { { "error", NameOf(kind) }, { "reason", MessageOf(aStatus) } };
  return JsonResponse(TraitsOf(kind).httpStatus, json);
}

int StatusCodeOf(const NoteStatus& aStatus)
{
  constexpr int kHttpOk = 200;
  constexpr int kHttpAccepted = 202;
  if (aStatus.state == NoteState::Undecided) {
    return kHttpAccepted;
  }
  return aStatus.error.has_value() ? TraitsOf(*aStatus.error).httpStatus : kHttpOk;
}

absl::StatusOr<Note> ReadNote(const std::string& aText)
{
  auto json = ParseJson(aText, kMaxNoteBytes);
  if (!json.ok()) {
    return json.status();
  }
  return FromJson<Note>(*json, ErrorKind::InvalidNote);
}

Duration TimeLimitOf(const HttpRequest& aRequest)
{
  int64_t timeLimit = 0;
  bool hasTimeLimit = absl::SimpleAtoi(FindHeader(aRequest.headers, kTimeLimitHeader), &timeLimit);
  return milliseconds(hasTimeLimit ? std::clamp<int64_t>(timeLimit, 0, kMaxTimeLimitMs)
                                   : kDefaultTimeLimitMs);
}

} // namespace

OperatorService::OperatorService(const NodeContext& aContext)
  : context_(aContext)
  , keys_(aContext.settings.keys.operators)
  , server_(
      aContext.loop,
      [this](const Exchange& aExchange) { OnRequest(aExchange); },
      aContext.OtherCapacity())
{
}

absl::Status OperatorService::Start()
{
  Registry& registry = context_.registry;
  releases_ = &registry.Find<Releases>(ServiceName::Releases);
  membership_ = &registry.Find<Membership>(ServiceName::Membership);
  submissions_ = &registry.Find<Submissions>(ServiceName::Submissions);
  links_ = &registry.Find<Links>(ServiceName::Links);
  datagrams_ = &registry.Find<Datagrams>(ServiceName::Datagrams);
  store_ = &registry.Find<Store>(ServiceName::Store);
  metrics_ = &registry.Find<Metrics>(ServiceName::Metrics);
  HttpLimits limits;
  // A note over the limit must be read before it can be refused with an error that says so, so the
  // server accepts larger bodies than a note may have.
  limits.maxBodyBytes = 4 * kMaxNoteBytes;
  return server_.Listen(context_.settings.operators, limits);
}

void OperatorService::OnRequest(const Exchange& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  std::string signatureInput =
    OperatorSignatureInput(request.method, request.target, request.body.Text());
  std::string signature = FromHex(FindHeader(request.headers, kSignatureHeader));
  if (!keys_.Verify(SignaturePurpose::OperatorRequest, signatureInput, signature)) {
    aExchange->Reply(ErrorResponse(MakeError(ErrorKind::Forbidden,
                                             "the request is not signed with an operator key of "
                                             "this node; pass the key with --key_file")));
    return;
  }
  bool isPost = request.method == "POST";
  if (isPost && request.target == kNotesPath) {
    Submit(aExchange);
  } else if (isPost && request.target == "/v1/check") {
    Check(aExchange);
  } else if (absl::StartsWith(request.target, kNotePathPrefix)) {
    ShowNote(aExchange, request.target.substr(sizeof(kNotePathPrefix) - 1));
  } else if (request.target == "/v1/configuration") {
    ShowConfiguration(aExchange);
  } else if (request.target == "/v1/version") {
    ShowVersion(aExchange);
  } else if (request.target == "/v1/accounts") {
    aExchange->Reply(JsonResponse(200, DescribeAccounts(*releases_->Current())));
  } else if (request.target == "/v1/nodes") {
    ShowNodes(aExchange);
  } else if (absl::StartsWith(request.target, kExplainPath)) {
    Explain(aExchange, request.target.substr(sizeof(kExplainPath) - 1));
  } else if (request.target == "/metrics") {
    ShowMetrics(aExchange);
  } else {
    aExchange->Reply(ErrorResponse(
      MakeError(ErrorKind::UnknownObject,
                "the path or method is not part of this API; see docs/OPERATIONS.md")));
  }
}

void OperatorService::Submit(const Exchange& aExchange)
{
  auto note = ReadNote(aExchange->Request().body);
  if (!note.ok()) {
    aExchange->Reply(ErrorResponse(note.status()));
    return;
  }
  Duration timeLimit = TimeLimitOf(aExchange->Request());
  submissions_->Submit(*note, timeLimit, [aExchange](const NoteStatus& aStatus) {
    aExchange->Reply(JsonResponse(StatusCodeOf(aStatus), ToJson(aStatus)));
  });
}

void OperatorService::Check(const Exchange& aExchange)
{
  auto note = ReadNote(aExchange->Request().body);
  if (!note.ok()) {
    aExchange->Reply(ErrorResponse(note.status()));
    return;
  }
  const Configuration& current = *releases_->Current();
  auto result = Apply(current, *note, note->base.value_or(current.version));
  if (!result.ok()) {
    aExchange->Reply(ErrorResponse(result.status()));
    return;
  }
  Json json = { { "id", note->id }, { "checked_against", current.version } };
  aExchange->Reply(JsonResponse(200, json));
}

void OperatorService::ShowNote(const Exchange& aExchange, const std::string& aId)
{
  submissions_->StatusOf(aId, [aExchange](const NoteStatus& aStatus) {
    aExchange->Reply(JsonResponse(200, ToJson(aStatus)));
  });
}

void OperatorService::ShowConfiguration(const Exchange& aExchange)
{
  aExchange->Reply(JsonResponse(200, ToJson(*releases_->Current())));
}

void OperatorService::ShowVersion(const Exchange& aExchange)
{
  Json json = { { "id", context_.settings.id },
                { "version", releases_->Current()->version },
                { "hash", releases_->CurrentHash() },
                { "ready", membership_->IsReady() },
                { "fenced", membership_->IsFenced(context_.loop.Now()) } };
  aExchange->Reply(JsonResponse(200, json));
}

void OperatorService::ShowNodes(const Exchange& aExchange)
{
  Json nodes = Json::array();
  for (const auto& [id, member] : membership_->Table().All()) {
    nodes.push_back(ToJson(member));
  }
  aExchange->Reply(JsonResponse(200, Json{ { "nodes", nodes } }));
}

void OperatorService::Explain(const Exchange& aExchange, const std::string& aTarget)
{
  auto routes = releases_->Routes();
  std::optional<ResolvedRoute> route = routes->Match(aTarget);
  if (!route.has_value()) {
    aExchange->Reply(ErrorResponse(MakeError(ErrorKind::NoRoute,
                                             fmt::format("no route of version {} matches \"{}\"",
                                                         routes->SourceConfiguration().version,
                                                         aTarget))));
    return;
  }
  Json upstreams = Json::array();
  for (const auto& [id, member] : membership_->Table().All()) {
    if (member.service == route->service->name && AcceptsWork(member)) {
      upstreams.push_back(
        Json{ { "node", id }, { "region", member.region }, { "zone", member.zone } });
    }
  }
  Json json = { { "version", routes->SourceConfiguration().version },
                { "route", ToJson(*route->route) },
                { "service", ToJson(*route->service) },
                { "policy", ToJson(*route->policy) },
                { "upstreams", upstreams } };
  aExchange->Reply(JsonResponse(200, json));
}

void OperatorService::ShowMetrics(const Exchange& aExchange)
{
  std::string text;
  auto add = [&](std::string_view aName, std::string_view aLabels, uint64_t aValue) {
    text += fmt::format("dandelion_{}{} {}\n", aName, aLabels, aValue);
  };
  add("version", "", releases_->Current()->version);
  add("members", "", membership_->Table().All().size());
  add("store_calls_total", "", store_->CallCount());
  add("datagram_bytes_total", "", datagrams_->BytesSent());
  add("link_continuations_total", "", links_->Continuations());
  if (context_.memory != nullptr) {
    add("held_bytes", "", context_.memory->HeldBytes());
    bool isLimited = context_.memory->Budget() != kUnlimitedBytes;
    add("held_bytes_budget", "", isLimited ? context_.memory->Budget() : 0);
    add("dropped_for_memory_total", "", context_.memory->Dropped());
  }
  for (const auto& row : EnumNames<Lane>::kTable) {
    add("link_bytes_total", fmt::format("{{lane=\"{}\"}}", row.name), links_->BytesSent(row.value));
  }
  text += metrics_->Render();
  aExchange->Reply(HttpResponse{ 200, { { "Content-Type", "text/plain; version=0.0.4" } }, text });
}

} // namespace dandelion
