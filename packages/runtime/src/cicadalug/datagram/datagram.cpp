#include <cicadalug/datagram/datagram.hpp>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>

#include <algorithm>
#include <cstdint>
#include <sstream>
#include <utility>

namespace cicadalug {

namespace {

/** @brief First byte of each datagram, by which unrelated packets are detected. */
constexpr std::uint8_t magic{0xC1};
/** @brief Version of the encoding, to be changed whenever the encoding changes. */
constexpr std::uint8_t format{1};

/** @brief Reads or writes the members of messages. Sizes are 16 bits wide and are checked before memory is allocated.
 */
template<typename Archive>
class field_codec {
public:
    explicit field_codec(Archive& archive) : m_archive{archive} {}

    static constexpr bool loading = Archive::is_loading::value;

    template<typename Number>
    auto number(Number& value) -> void
    {
        m_archive(value);
    }

    auto text(std::string& value) -> void
    {
        value.resize(coded_size(value.size()));
        m_archive(cereal::binary_data(value.data(), value.size()));
    }

    auto flag(bool& value) -> void
    {
        auto byte = static_cast<std::uint8_t>(value ? 1 : 0);
        m_archive(byte);
        if (byte > 1) {
            throw cereal::Exception{"a boolean is neither 0 nor 1"};
        }
        value = byte == 1;
    }

    template<typename Tag>
    auto id(strong_id<Tag>& value) -> void
    {
        auto raw = value.str();
        text(raw);
        value = strong_id<Tag>{std::move(raw)};
    }

    template<typename Tag, typename Rep>
    auto strong_value(strong_number<Tag, Rep>& value) -> void
    {
        auto raw = value.value();
        m_archive(raw);
        value = strong_number<Tag, Rep>{raw};
    }

    template<typename Item, typename Function>
    auto list(std::vector<Item>& items, const Function function) -> void
    {
        items.resize(coded_size(items.size()));
        for (auto& item : items) {
            function(item);
        }
    }

private:
    [[nodiscard]] auto coded_size(const std::size_t current) -> std::size_t
    {
        auto length = static_cast<std::uint16_t>(std::min(current, max_datagram + 1));
        m_archive(length);
        if (length > max_datagram) {
            throw cereal::Exception{"a size exceeds the maximum datagram size"};
        }
        return length;
    }

    Archive& m_archive;
};

template<typename Archive>
auto serialize(field_codec<Archive>& codec, heartbeat& value) -> void
{
    codec.id(value.m_id);
    codec.id(value.m_availability_zone);
    codec.strong_value(value.m_incarnation);
    codec.number(value.m_sequence);
    codec.strong_value(value.m_applied);
    codec.number(value.m_digest);
    codec.strong_value(value.m_control_epoch);
    codec.list(value.m_pool_loads, [&](auto& item) {
        codec.id(item.m_pool);
        codec.number(item.m_per_mille);
    });
}

template<typename Archive>
auto serialize(field_codec<Archive>& codec, std::vector<slot_id>& slots) -> void
{
    codec.list(slots, [&](auto& slot) {
        codec.id(slot.m_vm);
        codec.number(slot.m_slot);
    });
}

template<typename Archive>
auto serialize(field_codec<Archive>& codec, slot_request& value) -> void
{
    codec.id(value.m_from);
    codec.strong_value(value.m_incarnation);
    codec.number(value.m_sequence);
    codec.id(value.m_pool);
    codec.number(value.m_count);
    codec.number(value.m_term_ms);
}

template<typename Archive>
auto serialize(field_codec<Archive>& codec, slot_grant& value) -> void
{
    codec.id(value.m_from);
    codec.strong_value(value.m_lender_incarnation);
    codec.strong_value(value.m_incarnation);
    codec.number(value.m_sequence);
    serialize(codec, value.m_slots);
}

template<typename Archive>
auto serialize(field_codec<Archive>& codec, slot_return& value) -> void
{
    codec.id(value.m_from);
    codec.strong_value(value.m_incarnation);
    codec.number(value.m_sequence);
    serialize(codec, value.m_slots);
}

template<typename Archive>
auto serialize(field_codec<Archive>& codec, record_change& value) -> void
{
    codec.text(value.m_entry.m_key);
    codec.strong_value(value.m_entry.m_value.m_version);
    codec.text(value.m_entry.m_value.m_value);
    codec.flag(value.m_entry.m_value.m_deleted);
    codec.flag(value.m_has_value);
}

template<typename Archive>
auto serialize(field_codec<Archive>& codec, drain_report& value) -> void
{
    codec.list(value.m_vms, [&](auto& item) {
        codec.id(item.m_vm);
        codec.strong_value(item.m_version);
    });
}

/** @brief Creates an empty body whose type has the given index in datagram_body. */
template<std::size_t Index = 0>
[[nodiscard]] auto make_body(const std::size_t type) -> datagram_body
{
    if constexpr (Index < std::variant_size_v<datagram_body>) {
        return type == Index ? datagram_body{std::in_place_index<Index>} : make_body<Index + 1>(type);
    }
    else {
        throw cereal::Exception{"unknown datagram type"};
    }
}

template<typename Archive>
auto serialize_datagram(Archive& archive, datagram& message) -> void
{
    field_codec<Archive> codec{archive};
    auto magic_byte = magic;
    auto format_byte = format;
    auto type = static_cast<std::uint8_t>(message.m_body.index());
    codec.number(magic_byte);
    codec.number(format_byte);
    codec.number(type);
    if (magic_byte != magic || format_byte != format) {
        throw cereal::Exception{"the magic byte or the format version does not match"};
    }
    codec.id(message.m_sender);
    codec.strong_value(message.m_incarnation);
    if (field_codec<Archive>::loading) {
        message.m_body = make_body(type);
    }
    std::visit([&](auto& body) { serialize(codec, body); }, message.m_body);
}

} // namespace

auto encode(const datagram& message) -> std::optional<std::string>
{
    std::ostringstream stream;
    try {
        auto copy = message;
        cereal::PortableBinaryOutputArchive archive{stream};
        serialize_datagram(archive, copy);
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
        serialize_datagram(archive, message);
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
