/// Cuts large messages on a link into fragments, so that they take turns and never fill the way.
///
/// Small messages pass at once. Large ones wait here; their fragments go out in turn, as far as the
/// receiver's credit reaches. A message counts as unsent until its last fragment has been taken.
#ifndef DANDELION_WIRE_FRAGMENTS_H
#define DANDELION_WIRE_FRAGMENTS_H

#include "wire/Messages.h"

#include <deque>
#include <map>
#include <optional>

namespace dandelion {

/// Messages up to this size are not cut.
constexpr size_t kFragmentBytes = 8 * 1024;
/// Bounds of the fragment bytes on their way in one direction of one link.
constexpr size_t kMinWindowBytes = 2 * kFragmentBytes;
constexpr size_t kInitialWindowBytes = 6 * kFragmentBytes;
constexpr size_t kMaxWindowBytes = 64 * kFragmentBytes;
/// Waiting on the way that a link's own fragments may cause. The window follows it, so that bulk
/// fills the way without standing before short work of other links.
constexpr Duration kTargetQueueDelay = milliseconds(5);
/// The largest message that a receiver puts together.
constexpr size_t kMaxMessageBytes = 24 * 1024 * 1024;
/// Messages up to this size do not wait for larger ones to end before they take turns.
constexpr size_t kMaxShortMessageBytes = 256 * 1024;
/// Bytes of short messages that may take turns at a time, beside one share for the long ones.
constexpr size_t kMaxActiveShortBytes = 4 * 1024 * 1024;
/// What a receiver must be ready to hold of messages that have not ended.
constexpr size_t kMaxPartialBytes = kMaxMessageBytes + kMaxActiveShortBytes;

struct Fragment
{
  uint64_t message = 0;
  bool isLast = false;
  Bytes bytes;
};

/// The receiver has taken so many fragment bytes.
struct FragmentCredit
{
  uint64_t bytes = 0;
};

/// What one websocket message holds.
using LinkFrame = std::variant<LinkEnvelope, Fragment, FragmentCredit>;

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

class FragmentSender
{
public:
  /// Takes a message whose encoding is too large for one frame.
  void Add(const LinkMessage& aMessage, std::string aBytes);
  void OnCredit(uint64_t aBytes, TimePoint aNow);
  /// The next fragment, where the window allows one.
  std::optional<Fragment> NextFragment(TimePoint aNow);
  /// Bytes of messages whose fragments have not been taken.
  size_t QueuedBytes() const { return queuedBytes_; }
  /// Bytes of fragments that the receiver has not taken.
  size_t BytesInFlight() const { return inFlightBytes_; }
  size_t WindowBytes() const { return static_cast<size_t>(windowBytes_); }
  /// Messages of which the last fragment has not been taken.
  std::vector<LinkMessage> TakeUnsent();

private:
  struct Outgoing
  {
    uint64_t id;
    LinkMessage message;
    std::string bytes;
    size_t sent = 0;
  };
  /// Messages of one kind of size. The receiver holds what has begun and not ended, so no more
  /// begins than it can hold; the rest waits.
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
  size_t inFlightBytes_ = 0;
  /// When each fragment on the way was sent; credits come in the same order.
  std::deque<TimePoint> sendTimes_;
  std::optional<Duration> minRoundTrip_;
  double windowBytes_ = kInitialWindowBytes;
  SizeClass short_{ kMaxActiveShortBytes };
  SizeClass long_{ kMaxMessageBytes };
  /// Messages that have begun; they take turns.
  std::deque<Outgoing> active_;
};

class FragmentReceiver
{
public:
  /// Takes a fragment; gives the whole bytes with the last one. An error where the peer begins more
  /// than `kMaxPartialBytes`, or sends nothing in a fragment.
  absl::StatusOr<std::optional<std::string>> AddFragment(const Fragment& aFragment);

private:
  std::map<uint64_t, std::string> partial_;
  size_t partialBytes_ = 0;
};

} // namespace dandelion

#endif
