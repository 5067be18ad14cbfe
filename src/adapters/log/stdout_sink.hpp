/// @file
/// @brief Bounded, non-blocking writes to standard output.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace hawthornrelay::adapters::log
{

/// @brief Queues lines until standard output accepts them. Lines that exceed
///        the queue's bound are dropped and counted.
class stdout_sink
{
  public:
    /// @brief Queues a line and writes as much as possible without blocking.
    /// @param line the line, without a line break
    void write(const std::string& line);

    /// @brief Writes as many queued bytes as possible without blocking.
    void flush();

    /// @brief Number of lines dropped since the start.
    [[nodiscard]] std::uint64_t dropped() const
    {
        return this->dropped_lines;
    }

  private:
    std::deque<std::string> lines;
    std::size_t queued_bytes = 0;
    std::size_t first_line_offset = 0;
    std::uint64_t dropped_lines = 0;
};

} // namespace hawthornrelay::adapters::log
