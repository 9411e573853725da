#include "kernel/Loop.h"

#include <event2/event.h>

#include <csignal>

namespace dandelion {

struct Timer::Pending
{
  event* timeout = nullptr;
  std::function<void()> callback;
};

void Timer::Deleter::operator()(Pending* aPending) const
{
  event_free(aPending->timeout);
  delete aPending;
}

struct Loop::SignalHandler
{
  ~SignalHandler() { event_free(source); }
  event* source = nullptr;
  std::function<void()> callback;
};

namespace {

timeval ToTimeval(Duration aDelay)
{
  int64_t count = aDelay.count() < 0 ? 0 : aDelay.count();
  constexpr int64_t kMicrosecondsPerSecond = 1000000;
  return timeval{ static_cast<time_t>(count / kMicrosecondsPerSecond),
                  static_cast<suseconds_t>(count % kMicrosecondsPerSecond) };
}

event_base* MakeEventBase()
{
  // Without this flag, the poller rounds each wait up to whole milliseconds.
  event_config* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  event_base* base = event_base_new_with_config(config);
  event_config_free(config);
  return base;
}

} // namespace

Loop::Loop()
  : base_(MakeEventBase())
{
  // A write to a connection that the peer has closed must return an error, not end the process.
  std::signal(SIGPIPE, SIG_IGN);
}

Loop::~Loop()
{
  signals_.clear();
  // A connection that was freed while one of its callbacks was deferred is released by the loop.
  event_base_loop(base_, EVLOOP_NONBLOCK);
  event_base_free(base_);
}

TimePoint Loop::Now() const
{
  return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

Timer Loop::After(Duration aDelay, std::function<void()> aCallback)
{
  Timer timer;
  timer.pending_.reset(new Timer::Pending);
  timer.pending_->callback = std::move(aCallback);
  auto run = [](evutil_socket_t, short, void* aContext) {
    // The callback may destroy the timer that holds it, so it is moved to a local first.
    auto callback = std::move(static_cast<Timer::Pending*>(aContext)->callback);
    callback();
  };
  timer.pending_->timeout = event_new(base_, -1, 0, run, timer.pending_.get());
  timeval delay = ToTimeval(aDelay);
  event_add(timer.pending_->timeout, &delay);
  return timer;
}

void Loop::OnSignal(int aSignal, std::function<void()> aCallback)
{
  auto handler = std::make_unique<SignalHandler>();
  handler->callback = std::move(aCallback);
  auto run = [](evutil_socket_t, short, void* aContext) {
    static_cast<SignalHandler*>(aContext)->callback();
  };
  handler->source = evsignal_new(base_, aSignal, run, handler.get());
  event_add(handler->source, nullptr);
  signals_.push_back(std::move(handler));
}

void Loop::Run()
{
  event_base_loop(base_, EVLOOP_NO_EXIT_ON_EMPTY);
}

void Loop::Stop()
{
  event_base_loopbreak(base_);
}

} // namespace dandelion
