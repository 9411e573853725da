/// Guards against calls that are lost, run twice or stay unanswered because a connection between
/// two nodes falls silent: each frame is delivered once and in order over any sequence of
/// connections, and a silent connection is found out without any message.
#include "support/Check.h"

#include "wire/Wire.h"

#include <rapidcheck.h>

using namespace dandelion;

namespace {

/// One side of a link and what it has received.
struct Side
{
  LinkDelivery delivery;
  std::vector<std::string> sent;
  std::vector<std::string> received;
};

/// The frames that a connection carries in one direction. Those behind `arrives` are lost with it.
void Deliver(const std::vector<std::string>& aFrames, size_t aArrives, Side& aReceiver)
{
  for (size_t i = 0; i < std::min(aArrives, aFrames.size()); ++i) {
    aReceiver.delivery.OnReceived();
    aReceiver.received.push_back(aFrames[i]);
  }
}

std::vector<std::string> FramesToRepeat(const Side& aSender)
{
  std::vector<std::string> frames;
  for (const auto& frame : aSender.delivery.Unacknowledged()) {
    frames.push_back(frame.bytes);
  }
  return frames;
}

} // namespace

Test(link_delivery, delivers_each_frame_once_in_order_over_any_connections)
{
  cr_assert(rc::check("each frame arrives once and in order", [] {
    Side sides[2];
    TimePoint now{};
    int connections = *rc::gen::inRange(1, 8);
    for (int connection = 0; connection < connections; ++connection) {
      for (int from : { 0, 1 }) {
        Side& sender = sides[from];
        Side& receiver = sides[1 - from];
        // The new connection begins with the count of the other side.
        RC_ASSERT(sender.delivery.OnAcknowledged(receiver.delivery.Received(), now));
        sender.delivery.OnResent(now);
        std::vector<std::string> frames = FramesToRepeat(sender);
        int fresh = *rc::gen::inRange(0, 6);
        for (int i = 0; i < fresh; ++i) {
          std::string frame = std::to_string(sender.sent.size());
          sender.sent.push_back(frame);
          sender.delivery.OnSent(frame, now);
          frames.push_back(frame);
        }
        now += milliseconds(*rc::gen::inRange(0, 3000));
        size_t arrives = *rc::gen::inRange<size_t>(0, frames.size() + 1);
        Deliver(frames, arrives, receiver);
        if (*rc::gen::arbitrary<bool>()) {
          RC_ASSERT(sender.delivery.OnAcknowledged(receiver.delivery.TakeAck(), now));
        }
      }
    }
    for (int from : { 0, 1 }) {
      Side& sender = sides[from];
      Side& receiver = sides[1 - from];
      RC_ASSERT(sender.delivery.OnAcknowledged(receiver.delivery.Received(), now));
      Deliver(FramesToRepeat(sender), SIZE_MAX, receiver);
      RC_ASSERT(receiver.received == sender.sent);
    }
  }));
}

Test(link_delivery, counts_that_are_impossible_are_refused)
{
  LinkDelivery delivery;
  delivery.OnSent("frame", TimePoint());
  cr_assert_not(delivery.OnAcknowledged(2, TimePoint()));
  cr_assert(delivery.OnAcknowledged(1, TimePoint()));
  cr_assert(delivery.OnAcknowledged(0, TimePoint()));
}

Test(link_delivery, silent_connection_is_overdue_within_the_longest_timeout)
{
  cr_assert(rc::check("no history keeps a silent connection in use", [] {
    LinkDelivery delivery;
    TimePoint now{};
    uint64_t sent = 0;
    int steps = *rc::gen::inRange(0, 30);
    for (int i = 0; i < steps; ++i) {
      delivery.OnSent("frame", now);
      ++sent;
      now += milliseconds(*rc::gen::inRange(0, 2000));
      if (*rc::gen::inRange(0, 4) == 0) {
        delivery.OnResent(now);
      } else {
        RC_ASSERT(delivery.OnAcknowledged(sent, now));
      }
    }
    RC_ASSERT(delivery.OnAcknowledged(sent, now));
    delivery.OnSent("frame", now);
    RC_ASSERT(!delivery.IsOverdue(now + kMinAckTimeout, now));
    RC_ASSERT(delivery.IsOverdue(now + kMaxAckTimeout + milliseconds(1), now));
  }));
}

/// Guards against connections that are replaced again and again, with all their frames, because the
/// way to a peer is slow.
Test(link_delivery, slow_way_is_not_taken_for_silence)
{
  LinkDelivery delivery;
  TimePoint now{};
  constexpr int kFrames = 20;
  for (int i = 0; i < kFrames; ++i) {
    delivery.OnSent("frame", now);
  }
  for (uint64_t received = 1; received <= kFrames; ++received) {
    now += kMinAckTimeout - milliseconds(10);
    cr_assert_not(delivery.IsOverdue(now, TimePoint()), "frame %lu", received);
    cr_assert(delivery.OnAcknowledged(received, now));
  }
}

Test(link_delivery, peer_that_is_heard_has_more_time_to_acknowledge)
{
  LinkDelivery delivery;
  delivery.OnSent("frame", TimePoint());
  TimePoint now = TimePoint() + kInitialAckTimeout + milliseconds(1);
  cr_assert(delivery.IsOverdue(now, TimePoint()));
  cr_assert_not(delivery.IsOverdue(now, now - milliseconds(50)));
  now += kInitialAckTimeout;
  cr_assert(delivery.IsOverdue(now, now - milliseconds(50)));
}

/// Guards against frames that arrive twice because they are sent before the peer has said where an
/// interrupted link continues.
Test(link_gate, nothing_is_sent_before_an_interrupted_link_continues)
{
  enum class Event
  {
    Interrupted,
    Continued,
    ProbeSent,
    Acknowledged,
  };
  cr_assert(rc::check("only the peer's count opens an interrupted link", [] {
    LinkGate gate;
    gate.OnOpened();
    bool isInterrupted = false;
    int steps = *rc::gen::inRange(1, 30);
    for (int i = 0; i < steps; ++i) {
      switch (static_cast<Event>(*rc::gen::inRange(0, 4))) {
        case Event::Interrupted:
          gate.OnInterrupted(TimePoint());
          isInterrupted = true;
          break;
        case Event::Continued:
          gate.OnContinued();
          isInterrupted = false;
          break;
        case Event::ProbeSent:
          if (gate.MaySendMessages()) {
            gate.BeginVerification(*rc::gen::inRange<uint64_t>(1, 10));
          }
          break;
        case Event::Acknowledged:
          gate.OnAcknowledged(*rc::gen::inRange<uint64_t>(0, 10));
          break;
      }
      RC_ASSERT(gate.IsOpen() != isInterrupted);
      RC_ASSERT(gate.InterruptedAt().has_value() == isInterrupted);
      RC_ASSERT(!gate.MaySendMessages() || !isInterrupted);
    }
  }));
}

/// Bytes that arrived before the probe was sent do not show that the connection still works.
Test(link_gate, messages_wait_until_the_probe_is_acknowledged)
{
  LinkGate gate;
  gate.OnOpened();
  gate.BeginVerification(7);
  cr_assert(gate.IsOpen());
  gate.OnAcknowledged(6);
  cr_assert_not(gate.MaySendMessages());
  gate.OnAcknowledged(7);
  cr_assert(gate.MaySendMessages());
}
