/// Decides which frames of a link must be sent again when its connection is replaced, and when its
/// connection counts as silent.
///
/// Each side counts the numbered frames that it has received and tells the other side the count.
/// Frames that are not acknowledged are kept. When a connection is replaced, both sides exchange
/// their counts and send the rest again, so that each frame is delivered exactly once and in order.
#ifndef DANDELION_WIRE_LINK_DELIVERY_H
#define DANDELION_WIRE_LINK_DELIVERY_H

#include "kernel/Kernel.h"

#include <deque>
#include <optional>
#include <string>

namespace dandelion {

/// Bounds of the time within which a frame must be acknowledged.
constexpr Duration kMinAckTimeout = milliseconds(200);
constexpr Duration kMaxAckTimeout = milliseconds(1600);
/// The same before the first acknowledgement.
constexpr Duration kInitialAckTimeout = milliseconds(400);
/// An acknowledgement waits this long for other frames, so that it covers several of them.
constexpr Duration kAckDelay = milliseconds(20);

class LinkDelivery
{
public:
  /// Records a numbered frame that is sent now, or as soon as there is a connection.
  void OnSent(std::string aFrame, TimePoint aNow);
  /// Records a numbered frame of the peer.
  void OnReceived() { ++received_; }
  /// Processes the peer's count. Returns whether it is possible; a peer with an impossible one has
  /// lost its state.
  bool OnAcknowledged(uint64_t aReceived, TimePoint aNow);
  /// Records that the unacknowledged frames are sent again over another connection.
  void OnResent(TimePoint aNow);

  /// Numbered frames sent to the peer.
  uint64_t Sent() const { return acknowledged_ + unacknowledged_.size(); }
  /// Numbered frames received from the peer.
  uint64_t Received() const { return received_; }
  bool OwesAck() const { return received_ > lastAck_; }
  /// Returns the count to acknowledge and records that it is sent.
  uint64_t TakeAck();

  struct SentFrame
  {
    std::string bytes;
    TimePoint sentAt;
    bool isResent = false;
  };
  const std::deque<SentFrame>& Unacknowledged() const { return unacknowledged_; }
  /// Since when an acknowledgement is awaited: since the oldest unacknowledged frame was sent, or
  /// the one before it was acknowledged. No value if none is awaited.
  std::optional<TimePoint> WaitingSince() const;
  Duration AckTimeout() const;
  /// Whether an acknowledgement is overdue, so that the connection should be replaced. A peer that
  /// was heard since is busy rather than silent, and has twice the time.
  bool IsOverdue(TimePoint aNow, TimePoint aLastReceived) const;

private:
  void AddRoundTrip(Duration aRoundTrip);

  std::deque<SentFrame> unacknowledged_;
  uint64_t acknowledged_ = 0;
  TimePoint acknowledgedAt_;
  uint64_t received_ = 0;
  uint64_t lastAck_ = 0;
  /// Smoothed round trip and its variation, as in RFC 6298.
  std::optional<Duration> roundTrip_;
  Duration variation_ = Duration::zero();
  /// The time-out doubles with each replaced connection until a new frame is acknowledged.
  int backoff_ = 0;
};

} // namespace dandelion

#endif
