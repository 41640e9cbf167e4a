#include <cicadalug/replication/map_digest.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <string>

namespace {

using namespace cicadalug;

// Guards against a text form that a peer cannot parse, which would make each exchange transfer all entries.
RC_GTEST_PROP(map_digest, text_form_is_read_back, (const std::map<std::string, std::uint64_t>& entries))
{
    map_digest digest;
    for (const auto& [key, number] : entries) {
        toggle_entry(digest, key, version{number});
    }
    RC_ASSERT(digest_from_hex(to_hex(digest)) == digest);
    RC_ASSERT(!digest_from_hex(to_hex(digest) + "0"));
    for (const auto& [key, number] : entries) {
        toggle_entry(digest, key, version{number});
    }
    RC_ASSERT(digest == map_digest{});
}

} // namespace
