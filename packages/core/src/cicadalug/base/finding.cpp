#include <cicadalug/base/finding.hpp>

#include <utility>

namespace cicadalug {

findings::findings(std::string place, std::string message)
{
    add(std::move(place), std::move(message));
}

auto findings::add(std::string place, std::string message) -> void
{
    m_items.push_back({std::move(place), std::move(message)});
}

auto findings::append(const findings& other, const std::string_view prefix) -> void
{
    for (const auto& item : other.m_items) {
        add(std::string{prefix} + item.m_place, item.m_message);
    }
}

auto findings::to_string() const -> std::string
{
    std::string text;
    for (const auto& item : m_items) {
        if (!text.empty()) {
            text += '\n';
        }
        text += item.m_place + ": " + item.m_message;
    }
    return text;
}

} // namespace cicadalug
