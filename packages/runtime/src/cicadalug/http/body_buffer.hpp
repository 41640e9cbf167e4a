#ifndef CICADALUG_HTTP_BODY_BUFFER_HPP
#define CICADALUG_HTTP_BODY_BUFFER_HPP

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/optional/optional.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace cicadalug {

/**
 * @brief Makes room for the rest of a message whose length is known.
 *
 * Beast reads as much as the buffer has room for, and a new buffer has 512 bytes. Without more room, a message of 100
 * KB takes dozens of reads, each of which waits for its turn in the event loop: on a loop with a delay of 30 ms,
 * seconds.
 * @param buffer Buffer of the connection.
 * @param content_length Stated length of the body, if any; not trusted beyond the limit of one read.
 */
inline auto reserve_body(boost::beast::flat_buffer& buffer, const boost::optional<std::uint64_t>& content_length)
    -> void
{
    constexpr std::uint64_t max_read{65'536};
    if (content_length) {
        buffer.reserve(buffer.size() + static_cast<std::size_t>(std::min(*content_length, max_read)));
    }
}

} // namespace cicadalug

#endif
