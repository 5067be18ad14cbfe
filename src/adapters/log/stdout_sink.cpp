#include <adapters/log/stdout_sink.hpp>

#include <algorithm>
#include <climits>

#include <poll.h>
#include <unistd.h>

namespace hawthornrelay::adapters::log
{

namespace
{

constexpr std::size_t max_queued_bytes = 256U << 10U;

/// A pipe that polls as writable accepts this many bytes without blocking.
constexpr std::size_t nonblocking_write_bytes = PIPE_BUF;

bool is_writable()
{
    pollfd out{STDOUT_FILENO, POLLOUT, 0};
    return poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0;
}

} // namespace

void stdout_sink::write(const std::string& line)
{
    if (this->queued_bytes + line.size() > max_queued_bytes)
    {
        ++this->dropped_lines;
    }
    else
    {
        this->lines.push_back(line + "\n");
        this->queued_bytes += line.size() + 1;
    }
    this->flush();
}

void stdout_sink::flush()
{
    while (!this->lines.empty() && is_writable())
    {
        const auto& first = this->lines.front();
        const auto size = std::min(first.size() - this->first_line_offset,
                                   nonblocking_write_bytes);
        const auto written = ::write(
            STDOUT_FILENO, first.data() + this->first_line_offset, size);
        if (written <= 0)
        {
            return;
        }
        this->first_line_offset += static_cast<std::size_t>(written);
        if (this->first_line_offset == first.size())
        {
            this->queued_bytes -= first.size();
            this->first_line_offset = 0;
            this->lines.pop_front();
        }
    }
}

} // namespace hawthornrelay::adapters::log
