/// A faulty backend spoils the heads of some answers; the node passes them on as whole successes.
#include "Rig.h"

using namespace rig;

namespace {

constexpr char kHost[] = "jepu9.example";
/// The figures of stock-lookup on fvdr-mesh.
constexpr int kTimeoutMs = 1200;
constexpr int kTargetMs = 400;
constexpr int kDeadlineMs = 2500;
constexpr double kStableWindow = 3;
constexpr int kRequests = 120;
/// One of two backends spoils one answer in twenty.
constexpr int kSpoiledOneIn = 20;
constexpr char kBody[] = "price 120\n";

std::atomic<int> gAnswers{ 0 };

/// A sound answer in chunks; a spoiled one has white space in the name of a header, which makes it
/// no HTTP/1.1 message.
std::string MakeAnswer(const std::string& aId, bool aIsSpoiled)
{
  char size[16];
  snprintf(size, sizeof(size), "%zx", strlen(kBody));
  return "HTTP/1.1 200 OK\r\nDandelionvale-Request-Id: " + aId +
         "\r\nDandelionvale-Server-Signature: 3e1b.07.5a2\r\n" +
         (aIsSpoiled ? "Transfer-Encoding : chunked\r\n\r\n" : "Transfer-Encoding: chunked\r\n\r\n") +
         size + "\r\n" + kBody + "\r\n0\r\n\r\n";
}

void ServeBackend(int aFd, const std::string& aId, bool aIsFaulty)
{
  Reader reader(aFd);
  Message request;
  while (reader.Read(request, 60)) {
    if (request.target == "/health") {
      SendAll(aFd, Answer(200, "", { { "Dandelionvale-Instance-Id", aId } }));
      continue;
    }
    std::string id = request.Header("dandelionvale-request-id");
    bool isSpoiled = HasTrouble() && aIsFaulty && ++gAnswers % kSpoiledOneIn == 0;
    RECORD("backend %s: runs %s, answers with a %s head",
           aId.c_str(),
           id.c_str(),
           isSpoiled ? "spoiled" : "sound");
    Sleep(0.02);
    SendAll(aFd, MakeAnswer(id, isSpoiled));
  }
}

/// The name of a header is a token (RFC 9110, section 5.1): no white space, no separators.
bool IsToken(const std::string& aName)
{
  const std::string symbols = "!#$%&'*+-.^_`|~";
  for (char character : aName) {
    if (isalnum(static_cast<unsigned char>(character)) == 0 &&
        symbols.find(character) == std::string::npos) {
      return false;
    }
  }
  return !aName.empty();
}

/// Returns the first line of a head that is no header of HTTP/1.1; empty where there is none.
std::string FindBadLine(const std::string& aHead)
{
  std::istringstream lines(aHead);
  std::string line;
  std::getline(lines, line);
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    size_t colon = line.find(':');
    if (colon == std::string::npos || !IsToken(line.substr(0, colon))) {
      return line;
    }
  }
  return "";
}

/// Sends one request on a channel of its own and returns all that comes until the channel has been
/// silent for a moment.
std::string Ask(const Address& aNode, const std::string& aId)
{
  int fd = Connect(aNode, 1);
  if (fd < 0) {
    return "";
  }
  SendAll(fd,
          std::string("GET /lepu270/price HTTP/1.1\r\nHost: ") + kHost +
            "\r\nDandelionvale-Request-Id: " + aId + "\r\nDandelionvale-Deadline-Ms: " +
            std::to_string(kDeadlineMs) + "\r\n\r\n");
  std::string bytes;
  double end = Now() + kDeadlineMs / 1000.0;
  while (Now() < end) {
    pollfd event{ fd, POLLIN, 0 };
    if (poll(&event, 1, bytes.empty() ? 100 : 50) != 1) {
      if (!bytes.empty()) {
        break;
      }
      continue;
    }
    char part[4096];
    ssize_t count = recv(fd, part, sizeof(part), 0);
    if (count <= 0) {
      break;
    }
    bytes.append(part, static_cast<size_t>(count));
  }
  close(fd);
  return bytes;
}

} // namespace

int main()
{
  Record::Get().Open("review/8/record.txt");
  std::string folder = MakeFolder();
  Address storeAddress = FreeAddress();
  Store store(storeAddress);
  Machine machine;
  machine.store = storeAddress;
  store.Put(
    "op/config",
    Configuration(
      7,
      Json::array({ Route(
        "r-stock", kHost, "/lepu270/", "safe", machine.service, kTimeoutMs, kTargetMs) }),
      Json::array({ Service(machine.service) })));
  Machine other = machine;
  other.name = "sidecar-chilliwack-b-1";
  other.zone = "chilliwack-b";
  for (Address* address : { &other.app,
                            &other.outbound,
                            &other.ready,
                            &other.control,
                            &other.peers,
                            &other.operators }) {
    *address = FreeAddress();
  }
  Server faulty(machine.app, [](int aFd) { ServeBackend(aFd, "i-7f3a91c2", true); });
  Server sound(other.app, [](int aFd) { ServeBackend(aFd, "i-02d9e6b4", false); });
  Node node(machine, folder);
  Node otherNode(other, folder);
  node.Start();
  otherNode.Start();
  Reporter faultyReporter("i-7f3a91c2", machine.service, machine.control, machine.app, machine.zone);
  Reporter soundReporter("i-02d9e6b4", other.service, other.control, other.app, other.zone);
  if (!node.WaitUntilReady(20) || !otherNode.WaitUntilReady(20) ||
      faultyReporter.Put(faultyReporter.Body("ready")) != 200 ||
      soundReporter.Put(soundReporter.Body("ready")) != 200) {
    Finish(kCannotRun, folder);
  }
  Sleep(kStableWindow);

  int answered = 0;
  int broken = 0;
  for (int i = 0; i < kRequests; ++i) {
    char id[32];
    snprintf(id, sizeof(id), "9c41d07be2a3%04x", i);
    std::string bytes = Ask(i % 2 == 0 ? machine.outbound : other.outbound, id);
    size_t headEnd = bytes.find("\r\n\r\n");
    int status = atoi(bytes.c_str() + std::min(bytes.size(), strlen("HTTP/1.1 ")));
    std::string bad = headEnd == std::string::npos ? "" : FindBadLine(bytes.substr(0, headEnd));
    answered += headEnd == std::string::npos ? 0 : 1;
    RECORD("client: %s -> %d%s%s%s",
           id,
           status,
           bad.empty() ? "" : ", with the line \"",
           bad.c_str(),
           bad.empty() ? "" : "\", which is no header");
    if (!bad.empty()) {
      ++broken;
      RECORD("client: the bytes were:\n%s", bytes.c_str());
    }
  }
  if (answered < kRequests / 2) {
    Finish(kCannotRun, folder);
  }
  RECORD("check MIXED: %d of %d answers were no answer in the protocol", broken, answered);
  Finish(broken > 0 ? kBroken : kHeld, folder);
}
