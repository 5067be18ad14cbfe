/// @file
/// @brief Bounded, non-blocking writes to standard output.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace hawthornrelay::adapters::log
{

/// @brief Keeps lines until standard output takes them; drops and counts when
///        it takes none.
class stdout_sink
{
  public:
    /// @brief Queues a line and writes what can be written at once.
    /// @param line the line, without its end
    void write(const std::string& line);

    /// @brief Writes what can be written without waiting.
    void flush();

    /// @brief Lines that were dropped since the start.
    [[nodiscard]] std::uint64_t dropped() const
    {
        return this->lost;
    }

  private:
    std::deque<std::string> lines;
    std::size_t queued_bytes = 0;
    std::size_t written_of_first = 0;
    std::uint64_t lost = 0;
};

} // namespace hawthornrelay::adapters::log
