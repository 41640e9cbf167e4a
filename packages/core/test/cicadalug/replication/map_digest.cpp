#include <cicadalug/replication/map_digest.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <string>

namespace {

using namespace cicadalug;

// Guards against a digest that a peer cannot read back, which would make each exchange transfer everything.
RC_GTEST_PROP(map_digest, text_form_is_read_back, (const std::map<std::string, std::uint64_t>& entries))
{
    map_digest digest;
    for (const auto& [key, number] : entries) {
        toggle(digest, key, version{number});
    }
    RC_ASSERT(digest_from_hex(to_hex(digest)) == digest);
    RC_ASSERT(!digest_from_hex(to_hex(digest) + "0"));
    for (const auto& [key, number] : entries) {
        toggle(digest, key, version{number});
    }
    RC_ASSERT(digest == map_digest{});
}

} // namespace
