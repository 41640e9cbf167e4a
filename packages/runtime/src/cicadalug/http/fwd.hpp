#ifndef CICADALUG_HTTP_FWD_HPP
#define CICADALUG_HTTP_FWD_HPP

namespace cicadalug {

struct http_server_limits;
class http_exchange;
class http_server;
struct http_failure;
class http_connection;
struct http_target;
class line_stream;

} // namespace cicadalug

#endif
