/// Splits large messages on a link into fragments, so that they share the link and do not fill the
/// network queues.
///
/// Small messages are sent immediately. Large ones are queued here, and their fragments are sent
/// round-robin within a window of bytes that the receiver has not acknowledged by credits. A
/// message counts as unsent until `NextFragment` has returned its last fragment.
#ifndef DANDELION_WIRE_FRAGMENTS_H
#define DANDELION_WIRE_FRAGMENTS_H

#include "wire/LargeMessages.h"

#include <deque>
#include <map>
#include <optional>

namespace dandelion {

/// Size of a fragment. Messages up to this size are sent whole.
constexpr size_t kFragmentBytes = 8 * 1024;
/// Bounds and initial value of the window: fragment bytes in flight in one direction of one link.
constexpr size_t kMinWindowBytes = 2 * kFragmentBytes;
constexpr size_t kInitialWindowBytes = 6 * kFragmentBytes;
constexpr size_t kMaxWindowBytes = 64 * kFragmentBytes;
/// Queue delay on the network path that the fragments of one link may cause. The window is adjusted
/// to it, so that bulk messages use the bandwidth without delaying short messages of other links.
constexpr Duration kTargetQueueDelay = milliseconds(5);
/// The largest message that a link carries: a body of 64 MiB, the platform's limit, and its
/// headers.
constexpr size_t kMaxMessageBytes = 65 * 1024 * 1024;
/// Maximum bytes of long messages whose fragments are sent round-robin at the same time. A longer
/// message is sent alone.
constexpr size_t kMaxActiveLongBytes = 24 * 1024 * 1024;
/// Messages up to this size are short. They do not wait until larger ones are sent completely.
constexpr size_t kMaxShortMessageBytes = 256 * 1024;
/// Maximum bytes of short messages whose fragments are sent round-robin at the same time. Long
/// messages have a separate limit of `kMaxActiveLongBytes`.
constexpr size_t kMaxActiveShortBytes = 4 * 1024 * 1024;
/// Bytes of incomplete messages that a receiver must be able to buffer for one link.
constexpr size_t kMaxPartialBytes = kMaxMessageBytes + kMaxActiveShortBytes;

struct Fragment
{
  uint64_t message = 0;
  bool isLast = false;
  Bytes bytes;
};

/// Acknowledges the bytes of one received fragment.
struct FragmentCredit
{
  uint64_t bytes = 0;
};

/// Sent to find out whether the peer still receives what is sent on the connection.
struct LinkProbe
{};

/// Tells how many numbered frames were received on the link. Envelopes other than a hello,
/// fragments, credits and probes are numbered.
struct FrameAck
{
  uint64_t received = 0;
};

/// Answers the hello of an opener that continues a link over another connection.
struct LinkResumed
{
  bool isKnown = false;
  uint64_t received = 0;
};

/// Content of one websocket message.
using LinkFrame =
  std::variant<LinkEnvelope, Fragment, FragmentCredit, LinkProbe, FrameAck, LinkResumed>;

template<class Visitor>
void VisitFields(Visitor& aVisitor, Fragment& aFragment)
{
  aVisitor.Field("message", aFragment.message);
  aVisitor.Field("is_last", aFragment.isLast);
  aVisitor.Field("bytes", aFragment.bytes);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, FragmentCredit& aCredit)
{
  aVisitor.Field("bytes", aCredit.bytes);
}

template<class Visitor>
void VisitFields(Visitor& /* aVisitor */, LinkProbe& /* aProbe */)
{
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, FrameAck& aAck)
{
  aVisitor.Field("received", aAck.received);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, LinkResumed& aResumed)
{
  aVisitor.Field("is_known", aResumed.isKnown);
  aVisitor.Field("received", aResumed.received);
}

class FragmentSender
{
public:
  /// Queues a message whose encoding `aBytes` is too large for one frame.
  void Add(const LinkMessage& aMessage, SplitBytes aBytes);
  /// Processes an acknowledgement of fragment bytes and adjusts the window to its round trip.
  void OnCredit(uint64_t aBytes, TimePoint aNow);
  /// Returns the next fragment, or `std::nullopt` where none is queued or the window is full.
  std::optional<Fragment> NextFragment(TimePoint aNow);
  /// Message bytes that `NextFragment` has not returned yet.
  size_t QueuedBytes() const { return queuedBytes_; }
  /// The same without the bytes of calls.
  size_t QueuedReplyBytes() const { return queuedBytes_ - queuedCallBytes_; }
  /// Fragment bytes that the receiver has not acknowledged.
  size_t BytesInFlight() const { return inFlightBytes_; }
  size_t WindowBytes() const { return static_cast<size_t>(windowBytes_); }
  /// Removes and returns the messages whose last fragment `NextFragment` has not returned.
  std::vector<LinkMessage> TakeUnsent();

private:
  struct Outgoing
  {
    uint64_t id;
    LinkMessage message;
    SplitBytes bytes;
    size_t sent = 0;
  };
  /// Queue of the short or of the long messages. The receiver buffers each message from its first
  /// to its last fragment, so at most `maxBytes` are active at a time, or one message that is
  /// larger. The other messages wait.
  struct SizeClass
  {
    size_t maxBytes;
    std::deque<Outgoing> waiting = {};
    size_t activeBytes = 0;
  };

  void AdjustWindow(Duration aRoundTrip, uint64_t aBytes);
  void ActivateWaiting(SizeClass& aSizeClass);
  SizeClass& SizeClassOf(const Outgoing& aOutgoing);

  uint64_t nextId_ = 1;

  size_t queuedBytes_ = 0;
  size_t queuedCallBytes_ = 0;
  size_t inFlightBytes_ = 0;
  /// Send time of each fragment in flight. Credits arrive in the same order.
  std::deque<TimePoint> sendTimes_;
  std::optional<Duration> minRoundTrip_;
  double windowBytes_ = kInitialWindowBytes;
  SizeClass short_{ kMaxActiveShortBytes };
  SizeClass long_{ kMaxActiveLongBytes };
  /// Active messages, whose fragments are sent round-robin.
  std::deque<Outgoing> active_;
};

class FragmentReceiver
{
public:
  /// Adds a fragment. Returns the bytes of the message with its last fragment. Errors: `TooLarge`
  /// where incomplete messages exceed `kMaxPartialBytes`, `BrokenMessage` for an empty fragment.
  absl::StatusOr<std::optional<std::string>> AddFragment(const Fragment& aFragment);
  /// Bytes of incomplete messages.
  size_t PartialBytes() const { return partialBytes_; }

private:
  std::map<uint64_t, std::string> partial_;
  size_t partialBytes_ = 0;
};

} // namespace dandelion

#endif
