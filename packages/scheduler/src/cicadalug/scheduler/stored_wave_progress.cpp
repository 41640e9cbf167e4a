#include <cicadalug/scheduler/stored_wave_progress.hpp>

#include <sstream>
#include <string_view>
#include <utility>

namespace cicadalug {

namespace {

constexpr std::string_view completed_word{"completed"};
constexpr std::string_view running_word{"running"};

/** @brief Marks before the ids of VMs; an id without a mark is that of a VM that has begun. */
constexpr char excluded_mark{'!'};
constexpr char commanded_mark{'?'};

} // namespace

auto save_progress(const wave_progress_state& wave, const bool completed, const std::int64_t began_unix_ms)
    -> stored_wave_progress
{
    return {completed, began_unix_ms, wave.m_begun, wave.m_excluded, unanswered_vms(wave)};
}

auto restore_progress(wave_progress_state& wave, const stored_wave_progress& stored) -> void
{
    wave.m_recovered = true;
    wave.m_begun = stored.m_begun;
    wave.m_excluded = stored.m_excluded;
    wave.m_commanded_before = stored.m_commanded;
}

auto encode(const stored_wave_progress& stored) -> std::string
{
    std::ostringstream text;
    text << (stored.m_completed ? completed_word : running_word) << ' ' << stored.m_began_unix_ms;
    for (const auto& vm : stored.m_begun) {
        text << ' ' << vm;
    }
    for (const auto& vm : stored.m_excluded) {
        text << ' ' << excluded_mark << vm;
    }
    for (const auto& vm : stored.m_commanded) {
        text << ' ' << commanded_mark << vm;
    }
    return std::move(text).str();
}

auto decode_wave_progress(const std::string& text) -> stored_wave_progress
{
    stored_wave_progress stored;
    std::istringstream words{text};
    std::string word;
    words >> word >> stored.m_began_unix_ms;
    stored.m_completed = word == completed_word;
    while (words >> word) {
        if (word.front() == excluded_mark) {
            stored.m_excluded.emplace(word.substr(1));
        }
        else if (word.front() == commanded_mark) {
            stored.m_commanded.emplace(word.substr(1));
        }
        else {
            stored.m_begun.emplace(word);
        }
    }
    return stored;
}

} // namespace cicadalug
