/// Stand-ins and helpers that the cases 6 to 10 share: the platform's store, HTTP over plain
/// sockets, a node of the project as a separate process, and the record of what happened.
///
/// It uses sockets and threads only, so that no fault of the project's own library hides here.
#ifndef REVIEW_6_RIG_H
#define REVIEW_6_RIG_H

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rig {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;
constexpr unsigned kMaxSeconds = 110;

inline double Now()
{
  static const Clock::time_point start = Clock::now();
  return std::chrono::duration<double>(Clock::now() - start).count();
}

inline void SleepUntil(double aSeconds)
{
  double wait = aSeconds - Now();
  if (wait > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(wait));
  }
}

inline void Sleep(double aSeconds)
{
  SleepUntil(Now() + aSeconds);
}

/// The lines of `record.txt`, each with the seconds since the start of the case.
class Record
{
public:
  static Record& Get()
  {
    static Record record;
    return record;
  }
  void Open(const std::string& aPath) { file_ = fopen(aPath.c_str(), "w"); }
  void Line(const char* aFormat, ...) __attribute__((format(printf, 2, 3)))
  {
    std::lock_guard<std::mutex> lock(mutex_);
    for (FILE* file : { file_, stdout }) {
      if (file != nullptr) {
        va_list arguments;
        va_start(arguments, aFormat);
        fprintf(file, "%8.3f ", Now());
        vfprintf(file, aFormat, arguments);
        fputc('\n', file);
        fflush(file);
        va_end(arguments);
      }
    }
  }

private:
  std::mutex mutex_;
  FILE* file_ = nullptr;
};

#define RECORD(...) rig::Record::Get().Line(__VA_ARGS__)

/// Whether the case plays its disruption.
inline bool HasTrouble()
{
  const char* value = getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

/// ------------------------------------------------------------------ sockets

struct Address
{
  std::string ip = "127.0.0.1";
  int port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
  sockaddr_in Raw() const
  {
    sockaddr_in raw = {};
    raw.sin_family = AF_INET;
    raw.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &raw.sin_addr);
    return raw;
  }
};

/// A port that is free for TCP and UDP. Ports below the range of ephemeral ones are tried, so that
/// no outgoing connection takes the port before its user is started.
inline Address FreeAddress()
{
  // Cases that run side by side begin at different ports.
  static int next = 12000 + static_cast<int>(std::random_device()() % 18000);
  for (int tries = 0; tries < 10000; ++tries) {
    Address address;
    address.port = next++;
    if (next > 31000) {
      next = 12000;
    }
    sockaddr_in raw = address.Raw();
    int tcp = socket(AF_INET, SOCK_STREAM, 0);
    int udp = socket(AF_INET, SOCK_DGRAM, 0);
    bool isFree = bind(tcp, reinterpret_cast<sockaddr*>(&raw), sizeof(raw)) == 0 &&
                  bind(udp, reinterpret_cast<sockaddr*>(&raw), sizeof(raw)) == 0;
    close(tcp);
    close(udp);
    if (isFree) {
      return address;
    }
  }
  RECORD("no free port");
  exit(kCannotRun);
}

/// Returns -1 if the connection is not established in time. `aReceiveBuffer` > 0 sets the size of
/// the receive buffer.
inline int Connect(const Address& aTo, double aTimeout = 1, int aReceiveBuffer = 0)
{
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (aReceiveBuffer > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &aReceiveBuffer, sizeof(aReceiveBuffer));
  }
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  fcntl(fd, F_SETFL, O_NONBLOCK);
  sockaddr_in raw = aTo.Raw();
  connect(fd, reinterpret_cast<sockaddr*>(&raw), sizeof(raw));
  pollfd event{ fd, POLLOUT, 0 };
  int error = 0;
  socklen_t size = sizeof(error);
  bool isReady = poll(&event, 1, static_cast<int>(aTimeout * 1000)) == 1;
  getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
  if (!isReady || error != 0) {
    close(fd);
    return -1;
  }
  fcntl(fd, F_SETFL, 0);
  return fd;
}

inline bool SendAll(int aFd, const std::string& aBytes)
{
  size_t sent = 0;
  while (sent < aBytes.size()) {
    ssize_t count = send(aFd, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<size_t>(count);
  }
  return true;
}

/// ------------------------------------------------------------------ HTTP

struct Message
{
  std::string method;
  std::string target;
  int status = 0;
  /// Names in lower case.
  std::multimap<std::string, std::string> headers;
  std::string body;

  std::string Header(const std::string& aName) const
  {
    auto found = headers.find(aName);
    return found == headers.end() ? "" : found->second;
  }
};

/// Reads the messages of one connection. Bodies have a Content-Length.
class Reader
{
public:
  explicit Reader(int aFd)
    : fd_(aFd)
  {
  }

  /// Returns whether a whole message was read before the connection ended, or `aTimeout` passed.
  bool Read(Message& aMessage, double aTimeout = 30)
  {
    aMessage = Message();
    double end = Now() + aTimeout;
    size_t headEnd = std::string::npos;
    while ((headEnd = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Receive(end)) {
        return false;
      }
    }
    ParseHead(buffer_.substr(0, headEnd), aMessage);
    buffer_.erase(0, headEnd + 4);
    size_t length = static_cast<size_t>(atoll(aMessage.Header("content-length").c_str()));
    while (buffer_.size() < length) {
      if (!Receive(end)) {
        aMessage.body = buffer_;
        return false;
      }
    }
    aMessage.body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return true;
  }

  /// Why the last `Read` failed: "end", "reset" or "time".
  const std::string& Failure() const { return failure_; }
  bool HasBytes() const { return !buffer_.empty(); }

private:
  bool Receive(double aEnd)
  {
    pollfd event{ fd_, POLLIN, 0 };
    int wait = static_cast<int>((aEnd - Now()) * 1000);
    if (wait <= 0 || poll(&event, 1, wait) != 1) {
      failure_ = "time";
      return false;
    }
    char bytes[65536];
    ssize_t count = recv(fd_, bytes, sizeof(bytes), 0);
    if (count <= 0) {
      failure_ = count == 0 ? "end" : "reset";
      return false;
    }
    buffer_.append(bytes, static_cast<size_t>(count));
    return true;
  }

  static void ParseHead(const std::string& aHead, Message& aMessage)
  {
    std::istringstream lines(aHead);
    std::string line;
    std::getline(lines, line);
    std::istringstream first(line);
    std::string a;
    std::string b;
    first >> a >> b;
    if (a.rfind("HTTP/", 0) == 0) {
      aMessage.status = atoi(b.c_str());
    } else {
      aMessage.method = a;
      aMessage.target = b;
    }
    while (std::getline(lines, line)) {
      size_t colon = line.find(':');
      if (colon == std::string::npos) {
        continue;
      }
      std::string name = line.substr(0, colon);
      for (char& character : name) {
        character = static_cast<char>(tolower(character));
      }
      size_t begin = line.find_first_not_of(" \t", colon + 1);
      size_t end = line.find_last_not_of(" \t\r");
      bool isEmpty = begin == std::string::npos || end < begin;
      aMessage.headers.emplace(name, isEmpty ? "" : line.substr(begin, end - begin + 1));
    }
  }

  int fd_;
  std::string buffer_;
  std::string failure_;
};

inline std::string Answer(int aStatus,
                          const std::string& aBody,
                          const std::vector<std::pair<std::string, std::string>>& aHeaders = {})
{
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + " Status\r\n";
  for (const auto& [name, value] : aHeaders) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/// Sends one request on a connection of its own. Returns the status; 0 without a whole answer.
inline int Call(const Address& aTo,
                const std::string& aMethod,
                const std::string& aTarget,
                const std::string& aBody,
                Message* aAnswer = nullptr,
                double aTimeout = 1)
{
  int fd = Connect(aTo, aTimeout);
  if (fd < 0) {
    return 0;
  }
  SendAll(fd,
          aMethod + " " + aTarget + " HTTP/1.1\r\nHost: " + aTo.Text() +
            "\r\nContent-Type: application/json\r\nContent-Length: " +
            std::to_string(aBody.size()) + "\r\n\r\n" + aBody);
  Reader reader(fd);
  Message answer;
  bool isWhole = reader.Read(answer, aTimeout);
  close(fd);
  if (aAnswer != nullptr) {
    *aAnswer = answer;
  }
  return isWhole ? answer.status : 0;
}

/// A server with one thread for each connection. `aServe` gets the connection and handles all
/// requests on it; the server closes it afterwards.
class Server
{
public:
  Server(Address aAddress, std::function<void(int)> aServe, int aBacklog = 512)
    : serve_(std::move(aServe))
  {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in raw = aAddress.Raw();
    if (bind(listener_, reinterpret_cast<sockaddr*>(&raw), sizeof(raw)) != 0 ||
        listen(listener_, aBacklog) != 0) {
      RECORD("cannot listen on %s", aAddress.Text().c_str());
      exit(kCannotRun);
    }
    std::thread([this] { Accept(); }).detach();
  }

  /// While it is set, connections wait in the listen queue.
  void SetAccepting(bool aIsAccepting) { isAccepting_ = aIsAccepting; }

private:
  void Accept()
  {
    while (true) {
      pollfd event{ listener_, POLLIN, 0 };
      if (!isAccepting_ || poll(&event, 1, 20) != 1) {
        if (!isAccepting_) {
          Sleep(0.005);
        }
        continue;
      }
      int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd >= 0) {
        int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        std::thread([this, fd] {
          serve_(fd);
          close(fd);
        }).detach();
      }
    }
  }

  int listener_;
  std::atomic<bool> isAccepting_{ true };
  std::function<void(int)> serve_;
};

/// ------------------------------------------------------------------ the platform's store

inline std::string Base64(const std::string& aBytes)
{
  static const char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < aBytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t j = 0; j < 3; ++j) {
      group = group << 8 | (i + j < aBytes.size() ? static_cast<uint8_t>(aBytes[i + j]) : 0);
    }
    for (size_t j = 0; j < 4; ++j) {
      text += i + j > aBytes.size() ? '=' : kDigits[group >> (18 - 6 * j) & 63];
    }
  }
  return text;
}

/// Keys with values, watches and transactions, as the page on the store describes them. Values are
/// kept as the base64 text in which they come and go.
class Store
{
public:
  explicit Store(const Address& aAddress)
    : server_(aAddress, [this](int aFd) { Serve(aFd); })
  {
  }

  void Put(const std::string& aKey, const std::string& aValue)
  {
    std::lock_guard<std::mutex> lock(mutex_);
    Write(aKey, Base64(aValue));
    changed_.notify_all();
  }

private:
  struct Item
  {
    std::string value;
    int64_t revision = 0;
    int64_t createdRevision = 0;
    bool isRemoved = false;
  };

  void Write(const std::string& aKey, const std::string& aValue)
  {
    Item& item = items_[aKey];
    ++revision_;
    item.createdRevision =
      item.revision == 0 || item.isRemoved ? revision_ : item.createdRevision;
    item.value = aValue;
    item.revision = revision_;
    item.isRemoved = false;
  }

  Json Show(const std::string& aKey, const Item& aItem) const
  {
    if (aItem.isRemoved) {
      return Json{ { "key", aKey }, { "rev", aItem.revision }, { "tombstone", true } };
    }
    return Json{ { "key", aKey },
                 { "value", aItem.value },
                 { "rev", aItem.revision },
                 { "created-rev", aItem.createdRevision },
                 { "lease", 0 } };
  }

  static std::string Parameter(const std::string& aTarget, const std::string& aName)
  {
    size_t begin = aTarget.find('?');
    std::string query = begin == std::string::npos ? "" : "&" + aTarget.substr(begin + 1);
    size_t found = query.find("&" + aName + "=");
    if (found == std::string::npos) {
      return "";
    }
    std::string coded = query.substr(found + aName.size() + 2);
    coded = coded.substr(0, coded.find('&'));
    std::string text;
    for (size_t i = 0; i < coded.size(); ++i) {
      if (coded[i] == '%' && i + 2 < coded.size()) {
        text += static_cast<char>(std::stoi(coded.substr(i + 1, 2), nullptr, 16));
        i += 2;
      } else {
        text += coded[i];
      }
    }
    return text;
  }

  void Serve(int aFd)
  {
    Reader reader(aFd);
    Message request;
    while (reader.Read(request, 60)) {
      auto [status, body] = Handle(request);
      if (!SendAll(aFd, Answer(status, body.dump(), { { "Content-Type", "application/json" } }))) {
        return;
      }
    }
  }

  std::pair<int, Json> Handle(const Message& aRequest)
  {
    std::string path = aRequest.target.substr(0, aRequest.target.find('?'));
    std::string prefix = Parameter(aRequest.target, "path-prefix");
    auto hasPrefix = [&](const std::string& aKey) { return aKey.rfind(prefix, 0) == 0; };
    std::unique_lock<std::mutex> lock(mutex_);
    if (path == "/v1/kv-key") {
      auto found = items_.find(Parameter(aRequest.target, "key"));
      if (found == items_.end() || found->second.isRemoved) {
        return { 404, Json{ { "at-rev", revision_ } } };
      }
      Json item = Show(found->first, found->second);
      item["at-rev"] = revision_;
      return { 200, item };
    }
    if (path == "/v1/kv-range") {
      Json items = Json::array();
      for (const auto& [key, item] : items_) {
        if (hasPrefix(key) && !item.isRemoved) {
          items.push_back(Show(key, item));
        }
      }
      return { 200, Json{ { "items", items }, { "has-more", false }, { "at-rev", revision_ } } };
    }
    if (path == "/v1/kv-watch") {
      int64_t after = atoll(Parameter(aRequest.target, "after").c_str());
      auto wait = std::chrono::milliseconds(atoll(Parameter(aRequest.target, "wait-ms").c_str()));
      Json events = Json::array();
      auto collect = [&] {
        events = Json::array();
        for (const auto& [key, item] : items_) {
          if (hasPrefix(key) && item.revision > after) {
            events.push_back(Show(key, item));
          }
        }
        return !events.empty();
      };
      changed_.wait_for(lock, wait, collect);
      return { 200, Json{ { "events", events }, { "at-rev", revision_ } } };
    }
    if (path == "/v1/kv-txn") {
      return Transact(Json::parse(aRequest.body, nullptr, false));
    }
    return { 404, Json::object() };
  }

  std::pair<int, Json> Transact(const Json& aBody)
  {
    if (!aBody.is_object()) {
      return { 400, Json::object() };
    }
    Json current = Json::array();
    bool holds = true;
    for (const Json& row : aBody.value("precondition", Json::array())) {
      auto found = items_.find(row.value("key", ""));
      bool exists = found != items_.end() && !found->second.isRemoved;
      holds = holds && (exists ? found->second.revision : 0) == row.value("rev", int64_t{ 0 });
      if (exists) {
        current.push_back(Show(found->first, found->second));
      }
    }
    if (!holds) {
      return { 412, Json{ { "items", current } } };
    }
    for (const Json& put : aBody.value("puts", Json::array())) {
      Write(put.value("key", ""), put.value("value", ""));
    }
    for (const Json& key : aBody.value("remove", Json::array())) {
      auto found = items_.find(key.get<std::string>());
      if (found != items_.end()) {
        found->second.isRemoved = true;
        found->second.revision = ++revision_;
      }
    }
    changed_.notify_all();
    return { 200, Json{ { "rev", revision_ } } };
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  int64_t revision_ = 1;
  Server server_;
};

/// ------------------------------------------------------------------ nodes

/// The fields from which the platform fills the template of the settings: those of a machine of
/// fvdr-mesh, as `fleetbench wire` shows them.
struct Machine
{
  std::string name = "sidecar-abbotsford-a-1";
  std::string zone = "abbotsford-a";
  std::string region = "lower-mainland";
  std::string service = "huvo11a";
  Address app = FreeAddress();
  Address outbound = FreeAddress();
  Address ready = FreeAddress();
  Address control = FreeAddress();
  Address peers = FreeAddress();
  Address operators = FreeAddress();
  Address store;
  bool isFirstStart = true;
  std::map<std::string, std::string> bounds = { { "budget-ratio", "0.2" },
                                                { "budget-slack", "58" },
                                                { "grace", "6" } };
};

class Node
{
public:
  Node(Machine aMachine, std::string aFolder)
    : machine_(std::move(aMachine))
    , folder_(std::move(aFolder))
  {
    AllNodes().push_back(this);
  }

  /// Starts the program of the deploy file with its template of the settings.
  void Start()
  {
    std::string path = folder_ + "/" + machine_.name + ".json";
    std::ofstream(path) << Settings();
    std::string log = folder_ + "/" + machine_.name + ".log";
    // The case ends with the program that runs it, and after `kMaxSeconds` at the latest.
    signal(SIGALRM, [](int) { _exit(kCannotRun); });
    alarm(kMaxSeconds);
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(output, STDOUT_FILENO);
      dup2(output, STDERR_FILENO);
      std::string argument = "--settings=" + path;
      execl("target/dandeliond", "target/dandeliond", argument.c_str(), nullptr);
      _exit(127);
    }
    RECORD("platform: started %s, process %d", machine_.name.c_str(), static_cast<int>(pid_));
  }

  void Signal(int aSignal, const char* aName)
  {
    RECORD("platform: %s to %s", aName, machine_.name.c_str());
    kill(pid_, aSignal);
  }

  /// Returns whether the process ended in time.
  bool WaitForEnd(double aSeconds)
  {
    double end = Now() + aSeconds;
    while (pid_ > 0) {
      int status = 0;
      if (waitpid(pid_, &status, WNOHANG) == pid_) {
        RECORD("platform: %s has ended (%s %d)",
               machine_.name.c_str(),
               WIFSIGNALED(status) ? "signal" : "exit code",
               WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
        pid_ = -1;
        break;
      }
      if (Now() > end) {
        return false;
      }
      Sleep(0.01);
    }
    return true;
  }

  /// Whether the platform's question finds the node ready within this time.
  bool WaitUntilReady(double aSeconds)
  {
    double end = Now() + aSeconds;
    while (Now() < end) {
      if (Call(machine_.ready, "GET", "/v1/ready", "", nullptr, 0.5) == 200) {
        RECORD("platform: %s is ready", machine_.name.c_str());
        return true;
      }
      Sleep(0.05);
    }
    RECORD("platform: %s did not become ready", machine_.name.c_str());
    return false;
  }

  Machine& Settable() { return machine_; }
  const Machine& Place() const { return machine_; }

  static void EndAll()
  {
    for (Node* node : AllNodes()) {
      if (node->pid_ > 0) {
        kill(node->pid_, SIGKILL);
        waitpid(node->pid_, nullptr, 0);
        node->pid_ = -1;
      }
    }
  }

private:
  static std::vector<Node*>& AllNodes()
  {
    static std::vector<Node*> nodes;
    return nodes;
  }

  std::string Settings() const
  {
    std::ifstream file("deploy/node.json");
    std::stringstream buffer;
    buffer << file.rdbuf();
    std::string text = buffer.str();
    std::map<std::string, std::string> values = {
      { "node-name", machine_.name },
      { "region", machine_.region },
      { "zone", machine_.zone },
      { "service", machine_.service },
      { "app-addr", machine_.app.Text() },
      { "listen-addrs.outbound", machine_.outbound.Text() },
      { "listen-addrs.ready", machine_.ready.Text() },
      { "listen-addrs.control", machine_.control.Text() },
      { "platform.address", machine_.store.Text() },
      { "limits.memory-mb", "260" },
      { "limits.max-fds", "4100" },
      { "limits.cpu-share", "0.2" },
      { "limits.link-mbps", "1000.0" },
      { "bootstrap", machine_.isFirstStart ? "true" : "false" },
    };
    for (const auto& [name, value] : machine_.bounds) {
      values["bounds." + name] = value;
    }
    // On one address the two ports of the range cannot be the same for all machines.
    Replace(text, "{{ip}}:{{port-range.0}}", machine_.peers.Text());
    Replace(text, "{{ip}}:{{port-range.1}}", machine_.operators.Text());
    size_t begin = 0;
    while ((begin = text.find("{{#")) != std::string::npos) {
      size_t nameEnd = text.find("}}", begin);
      std::string name = text.substr(begin + 3, nameEnd - begin - 3);
      std::string closing = "{{/" + name + "}}";
      size_t end = text.find(closing, nameEnd);
      std::string inner = values.count(name) > 0 ? text.substr(nameEnd + 2, end - nameEnd - 2) : "";
      text = text.substr(0, begin) + inner + text.substr(end + closing.size());
    }
    for (const auto& [name, value] : values) {
      Replace(text, "{{" + name + "}}", value);
    }
    return text;
  }

  static void Replace(std::string& aText, const std::string& aFrom, const std::string& aTo)
  {
    size_t found = 0;
    while ((found = aText.find(aFrom, found)) != std::string::npos) {
      aText.replace(found, aFrom.size(), aTo);
      found += aTo.size();
    }
  }

  Machine machine_;
  std::string folder_;
  pid_t pid_ = -1;
};

/// The temporary folder of the case; it is removed at the end.
inline std::string MakeFolder()
{
  char name[] = "/tmp/review-2-XXXXXX";
  if (mkdtemp(name) == nullptr) {
    RECORD("no temporary folder");
    exit(kCannotRun);
  }
  return name;
}

/// Ends all processes and the case.
[[noreturn]] inline void Finish(int aResult, const std::string& aFolder)
{
  Node::EndAll();
  if (getenv("KEEP") == nullptr) {
    std::string command = "rm -rf '" + aFolder + "'";
    if (system(command.c_str()) != 0) {
      RECORD("the temporary folder was not removed");
    }
  }
  RECORD("result: %s",
         aResult == kHeld ? "the rule held"
                          : (aResult == kBroken ? "the rule was broken" : "the case could not run"));
  _exit(aResult);
}

/// ------------------------------------------------------------------ backends

/// What a backend says of itself, and the acknowledgements that it gets.
class Reporter
{
public:
  Reporter(std::string aId, std::string aService, Address aControl, Address aOwn, std::string aZone)
    : id_(std::move(aId))
    , service_(std::move(aService))
    , control_(std::move(aControl))
    , own_(std::move(aOwn))
    , zone_(std::move(aZone))
    , born_(std::chrono::duration_cast<std::chrono::milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count())
  {
  }

  std::string Body(const std::string& aState)
  {
    return Json{ { "service", service_ },
                 { "address", own_.Text() },
                 { "zone", zone_ },
                 { "version", "v1" },
                 { "capacity", 18 },
                 { "state", aState },
                 { "warmup-left", 0 },
                 { "sequence", ++sequence_ },
                 { "born", born_ } }
      .dump();
  }

  /// Returns the status of the acknowledgement; 0 if none came within a second.
  int Put(const std::string& aBody) const
  {
    int status = Call(control_, "PUT", "/v1/instances/" + id_, aBody);
    RECORD("backend %s: report %s -> %d", id_.c_str(), aBody.c_str(), status);
    return status;
  }

  int Delete() const
  {
    int status =
      Call(control_, "DELETE", "/v1/instances/" + id_, Json{ { "born", born_ } }.dump());
    RECORD("backend %s: DELETE -> %d", id_.c_str(), status);
    return status;
  }

  const std::string& Id() const { return id_; }

private:
  std::string id_;
  std::string service_;
  Address control_;
  Address own_;
  std::string zone_;
  int64_t born_;
  std::atomic<int> sequence_{ 0 };
};

inline Json Route(const std::string& aName,
                  const std::string& aHost,
                  const std::string& aPrefix,
                  const std::string& aKind,
                  const std::string& aService,
                  int aTimeoutMs,
                  int aTargetMs)
{
  return Json{ { "name", aName },         { "host", aHost },
               { "path-prefix", aPrefix }, { "kind", aKind },
               { "timeout", aTimeoutMs },  { "target-latency", aTargetMs },
               { "priority", 1 },          { "service", aService },
               { "max-attempts", 2 } };
}

inline Json Service(const std::string& aName)
{
  return Json{ { "name", aName },
               { "health-path", "/health" },
               { "max-connections", 110 },
               { "protocol", "h1" },
               { "tls", false } };
}

inline std::string Configuration(int aVersion, const Json& aRoutes, const Json& aServices)
{
  return Json{ { "version", aVersion },
               { "routes", aRoutes },
               { "services", aServices },
               { "limits",
                 { { "max-header-bytes", 16384 },
                   { "max-body-bytes", 67108864 },
                   { "header-timeout", 3000 },
                   { "idle-timeout", 15000 } } } }
    .dump();
}

} // namespace rig

#endif
