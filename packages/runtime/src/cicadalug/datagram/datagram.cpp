#include <cicadalug/datagram/datagram.hpp>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>

#include <algorithm>
#include <cstdint>
#include <sstream>
#include <utility>

namespace cicadalug {

namespace {

/** @brief First byte of each datagram, so that a stray packet is recognized. */
constexpr std::uint8_t magic{0xC1};
/** @brief Changes with the encoding. */
constexpr std::uint8_t format{1};

/** @brief Reads or writes the members of messages. Sizes are 16 bits and are checked before memory is taken. */
template<typename Archive>
class coder {
public:
    explicit coder(Archive& archive) : m_archive{archive} {}

    static constexpr bool loading = Archive::is_loading::value;

    template<typename Number>
    auto number(Number& value) -> void
    {
        m_archive(value);
    }

    auto text(std::string& value) -> void
    {
        value.resize(size(value.size()));
        m_archive(cereal::binary_data(value.data(), value.size()));
    }

    auto flag(bool& value) -> void
    {
        auto byte = static_cast<std::uint8_t>(value ? 1 : 0);
        m_archive(byte);
        if (byte > 1) {
            throw cereal::Exception{"a flag is neither 0 nor 1"};
        }
        value = byte == 1;
    }

    template<typename Tag>
    auto id(strong_id<Tag>& value) -> void
    {
        auto plain = value.str();
        text(plain);
        value = strong_id<Tag>{std::move(plain)};
    }

    template<typename Tag, typename Rep>
    auto strong(strong_number<Tag, Rep>& value) -> void
    {
        auto plain = value.value();
        m_archive(plain);
        value = strong_number<Tag, Rep>{plain};
    }

    template<typename Item, typename Function>
    auto list(std::vector<Item>& items, const Function function) -> void
    {
        items.resize(size(items.size()));
        for (auto& item : items) {
            function(item);
        }
    }

private:
    [[nodiscard]] auto size(const std::size_t current) -> std::size_t
    {
        auto length = static_cast<std::uint16_t>(std::min(current, max_datagram + 1));
        m_archive(length);
        if (length > max_datagram) {
            throw cereal::Exception{"a size is larger than a datagram"};
        }
        return length;
    }

    Archive& m_archive;
};

template<typename Archive>
auto code(coder<Archive>& with, heartbeat& value) -> void
{
    with.id(value.m_id);
    with.id(value.m_availability_zone);
    with.strong(value.m_incarnation);
    with.number(value.m_sequence);
    with.strong(value.m_applied);
    with.number(value.m_digest);
    with.strong(value.m_control_epoch);
    with.list(value.m_pressure, [&](auto& item) {
        with.id(item.m_pool);
        with.number(item.m_per_mille);
    });
}

template<typename Archive>
auto code(coder<Archive>& with, std::vector<slot_name>& slots) -> void
{
    with.list(slots, [&](auto& slot) {
        with.id(slot.m_vm);
        with.number(slot.m_slot);
    });
}

template<typename Archive>
auto code(coder<Archive>& with, slot_request& value) -> void
{
    with.id(value.m_from);
    with.strong(value.m_incarnation);
    with.number(value.m_sequence);
    with.id(value.m_pool);
    with.number(value.m_count);
    with.number(value.m_term_ms);
}

template<typename Archive>
auto code(coder<Archive>& with, slot_grant& value) -> void
{
    with.id(value.m_from);
    with.strong(value.m_lender_incarnation);
    with.strong(value.m_incarnation);
    with.number(value.m_sequence);
    code(with, value.m_slots);
}

template<typename Archive>
auto code(coder<Archive>& with, slot_return& value) -> void
{
    with.id(value.m_from);
    with.strong(value.m_incarnation);
    with.number(value.m_sequence);
    code(with, value.m_slots);
}

template<typename Archive>
auto code(coder<Archive>& with, record_change& value) -> void
{
    with.text(value.m_entry.m_key);
    with.strong(value.m_entry.m_value.m_version);
    with.text(value.m_entry.m_value.m_value);
    with.flag(value.m_entry.m_value.m_deleted);
    with.flag(value.m_has_value);
}

template<typename Archive>
auto code(coder<Archive>& with, drain_report& value) -> void
{
    with.list(value.m_vms, [&](auto& item) {
        with.id(item.m_vm);
        with.strong(item.m_version);
    });
}

/** @brief Makes an empty body of the type with the given number. */
template<std::size_t Index = 0>
[[nodiscard]] auto make_body(const std::size_t type) -> datagram_body
{
    if constexpr (Index < std::variant_size_v<datagram_body>) {
        return type == Index ? datagram_body{std::in_place_index<Index>} : make_body<Index + 1>(type);
    }
    else {
        throw cereal::Exception{"unknown type of datagram"};
    }
}

template<typename Archive>
auto code(Archive& archive, datagram& message) -> void
{
    coder<Archive> with{archive};
    auto first = magic;
    auto second = format;
    auto type = static_cast<std::uint8_t>(message.m_body.index());
    with.number(first);
    with.number(second);
    with.number(type);
    if (first != magic || second != format) {
        throw cereal::Exception{"not a datagram of this format"};
    }
    with.id(message.m_sender);
    with.strong(message.m_incarnation);
    if (coder<Archive>::loading) {
        message.m_body = make_body(type);
    }
    std::visit([&](auto& body) { code(with, body); }, message.m_body);
}

} // namespace

auto encode(const datagram& message) -> std::optional<std::string>
{
    std::ostringstream stream;
    try {
        auto copy = message;
        cereal::PortableBinaryOutputArchive archive{stream};
        code(archive, copy);
    }
    catch (const cereal::Exception&) {
        return std::nullopt;
    }
    auto bytes = std::move(stream).str();
    if (bytes.size() > max_datagram) {
        return std::nullopt;
    }
    return bytes;
}

auto decode(const std::string_view bytes) -> std::optional<datagram>
{
    if (bytes.size() > max_datagram) {
        return std::nullopt;
    }
    std::istringstream stream{std::string{bytes}};
    datagram message;
    try {
        cereal::PortableBinaryInputArchive archive{stream};
        code(archive, message);
    }
    catch (const cereal::Exception&) {
        return std::nullopt;
    }
    if (stream.peek() != std::istringstream::traits_type::eof()) {
        return std::nullopt;
    }
    return message;
}

} // namespace cicadalug
