/// Guards against joining nodes that send a new round of queries after every answer. When many
/// nodes restart at once, these queries would fill their links.
#include "support/Check.h"

#include "spread/Spread.h"

using namespace dandelion;

Test(joining, limits_the_rate_of_request_rounds)
{
  CHECK_PROPERTY("answers at any times", [] {
    Joining joining{ TimePoint() };
    TimePoint now;
    int rounds = 0;
    int answers = *rc::gen::inRange(1, 400);
    for (int i = 0; i < answers; ++i) {
      now += microseconds(*rc::gen::inRange<int64_t>(0, 20000));
      JoinAnswer answer;
      answer.sender = std::to_string(i);
      joining.OnAnswer(answer);
      rounds += joining.BeginRound(now) ? 1 : 0;
    }
    RC_ASSERT(rounds <= 1 + (now - TimePoint()) / kMinRoundInterval);
  });
}
