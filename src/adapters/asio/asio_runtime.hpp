/// @file
/// @brief Clock and timers on Boost.Asio.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <ports/runtime.hpp>

namespace hawthornrelay::adapters::asio
{

/// @brief Runs scheduled tasks on an io_context. Not thread-safe: one thread
///        runs the context and makes all calls.
class asio_runtime final : public ports::runtime
{
  public:
    /// @brief Creates a runtime without tasks.
    /// @param io the context; it must outlive this object
    explicit asio_runtime(boost::asio::io_context& io);

    [[nodiscard]] core::base::time_point now() const override;
    ports::timer_id call_at(core::base::time_point when,
                            std::function<void()> task) override;
    void cancel(ports::timer_id timer) override;

  private:
    using task_key = std::pair<core::base::time_point, ports::timer_id>;

    void arm();
    void run_due();

    boost::asio::io_context& io;
    boost::asio::steady_timer timer;
    std::map<task_key, std::function<void()>> tasks;
    std::unordered_map<ports::timer_id, core::base::time_point> due_times;
    ports::timer_id next_id = 1;
    core::base::time_point armed_for = core::base::time_point::max();
    bool is_run_posted = false;
};

} // namespace hawthornrelay::adapters::asio
