#include <cicadalug/command/get.hpp>
#include <cicadalug/http/http_connection.hpp>

#include <ostream>

namespace cicadalug {

namespace {

constexpr milliseconds request_timeout{5'000};

} // namespace

auto get_path(const tcp_endpoint& entry_vm, const std::string& target, std::ostream& out) -> int
{
    const auto response = http_fetch_blocking(entry_vm, http_request{http::verb::get, target, 11}, request_timeout);
    if (!response) {
        out << entry_vm << ": " << response.assume_error().m_message << '\n';
        return 1;
    }
    out << response.assume_value().body();
    return response.assume_value().result_int() < 400 ? 0 : 1;
}

} // namespace cicadalug
