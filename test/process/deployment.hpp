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

/** @brief Status and JSON body of an HTTP response; status 0 if there is no response. */
struct call_response {
    unsigned m_status{0};
    nlohmann::json m_body;
};

/** @brief Makes one HTTP call. @param if_match Expected version, "*" to create, or empty for no precondition. */
[[nodiscard]] auto call(http::verb verb, const std::string& endpoint, const std::string& target,
                        const nlohmann::json& body = nullptr, const std::string& if_match = {},
                        milliseconds timeout = milliseconds{12'000}) -> call_response;

/** @brief Waits until a condition holds. @return The time it took, or nothing if the limit passed first. */
[[nodiscard]] auto wait_until(const std::function<bool()>& condition, milliseconds limit)
    -> std::optional<milliseconds>;

/** @brief A platform stand-in and the entry VMs of one or more zones, each running as a local process. */
class deployment {
public:
    /**
     * @brief Chooses the addresses; starts no process.
     * @param zones Number of entry VMs in each zone; the zones are named a, b and so on.
     */
    explicit deployment(const std::vector<std::size_t>& zones);
    deployment(const deployment&) = delete;
    deployment(deployment&&) = delete;
    auto operator=(const deployment&) -> deployment& = delete;
    auto operator=(deployment&&) -> deployment& = delete;
    ~deployment();

    auto start_platform() -> void;
    /** @brief Stops the platform; its keys are kept for the next start. */
    auto stop_platform() -> void;
    [[nodiscard]] auto platform_address() const -> const std::string& { return m_platform_address; }
    /** @brief Changes the faults that the platform injects, or only reads its counters if `changed_faults` is null. */
    auto control_platform(const nlohmann::json& changed_faults = nullptr) const -> nlohmann::json;

    /** @brief Starts an entry VM; kills its previous process first. */
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
    [[nodiscard]] auto is_ready(std::size_t index) const -> bool;
    /** @brief Returns the id of the control holder of a zone that an entry VM reports, empty if there is none. */
    [[nodiscard]] auto control_holder(std::size_t queried_index, const std::string& zone) const -> std::string;
    /** @brief Returns the index of the entry VM with an id. */
    [[nodiscard]] auto index_of(const std::string& id) const -> std::size_t;

    /** @brief Writes a room through an entry VM. @param if_match Expected version, or "*" to create. */
    [[nodiscard]] auto put_room(std::size_t index, const std::string& name, int limit_watts,
                                const std::string& if_match) const -> call_response;
    /** @brief Returns the version of a room at an entry VM, 0 if the entry VM does not have the room. */
    [[nodiscard]] auto room_version(std::size_t index, const std::string& name) const -> std::uint64_t;
    /** @brief Waits until entry VMs have at least a version of a room. @param indices Entry VMs; all if empty. */
    [[nodiscard]] auto wait_for_room(const std::string& name, std::uint64_t version, milliseconds limit,
                                     std::vector<std::size_t> indices = {}) const -> std::optional<milliseconds>;

private:
    struct entry_vm_process {
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
    std::vector<entry_vm_process> m_entry_vms;
};

} // namespace cicadalug::process_test

#endif
