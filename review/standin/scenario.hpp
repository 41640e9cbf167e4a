#ifndef CICADALUG_REVIEW_SCENARIO_HPP
#define CICADALUG_REVIEW_SCENARIO_HPP

#include "../../test/process/child_process.hpp"
#include "simulated_platform.hpp"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cicadalug::review {

/** @brief Status and JSON body of an answer; status 0 if there was none. */
struct answer {
    unsigned m_status{0};
    json m_body;
};

/** @brief Outcome of a case; the values are the exit codes of run.sh. */
enum class verdict : int { held = 0, broken = 1, could_not_run = 2 };

/** @brief An entry VM: the project's program as a process of its own, with its settings. */
struct entry_vm {
    std::string m_name;
    std::string m_clients;
    std::string m_readiness;
    std::string m_settings_path;
    std::unique_ptr<process_test::child_process> m_process;
};

/**
 * @brief A small deployment: the simulated platform in this process, the entry VMs as processes, and clients.
 * @note Thread safety: a single thread.
 */
class scenario {
public:
    /**
     * @param entry_vms Number of entry VMs.
     * @param arguments Of main(): the command of the deploy file, the folder for settings, the path of the record.
     */
    scenario(std::size_t entry_vms, int argc, char** argv);
    scenario(const scenario&) = delete;
    scenario(scenario&&) = delete;
    auto operator=(const scenario&) -> scenario& = delete;
    auto operator=(scenario&&) -> scenario& = delete;
    ~scenario();

    /** @brief Starts the deployment, runs a story, and ends all processes. @return The exit code. */
    [[nodiscard]] auto run(const std::function<asio::awaitable<verdict>()>& story) -> int;

    [[nodiscard]] auto has_trouble() const noexcept -> bool { return m_trouble; }
    [[nodiscard]] auto platform() -> simulated_platform& { return m_platform; }
    [[nodiscard]] auto executor() -> asio::any_io_executor { return m_context.get_executor(); }
    auto record(const std::string& line) -> void;
    /** @brief Records a line and ends the story with a verdict. */
    [[nodiscard]] auto conclude(verdict found, const std::string& line) -> verdict;

    [[nodiscard]] auto sleep(milliseconds time) -> asio::awaitable<void>;
    /** @brief Waits until a condition holds. @return False if the limit passed first. */
    [[nodiscard]] auto until(std::function<bool()> condition, milliseconds limit) -> asio::awaitable<bool>;
    /** @brief Calls an entry VM as a client. */
    [[nodiscard]] auto call(std::size_t entry, http::verb verb, std::string target, json body = nullptr)
        -> asio::awaitable<answer>;
    /** @brief Submits a job of one step at the first entry VM that answers. @return True if it was accepted. */
    [[nodiscard]] auto submit(std::string job, json step) -> asio::awaitable<bool>;
    /** @brief Asks for the state of a job. @return The state, or an empty text without an answer. */
    [[nodiscard]] auto state_of(std::string job, std::size_t entry) -> asio::awaitable<std::string>;

    /** @brief Returns the index of the entry VM that holds the decider's key; the number of entry VMs if none does. */
    [[nodiscard]] auto decider() const -> std::size_t;
    [[nodiscard]] auto entry(const std::size_t index) -> entry_vm& { return m_entry_vms[index]; }
    [[nodiscard]] auto entry_count() const -> std::size_t { return m_entry_vms.size(); }
    auto start_entry(std::size_t index) -> void;
    /** @brief Sends SIGTERM to an entry VM, and starts it again 0.5 s after its end, as the platform does. */
    auto stop_and_start_again(std::size_t index) -> void;
    auto kill_entry(std::size_t index) -> void;
    /** @brief Checks whether an entry VM was neither started, stopped nor killed in the contact_ms before a time. */
    [[nodiscard]] auto is_in_touch(const std::string& name, std::int64_t at_ms) const -> bool;

private:
    [[nodiscard]] auto tell(std::function<asio::awaitable<verdict>()> story) -> asio::awaitable<void>;
    [[nodiscard]] auto are_ready() -> asio::awaitable<bool>;
    [[nodiscard]] auto restart_after_end(std::size_t index) -> asio::awaitable<void>;
    [[nodiscard]] auto fetch(std::string address, http::verb verb, std::string target, json body)
        -> asio::awaitable<answer>;
    auto write_settings(std::size_t index) -> void;

    asio::io_context m_context{1};
    std::ofstream m_record;
    bool m_trouble{true};
    std::vector<std::string> m_command;
    std::string m_folder;
    simulated_platform m_platform;
    std::vector<entry_vm> m_entry_vms;
    std::optional<verdict> m_verdict;
    std::vector<std::pair<std::string, std::int64_t>> m_disturbed;
};

/** @brief Path of a job of the queue, or of the queue itself if the id is empty. */
[[nodiscard]] auto path_of(const std::string& job) -> std::string;

} // namespace cicadalug::review

#endif
