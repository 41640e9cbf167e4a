#ifndef CICADALUG_PROCESS_DEPLOYMENT_HPP
#define CICADALUG_PROCESS_DEPLOYMENT_HPP

#include "child_process.hpp"

#include <cicadalug/http/http_connection.hpp>

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cicadalug::process_test {

/** @brief Status and JSON body of an answer; status 0 if there is none. */
struct call_answer {
    unsigned m_status{0};
    nlohmann::json m_body;
};

/** @brief Makes one HTTP call. @param if_match Version, "*" to create, or empty for no precondition. */
[[nodiscard]] auto call(http::verb verb, const std::string& endpoint, const std::string& target,
                        const nlohmann::json& body = nullptr, const std::string& if_match = {},
                        milliseconds timeout = milliseconds{12'000}) -> call_answer;

/** @brief Waits until a condition holds. @return The time it took, or nothing if it did not within the limit. */
[[nodiscard]] auto wait_until(const std::function<bool()>& condition, milliseconds limit)
    -> std::optional<milliseconds>;

/** @brief A platform stand-in and the entry VMs of some zones, all as processes of this machine. */
class deployment {
public:
    /**
     * @brief Chooses addresses; nothing is started.
     * @param zones Number of entry VMs in each zone; the zones are named a, b, and so on.
     */
    explicit deployment(const std::vector<std::size_t>& zones);
    deployment(const deployment&) = delete;
    deployment(deployment&&) = delete;
    auto operator=(const deployment&) -> deployment& = delete;
    auto operator=(deployment&&) -> deployment& = delete;
    ~deployment();

    auto start_platform() -> void;
    /** @brief Ends the platform; its keys are kept for the next start. */
    auto stop_platform() -> void;
    [[nodiscard]] auto platform_address() const -> const std::string& { return m_platform_address; }
    /** @brief Switches faults of the platform, or reads its counts if there is nothing to switch. */
    auto control(const nlohmann::json& switches = nullptr) const -> nlohmann::json;

    /** @brief Starts an entry VM, after ending its earlier process. */
    auto start(std::size_t index) -> void;
    auto start_all() -> void;
    auto kill(std::size_t index) -> void;
    [[nodiscard]] auto process(std::size_t index) -> child_process& { return *m_entry_vms.at(index).m_process; }

    [[nodiscard]] auto count() const noexcept -> std::size_t { return m_entry_vms.size(); }
    [[nodiscard]] auto address(std::size_t index) const -> const std::string&
    {
        return m_entry_vms.at(index).m_address;
    }
    [[nodiscard]] auto callers_address(std::size_t index) const -> const std::string&
    {
        return m_entry_vms.at(index).m_callers_address;
    }
    [[nodiscard]] auto id(std::size_t index) const -> const std::string& { return m_entry_vms.at(index).m_id; }

    /** @brief Waits until all started entry VMs are ready and each zone has a control holder. */
    [[nodiscard]] auto wait_ready(milliseconds limit = milliseconds{15'000}) const -> bool;
    [[nodiscard]] auto ready(std::size_t index) const -> bool;
    /** @brief Returns the id of the control holder of a zone as an entry VM sees it, empty if there is none. */
    [[nodiscard]] auto holder(std::size_t seen_by, const std::string& zone) const -> std::string;
    /** @brief Returns the number of an entry VM by its id. */
    [[nodiscard]] auto index_of(const std::string& id) const -> std::size_t;

    /** @brief Writes a room through an entry VM. @param if_match Version, or "*" to create. */
    [[nodiscard]] auto put_room(std::size_t index, const std::string& name, int limit_watts,
                                const std::string& if_match) const -> call_answer;
    /** @brief Returns the version of a room at an entry VM, 0 if it does not have it. */
    [[nodiscard]] auto room_version(std::size_t index, const std::string& name) const -> std::uint64_t;
    /** @brief Waits until entry VMs have a version of a room; all of them if none is named. */
    [[nodiscard]] auto wait_for_room(const std::string& name, std::uint64_t version, milliseconds limit,
                                     std::vector<std::size_t> indices = {}) const -> std::optional<milliseconds>;

private:
    struct member {
        std::string m_id;
        std::string m_zone;
        /** @brief Address for operators and other entry VMs. */
        std::string m_address;
        std::string m_callers_address;
        std::string m_datagram_address;
        std::unique_ptr<child_process> m_process;
    };

    [[nodiscard]] auto write_settings(std::size_t index) const -> std::string;

    std::string m_platform_address;
    std::string m_state_file;
    std::unique_ptr<child_process> m_platform;
    std::vector<member> m_entry_vms;
};

} // namespace cicadalug::process_test

#endif
