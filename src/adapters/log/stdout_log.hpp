/// @file
/// @brief Structured log lines on standard output.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>

#include <adapters/log/stdout_sink.hpp>
#include <core/base/counters.hpp>
#include <core/base/log_event.hpp>
#include <ports/event_log.hpp>

namespace hawthornrelay::adapters::log
{

/// @brief Writes one line per event: `time level number name key=value ...`.
class stdout_log final : public ports::event_log
{
  public:
    /// @brief Creates a log.
    /// @param node the node's name, written on each line
    /// @param min_level the lowest level written
    /// @param decision_sample one debug line is written in this many
    stdout_log(std::string node,
               core::base::log_level min_level,
               std::uint32_t decision_sample);

    bool is_enabled(core::base::log_event event) override;
    void write(core::base::log_event event,
               std::initializer_list<ports::log_field> fields) override;

    /// @brief Writes lines that are still queued; must be called periodically.
    void flush()
    {
        this->sink.flush();
    }

    /// @brief Number of lines dropped because standard output was blocked.
    [[nodiscard]] std::uint64_t dropped() const
    {
        return this->sink.dropped();
    }

  private:
    std::string node;
    core::base::log_level min_level;
    std::uint32_t decision_sample;
    std::uint32_t debug_lines = 0;
    stdout_sink sink;
};

} // namespace hawthornrelay::adapters::log
