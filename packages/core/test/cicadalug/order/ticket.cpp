#include <cicadalug/order/ticket.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace cicadalug;

// Guards against a ticket that changes when it is formatted for the header and parsed again.
RC_GTEST_PROP(ticket, round_trips_through_the_header, ())
{
    const auto name = rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::inRange('a', 'z')));
    const ticket value{availability_zone_id{*name}, entry_vm_id{*name},
                       incarnation{*rc::gen::arbitrary<std::uint64_t>()},
                       ticket_number{*rc::gen::inRange<std::uint64_t>(1, UINT64_MAX)}};
    const auto parsed = parse_ticket(to_string(value));
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(parsed.assume_value() == value);
}

// Guards against a crash or an invalid ticket on malformed header values.
RC_GTEST_PROP(ticket, malformed_text_is_rejected_or_formats_back, (const std::string& random_text))
{
    for (const auto& text : {random_text, "t1~" + random_text, "t1~a~b~" + random_text}) {
        const auto parsed = parse_ticket(text);
        if (parsed) {
            RC_ASSERT(parse_ticket(to_string(parsed.assume_value())).has_value());
        }
    }
}

} // namespace
