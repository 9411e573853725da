/// Decides when a link may send frames and messages.
#ifndef DANDELION_WIRE_LINK_GATE_H
#define DANDELION_WIRE_LINK_GATE_H

#include "kernel/Kernel.h"

#include <optional>

namespace dandelion {

enum class LinkState
{
  /// The handshake of the first connection is not complete.
  Connecting,
  Open,
  /// Open, but it was idle for long: messages wait until the peer has acknowledged a probe.
  Verifying,
  /// Its connection is lost or given up. Nothing may be sent until both peers know how many frames
  /// the other one has received; a frame that is sent earlier is sent again and arrives twice.
  Interrupted,
};

template<>
struct EnumNames<LinkState>
{
  static constexpr EnumName<LinkState> kTable[] = {
    { LinkState::Connecting, "connecting" },
    { LinkState::Open, "open" },
    { LinkState::Verifying, "verifying" },
    { LinkState::Interrupted, "interrupted" },
  };
};

class LinkGate
{
public:
  void OnOpened() { state_ = LinkState::Open; }
  /// Records that the connection is gone or given up. Ends a verification: the peer's count will
  /// show that the peer is alive.
  void OnInterrupted(TimePoint aNow);
  /// Records that the peer has said where the link continues.
  void OnContinued() { state_ = LinkState::Open; }
  /// Holds messages back until the peer has received `aFrames` frames, of which the last one is a
  /// probe.
  void BeginVerification(uint64_t aFrames);
  /// Processes the number of frames that the peer has received.
  void OnAcknowledged(uint64_t aReceived);

  LinkState State() const { return state_; }
  /// Whether numbered frames may be sent.
  bool IsOpen() const { return state_ == LinkState::Open || state_ == LinkState::Verifying; }
  /// Whether messages may be sent, rather than queued.
  bool MaySendMessages() const { return state_ == LinkState::Open; }
  /// Since when the link is interrupted; no value if it is not.
  std::optional<TimePoint> InterruptedAt() const;

private:
  LinkState state_ = LinkState::Connecting;
  TimePoint interruptedAt_;
  uint64_t probeNumber_ = 0;
};

} // namespace dandelion

#endif
