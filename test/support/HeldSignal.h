/// Holds back a signal of this process and of those that it starts meanwhile.
#ifndef DANDELION_TEST_SUPPORT_HELD_SIGNAL_H
#define DANDELION_TEST_SUPPORT_HELD_SIGNAL_H

#include <csignal>

namespace dandelion::testing {

/// A request to stop that arrives before a new process has begun is delivered when the process asks
/// for it. Otherwise a stop right after a start could end it before its first instruction.
class HeldSignal
{
public:
  explicit HeldSignal(int aSignal)
  {
    sigset_t held;
    sigemptyset(&held);
    sigaddset(&held, aSignal);
    sigprocmask(SIG_BLOCK, &held, &before_);
  }
  ~HeldSignal() { sigprocmask(SIG_SETMASK, &before_, nullptr); }
  HeldSignal(const HeldSignal&) = delete;
  HeldSignal& operator=(const HeldSignal&) = delete;

private:
  sigset_t before_ = {};
};

} // namespace dandelion::testing

#endif
