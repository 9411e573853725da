/// Guards against connections that a process keeps open, and whose memory it does not release, when
/// its loop ends between the end of the connection and a callback that libevent has deferred.
#include "support/Check.h"

#include "kernel/Kernel.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace dandelion;

Test(loop, releases_connections_with_deferred_callbacks)
{
  int sockets[2];
  cr_assert_eq(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, sockets), 0);
  {
    Loop loop;
    bufferevent* connection = bufferevent_socket_new(
      loop.Base(), sockets[0], BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    bufferevent_setcb(
      connection, [](bufferevent*, void*) {}, nullptr, nullptr, nullptr);
    bufferevent_enable(connection, EV_READ);
    bufferevent_trigger(connection, EV_READ, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
    bufferevent_free(connection);
  }
  char byte = 0;
  cr_assert_eq(recv(sockets[1], &byte, 1, 0), 0, "the connection is still open");
  close(sockets[1]);
}
