#include <adapters/log/stdout_sink.hpp>

#include <algorithm>
#include <climits>

#include <poll.h>
#include <unistd.h>

namespace hawthornrelay::adapters::log
{

namespace
{

/// Bound on the memory of lines that wait.
constexpr std::size_t most_queued_bytes = 256U << 10U;

/// A pipe that polls as writable takes this many bytes without waiting.
constexpr std::size_t safe_write_bytes = PIPE_BUF;

bool is_writable()
{
    pollfd out{STDOUT_FILENO, POLLOUT, 0};
    return poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0;
}

} // namespace

void stdout_sink::write(const std::string& line)
{
    if (this->queued_bytes + line.size() > most_queued_bytes)
    {
        ++this->lost;
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
        const auto size =
            std::min(first.size() - this->written_of_first, safe_write_bytes);
        const auto written =
            ::write(STDOUT_FILENO, first.data() + this->written_of_first, size);
        if (written <= 0)
        {
            return;
        }
        this->written_of_first += static_cast<std::size_t>(written);
        if (this->written_of_first == first.size())
        {
            this->queued_bytes -= first.size();
            this->written_of_first = 0;
            this->lines.pop_front();
        }
    }
}

} // namespace hawthornrelay::adapters::log
