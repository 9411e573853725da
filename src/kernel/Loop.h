/// The single event loop of a process, based on libevent.
#ifndef DANDELION_KERNEL_LOOP_H
#define DANDELION_KERNEL_LOOP_H

#include "kernel/Time.h"

#include <functional>
#include <memory>
#include <vector>

struct event;
struct event_base;

namespace dandelion {

/// A pending callback. It is cancelled when the timer is destroyed or assigned.
class Timer
{
public:
  Timer() = default;
  Timer(Timer&&) = default;
  Timer& operator=(Timer&&) = default;

  bool IsPending() const { return pending_ != nullptr; }
  void Cancel() { pending_.reset(); }

private:
  friend class Loop;
  struct Pending;
  struct Deleter
  {
    void operator()(Pending* aPending) const;
  };
  std::unique_ptr<Pending, Deleter> pending_;
};

class Loop
{
public:
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  /// The steady clock's time, read from the clock at each call.
  TimePoint Now() const;

  /// Runs the callback once after the delay. Cancelling or destroying the timer prevents it.
  Timer After(Duration aDelay, std::function<void()> aCallback);

  /// Runs the callback in the loop at each delivery of the signal.
  void OnSignal(int aSignal, std::function<void()> aCallback);

  /// Runs until `Stop`.
  void Run();
  void Stop();

  event_base* Base() { return base_; }

private:
  struct SignalHandler;
  event_base* base_;
  std::vector<std::unique_ptr<SignalHandler>> signals_;
};

} // namespace dandelion

#endif
