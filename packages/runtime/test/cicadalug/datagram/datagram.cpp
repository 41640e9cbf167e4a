#include <cicadalug/datagram/datagram.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace cicadalug;

[[nodiscard]] auto short_text() -> std::string
{
    return *rc::gen::resize(12, rc::gen::arbitrary<std::string>());
}

[[nodiscard]] auto make_message(const int type) -> datagram
{
    datagram message{entry_vm_id{short_text()}, incarnation{*rc::gen::arbitrary<std::uint64_t>()}, {}};
    const auto number = *rc::gen::arbitrary<std::uint64_t>();
    const auto count = *rc::gen::inRange<std::size_t>(0, 20);
    if (type == 0) {
        heartbeat body;
        body.m_id = message.m_sender;
        body.m_sequence = number;
        body.m_applied = version{number / 2};
        body.m_control_epoch = epoch{number / 3};
        body.m_pool_loads.assign(count, {pool_id{short_text()}, static_cast<std::uint16_t>(number)});
        message.m_body = body;
    }
    else if (type == 1) {
        message.m_body = slot_request{entry_vm_id{"e"}, incarnation{1}, number, pool_id{short_text()}, 3, 400};
    }
    else if (type == 2) {
        message.m_body = slot_grant{entry_vm_id{"e"}, incarnation{1}, incarnation{number}, number,
                                    std::vector<slot_id>(count, {vm_id{short_text()}, 3})};
    }
    else if (type == 3) {
        message.m_body = slot_return{entry_vm_id{"e"}, incarnation{number}, number,
                                     std::vector<slot_id>(count, {vm_id{short_text()}, 7})};
    }
    else if (type == 4) {
        message.m_body = record_change{{short_text(), {version{number}, short_text(), number % 2 == 0}}, true};
    }
    else {
        message.m_body = drain_report{std::vector<drained_vm>(count, {vm_id{short_text()}, version{number}})};
    }
    return message;
}

// Guards against a message that is decoded differently from how it was encoded.
RC_GTEST_PROP(datagram, is_decoded_as_it_was_encoded, ())
{
    const auto type = *rc::gen::inRange(0, static_cast<int>(std::variant_size_v<datagram_body>));
    const auto message = make_message(type);
    const auto bytes = encode(message);
    RC_ASSERT(bytes.has_value());
    RC_ASSERT(bytes->size() <= max_datagram);
    const auto decoded = decode(*bytes);
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded->m_sender == message.m_sender);
    RC_ASSERT(decoded->m_incarnation == message.m_incarnation);
    RC_ASSERT(decoded->m_body.index() == message.m_body.index());
    RC_ASSERT(encode(*decoded) == bytes);
}

// Guards against a crash, an endless loop or a huge allocation on damaged or malicious bytes: a damaged datagram is
// rejected or decodes as another valid one.
RC_GTEST_PROP(datagram, damaged_bytes_are_rejected_or_valid, ())
{
    auto bytes = *encode(make_message(*rc::gen::inRange(0, 6)));
    const auto damages = *rc::gen::inRange(1, 6);
    for (int count = 0; count < damages; ++count) {
        const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size() + 1);
        if (at == bytes.size()) {
            bytes += *rc::gen::arbitrary<char>();
        }
        else if (*rc::gen::arbitrary<bool>()) {
            bytes[at] = *rc::gen::arbitrary<char>();
        }
        else {
            bytes.resize(at);
        }
    }
    const auto decoded = decode(bytes);
    if (decoded) {
        RC_ASSERT(encode(*decoded).has_value());
    }
}

// Guards against a crash on bytes that are not a datagram at all.
RC_GTEST_PROP(datagram, random_bytes_are_rejected_or_valid, (const std::string& bytes))
{
    const auto decoded = decode(bytes);
    if (decoded) {
        RC_ASSERT(encode(*decoded).has_value());
    }
}

// Guards against a datagram that is fragmented in transit, which makes its loss more likely.
TEST(datagram, larger_than_the_limit_is_not_encoded)
{
    const record_change change{{"res/pool/a", {version{1}, std::string(max_datagram, 'x'), false}}, true};
    EXPECT_FALSE(encode({entry_vm_id{"e1"}, incarnation{1}, change}));
}

} // namespace
