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

/// @brief Writes `time level event name key=value ...`, one event a line.
class stdout_log final : public ports::event_log
{
  public:
    /// @brief Sets what is written.
    /// @param node the node's name, part of each line
    /// @param least the lowest level written
    /// @param decision_sample one debug line is written in this many
    stdout_log(std::string node,
               core::base::log_level least,
               std::uint32_t decision_sample);

    bool wants(core::base::log_event event) override;
    void write(core::base::log_event event,
               std::initializer_list<ports::log_field> fields) override;

    /// @brief Writes lines that had to wait; call it now and then.
    void flush()
    {
        this->sink.flush();
    }

    /// @brief Lines that were dropped because nothing read them.
    [[nodiscard]] std::uint64_t dropped() const
    {
        return this->sink.dropped();
    }

  private:
    std::string node;
    core::base::log_level least;
    std::uint32_t decision_sample;
    std::uint32_t decisions = 0;
    stdout_sink sink;
};

} // namespace hawthornrelay::adapters::log
