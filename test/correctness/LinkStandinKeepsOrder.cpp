/// Guards against failures of other tests that have no cause in the product: on a late loop, the
/// simulated path delivered a piece of a connection before an earlier one.
#include "support/Check.h"
#include "support/Loopback.h"

#include "LinkStandin.h"

#include <sys/socket.h>
#include <unistd.h>

#include <thread>

using namespace dandelion;
using namespace dandelion::testing;

Test(link_standin, delivers_the_bytes_of_a_connection_in_order)
{
  Loop loop;
  int listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in target = ToSocketAddress(LoopbackOf(1));
  cr_assert_eq(bind(listener, reinterpret_cast<sockaddr*>(&target), sizeof(target)), 0);
  cr_assert_eq(listen(listener, 1), 0);
  LinkTraits traits;
  traits.control = LoopbackOf(9);
  traits.delayMs = 1;
  traits.mappings = { LinkMapping{ LoopbackOf(3), LoopbackOf(1), "there" } };
  LinkStandin path(loop, traits);
  cr_assert(path.Start().ok());
  int sender = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in entry = ToSocketAddress(LoopbackOf(3));
  cr_assert_eq(connect(sender, reinterpret_cast<sockaddr*>(&entry), sizeof(entry)), 0);
  RunFor(loop, milliseconds(20));
  int receiver = accept(listener, nullptr, nullptr);
  cr_assert_geq(receiver, 0);

  constexpr int kPieces = 300;
  // Pieces take longer to send than the loop takes to be late, so that several are under way.
  constexpr size_t kPieceBytes = 4000;
  int pieces = 0;
  Timer timer;
  std::function<void()> sendPiece = [&] {
    std::string piece(kPieceBytes, static_cast<char>('a' + pieces % 26));
    (void)send(sender, piece.data(), piece.size(), MSG_NOSIGNAL);
    // The loop is late by this time for whatever else it does in this iteration.
    std::this_thread::sleep_for(milliseconds(pieces % 3 == 0 ? 5 : 0));
    timer.Cancel();
    if (++pieces < kPieces) {
      timer = loop.After(Duration::zero(), sendPiece);
    }
  };
  sendPiece();
  std::string received;
  auto isWhole = [&] {
    std::array<char, 65536> bytes{};
    ssize_t count = recv(receiver, bytes.data(), bytes.size(), MSG_DONTWAIT);
    received.append(bytes.data(), count > 0 ? static_cast<size_t>(count) : 0);
    return received.size() == kPieces * kPieceBytes;
  };
  cr_assert(RunUntil(loop, isWhole));
  for (size_t i = 0; i < received.size(); ++i) {
    cr_assert_eq(received[i], static_cast<char>('a' + i / kPieceBytes % 26), "byte %zu", i);
  }
  for (int opened : { listener, sender, receiver }) {
    close(opened);
  }
}
