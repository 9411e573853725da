/// Guards against responses out of order, requests that run although a response before them closes
/// the connection, and unsafe requests that run beside others, where a client sends several
/// requests on a connection without waiting.
#include "support/Check.h"
#include "support/Loopback.h"

#include "wire/Wire.h"

#include <sys/socket.h>
#include <unistd.h>

using namespace dandelion;
using namespace dandelion::testing;

namespace {

enum class Action
{
  Send,
  /// The targets begun so far, separated by blanks.
  ExpectBegun,
  /// All bytes received so far.
  ExpectReceived,
  ExpectClosed,
  /// The targets whose client was reported as disconnected, separated by blanks.
  ExpectCancelled,
  ExpectBusy,
  Answer,
  AnswerLarge,
  BeginStream,
  SendChunk,
  EndStream,
  Drop,
  BeginClosing,
  StopListening,
  Disconnect,
};

struct Step
{
  Action action;
  std::string text;
};

struct Case
{
  const char* name;
  std::vector<Step> steps;
};

std::string Get(const std::string& aTarget, const std::string& aHeaders = "")
{
  return "GET " + aTarget + " HTTP/1.1\r\n" + aHeaders + "\r\n";
}

std::string Post(const std::string& aTarget, const std::string& aBody)
{
  return fmt::format(
    "POST {} HTTP/1.1\r\nContent-Length: {}\r\n\r\n{}", aTarget, aBody.size(), aBody);
}

std::string Ok(const std::string& aBody, bool aCloses = false)
{
  return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n{}\r\n{}",
                     aBody.size(),
                     aCloses ? "Connection: close\r\n" : "",
                     aBody);
}

const std::string kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
const std::string kBad =
  "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
const std::string kStreamHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string kClose = "Connection: close\r\n";
constexpr size_t kLargeBytes = 300'000;

/// One server and one client on a loop.
class Script
{
public:
  Script()
    : server_(loop_, [this](const std::shared_ptr<HttpExchange>& aExchange) { Begin(aExchange); })
  {
    cr_assert(server_.Listen(LoopbackOf(2), HttpLimits()).ok());
    client_ = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = ToSocketAddress(LoopbackOf(2));
    cr_assert_eq(connect(client_, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
  }
  ~Script() { close(client_); }

  void Run(const Case& aCase)
  {
    for (size_t i = 0; i < aCase.steps.size(); ++i) {
      std::string found = Perform(aCase.steps[i]);
      cr_assert(found.empty(), "%s, step %zu: %s", aCase.name, i, found.c_str());
    }
  }

private:
  void Begin(const std::shared_ptr<HttpExchange>& aExchange)
  {
    std::string target = aExchange->Request().target;
    begun_ += (begun_.empty() ? "" : " ") + target;
    aExchange->OnClientDisconnected(
      [this, target] { cancelled_ += (cancelled_.empty() ? "" : " ") + target; });
    exchanges_[target] = aExchange;
  }

  /// Returns what was found where it differs from what is expected.
  std::string Perform(const Step& aStep)
  {
    switch (aStep.action) {
      case Action::Send:
        (void)send(client_, aStep.text.data(), aStep.text.size(), MSG_NOSIGNAL);
        return "";
      case Action::ExpectBegun:
        return Await(begun_, aStep.text);
      case Action::ExpectReceived:
        return Await(received_, aStep.text);
      case Action::ExpectCancelled:
        return Await(cancelled_, aStep.text);
      case Action::ExpectClosed:
        return RunUntil(loop_, [this] { return Receive(); }) ? "" : "not closed";
      case Action::ExpectBusy:
        return fmt::format("{}", server_.BusyConnections()) == aStep.text ? "" : "busy";
      case Action::Disconnect:
        shutdown(client_, SHUT_RDWR);
        return "";
      case Action::BeginClosing:
        server_.BeginClosing();
        return "";
      case Action::StopListening:
        server_.StopListening();
        return "";
      default:
        PerformOn(*exchanges_.at(aStep.text), aStep);
        return "";
    }
  }

  void PerformOn(HttpExchange& aExchange, const Step& aStep)
  {
    HttpResponse response;
    response.body =
      aStep.action == Action::AnswerLarge ? std::string(kLargeBytes, 'x') : aStep.text;
    switch (aStep.action) {
      case Action::BeginStream:
        response.body.clear();
        return aExchange.BeginStream(response);
      case Action::SendChunk:
        return aExchange.SendChunk(aStep.text);
      case Action::EndStream:
        return aExchange.EndStream();
      case Action::Drop:
        exchanges_.erase(aStep.text);
        return;
      default:
        return aExchange.Reply(response);
    }
  }

  std::string Await(const std::string& aFound, const std::string& aExpected)
  {
    auto isEqual = [&] {
      Receive();
      return aFound == aExpected;
    };
    // What comes too much is seen within the time that follows.
    RunFor(loop_, milliseconds(10));
    bool isMet = RunUntil(loop_, isEqual);
    RunFor(loop_, milliseconds(10));
    return isMet && isEqual() ? "" : "found: " + aFound.substr(0, 500);
  }

  /// Returns whether the connection is closed.
  bool Receive()
  {
    std::array<char, 65536> bytes{};
    ssize_t count = 0;
    while ((count = recv(client_, bytes.data(), bytes.size(), MSG_DONTWAIT)) > 0) {
      received_.append(bytes.data(), static_cast<size_t>(count));
    }
    return count == 0;
  }

  Loop loop_;
  HttpServer server_;
  int client_ = -1;
  std::map<std::string, std::shared_ptr<HttpExchange>> exchanges_;
  std::string begun_;
  std::string cancelled_;
  std::string received_;
};

std::string Nine()
{
  std::string requests;
  for (int i = 1; i <= 9; ++i) {
    requests += Get(fmt::format("/{}", i));
  }
  return requests;
}

const std::vector<Case> kCases = {
  { "early responses are held until their turn",
    { { Action::Send, Get("/a") + Get("/b") + Get("/c") },
      { Action::ExpectBegun, "/a /b /c" },
      { Action::Answer, "/c" },
      { Action::Answer, "/b" },
      { Action::ExpectReceived, "" },
      { Action::ExpectBusy, "1" },
      { Action::Answer, "/a" },
      { Action::ExpectReceived, Ok("/a") + Ok("/b") + Ok("/c") },
      { Action::ExpectBusy, "0" } } },
  { "at most eight run at once",
    { { Action::Send, Nine() },
      { Action::ExpectBegun, "/1 /2 /3 /4 /5 /6 /7 /8" },
      { Action::Answer, "/2" },
      { Action::ExpectBegun, "/1 /2 /3 /4 /5 /6 /7 /8" },
      { Action::Answer, "/1" },
      { Action::ExpectBegun, "/1 /2 /3 /4 /5 /6 /7 /8 /9" } } },
  { "an unsafe request waits, and so does what follows it",
    { { Action::Send, Get("/a") + Post("/p", "text") + Get("/b") },
      { Action::ExpectBegun, "/a" },
      { Action::Answer, "/a" },
      { Action::ExpectBegun, "/a /p" },
      { Action::Answer, "/p" },
      { Action::ExpectBegun, "/a /p /b" },
      { Action::Answer, "/b" },
      { Action::ExpectReceived, Ok("/a") + Ok("/p") + Ok("/b") } } },
  { "a GET with a body waits",
    { { Action::Send, Get("/a") + Get("/b", "Content-Length: 1\r\n") + "x" },
      { Action::ExpectBegun, "/a" },
      { Action::Answer, "/a" },
      { Action::ExpectBegun, "/a /b" } } },
  { "100 Continue is sent after the responses before it",
    { { Action::Send,
        Get("/a") + "POST /p HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n" },
      { Action::ExpectBegun, "/a" },
      { Action::ExpectReceived, "" },
      { Action::Answer, "/a" },
      { Action::ExpectReceived, Ok("/a") + kContinue },
      { Action::Send, "x" },
      { Action::ExpectBegun, "/a /p" } } },
  { "nothing runs behind a request that closes",
    { { Action::Send, Get("/a") + Get("/b", kClose) + Get("/c") },
      { Action::ExpectBegun, "/a /b" },
      { Action::Answer, "/b" },
      { Action::Answer, "/a" },
      { Action::ExpectReceived, Ok("/a") + Ok("/b", true) },
      { Action::ExpectClosed, "" },
      { Action::ExpectBegun, "/a /b" } } },
  { "valid requests are answered before the error behind them",
    { { Action::Send, Get("/a") + Get("/b") + "no request\r\n\r\n" + Get("/c") },
      { Action::ExpectBegun, "/a /b" },
      { Action::Answer, "/b" },
      { Action::ExpectReceived, "" },
      { Action::Answer, "/a" },
      { Action::ExpectReceived, Ok("/a") + Ok("/b") + kBad },
      { Action::ExpectClosed, "" },
      { Action::ExpectBegun, "/a /b" } } },
  { "the planned stop closes after the last request in progress",
    { { Action::Send, Get("/a") + Get("/b") },
      { Action::ExpectBegun, "/a /b" },
      { Action::BeginClosing, "" },
      { Action::Send, Get("/c") },
      { Action::ExpectBegun, "/a /b" },
      { Action::Answer, "/a" },
      { Action::StopListening, "" },
      { Action::ExpectReceived, Ok("/a") },
      { Action::Answer, "/b" },
      { Action::ExpectReceived, Ok("/a") + Ok("/b", true) },
      { Action::ExpectClosed, "" },
      { Action::ExpectBegun, "/a /b" } } },
  { "a disconnect cancels all requests",
    { { Action::Send, Get("/a") + Get("/b") + Get("/c") },
      { Action::ExpectBegun, "/a /b /c" },
      { Action::Answer, "/b" },
      { Action::Disconnect, "" },
      { Action::ExpectCancelled, "/a /c" },
      { Action::ExpectBusy, "0" } } },
  { "a stream behind another response is held",
    { { Action::Send, Get("/a") + Get("/b") + "HEAD /c HTTP/1.1\r\n\r\n" },
      { Action::ExpectBegun, "/a /b /c" },
      { Action::BeginStream, "/b" },
      { Action::SendChunk, "/b" },
      { Action::Answer, "/c" },
      { Action::ExpectReceived, "" },
      { Action::Answer, "/a" },
      { Action::ExpectReceived, Ok("/a") + kStreamHead + "2\r\n/b\r\n" },
      { Action::SendChunk, "/b" },
      { Action::EndStream, "/b" },
      { Action::ExpectReceived,
        Ok("/a") + kStreamHead + "2\r\n/b\r\n2\r\n/b\r\n0\r\n\r\n" +
          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n" } } },
  { "a stream that is cut short ends the connection after the responses before it",
    { { Action::Send, Get("/a") + Get("/b") + Get("/c") },
      { Action::ExpectBegun, "/a /b /c" },
      { Action::BeginStream, "/b" },
      { Action::Drop, "/b" },
      { Action::Answer, "/a" },
      { Action::ExpectReceived, Ok("/a") + kStreamHead },
      { Action::ExpectClosed, "" },
      { Action::ExpectCancelled, "/c" } } },
  { "nothing is begun while held responses take too many bytes",
    { { Action::Send, Get("/a") + Get("/b") },
      { Action::ExpectBegun, "/a /b" },
      { Action::AnswerLarge, "/b" },
      { Action::Send, Get("/c") },
      { Action::ExpectBegun, "/a /b" },
      { Action::Answer, "/a" },
      { Action::ExpectReceived, Ok("/a") + Ok(std::string(kLargeBytes, 'x')) },
      { Action::ExpectBegun, "/a /b /c" } } },
};

} // namespace

Test(pipelined_requests, each_case_has_its_defined_result)
{
  for (const Case& scripted : kCases) {
    Script().Run(scripted);
  }
}
